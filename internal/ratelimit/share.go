package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"papayaspan.dev/papayaspan/internal/rendezvous"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// minRate is the lowest rate, in requests a second, at which requests are sent to a
	// server that states a lower limit. Without requests there would be no responses to
	// show that the limit has been raised.
	minRate = 0.1
	// sharersPerRate bounds the number of VMs that share a limit, per request a second of
	// that limit. Each sharer may have a burst of one request or of one second of its share,
	// whichever is larger. In the 4 s window of the platform's rule the total is at most 5.5
	// times the limit plus one request; the rule allows six times the limit plus five.
	sharersPerRate = 1.5
)

// sharerCount returns the number of VMs that share a limit of perSecond.
func sharerCount(perSecond float64, senders int) int {
	return min(senders, 1+int(min(sharersPerRate*perSecond, float64(senders))))
}

// portion returns the part of a server's limit that this VM may use; its own rate is 0 if
// the VM is not one of the sharers. The caller holds the mutex.
func (t *Table) portion(key selector.ServerKey, perSecond float64) portion {
	perSecond = max(perSecond, minRate)
	n := sharerCount(perSecond, len(t.senders))
	name := rendezvous.NewKey(string(key.ID))
	ranked := slices.SortedFunc(slices.Values(t.senders), func(a, b vm.ID) int {
		return cmp.Compare(name.Score(string(b)), name.Score(string(a)))
	})
	if !slices.Contains(ranked[:n], t.self) {
		return portion{total: perSecond}
	}
	return portion{total: perSecond, own: perSecond / float64(n)}
}

// portion is a server's rate limit and this VM's part of it, in requests a second.
type portion struct{ total, own float64 }

// share admits requests of this VM to a server.
type share struct {
	portion
	// limiter is nil if this VM has no part of the limit.
	limiter *rate.Limiter
}

// resized returns the share for the portion p; s may be nil. A VM that newly becomes a
// sharer starts without a burst, because other VMs have used the limit until now.
func (s *share) resized(p portion, now time.Time) *share {
	switch {
	case s != nil && s.portion == p:
		return s
	case p.own <= 0:
		return &share{portion: p}
	}
	burst := max(1, int(p.own))
	if s != nil && s.limiter != nil {
		s.limiter.SetLimitAt(now, rate.Limit(p.own))
		s.limiter.SetBurstAt(now, burst)
		return &share{portion: p, limiter: s.limiter}
	}
	l := rate.NewLimiter(rate.Limit(p.own), burst)
	l.AllowN(now, burst)
	return &share{portion: p, limiter: l}
}

// wait returns the time until the share permits a request.
func (s *share) wait(now time.Time) time.Duration {
	missing := 1 - s.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / s.own * float64(time.Second))
}

// Share returns the part of a server's rate limit that this VM may use, in requests a
// second. It is 0 if the VM has none or the server has no limit.
func (t *Table) Share(key selector.ServerKey) float64 {
	if s := (*t.shares.Load())[key]; s != nil {
		return s.own
	}
	return 0
}

// Wait returns the time until this VM may send a request to a server. If the VM has no part
// of the server's limit, ok is false and wait is the mean interval between the requests of
// all VMs together.
func (t *Table) Wait(key selector.ServerKey) (wait time.Duration, ok bool) {
	s := (*t.shares.Load())[key]
	switch {
	case s == nil:
		return 0, true
	case s.limiter == nil:
		return time.Duration(float64(time.Second) / s.total), false
	}
	return s.wait(t.now()), true
}

// Place is a reservation for one request to a server.
type Place struct {
	// Counted is set if the request counts against a rate limit of the server.
	Counted bool
	// In is the time until the request may be sent.
	In time.Duration
}

// Reserve reserves a request to a server if it may be sent within the given time.
func (t *Table) Reserve(key selector.ServerKey, within time.Duration) (p Place, ok bool) {
	s := (*t.shares.Load())[key]
	switch {
	case s == nil:
		return Place{}, true
	case s.limiter == nil:
		return Place{}, false
	}
	now := t.now()
	r := s.limiter.ReserveN(now, 1)
	if in := r.DelayFrom(now); in <= within {
		return Place{Counted: true, In: in}, true
	}
	r.CancelAt(now)
	return Place{}, false
}
