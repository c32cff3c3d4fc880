package router

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/vm"
)

// addressTTL is how long callers may keep an answer.
const addressTTL = 10 * time.Second

// addressList is the answer of GET /v1/addresses.
type addressList struct {
	TTLSeconds int            `json:"ttl_seconds"`
	Addresses  []addressEntry `json:"addresses"`
}

type addressEntry struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	VM            string `json:"vm"`
}

// serveAddresses tells a caller which VMs to use. The parameter failure_domain
// is the caller's own; VMs in it come first, after the home VM of the account
// whose key came with the request. Otherwise the order is random, so that
// callers spread over the VMs.
func (r *Router) serveAddresses(w http.ResponseWriter, req *http.Request) {
	domain := req.URL.Query().Get("failure_domain")
	id := r.addressAccount(req)
	vms := r.opts.Addresses.VMs(id)
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	slices.SortStableFunc(vms, func(a, b vm.VM) int { return nearer(a, b, domain) })
	r.homeFirst(id, vms)
	list := addressList{TTLSeconds: int(addressTTL.Seconds()), Addresses: []addressEntry{}}
	for _, v := range vms {
		list.Addresses = append(list.Addresses, addressEntry{Address: v.CallerAddress, FailureDomain: v.FailureDomain, VM: string(v.ID)})
	}
	writeJSON(w, http.StatusOK, list)
}

// addressAccount returns the account of the caller's key, or "".
func (r *Router) addressAccount(req *http.Request) account.ID {
	key, _ := r.View().Authenticate(bearer(req))
	return key.Account
}

func nearer(a, b vm.VM, domain string) int {
	switch {
	case a.FailureDomain == b.FailureDomain:
		return 0
	case a.FailureDomain == domain:
		return -1
	case b.FailureDomain == domain:
		return 1
	default:
		return 0
	}
}
