package delivery

import (
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/canary"
	"papayaspan.dev/papayaspan/internal/fleet"
)

// maxSettled bounds the remembered versions, which servers name.
const maxSettled = 4096

// observeVersions settles the version that a service already had and notes those that are new.
func (d *Delivery) observeVersions(now time.Time) {
	oldest := map[string]*fleet.Entry{}
	present := map[Version]bool{}
	servers := d.opts.Servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := map[string]bool{}
	for v := range d.settled {
		known[v.Service] = true
	}
	for _, e := range servers {
		v := Version{Service: e.Service, Version: e.Software}
		present[v] = true
		// Servers of a new version are started beside those of the old one, so that the version
		// with the oldest server is the old one.
		if o := oldest[e.Service]; !d.named(v) && (o == nil || e.Started < o.Started) {
			oldest[e.Service] = e
		}
	}
	for service, e := range oldest {
		if !known[service] {
			d.settle(Version{Service: service, Version: e.Software}, now)
		}
	}
	for v := range present {
		_, settled := d.settled[v]
		_, pending := d.pending[v]
		if !settled && !pending && !d.named(v) {
			d.pending[v] = now
			d.opts.Log.Info("server_version_new", zap.String("service", v.Service), zap.String("software", v.Version))
		}
	}
	for v := range d.pending {
		if !present[v] || d.named(v) {
			delete(d.pending, v)
		}
	}
}

// named reports whether an order names a version that is not completed. The caller holds d.mu.
func (d *Delivery) named(v Version) bool {
	if o, ok := d.orders[v.Service]; ok && o.To == v.Version {
		return true
	}
	if in, ok := d.latest[v.Service]; ok && in.To == v.Version && in.Phase != canary.Completed {
		return true
	}
	_, banned := d.banned[v]
	return banned
}

// settle allows a version without an order. The caller holds d.mu.
func (d *Delivery) settle(v Version, now time.Time) {
	if _, known := d.settled[v]; known || len(d.settled) >= maxSettled {
		return
	}
	d.settled[v] = now
	delete(d.pending, v)
	d.opts.Log.Info("server_version_settled", zap.String("service", v.Service), zap.String("software", v.Version))
}

// readDue reports whether the orders have to be read: their rows have changed, or a version waits
// to be known not to be named.
func (d *Delivery) readDue(now time.Time) bool {
	if now.Before(d.scanFrom) {
		return false
	}
	reads := d.opts.Reads()
	if d.scanDue.Load() && reads {
		return true
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, since := range d.pending {
		if reads || now.Sub(since) > peerWait {
			return true
		}
	}
	return false
}
