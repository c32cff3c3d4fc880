package router

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/vm"
)

// addressTTL is how long callers may cache the address list.
const addressTTL = 10 * time.Second

// addressList is the response body of GET /v1/addresses.
type addressList struct {
	TTLSeconds int            `json:"ttl_seconds"`
	Addresses  []addressEntry `json:"addresses"`
}

type addressEntry struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	VM            string `json:"vm"`
}

// serveAddresses returns the VMs that a caller should use, in order of
// preference: the home VM of the account whose key the request carries, then the
// VMs of the caller's failure domain, given by the parameter failure_domain, then
// the others. The order within these groups is random, which spreads callers over
// the VMs.
func (r *Router) serveAddresses(w http.ResponseWriter, req *http.Request) {
	domain := req.URL.Query().Get("failure_domain")
	id := r.addressAccount(req)
	vms := r.opts.Addresses.VMs(id)
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	slices.SortStableFunc(vms, func(a, b vm.VM) int { return compareByDomain(a, b, domain) })
	r.moveHomeFirst(id, vms)
	list := addressList{TTLSeconds: int(addressTTL.Seconds()), Addresses: []addressEntry{}}
	for _, v := range vms {
		list.Addresses = append(list.Addresses, addressEntry{Address: v.CallerAddress, FailureDomain: v.FailureDomain, VM: string(v.ID)})
	}
	writeJSON(w, http.StatusOK, list)
}

// addressAccount returns the account of the request's key, or "".
func (r *Router) addressAccount(req *http.Request) account.ID {
	key, _ := r.View().Authenticate(bearer(req))
	return key.Account
}

// compareByDomain orders VMs of the given failure domain before all others.
func compareByDomain(a, b vm.VM, domain string) int {
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
