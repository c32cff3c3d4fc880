package hedge

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world is a service of ten servers in virtual time. Requests go to a random server with a free slot; a request without a
// response is hedged as the package decides.
type world struct {
	random    *rand.Rand
	now       time.Time
	events    events
	servers   []*server
	latencies Latencies
	budget    *Budget
	load      LoadSigns
	// slotsKnown is set if the servers state their slots.
	slotsKnown bool
	requests   int
	hedgedAt   []time.Time
	took       []time.Duration
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type server struct {
	domain   string
	slots    int
	running  []*job
	waiting  []*job
	expected time.Duration
	// serviceTime returns how long the server takes for a request.
	serviceTime func(now time.Time, normal time.Duration) time.Duration
}

// job is an attempt at a server.
type job struct {
	server *server
	sentAt time.Time
	ended  bool
	answer func()
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.events, event{w.now.Add(d), do}) }

func (w *world) send(s *server, answer func()) *job {
	j := &job{server: s, sentAt: w.now, answer: answer}
	if len(s.running) < s.slots {
		w.start(j)
	} else {
		s.waiting = append(s.waiting, j)
		w.load.Record(w.now)
	}
	return j
}

func (w *world) start(j *job) {
	s := j.server
	s.running = append(s.running, j)
	normal := 15*ms + time.Duration(w.random.ExpFloat64()*float64(5*ms))
	w.after(s.serviceTime(w.now, normal), func() {
		if !j.ended {
			w.end(j)
			j.answer()
		}
	})
}

// end ends a job, which has answered or is canceled. The time that it took enters the expected latency as
// in the selector.
func (w *world) end(j *job) {
	s := j.server
	j.ended = true
	s.expected += (w.now.Sub(j.sentAt) - s.expected) / 5
	is := func(other *job) bool { return other == j }
	s.waiting = slices.DeleteFunc(s.waiting, is)
	s.running = slices.DeleteFunc(s.running, is)
	if len(s.waiting) > 0 && len(s.running) < s.slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		w.start(next)
	}
}

// choose returns a random server, one with a free slot if there is one.
func (w *world) choose() *server {
	free := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return len(s.running) >= s.slots })
	if len(free) == 0 {
		free = w.servers
	}
	return free[w.random.IntN(len(free))]
}

func (w *world) request() {
	w.requests++
	w.budget.Earn()
	arrived, target := w.now, w.choose()
	var one, two *job
	one = w.send(target, func() {
		w.latencies.Record(w.now.Sub(arrived), w.now)
		w.took = append(w.took, w.now.Sub(arrived))
		if two != nil {
			w.end(two)
		}
	})
	delay, ok := w.latencies.Delay(w.now)
	if !ok {
		return
	}
	var check func()
	check = func() {
		if one.ended {
			return
		}
		waited := w.now.Sub(arrived)
		i, reason := Choose(Request{Waited: waited, Left: 3*time.Second - waited, Domain: target.domain, RecentlyLoaded: w.load.Recent(w.now)}, w.others(target), w.random.Float64())
		if reason == "" && !w.budget.Spend() {
			reason = BudgetSpent
		}
		if reason != "" {
			if again := reason.CheckAgainIn(waited); again > 0 {
				w.after(again, check)
			}
			return
		}
		w.hedgedAt = append(w.hedgedAt, w.now)
		two = w.send(w.candidates(target)[i], func() {
			w.latencies.Record(w.now.Sub(two.sentAt), w.now)
			w.latencies.Record(w.now.Sub(arrived), w.now)
			w.took = append(w.took, w.now.Sub(arrived))
			w.end(one)
		})
	}
	w.after(delay, check)
}

func (w *world) candidates(tried *server) []*server {
	return slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s == tried })
}

func (w *world) others(tried *server) []Server {
	var out []Server
	for _, s := range w.candidates(tried) {
		o := Server{Domain: s.domain, Running: len(s.running) + len(s.waiting), Expected: s.expected}
		if w.slotsKnown {
			o.Slots = s.slots
		}
		if len(s.running) > 0 {
			o.Silent = w.now.Sub(s.running[0].sentAt)
		}
		out = append(out, o)
	}
	return out
}

const (
	simulated   = 2 * time.Minute
	usualGap    = 8 * ms // Between requests.
	burstFrom   = 30 * time.Second
	burstLength = 4 * time.Second
)

var began = time.Unix(1000, 0)

// simulate runs a period in which the first server is special, with requests gap(time since the begin) apart.
func simulate(share float64, slotsKnown bool, serviceTime func(time.Time, time.Duration) time.Duration, gap func(time.Duration) time.Duration) *world {
	w := &world{slotsKnown: slotsKnown, random: rand.New(rand.NewPCG(1, 2)), now: began, budget: NewBudget(share)}
	normal := func(_ time.Time, d time.Duration) time.Duration { return d }
	for i := range 10 {
		w.servers = append(w.servers, &server{domain: string(rune('a' + i%3)), slots: 8, expected: 30 * ms, serviceTime: normal})
	}
	w.servers[0].serviceTime = serviceTime
	var arrive func()
	arrive = func() {
		if since := w.now.Sub(began); since < simulated {
			w.request()
			w.after(time.Duration(w.random.ExpFloat64()*float64(gap(since))), arrive)
		}
	}
	arrive()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	slices.Sort(w.took)
	return w
}

// excess returns how long all callers together waited beyond a latency.
func (w *world) excess(latency time.Duration) (sum time.Duration) {
	for _, took := range w.took {
		sum += max(0, took-latency)
	}
	return sum
}

func (w *world) quantile(q float64) time.Duration { return w.took[int(q*float64(len(w.took)-1))] }

// Hedging at least halves the time that callers wait because of one slow server, leaves the median as it is, and
// stays within its share.
func TestSingleSlowServer(t *testing.T) {
	const (
		share = 0.1
		late  = 150 * ms // The objective of reads.
	)
	random := rand.New(rand.NewPCG(3, 4))
	usual := func(time.Duration) time.Duration { return usualGap }
	for name, serviceTime := range map[string]func(time.Time, time.Duration) time.Duration{
		"one of ten is slow": func(_ time.Time, d time.Duration) time.Duration { return 15 * d },
		"one stalls": func(now time.Time, d time.Duration) time.Duration {
			if since := now.Sub(began) % (20 * time.Second); since < 2*time.Second {
				return 2*time.Second - since + d
			}
			return d
		},
		"one is gray": func(_ time.Time, d time.Duration) time.Duration {
			if random.Float64() < 0.3 {
				return 20 * d
			}
			return d
		},
	} {
		t.Run(name, func(t *testing.T) {
			off, on := simulate(0, true, serviceTime, usual), simulate(share, true, serviceTime, usual)
			for _, w := range []*world{off, on} {
				t.Logf("p50 %v, p99 %v, p99.9 %v, %v waited beyond %v each by %d requests, %d hedges", w.quantile(0.5), w.quantile(0.99), w.quantile(0.999), w.excess(late), late, w.requests, len(w.hedgedAt))
			}
			if len(off.took) != off.requests || len(on.took) != on.requests {
				t.Errorf("%d and %d responses to %d and %d requests", len(off.took), len(on.took), off.requests, on.requests)
			}
			if len(off.hedgedAt) > 0 || float64(len(on.hedgedAt)) > share*float64(on.requests) {
				t.Errorf("%d hedges of %d requests with a share of %v, %d with none", len(on.hedgedAt), on.requests, share, len(off.hedgedAt))
			}
			// Without hedging, a stalled server's slots fill and it gets no further requests, so that the
			// number of late responses says little.
			if 2*on.excess(late) > off.excess(late) || on.quantile(0.99) > max(late, off.quantile(0.99)) || on.quantile(0.999) > off.quantile(0.999) || on.quantile(0.5) > off.quantile(0.5)*6/5 {
				t.Error("hedging doesn't cut the time beyond 150 ms by half, or makes others slower")
			}
		})
	}
}

// While a burst keeps all servers busy, no request is hedged: a second copy would add to the load. A hedge
// sent in the short time before the slots fill is no fault. The slots are not known, so that only waits show
// the load.
func TestNoHedgesInBurst(t *testing.T) {
	const untilLoaded = 100 * ms
	w := simulate(0.1, false, func(_ time.Time, d time.Duration) time.Duration { return d }, func(since time.Duration) time.Duration {
		if since >= burstFrom && since < burstFrom+burstLength {
			return usualGap / 60 // 1.9 times the capacity.
		}
		return usualGap
	})
	during := 0
	for _, at := range w.hedgedAt {
		if since := at.Sub(began); since > burstFrom+untilLoaded && since < burstFrom+burstLength {
			during++
		}
	}
	t.Logf("p99 %v, %d hedges of %d requests, %d of them in the burst", w.quantile(0.99), len(w.hedgedAt), w.requests, during)
	if during > 0 || len(w.hedgedAt) == 0 {
		t.Errorf("%d hedges in the burst, %d in all; want none and some", during, len(w.hedgedAt))
	}
}
