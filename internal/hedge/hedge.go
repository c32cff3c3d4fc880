// Package hedge decides whether a request that has waited long for its response is sent to a
// second server too. It responds to single slow servers and not to load: while a service is loaded,
// a second copy of a request would add to the load that makes responses slow. The package uses no
// network and no clock.
package hedge

import (
	"sync/atomic"
	"time"
)

// Reason tells why no hedge is sent; it is empty if one is.
type Reason string

// Reasons for which a hedge is not sent.
const (
	// NoTime means that the deadline leaves no room for a second server's response.
	NoTime Reason = "no_time"
	// Loaded means that the service refuses requests, or that its slots are in use.
	Loaded Reason = "service_loaded"
	// NoServer means that no other sound server has a free slot.
	NoServer Reason = "no_server"
	// NotSooner means that no other server is expected to answer sooner.
	NotSooner Reason = "not_sooner"
	// Suspected means that the request may have crashed a server.
	Suspected Reason = "suspected"
	// BudgetSpent means that the share of requests that may be hedged is used up.
	BudgetSpent Reason = "budget_spent"
	// RetriesFirst means that the retry budget has only as much left as retries after failures
	// may need.
	RetriesFirst Reason = "retries_first"
)

// CheckAgainIn returns after which time the conditions are checked again for a request that was not
// hedged, or 0 if they are not. The time doubles with each check. A request that is stuck needs a hedge more
// than the one in twenty that is only later than the others, and these may have used up the budget.
func (reason Reason) CheckAgainIn(waited time.Duration) time.Duration {
	if reason == NoTime || reason == Suspected {
		return 0
	}
	return max(minDelay, waited)
}

const (
	// maxSlotUse is the share of the service's slots in use from which it counts as loaded. The
	// known use lags behind the actual one, as in the selector's cost of waits for slots.
	maxSlotUse = 0.7
	// maxFailureRate is the recent share of failures up to which a server counts as sound. A
	// server without failures has 0, and one recent failure in ten requests is no exception in
	// the noise of an ordinary day.
	maxFailureRate = 0.1
	// roomFactor is the multiple of the expected latency that the deadline must leave: the error
	// of the estimate is about a half.
	roomFactor = 2
	// similarFactor is the factor between expected latencies that are equal within the error of
	// the estimate. VMs with the same knowledge must not all choose the same server.
	similarFactor = 1.5
)

// Request is what is known of a request when its delay has passed.
type Request struct {
	// Waited is the time since the request was written to the first server.
	Waited time.Duration
	// Left is the time until the deadline.
	Left time.Duration
	// Domain is the failure domain of the first server.
	Domain string
	// RecentlyLoaded is set if the service has shown a sign of load recently.
	RecentlyLoaded bool
}

// Server is a server that has not been tried for the request and takes requests now.
type Server struct {
	Domain string
	// Running is the number of requests at the server, Slots how many it runs at once; 0 if
	// that isn't known.
	Running, Slots int
	// Expected is the expected latency of a request that is sent now.
	Expected time.Duration
	// FailureRate is the recent share of failed requests, in [0, 1].
	FailureRate float64
	// Silent is how long the server has sent nothing while a response is due.
	Silent time.Duration
}

func (s *Server) sound(r *Request) bool {
	return s.FailureRate <= maxFailureRate && s.Silent < r.Waited && (s.Slots <= 0 || s.Running < s.Slots)
}

// Choose returns the index of the server to which the request is sent too, or why it isn't. draw is a
// random number in [0, 1).
func Choose(r Request, servers []Server, draw float64) (int, Reason) {
	if r.RecentlyLoaded || slotUse(servers) >= maxSlotUse {
		return -1, Loaded
	}
	reason := NoServer
	var sooner []int
	for i := range servers {
		s := &servers[i]
		switch {
		case !s.sound(&r):
		case s.Expected >= r.Waited:
			// The first request is later than nearly all others. It is taken to need as long again
			// as it has waited, as latencies with long tails have it.
			reason = NotSooner
		case r.Left < roomFactor*s.Expected:
			reason = NoTime
		default:
			sooner = append(sooner, i)
		}
	}
	if len(sooner) == 0 {
		return -1, reason
	}
	return pick(&r, servers, sooner, draw), ""
}

// pick returns one of the soonest servers of other failure domains than the first server's, whose
// trouble the domain may share; or of its own if no other has a server.
func pick(r *Request, servers []Server, sooner []int, draw float64) int {
	var others []int
	for _, i := range sooner {
		if servers[i].Domain != r.Domain {
			others = append(others, i)
		}
	}
	if len(others) > 0 {
		sooner = others
	}
	least := servers[sooner[0]].Expected
	for _, i := range sooner {
		least = min(least, servers[i].Expected)
	}
	var similar []int
	for _, i := range sooner {
		if float64(servers[i].Expected) <= similarFactor*float64(least) {
			similar = append(similar, i)
		}
	}
	return similar[int(draw*float64(len(similar)))]
}

// slotUse returns the share of all known slots that are in use.
func slotUse(servers []Server) float64 {
	running, slots := 0, 0
	for i := range servers {
		if servers[i].Slots > 0 {
			running += servers[i].Running
			slots += servers[i].Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(running) / float64(slots)
}

// loadMemory is how long a sign of load counts: bursts last for seconds, and signs of them come
// several times a second.
const loadMemory = 2 * time.Second

// LoadSigns remembers the last refusal of a service, or the last wait for a slot or a place within
// its rate limit. It is safe for concurrent use.
type LoadSigns struct{ last atomic.Pointer[time.Time] }

// Record records a sign of load.
func (l *LoadSigns) Record(now time.Time) { l.last.Store(&now) }

// Recent reports whether there was one recently.
func (l *LoadSigns) Recent(now time.Time) bool {
	last := l.last.Load()
	return last != nil && now.Sub(*last) < loadMemory
}
