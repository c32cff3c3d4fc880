package delivery

import (
	"time"

	"papayaspan.dev/papayaspan/internal/canary"
	"papayaspan.dev/papayaspan/internal/fleet"
)

// Choice states which versions of a service one request may use. The zero value allows all.
type Choice struct {
	d       *Delivery
	service string
	gate    canary.Choice
	// only is set if the servers all have one version that was in use before any order: there is
	// nothing to choose between.
	only bool
	// newSent is set once the request was sent to the new version.
	newSent bool
}

// Choose decides which versions of a service a request may use. It is called once for a request.
func (d *Delivery) Choose(service string, servers []*fleet.Entry) Choice {
	now := d.opts.Now()
	c := Choice{d: d, service: service}
	if !d.hasSettled(service) {
		d.observeVersions(now) // The servers were announced since the last step.
	}
	d.mu.RLock()
	c.only = d.soleSettled(service, servers)
	in, known := d.latest[service]
	d.mu.RUnlock()
	if !c.only && known && !in.over(now) {
		c.gate = d.gate.Route(service, now)
	}
	return c
}

// over reports whether the roll-out has completed so long ago that it restricts nothing any more.
func (a *announced) over(now time.Time) bool {
	return a.Phase == canary.Completed && now.Sub(a.since) > completedHold
}

// hasSettled reports whether any version of a service is settled.
func (d *Delivery) hasSettled(service string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for v := range d.settled {
		if v.Service == service {
			return true
		}
	}
	return false
}

// soleSettled reports whether all servers have one version and that may be used without an order.
// The caller holds d.mu.
func (d *Delivery) soleSettled(service string, servers []*fleet.Entry) bool {
	for _, e := range servers {
		if e.Software != servers[0].Software {
			return false
		}
	}
	if len(servers) == 0 {
		return true
	}
	_, settled := d.settled[Version{Service: service, Version: servers[0].Software}]
	return settled
}

// Unrestricted reports whether the request may use all versions.
func (c *Choice) Unrestricted() bool { return c.d == nil || c.only }

// PrefersNew reports whether the request is one of the share of the new version.
func (c *Choice) PrefersNew() bool { return c.gate.UseNew && !c.newSent }

// IsNew reports whether a version is the one that the request may use as part of its share.
func (c *Choice) IsNew(version string) bool { return c.gate.Active && version == c.gate.To }

// Sent records that the request is sent to a version. A further attempt goes to the old version as
// long as that may be used, so that a bad version gets no more than its share.
func (c *Choice) Sent(version string) {
	c.newSent = c.newSent || c.IsNew(version)
}

// Allows reports whether the request may be sent to a version now.
func (c *Choice) Allows(version string) bool {
	if c.d == nil || c.only {
		return true
	}
	d, now := c.d, c.d.opts.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	v := Version{Service: c.service, Version: version}
	in, known := d.latest[c.service]
	if known && in.To == version && in.Phase != canary.RolledBack && !in.over(now) {
		// Once the old versions get nothing, all requests go to the new one, also those for which
		// the choice was made before.
		granted := c.gate.UseNew && c.gate.To == version && !c.newSent && now.Before(in.until)
		return granted || in.stopsOld(now)
	}
	if _, banned := d.banned[v]; banned {
		return false
	}
	if _, settled := d.settled[v]; !settled {
		return false
	}
	return !known || !in.stopsOld(now)
}

// stopsOld reports whether no request may go to versions other than the announced one.
func (a *announced) stopsOld(now time.Time) bool {
	switch a.Phase {
	case canary.Completed:
		return !a.over(now)
	case canary.Running:
		return a.OldStopping && now.Before(a.until)
	}
	return false
}

// AllowsPinned reports whether a stream that began at a version may continue there.
func (d *Delivery) AllowsPinned(service, version string) bool {
	now := d.opts.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	if _, banned := d.banned[Version{Service: service, Version: version}]; banned {
		return false
	}
	in, known := d.latest[service]
	return !known || in.To == version || in.Phase != canary.Completed || in.over(now)
}

// Begin counts a request that is about to be sent to a version, until end is called.
func (d *Delivery) Begin(service, version string) (end func()) {
	return d.tally.Begin(service, d.isNew(service, version))
}

// Record counts the outcome of a request that was sent to a version.
func (d *Delivery) Record(service, route, version string, failed bool, latency time.Duration) {
	d.tally.Record(service, route, d.isNew(service, version), failed, latency)
}

func (d *Delivery) isNew(service, version string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	in, known := d.latest[service]
	return known && in.To == version
}
