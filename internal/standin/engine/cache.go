package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/prefix"
)

// blockCache is a prefix cache of limited size with least-recently-used
// eviction.
type blockCache struct {
	blocks  *lru.Cache[uint64, struct{}]
	evicted []uint64
}

func newBlockCache(size int) *blockCache {
	c := &blockCache{}
	evict := func(h uint64, _ struct{}) { c.evicted = append(c.evicted, h) }
	blocks, err := lru.NewWithEvict(max(1, size), evict)
	if err != nil {
		panic(err)
	}
	c.blocks = blocks
	return c
}

func (c *blockCache) len() int { return c.blocks.Len() }

// lookup returns how many leading blocks of the chain are cached.
func (c *blockCache) lookup(chain []uint64) int {
	for i, h := range chain {
		if _, ok := c.blocks.Get(h); !ok {
			return i
		}
	}
	return len(chain)
}

// store caches a chain so that its last block is evicted first. It returns the
// blocks that were evicted to make room.
func (c *blockCache) store(chain []uint64) []uint64 {
	c.evicted = nil
	for _, h := range slices.Backward(chain) {
		c.blocks.Add(h, struct{}{})
	}
	return c.evicted
}

// chainHashes returns the chained hashes of the full blocks of a prompt,
// computed the same way as in the routers.
func chainHashes(salt, prompt string, blockTokens int) []uint64 {
	var hashes []uint64
	for _, h := range prefix.Chain(prefix.Root(salt), prompt, blockTokens, nil) {
		hashes = append(hashes, uint64(h))
	}
	return hashes
}

// eventLog delivers the cache events of one incarnation to its subscribers.
type eventLog struct {
	incarnation string
	mu          sync.Mutex
	seq         uint64
	subs        map[chan openai.CacheEvent]bool
}

const eventBuffer = 256

func newEventLog(incarnation string) *eventLog {
	return &eventLog{incarnation: incarnation, subs: map[chan openai.CacheEvent]bool{}}
}

// publish sends an event to all subscribers and skips those whose buffer is
// full.
func (l *eventLog) publish(ev openai.CacheEvent) {
	if len(ev.Hashes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	ev.Seq, ev.Incarnation = l.seq, l.incarnation
	for ch := range l.subs {
		select {
		case ch <- ev:
		default:
		}
	}
}

func (l *eventLog) subscribe() chan openai.CacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan openai.CacheEvent, eventBuffer)
	l.subs[ch] = true
	return ch
}

func (l *eventLog) unsubscribe(ch chan openai.CacheEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.subs, ch)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	log, ended := e.events, e.ended
	e.mu.Unlock()
	ch := log.subscribe()
	defer log.unsubscribe(ch)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for {
		select {
		case ev := <-ch:
			data, err := json.Marshal(ev)
			if err != nil {
				return
			}
			fmt.Fprintf(w, "data: %s\n\n", data)
			flush(w)
		case <-ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
