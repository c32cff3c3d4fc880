package health

import (
	"sync"
	"sync/atomic"

	"papayaspan.dev/papayaspan/internal/backend"
)

// Table holds the breakers of all backend servers. Reads are lock-free.
type Table struct {
	breakers sync.Map // backend.ID to *atomic.Pointer[Breaker]
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// Get returns the state of a server; the zero value if it is unknown.
func (t *Table) Get(id backend.ID) Breaker {
	v, ok := t.breakers.Load(id)
	if !ok {
		return Breaker{}
	}
	return *v.(*atomic.Pointer[Breaker]).Load()
}

// Update replaces the state of a server by the result of next. It may call next more
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

// Retain removes all servers for which keep is false.
func (t *Table) Retain(keep func(backend.ID) bool) {
	t.breakers.Range(func(k, _ any) bool {
		if !keep(k.(backend.ID)) {
			t.breakers.Delete(k)
		}
		return true
	})
}
