// Package dispatch sends a caller's request to backend servers and relays the
// answer. It decides on retries, resumes cut streams at the exact token, and
// says of every failure whether the request may have run.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// HeaderNotRun, set to "true" on a 429 or 503 answer of an engine, is the
// engine's promise that the request did not run.
const HeaderNotRun = "X-Not-Run"

// Request is one request on its way to a backend server.
type Request struct {
	// ID is unique among all requests. Engines echo it.
	ID      string
	Account account.ID
	// Model is the model's name; empty for plain services.
	Model  string
	Method string
	// Path is the path with the sanitized query, starting with "/".
	Path string
	// Header is sanitized: see SanitizeRequest.
	Header http.Header
	Body   []byte
	// Stream is set if the answer is an event stream of an engine.
	Stream bool
	// Idempotent allows sending the request again after it may have run. A
	// model completion has no effect but its answer and is idempotent.
	Idempotent bool
	// MaxTokens is the declared maximum of output tokens.
	MaxTokens int
	// CacheSalt isolates the engine's prefix cache by account and weights.
	CacheSalt string
	// Hints are passed to engines. A Hinter's replace them.
	Hints Hints
}

// Attempt describes the attempt that a backend server is picked for.
type Attempt struct {
	// Number counts from 1.
	Number int
	// Tried are the servers of earlier attempts. They are picked again only if
	// no other can take the request.
	Tried []backend.ID
	// Delivered is the number of output tokens the caller has.
	Delivered int
}

// Excludes reports whether the server was tried before.
func (a Attempt) Excludes(id backend.ID) bool {
	for _, t := range a.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// Picker chooses the backend server of each attempt. A Picker that is also an
// Observer learns of the attempts of its request.
type Picker interface {
	// Pick returns a server, preferably one that was not tried before. Its
	// error ends the request; it should be a *verdict.Error. It may be called
	// several times for one attempt: Started tells that the attempt is made.
	Pick(ctx context.Context, req Request, a Attempt) (backend.Server, error)
}

// Hints are what a picker tells the engine that it picked.
type Hints struct {
	// Priority orders the engine's queue; lower runs first.
	Priority int
	// ImportKV asks the engine to import the missing part of the prompt from
	// the KV cache store as far as the store has it.
	ImportKV bool
}

// Hinter is a Picker that has hints for the engine.
type Hinter interface {
	// Hints returns the hints for a server that was picked.
	Hints(id backend.ID) Hints
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	// Header is sanitized.
	Header http.Header
	// Length is the body's length in bytes, -1 if unknown.
	Length int64
	// Stream is set if events follow and not a body.
	Stream bool
}

// Sink receives the answer in order. An error of the sink ends the request.
type Sink interface {
	// Start is called once, before all else.
	Start(h Head) error
	// Event receives the data of one event. The slice is reused afterwards.
	Event(data []byte) error
	// Body receives the next part of a body. The slice is reused afterwards.
	Body(p []byte) error
}

// Usage is the token count that an engine reports.
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
	// Err is nil if the attempt brought the answer to its end.
	Err error
	// Status is the HTTP status of the answer, 0 if there was none.
	Status int
	// Delivered counts the output tokens that the caller has by now.
	Delivered int
	// FirstByte is the time from the start to the answer's first byte of
	// body; 0 if there was none.
	FirstByte time.Duration
	Duration  time.Duration
	Usage     Usage
}

// Observer learns of each attempt. Calls of one request come in order from the
// goroutine that called Do.
type Observer interface {
	Started(req Request, a Attempt, s backend.Server)
	// Answered is called when a regular answer begins. Result holds what is
	// known by then.
	Answered(req Request, r Result)
	Ended(req Request, r Result)
}

// Outcome describes how a request ended.
type Outcome struct {
	Verdict     verdict.Verdict
	Server      backend.ID
	Incarnation backend.Incarnation
	Attempts    int
	// Status is the HTTP status of the answer, 0 if there was none.
	Status int
	// Started is set if the sink was started. An error must then break the
	// answer off.
	Started   bool
	Delivered int
	Usage     Usage
	// FirstByte is the time from the request to the first byte of body over
	// all attempts; 0 if there was none.
	FirstByte time.Duration
}
