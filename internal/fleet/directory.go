// Package fleet knows the backend servers of a deployment whose servers
// announce themselves in the platform's store, and the weights that they are to
// run. What is known comes from the store or from other VMs; revisions decide what is
// newer. Each VM knows up to which revision it has missed nothing, and tells others
// so with all that it passes on. A store that comes back from an older copy begins a new
// era: its rows replace what is known, but for the ends of runs, which hold for good.
package fleet

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/platform"
)

// tombstoneAge is how long the end of a server is remembered, to tell VMs that lag.
// VMs lag for a few seconds; who lags more is told all servers instead.
const tombstoneAge = 60 * time.Second

// State is what a server says of itself.
type State string

const (
	// Ready servers take requests.
	Ready State = "ready"
	// Draining servers get no new requests.
	Draining State = "draining"
)

// Entry is a backend server as it announced itself. It must not be changed.
type Entry struct {
	ID      backend.ID `json:"id"`
	Service string     `json:"service"`
	// Address is host:port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Slots         int    `json:"slots"`
	State         State  `json:"state"`
	// Started is when the server's process started, in Unix milliseconds by its
	// own clock. It tells the runs of one ID apart.
	Started int64 `json:"started"`
	// Warmup is how much longer the server is slow after its start, as of the
	// announcement.
	Warmup time.Duration `json:"warmup,omitempty"`
	// Weights are the versions of the models that an engine holds.
	Weights map[string]uint64 `json:"weights,omitempty"`
	// Revision is that of the store's row.
	Revision platform.Revision `json:"revision"`
	// Gone marks the end of the server.
	Gone bool `json:"gone,omitempty"`
	// Hold is set if the row is gone and an outage may be the reason: a server that
	// was known counts as present for so long, unless it announces itself again.
	Hold time.Duration `json:"hold,omitempty"`
	// Wait is set if the run is known to have ended and has a row again since the store
	// came back from an older copy: it is not used for so long, within which its row
	// lapses unless it lives.
	Wait time.Duration `json:"wait,omitempty"`
	// Undone is set if the run leaves although its row says Ready again.
	Undone bool `json:"undone,omitempty"`
}

// Update is what a source knows of the servers.
type Update struct {
	// After and UpTo bound the revisions of which nothing is missing: above the
	// first, up to the second.
	After platform.Revision `json:"after"`
	UpTo  platform.Revision `json:"up_to"`
	// Whole is set if Entries name all servers that there were at UpTo.
	Whole   bool    `json:"whole,omitempty"`
	Entries []Entry `json:"entries"`
	// Hold is for how long servers that a whole update doesn't name count as
	// present, unless they announce themselves again.
	Hold time.Duration `json:"-"`
}

// WeightsText lists the weights for logs: "model=version", sorted and joined by
// commas.
func (e *Entry) WeightsText() string {
	parts := make([]string, 0, len(e.Weights))
	for _, model := range slices.Sorted(maps.Keys(e.Weights)) {
		parts = append(parts, model+"="+strconv.FormatUint(e.Weights[model], 10))
	}
	return strings.Join(parts, ",")
}

// Usable reports whether the server may get new requests.
func (e *Entry) Usable() bool { return !e.Gone && e.State == Ready }

// Same reports whether two entries are of the same run of a server.
func (e *Entry) Same(o *Entry) bool { return e.ID == o.ID && e.Started == o.Started }

// View is an immutable list of the servers.
type View struct {
	byService map[string][]*Entry
	byID      map[backend.ID]*Entry
}

// Service returns the usable servers of a service, sorted by ID.
func (v *View) Service(name string) []*Entry { return v.byService[name] }

// Server returns a server that has not ended, or nil.
func (v *View) Server(id backend.ID) *Entry { return v.byID[id] }

// All returns all servers that have not ended, sorted by ID.
func (v *View) All() []*Entry {
	return slices.SortedFunc(maps.Values(v.byID), func(a, b *Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// record is what is kept of a server.
type record struct {
	*Entry
	// left is the run that announced its leave, by its start; 0 for none. A run that
	// leaves never comes back, but a write of its own may be carried out late.
	left int64
	// undone is set if that run's row says Ready again: the store doesn't tell of the
	// leave any more.
	undone bool
	// holdUntil is until when a server without a row counts as present; zero with a
	// row.
	holdUntil time.Time
	// goneAt is when the end became known.
	goneAt time.Time
	// seenAt is when weights were last seen ahead of their announcement.
	seenAt time.Time
	// again is the row of an ended run that came back with an older copy of the store, nil
	// without one. It counts from againAt on.
	again   *Entry
	againAt time.Time
	// alive is a run whose row has outlived that time.
	alive int64
}

// seenAge is for how long weights that were seen at a server outweigh an announcement
// of older ones, which may have been on its way. Servers announce themselves within
// their heartbeat interval of a second or so, and late writes take a few seconds.
const seenAge = 6 * time.Second

// Directory collects entries and publishes views. It is safe for concurrent
// use.
type Directory struct {
	mu      sync.Mutex
	records map[backend.ID]*record
	// known is the revision up to which nothing was missed, newest that of the newest
	// change up to there.
	known, newest platform.Revision
	// before is what known was in earlier eras, eraSince when the present one was first
	// heard of.
	before   platform.Revision
	eraSince time.Time
	// forgotten is the revision up to which ends may not be remembered.
	forgotten platform.Revision
	lapse     time.Duration
	view      atomic.Pointer[View]
}

// NewDirectory returns an empty directory. Lapse is the time within which the row of a
// server that announces itself no more is gone.
func NewDirectory(lapse time.Duration) *Directory {
	d := &Directory{records: map[backend.ID]*record{}, lapse: lapse}
	d.publish()
	return d
}

// View returns the servers as known now.
func (d *Directory) View() *View { return d.view.Load() }

// Known returns the revision up to which nothing was missed.
func (d *Directory) Known() platform.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Newest returns the revision of the newest change up to Known. Whoever knows up to
// there can learn nothing here.
func (d *Directory) Newest() platform.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}

// Apply merges an update and returns the entries that changed what is known. An
// update that ends before what is known is ignored: it may name servers that have
// left since. Of one of an earlier era the leaves are taken.
func (d *Directory) Apply(u Update, now time.Time) []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []*Entry
	switch {
	case u.UpTo.Era < d.known.Era:
		changed = d.takeLeaves(u, now)
	case u.UpTo.Before(d.known) || u.UpTo.Era > d.known.Era && !u.Whole:
		return nil // Changes since a copy tell nothing of what the copy holds.
	default:
		changed = d.take(u, now)
	}
	d.forget(now)
	if len(changed) > 0 {
		d.publish()
	}
	return changed
}

// take merges an update of the present era, or of a later one.
func (d *Directory) take(u Update, now time.Time) []*Entry {
	if u.UpTo.Era > d.known.Era {
		d.before, d.eraSince = d.known, now
	}
	var changed []*Entry
	named := map[backend.ID]bool{}
	latest := platform.Revision{Era: u.UpTo.Era}
	for i := range u.Entries {
		e := &u.Entries[i]
		named[e.ID] = true
		latest = platform.Later(latest, e.Revision)
		if kept := d.apply(e, now); kept != nil {
			changed = append(changed, kept)
		}
	}
	if u.Whole {
		if ended := d.endUnnamed(named, u, now); len(ended) > 0 {
			changed = append(changed, ended...)
			latest = platform.Later(latest, u.UpTo)
		}
		d.forgotten = platform.Later(d.forgotten, u.UpTo)
	}
	if u.Whole || !u.After.After(d.known) {
		d.known = platform.Later(d.known, u.UpTo)
		d.newest = platform.Later(d.newest, platform.Earlier(latest, d.known))
	}
	return changed
}

func (d *Directory) record(id backend.ID, now time.Time) *record {
	r := d.records[id]
	if r == nil {
		r = &record{Entry: &Entry{ID: id, Gone: true}, goneAt: now}
		d.records[id] = r
	}
	return r
}

func (d *Directory) apply(e *Entry, now time.Time) *Entry {
	r := d.record(e.ID, now)
	if !e.Revision.After(r.Revision) {
		return nil
	}
	if e.Gone {
		r.again = nil
		return d.end(r, e.Revision, e.Hold, now)
	}
	if wait := d.waits(r, e, now); wait > 0 {
		return r.withhold(e, wait, now)
	}
	r.again = nil
	next := r.merge(e, now)
	r.Entry = &next
	if next.Gone {
		return nil
	}
	r.goneAt, r.holdUntil = time.Time{}, time.Time{}
	if e.Hold > 0 {
		return d.end(r, e.Revision, e.Hold, now)
	}
	return &next
}

// merge returns what is known of a server after a newer row than the last. The store
// orders the rows, and clocks of servers don't: a row counts as that of an older run
// only if it would bring the server back, or if it may be one of an older copy of the
// store.
func (r *record) merge(e *Entry, now time.Time) Entry {
	next := *e
	older := e.Started < r.Started
	laterEra := r.Revision.Era < e.Revision.Era
	switch {
	case older && laterEra:
		next = *r.Entry
	case e.State == Draining:
		r.left, r.undone = e.Started, e.Undone
		if older && !r.Gone {
			next = *r.Entry
			next.State = Draining
		}
	case older:
		next = *r.Entry
	case r.left != 0 && e.Started == r.left:
		next.State, r.undone = Draining, true
	}
	next.Revision, next.Hold, next.Undone = e.Revision, 0, false
	if r.Same(&next) && (laterEra || now.Sub(r.seenAt) < seenAge) {
		next.Weights = mergeWeights(r.Weights, next.Weights)
	}
	return next
}

// end notes that a server's row is gone, and returns the entry if that changes what
// is known.
func (d *Directory) end(r *record, revision platform.Revision, hold time.Duration, now time.Time) *Entry {
	next := *r.Entry
	next.Revision = platform.Later(r.Revision, revision)
	changed := !r.Gone
	if hold > 0 && !r.Gone {
		if until := now.Add(hold); r.holdUntil.IsZero() || until.Before(r.holdUntil) {
			r.holdUntil = until
		}
		told := next
		told.Hold = hold
		r.Entry = &next
		return &told
	}
	next.Gone = true
	r.Entry, r.holdUntil = &next, time.Time{}
	if !changed {
		return nil
	}
	r.goneAt = now
	return &next
}

// endUnnamed ends the servers that a whole update doesn't name.
func (d *Directory) endUnnamed(named map[backend.ID]bool, u Update, now time.Time) []*Entry {
	var ended []*Entry
	for id, r := range d.records {
		if named[id] || r.Revision.After(u.UpTo) || !r.holdUntil.IsZero() {
			continue
		}
		if r.Gone {
			r.again = nil
			continue
		}
		ended = append(ended, d.end(r, u.UpTo, u.Hold, now))
	}
	return ended
}

// mergeWeights merges what was seen of one run's weights with what it announces.
func mergeWeights(a, b map[string]uint64) map[string]uint64 {
	out := maps.Clone(b)
	for model, version := range a {
		if have, ok := out[model]; ok && have < version {
			out[model] = version
		}
	}
	return out
}

// Expire ends the servers without a row whose time is over, takes up those whose row has
// outlived its doubt, and returns both.
func (d *Directory) Expire(now time.Time) []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []*Entry
	for _, r := range d.records {
		if !r.holdUntil.IsZero() && !now.Before(r.holdUntil) {
			changed = append(changed, d.end(r, r.Revision, 0, now))
		}
		if r.again != nil && !now.Before(r.againAt) {
			if r.left == r.again.Started {
				r.again.State = Draining
			}
			r.Entry, r.again, r.alive, r.goneAt = r.again, nil, r.again.Started, time.Time{}
			changed = append(changed, r.Entry)
		}
	}
	if len(changed) > 0 {
		d.publish()
	}
	return changed
}

// Export returns what another VM lacks that has missed nothing up to a revision.
func (d *Directory) Export(after platform.Revision, now time.Time) Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := Update{After: after, UpTo: d.known, Whole: after.Before(d.forgotten), Entries: []Entry{}}
	for _, r := range d.records {
		e := *r.Entry
		e.Undone = r.undone
		if r.again != nil {
			e = *r.again
			e.Wait = max(1, r.againAt.Sub(now))
		}
		if u.Whole && e.Gone || !u.Whole && !r.Revision.After(after) {
			continue
		}
		if !r.holdUntil.IsZero() {
			e.Hold = max(1, r.holdUntil.Sub(now))
		}
		u.Entries = append(u.Entries, e)
	}
	return u
}

// SetWeights notes the version of a model that a server answered with, ahead of
// its announcement.
func (d *Directory) SetWeights(id backend.ID, started int64, model string, version uint64, now time.Time) bool {
	if e := d.View().Server(id); e == nil || e.Started != started || e.Weights[model] >= version {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[id]
	if r == nil || r.Started != started || r.Weights[model] >= version {
		return false
	}
	next := *r.Entry
	next.Weights = maps.Clone(r.Weights)
	if next.Weights == nil {
		next.Weights = map[string]uint64{}
	}
	next.Weights[model] = version
	r.Entry, r.seenAt = &next, now
	d.publish()
	return true
}

func (d *Directory) forget(now time.Time) {
	for id, r := range d.records {
		if r.Gone && r.again == nil && now.Sub(r.goneAt) > tombstoneAge {
			d.forgotten = platform.Later(d.forgotten, r.Revision)
			delete(d.records, id)
		}
	}
}

func (d *Directory) publish() {
	v := &View{byService: map[string][]*Entry{}, byID: map[backend.ID]*Entry{}}
	for id, r := range d.records {
		if r.Gone {
			continue
		}
		v.byID[id] = r.Entry
		if r.Usable() {
			v.byService[r.Service] = append(v.byService[r.Service], r.Entry)
		}
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	d.view.Store(v)
}
