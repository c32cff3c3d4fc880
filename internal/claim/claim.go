// Package claim ensures that a request with an idempotency key runs at most
// once. A router writes a claim row to the platform's table before it
// dispatches such a request. Only the writer of the claim may dispatch the
// request. The claim of a router that crashed is never taken over, because its
// request may have run.
//
// The transitions in transition.go are pure functions. Store commits them in
// batches.
package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Prefix is the prefix of the keys of all claim rows.
const Prefix = "claim/"

// Key identifies a request and its repeats.
type Key struct {
	// Account is empty for a call on an open route; Route is then set.
	Account     account.ID
	Route       string
	Idempotency string
}

// Row returns the key of the table row. The idempotency key is hashed to bound
// the length of the row key.
func (k Key) Row() string {
	sum := sha256.Sum256([]byte(k.Idempotency))
	scope := "account/" + string(k.Account)
	if k.Account == "" {
		scope = "route/" + k.Route
	}
	return Prefix + scope + "/" + base64.RawURLEncoding.EncodeToString(sum[:])
}

// Digest identifies the content of a request: SHA-256 in base64.
type Digest string

// DigestOf returns the digest of a request's method, request URI and body.
func DigestOf(method, uri string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(method + " " + uri + "\n"))
	h.Write(body)
	return Digest(base64.RawStdEncoding.EncodeToString(h.Sum(nil)))
}

// Nonce is a random value that identifies an attempt.
type Nonce string

// State is the state of a claim row.
type State string

const (
	// Absent means that there is no row.
	Absent State = ""
	// Claimed means that the writer of the row may dispatch the request and may
	// have done so already.
	Claimed State = "claimed"
	// Done means that the request ran and Outcome holds its result.
	Done State = "done"
	// Abandoned means that the request may have run and no outcome is known.
	Abandoned State = "abandoned"
	// Released means that the attempt is proven not to have run.
	Released State = "released"
)

// Owner is the router process that wrote a claim.
type Owner struct {
	VM          vm.ID          `json:"vm"`
	Incarnation vm.Incarnation `json:"inc"`
}

// Record is the content of a claim row.
type Record struct {
	State   State  `json:"s"`
	Digest  Digest `json:"d"`
	Attempt uint64 `json:"a"`
	Nonce   Nonce  `json:"n"`
	Owner   Owner  `json:"o"`
	// Epoch is the retention epoch of the last change.
	Epoch uint64 `json:"e"`
	// ChangedMS is the wall-clock time of the last change in Unix milliseconds.
	// It is only used to decide when a claim is reported as abandoned.
	ChangedMS int64    `json:"t"`
	Outcome   *Outcome `json:"r,omitempty"`
}

// Outcome is the response of a backend server.
type Outcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	// Body is the response body if it is small.
	Body []byte `json:"body,omitempty"`
	// Object is the name of the object that holds a large body.
	Object string `json:"object,omitempty"`
	// Size is the length of the body in bytes.
	Size int `json:"size"`
	// BodyDropped is set if the body was too large to be stored or could not be
	// stored.
	BodyDropped bool `json:"dropped,omitempty"`
}

// Hold is the right to dispatch one attempt of a request.
type Hold struct {
	Attempt uint64
	Nonce   Nonce
}

// Encode returns the row value for a record.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode claim")
}

// Decode returns the record of a row value. A nil value stands for an absent
// row.
func Decode(value []byte) (Record, error) {
	var r Record
	if value == nil {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode claim")
}

func (r Record) changedAt() time.Time { return time.UnixMilli(r.ChangedMS) }
