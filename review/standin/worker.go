package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	id, resumes, worker, software string
	lastEvent                     int
	at                            time.Time
	// sent is the last event that the worker wrote, ended is set if it wrote the whole answer.
	sent  int
	ended bool
}

// worker is a stand-in for a backend server.
type worker struct {
	store           *store
	service, zone   string
	events          int
	pause           time.Duration
	unframed        bool
	crashingPart    string
	outage          time.Duration
	engine, nameNew bool

	// number tells the workers of a zone apart.
	number int

	mu       sync.Mutex
	id       string
	born     int64
	software string
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	crashes  int
	// crashedAt is when the worker last crashed.
	crashedAt time.Time
	boots     int
	active    int
}

var (
	runsMu sync.Mutex
	runs   []*run
)

func addRun(r *run) *run {
	runsMu.Lock()
	defer runsMu.Unlock()
	runs = append(runs, r)
	return r
}

func (r *run) set(f func()) {
	runsMu.Lock()
	defer runsMu.Unlock()
	f()
}

// start starts a boot of the worker and registers it.
func (w *worker) start() {
	w.startUnannounced()
	w.announce()
}

// startUnannounced starts a boot of the worker. It can't register while the store is down.
func (w *worker) startUnannounced() {
	w.mu.Lock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fatal("worker: %v", err)
	}
	if w.id == "" || w.nameNew {
		w.boots++
		w.id = fmt.Sprintf("i-%s-%s-%d-%d", w.service, w.zone, w.number, w.boots)
	}
	w.listener, w.address, w.born, w.conns = l, l.Addr().String(), time.Now().UnixMilli(), map[net.Conn]bool{}
	record("worker %s started, software %s, address %s", w.id, w.software, w.address)
	w.mu.Unlock()
	server := &http.Server{Handler: w, ConnState: func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch s {
		case http.StateNew:
			if w.listener == l {
				w.conns[c] = true
			}
		case http.StateClosed:
			delete(w.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
}

func (w *worker) announce() { w.store.put("servers", w.id, w.row()) }

func (w *worker) row() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	row := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.software, "slots": 32, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": w.born,
	}
	if w.engine {
		row["phase"] = "both"
		row["models"] = []any{map[string]any{"name": "model-1", "version": 1, "adapters": []string{}}}
	}
	return row
}

// crash resets all connections and ends the boot. The row lapses after three heartbeats of
// silence.
func (w *worker) crash(heartbeats bool) {
	w.mu.Lock()
	l, id := w.listener, w.id
	if l == nil {
		w.mu.Unlock()
		return
	}
	w.listener = nil
	w.crashes++
	w.crashedAt = time.Now()
	_ = l.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	w.conns = map[net.Conn]bool{}
	record("worker %s crashed", id)
	w.mu.Unlock()
	if heartbeats {
		time.AfterFunc(3600*time.Millisecond, func() {
			w.mu.Lock()
			same := w.id == id && w.listener != nil
			w.mu.Unlock()
			if !same {
				w.store.remove("servers", id)
			}
		})
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id, born, software, active := w.id, w.born, w.software, w.active
	w.mu.Unlock()
	if target := r.Header.Get("Papayaspan-Target-Instance"); target != "" && target != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		_ = json.NewEncoder(rw).Encode(map[string]any{
			"phase": "both", "models": []any{map[string]any{"name": "model-1", "version": 1, "adapters": []string{}}},
			"busy": false, "sequence": 0, "queued": 0, "active": active, "kv_used": 0, "kv_total": 160000, "capabilities": 0,
			"state": "ready", "born": born,
		})
		return
	case "/healthz":
		rw.Header().Set("Papayaspan-Instance-Id", id)
		return
	}
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	x := &run{id: r.Header.Get("Papayaspan-Request-Id"), resumes: r.Header.Get("Resumes"), worker: id, software: software, lastEvent: -1, at: time.Now()}
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		x.lastEvent = n
	}
	addRun(x)
	record("run id=%s resumes=%s last_event=%d worker=%s software=%s", x.id, x.resumes, x.lastEvent, id, software)
	h := rw.Header()
	h.Set("Papayaspan-Request-Id", x.id)
	h.Set("Papayaspan-Response-Seal", "seal-"+id+"-"+x.id)
	if !w.engine {
		time.Sleep(15 * time.Millisecond)
		h.Set("Content-Type", "application/octet-stream")
		_, err := rw.Write([]byte(fmt.Sprintf("%d bytes read by %s", length, id)))
		x.set(func() { x.ended = err == nil })
		return
	}
	w.mu.Lock()
	w.active++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	h.Set("Papayaspan-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	w.stream(rw, r, x)
}

// stream answers with events that follow the one that the client has.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, x *run) {
	var out io.Writer = rw
	flush := rw.(http.Flusher).Flush
	if w.unframed {
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
		_ = rw.Header().Write(&head)
		head.WriteString("\r\n")
		if _, err := io.WriteString(conn, head.String()); err != nil {
			return
		}
		out, flush = conn, func() {}
	}
	time.Sleep(w.pause)
	if w.crashingPart != "" && hasPart(r.Header.Get("Papayaspan-Prefix-Hash"), w.crashingPart) {
		w.crash(true)
		time.AfterFunc(w.outage, w.start)
		return
	}
	for i := x.lastEvent + 1; i < w.events; i++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s piece %d\n\n", i, x.software, i); err != nil {
			record("run ends early id=%s worker=%s last_piece=%d: %v", x.id, x.worker, i-1, err)
			return
		}
		flush()
		if r.Context().Err() != nil && !w.unframed {
			return
		}
		x.set(func() { x.sent = i })
		time.Sleep(w.pause)
	}
	x.set(func() { x.ended = true })
}

// hasPart reports whether a prompt's shared parts include one.
func hasPart(prefix, part string) bool {
	parts := strings.Split(prefix, ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(strings.TrimSpace(p), ":"); id == part {
			return true
		}
	}
	return false
}
