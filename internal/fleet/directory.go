// Package fleet knows the backend servers of a deployment whose servers
// announce themselves in the platform's store, and the weights that they are to
// run. What is known comes from the store or, when the store can't be reached,
// from other VMs; revisions decide what is newer.
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

// tombstoneAge is how long the end of a server is remembered, so that an older
// state from another VM doesn't bring it back. It is far above the few seconds
// that states of other VMs lag.
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

// Directory collects entries and publishes views. It is safe for concurrent
// use.
type Directory struct {
	mu      sync.Mutex
	entries map[backend.ID]*Entry
	goneAt  map[backend.ID]time.Time
	// suspect are servers that the store no longer listed when it came back; they
	// count as gone at the time given.
	suspect map[backend.ID]time.Time
	// revision grows with the newest row applied.
	revision platform.Version
	view     atomic.Pointer[View]
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{
		entries: map[backend.ID]*Entry{},
		goneAt:  map[backend.ID]time.Time{},
		suspect: map[backend.ID]time.Time{},
	}
	d.publish()
	return d
}

// View returns the servers as known now.
func (d *Directory) View() *View { return d.view.Load() }

// Revision returns the version of the newest row applied.
func (d *Directory) Revision() platform.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Apply merges entries and returns those that changed what is known.
func (d *Directory) Apply(entries []Entry, now time.Time) []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []*Entry
	for i := range entries {
		if e := d.apply(&entries[i], now); e != nil {
			changed = append(changed, e)
		}
	}
	d.forget(now)
	if len(changed) > 0 {
		d.publish()
	}
	return changed
}

func (d *Directory) apply(e *Entry, now time.Time) *Entry {
	old := d.entries[e.ID]
	if old != nil && (e.Revision <= old.Revision || !e.Gone && e.Started < old.Started) {
		return nil
	}
	d.revision = max(d.revision, e.Revision)
	delete(d.suspect, e.ID)
	if e.Gone {
		if old == nil {
			return nil
		}
		gone := *old
		gone.Gone, gone.Revision = true, e.Revision
		e = &gone
		d.goneAt[e.ID] = now
	} else {
		delete(d.goneAt, e.ID)
	}
	kept := *e
	if old != nil && old.Same(e) {
		kept.Weights = newest(old.Weights, kept.Weights)
	}
	d.entries[e.ID] = &kept
	return &kept
}

// newest merges two states of the weights of one run; versions only grow.
func newest(a, b map[string]uint64) map[string]uint64 {
	out := maps.Clone(b)
	for model, version := range a {
		if have, ok := out[model]; ok && have < version {
			out[model] = version
		}
	}
	return out
}

// Missing notes the servers that a whole listing of the store, complete up to a
// revision, doesn't name. They count as gone after the time given, unless they
// announce themselves again. It returns those that it noted.
func (d *Directory) Missing(listed map[backend.ID]bool, revision platform.Version, after time.Duration, now time.Time) []backend.ID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var noted []backend.ID
	for id, e := range d.entries {
		if _, known := d.suspect[id]; known || e.Gone || listed[id] || e.Revision > revision {
			continue
		}
		d.suspect[id] = now.Add(after)
		noted = append(noted, id)
	}
	return noted
}

// Lapsed notes that the store dropped a server's row at a revision, for which an
// outage may be the reason. The server counts as gone at the time given, unless
// it announces itself again. Lapsed reports whether the server counted as present.
func (d *Directory) Lapsed(id backend.ID, revision platform.Version, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = max(d.revision, revision)
	if e := d.entries[id]; e == nil || e.Gone || e.Revision > revision {
		return false
	}
	_, known := d.suspect[id]
	if !known {
		d.suspect[id] = until
	}
	return !known
}

// Expire ends the suspects whose time is over and returns them.
func (d *Directory) Expire(now time.Time) []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ended []*Entry
	for id, until := range d.suspect {
		if now.Before(until) {
			continue
		}
		delete(d.suspect, id)
		gone := *d.entries[id]
		gone.Gone = true
		d.entries[id] = &gone
		d.goneAt[id] = now
		ended = append(ended, &gone)
	}
	if len(ended) > 0 {
		d.publish()
	}
	return ended
}

// Export returns the entries after a revision for another VM, ends included.
func (d *Directory) Export(after platform.Version) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Entry
	for _, e := range d.entries {
		if e.Revision > after {
			out = append(out, *e)
		}
	}
	return out
}

// SetWeights notes the version of a model that a server answered with, ahead of
// its announcement.
func (d *Directory) SetWeights(id backend.ID, started int64, model string, version uint64) bool {
	if e := d.View().Server(id); e == nil || e.Started != started || e.Weights[model] >= version {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.entries[id]
	if old == nil || old.Started != started || old.Weights[model] >= version {
		return false
	}
	next := *old
	next.Weights = maps.Clone(old.Weights)
	if next.Weights == nil {
		next.Weights = map[string]uint64{}
	}
	next.Weights[model] = version
	d.entries[id] = &next
	d.publish()
	return true
}

func (d *Directory) forget(now time.Time) {
	for id, at := range d.goneAt {
		if now.Sub(at) > tombstoneAge {
			delete(d.goneAt, id)
			delete(d.entries, id)
		}
	}
}

func (d *Directory) publish() {
	v := &View{byService: map[string][]*Entry{}, byID: map[backend.ID]*Entry{}}
	for id, e := range d.entries {
		if e.Gone {
			continue
		}
		v.byID[id] = e
		if e.Usable() {
			v.byService[e.Service] = append(v.byService[e.Service], e)
		}
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	d.view.Store(v)
}
