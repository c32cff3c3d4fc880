// Package origin records which software version of a service began each stream, so that a
// stream is resumed only at servers of that version: the output of two versions doesn't fit
// together, and servers don't check which version began it.
//
// While a service has servers of several versions, VMs send one another the origins of the
// streams that they begin, and store them in the platform's store for the restart of all
// VMs. A stream without a known origin can be resumed if only one version can have begun it,
// which takes the versions of the recent past: those are stored as well.
package origin

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Horizon is how long a caller may take to resume a stream after its first event: the
	// longest stream, and the time that the caller waits after it broke off.
	Horizon = 60 * time.Second
	// SettleTime is the time after which all VMs know of a new version. It exceeds MaxLag.
	SettleTime = 2 * time.Second
	// MaxLag is the age of the server directory from which it may lack versions that other
	// VMs use already.
	MaxLag = 1500 * time.Millisecond
	// maxStreams bounds the recorded streams; each takes about 100 bytes.
	maxStreams = 50_000
)

// StreamID identifies a stream.
type StreamID uint64

// streamIDBytes is the length of a stream's ID. With 50,000 recorded streams, one in 5 billion
// others has the ID of one of them.
const streamIDBytes = 6

// NewStreamID returns the ID of the stream whose first event the given caller's attempt
// brought.
func NewStreamID(attempt string) StreamID {
	return StreamID(xxhash.Sum64String(attempt) >> (64 - 8*streamIDBytes))
}

// Origin is a software version of a service.
type Origin struct {
	Service string `json:"s"`
	Version string `json:"v"`
}

// scope is where the record of a stream comes from.
type scope uint8

const (
	// own streams were begun by this VM, domain streams by another VM of its failure domain.
	own scope = iota
	domain
	remote
)

// stream is the record of a stream.
type stream struct {
	origin Origin
	scope  scope
	// recordedAt is when the stream was begun, or when this VM first learned of it.
	recordedAt time.Time
	// ambiguous is set if the records of several versions have the same ID.
	ambiguous bool
	// stored is set once the record is in the platform's store.
	stored bool
}

// version is the state of one software version of a service.
type version struct {
	// knownSince is when this VM learned of the version.
	knownSince time.Time
	// present is set while the version has servers in the directory. lastSeen is when it
	// last had some.
	present  bool
	lastSeen time.Time
}

// Table holds the origins of streams and the versions of services. It is safe for concurrent
// use.
type Table struct {
	mu      sync.Mutex
	now     func() time.Time
	streams map[StreamID]*stream
	// order lists the recorded streams, mostly by age.
	order    []StreamID
	versions map[Origin]*version
	// mixed holds the services with several versions.
	mixed map[string]bool
	// complete is set once the versions of the recent past are known.
	complete bool
	// queues hold the streams to be announced to each audience.
	queues     [audiences][]announcement
	numberings map[Origin]*numbering
	// servers is the number of servers of each version in the directory.
	servers map[Origin]int
	// numberingChanged is set if a numbering has changed since the last call of Observe.
	numberingChanged bool
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, streams: map[StreamID]*stream{}, versions: map[Origin]*version{}, mixed: map[string]bool{}, numberings: map[Origin]*numbering{}}
}

// Observe records which versions have servers now. It reports whether the versions or how they
// number events have changed.
func (t *Table) Observe(present []Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, changed := t.now(), t.numberingChanged
	t.numberingChanged = false
	for _, o := range present {
		v := t.ensureVersion(o, now)
		changed = changed || !v.present
		v.present = true
	}
	for o, v := range t.versions {
		if v.present && !slices.Contains(present, o) {
			v.present, v.lastSeen, changed = false, now, true
		}
	}
	t.expire(now)
	return changed
}

// SetServers records how many servers each version has.
func (t *Table) SetServers(count map[Origin]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servers = count
}

func (t *Table) ensureVersion(o Origin, now time.Time) *version {
	v := t.versions[o]
	if v == nil {
		v = &version{knownSince: now, lastSeen: now}
		t.versions[o] = v
		if !t.mixed[o.Service] && t.count(o.Service) > 1 {
			t.mixed[o.Service] = true
			t.announceEarlier(o.Service, now)
		}
	}
	return v
}

func (t *Table) count(service string) int {
	n := 0
	for o := range t.versions {
		if o.Service == service {
			n++
		}
	}
	return n
}

// expire removes the versions and streams that are too old to matter.
func (t *Table) expire(now time.Time) {
	for o, v := range t.versions {
		if !v.present && now.Sub(v.lastSeen) > Horizon {
			delete(t.versions, o)
			delete(t.numberings, o)
			if t.count(o.Service) <= 1 {
				delete(t.mixed, o.Service)
			}
		}
	}
	removed := 0
	for _, id := range t.order {
		s := t.streams[id]
		if now.Sub(s.recordedAt) <= Horizon && len(t.order)-removed <= maxStreams {
			break
		}
		delete(t.streams, id)
		removed++
	}
	t.order = t.order[removed:]
}

// Record records that this VM sends events of a stream.
func (t *Table) Record(id StreamID, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(id, o, own, t.now())
}

// record adds the record of a stream.
func (t *Table) record(id StreamID, o Origin, from scope, at time.Time) {
	s := t.streams[id]
	if s == nil {
		t.streams[id] = &stream{origin: o, scope: from, recordedAt: at}
		t.order = append(t.order, id)
		t.announce(id, from)
		return
	}
	if s.origin != o {
		s.ambiguous = true
	}
	s.scope = min(s.scope, from)
}

// Lookup returns the origin of a stream, and false if it isn't known.
func (t *Table) Lookup(id StreamID) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.streams[id]
	if s == nil || s.ambiguous {
		return Origin{}, false
	}
	return s.origin, true
}

// Sole returns the only version of a service that can have begun a stream without a record,
// and false if there are several or if that isn't known.
func (t *Table) Sole(service string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.complete {
		return "", false
	}
	sole, n := "", 0
	for o := range t.versions {
		if o.Service == service {
			sole, n = o.Version, n+1
		}
	}
	return sole, n == 1
}

// Complete reports whether the versions of the recent past are known.
func (t *Table) Complete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.complete
}

// Settled reports whether all VMs know of a version, so that streams can begin on it.
func (t *Table) Settled(o Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.versions[o]
	return v != nil && t.now().Sub(v.knownSince) >= SettleTime
}

// Present reports whether a version has servers.
func (t *Table) Present(o Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.versions[o]
	return v != nil && v.present
}

// Len returns the number of recorded streams.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}
