package gateway

import (
	"context"
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const (
	// codeConfigurationOutdated is the code of a call that would be refused by a configuration of which
	// a newer version is in force elsewhere.
	codeConfigurationOutdated = "configuration_outdated"
	// maxCatalogWait bounds the wait of such a call for the newer version, beside a share of the
	// caller's time. Callers give an unanswered request up after a second.
	maxCatalogWait     = 500 * time.Millisecond
	catalogWaitDivisor = 4
	catalogPoll        = 20 * time.Millisecond
	// maxCatalogWaiters bounds the calls that wait. Calls with unknown keys must not hold the
	// connections of others.
	maxCatalogWaiters = 64
)

// confirmRefusal returns the refusal of a call that the configuration in force doesn't allow. If
// another VM has a newer one, the call waits for that, and is refused for the time being if it doesn't
// come.
func (t *task) confirmRefusal(ctx context.Context, refusal *verdict.Error) *verdict.Error {
	g := t.g
	if !g.outdated(t) {
		return refusal
	}
	g.meters.outdatedRefusals.Inc(1)
	defer func(began time.Time) { t.outcome.catalogWait = g.opts.Now().Sub(began) }(g.opts.Now())
	if g.catalogWaiters.Add(1) > maxCatalogWaiters {
		g.catalogWaiters.Add(-1)
		return outdatedError()
	}
	defer g.catalogWaiters.Add(-1)
	wait := maxCatalogWait
	if t.call.CallerTimeout > 0 {
		wait = min(wait, t.call.CallerTimeout/catalogWaitDivisor)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for refusal != nil && g.outdated(t) {
		if g.Catalog() != t.catalog {
			t.catalog = g.Catalog()
			refusal = t.match()
		} else if !clock.Sleep(ctx, catalogPoll) {
			return outdatedError()
		}
	}
	return refusal
}

// outdated reports whether another VM has a newer configuration than the call was evaluated by.
func (g *Gateway) outdated(t *task) bool {
	return g.Catalog() != t.catalog || g.opts.NewerCatalogKnown != nil && g.opts.NewerCatalogKnown(t.catalog.Version)
}

func outdatedError() *verdict.Error {
	return verdict.RefuseUntil(http.StatusServiceUnavailable, codeConfigurationOutdated, "this VM doesn't have the newest configuration yet", configRetryAfter)
}
