package origin

import "time"

const (
	// SlotLength is the period whose streams share one row of the store.
	SlotLength = 5 * time.Second
	// Slots is the number of rows of a VM. The oldest one is overwritten when its streams are
	// older than the horizon.
	Slots = int(Horizon/SlotLength) + 2
)

// Slot holds the streams of one period, as stored.
type Slot struct {
	// Number counts the periods since the zero of the clock that the caller of Unstored uses.
	Number  int64           `json:"slot"`
	Streams []StreamsNotice `json:"streams"`
}

// Mixed reports whether a service has had servers of several versions in the recent past.
func (t *Table) Mixed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.now())
	return len(t.mixed) > 0
}

// Unstored returns the slots with streams of this VM's failure domain that are not stored
// yet, with all streams of those slots. slot returns the number of the slot of a time. The
// returned function marks the streams as stored.
func (t *Table) Unstored(slot func(time.Time) int64) ([]Slot, func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.now())
	changed := map[int64]bool{}
	t.eachLocal(func(_ StreamID, s *stream) {
		if !s.stored {
			changed[slot(s.recordedAt)] = true
		}
	})
	streams := map[int64]map[Origin][]StreamID{}
	var written []*stream
	t.eachLocal(func(id StreamID, s *stream) {
		number := slot(s.recordedAt)
		if !changed[number] {
			return
		}
		if streams[number] == nil {
			streams[number] = map[Origin][]StreamID{}
		}
		streams[number][s.origin] = append(streams[number][s.origin], id)
		written = append(written, s)
	})
	var out []Slot
	for number, byOrigin := range streams {
		out = append(out, Slot{Number: number, Streams: packIDs(byOrigin)})
	}
	return out, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, s := range written {
			s.stored = true
		}
	}
}

// eachLocal calls f for the streams of this VM's failure domain whose service has several
// versions.
func (t *Table) eachLocal(f func(StreamID, *stream)) {
	for id, s := range t.streams {
		if t.mixed[s.origin.Service] && s.scope != remote && !s.ambiguous {
			f(id, s)
		}
	}
}

// RestoreSlot applies a stored slot. Age is the age of its latest stream, and mine is set if
// it is in a row that this VM overwrites.
func (t *Table) RestoreSlot(s Slot, age time.Duration, mine bool) {
	if age > Horizon {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.now().Add(-max(0, age))
	for _, group := range s.Streams {
		for _, id := range group.streams() {
			t.record(id, group.Origin, remote, at) // Other VMs read it as well.
			if mine {
				t.streams[id].scope = min(t.streams[id].scope, domain)
			}
		}
	}
}

// Versions returns the known versions, for the store.
func (t *Table) Versions() []VersionNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	var out []VersionNotice
	for o, v := range t.versions {
		notice := VersionNotice{Origin: o}
		if !v.present {
			notice.GoneFor = max(1, now.Sub(v.lastSeen).Milliseconds())
		}
		out = append(out, notice)
	}
	return out
}

// RestoreVersions applies stored versions. Those that have no servers now count as seen
// until the given time before now, or until now without one.
func (t *Table) RestoreVersions(list []VersionNotice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyVersions(list, t.now())
}

// SetComplete records that the stored versions were read.
func (t *Table) SetComplete() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.complete = true
}
