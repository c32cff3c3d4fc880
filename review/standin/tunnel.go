package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// playTunnel partitions one router from all workers. Its streams then pass through the other
// routers. One of those is killed while streams without a length pass through it.
func playTunnel(trouble bool) bool {
	// PART plays one of the two disruptions alone, or a planned stop in place of the kill.
	part, events := os.Getenv("PART"), 40
	if part == "stop" {
		events = 160 // Streams of 8 s, so that some last until the stopped router ends.
	}
	d := newDeployment(options{cuts: true, engines: 1, prepare: func(w *worker) { w.unframed, w.events = true, events }})
	cutOff, relay := d.routers[0], d.routers[1]
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	// Clients look their addresses up once a second and use a response for up to three times its
	// TTL; these begin streams at the router that is cut off for as long as that.
	stop := time.Now().Add(7 * time.Second)
	for i := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Now().Before(stop); n++ {
				clients.Add(1)
				go func() {
					defer clients.Done()
					a := plan(fmt.Sprintf("5c1e07a%d:800,%x%04x:200", i, i, n), 1000).send(cutOff.front)
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				}()
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if trouble && part != "kill" {
		record("partition: %s reaches no worker", cutOff.name)
		cutOff.paths.hold(true)
	}
	time.Sleep(3500 * time.Millisecond)
	if trouble && part == "stop" {
		record("SIGTERM: %s", relay.name)
		relay.signal(syscall.SIGTERM)
	} else if trouble && part != "partition" {
		record("SIGKILL: %s", relay.name)
		relay.kill()
		time.Sleep(500 * time.Millisecond)
		relay.start()
	}
	clients.Wait()
	return judgeWhole(answers, events)
}

// judgeWhole checks MIXED and ORDER: an answer that ends early must not look complete.
func judgeWhole(answers []answer, events int) bool {
	served, short, failed := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status != 200 || !a.complete:
			failed++
		case a.events == events && a.last == events-1:
			served++
		default:
			short++
			if short <= 5 {
				say("id=%s ended as complete after %d of %d events; what its workers did: %s", a.id, a.events, events, runsOf(a.id))
			}
		}
	}
	say("streams: %d whole, %d refused or visibly broken, %d that look complete and are not", served, failed, short)
	if served == 0 {
		fatal("no stream was served")
	}
	return short > 0
}

// runsOf describes the runs of a client's attempts.
func runsOf(ids ...string) string {
	runsMu.Lock()
	defer runsMu.Unlock()
	out := ""
	for _, r := range runs {
		if slices.Contains(ids, r.id) {
			out += fmt.Sprintf("[%s from event %d, wrote up to %d, whole %v]", r.worker, r.lastEvent+1, r.sent, r.ended)
		}
	}
	return out
}
