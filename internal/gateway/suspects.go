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

// CrashCounts counts, for each request content, the servers that crashed while they ran
// it, over all VMs. It is safe for concurrent use.
type CrashCounts struct {
	now   func() time.Time
	mu    sync.Mutex
	own   map[string]crashCount
	peers map[vm.ID]map[string]int
}

// NewCrashCounts returns a CrashCounts without counts.
func NewCrashCounts(now func() time.Time) *CrashCounts {
	return &CrashCounts{now: now, own: map[string]crashCount{}, peers: map[vm.ID]map[string]int{}}
}

// RecordCrash records that a server crashed while it ran the content.
func (s *CrashCounts) RecordCrash(content string) {
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

// RecordSuccess records that a server ran the content to its end, which clears the content's
// counts.
func (s *CrashCounts) RecordSuccess(content string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.own, content)
	for _, counts := range s.peers {
		delete(counts, content)
	}
}

// Count returns the number of crashes under a content.
func (s *CrashCounts) Count(content string) int {
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

// SetPeerCounts replaces the counts received from another VM.
func (s *CrashCounts) SetPeerCounts(from vm.ID, counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(counts) == 0 {
		delete(s.peers, from)
		return
	}
	s.peers[from] = maps.Clone(counts)
}

// LocalCounts returns this VM's counts, to be sent to other VMs.
func (s *CrashCounts) LocalCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	out := map[string]int{}
	for content, x := range s.own {
		out[content] = x.count
	}
	return out
}

func (s *CrashCounts) expire() {
	for content, x := range s.own {
		if s.now().Sub(x.at) >= crashRetention {
			delete(s.own, content)
		}
	}
}
