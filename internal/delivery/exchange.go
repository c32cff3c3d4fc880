package delivery

import (
	"cmp"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/canary"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Notices is what VMs tell each other about roll-outs.
type Notices struct {
	Announcements []canary.Announcement `json:"a,omitempty"`
	Reports       []canary.VMReport     `json:"r,omitempty"`
	// Settled are the versions that were recently found not to be named by an order.
	Settled []Version `json:"v,omitempty"`
}

const (
	// maxReports, maxRoutes, maxAnnouncements and maxSettledNotices bound a message: it must fit a
	// datagram beside the rest of a digest.
	maxReports        = 48
	maxRoutes         = 17
	maxAnnouncements  = 48
	maxSettledNotices = 32
	// repeatInterval is the time after which what hasn't changed is sent again.
	repeatInterval = time.Second
	// reportFresh is the time since its arrival within which a report shows the present state of
	// its VM. Later only its counts are used.
	reportFresh = 3 * time.Second
	// settledNoticeAge is how long a settled version is reported.
	settledNoticeAge = 5 * time.Second
	// finalReports is how long reports are sent after the final phase.
	finalReports = 5 * time.Second
)

type reportKey struct {
	vm          vm.ID
	incarnation vm.Incarnation
	service     string
}

type receivedReport struct {
	report canary.Report
	at     time.Time
	// local is set if the report is to be passed on to other domains.
	local bool
	// sentAt is when it was last sent, changed whether it has changed since.
	sentAt  time.Time
	changed bool
}

// reportTable holds the last report of each process.
type reportTable struct {
	entries map[reportKey]*receivedReport
	// finalsSent is when announcements of final phases were last sent.
	finalsSent time.Time
}

// record replaces a process's report.
func (t *reportTable) record(key reportKey, r canary.Report, at time.Time, local bool) {
	old := t.entries[key]
	switch {
	case old == nil || old.report.Order.Before(r.Order):
		old = &receivedReport{changed: true}
		t.entries[key] = old
	case r.Order.Before(old.report.Order) || r.Sent < old.report.Sent:
		return // Two relays report with different delays.
	}
	old.changed = old.changed || old.report.Sent != r.Sent || old.report.Stage != r.Stage || old.report.OldRunning != r.OldRunning ||
		!slices.Equal(old.report.Routes, r.Routes)
	old.report, old.at, old.local = r, at, old.local || local
}

// Notices returns what a digest tells the VMs of this domain. holder is set on the holder of the
// order lease, which keeps the shares of running stages valid.
func (d *Delivery) Notices(holder bool) *Notices {
	now := d.opts.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordOwn(now)
	n := &Notices{Announcements: d.announcements(now, holder || d.opts.IsRelay())}
	for key, h := range d.reports.entries {
		if key.vm == d.opts.VM && key.incarnation == d.opts.Incarnation && (h.changed || now.Sub(h.sentAt) >= repeatInterval) {
			n.Reports = append(n.Reports, wireReport(key, h))
			if !d.opts.IsRelay() {
				h.sentAt, h.changed = now, false
			}
		}
	}
	n.Settled = d.recentlySettled(now)
	return n.orNil()
}

// DomainNotices returns what a summary tells the VMs of other domains.
func (d *Delivery) DomainNotices() *Notices {
	now := d.opts.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &Notices{Announcements: d.announcements(now, true), Settled: d.recentlySettled(now)}
	var due []reportKey
	for key, h := range d.reports.entries {
		if h.local && (h.changed || now.Sub(h.sentAt) >= repeatInterval) && now.Sub(h.at) < reportFresh {
			due = append(due, key)
		}
	}
	// Those that have waited longest come first, so that each is sent in turn.
	slices.SortFunc(due, func(a, b reportKey) int {
		return cmp.Or(d.reports.entries[a].sentAt.Compare(d.reports.entries[b].sentAt), cmp.Compare(a.vm, b.vm), cmp.Compare(a.service, b.service))
	})
	for _, key := range due[:min(len(due), maxReports)] {
		h := d.reports.entries[key]
		h.sentAt, h.changed = now, false
		n.Reports = append(n.Reports, wireReport(key, h))
	}
	return n.orNil()
}

func (n *Notices) orNil() *Notices {
	if len(n.Announcements)+len(n.Reports)+len(n.Settled) == 0 {
		return nil
	}
	return n
}

func wireReport(key reportKey, h *receivedReport) canary.VMReport {
	r := h.report
	if len(r.Routes) > maxRoutes {
		r.Routes = slices.Clone(r.Routes)
		slices.SortFunc(r.Routes, func(a, b canary.RouteCounts) int { return cmp.Compare(b.New.Requests, a.New.Requests) })
		r.Routes = r.Routes[:maxRoutes]
	}
	return canary.VMReport{VM: key.vm, Incarnation: key.incarnation, Report: r}
}

// recordOwn records this VM's own reports. The caller holds d.mu.
func (d *Delivery) recordOwn(now time.Time) {
	for _, r := range d.tally.Reports(now) {
		in, known := d.latest[r.Service]
		if !known || in.Order != r.Order || in.Phase != canary.Running && now.Sub(in.since) > finalReports {
			continue
		}
		d.reports.record(reportKey{vm: d.opts.VM, incarnation: d.opts.Incarnation, service: r.Service}, r, now, true)
	}
	for key, h := range d.reports.entries {
		in, known := d.latest[key.service]
		if known && in.Phase != canary.Running && now.Sub(in.since) > finalReports || known && h.report.Order.Before(in.Order) {
			delete(d.reports.entries, key)
		}
	}
}

// announcements returns the known announcements, running stages only if running is set. Final
// phases are sent at once and then from time to time, by every VM. The caller holds d.mu.
func (d *Delivery) announcements(now time.Time, running bool) []canary.Announcement {
	var out []canary.Announcement
	repeat := now.Sub(d.reports.finalsSent) >= repeatInterval
	for _, a := range d.gate.Announcements(now) {
		in := d.latest[a.Service]
		switch {
		case a.Phase == canary.Running && running, a.Phase != canary.Running && (repeat || now.Sub(in.since) < finalReports):
			out = append(out, a)
		}
	}
	if repeat {
		d.reports.finalsSent = now
	}
	for v, a := range d.banned {
		if in := d.latest[v.Service]; repeat && in.Order != a.Order {
			out = append(out, a)
		}
	}
	return out[:min(len(out), maxAnnouncements)]
}

// recentlySettled returns the versions settled a short time ago. The caller holds d.mu.
func (d *Delivery) recentlySettled(now time.Time) []Version {
	var out []Version
	for v, at := range d.settled {
		if now.Sub(at) < settledNoticeAge && len(out) < maxSettledNotices {
			out = append(out, v)
		}
	}
	return out
}

// Receive applies what another VM tells, or a relay of another domain. delay is how much longer
// the message took than others of its sender.
func (d *Delivery) Receive(n *Notices, from string, sameDomain bool, delay time.Duration) {
	if n == nil {
		return
	}
	for _, a := range n.Announcements {
		if a.Phase == canary.Running {
			a.For = max(0, a.For-delay)
		}
		d.apply(a, from)
	}
	at := d.opts.Now().Add(-delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range n.Reports {
		if r.VM == d.opts.VM {
			continue
		}
		d.reports.record(reportKey{vm: r.VM, incarnation: r.Incarnation, service: r.Report.Service}, r.Report, at, sameDomain)
	}
	for _, v := range n.Settled {
		if _, pending := d.pending[v]; pending && !d.named(v) {
			d.settle(v, at)
		}
	}
}

// reportsOf returns the reports on an order. Those of VMs that no longer report keep their
// counts, but say nothing about what runs there.
func (d *Delivery) reportsOf(o Order, now time.Time) []canary.VMReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordOwn(now)
	var out []canary.VMReport
	for key, h := range d.reports.entries {
		if key.service != o.Service || h.report.Order != o.Revision {
			continue
		}
		r := canary.VMReport{VM: key.vm, Incarnation: key.incarnation, Report: h.report}
		if now.Sub(h.at) > reportFresh {
			r.Report.Stage, r.Report.OldRunning = 0, 0
		}
		out = append(out, r)
	}
	return out
}
