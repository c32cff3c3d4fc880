package admission

import (
	"context"
	"net/http"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/verdict"
)

const (
	// statusCallerLeft is the conventional status for a closed connection.
	statusCallerLeft = 499
	codeCallerLeft   = "caller_left"
)

// Controller is a Queue for concurrent use.
type Controller struct {
	mu      sync.Mutex
	queue   *Queue
	waiters map[ID]chan struct{}
}

// NewController returns a controller over an empty queue.
func NewController(settings Settings, capacity float64) *Controller {
	return &Controller{
		queue:   NewQueue(settings, capacity),
		waiters: map[ID]chan struct{}{},
	}
}

// SetCapacity changes the limit of tokens in flight.
func (c *Controller) SetCapacity(tokens float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.SetCapacity(tokens)
	c.admit()
}

// Load returns the number of waiting requests and the tokens in flight.
func (c *Controller) Load() (waiting int, tokensInFlight float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Waiting(), c.queue.InFlight()
}

// Admit waits until the request may go to the engines. The caller must call
// release once with the tokens that were used. An error is a *verdict.Error
// with verdict NotRun.
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
			return nil, verdict.Refuse(statusCallerLeft, codeCallerLeft, "the caller left before the request ran")
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
	c.waiters[id] = ready
	c.admit()
	return id, ready, nil
}

// admit wakes the waiters of all requests that may go now.
func (c *Controller) admit() {
	now := time.Now()
	for {
		id, ok := c.queue.Dequeue(now)
		if !ok {
			return
		}
		close(c.waiters[id])
		delete(c.waiters, id)
	}
}

func (c *Controller) release(id ID, used float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Release(id, used, time.Now())
	c.admit()
}

// cancel reports whether the request was still waiting.
func (c *Controller) cancel(id ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.Cancel(id) {
		return false
	}
	delete(c.waiters, id)
	return true
}

// expire returns the refusal, or nil if the request was admitted meanwhile.
func (c *Controller) expire(id ID) *Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	refusal := c.queue.GiveUp(id, time.Now())
	if refusal != nil {
		delete(c.waiters, id)
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
