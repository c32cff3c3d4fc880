package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/prefix"
)

const defaultOutputTokens = 16

// run is one request that an engine executes.
type run struct {
	e             *Engine
	req           openai.Request
	id            string
	chat          bool
	prompt        string
	usage         openai.Usage
	ended         chan struct{}
	truncateAfter int // output tokens before the stream is cut; 0 means no cut
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req openai.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	prompt := req.PromptText()
	e.mu.Lock()
	e.stats.Requests++
	if v := r.Header.Get("Authorization"); v != "" {
		e.stats.LeakedKeys = append(e.stats.LeakedKeys, v)
	}
	if e.weights[req.Model] == "" {
		e.mu.Unlock()
		http.Error(w, "model not loaded", http.StatusNotFound)
		return
	}
	crashText := e.control.CrashText
	ended, slots := e.ended, e.slots
	e.waiting++
	e.mu.Unlock()

	if crashText != nil && *crashText != "" && strings.Contains(prompt, *crashText) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if !e.acquire(r, slots, ended) {
		panic(http.ErrAbortHandler)
	}
	defer e.release(slots, ended)
	rn := e.prefill(r, req, prompt, ended)
	rn.serve(w, r)
}

// acquire waits for a free execution slot. It returns false if the caller
// disconnects or the engine crashes first.
func (e *Engine) acquire(r *http.Request, slots, ended chan struct{}) bool {
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	case <-ended:
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended == ended {
		e.waiting--
		e.running++
	}
	return true
}

func (e *Engine) release(slots, ended chan struct{}) {
	<-slots
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended == ended {
		e.running--
	}
}

// prefill looks up and stores the prompt in the prefix cache, publishes the
// cache events and waits for the time that computing the missed tokens takes.
func (e *Engine) prefill(r *http.Request, req openai.Request, prompt string, ended chan struct{}) *run {
	tokens := len(prompt)/prefix.BytesPerToken + 1
	chain := chainHashes(req.CacheSalt, prompt, e.opts.BlockTokens)
	e.mu.Lock()
	hit := e.cache.lookup(chain)
	evicted := e.cache.store(chain)
	log := e.events
	rn := &run{e: e, req: req, prompt: prompt, ended: ended, chat: r.URL.Path == openai.PathChatCompletions}
	rn.id = r.Header.Get(openai.HeaderRequestID)
	if wrong, ok := takeOnce(&e.control.WrongID); ok && wrong {
		rn.id = "other-request"
	}
	if n, ok := takeOnce(&e.control.TruncateAfterTokens); ok {
		rn.truncateAfter = n
	}
	e.mu.Unlock()
	log.publish(openai.CacheEvent{Type: string(prefix.Removed), Hashes: evicted})
	log.publish(openai.CacheEvent{Type: string(prefix.Stored), Salt: req.CacheSalt, Hashes: chain})
	cached := hit * e.opts.BlockTokens
	rn.usage = openai.Usage{PromptTokens: tokens, PromptTokensDetails: &openai.PromptTokensDetails{CachedTokens: cached}}
	rn.pause(r, time.Duration(tokens-cached)*e.opts.PrefillPerToken)
	return rn
}

// pause waits for d, and longer while the engine is stalled. It breaks the
// connection if the caller disconnects or the engine crashes meanwhile.
func (rn *run) pause(r *http.Request, d time.Duration) {
	for {
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-r.Context().Done():
			t.Stop()
			rn.e.mu.Lock()
			rn.e.stats.Canceled++
			rn.e.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-rn.ended:
			t.Stop()
			panic(http.ErrAbortHandler)
		}
		rn.e.mu.Lock()
		stalled := rn.e.control.Stall != nil && *rn.e.control.Stall
		rn.e.mu.Unlock()
		if !stalled {
			return
		}
		d = 10 * time.Millisecond
	}
}

func (rn *run) serve(w http.ResponseWriter, r *http.Request) {
	rn.e.mu.Lock()
	w.Header().Set(openai.HeaderIncarnation, rn.e.incarnation)
	w.Header().Set(openai.HeaderWeightsVersion, rn.e.weights[rn.req.Model])
	rn.e.mu.Unlock()
	w.Header().Set(openai.HeaderRequestID, rn.id)
	n := rn.req.OutputLimit(defaultOutputTokens)
	rn.usage.CompletionTokens = n
	rn.usage.TotalTokens = rn.usage.PromptTokens + n
	if rn.req.Stream {
		rn.stream(w, r, n)
		return
	}
	var text strings.Builder
	for i := 0; i < n; i++ {
		text.WriteString(Token(rn.prompt, i))
	}
	rn.pause(r, time.Duration(n)*rn.e.opts.DecodePerToken)
	stop := "stop"
	choice := openai.Choice{FinishReason: &stop}
	if rn.chat {
		choice.Message = &openai.Delta{Role: "assistant", Content: text.String()}
	} else {
		choice.Text = text.String()
	}
	c := rn.newCompletion("chat.completion", choice)
	c.Usage = &rn.usage
	writeJSON(w, c)
}

func (rn *run) newCompletion(object string, choices ...openai.Choice) openai.Completion {
	return openai.Completion{ID: rn.id, Object: object, Created: time.Now().Unix(), Model: rn.req.Model, Choices: choices}
}

func (rn *run) stream(w http.ResponseWriter, r *http.Request, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := rn.req.ResumeFrom; i < n; i++ {
		if rn.truncateAfter > 0 && i >= rn.truncateAfter {
			return
		}
		rn.crashAt(i)
		choice := openai.Choice{}
		if rn.chat {
			choice.Delta = &openai.Delta{Content: Token(rn.prompt, i)}
		} else {
			choice.Text = Token(rn.prompt, i)
		}
		c := rn.newCompletion("chat.completion.chunk", choice)
		c.TokenIndex = &i
		rn.send(w, c)
		rn.pause(r, rn.e.opts.DecodePerToken)
	}
	stop := "stop"
	rn.send(w, rn.newCompletion("chat.completion.chunk", openai.Choice{Delta: &openai.Delta{}, FinishReason: &stop}))
	if rn.req.StreamOptions != nil && rn.req.StreamOptions.IncludeUsage {
		c := rn.newCompletion("chat.completion.chunk")
		c.Usage = &rn.usage
		rn.send(w, c)
	}
	fmt.Fprintf(w, "data: %s\n\n", openai.Done)
}

// crashAt crashes the engine if Control.CrashAfterTokens is set and i has
// reached it.
func (rn *run) crashAt(i int) {
	rn.e.mu.Lock()
	at := rn.e.control.CrashAfterTokens
	crash := at != nil && *at > 0 && i >= *at
	if crash {
		rn.e.control.CrashAfterTokens = nil
	}
	rn.e.mu.Unlock()
	if crash {
		rn.e.Crash()
		panic(http.ErrAbortHandler)
	}
}

func (rn *run) send(w http.ResponseWriter, c openai.Completion) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	flush(w)
}
