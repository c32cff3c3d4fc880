package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row in the store's wire format.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsReply struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"has_more"`
	Version uint64     `json:"row_version"`
	NowMS   int64      `json:"now_ms"`
}

type storeTx struct {
	Expected []storeRow `json:"expected_revision"`
	Puts     []storeRow `json:"puts"`
	Remove   []storeRow `json:"remove"`
}

// store is a stand-in for the platform's store: tables of rows with one version counter.
type store struct {
	mu      sync.Mutex
	rows    map[string]storeRow
	history []storeRow
	version uint64
	changed chan struct{}
	started time.Time
	// refuse is set while all calls are answered with 503.
	refuse bool
}

func newStore() *store {
	return &store{rows: map[string]storeRow{}, changed: make(chan struct{}), started: time.Now()}
}

func (s *store) setRefuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = on
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: data, Version: s.version})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Version: s.version, Deleted: true})
}

func (s *store) apply(r storeRow) {
	k := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// storePath is one router's way to the store. It replaces the addresses of the servers by those
// of the proxies on this router's way to them.
type storePath struct {
	store   *store
	address func(server string) string
}

func (p *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := p.store
	s.mu.Lock()
	refuse := s.refuse
	s.mu.Unlock()
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		p.get(w, r)
	case "GET /rows-feed":
		p.feed(w, r)
	case "POST /rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (p *storePath) get(w http.ResponseWriter, r *http.Request) {
	s, q := p.store, r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	reply := rowsReply{Rows: []storeRow{}, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			reply.Rows = append(reply.Rows, x)
		}
	}
	s.mu.Unlock()
	sort.Slice(reply.Rows, func(i, j int) bool { return reply.Rows[i].Key < reply.Rows[j].Key })
	if len(reply.Rows) > limit {
		reply.Rows, reply.More = reply.Rows[:limit], true
	}
	p.write(w, reply)
}

func (p *storePath) feed(w http.ResponseWriter, r *http.Request) {
	s, q := p.store, r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		reply := rowsReply{Rows: []storeRow{}, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > after {
				reply.Rows = append(reply.Rows, x)
			}
		}
		changed, refuse := s.changed, s.refuse
		s.mu.Unlock()
		if refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(reply.Rows) > 0 {
			p.write(w, reply)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			p.write(w, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *storePath) write(w http.ResponseWriter, reply rowsReply) {
	for i := range reply.Rows {
		x := &reply.Rows[i]
		var entry map[string]any
		if x.Table != "servers" || json.Unmarshal(x.Value, &entry) != nil {
			continue
		}
		if address, ok := entry["address"].(string); ok {
			entry["address"] = p.address(address)
			if data, err := json.Marshal(entry); err == nil {
				x.Value = data
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx storeTx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]storeRow{}, tx.Puts...), tx.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	reply := rowsReply{Rows: []storeRow{}, NowMS: time.Since(s.started).Milliseconds()}
	status := http.StatusOK
	for _, c := range tx.Expected {
		x := s.rows[c.Table+"\x00"+c.Part+"\x00"+c.Key]
		if x.Version != c.Version {
			status = http.StatusPreconditionFailed
		}
		if x.Version > 0 {
			reply.Rows = append(reply.Rows, x)
		}
	}
	if status == http.StatusOK {
		s.version++
		reply.Rows = nil
		for _, x := range tx.Puts {
			x.Version = s.version
			s.apply(x)
		}
		for _, x := range tx.Remove {
			x.Version, x.Deleted = s.version, true
			s.apply(x)
		}
	}
	reply.Version = s.version
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

// serve serves a handler on a free loopback port and returns its address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}
