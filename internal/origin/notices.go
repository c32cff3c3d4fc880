package origin

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// Audience selects the VMs that a message is for.
type Audience uint8

const (
	// Domain are the VMs of the own failure domain, OtherDomains those of the others.
	Domain Audience = iota
	OtherDomains
	audiences
	// ActiveVMs are the VMs of the own failure domain that receive client requests. They get a
	// new record at once, beside the messages to the whole domain.
	ActiveVMs
)

// announcements is how often a record is announced to each audience, because messages are lost.
// Messages between domains reach most VMs less often than they are sent.
var announcements = [audiences]int{Domain: 2, OtherDomains: 4}

const (
	// maxNoticeStreams bounds the records in a message; each takes 8 bytes.
	maxNoticeStreams = 256
	// maxQueue bounds the records that are to be announced to an audience.
	maxQueue = 4096
	// freshTime is the age up to which a record is in messages to active VMs, and maxFresh their number.
	freshTime = 250 * time.Millisecond
	maxFresh  = 64
	// ageTolerance is the smallest difference between two reported times of the same event that
	// counts: ages grow on the way, and VMs that report them to one another must not renew them.
	ageTolerance = 2 * time.Second
	// earlierTime is the age up to which streams are announced that were begun before their service
	// had several versions.
	earlierTime = 20 * time.Second
)

// announcement is a stream that is to be announced a number of times.
type announcement struct {
	id   StreamID
	left int
}

// announce queues a new record for the audiences that don't learn of it from others.
func (t *Table) announce(id StreamID, from scope) {
	if !t.mixed[t.streams[id].origin.Service] {
		return
	}
	if from == own {
		t.enqueue(Domain, id)
	}
	if from != remote {
		t.enqueue(OtherDomains, id)
	}
}

// enqueue drops the oldest announcement if the queue is full: only relays send to other domains.
func (t *Table) enqueue(to Audience, id StreamID) {
	queue := append(t.queues[to], announcement{id: id, left: announcements[to]})
	t.queues[to] = queue[max(0, len(queue)-maxQueue):]
}

// announceEarlier queues the streams that were begun while their service had one version.
func (t *Table) announceEarlier(service string, now time.Time) {
	for _, id := range t.order {
		if s := t.streams[id]; s.origin.Service == service && now.Sub(s.recordedAt) < earlierTime {
			t.announce(id, s.scope)
		}
	}
}

// take returns the streams for the next message to an audience.
func (t *Table) take(to Audience) map[Origin][]StreamID {
	out := map[Origin][]StreamID{}
	queue := t.queues[to]
	var again []announcement
	for n := 0; n < maxNoticeStreams && len(queue) > 0; queue = queue[1:] {
		a := queue[0]
		s := t.streams[a.id]
		if s == nil || s.ambiguous {
			continue
		}
		out[s.origin] = append(out[s.origin], a.id)
		n++
		if a.left--; a.left > 0 {
			again = append(again, a)
		}
	}
	t.queues[to] = append(queue, again...)
	return out
}

// fresh returns the streams that this VM has just begun.
func (t *Table) fresh(now time.Time) map[Origin][]StreamID {
	out := map[Origin][]StreamID{}
	for i, n := len(t.order)-1, 0; i >= 0 && n < maxFresh; i-- {
		s := t.streams[t.order[i]]
		if now.Sub(s.recordedAt) > freshTime {
			break
		}
		if s.scope == own && !s.ambiguous && t.mixed[s.origin.Service] {
			out[s.origin] = append(out[s.origin], t.order[i])
			n++
		}
	}
	return out
}

// Notices are what a VM sends to others. They list versions and streams of services with
// several versions only, and how the streams of all services are numbered.
type Notices struct {
	// Complete is set if the sender knows the versions of the recent past.
	Complete bool            `json:"c,omitempty"`
	Versions []VersionNotice `json:"v,omitempty"`
	Streams  []StreamsNotice `json:"o,omitempty"`
	// Numberings are sent now and then.
	Numberings []NumberingNotice `json:"n,omitempty"`
}

// VersionNotice is a version that has servers or had some in the recent past.
type VersionNotice struct {
	Origin
	// GoneFor is the time for which it has had none, in milliseconds; 0 if it has some.
	GoneFor int64 `json:"g,omitempty"`
}

// String formats the version for logs.
func (n VersionNotice) String() string {
	if n.GoneFor > 0 {
		return fmt.Sprintf("%s=%s (gone)", n.Service, n.Version)
	}
	return fmt.Sprintf("%s=%s", n.Service, n.Version)
}

// StreamsNotice lists streams of one origin.
type StreamsNotice struct {
	Origin
	// IDs are the IDs of the streams, streamIDBytes each, in big-endian order.
	IDs []byte `json:"i"`
}

// packIDs returns the notices for streams, grouped by origin.
func packIDs(streams map[Origin][]StreamID) []StreamsNotice {
	var out []StreamsNotice
	for o, ids := range streams {
		n := StreamsNotice{Origin: o, IDs: make([]byte, 0, streamIDBytes*len(ids))}
		for _, id := range ids {
			var b [8]byte
			binary.BigEndian.PutUint64(b[:], uint64(id))
			n.IDs = append(n.IDs, b[8-streamIDBytes:]...)
		}
		out = append(out, n)
	}
	return out
}

func (n *StreamsNotice) streams() []StreamID {
	ids := make([]StreamID, 0, len(n.IDs)/streamIDBytes)
	for chunk := range slices.Chunk(n.IDs, streamIDBytes) {
		if len(chunk) == streamIDBytes {
			var b [8]byte
			copy(b[8-streamIDBytes:], chunk)
			ids = append(ids, StreamID(binary.BigEndian.Uint64(b[:])))
		}
	}
	return ids
}

// Notices returns the notices for an audience.
func (t *Table) Notices(to Audience) *Notices {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	n := &Notices{Complete: t.complete, Numberings: t.numberingsFor(to, now)}
	if len(t.mixed) == 0 {
		t.queues = [audiences][]announcement{}
		return n
	}
	for o, v := range t.versions {
		if !t.mixed[o.Service] {
			continue
		}
		notice := VersionNotice{Origin: o}
		if !v.present {
			notice.GoneFor = max(1, now.Sub(v.lastSeen).Milliseconds())
		}
		n.Versions = append(n.Versions, notice)
	}
	if to == ActiveVMs {
		n.Streams = packIDs(t.fresh(now))
	} else {
		n.Streams = packIDs(t.take(to))
	}
	return n
}

// Export returns all records, for a VM that can't read them from the store.
func (t *Table) Export() *Notices {
	n := t.Notices(ActiveVMs)
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[Origin][]StreamID{}
	for id, s := range t.streams {
		if !s.ambiguous && t.mixed[s.origin.Service] {
			all[s.origin] = append(all[s.origin], id)
		}
	}
	n.Streams, n.Numberings = packIDs(all), t.allNumberings(t.now())
	return n
}

// Apply applies the notices of another VM. It reports whether they change the known versions.
func (t *Table) Apply(n *Notices, sameDomain bool) bool {
	if n == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	from := remote
	if sameDomain {
		from = domain
	}
	now := t.now()
	changed := t.applyVersions(n.Versions, now)
	changed = t.applyNumberings(n.Numberings, sameDomain, now) || changed
	t.complete = t.complete || n.Complete
	for _, group := range n.Streams {
		for _, id := range group.streams() {
			t.record(id, group.Origin, from, now)
		}
	}
	return changed
}

func (t *Table) applyVersions(list []VersionNotice, now time.Time) bool {
	changed := false
	for _, notice := range list {
		lastSeen := now.Add(-time.Duration(notice.GoneFor) * time.Millisecond)
		if now.Sub(lastSeen) > Horizon {
			continue
		}
		_, known := t.versions[notice.Origin]
		changed = changed || !known
		v := t.ensureVersion(notice.Origin, now)
		if !known || lastSeen.Sub(v.lastSeen) > ageTolerance {
			v.lastSeen = lastSeen
		}
	}
	return changed
}
