package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/verdict"
)

// Failure is the way in which an attempt failed.
type Failure uint8

const (
	// None means that the attempt succeeded.
	None Failure = iota
	// ConnectFailed means that no connection could be established.
	ConnectFailed
	// NotSent means that idle connections were closed before a byte was
	// written.
	NotSent
	// Refused means that the server's contract says that it did not run the
	// request.
	Refused
	// ConnectionLost means an error after the first byte was written.
	ConnectionLost
	// Truncated means an answer without its end.
	Truncated
	// Stalled means that the server sent nothing for too long.
	Stalled
	// Crossed means an answer to another request.
	Crossed
	// BadAnswer means an answer that breaks the protocol.
	BadAnswer
	// ServerError means an answer with a 5xx status.
	ServerError
	// BadRequest means that the request cannot be sent as it is.
	BadRequest
	// CallerGone means that the caller left or its deadline passed.
	CallerGone
	// CallerFailed means that the answer could not be written to the caller.
	CallerFailed
)

var failureNames = [...]string{
	"none", "connect_failed", "not_sent", "refused", "connection_lost", "truncated", "stalled",
	"crossed", "bad_answer", "server_error", "bad_request", "caller_gone", "caller_failed",
}

// String returns the name used in logs.
func (f Failure) String() string { return failureNames[f] }

// MaySuggestCrash reports whether the failure may be due to a crash of the
// server while it ran the request.
func (f Failure) MaySuggestCrash() bool {
	return f == ConnectionLost || f == Truncated
}

// attemptError is the failure of one attempt.
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

func failed(f Failure, cause error) *attemptError {
	return &attemptError{failure: f, verdict: verdict.MayHaveRun, cause: cause}
}

func notRun(f Failure, cause error) *attemptError {
	return &attemptError{failure: f, verdict: verdict.NotRun, cause: cause}
}

// final returns the error that goes to the caller. ran is the verdict over all
// attempts.
func (e *attemptError) final(ran verdict.Verdict) *verdict.Error {
	out := &verdict.Error{
		Verdict:    ran,
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
	case CallerGone:
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

// defaultRetryAfter is when to come back if no server named a time.
const defaultRetryAfter = 1 * time.Second
