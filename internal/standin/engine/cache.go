package engine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"papayaspan.dev/papayaspan/internal/openai"
)

// blockCache is a prefix cache in limited memory with least-recently-used
// eviction.
type blockCache struct {
	blocks *lru.Cache[uint64, struct{}]
}

func newBlockCache(size int) *blockCache {
	blocks, err := lru.New[uint64, struct{}](max(1, size))
	if err != nil {
		panic(err)
	}
	return &blockCache{blocks: blocks}
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

func (c *blockCache) store(chain []uint64) {
	for _, h := range chain {
		c.blocks.Add(h, struct{}{})
	}
}

// chainHashes returns the chained hashes of the whole blocks of a prompt.
func chainHashes(salt string, tokens []string, blockTokens int) []uint64 {
	h := xxhash.Sum64String(salt)
	var chain []uint64
	for i := 0; i+blockTokens <= len(tokens); i += blockTokens {
		var prev [8]byte
		binary.LittleEndian.PutUint64(prev[:], h)
		h = xxhash.Sum64String(string(prev[:]) + strings.Join(tokens[i:i+blockTokens], " "))
		chain = append(chain, h)
	}
	return chain
}

// eventLog hands cache events to the subscribers of one incarnation.
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

// stored publishes one event. A subscriber whose buffer is full misses it.
func (l *eventLog) stored(hashes []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	ev := openai.CacheEvent{Seq: l.seq, Incarnation: l.incarnation, Type: "stored", Hashes: hashes}
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
	log, down := e.events, e.down
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
		case <-down:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
