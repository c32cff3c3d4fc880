// Package delivery runs the roll-outs of server versions on a VM. It reads the operator's orders,
// withholds versions that no configuration or order is known to allow, exchanges announcements and
// reports with the other VMs and, on the holder of the order lease, steps a controller for each
// order and stores its progress. Package canary decides how much a version may get.
package delivery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/canary"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// stepInterval is the time between two steps of the controllers. It is a small part of the
	// time within which a bad version must be rolled back.
	stepInterval = 100 * time.Millisecond
	// retryPause is the pause after a failed call to the store.
	retryPause = 200 * time.Millisecond
	// peerWait is how long a VM that doesn't read the store waits for another VM to report that no
	// order names a version before it reads the orders itself.
	peerWait = 700 * time.Millisecond
	// completedHold is how long no server of another version is used after a roll-out has
	// completed. The old servers stop and their rows expire well within this time; afterwards
	// another version may serve beside the new one again.
	completedHold = time.Minute
)

// Order is an operator's order as its row states it.
type Order struct {
	canary.Order
	// Row is the revision of the row. It differs from Order.Revision once the store was restored
	// from an older copy, which changes the revision of a row that was not written again.
	Row platform.Revision
	// Key is the key of the row.
	Key string
	// Invalid is the reason why the order can't be carried out; empty if it can.
	Invalid string
}

// Dialect translates between roll-outs and the platform's rows.
type Dialect interface {
	// OrderPrefix is the prefix of the keys of orders, RecordPrefix that of stored progress.
	OrderPrefix() string
	RecordPrefix() string
	// Orders decodes rows with orders.
	Orders(rows []platform.Row) []Order
	// Status returns the row that tells the operator the state of a service's roll-out.
	Status(service, to string, phase canary.Phase) platform.Write
}

// Options configure a Delivery.
type Options struct {
	Log         *zap.Logger
	Metrics     metrics.Registry
	Settings    canary.Settings
	Table       platform.Table
	Dialect     Dialect
	VM          vm.ID
	Incarnation vm.Incarnation
	Now         func() time.Time
	// Servers returns the servers that count as present.
	Servers func() []*fleet.Entry
	// HasService reports whether the configuration in force has a service.
	HasService func(name string) bool
	// Term returns the fencing token of the order lease while this VM may act as its holder.
	Term func() (lease.Fencing, bool)
	// Members returns the number of VMs that have to confirm the last stage, including this one.
	Members func() int
	// ObserveEra records an era of the store. It returns when this VM first saw the store in it, or
	// zero if it has seen no earlier era.
	ObserveEra func(platform.Era) time.Time
	// Reads reports whether this VM reads the store's feeds.
	Reads func() bool
	// Notify requests an immediate digest to all VMs of the domain.
	Notify func()
	// IsRelay reports whether this VM passes messages on between failure domains.
	IsRelay func() bool
}

// Delivery is the state of all roll-outs on one VM.
type Delivery struct {
	opts  Options
	gate  *canary.Gate
	tally *canary.Tally
	// scanDue is set if the orders have to be read again.
	scanDue atomic.Bool

	mu sync.RWMutex
	// orders holds the last orders read, by service.
	orders map[string]Order
	// era is the newest era of the store seen in rows, and eraAt when this VM first saw it replace an
	// earlier one; zero if it hasn't.
	era   platform.Era
	eraAt time.Time
	// latest holds the announcement that the gate enforces, by service.
	latest map[string]announced
	// banned holds the rollback of each version that was rolled back and not ordered again since.
	banned map[Version]canary.Announcement
	// settled holds the versions that may be used without an order, and pending since when the
	// other versions of present servers are known.
	settled map[Version]time.Time
	pending map[Version]time.Time
	reports reportTable

	// The fields below are used by Run only, except that runs' fields have their own lock.
	runs map[string]*run
	term lease.Fencing
	// scanFrom and leadFrom are when the store is called again after a failure.
	scanFrom, leadFrom time.Time
}

// announced is an announcement, how long it holds, and when its phase was first known here.
type announced struct {
	canary.Announcement
	until, since time.Time
}

// Version is a software version of a service's servers.
type Version struct {
	Service string `json:"s"`
	Version string `json:"v"`
}

// New returns a Delivery that knows no order.
func New(opts Options) *Delivery {
	d := &Delivery{
		opts:    opts,
		gate:    canary.NewGate(),
		tally:   canary.NewTally(),
		orders:  map[string]Order{},
		latest:  map[string]announced{},
		banned:  map[Version]canary.Announcement{},
		settled: map[Version]time.Time{},
		pending: map[Version]time.Time{},
		reports: reportTable{entries: map[reportKey]*receivedReport{}},
		runs:    map[string]*run{},
	}
	d.scanDue.Store(true)
	_ = opts.Metrics.GetOrRegister("server_rollouts_running", metrics.NewFunctionalGauge(d.running))
	return d
}

// running returns the number of roll-outs in progress.
func (d *Delivery) running() int64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	count := int64(0)
	for _, a := range d.latest {
		if a.Phase == canary.Running {
			count++
		}
	}
	return count
}

// Run runs the roll-outs until ctx ends.
func (d *Delivery) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.opts.Now()
		d.observeVersions(now)
		if d.readDue(now) {
			d.scan(ctx)
		}
		d.lead(ctx)
		if d.tally.Urgent() {
			d.opts.Notify()
		}
	}
}

// NoteOperatorKeys is called with the keys of the operator's rows that were written or deleted, or
// with none if the whole table was read.
func (d *Delivery) NoteOperatorKeys(keys ...string) {
	prefix := d.opts.Dialect.OrderPrefix()
	for _, k := range keys {
		if len(k) < len(prefix) || k[:len(prefix)] != prefix {
			continue
		}
		d.scanDue.Store(true)
		return
	}
	if len(keys) == 0 {
		d.scanDue.Store(true)
	}
}

// apply applies an announcement from this VM or another one.
func (d *Delivery) apply(a canary.Announcement, source string) {
	now := d.opts.Now()
	d.mu.Lock()
	d.recordBan(a)
	if !d.gate.Apply(a, now) {
		d.mu.Unlock()
		return
	}
	old := d.latest[a.Service]
	if old.Phase == canary.Running && old.Order != a.Order && old.To != a.To {
		d.replaced(old.Announcement)
	}
	next := announced{Announcement: a, until: now.Add(a.For), since: now}
	renewed := old.Order == a.Order && old.Phase == a.Phase
	if renewed {
		next.since = old.since
		renewed = old.Share == a.Share && old.OldStopping == a.OldStopping && now.Before(old.until)
	}
	d.latest[a.Service] = next
	if a.Phase == canary.Completed {
		d.settle(Version{Service: a.Service, Version: a.To}, now)
	}
	d.mu.Unlock()
	d.tally.Track(a)
	if renewed {
		return // The next regular digest passes it on.
	}
	d.opts.Log.Info("server_rollout_stage", zap.String("service", a.Service), zap.String("to", a.To), zap.Stringer("order", a.Order),
		zap.String("phase", string(a.Phase)), zap.Uint32("stage", a.Stage), zap.Float64("share", a.Share), zap.Uint64("fencing", a.Fencing),
		zap.Bool("old_stopping", a.OldStopping), zap.Duration("for", a.For), zap.String("source", source))
	if a.Phase != canary.Running {
		metrics.GetOrRegisterCounter("server_rollouts."+string(a.Phase), d.opts.Metrics).Inc(1)
	}
	if source == ownSource || d.opts.IsRelay() {
		d.opts.Notify()
	}
}

// ownSource is the source of announcements that this VM makes.
const ownSource = "own"

// replaced rolls the version of an order back that a later order for another version replaces. The
// caller holds d.mu.
func (d *Delivery) replaced(a canary.Announcement) {
	a.Phase, a.Share, a.For, a.OldStopping = canary.RolledBack, 0, 0, false
	d.recordBan(a)
	d.opts.Log.Info("server_rollout_replaced", zap.String("service", a.Service), zap.String("to", a.To), zap.Stringer("order", a.Order))
}

// maxBans bounds the remembered rollbacks.
const maxBans = 64

// recordBan keeps a version that was rolled back from being used until a later order names it. The
// gate only knows the last order of each service. The caller holds d.mu.
func (d *Delivery) recordBan(a canary.Announcement) {
	v := Version{Service: a.Service, Version: a.To}
	ban, known := d.banned[v]
	switch {
	case known && !a.Order.After(ban.Order):
	case a.Phase != canary.RolledBack:
		delete(d.banned, v)
	case len(d.banned) < maxBans || known:
		if in, ok := d.latest[a.Service]; ok && in.To == a.To && in.Order.After(a.Order) {
			return // Ordered again since.
		}
		d.banned[v] = a
		delete(d.pending, v)
	}
}
