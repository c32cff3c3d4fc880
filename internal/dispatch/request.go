// Package dispatch sends a caller's request to backend servers and relays the
// response. It decides on retries, resumes interrupted streams at the exact
// token, and states for every failure whether the request may have run.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// HeaderNotRun, set to "true" on a 429 or 503 response of an engine, guarantees
// that the engine did not run the request.
const HeaderNotRun = "X-Not-Run"

// Request is one request to a backend server.
type Request struct {
	// ID is unique among all requests. Engines return it in their responses.
	ID      string
	Account account.ID
	// Model is the model's name; it is empty for plain services.
	Model  string
	Method string
	// Path is the path with the sanitized query, starting with "/".
	Path string
	// Header is sanitized: see SanitizeRequest.
	Header http.Header
	Body   []byte
	// Stream is set if the response is an event stream of an engine.
	Stream bool
	// Idempotent allows retrying the request after it may have run. A model
	// completion has no side effects and is idempotent.
	Idempotent bool
	// MaxTokens is the declared maximum of output tokens.
	MaxTokens int
	// CacheSalt isolates the engine's prefix cache by account and weights.
	CacheSalt string
	// Hints are passed to engines. If the Picker is a Hinter, its hints
	// replace them.
	Hints Hints
}

// Attempt describes an attempt for which a backend server is picked.
type Attempt struct {
	// Number counts from 1.
	Number int
	// Tried lists the servers of earlier attempts. They are picked again only
	// if no other server can accept the request.
	Tried []backend.ID
	// Delivered is the number of output tokens that the caller already has.
	Delivered int
}

// HasTried reports whether an earlier attempt used the server.
func (a Attempt) HasTried(id backend.ID) bool {
	for _, t := range a.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// Picker chooses the backend server of each attempt. A Picker that is also an
// Observer is notified of the attempts of its request.
type Picker interface {
	// Pick returns a server, preferably one that was not tried before. An
	// error ends the request and should be a *verdict.Error. Pick may be
	// called several times for one attempt; Observer.Started is called once
	// the attempt begins.
	Pick(ctx context.Context, req Request, a Attempt) (backend.Server, error)
}

// Hints are the fields that a picker sets in the request to the picked engine.
type Hints struct {
	// Priority orders the engine's queue; lower runs first.
	Priority int
	// ImportKV asks the engine to import the part of the prompt that is not
	// in its cache from the KV cache store, as far as the store has it.
	ImportKV bool
}

// Hinter is implemented by a Picker that provides hints for the engine.
type Hinter interface {
	// Hints returns the hints for the picked server.
	Hints(id backend.ID) Hints
}

// Head is the status and header of a response.
type Head struct {
	Status int
	// Header is sanitized.
	Header http.Header
	// Length is the body's length in bytes, -1 if unknown.
	Length int64
	// Stream is set if the response is an event stream.
	Stream bool
}

// Sink receives the response in order. An error of the sink ends the request.
type Sink interface {
	// Start is called once, before Event and Body.
	Start(h Head) error
	// Event receives the data of one event. The slice is valid only during
	// the call.
	Event(data []byte) error
	// Body receives the next part of a body. The slice is valid only during
	// the call.
	Body(p []byte) error
}

// Usage holds the token counts that an engine reports.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Result describes an attempt that has ended.
type Result struct {
	Attempt        Attempt
	Server         backend.Server
	Incarnation    backend.Incarnation
	WeightsVersion string
	Failure        Failure
	Verdict        verdict.Verdict
	// Err is nil if the attempt completed the response.
	Err error
	// Backoff is the time for which the server wants no requests of this VM; 0 if it states none.
	Backoff time.Duration
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// Delivered counts the output tokens that the caller has so far.
	Delivered int
	// FirstByte is the time from the start of the attempt to the first byte
	// of the response body; 0 if there was none.
	FirstByte time.Duration
	Duration  time.Duration
	Usage     Usage
}

// Observer is notified of each attempt. The calls for one request are made in
// order, from the goroutine that called Do.
type Observer interface {
	Started(req Request, a Attempt, s backend.Server)
	// Answered is called when the header of a valid response has arrived. The
	// Result holds what is known at that time.
	Answered(req Request, r Result)
	Ended(req Request, r Result)
}

// Outcome describes the final state of a request.
type Outcome struct {
	Verdict     verdict.Verdict
	Server      backend.ID
	Incarnation backend.Incarnation
	Attempts    int
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// Started is set if the sink was started. On an error the response must
	// then be aborted.
	Started   bool
	Delivered int
	Usage     Usage
	// FirstByte is the time from the start of the request to the first byte
	// of a response body in any attempt; 0 if there was none.
	FirstByte time.Duration
}
