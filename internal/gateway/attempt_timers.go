package gateway

import (
	"time"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/selector"
)

// startSilenceTimer makes a repeatable request leave a server that sends nothing, if
// another attempt is allowed.
func (a *attempt) startSilenceTimer() {
	t := a.t
	if !t.route.Repeatable() || t.sends+1 >= t.route.MaxAttempts {
		return
	}
	if t.route.Kind != catalog.Stream {
		a.silenceTimer = time.AfterFunc(max(minSilence, silenceObjectives*t.route.Objective), a.cancelSilent)
		return
	}
	a.silenceTimer = time.AfterFunc(maxStreamPause, a.checkSilence)
}

// startWeightsTimer cancels a stream whose first event has not arrived by the time when
// no run may begin on the engine's weights any more. An engine drops a request that has
// not begun when its connection closes.
func (a *attempt) startWeightsTimer() {
	t := a.t
	if t.prompt == nil || t.route.Kind != catalog.Stream {
		return
	}
	c := selector.Candidate{Staleness: t.weightsStaleness(a.candidate.Entry, t.g.opts.Now())}
	if in, ok := t.g.model().MustStartIn(&c); ok {
		a.weightsTimer = time.AfterFunc(in, func() {
			if a.firstEventAt.Load() == nil {
				a.weightsExpired.Store(true)
				a.cancel()
			}
		})
	}
}

// checkSilence cancels the attempt if the engine has sent nothing to any request of
// this VM for too long. An engine that responds to other requests is only busy, and
// another engine would have to read the prompt again.
func (a *attempt) checkSilence() {
	pause := maxStreamPause
	if a.firstEventAt.Load() == nil {
		pause = max(maxStreamPause, silenceObjectives*a.objective)
	}
	if left := pause - a.inFlight.SilentFor(); left > 0 {
		a.silenceTimer.Reset(left)
		return
	}
	a.cancelSilent()
}

// cancelSilent ends the attempt because of the server's silence, so that another server
// can be tried.
func (a *attempt) cancelSilent() {
	if a.t.hedging.isLastAttempt() {
		return
	}
	a.silent.Store(true)
	a.cancel()
}
