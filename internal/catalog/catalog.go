// Package catalog indexes the operator's configuration for the request path of
// an externally configured deployment: routes, services, client accounts and
// their keys. A Catalog is immutable and replaced as a whole.
package catalog

import (
	"slices"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/rendezvous"
)

// Version orders configurations. It increases, but not always by one.
type Version uint64

// Kind states whether the requests of a route may be retried.
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

// Target is a service to which a route forwards requests.
type Target struct {
	Service string `json:"service"`
	// Weight is the target's share of the route's requests, relative to the
	// other targets.
	Weight float64 `json:"weight"`
}

// Route forwards the requests for a host and a path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Resumable is set if a stream may continue at another server after the last
	// event.
	Resumable bool `json:"resumable,omitempty"`
	// Timeout is the longest time for which a request may stay unanswered.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: for the complete response, or for the
	// first event of a stream.
	Objective time.Duration `json:"objective"`
	// GapObjective is the objective for the longest pause between events.
	GapObjective time.Duration `json:"gap_objective,omitempty"`
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int `json:"priority"`
	// MaxAttempts bounds the number of servers to which one request may be sent.
	MaxAttempts int `json:"max_attempts"`
	// Open is set if requests need no key.
	Open bool `json:"open,omitempty"`
	// ByPrompt is set if the route's requests describe their prompts.
	ByPrompt bool     `json:"by_prompt,omitempty"`
	Targets  []Target `json:"targets"`
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Leads reports whether the route leads to a service.
func (r *Route) Leads(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is the number of connections that one server accepts from all
	// callers together.
	MaxConnections int     `json:"max_connections,omitempty"`
	Engine         *Engine `json:"engine,omitempty"`
	// KVStore is set for a store of saved KV cache, which runs no requests.
	KVStore *KVStore `json:"kv_store,omitempty"`
}

// Engine describes the servers of a service that are model engines.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// CacheTokens is the KV cache capacity for running requests and cached prompt
	// parts, in tokens.
	CacheTokens int `json:"cache_tokens"`
	// TokenBytes is the size of the KV cache of one token.
	TokenBytes int `json:"token_bytes"`
	// LinkBitRate is the bandwidth of an engine's link for cache transfers, in bits
	// per second.
	LinkBitRate float64  `json:"link_bit_rate"`
	Models      []string `json:"models"`
}

// TransferRate returns the rate of cache transfers in tokens per second; 0 if it
// is not known.
func (e *Engine) TransferRate() float64 { return e.TransferRateOver(e.LinkBitRate) }

// TransferRateOver returns the rate of cache transfers in tokens per second when
// the other end's link has a bit rate: the slower link limits it.
func (e *Engine) TransferRateOver(bitRate float64) float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	return min(bitRate, e.LinkBitRate) / 8 / float64(e.TokenBytes)
}

// KVStore describes a store of saved KV cache.
type KVStore struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	CacheTokens   int    `json:"cache_tokens"`
	// LinkBitRate is the bandwidth of the store's link, in bits per second.
	LinkBitRate float64 `json:"link_bit_rate"`
}

// Account is a client account and its limits.
type Account struct {
	ID account.ID `json:"id"`
	// Priority overrides the route's priority unless it is nil.
	Priority *int `json:"priority,omitempty"`
	// Isolated is set if the account shares no cached prompt parts with others.
	Isolated bool `json:"isolated,omitempty"`
	// Rate and Burst limit the account over all VMs together; a rate of 0 means no
	// limit. They count requests, or tokens if CountsTokens is set.
	Rate         float64 `json:"rate"`
	Burst        float64 `json:"burst"`
	CountsTokens bool    `json:"counts_tokens,omitempty"`
	// DefaultTokens is the number of tokens charged to a request that states none.
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

// Snapshot is a complete configuration in the form that VMs exchange.
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

// New returns the Catalog of a snapshot. The snapshot must not be modified
// afterwards.
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

// Store returns the store for the KV cache of a prompt, or nil if there are no
// stores. Each prompt is assigned to one store by rendezvous hashing, so that no
// memory is spent on copies and all VMs look in the same store.
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

// Account returns the account to which a key belongs, or nil.
func (c *Catalog) Account(key string) *Account { return c.accounts[account.HashSecret(key)] }
