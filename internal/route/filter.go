package route

import (
	"slices"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Filter decides whether an engine may get a request.
type Filter interface {
	Allows(r *Request, e *Engine) bool
}

// FilterFunc adapts a function to a Filter.
type FilterFunc func(r *Request, e *Engine) bool

// Allows calls f.
func (f FilterFunc) Allows(r *Request, e *Engine) bool { return f(r, e) }

// NotExcluded drops the engines in Request.Excluded.
var NotExcluded = FilterFunc(func(r *Request, e *Engine) bool {
	return !slices.Contains(r.Excluded, e.ID)
})

// NotLeaving drops engines that are being drained.
var NotLeaving = FilterFunc(func(_ *Request, e *Engine) bool { return !e.Leaving })

// Healthy returns a filter that drops engines for which broken returns true,
// such as those with an open circuit breaker.
func Healthy(unhealthy func(backend.ID) bool) Filter {
	return FilterFunc(func(_ *Request, e *Engine) bool { return !unhealthy(e.ID) })
}
