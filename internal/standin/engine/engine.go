// Package engine is a test double of a model engine. It has an
// OpenAI-compatible interface, a prefix cache of limited size and faults that
// tests can inject. Its output is a pure function of the prompt. Only tests and
// the demo commands use it.
package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"papayaspan.dev/papayaspan/internal/openai"
)

// PathControl is the URL path at which tests change an engine's behaviour and
// read its counters.
const PathControl = "/control"

// Options set the speed and size of an engine.
type Options struct {
	// BlockTokens is the size of a cache block in tokens.
	BlockTokens int
	// CacheBlocks is the number of blocks the cache holds.
	CacheBlocks int
	// PrefillPerToken is the time to compute one prompt token that isn't cached.
	PrefillPerToken time.Duration
	// DecodePerToken is the time between output tokens.
	DecodePerToken time.Duration
	// MaxRunning is the maximum number of concurrently running requests.
	MaxRunning int
	// LoadTime is the time to load new weights.
	LoadTime time.Duration
	// IgnoresFencing makes the engine accept orders whose fencing token is lower
	// than the highest one seen.
	IgnoresFencing bool
	// Weights is the loaded weights version of each model.
	Weights map[string]string
}

// Control changes an engine's behaviour. Absent fields leave the current
// setting unchanged.
type Control struct {
	// CrashText crashes the engine on each request whose prompt contains it; the
	// empty string disables it.
	CrashText *string `json:"crash_text,omitempty"`
	// Crash breaks all connections and starts a new, empty incarnation.
	Crash bool `json:"crash,omitempty"`
	// CrashAfterTokens crashes the engine once, as soon as a stream has reached
	// this number of output tokens; 0 disables it.
	CrashAfterTokens *int `json:"crash_after_tokens,omitempty"`
	// TruncateAfterTokens ends the next request's stream after this number of
	// output tokens, without the final event.
	TruncateAfterTokens *int `json:"truncate_after_tokens,omitempty"`
	// WrongID makes the engine respond to the next request with the ID of another
	// request.
	WrongID *bool `json:"wrong_id,omitempty"`
	// Stall suspends all responses while it is true.
	Stall *bool `json:"stall,omitempty"`
	// IgnoresFencing overrides Options.IgnoresFencing.
	IgnoresFencing *bool `json:"ignores_fencing,omitempty"`
}

// Stats holds the current incarnation of an engine and its counters, which
// survive crashes.
type Stats struct {
	Incarnation string   `json:"incarnation"`
	Requests    int      `json:"requests"`
	Crashes     int      `json:"crashes"`
	Canceled    int      `json:"canceled"`
	MaxFencing  uint64   `json:"max_fencing"`
	Orders      int      `json:"orders"`
	LeakedKeys  []string `json:"leaked_keys"`
}

// Engine is a simulated model engine.
type Engine struct {
	opts Options

	mu          sync.Mutex
	incarnation string
	ended       chan struct{} // closed when the incarnation ends
	cache       *blockCache
	events      *eventLog
	running     int
	waiting     int
	slots       chan struct{}
	weights     map[string]string
	control     Control
	stats       Stats
}

// New returns an engine.
func New(opts Options) *Engine {
	e := &Engine{opts: opts, weights: map[string]string{}}
	for m, v := range opts.Weights {
		e.weights[m] = v
	}
	e.slots = make(chan struct{}, opts.MaxRunning)
	e.startIncarnation()
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+openai.PathChatCompletions, e.serveCompletion)
	mux.HandleFunc("POST "+openai.PathCompletions, e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /events", e.serveEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST "+PathControl, e.serveSetControl)
	mux.HandleFunc("GET "+PathControl, e.serveStats)
	return mux
}

// Crash breaks all connections and starts a new incarnation with an empty
// cache.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.ended)
	e.stats.Crashes++
	e.startIncarnation()
}

func (e *Engine) startIncarnation() {
	e.incarnation = uuid.NewString()
	e.ended = make(chan struct{})
	e.cache = newBlockCache(e.opts.CacheBlocks)
	e.events = newEventLog(e.incarnation)
	e.slots = make(chan struct{}, e.opts.MaxRunning)
	e.running, e.waiting = 0, 0
}

// Stats returns the engine's current counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Incarnation = e.incarnation
	return s
}

// SetControl changes the engine's behaviour.
func (e *Engine) SetControl(c Control) {
	if c.Crash {
		e.Crash()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	setIfPresent(&e.control.CrashText, c.CrashText)
	setIfPresent(&e.control.CrashAfterTokens, c.CrashAfterTokens)
	setIfPresent(&e.control.TruncateAfterTokens, c.TruncateAfterTokens)
	setIfPresent(&e.control.WrongID, c.WrongID)
	setIfPresent(&e.control.Stall, c.Stall)
	if c.IgnoresFencing != nil {
		e.opts.IgnoresFencing = *c.IgnoresFencing
	}
}

func setIfPresent[T any](dst **T, src *T) {
	if src != nil {
		*dst = src
	}
}

// takeOnce returns the value of a one-shot control and clears it.
func takeOnce[T any](p **T) (T, bool) {
	var zero T
	if *p == nil {
		return zero, false
	}
	v := **p
	*p = nil
	return v, true
}

// Token returns output token i of the response to a prompt.
func Token(prompt string, i int) string {
	const words = "coil slot pitch wire turn gauge phase lead pole core"
	list := strings.Fields(words)
	return list[(xxhash.Sum64String(prompt)+uint64(i)*7)%uint64(len(list))] + " "
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := openai.Load{
		Incarnation:   e.incarnation,
		Running:       e.running,
		Waiting:       e.waiting,
		KVBlocksUsed:  e.cache.len(),
		KVBlocksTotal: e.opts.CacheBlocks,
		Weights:       map[string]string{},
	}
	for m, v := range e.weights {
		l.Weights[m] = v
	}
	e.mu.Unlock()
	writeJSON(w, l)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o openai.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if o.Fencing < e.stats.MaxFencing && !e.opts.IgnoresFencing {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.stats.MaxFencing = max(e.stats.MaxFencing, o.Fencing)
	e.stats.Orders++
	changed := len(o.Weights) != len(e.weights)
	for m, v := range o.Weights {
		changed = changed || e.weights[m] != v
	}
	e.mu.Unlock()
	if changed {
		time.Sleep(e.opts.LoadTime)
	}
	e.mu.Lock()
	e.weights = o.Weights
	e.mu.Unlock()
	writeJSON(w, o)
}

func (e *Engine) serveSetControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "malformed control", http.StatusBadRequest)
		return
	}
	e.SetControl(c)
	writeJSON(w, e.Stats())
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Stats())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
