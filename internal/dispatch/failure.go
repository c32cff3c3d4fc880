package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/verdict"
)

// Failure is the kind of failure of an attempt.
type Failure uint8

const (
	// None means that the attempt succeeded.
	None Failure = iota
	// ConnectFailed means that no connection could be established.
	ConnectFailed
	// NotSent means that reused idle connections were closed before a byte
	// was written.
	NotSent
	// Refused means that the engine rejected the request and stated that it
	// did not run it (see HeaderNotRun).
	Refused
	// ConnectionLost means a connection error after the first byte was
	// written.
	ConnectionLost
	// Truncated means that the response ended before it was complete.
	Truncated
	// Stalled means that the server sent no data within the timeout.
	Stalled
	// WrongRequestID means that the response carries the ID of another request.
	WrongRequestID
	// InvalidResponse means that the response violates the protocol.
	InvalidResponse
	// MemoryShort means that the VM has no memory to hold the response.
	MemoryShort
	// ServerError means that the server reported an error, such as a 5xx
	// status.
	ServerError
	// BadRequest means that the request is not valid for a backend server.
	BadRequest
	// CallerCanceled means that the caller disconnected or its deadline passed.
	CallerCanceled
	// CallerFailed means that the response could not be written to the caller.
	CallerFailed
)

var failureNames = [...]string{
	"none", "connect_failed", "not_sent", "refused", "connection_lost", "truncated", "stalled",
	"crossed", "bad_answer", "memory_short", "server_error", "bad_request", "caller_gone", "caller_failed",
}

// String returns the name used in logs.
func (f Failure) String() string { return failureNames[f] }

// MaySuggestCrash reports whether the failure may have been caused by a crash of
// the server while it ran the request.
func (f Failure) MaySuggestCrash() bool {
	return f == ConnectionLost || f == Truncated
}

// attemptError is the error of a failed attempt.
type attemptError struct {
	failure    Failure
	verdict    verdict.Verdict
	retryAfter time.Duration
	cause      error
}

func (e *attemptError) Error() string {
	return fmt.Sprintf("%s: %v", e.failure, e.cause)
}

func (e *attemptError) Unwrap() error { return e.cause }

// failedMayHaveRun returns the error of an attempt that may have run.
func failedMayHaveRun(f Failure, cause error) *attemptError {
	return &attemptError{failure: f, verdict: verdict.MayHaveRun, cause: cause}
}

// failedNotRun returns the error of an attempt that did not run.
func failedNotRun(f Failure, cause error) *attemptError {
	return &attemptError{failure: f, verdict: verdict.NotRun, cause: cause}
}

// callerError returns the error for the caller. overall is the verdict over all
// attempts.
func (e *attemptError) callerError(overall verdict.Verdict) *verdict.Error {
	out := &verdict.Error{
		Verdict:    overall,
		Status:     http.StatusBadGateway,
		Code:       "backend_" + e.failure.String(),
		Message:    "the backend server failed",
		RetryAfter: e.retryAfter,
		Cause:      e,
	}
	switch e.failure {
	case ConnectFailed, NotSent, Refused:
		out.Status = http.StatusServiceUnavailable
	case BadRequest:
		out.Status = http.StatusBadRequest
		out.Code = "bad_request"
		out.Message = "the request body is not a JSON object"
		return out
	case Stalled:
		out.Status = http.StatusGatewayTimeout
	case CallerCanceled:
		out.Status = http.StatusGatewayTimeout
		out.Code = "deadline_exceeded"
		out.Message = "the caller left or its deadline passed"
	case CallerFailed:
		out.Code = "caller_failed"
		out.Message = "the answer could not be written to the caller"
	}
	if out.RetryAfter == 0 {
		out.RetryAfter = defaultRetryAfter
	}
	return out
}

// defaultRetryAfter is the retry delay sent to the caller if no server gave one.
const defaultRetryAfter = 1 * time.Second
