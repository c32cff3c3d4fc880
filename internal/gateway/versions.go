package gateway

import (
	"net/http"
	"time"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/delivery"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/selector"
)

// versionChoice states which software versions a call may use during a roll-out.
type versionChoice struct {
	delivery.Choice
	made bool
	// newOnly restricts the choice to servers of the new version.
	newOnly bool
	// asked holds the answers for the versions met during one pass over the servers, which are few.
	asked []askedVersion
}

type askedVersion struct {
	version string
	allowed bool
}

// usesVersion is allowsVersion for one pass over the servers: each version is looked up once.
func (t *task) usesVersion(e *fleet.Entry) bool {
	if t.g.opts.Rollouts == nil {
		return true
	}
	for _, a := range t.versions.asked {
		if a.version == e.Software {
			return a.allowed
		}
	}
	allowed := t.allowsVersion(e)
	t.versions.asked = append(t.versions.asked, askedVersion{version: e.Software, allowed: allowed})
	return allowed
}

// classifyVersions adds the servers that may get the call to the lists. A call of the new version's share
// gets its servers if one is available, and otherwise those of the old version.
func (t *task) classifyVersions(all *choices, service *catalog.Service, model selector.CostModel, q selector.Query) {
	r := t.g.opts.Rollouts
	t.versions.asked = t.versions.asked[:0]
	if r == nil || t.pinned != nil {
		all.classify(t, service, model, q)
		return
	}
	if !t.versions.made {
		t.versions = versionChoice{Choice: r.Choose(service.Name, t.g.opts.Directory.View().Service(service.Name)), made: true}
	}
	if t.versions.PrefersNew() {
		t.versions.newOnly = true
		all.classify(t, service, model, q)
		t.versions.newOnly, t.versions.asked = false, t.versions.asked[:0]
		if len(all.available) > 0 {
			return
		}
		all.reset()
	}
	all.classify(t, service, model, q)
}

// allowsVersion reports whether the call may be sent to a server's version now. A stream stays at
// the version that began it, unless that was rolled back or its servers stop.
func (t *task) allowsVersion(e *fleet.Entry) bool {
	r := t.g.opts.Rollouts
	switch {
	case r == nil:
		return true
	case t.pinned != nil:
		return r.AllowsPinned(e.Service, e.Software)
	case t.versions.newOnly && !t.versions.IsNew(e.Software):
		return false
	}
	return t.versions.Allows(e.Software)
}

// beginVersion counts the attempt as running at its server's version.
func (a *attempt) beginVersion() {
	if r := a.t.g.opts.Rollouts; r != nil {
		a.versionEnd = r.Begin(a.service.Name, a.candidate.Entry.Software)
	}
}

// endVersion records the outcome of the attempt for its server's version.
func (a *attempt) endVersion(f *failure) {
	if a.versionEnd == nil {
		return
	}
	a.versionEnd()
	t := a.t
	if !a.sent.Load() {
		return
	}
	t.versions.Sent(a.candidate.Entry.Software)
	if f != nil && (f.callerGone || !f.mayHaveRun || f.code == codeStopping || a.refused.Load() || a.weightsExpired.Load()) {
		return // The server declined it, or it was ended for a reason that says nothing of the version.
	}
	failed := f != nil || t.outcome.status >= http.StatusInternalServerError
	latency := t.g.opts.Now().Sub(a.sentAt)
	if first := a.firstEventAt.Load(); first != nil {
		latency = first.Sub(a.sentAt)
	}
	t.g.opts.Rollouts.Record(a.service.Name, t.routeName(), a.candidate.Entry.Software, failed, max(0, latency-a.expectedPrefill()))
}

// expectedPrefill returns the time that the engine was expected to take for the prompts before the call's and for
// the part of that which it hasn't cached. The caches of new servers are empty, which must not make their
// version seem slow.
func (a *attempt) expectedPrefill() time.Duration {
	t, c := a.t, &a.candidate
	if t.prompt == nil {
		return 0
	}
	uncached := max(0, float64(t.call.PromptTokens)-c.CachedTokens-c.Fetch.Tokens)
	return t.g.model().PrefillTime(int(c.Backlog + uncached))
}
