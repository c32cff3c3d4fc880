// Package poison stops requests that crash the backend servers that run them.
//
// After a crash, every content that the server was running becomes a suspect. A
// suspect needs a grant from its home VM before it runs again, and runs on one
// server at a time. A run that completes clears the suspect. A second crash
// convicts it, which means that it is refused until the evidence expires.
// Contents that are not suspects need no messages between VMs.
//
// The home VM of a content is the member of the roster that rendezvous hashing
// assigns to it. It merges the evidence of all VMs, issues the grants, and
// announces new evidence to the other VMs.
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
	// CrashLimit is the number of crashes after which a content is convicted.
	CrashLimit = 2
	// EvidenceTTL is how long a crash is counted.
	EvidenceTTL = 10 * time.Minute
	// maxContents is the maximum number of contents for which one VM stores
	// evidence.
	maxContents = 4096
)

// Digest identifies the content of a request.
type Digest [16]byte

// Content is the identity of a request's content. It doesn't depend on the
// request ID.
type Content struct {
	Account account.ID
	Digest  Digest
}

// volatileFields are the fields that don't affect what an engine computes.
var volatileFields = []string{"stream", "stream_options", "user", "metadata", "priority", "cache_salt", "resume_from"}

// NewContent returns the identity of a request's content. Salt is the same on
// all VMs of a deployment. Target is the model, or the method and path of a
// service. Two JSON bodies that differ only in the order of fields, in white
// space or in fields that don't affect the computation have the same identity.
func NewContent(salt []byte, id account.ID, target string, body []byte) Content {
	mac := hmac.New(sha256.New, salt)
	writePart(mac, []byte(id))
	writePart(mac, []byte(target))
	writePart(mac, canonicalBody(body))
	c := Content{Account: id}
	copy(c.Digest[:], mac.Sum(nil))
	return c
}

// writePart writes p prefixed with its length, so that different sequences of
// parts never produce the same bytes.
func writePart(w io.Writer, p []byte) {
	n := len(p)
	_, _ = w.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
	_, _ = w.Write(p)
}

// canonicalBody returns the body without volatile fields, in compact form and
// key order. A body that isn't a JSON object is returned unchanged.
func canonicalBody(body []byte) []byte {
	var object map[string]json.RawMessage
	if json.Unmarshal(body, &object) != nil || object == nil {
		return body
	}
	for _, name := range volatileFields {
		delete(object, name)
	}
	// Marshaling freshly parsed raw messages never fails, and it produces
	// compact output in key order.
	out, _ := json.Marshal(object)
	return out
}

// Incident identifies one crash of one server. All copies of a content that ran
// on the server at that time have the same incident.
type Incident string

// Evidence maps the known crashes of one content to whether they are cleared.
// Entries are only added or cleared, so any two VMs can merge their evidence.
type Evidence map[Incident]bool

// Merge adds other to e and reports whether e gained a crash that isn't
// cleared.
func (e Evidence) Merge(other Evidence) (grew bool) {
	for id, cleared := range other {
		_, known := e[id]
		grew = grew || !known && !cleared
		e[id] = e[id] || cleared
	}
	return grew
}

// Clear marks all known crashes as not caused by the content.
func (e Evidence) Clear() {
	for id := range e {
		e[id] = true
	}
}

// Crashes returns the number of crashes that are not cleared.
func (e Evidence) Crashes() int {
	n := 0
	for _, cleared := range e {
		if !cleared {
			n++
		}
	}
	return n
}

// Clone returns a copy of e.
func (e Evidence) Clone() Evidence {
	out := make(Evidence, len(e))
	out.Merge(e)
	return out
}
