// Package gateway is the request path of an externally configured deployment. A front
// decodes a caller's request into a Call; the gateway authenticates it, enforces its
// account's rate, chooses a backend server, and relays the response. Only the front and
// the Dialect know the wire format of requests.
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
	// ID is the caller's identifier for this attempt.
	ID string
	// Target is the request target, Path its part before the query.
	Method, Target, Path, Host string
	// Header holds the fields to pass on: no connection-level fields, no key, and none
	// that the router sets itself.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; empty without one.
	Key string
	// CallerTimeout is how long the caller waits for the response; 0 if unknown.
	CallerTimeout time.Duration
	// Arrived is the time when the whole request had been read.
	Arrived time.Time
	// Model, Parts, PromptTokens and MaxTokens describe a model request.
	Model                   string
	Parts                   []selector.Part
	PromptTokens, MaxTokens int
	// LastEvent is the number of the last event that the caller has received of the
	// stream that it resumes, or -1.
	LastEvent int64
	// Resumes is the ID of the attempt that brought the caller the first event of the
	// stream that it resumes; empty if the caller doesn't name one.
	Resumes string
}

// Outgoing holds what the dialect adds to a call for a server.
type Outgoing struct {
	Account account.ID
	// TimeLeft is the time until the deadline of the call.
	TimeLeft time.Duration
	Server   backend.ID
	// Priority goes from 0, the most urgent, to 9.
	Priority int
	// Salt separates cached prompt parts; empty for requests without a prompt.
	Salt string
	// Weights is the weights version that must run the request; 0 for any.
	Weights uint64
	// FetchFrom is the address of the engine or store from which cached prompt parts
	// are to be fetched; empty for none.
	FetchFrom string
	// SaveTo is the address of the store to which the engine saves the shared prompt
	// parts; empty for none.
	SaveTo string
	// LastEvent is the number of the last event that the caller has received, or -1.
	LastEvent int64
}

// Head is the interpreted head of a server's response.
type Head struct {
	// NotRun is set if the server guarantees that it did not run the request.
	NotRun bool
	// Misdirected is set if another server responded at the address.
	Misdirected bool
	// WrongWeights is set if the server holds a weights version other than the required
	// one.
	WrongWeights bool
	// Signed is set if the response carries the server's signature.
	Signed bool
	// WeightsVersion is the weights version that produced the response; 0 if unknown.
	WeightsVersion uint64
	// RateLimit is what the server states of the requests that it takes.
	RateLimit ratelimit.Statement
	// RateLimitErr is set if that can't be parsed.
	RateLimitErr error
	// Leaving is set if the server states that it leaves, LeavingErr if what it states can't
	// be parsed.
	Leaving    bool
	LeavingErr error
	// Backoff is the time for which a server that turns the request away wants no other one from
	// this VM; 0 if it states none. BackoffErr is set if what it states can't be parsed.
	Backoff    time.Duration
	BackoffErr error
}

// Dialect is the wire format of requests to backend servers and of their responses.
type Dialect interface {
	// Header returns the header of the request to a server.
	Header(c *Call, o Outgoing) http.Header
	// Matches reports whether the response belongs to the call.
	Matches(c *Call, resp *http.Response) bool
	// Head interprets the head of a server's response.
	Head(server backend.ID, resp *http.Response) Head
}

// Sink receives the response to a call.
type Sink interface {
	// Answer sends a complete response.
	Answer(status int, header http.Header, body []byte) error
	// Begin sends the head of a response whose body follows in pieces.
	Begin(status int, header http.Header) error
	// WriteBody sends a piece of the body without delay.
	WriteBody(p []byte) error
	// Refuse sends an error response of the router itself.
	Refuse(e *verdict.Error)
	// Abort breaks the response off so that the caller can tell that it is incomplete.
	Abort()
}
