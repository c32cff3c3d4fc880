package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	familyPart   = "91bd3f06" // The first part of the prompts of one family of requests.
	soundPart    = "5c1e07a2" // The second part of its sound requests.
	crashingPart = "e4402b7d" // The second part of those that crash workers.
	stableWindow = 3 * time.Second
)

// playLockout sends a family of requests that share the first part of their prompt, some of which
// have a second part that crashes workers. Before, the family was served, and then was idle while
// others were served.
func playLockout(trouble bool) bool {
	d := newDeployment(options{engines: 1, prepare: func(w *worker) {
		if w.engine {
			w.crashingPart, w.outage = crashingPart, 2*time.Second
		}
	}})
	var mu sync.Mutex
	var clients sync.WaitGroup
	sent := 0
	send := func(parts string, tokens int, keep *[]answer) {
		front := d.routers[sent%len(d.routers)].front
		sent++
		clients.Add(1)
		go func() {
			defer clients.Done()
			a := plan(parts, tokens).send(front)
			mu.Lock()
			defer mu.Unlock()
			if keep != nil {
				*keep = append(*keep, a)
			}
		}()
	}
	sound := func(n int) string { return fmt.Sprintf("%s:600,%s:200,aa%06x:100", familyPart, soundPart, n) }
	sick := func(n int) string { return fmt.Sprintf("%s:600,%s:200,bb%06x:100", familyPart, crashingPart, n) }

	var before, others, sickAnswers, after []answer
	record("the family is served")
	for n := range 24 {
		send(sound(n), 900, &before)
		time.Sleep(500 * time.Millisecond)
	}
	clients.Wait()
	record("the family is idle, and requests with other prompts of many parts are served")
	for n := range 16 * 9 {
		parts := make([]string, 0, 97)
		for p := range 96 {
			parts = append(parts, fmt.Sprintf("c%03x%03x:8", n, p))
		}
		send(strings.Join(append(parts, fmt.Sprintf("dd%06x:40", n)), ","), 808, &others)
		time.Sleep(60 * time.Millisecond)
	}
	clients.Wait()
	record("the family comes again")
	end := time.Now().Add(36 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		if trouble {
			send(sick(n), 900, &sickAnswers)
		}
		time.Sleep(400 * time.Millisecond)
		send(sound(1000+n), 900, &after)
		time.Sleep(600 * time.Millisecond)
	}
	clients.Wait()

	crashes, last := 0, time.Time{}
	for _, w := range d.engines {
		w.mu.Lock()
		crashes += w.crashes
		if w.crashedAt.After(last) {
			last = w.crashedAt
		}
		w.mu.Unlock()
	}
	from := last.Add(2 * stableWindow)
	calm, _ := begun(before, time.Time{})
	later, refusals := begun(after, from)
	say("other requests: %d of %d begun; crashes: %d; requests with the crashing part: %d", countBegun(others), len(others), crashes, len(sickAnswers))
	say("sound requests of the family: %d of %d begun before; %d of %d from 6 s after the last crash on; refusals: %v", calm.n, calm.of, later.n, later.of, refusals)
	if calm.of < 20 || later.of < 20 || calm.n == 0 {
		fatal("too few sound requests")
	}
	return later.n*calm.of*2 < calm.n*later.of
}

type portion struct{ n, of int }

// begun counts the answers to requests sent after a time that a worker began, and the reasons of
// the others.
func begun(list []answer, from time.Time) (p portion, refusals map[string]int) {
	refusals = map[string]int{}
	for _, a := range list {
		if a.at.Before(from) {
			continue
		}
		p.of++
		if a.status == 200 && a.events > 0 {
			p.n++
			continue
		}
		reason, _, _ := strings.Cut(a.body, ":")
		refusals[fmt.Sprintf("%d %s", a.status, reason)]++
	}
	return p, refusals
}

func countBegun(list []answer) int {
	p, _ := begun(list, time.Time{})
	return p.n
}
