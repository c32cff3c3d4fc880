package health

import (
	"sync"
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Table holds the breakers of all backend servers. Reads are lock-free.
type Table struct {
	breakers sync.Map // backend.ID to *atomic.Pointer[Breaker]
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// Get returns the state of a server.
func (t *Table) Get(id backend.ID) Breaker {
	v, ok := t.breakers.Load(id)
	if !ok {
		return Breaker{}
	}
	return *v.(*atomic.Pointer[Breaker]).Load()
}

// Update replaces the state of a server by next of it. It may call next more
// than once.
func (t *Table) Update(id backend.ID, next func(Breaker) Breaker) {
	v, ok := t.breakers.Load(id)
	if !ok {
		p := &atomic.Pointer[Breaker]{}
		p.Store(&Breaker{})
		v, _ = t.breakers.LoadOrStore(id, p)
	}
	p := v.(*atomic.Pointer[Breaker])
	for {
		old := p.Load()
		b := next(*old)
		if b == *old || p.CompareAndSwap(old, &b) {
			return
		}
	}
}

// Retain forgets all servers but those for which keep is true.
func (t *Table) Retain(keep func(backend.ID) bool) {
	t.breakers.Range(func(k, _ any) bool {
		if !keep(k.(backend.ID)) {
			t.breakers.Delete(k)
		}
		return true
	})
}

// Filter returns the servers that may get a request. A server in its slow start
// is left out of a part of the requests: draw is a random number in [0, 1) of
// the request. If no server is left, those with a closed breaker are returned,
// and if there is none, all: a request that would be refused for certain may as
// well be the probe.
func (t *Table) Filter(servers []backend.Server, now time.Time, draw float64) []backend.Server {
	allowed := make([]backend.Server, 0, len(servers))
	warm := make([]backend.Server, 0, len(servers))
	for _, s := range servers {
		b := t.Get(s.ID)
		if !b.Allows(now) {
			continue
		}
		allowed = append(allowed, s)
		if draw < b.Share(now) {
			warm = append(warm, s)
		}
	}
	switch {
	case len(warm) > 0:
		return warm
	case len(allowed) > 0:
		return allowed
	default:
		return servers
	}
}
