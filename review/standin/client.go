package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	id      string
	at, end time.Time
	status  int
	sealed  bool
	body    string
	// events is the number of whole events, last the id of the last one.
	events, last int
	// complete is set if the answer ended as complete in the protocol.
	complete bool
	err      error
	// tries are the ids of the client's further attempts.
	tries []string
}

var attempts atomic.Int64

// request is a client's request.
type request struct {
	method, path, key string
	deadline          time.Duration
	header            map[string]string
	body              io.Reader
	length            int64
	// transport keeps connections; nil opens one for this request.
	transport *http.Transport
}

func newID() string { return fmt.Sprintf("9c41%012x", attempts.Add(1)) }

// send sends one attempt to a router's front address.
func (q request) send(front string) answer {
	a := answer{id: newID(), at: time.Now(), last: -1}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+front+q.path, q.body)
	if err != nil {
		fatal("request: %v", err)
	}
	if q.length > 0 {
		r.ContentLength = q.length
	}
	r.Host = "calls.example"
	r.Header.Set("Papayaspan-Request-Id", a.id)
	r.Header.Set("Papayaspan-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Papayaspan-Credential", q.key)
	r.Header.Set("Accept-Encoding", "identity")
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	transport := q.transport
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true}
		defer transport.CloseIdleConnections()
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		a.err, a.end = err, time.Now()
		record("client id=%s %s: no answer: %v", a.id, q.path, err)
		return a
	}
	defer resp.Body.Close()
	a.status, a.sealed = resp.StatusCode, resp.Header.Get("Papayaspan-Response-Seal") != ""
	var body bytes.Buffer
	_, err = io.Copy(&body, resp.Body)
	a.body, a.end, a.err, a.complete = body.String(), time.Now(), err, err == nil
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		for _, e := range strings.Split(a.body, "\n\n") {
			var n int
			if _, err := fmt.Sscanf(e, "id: %d\n", &n); err == nil {
				a.events, a.last = a.events+1, n
			}
		}
	}
	record("client id=%s %s: status %d, sealed %v, %d bytes, %d events, last %d, complete %v, error %v, took %d ms",
		a.id, q.path, a.status, a.sealed, body.Len(), a.events, a.last, a.complete, err, a.end.Sub(a.at).Milliseconds())
	return a
}
