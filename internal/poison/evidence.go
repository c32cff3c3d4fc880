// Package poison stops requests that crash the backend servers which run them.
//
// Each crash makes suspects of all contents that the server was running. A
// suspect needs a grant from its home VM before it runs again, and runs on one
// server at a time; a run that completes clears it, and a second crash convicts
// it until the evidence expires. Contents that are no suspects cost no message.
package poison

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"io"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
)

const (
	// CrashLimit is the number of crashes that convicts a content.
	CrashLimit = 2
	// EvidenceTTL is how long a crash counts.
	EvidenceTTL = 10 * time.Minute
	// maxContents bounds the contents that one VM keeps evidence on.
	maxContents = 4096
)

// Digest identifies the content of a request.
type Digest [16]byte

// Content is the identity of a request's content, whatever its request id.
type Content struct {
	Account account.ID
	Digest  Digest
}

// volatileFields do not change what an engine computes.
var volatileFields = []string{"stream", "stream_options", "user", "metadata", "priority", "cache_salt", "resume_from"}

// NewContent returns the identity of a request. Salt is the same on all VMs of
// a deployment. Target is the model, or the method and path of a service. Two
// JSON bodies that differ only in the order of fields, in white space or in
// fields that do not change the computation are the same content.
func NewContent(salt []byte, id account.ID, target string, body []byte) Content {
	mac := hmac.New(sha256.New, salt)
	writePart(mac, []byte(id))
	writePart(mac, []byte(target))
	writePart(mac, essentials(body))
	c := Content{Account: id}
	copy(c.Digest[:], mac.Sum(nil))
	return c
}

// writePart writes p with its length, so that parts cannot run together.
func writePart(w io.Writer, p []byte) {
	n := len(p)
	_, _ = w.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
	_, _ = w.Write(p)
}

// essentials returns the body's canonical form.
func essentials(body []byte) []byte {
	var object map[string]json.RawMessage
	if json.Unmarshal(body, &object) != nil || object == nil {
		return body
	}
	for _, name := range volatileFields {
		delete(object, name)
	}
	// Raw messages that were just parsed always marshal, compact and in key
	// order.
	out, _ := json.Marshal(object)
	return out
}

// Incident names one crash of one server. Copies of a content that ran on the
// server at the time share the incident.
type Incident string

// Evidence holds the crashes known of one content; true means cleared. It only
// grows, so that any two VMs can merge theirs.
type Evidence map[Incident]bool

// Merge adds other to e and reports whether e learned of a crash that is not
// cleared.
func (e Evidence) Merge(other Evidence) (grew bool) {
	for id, cleared := range other {
		_, known := e[id]
		grew = grew || !known && !cleared
		e[id] = e[id] || cleared
	}
	return grew
}

// Clear marks all known crashes as not due to the content.
func (e Evidence) Clear() {
	for id := range e {
		e[id] = true
	}
}

// Crashes returns the number of crashes that count.
func (e Evidence) Crashes() int {
	n := 0
	for _, cleared := range e {
		if !cleared {
			n++
		}
	}
	return n
}

// Clone returns a copy.
func (e Evidence) Clone() Evidence {
	out := make(Evidence, len(e))
	out.Merge(e)
	return out
}
