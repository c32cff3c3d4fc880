package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/clientconn"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const overloadRetryAfter = 1 * time.Second

type requestIDKey struct{}

func requestID(req *http.Request) string {
	id, _ := req.Context().Value(requestIDKey{}).(string)
	return id
}

// limit wraps a handler: it limits the number of open requests and the duration
// of each, and assigns request IDs.
func (r *Router) limit(next http.Handler) http.Handler {
	limits := r.opts.Settings.Limits
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := uuid.NewString()
		w.Header().Set(openai.HeaderRequestID, id)
		if r.Draining() {
			w.Header().Set("Connection", "close")
		}
		defer r.openRequests.Add(-1)
		if r.openRequests.Add(1) > int64(limits.MaxOpenRequests) {
			r.refuse(w, id, verdict.RefuseUntil(http.StatusServiceUnavailable, "too_many_open_requests", "this VM has too many open requests", overloadRetryAfter))
			return
		}
		ctx, cancel := context.WithTimeout(req.Context(), limits.RequestTimeout.Std())
		defer cancel()
		ctx = context.WithValue(ctx, requestIDKey{}, id)
		next.ServeHTTP(w, req.WithContext(ctx))
	})
}

// readBody reads the whole body within the size limit and the body timeout.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *verdict.Error) {
	limits := r.opts.Settings.Limits
	// The error is ignored: some response writers in tests support no deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limits.BodyTimeout.Std()))
	body, release, refusal := r.opts.Clients.ReadBody(w, req, limits.MaxBodyBytes)
	context.AfterFunc(req.Context(), release) // It ends with the handler.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if refusal != nil && refusal.Code == clientconn.CodeIncomplete {
		refusal.Status = http.StatusRequestTimeout
	}
	return body, refusal
}

// checkDepth refuses a body that is not a single JSON value or is nested deeper
// than limit.
func checkDepth(body []byte, limit int) *verdict.Error {
	if !json.Valid(body) {
		return verdict.Refuse(http.StatusBadRequest, "malformed_json", "the body is not JSON")
	}
	if jsonDepth(body) > limit {
		return verdict.Refuse(http.StatusBadRequest, "json_too_deep", errors.Errorf("the body nests deeper than %d", limit).Error())
	}
	return nil
}

// jsonDepth returns the nesting depth of valid JSON.
func jsonDepth(body []byte) int {
	depth, deepest := 0, 0
	inString := false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case c == '"':
			inString = !inString
		case c == '\\':
			i++ // Skip the escaped character. Escapes occur only in strings.
		case inString:
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return deepest
}
