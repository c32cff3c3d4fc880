// Package configcheck finds mistakes in an operator's configuration that the router would accept:
// entries that can never match, and limits that contradict each other. It also compares two
// configurations. Paths of fields are those of a catalog.Snapshot in JSON.
package configcheck

import (
	"fmt"
	"math"
	"time"

	"papayaspan.dev/papayaspan/internal/catalog"
)

// Kind classifies a finding.
type Kind string

// Kinds of findings.
const (
	// Error means that requests fail because of the entry.
	Error Kind = "error"
	// Unmatched means that an entry can never match.
	Unmatched Kind = "unmatched"
	// Contradiction means that limits contradict each other.
	Contradiction Kind = "contradiction"
)

// Finding is a mistake.
type Finding struct {
	Kind Kind `json:"kind"`
	// Path is the path of the field.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Options are settings of the deployment that the configuration doesn't hold.
type Options struct {
	// RetryRatio is the share of requests that may be sent again.
	RetryRatio float64
	// QuotaWindow is the time over which the use of an account is counted.
	QuotaWindow time.Duration
}

// needlessAttempt is the probability that an attempt is needed below which it counts as one that the
// retry budget can't support: one request in ten thousand.
const needlessAttempt = 1e-4

// maxRetryRatio bounds the ratio, so that the number of attempts is finite.
const maxRetryRatio = 100

// maxAttempts returns the number of attempts that the retry budget supports. If a share p of attempts fails,
// requests are sent p/(1-p) times again on average; the budget is spent where that is its ratio. At this p,
// attempt n is needed with probability p^(n-1).
func (o Options) maxAttempts() int {
	if !(o.RetryRatio > 0) {
		return 1
	}
	ratio := min(o.RetryRatio, maxRetryRatio)
	failing := ratio / (1 + ratio)
	return 1 + int(math.Log(needlessAttempt)/math.Log(failing))
}

// Check returns the mistakes in the order of the configuration.
func Check(s *catalog.Snapshot, o Options) []Finding {
	c := &checker{s: s, opts: o, services: map[string]int{}}
	c.checkServiceNames()
	for i := range s.Routes {
		c.checkRoute(i, &s.Routes[i])
	}
	for i := range s.Services {
		c.checkService(i, &s.Services[i])
	}
	c.checkAccounts()
	return c.findings
}

type checker struct {
	s        *catalog.Snapshot
	opts     Options
	services map[string]int
	findings []Finding
}

func (c *checker) add(kind Kind, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Kind: kind, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkServiceNames() {
	for i, v := range c.s.Services {
		path := fmt.Sprintf("services[%d].name", i)
		if v.Name == "" {
			c.add(Error, path, "the service has no name")
		}
		if other, ok := c.services[v.Name]; ok {
			c.add(Error, path, "service %q: services[%d] has the same name and is ignored", v.Name, other)
		}
		c.services[v.Name] = i
	}
}

func (c *checker) checkRoute(i int, r *catalog.Route) {
	path := func(field string) string { return fmt.Sprintf("routes[%d].%s", i, field) }
	for j := range c.s.Routes[:i] {
		if other := &c.s.Routes[j]; other.Host == r.Host && other.Prefix == r.Prefix {
			c.add(Unmatched, path("prefix"), "route %q: route %q has the host %q and the prefix %q already", r.Name, other.Name, r.Host, r.Prefix)
			break
		}
	}
	if r.Prefix != "" && r.Prefix[0] != '/' {
		c.add(Unmatched, path("prefix"), "route %q: no path begins with %q", r.Name, r.Prefix)
	}
	total := 0.0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
		if target.Weight < 0 {
			c.add(Error, path("targets"), "route %q: service %q has the weight %v", r.Name, target.Service, target.Weight)
		}
		if _, ok := c.services[target.Service]; !ok {
			c.add(Unmatched, path("targets"), "route %q: there is no service %q", r.Name, target.Service)
		}
	}
	if total == 0 {
		c.add(Error, path("targets"), "route %q has no service with a weight above 0", r.Name)
	}
	switch {
	case r.Timeout <= 0:
		c.add(Error, path("timeout"), "route %q: the time limit is %v, so that each request has passed it on arrival", r.Name, r.Timeout)
	case r.Timeout < r.Objective:
		c.add(Contradiction, path("timeout"), "route %q: the time limit of %v is below the objective of %v", r.Name, r.Timeout, r.Objective)
	}
	if limit := c.opts.maxAttempts(); r.MaxAttempts > limit {
		c.add(Contradiction, path("max_attempts"), "route %q: of %d attempts, the retry budget of %v supports %d", r.Name, r.MaxAttempts, c.opts.RetryRatio, limit)
	}
}

func (c *checker) checkService(i int, v *catalog.Service) {
	if v.KVStore != nil {
		return // Stores run no requests.
	}
	for j := range c.s.Routes {
		if c.s.Routes[j].Leads(v.Name) {
			return
		}
	}
	c.add(Unmatched, fmt.Sprintf("services[%d].name", i), "service %q: no route leads to it", v.Name)
}

func (c *checker) checkAccounts() {
	holders, names := map[string]int{}, map[string]int{}
	for i := range c.s.Accounts {
		a := &c.s.Accounts[i]
		path := func(field string) string { return fmt.Sprintf("accounts[%d].%s", i, field) }
		if other, ok := names[string(a.ID)]; ok {
			c.add(Error, path("id"), "account %q: accounts[%d] has the same name, and both share one quota", a.ID, other)
		}
		names[string(a.ID)] = i
		if len(a.KeyHashes) == 0 {
			c.add(Unmatched, path("key_hashes"), "account %q has no key", a.ID)
		}
		for j, key := range a.KeyHashes {
			if other, ok := holders[key]; ok && other != i {
				c.add(Unmatched, path(fmt.Sprintf("key_hashes[%d]", j)), "account %q: account %q holds the same key; the later one gets its requests", a.ID, c.s.Accounts[other].ID)
			}
			holders[key] = i
		}
		request, unit := 1.0, "requests"
		if a.CountsTokens {
			request, unit = max(1, a.DefaultTokens), "tokens"
		}
		if quota := a.Rate*c.opts.QuotaWindow.Seconds() + a.Burst; a.Rate > 0 && quota < request {
			c.add(Contradiction, path("rate"), "account %q may use %.3g %s in %v, a request needs %.3g", a.ID, quota, unit, c.opts.QuotaWindow, request)
		}
	}
}
