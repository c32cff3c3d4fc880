package canary

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// urgentFailures is the number of bad answers since the last report at which a VM reports at
	// once. With more, a VM that gets few requests would wait for its next digest while all VMs
	// together have enough answers for a verdict.
	urgentFailures = 1
	// maxRoutes bounds the routes counted apart for each service, as reports travel in digests.
	maxRoutes = 16
)

// otherRoutes is the name under which routes beyond maxRoutes are counted.
const otherRoutes = "*"

// tallied is what one VM has counted for one order.
type tallied struct {
	report Report
	routes map[string]*RouteCounts
	// running is the number of requests that run at old servers, also from before the order.
	running    int
	tracked    bool
	unreported int
}

// Tally counts the answers that one VM gets. It is safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	services map[string]*tallied
}

// NewTally returns a tally without counts.
func NewTally() *Tally { return &Tally{services: map[string]*tallied{}} }

func (t *Tally) of(service string) *tallied {
	s := t.services[service]
	if s == nil {
		s = &tallied{routes: map[string]*RouteCounts{}}
		t.services[service] = s
	}
	return s
}

// Track starts the counts of an announced order, or continues them. It is called for each
// announcement that the VM's gate has applied.
func (t *Tally) Track(a Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(a.Service)
	if !s.tracked || s.report.Order.Before(a.Order) {
		s.report = Report{Service: a.Service, Order: a.Order}
		s.routes, s.unreported, s.tracked = map[string]*RouteCounts{}, 0, true
	}
	if s.report.Order == a.Order {
		s.report.Stage = a.Stage
	}
}

// latencyBucket returns the bucket of a histogram that holds a latency.
func latencyBucket(latency time.Duration) int {
	ms := float64(latency) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return min(int(2*math.Log2(ms))+1, LatencyBuckets-1)
}

// Record counts one answer. Requests that end without a verdict on the server, such as those whose
// client has left, are not recorded.
func (t *Tally) Record(service, route string, isNew, failed bool, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil || !s.tracked {
		return
	}
	r := s.routes[route]
	if r == nil && len(s.routes) >= maxRoutes {
		route = otherRoutes
		r = s.routes[route]
	}
	if r == nil {
		r = &RouteCounts{Route: route}
		s.routes[route] = r
	}
	c := &r.Old
	if isNew {
		c = &r.New
	}
	c.Requests++
	if failed {
		c.Failures++
		if isNew {
			s.unreported++
		}
		return
	}
	c.Latency[latencyBucket(latency)]++
}

// Begin counts a request that is sent to a server. The caller calls end once, when it has ended.
func (t *Tally) Begin(service string, isNew bool) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(service)
	s.report.Sent++
	if isNew {
		s.report.SentNew++
		return func() {}
	}
	s.running++
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.running--
	})
}

// Reports returns the counts for other VMs. Urgent is false until further bad answers.
func (t *Tally) Reports(time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, s := range t.services {
		if !s.tracked {
			continue
		}
		s.unreported = 0
		r := s.report
		r.OldRunning = s.running
		for _, c := range s.routes {
			r.Routes = append(r.Routes, *c)
		}
		slices.SortFunc(r.Routes, func(a, b RouteCounts) int { return strings.Compare(a.Route, b.Route) })
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Report) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// Urgent reports whether the bad answers of a new version since the last report call for one now.
func (t *Tally) Urgent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.unreported >= urgentFailures {
			return true
		}
	}
	return false
}
