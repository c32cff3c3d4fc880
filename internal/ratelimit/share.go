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
	// minRate is the rate, in requests a second, at which a server is asked that names a
	// smaller one: else nobody would hear that it takes more again.
	minRate = 0.1
	// sharersPerRate bounds the VMs that share a rate, by that rate in requests a second.
	// Each may have saved up a request, or what its share allows in a second. In the 4 s of
	// the platform's rule that is at most five and a half times the rate and one request; the
	// rule allows six times the rate and five.
	sharersPerRate = 1.5
)

// sharers returns the number of VMs that share a rate.
func sharers(perSecond float64, senders int) int {
	return min(senders, 1+int(min(sharersPerRate*perSecond, float64(senders))))
}

// portion returns the part of a server's rate that this VM may use, in requests a second; 0
// if it is not one of the VMs that share it. It is called with the mutex held.
func (t *Table) portion(key selector.ServerKey, perSecond float64) portion {
	perSecond = max(perSecond, minRate)
	n := sharers(perSecond, len(t.senders))
	name := rendezvous.NewKey(string(key.ID))
	ranked := slices.SortedFunc(slices.Values(t.senders), func(a, b vm.ID) int {
		return cmp.Compare(name.Score(string(b)), name.Score(string(a)))
	})
	if !slices.Contains(ranked[:n], t.self) {
		return portion{whole: perSecond}
	}
	return portion{whole: perSecond, own: perSecond / float64(n)}
}

// portion is a server's rate and this VM's part of it, in requests a second.
type portion struct{ whole, own float64 }

// share admits requests of this VM to a server.
type share struct {
	portion
	// limiter is nil if this VM has no part of the rate.
	limiter *rate.Limiter
}

// resized returns the share for another portion; s may be nil. A VM that gets a part starts
// with nothing saved up: the server has had its requests from others.
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

// wait returns the time until the share allows a request.
func (s *share) wait(now time.Time) time.Duration {
	missing := 1 - s.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / s.own * float64(time.Second))
}

// Share returns the part of a server's rate that this VM may use, in requests a second; 0 if
// it has none, or if the server names no rate.
func (t *Table) Share(key selector.ServerKey) float64 {
	if s := (*t.shares.Load())[key]; s != nil {
		return s.own
	}
	return 0
}

// Wait returns the time until this VM may send a request to a server. Where it has no part of
// the server's rate ok is false, and the time is that between two requests of all VMs.
func (t *Table) Wait(key selector.ServerKey) (wait time.Duration, ok bool) {
	s := (*t.shares.Load())[key]
	switch {
	case s == nil:
		return 0, true
	case s.limiter == nil:
		return time.Duration(float64(time.Second) / s.whole), false
	}
	return s.wait(t.now()), true
}

// Place is the right to send one request to a server.
type Place struct {
	// Counted is set if the place counts against a rate that the server names.
	Counted bool
	// In is when the request may be sent.
	In time.Duration
}

// Reserve takes a place for a request to a server if there is one within a time.
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
