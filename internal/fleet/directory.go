// Package fleet knows the backend servers of a deployment whose servers
// announce themselves in the platform's store, and the weights that they are to
// run. What is known comes from the store or from other VMs; revisions decide what is
// newer. Each VM knows up to which revision it has missed nothing, and tells others
// so with all that it passes on.
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
	// Revision is the version of the store's row.
	Revision platform.Version `json:"revision"`
	// Gone marks the end of the server.
	Gone bool `json:"gone,omitempty"`
	// Hold is set if the row is gone and an outage may be the reason: a server that
	// was known counts as present for so long, unless it announces itself again.
	Hold time.Duration `json:"hold,omitempty"`
}

// Update is what a source knows of the servers.
type Update struct {
	// After and UpTo bound the revisions of which nothing is missing: above the
	// first, up to the second.
	After platform.Version `json:"after"`
	UpTo  platform.Version `json:"up_to"`
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
	known, newest platform.Version
	// forgotten is the revision up to which ends may not be remembered.
	forgotten platform.Version
	view      atomic.Pointer[View]
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{records: map[backend.ID]*record{}}
	d.publish()
	return d
}

// View returns the servers as known now.
func (d *Directory) View() *View { return d.view.Load() }

// Known returns the revision up to which nothing was missed.
func (d *Directory) Known() platform.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Newest returns the revision of the newest change up to Known. Whoever knows up to
// there can learn nothing here.
func (d *Directory) Newest() platform.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}

// Apply merges an update and returns the entries that changed what is known. An
// update that ends before what is known is ignored: it may name servers that have
// left since.
func (d *Directory) Apply(u Update, now time.Time) []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u.UpTo < d.known {
		return nil
	}
	var changed []*Entry
	named := map[backend.ID]bool{}
	latest := platform.Version(0)
	for i := range u.Entries {
		e := &u.Entries[i]
		named[e.ID] = true
		latest = max(latest, e.Revision)
		if kept := d.apply(e, now); kept != nil {
			changed = append(changed, kept)
		}
	}
	if u.Whole {
		if ended := d.endUnnamed(named, u, now); len(ended) > 0 {
			changed = append(changed, ended...)
			latest = max(latest, u.UpTo)
		}
		d.forgotten = max(d.forgotten, u.UpTo)
	}
	if u.Whole || u.After <= d.known {
		d.known = max(d.known, u.UpTo)
		d.newest = max(d.newest, min(latest, d.known))
	}
	d.forget(now)
	if len(changed) > 0 {
		d.publish()
	}
	return changed
}

func (d *Directory) apply(e *Entry, now time.Time) *Entry {
	r := d.records[e.ID]
	if r == nil {
		r = &record{Entry: &Entry{ID: e.ID, Gone: true}, goneAt: now}
		d.records[e.ID] = r
	}
	if e.Revision <= r.Revision {
		return nil
	}
	if e.Gone {
		return d.end(r, e.Revision, e.Hold, now)
	}
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
// only if it would bring the server back.
func (r *record) merge(e *Entry, now time.Time) Entry {
	next := *e
	older := e.Started < r.Started
	switch {
	case e.State == Draining:
		r.left, r.undone = e.Started, false
		if older && !r.Gone {
			next = *r.Entry
			next.State = Draining
		}
	case older:
		next = *r.Entry
	case r.left != 0 && e.Started == r.left:
		next.State, r.undone = Draining, true
	}
	next.Revision, next.Hold = e.Revision, 0
	if r.Same(&next) && now.Sub(r.seenAt) < seenAge {
		next.Weights = mergeWeights(r.Weights, next.Weights)
	}
	return next
}

// end notes that a server's row is gone, and returns the entry if that changes what
// is known.
func (d *Directory) end(r *record, revision platform.Version, hold time.Duration, now time.Time) *Entry {
	next := *r.Entry
	next.Revision = max(r.Revision, revision)
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
		if named[id] || r.Gone || r.Revision > u.UpTo || !r.holdUntil.IsZero() {
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

// Expire ends the servers without a row whose time is over and returns them.
func (d *Directory) Expire(now time.Time) []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ended []*Entry
	for _, r := range d.records {
		if !r.holdUntil.IsZero() && !now.Before(r.holdUntil) {
			ended = append(ended, d.end(r, r.Revision, 0, now))
		}
	}
	if len(ended) > 0 {
		d.publish()
	}
	return ended
}

// Export returns what another VM lacks that has missed nothing up to a revision.
func (d *Directory) Export(after platform.Version, now time.Time) Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := Update{After: after, UpTo: d.known, Whole: after < d.forgotten, Entries: []Entry{}}
	for _, r := range d.records {
		if u.Whole && r.Gone || !u.Whole && r.Revision <= after {
			continue
		}
		e := *r.Entry
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

// Undone returns the servers that leave although their rows say that they are ready.
// VMs that have read the row since can't know.
func (d *Directory) Undone() []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*Entry
	for _, r := range d.records {
		if r.undone && !r.Gone && r.Started == r.left {
			list = append(list, r.Entry)
		}
	}
	return list
}

// MarkLeft notes that a run of a server leaves although its row says that it is ready,
// and returns the entry if that changes what is known.
func (d *Directory) MarkLeft(id backend.ID, started int64, now time.Time) *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[id]
	if r == nil {
		r = &record{Entry: &Entry{ID: id, Gone: true}, goneAt: now}
		d.records[id] = r
	}
	if r.Started > started || r.left >= started {
		return nil
	}
	r.left, r.undone = started, true
	if r.Gone || r.Started != started || r.State == Draining {
		return nil
	}
	next := *r.Entry
	next.State = Draining
	r.Entry = &next
	d.publish()
	return &next
}

func (d *Directory) forget(now time.Time) {
	for id, r := range d.records {
		if r.Gone && now.Sub(r.goneAt) > tombstoneAge {
			d.forgotten = max(d.forgotten, r.Revision)
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
