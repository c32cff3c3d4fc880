package gateway

import (
	"maps"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// maxCrashes is the number of server crashes from which a request's content is
	// refused. Source: the rules allow three.
	maxCrashes = 3
	// crashRetention is how long a crash counts; callers resend such a request within
	// seconds.
	crashRetention = 30 * time.Second
	// maxCrashContents bounds the number of contents that this VM keeps counts for.
	maxCrashContents = 512
)

type crashCount struct {
	count int
	at    time.Time
}

// Suspects counts, for each request content, the servers that crashed while they ran
// it, over all VMs. It is safe for concurrent use.
type Suspects struct {
	now   func() time.Time
	mu    sync.Mutex
	own   map[string]crashCount
	peers map[vm.ID]map[string]int
}

// NewSuspects returns a Suspects without counts.
func NewSuspects(now func() time.Time) *Suspects {
	return &Suspects{now: now, own: map[string]crashCount{}, peers: map[vm.ID]map[string]int{}}
}

// RecordCrash records that a server crashed while it ran the content.
func (s *Suspects) RecordCrash(content string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.own) >= maxCrashContents {
		s.expire()
	}
	if len(s.own) >= maxCrashContents {
		clear(s.own)
	}
	s.own[content] = crashCount{count: s.own[content].count + 1, at: s.now()}
}

// RecordSuccess records that a server ran the content to its end, which clears its counts.
func (s *Suspects) RecordSuccess(content string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.own, content)
	for _, counts := range s.peers {
		delete(counts, content)
	}
}

// Count returns the number of crashes under a content.
func (s *Suspects) Count(content string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	if own, ok := s.own[content]; ok && s.now().Sub(own.at) < crashRetention {
		n = own.count
	}
	for _, counts := range s.peers {
		n += counts[content]
	}
	return n
}

// Heard replaces the counts received from another VM.
func (s *Suspects) Heard(from vm.ID, counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(counts) == 0 {
		delete(s.peers, from)
		return
	}
	s.peers[from] = maps.Clone(counts)
}

// Own returns this VM's counts, to be sent to other VMs.
func (s *Suspects) Own() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	out := map[string]int{}
	for content, x := range s.own {
		out[content] = x.count
	}
	return out
}

func (s *Suspects) expire() {
	for content, x := range s.own {
		if s.now().Sub(x.at) >= crashRetention {
			delete(s.own, content)
		}
	}
}
