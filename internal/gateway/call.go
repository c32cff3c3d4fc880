// Package gateway is the request path of an externally configured deployment. A
// front decodes a caller's request into a Call; the gateway authenticates it,
// holds it to its account's rate, chooses a backend server, and relays the
// answer. How requests look on the wire is known to the front and the Dialect
// only.
package gateway

import (
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/ratelimit"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// Call is a caller's request.
type Call struct {
	// ID is the caller's name for this attempt.
	ID string
	// Target is the request target, Path its part before the query.
	Method, Target, Path, Host string
	// Header holds what is passed on: nothing of the connection, no key and
	// nothing that is the system's to set.
	Header http.Header
	Body   []byte
	// Key is the caller's key; empty without one.
	Key string
	// Patience is for how long the caller waits; 0 if unknown.
	Patience time.Duration
	// Arrived is when the whole request had been read.
	Arrived time.Time
	// Model, Parts, PromptTokens and MaxTokens describe a model request.
	Model                   string
	Parts                   []selector.Part
	PromptTokens, MaxTokens int
	// LastEvent is the number of the last event that the caller has of a stream
	// which it resumes, or -1.
	LastEvent int64
}

// Outgoing is what the dialect adds to a call for a server.
type Outgoing struct {
	Account account.ID
	// TimeLeft is for how long the answer is of use.
	TimeLeft time.Duration
	Server   backend.ID
	// Priority goes from 0, the most urgent, to 9.
	Priority int
	// Salt separates cached parts; empty for plain requests.
	Salt string
	// Weights is the version that must run the request; 0 for any.
	Weights uint64
	// FetchFrom is the address of an engine from which cached parts are to be
	// fetched; empty for none.
	FetchFrom string
	// SaveTo is the address of the store that keeps a copy of the shared parts;
	// empty for none.
	SaveTo string
	// LastEvent is the number of the last event that the caller has, or -1.
	LastEvent int64
}

// Head is what the head of a server's answer says.
type Head struct {
	// NotRun is set if the server promises that it did not run the request.
	NotRun bool
	// Misdirected is set if another server has the address.
	Misdirected bool
	// OtherWeights is set if the server holds other weights than those that must
	// run the request.
	OtherWeights bool
	// Sealed is set if the answer bears the server's signature.
	Sealed bool
	// WeightsVersion is the version of the weights that answer; 0 if unknown.
	WeightsVersion uint64
	// RateLimit is the rate of requests that the server takes from all VMs together.
	RateLimit ratelimit.Statement
	// RateLimitErr is set if the server states a rate that can't be read.
	RateLimitErr error
}

// Dialect is how backend servers are spoken to.
type Dialect interface {
	// Header returns the header of a call for a server.
	Header(c *Call, o Outgoing) http.Header
	// Belongs reports whether an answer is that to the call.
	Belongs(c *Call, resp *http.Response) bool
	// Head interprets the head of a server's answer.
	Head(server backend.ID, resp *http.Response) Head
}

// Sink takes the answer to a call.
type Sink interface {
	// Answer sends a whole answer.
	Answer(status int, header http.Header, body []byte) error
	// Begin starts an answer that comes in pieces.
	Begin(status int, header http.Header) error
	// Piece sends a piece at once.
	Piece(p []byte) error
	// Refuse sends an answer of the system's own.
	Refuse(e *verdict.Error)
	// Abort breaks the answer off, so that it doesn't look complete.
	Abort()
}
