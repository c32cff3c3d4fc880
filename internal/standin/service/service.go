// Package service is a test double of a plain HTTP service that runs beside the
// engines. It has an idempotent status call and a booking call that must not be
// repeated. Only tests and the demo commands use it.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Stats holds the counters of a service since its start.
type Stats struct {
	// Bookings is the number of times each booking was run, by request body.
	Bookings   map[string]int `json:"bookings"`
	Lookups    int            `json:"lookups"`
	LeakedKeys []string       `json:"leaked_keys"`
}

// Control changes the behaviour of a service.
type Control struct {
	// LoseAnswers is the number of following bookings that run but whose
	// connection breaks before the response.
	LoseAnswers int `json:"lose_answers"`
}

// Service is a simulated plain HTTP service.
type Service struct {
	mu      sync.Mutex
	stats   Stats
	control Control
}

// New returns a service.
func New() *Service {
	return &Service{stats: Stats{Bookings: map[string]int{}}}
}

// Handler serves POST .../book, GET .../status, and the control interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{path...}", s.book)
	mux.HandleFunc("GET /{path...}", s.status)
	mux.HandleFunc("POST /control", s.setControl)
	mux.HandleFunc("GET /control", s.getStats)
	return mux
}

// recordLeakedKeys records credentials of the caller that the router should have
// removed from the request.
func (s *Service) recordLeakedKeys(r *http.Request) {
	for _, h := range []string{"Authorization", "Cookie"} {
		if v := r.Header.Get(h); v != "" {
			s.stats.LeakedKeys = append(s.stats.LeakedKeys, v)
		}
	}
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.recordLeakedKeys(r)
	s.stats.Bookings[string(body)]++
	n := s.stats.Bookings[string(body)]
	lose := s.control.LoseAnswers > 0
	if lose {
		s.control.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, `{"booked":true,"run":%d}`+"\n", n)
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.recordLeakedKeys(r)
	s.stats.Lookups++
	s.mu.Unlock()
	fmt.Fprintln(w, `{"status":"rewound"}`)
}

func (s *Service) setControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "malformed control", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = c
}

func (s *Service) getStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.stats)
}

// Stats returns a copy of the service's counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Bookings = map[string]int{}
	for k, v := range s.stats.Bookings {
		out.Bookings[k] = v
	}
	return out
}
