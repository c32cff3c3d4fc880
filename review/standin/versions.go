package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playVersions restarts one worker under its id with newer software while the store is down, and
// crashes it once more while it answers streams.
func playVersions(trouble bool) bool {
	d := newDeployment(options{engines: 2, prepare: func(w *worker) {
		w.nameNew = false
		w.events, w.pause = 60, 50*time.Millisecond
	}})
	upgraded := d.engines[0]
	time.Sleep(5 * time.Second) // No requests for a while: routers have no connections to workers.
	if trouble {
		upgraded.crash(false)
		time.Sleep(300 * time.Millisecond)
		record("the store is down")
		d.store.setRefuse(true)
		time.Sleep(700 * time.Millisecond)
		upgraded.mu.Lock()
		upgraded.software = "v2"
		upgraded.mu.Unlock()
		upgraded.startUnannounced()
	} else {
		time.Sleep(time.Second)
	}
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for n := range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			parts := fmt.Sprintf("%08x:40,%08x:60", 0xab00+n, 0xcd00+n)
			a := plan(parts, 100).send(d.routers[0].front)
			if a.status == 200 && !a.complete && a.events > 0 {
				// A client retries once and takes the stream up where it broke off.
				again := plan(parts, 100)
				again.header["Last-Event-Id"], again.header["Resumes"] = fmt.Sprint(a.last), a.id
				b := again.send(d.routers[1+n%2].front)
				record("client id=%s takes up id=%s after event %d", b.id, a.id, a.last)
				a.body, a.complete = wholeEvents(a.body)+b.body, b.complete
				a.tries = []string{b.id}
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(900 * time.Millisecond)
	if trouble {
		upgraded.crash(false)
		time.Sleep(time.Second)
		upgraded.startUnannounced()
		time.Sleep(1500 * time.Millisecond)
		record("the store is back")
		d.store.setRefuse(false)
		time.Sleep(500 * time.Millisecond)
		upgraded.announce()
	}
	clients.Wait()

	mixed, whole := 0, 0
	for _, a := range answers {
		v1, v2 := strings.Contains(a.body, "data: v1 "), strings.Contains(a.body, "data: v2 ")
		switch {
		case v1 && v2:
			if mixed++; mixed <= 5 {
				say("id=%s holds events of both versions; its runs: %s", a.id, runsOf(append(a.tries, a.id)...))
			}
		case a.status == 200 && a.complete:
			whole++
		}
	}
	say("streams: %d, of these %d whole and of one version, %d with events of both; the rule allows 2", len(answers), whole, mixed)
	if whole+mixed == 0 {
		fatal("no stream was served")
	}
	return mixed > 2
}

// wholeEvents returns a stream's body without an event that was cut off.
func wholeEvents(body string) string { return body[:strings.LastIndex(body, "\n\n")+2] }
