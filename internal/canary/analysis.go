package canary

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxFailureRatio and toleratedFailures define a version as bad on a route if it fails at more
	// than this multiple of the old version's rate plus the tolerated rate.
	maxFailureRatio   = 2
	toleratedFailures = 0.002
	// slowerBuckets defines a version as bad if more of its answers are beyond twice a quantile of the
	// old version's latency than the old version's are beyond the quantile. Two buckets are a factor
	// of two; a latency three times that of a bucket is always more than two buckets above it.
	slowerBuckets = 2
	// conclusive is the significance that a roll-back needs at any time. The test is repeated
	// several times a second on each route. suffices is that before the last stage, where the
	// and at the end of it, when the decision can't be put off any further. While a version is
	// suspicious, it isn't completed before that end.
	conclusive = 1e-4
	suffices   = 3e-4
	suspicious = 2e-2
	// withoutWorst is the significance that is needed without the period that has most bad answers,
	// so that the crash of one server isn't taken for a fault of its version.
	withoutWorst = 1e-2
	// minRest is the least number of bad answers beside the worst period. Reports of one crash may
	// arrive in two periods.
	minRest = 3
	// minBad is the least number of bad answers for a verdict. With no failure at the old version, 4
	// failures of 70 are conclusive; for latency, 14 answers that are all slow.
	minBad = 4
	// minReference is the number of the old version's answers that the latest periods must have to
	// serve as the reference.
	minReference = 20
	// periods is how many periods the time limit is divided into. The versions are compared within
	// each period, so that a burst which meets the new version's larger shares also counts for the
	// old one. minPeriod is about the delay of reports.
	periods   = 64
	minPeriod = 500 * time.Millisecond
)

// comparedQuantiles are the quantiles of latency. The higher ones show a version of which only some
// answers are slow.
var comparedQuantiles = [...]float64{0.5, 0.75, 0.9}

// period holds the answers reported in one period for one route.
type period struct {
	index    int
	old, new Counts
}

// routeAnalysis compares the versions on one route.
type routeAnalysis struct {
	total   Counts // of the old version
	periods []period
}

// subtract returns the counts since an earlier report of the same process.
func (c Counts) subtract(b Counts) Counts {
	c.Requests -= min(b.Requests, c.Requests)
	c.Failures -= min(b.Failures, c.Failures)
	for i := range c.Latency {
		c.Latency[i] -= min(b.Latency[i], c.Latency[i])
	}
	return c
}

func (c *Counts) add(b Counts) {
	c.Requests += b.Requests
	c.Failures += b.Failures
	for i := range c.Latency {
		c.Latency[i] += b.Latency[i]
	}
}

// quantile returns the bucket of a quantile.
func (c *Counts) quantile(q float64) int {
	left := q * c.count(0)
	for i, l := range c.Latency {
		if left -= float64(l); left <= 0 {
			return i
		}
	}
	return LatencyBuckets - 1
}

// count returns the number of answers in a bucket and those above it.
func (c *Counts) count(from int) (n float64) {
	for i := from; i < LatencyBuckets; i++ {
		n += float64(c.Latency[i])
	}
	return n
}

// above estimates the share of answers above a bucket. It is never 0, as few answers don't show the
// end of the distribution.
func (c *Counts) above(bucket int) float64 {
	return (c.count(bucket+1) + 1) / (c.count(0) + 1)
}

func (c *Counts) failureRate() float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Requests)
}

// add counts what was reported in a period.
func (r *routeAnalysis) add(index int, old, new Counts) {
	if len(r.periods) == 0 || r.periods[len(r.periods)-1].index != index {
		r.periods = append(r.periods, period{index: index})
	}
	p := &r.periods[len(r.periods)-1]
	p.old.add(old)
	p.new.add(new)
	r.total.add(old)
}

// outcome holds answers, the bad ones, and how many of them a version may have that is not bad.
type outcome struct{ samples, bad, allowed float64 }

// expectation adds up the outcomes of the new version by period.
type expectation struct {
	all      outcome
	byPeriod map[int]outcome
}

func (e *expectation) add(index int, samples, bad, allowed float64) {
	if e.byPeriod == nil {
		e.byPeriod = map[int]outcome{}
	}
	p := e.byPeriod[index]
	e.byPeriod[index] = outcome{p.samples + samples, p.bad + bad, p.allowed + allowed}
	e.all = outcome{e.all.samples + samples, e.all.bad + bad, e.all.allowed + allowed}
}

// significant tests the number of bad answers, with and without the worst period.
func (e *expectation) significant(level float64) bool {
	if e.all.bad < minBad || e.all.tail() >= level {
		return false
	}
	var worst outcome
	for _, p := range e.byPeriod {
		if p.bad-p.allowed > worst.bad-worst.allowed {
			worst = p
		}
	}
	rest := outcome{e.all.samples - worst.samples, e.all.bad - worst.bad, e.all.allowed - worst.allowed}
	return rest.bad >= minRest && rest.tail() < withoutWorst
}

func (o outcome) tail() float64 { return binomialTail(o.samples, o.bad, o.allowed) }

// binomialTail returns the probability of at least k of n, where mean are expected. The variance of a
// sum over periods of different probabilities is below that of the binomial distribution.
func binomialTail(n, k, mean float64) float64 {
	if k <= mean || n <= 0 {
		return 1
	}
	p := mean / n
	if p <= 0 {
		return 0
	}
	lg := func(x float64) float64 { v, _ := math.Lgamma(x + 1); return v }
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(lg(n) - lg(i) - lg(n-i) + i*math.Log(p) + (n-i)*math.Log1p(-p))
		if sum += term; term < sum*1e-9 {
			break
		}
	}
	return sum
}

// evidence holds the tests of one route or, added up, of all routes.
type evidence struct {
	failures expectation
	slow     [len(comparedQuantiles)]expectation
}

// collect adds what the periods of the route show.
func (r *routeAnalysis) collect(into ...*evidence) {
	for i := range r.periods {
		p := &r.periods[i]
		if p.new.Requests == 0 {
			continue
		}
		// The reference are the latest periods with enough answers of the old version. In the last
		// stage it has none.
		var reference Counts
		for j := i; j >= 0 && reference.Requests < minReference; j-- {
			reference.add(r.periods[j].old)
		}
		rate := max(r.total.failureRate(), reference.failureRate())
		n := float64(p.new.Requests)
		for _, e := range into {
			e.failures.add(p.index, n, float64(p.new.Failures), min(n, n*(maxFailureRatio*rate+toleratedFailures)))
		}
		if r.total.count(0) < minReference {
			continue
		}
		n = p.new.count(0)
		for j, q := range comparedQuantiles {
			at := max(r.total.quantile(q), reference.quantile(q))
			slow := n * max(r.total.above(at), reference.above(at))
			for _, e := range into {
				e.slow[j].add(p.index, n, p.new.count(at+slowerBuckets+1), slow)
			}
		}
	}
}

// verdict returns why the new version is bad, or "".
func (e *evidence) verdict(level float64) string {
	if f := &e.failures; f.significant(level) {
		return fmt.Sprintf("%.0f of %.0f answers of the new version failed, %.1f are tolerated beside the old version",
			f.all.bad, f.all.samples, f.all.allowed)
	}
	for j, q := range comparedQuantiles {
		if s := &e.slow[j]; s.significant(level) {
			return fmt.Sprintf("%.0f of %.0f answers of the new version took more than twice the %g quantile of the old one",
				s.all.bad, s.all.samples, q)
		}
	}
	return ""
}

// verdictOf compares the versions on each route and on all routes together, which needs fewer samples
// of each. It returns why the new version is bad, or "".
func verdictOf(names []string, routes map[string]*routeAnalysis, level float64) string {
	var all evidence
	for _, name := range names {
		var one evidence
		routes[name].collect(&one, &all)
		if reason := one.verdict(level); reason != "" {
			return fmt.Sprintf("route %s: %s", name, reason)
		}
	}
	if reason := all.verdict(level); reason != "" {
		return "all routes: " + reason
	}
	return ""
}
