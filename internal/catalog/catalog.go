// Package catalog holds the operator's configuration as the request path of an
// externally configured deployment needs it: routes, services, client accounts
// and their keys. A Catalog is immutable and swapped whole.
package catalog

import (
	"slices"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/rendezvous"
)

// Version orders configurations. It grows in uneven steps.
type Version uint64

// Kind says what may be repeated.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests may run once at most.
	AtMostOnce Kind = "at_most_once"
	// Stream requests are answered by a stream of events. They may run once at
	// most unless the route is resumable.
	Stream Kind = "stream"
)

// Target is a service that a route leads to.
type Target struct {
	Service string `json:"service"`
	// Weight is the target's share of the route's requests, relative to the
	// other targets.
	Weight float64 `json:"weight"`
}

// Route leads the requests for a host and a path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Resumable streams may go on at another server after the last event.
	Resumable bool `json:"resumable,omitempty"`
	// Timeout is the longest time for which a request may stay unanswered.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: up to the whole answer, or up to the
	// first event of a stream.
	Objective time.Duration `json:"objective"`
	// GapObjective is the longest pause between events.
	GapObjective time.Duration `json:"gap_objective,omitempty"`
	// Priority is the rank of the route's requests; 0 goes first.
	Priority int `json:"priority"`
	// MaxAttempts bounds the servers to which one request may be sent.
	MaxAttempts int `json:"max_attempts"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// ByPrompt is set if the route's requests describe their prompts.
	ByPrompt bool     `json:"by_prompt,omitempty"`
	Targets  []Target `json:"targets"`
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of backend servers that are alike.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is what one server accepts from all callers together.
	MaxConnections int     `json:"max_connections,omitempty"`
	Engine         *Engine `json:"engine,omitempty"`
	// KVStore is set for the store of kept KV cache, which runs no requests.
	KVStore *KVStore `json:"kv_store,omitempty"`
}

// Engine describes the servers of a service that are model engines.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// CacheTokens is the memory for running requests and cached parts.
	CacheTokens int `json:"cache_tokens"`
	// TokenBytes is the size of a token's cache.
	TokenBytes int `json:"token_bytes"`
	// LinkBitRate is the speed of an engine's link for cache transfers, in bits a
	// second.
	LinkBitRate float64  `json:"link_bit_rate"`
	Models      []string `json:"models"`
}

// TransferRate returns the speed of cache transfers in tokens a second; 0 if it
// is not known.
func (e *Engine) TransferRate() float64 { return e.TransferRateOver(e.LinkBitRate) }

// TransferRateOver returns the speed over a link of a bit rate, if it is the
// slower one.
func (e *Engine) TransferRateOver(bitRate float64) float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	return min(bitRate, e.LinkBitRate) / 8 / float64(e.TokenBytes)
}

// KVStore describes the store of kept KV cache.
type KVStore struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	CacheTokens   int    `json:"cache_tokens"`
	// LinkBitRate is the speed of its link, in bits a second.
	LinkBitRate float64 `json:"link_bit_rate"`
}

// Account is a client account and what it may use.
type Account struct {
	ID account.ID `json:"id"`
	// Priority takes precedence over the route's unless it is nil.
	Priority *int `json:"priority,omitempty"`
	// Isolated accounts share no cached part with others.
	Isolated bool `json:"isolated,omitempty"`
	// Rate and Burst bound the account over all VMs together; a rate of 0 is no
	// bound. They count requests, or tokens if CountsTokens is set.
	Rate         float64 `json:"rate"`
	Burst        float64 `json:"burst"`
	CountsTokens bool    `json:"counts_tokens,omitempty"`
	// DefaultTokens is what a request counts that states no tokens.
	DefaultTokens float64 `json:"default_tokens,omitempty"`
	// KeyHashes are the SHA-256 sums of the account's keys, in hexadecimal.
	KeyHashes []string `json:"key_hashes"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Snapshot is a whole configuration in the form that VMs exchange.
type Snapshot struct {
	Version  Version   `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Limits   Limits    `json:"limits"`
}

// Catalog is a Snapshot that is indexed for the request path.
type Catalog struct {
	Snapshot
	hosts    map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
}

// New returns the Catalog of a snapshot, which must not change any more.
func New(s Snapshot) *Catalog {
	c := &Catalog{
		Snapshot: s,
		hosts:    map[string][]*Route{},
		services: map[string]*Service{},
		accounts: map[string]*Account{},
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range s.Services {
		c.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Accounts {
		for _, h := range s.Accounts[i].KeyHashes {
			c.accounts[h] = &s.Accounts[i]
		}
	}
	return c
}

// Route returns the route with the longest prefix for a host and a path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Store returns the store that keeps the cache of a prompt, or nil without one.
// Each prompt has one store, so that stores together keep as many prompts as
// their memory allows and all VMs look in the same place.
func (c *Catalog) Store(prompt rendezvous.Key) *KVStore {
	var best *KVStore
	for i := range c.Services {
		s := c.Services[i].KVStore
		if s != nil && (best == nil || prompt.Score(s.Address) > prompt.Score(best.Address)) {
			best = s
		}
	}
	return best
}

// HasAccounts reports whether requests need a key.
func (c *Catalog) HasAccounts() bool { return len(c.Accounts) > 0 }

// Account returns the account that holds a key, or nil.
func (c *Catalog) Account(key string) *Account { return c.accounts[account.HashSecret(key)] }
