package gateway

import (
	"maps"
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// maxCrashes is the number of servers that may be lost under a request's
	// content until it is refused. Source: the rules allow three.
	maxCrashes = 3
	// suspicionAge is for how long a loss counts; callers send such a request
	// again within seconds.
	suspicionAge = 30 * time.Second
	// maxSuspects bounds the contents remembered.
	maxSuspects = 512
)

type suspicion struct {
	count int
	at    time.Time
}

// Suspects counts the servers that were lost while they ran a content, by all
// VMs. It is safe for concurrent use.
type Suspects struct {
	now   func() time.Time
	mu    sync.Mutex
	own   map[string]suspicion
	peers map[vm.ID]map[string]int
}

// NewSuspects returns an empty list.
func NewSuspects(now func() time.Time) *Suspects {
	return &Suspects{now: now, own: map[string]suspicion{}, peers: map[vm.ID]map[string]int{}}
}

// Lost notes that a server was lost while it ran the content.
func (s *Suspects) Lost(content string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.own) >= maxSuspects {
		s.expire()
	}
	if len(s.own) >= maxSuspects {
		clear(s.own)
	}
	s.own[content] = suspicion{count: s.own[content].count + 1, at: s.now()}
}

// Served notes that a server ran the content to its end.
func (s *Suspects) Served(content string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.own, content)
	for _, counts := range s.peers {
		delete(counts, content)
	}
}

// Count returns the losses under a content.
func (s *Suspects) Count(content string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	if own, ok := s.own[content]; ok && s.now().Sub(own.at) < suspicionAge {
		n = own.count
	}
	for _, counts := range s.peers {
		n += counts[content]
	}
	return n
}

// Heard notes the losses that another VM counts.
func (s *Suspects) Heard(from vm.ID, counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(counts) == 0 {
		delete(s.peers, from)
		return
	}
	s.peers[from] = maps.Clone(counts)
}

// Own returns what this VM counts.
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
		if s.now().Sub(x.at) >= suspicionAge {
			delete(s.own, content)
		}
	}
}
