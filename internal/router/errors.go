package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// writeError writes an OpenAI error object that also holds the verdict.
func writeError(w http.ResponseWriter, requestID string, e *verdict.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	writeJSON(w, e.Status, openai.ErrorBody{Error: openai.ErrorDetail{
		Message:   e.Message,
		Type:      openai.ErrorType(e.Status),
		Code:      e.Code,
		Verdict:   e.Verdict.String(),
		RequestID: requestID,
	}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
