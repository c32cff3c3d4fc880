// Package platformserver serves the in-memory platform over HTTP for tests and
// for the demo commands. POST /control/faults replaces the injected faults.
package platformserver

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/platform/rest"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
)

// URL paths at which tests inject faults and edit the membership list.
const (
	PathFaults = "/control/faults"
	PathMember = "/control/members/"
)

// New returns the handler that serves p.
func New(p *memplatform.Platform) http.Handler {
	s := &server{p: p}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+rest.PathGet, s.get)
	mux.HandleFunc("POST "+rest.PathScan, s.scan)
	mux.HandleFunc("POST "+rest.PathCommit, s.commit)
	mux.HandleFunc("PUT "+rest.PathObjects+"{name}", s.putObject)
	mux.HandleFunc("GET "+rest.PathObjects+"{name}", s.getObject)
	mux.HandleFunc("GET "+rest.PathMembers, s.members)
	mux.HandleFunc("GET "+rest.PathWeights+"{model}", s.weights)
	mux.HandleFunc("POST "+PathFaults, s.setFaults)
	mux.HandleFunc("PUT "+PathMember+"{id}", s.putMember)
	mux.HandleFunc("DELETE "+PathMember+"{id}", s.deleteMember)
	return mux
}

type server struct{ p *memplatform.Platform }

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	var req rest.GetRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	rows, err := s.p.Get(r.Context(), req.Keys...)
	writeReply(w, rest.RowsReply{Rows: rows}, err)
}

func (s *server) scan(w http.ResponseWriter, r *http.Request) {
	var req rest.ScanRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	rows, err := s.p.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	writeReply(w, rest.RowsReply{Rows: rows}, err)
}

func (s *server) commit(w http.ResponseWriter, r *http.Request) {
	var req rest.CommitRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	writeReply(w, struct{}{}, s.p.Commit(r.Context(), req.Checks, req.Writes))
}

func (s *server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	writeReply(w, struct{}{}, s.p.Objects().Put(r.Context(), r.PathValue("name"), data))
}

func (s *server) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.p.Objects().Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (s *server) members(w http.ResponseWriter, r *http.Request) {
	members, err := s.p.Members(r.Context())
	writeReply(w, rest.MembersReply{Members: members}, err)
}

func (s *server) weights(w http.ResponseWriter, r *http.Request) {
	versions, err := s.p.Versions(r.Context(), r.PathValue("model"))
	writeReply(w, rest.WeightsReply{Versions: versions}, err)
}

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f memplatform.Faults
	if !decodeRequest(w, r, &f) {
		return
	}
	s.p.SetFaults(f)
	writeReply(w, struct{}{}, nil)
}

func (s *server) putMember(w http.ResponseWriter, r *http.Request) {
	var m platform.Member
	if !decodeRequest(w, r, &m) {
		return
	}
	m.ID = r.PathValue("id")
	s.p.SetMember(m)
	writeReply(w, struct{}{}, nil)
}

func (s *server) deleteMember(w http.ResponseWriter, r *http.Request) {
	s.p.RemoveMember(r.PathValue("id"))
	writeReply(w, struct{}{}, nil)
}

func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return false
	}
	return true
}

func writeReply(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, "conflict", http.StatusConflict)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, "not found", http.StatusNotFound)
	case errors.Is(err, platform.ErrUnavailable):
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	default:
		// Breaks the connection so that the client can't know the outcome.
		panic(http.ErrAbortHandler)
	}
}
