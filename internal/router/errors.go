package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// writeError writes the OpenAI error object with the verdict.
func writeError(w http.ResponseWriter, requestID string, e *verdict.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	writeJSON(w, e.Status, openai.ErrorBody{Error: openai.ErrorDetail{
		Message:   e.Message,
		Type:      errorType(e.Status),
		Code:      e.Code,
		Verdict:   e.Verdict.String(),
		RequestID: requestID,
	}})
}

// errorType returns the OpenAI error type for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
