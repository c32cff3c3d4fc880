package origin

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

const (
	// announceTime is the time for which a new record is in every message, because several
	// messages in a row may be lost.
	announceTime = 1 * time.Second
	// maxNoticeStreams bounds the records in a message; each takes 11 bytes.
	maxNoticeStreams = 3000
	streamIDBytes    = 8
)

// Notices are what a VM sends to others. They list versions and streams of services with
// several versions only.
type Notices struct {
	// Complete is set if the sender knows the versions of the recent past.
	Complete bool            `json:"c,omitempty"`
	Versions []VersionNotice `json:"v,omitempty"`
	Streams  []StreamsNotice `json:"o,omitempty"`
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
	// IDs are the IDs of the streams, eight bytes each, in big-endian order.
	IDs []byte `json:"i"`
}

// packIDs returns the notices for streams, grouped by origin.
func packIDs(streams map[Origin][]StreamID) []StreamsNotice {
	var out []StreamsNotice
	for o, ids := range streams {
		n := StreamsNotice{Origin: o, IDs: make([]byte, 0, streamIDBytes*len(ids))}
		for _, id := range ids {
			n.IDs = binary.BigEndian.AppendUint64(n.IDs, uint64(id))
		}
		out = append(out, n)
	}
	return out
}

func (n *StreamsNotice) streams() []StreamID {
	ids := make([]StreamID, 0, len(n.IDs)/streamIDBytes)
	for chunk := range slices.Chunk(n.IDs, streamIDBytes) {
		if len(chunk) == streamIDBytes {
			ids = append(ids, StreamID(binary.BigEndian.Uint64(chunk)))
		}
	}
	return ids
}

// Notices returns the notices for other VMs: those of the own failure domain, which send
// their own records themselves, or those of the other domains.
func (t *Table) Notices(otherDomains bool) *Notices {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	n := &Notices{Complete: t.complete}
	if len(t.mixedSince) == 0 {
		return n
	}
	for o, v := range t.versions {
		if _, mixed := t.mixedSince[o.Service]; !mixed {
			continue
		}
		notice := VersionNotice{Origin: o}
		if !v.present {
			notice.GoneFor = max(1, now.Sub(v.lastSeen).Milliseconds())
		}
		n.Versions = append(n.Versions, notice)
	}
	repeating := !t.repeatedAt.IsZero() && now.Sub(t.repeatedAt) < announceTime
	recent := map[Origin][]StreamID{}
	for i, listed := len(t.order)-1, 0; i >= 0 && listed < maxNoticeStreams; i-- {
		id := t.order[i]
		s := t.streams[id]
		if s.ambiguous {
			continue
		}
		mixedSince, mixed := t.mixedSince[s.origin.Service]
		if !mixed {
			continue
		}
		due := now.Sub(s.recordedAt) < announceTime || now.Sub(mixedSince) < announceTime
		passesOn := s.scope == own || otherDomains && s.scope == domain
		if repeating && !otherDomains || due && passesOn {
			recent[s.origin] = append(recent[s.origin], id)
			listed++
		}
	}
	n.Streams = packIDs(recent)
	return n
}

// Repeat announces all records again, for a VM that has just started.
func (t *Table) Repeat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repeatedAt = t.now()
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
		if lastSeen.After(v.lastSeen) {
			v.lastSeen = lastSeen
		}
		if !known {
			v.lastSeen = lastSeen
		}
	}
	return changed
}
