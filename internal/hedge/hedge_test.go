package hedge

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// A hedge needs a sound, less loaded server that is expected to answer sooner and in time; it prefers
// another failure domain.
func TestChoose(t *testing.T) {
	late := Request{Waited: 50 * ms, Left: time.Second, Domain: "a"}
	fast := Server{Domain: "b", Running: 1, Slots: 8, Expected: 20 * ms}
	near := Server{Domain: "a", Running: 1, Slots: 8, Expected: 10 * ms}
	with := func(change func(*Server)) Server {
		s := fast
		change(&s)
		return s
	}
	for name, c := range map[string]struct {
		request Request
		servers []Server
		index   int
		reason  Reason
	}{
		"sound":                 {late, []Server{fast}, 0, ""},
		"other domain first":    {late, []Server{near, fast}, 1, ""},
		"own domain if alone":   {late, []Server{near}, 0, ""},
		"no other server":       {late, nil, -1, NoServer},
		"no free slot":          {late, []Server{with(func(s *Server) { s.Slots = 1 }), {Slots: 30, Running: 30}, {Slots: 100, FailureRate: 1}}, -1, NoServer},
		"failing":               {late, []Server{with(func(s *Server) { s.FailureRate = 0.3 })}, -1, NoServer},
		"silent":                {late, []Server{with(func(s *Server) { s.Silent = 60 * ms })}, -1, NoServer},
		"slower":                {late, []Server{with(func(s *Server) { s.Expected = 70 * ms })}, -1, NotSooner},
		"no time":               {Request{Waited: 50 * ms, Left: 30 * ms}, []Server{fast}, -1, NoTime},
		"slots in use":          {late, []Server{with(func(s *Server) { s.Running = 6 })}, -1, Loaded},
		"refusals":              {Request{Waited: 50 * ms, Left: time.Second, RecentlyLoaded: true}, []Server{fast}, -1, Loaded},
		"similar ones are even": {late, []Server{with(func(s *Server) { s.Expected = 90 * ms }), fast, with(func(s *Server) { s.Expected = 25 * ms })}, 2, ""},
	} {
		if i, reason := Choose(c.request, c.servers, 0.9); i != c.index || reason != c.reason {
			t.Errorf("%s: server %d, reason %q; want %d, %q", name, i, reason, c.index, c.reason)
		}
	}
}

// The delay follows the latencies within some half-lives, and isn't known from a few responses.
func TestDelayFollowsLatencies(t *testing.T) {
	var l Latencies
	now := time.Unix(1000, 0)
	record := func(n int, latency time.Duration) {
		for range n {
			now = now.Add(20 * ms)
			l.Record(latency, now)
		}
	}
	record(minWeight-1, 40*ms)
	if d, ok := l.Delay(now); ok {
		t.Fatalf("delay %v after %d responses", d, minWeight-1)
	}
	record(500, 40*ms)
	if d, ok := l.Delay(now); !ok || d < 40*ms || d > 48*ms {
		t.Errorf("delay %v, %v; want 40 ms within the resolution", d, ok)
	}
	record(5000, 200*ms)
	if d, _ := l.Delay(now); d < 200*ms || d > 240*ms {
		t.Errorf("delay %v after the latency has risen to 200 ms", d)
	}
	if _, ok := l.Delay(now.Add(10 * halfLife)); ok {
		t.Error("the delay is known although there were no responses for ten half-lives")
	}
}

// For any interleaving of requests, hedges and starts of VMs, all hedges together are at most the share of
// all requests, and those of a period at most its share and what was saved before.
func TestBudgetHoldsOverAllVMs(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		milli := 1 + random.Int64N(100) // The share in thousandths.
		vms := make([]*Budget, 1+random.IntN(40))
		for i := range vms {
			vms[i] = NewBudget(float64(milli) / 1000)
		}
		// before are the numbers at the begin of a period.
		var requests, hedges, requestsBefore, hedgesBefore int64
		for range 20_000 {
			i := random.IntN(1 + random.IntN(len(vms))) // Some VMs get more requests than others.
			switch draw := random.Float64(); {
			case draw < 0.0005:
				vms[i] = NewBudget(float64(milli) / 1000)
			case draw < 0.001:
				requestsBefore, hedgesBefore = requests, hedges
			case draw < 0.6:
				vms[i].Earn()
				requests++
			case !vms[i].Spend():
			case draw < 0.7:
				vms[i].Return()
			default:
				hedges++
			}
			if 1000*hedges > milli*requests {
				t.Fatalf("seed %d: %d hedges of %d requests, the share is %d/1000", seed, hedges, requests, milli)
			}
			if 1000*(hedges-hedgesBefore) > milli*(requests-requestsBefore)+1000*maxSaved*int64(len(vms)) {
				t.Fatalf("seed %d: %d hedges of %d requests in a period", seed, hedges-hedgesBefore, requests-requestsBefore)
			}
		}
	}
}
