package admission

import (
	"context"
	"net/http"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/verdict"
)

const (
	// statusClientClosedRequest is the conventional, non-standard HTTP status for
	// a connection that the client closed before the response.
	statusClientClosedRequest = 499
	codeCallerLeft            = "caller_left"
)

// Controller makes a Queue safe for concurrent use and blocks each request until
// it is admitted.
type Controller struct {
	mu    sync.Mutex
	queue *Queue
	// admitted holds a channel for each waiting request, closed on admission.
	admitted map[ID]chan struct{}
}

// NewController returns a controller over an empty queue.
func NewController(settings Settings, capacity float64) *Controller {
	return &Controller{
		queue:    NewQueue(settings, capacity),
		admitted: map[ID]chan struct{}{},
	}
}

// SetCapacity changes the limit on the tokens in flight.
func (c *Controller) SetCapacity(tokens float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.SetCapacity(tokens)
	c.admitReady()
}

// Load returns the number of waiting requests and the tokens in flight.
func (c *Controller) Load() (waiting int, tokensInFlight float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Waiting(), c.queue.InFlight()
}

// Admit blocks until the request is admitted, its deadline passes or ctx is
// done. The caller must call release once with the tokens that were used. The
// error is a *verdict.Error with verdict NotRun.
func (c *Controller) Admit(ctx context.Context, r Request) (release func(used float64), err error) {
	id, ready, refusal := c.enqueue(r)
	if refusal != nil {
		return nil, refusal.err()
	}
	var expired <-chan time.Time
	if !r.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(r.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-ready:
	case <-ctx.Done():
		if c.cancel(id) {
			return nil, verdict.Refuse(statusClientClosedRequest, codeCallerLeft, "the caller left before the request ran")
		}
	case <-expired:
		if refusal := c.expire(id); refusal != nil {
			return nil, refusal.err()
		}
	}
	return func(used float64) { c.release(id, used) }, nil
}

func (c *Controller) enqueue(r Request) (ID, <-chan struct{}, *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, refusal := c.queue.Enqueue(r, time.Now())
	if refusal != nil {
		return id, nil, refusal
	}
	ready := make(chan struct{})
	c.admitted[id] = ready
	c.admitReady()
	return id, ready, nil
}

// admitReady admits requests until the capacity is used up and wakes their
// goroutines. The caller holds c.mu.
func (c *Controller) admitReady() {
	now := time.Now()
	for {
		id, ok := c.queue.Dequeue(now)
		if !ok {
			return
		}
		close(c.admitted[id])
		delete(c.admitted, id)
	}
}

func (c *Controller) release(id ID, used float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Release(id, used, time.Now())
	c.admitReady()
}

// cancel removes a waiting request and reports whether it was still waiting.
func (c *Controller) cancel(id ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.Cancel(id) {
		return false
	}
	delete(c.admitted, id)
	return true
}

// expire removes a waiting request whose deadline has passed and returns its
// refusal, or nil if the request was admitted meanwhile.
func (c *Controller) expire(id ID) *Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	refusal := c.queue.TimeOut(id, time.Now())
	if refusal != nil {
		delete(c.admitted, id)
	}
	return refusal
}

func (r *Refusal) err() *verdict.Error {
	if r.Reason == QueueFull {
		return verdict.RefuseUntil(http.StatusTooManyRequests, string(r.Reason),
			"too many requests of this client account are waiting", r.RetryAfter)
	}
	return verdict.RefuseUntil(http.StatusServiceUnavailable, string(r.Reason),
		"the request waited until its deadline", r.RetryAfter)
}
