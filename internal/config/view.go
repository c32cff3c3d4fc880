package config

import (
	"slices"
	"strings"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
)

// View is a snapshot with indexes for the request path. It is immutable.
type View struct {
	*Snapshot
	keyByHash map[string]account.Key
	engines   map[string][]backend.Server
	routes    []Route
}

// NewView indexes a snapshot.
func NewView(s *Snapshot) *View {
	v := &View{
		Snapshot:  s,
		keyByHash: make(map[string]account.Key, len(s.Keys)),
		engines:   map[string][]backend.Server{},
	}
	for _, k := range s.Keys {
		v.keyByHash[k.Hash] = k
	}
	for _, srv := range s.Servers {
		for _, m := range srv.Models {
			v.engines[m] = append(v.engines[m], srv)
		}
	}
	for _, list := range v.engines {
		slices.SortFunc(list, func(a, b backend.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	for _, r := range s.Routes {
		v.routes = append(v.routes, r)
	}
	slices.SortFunc(v.routes, longestFirst)
	return v
}

// longestFirst orders routes by descending prefix length, so that the first match
// is the longest.
func longestFirst(a, b Route) int {
	if d := len(b.PathPrefix) - len(a.PathPrefix); d != 0 {
		return d
	}
	return strings.Compare(a.ID, b.ID)
}

// Authenticate returns the key with this secret. The map is keyed by the SHA-256
// of the secret, so the duration of the lookup reveals nothing about the secret;
// the hashes are compared in constant time.
func (v *View) Authenticate(secret string) (account.Key, bool) {
	hash := account.HashSecret(secret)
	k, ok := v.keyByHash[hash]
	if !ok || !k.Matches(hash) {
		return account.Key{}, false
	}
	return k, true
}

// Engines returns the engines that serve the model, ordered by ID, including
// those that are leaving.
func (v *View) Engines(model string) []backend.Server { return v.engines[model] }

// Route returns the route with the longest path prefix that matches the path.
func (v *View) Route(path string) (Route, bool) {
	for _, r := range v.routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}
