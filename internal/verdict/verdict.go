// Package verdict defines whether a request may have had an effect on a backend
// server. Every error on the request path carries a verdict, and the decision to retry
// depends on it alone.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Verdict states whether a request may have run on a backend server.
//
// The zero value is MayHaveRun, so that an error without an explicit verdict never
// claims that the request did not run.
type Verdict uint8

const (
	// MayHaveRun means that at least one byte of the request may have reached
	// a backend server and its effect is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached a backend server, or
	// that the request did not run according to the backend server's contract.
	NotRun
	// Ran means that a backend server ran the request to completion.
	Ran
)

// String returns the wire form: "may_have_run", "not_run" or "ran".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Error is a refusal or failure that is returned to the caller.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status code.
	Status int
	// Code is a stable machine-readable reason in snake case.
	Code string
	// Message is the human-readable text. It never contains keys or prompt text.
	Message string
	// RetryAfter is the time after which the caller may retry; 0 if unknown.
	RetryAfter time.Duration
	// NoRetry is set if another attempt before RetryAfter has passed is refused too, however
	// long that is.
	NoRetry bool
	// Cause is the underlying error, for logs only. It may be nil.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %v", e.Code, e.Verdict, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Refuse returns an Error with verdict NotRun.
func Refuse(status int, code, message string) *Error {
	return &Error{Verdict: NotRun, Status: status, Code: code, Message: message}
}

// RefuseUntil returns an Error with verdict NotRun and a time after which to retry.
func RefuseUntil(status int, code, message string, retryAfter time.Duration) *Error {
	e := Refuse(status, code, message)
	e.RetryAfter = retryAfter
	return e
}

// Of returns the verdict that err carries. A nil error is Ran; an error
// without a verdict is MayHaveRun.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// AsError returns err as an Error. An error without a verdict becomes a
// MayHaveRun failure with status 502.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Verdict: MayHaveRun,
		Status:  http.StatusBadGateway,
		Code:    "backend_failed",
		Message: "the backend server failed",
		Cause:   err,
	}
}
