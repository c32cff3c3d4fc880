package delivery

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/canary"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/platform"
)

// fakeTable is a store whose rows a test can replace.
type fakeTable struct {
	rows    map[string]platform.Row
	version platform.Version
	era     platform.Era
	down    bool
}

func (f *fakeTable) put(key, value string) {
	f.version++
	f.rows[key] = platform.Row{Key: key, Version: f.version, Value: []byte(value)}
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	if f.down {
		return nil, platform.ErrUnavailable
	}
	out := make([]platform.Row, 0, len(keys))
	for _, k := range keys {
		r := f.rows[k]
		r.Key, r.Era = k, f.era
		out = append(out, r)
	}
	return out, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, _ string, _ int) ([]platform.Row, error) {
	if f.down {
		return nil, platform.ErrUnavailable
	}
	var out []platform.Row
	for k, r := range f.rows {
		if strings.HasPrefix(k, prefix) {
			r.Era = f.era
			out = append(out, r)
		}
	}
	return out, nil
}

func (f *fakeTable) Commit(_ context.Context, checks []platform.Check, writes []platform.Write) error {
	if f.down {
		return platform.ErrUnavailable
	}
	for _, c := range checks {
		if f.rows[c.Key].Version != c.Version {
			return platform.ErrConflict
		}
	}
	for _, w := range writes {
		f.put(w.Key, string(w.Value))
	}
	return nil
}

type fakeDialect struct{}

func (fakeDialect) OrderPrefix() string  { return "orders/" }
func (fakeDialect) RecordPrefix() string { return "records/" }
func (fakeDialect) Orders(rows []platform.Row) []Order {
	var out []Order
	for _, r := range rows {
		o := Order{Key: r.Key, Row: r.Revision()}
		o.Service, o.To, o.Revision, o.Duration = strings.TrimPrefix(r.Key, "orders/"), string(r.Value), r.Revision(), 10*time.Second
		out = append(out, o)
	}
	return out
}

func (fakeDialect) Status(service, _ string, phase canary.Phase) platform.Write {
	return platform.Write{Key: "status/" + service, Value: []byte(phase)}
}

// rig is a VM that holds the order lease, with a clock and a store that the test controls.
type rig struct {
	*Delivery
	table   *fakeTable
	now     time.Time
	servers []*fleet.Entry
	fencing lease.Fencing
	era     platform.Era
	eraAt   time.Time
}

func newRig() *rig {
	r := &rig{table: &fakeTable{rows: map[string]platform.Row{}, era: 1}, now: time.Unix(1000, 0), fencing: 1}
	r.restart()
	return r
}

// restart replaces the VM by one that knows nothing.
func (r *rig) restart() {
	r.Delivery = New(Options{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Table: r.table, Dialect: fakeDialect{}, VM: "vm",
		Settings:   canary.Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackDelay: 5 * time.Second},
		Now:        func() time.Time { return r.now },
		Servers:    func() []*fleet.Entry { return r.servers },
		HasService: func(string) bool { return true },
		Term:       func() (lease.Fencing, bool) { return r.fencing, r.fencing > 0 },
		ObserveEra: func(era platform.Era) time.Time {
			if r.era != 0 && era > r.era {
				r.eraAt = r.now
			}
			r.era = era
			return r.eraAt
		},
		Members: func() int { return 1 },
		Reads:   func() bool { return true },
		Notify:  func() {},
		IsRelay: func() bool { return false },
	})
}

func (r *rig) add(id, version string, started int64) {
	r.servers = append(r.servers, &fleet.Entry{ID: backend.ID(id), Service: "app", Software: version, Started: started, State: fleet.Ready, Slots: 8})
}

// run lets time pass; each step waits until its records are written.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(stepInterval)
		r.observeVersions(r.now)
		if r.readDue(r.now) {
			r.scan(context.Background())
		}
		r.lead(context.Background())
		for _, run := range r.runs {
			for writing := true; writing; {
				run.mu.Lock()
				writing = run.writing
				run.mu.Unlock()
			}
		}
	}
}

func (r *rig) allows(version string) bool {
	for range 200 { // Shares are small.
		c := r.Choose("app", r.servers)
		if c.Allows(version) {
			return true
		}
	}
	return false
}

func (r *rig) status() string { return string(r.table.rows["status/app"].Value) }

// A version that joins a known one must get nothing before the orders were read, and nothing but its
// share if an order names it.
func TestNewVersionWaitsForOrders(t *testing.T) {
	r := newRig()
	r.add("a", "v1", 1)
	r.run(stepInterval)
	r.add("b", "v2", 2)
	r.table.down = true
	r.run(time.Second)
	if !r.allows("v1") || r.allows("v2") {
		t.Error("before the orders are read, v1 must be allowed and v2 must not")
	}
	r.table.down = false
	r.run(time.Second)
	if !r.allows("v2") {
		t.Error("v2 is not allowed although no order names it")
	}
	r.add("c", "v3", 3)
	r.table.put("orders/app", "v3")
	r.fencing = 0
	r.run(2 * time.Second)
	if r.allows("v3") {
		t.Error("v3 is allowed without a share")
	}
}

// While the store is down, no share may be announced that isn't stored; a withdrawn order is a
// rollback.
func TestShareIsStoredBeforeItIsAnnounced(t *testing.T) {
	r := newRig()
	r.add("a", "v1", 1)
	r.run(stepInterval)
	r.add("b", "v2", 2)
	r.table.put("orders/app", "v2")
	r.scan(context.Background())
	r.table.down = true
	r.run(time.Second)
	if r.allows("v2") {
		t.Error("v2 is allowed although the store is down")
	}
	r.table.down = false
	r.run(time.Second)
	if !r.allows("v2") || r.status() != "running" {
		t.Errorf("v2 gets no share, status %q", r.status())
	}
	delete(r.table.rows, "orders/app")
	r.NoteOperatorKeys("orders/app")
	r.run(time.Second)
	if r.allows("v2") || r.status() != "rolled_back" {
		t.Errorf("after the order was withdrawn, v2 is allowed or the status is %q", r.status())
	}
}

// A second order must end the first one's version, also while other VMs know only the second.
func TestLaterOrderReplacesEarlierOne(t *testing.T) {
	r := newRig()
	r.add("a", "v1", 1)
	r.run(stepInterval)
	r.add("b", "v2", 2)
	r.add("c", "v3", 3)
	r.table.put("orders/app", "v2")
	r.run(time.Second)
	r.table.put("orders/app", "v3")
	r.NoteOperatorKeys("orders/app")
	r.run(2 * time.Second)
	if r.allows("v2") || !r.allows("v3") || !r.allows("v1") {
		t.Error("v1 and v3 must be allowed, v2 must not")
	}
	r.restart()
	r.run(2 * time.Second)
	if r.allows("v2") {
		t.Error("v2 is allowed again after a restart")
	}
}

// A store that comes back from an older copy must not revive a version that was rolled back, neither
// by the record nor by the order's row under its new revision.
func TestOlderCopyOfStoreDoesNotReviveVersion(t *testing.T) {
	r := newRig()
	r.add("a", "v1", 1)
	r.run(stepInterval)
	r.add("b", "v2", 2)
	r.table.put("orders/app", "v2")
	r.run(time.Second)
	older := map[string]platform.Row{}
	for k, row := range r.table.rows {
		older[k] = row
	}
	r.Receive(&Notices{Announcements: []canary.Announcement{{Service: "app", To: "v2", Order: r.orders["app"].Revision, Phase: canary.RolledBack}}}, "peer", true, 0)
	r.runs = map[string]*run{}
	r.run(time.Second)
	if r.status() != "rolled_back" {
		t.Fatalf("status %q", r.status())
	}
	r.table.rows, r.table.era, r.fencing = older, 2, 1<<32+1
	r.NoteOperatorKeys()
	r.run(2 * time.Second)
	if r.allows("v2") || r.status() != "rolled_back" {
		t.Errorf("v2 is allowed or the status is %q after the restore", r.status())
	}
	var s stored
	if err := json.Unmarshal(r.table.rows["records/app"].Value, &s); err != nil || s.Phase != canary.RolledBack {
		t.Errorf("record %+v, %v", s, errors.WithStack(err))
	}
	// A row that is written again later is a new order.
	r.run(2 * rewriteWindow)
	r.table.put("orders/app", "v2")
	r.NoteOperatorKeys("orders/app")
	r.run(time.Second)
	if !r.allows("v2") || r.status() != "running" {
		t.Errorf("the second order gets no share, status %q", r.status())
	}
}
