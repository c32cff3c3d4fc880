package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bodyLimitBytes = 4194304
	uploadTime     = 3 * time.Second
)

// slowBody is a request body that a client sends evenly over uploadTime.
type slowBody struct {
	left, total int
	began       time.Time
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left, 32<<10)
	due := b.began.Add(uploadTime * time.Duration(b.total-b.left) / time.Duration(b.total))
	time.Sleep(time.Until(due))
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// playMemory sends requests whose bodies have the size that the operator allows, at no more than the
// sheet's rate of requests.
func playMemory(trouble bool) bool {
	d := newDeployment(options{engines: 2})
	var stopped atomic.Bool
	var kills [3]atomic.Int64
	var peaks [3]atomic.Int64
	var watchers sync.WaitGroup
	for i, r := range d.routers {
		watchers.Add(1)
		go func() { // The platform kills a process that exceeds its memory and starts it again.
			defer watchers.Done()
			for !stopped.Load() {
				time.Sleep(20 * time.Millisecond)
				rss := residentMB(r.pid())
				peaks[i].Store(max(peaks[i].Load(), rss))
				if rss <= memoryLimitMB {
					continue
				}
				kills[i].Add(1)
				record("%s uses %d MB of %d MB and is killed", r.name, rss, memoryLimitMB)
				r.signal(syscall.SIGKILL)
				<-r.done
				time.Sleep(500 * time.Millisecond)
				r.start()
			}
		}()
	}
	size := 600
	if trouble {
		size = bodyLimitBytes
	}
	var sent, served, cut, refused atomic.Int64
	for wave := range 4 {
		record("wave %d", wave+1)
		var clients sync.WaitGroup
		for _, r := range d.routers {
			for range 80 { // Over 3 s and more; the sheet has 28 requests a second and machine.
				clients.Add(1)
				go func() {
					defer clients.Done()
					q := plan(fmt.Sprintf("ab12:92,%08x:291", sent.Add(1)), 383)
					q.deadline = 6 * time.Second
					q.body, q.length = &slowBody{left: size, total: size, began: time.Now()}, int64(size)
					a := q.send(r.front)
					switch {
					case a.status == 200 && a.complete:
						served.Add(1)
					case a.status == 0 || !a.complete:
						cut.Add(1)
					default:
						refused.Add(1)
					}
				}()
			}
		}
		clients.Wait()
		d.awaitReady(d.routers...)
		time.Sleep(3 * time.Second)
	}
	stopped.Store(true)
	watchers.Wait()
	machines := 0
	for i, r := range d.routers {
		say("%s: %d kills, at most %d MB seen", r.name, kills[i].Load(), peaks[i].Load())
		if kills[i].Load() >= 3 {
			machines++
		}
	}
	say("requests: %d served, %d without an answer, %d refused", served.Load(), cut.Load(), refused.Load())
	return machines >= 2
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	var kb int64
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &kb)
		}
	}
	return kb >> 10
}
