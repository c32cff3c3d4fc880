package router

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/vm"
)

// fixedDirectory is a VMDirectory with the same VMs for all accounts.
type fixedDirectory []vm.VM

func (b fixedDirectory) VMs(account.ID) []vm.VM { return append([]vm.VM(nil), b...) }

// Callers of one failure domain are spread evenly over its VMs. Otherwise all
// callers that ask at the same time, as after a restart, would use the same VM.
func TestAddressesOfOneDomainAreShuffled(t *testing.T) {
	r := newTestRouter(true)
	r.opts.Addresses = fixedDirectory{
		{ID: "a1", FailureDomain: "a"}, {ID: "b1", FailureDomain: "b"},
		{ID: "a2", FailureDomain: "a"}, {ID: "b2", FailureDomain: "b"},
		{ID: "a3", FailureDomain: "a"},
	}
	const requests = 900
	first := map[string]int{}
	for range requests {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/v1/addresses?failure_domain=a", nil))
		var list addressList
		if err := json.Unmarshal(w.Body.Bytes(), &list); err != nil {
			t.Fatal(err)
		}
		for i, a := range list.Addresses {
			if (a.FailureDomain == "a") != (i < 3) {
				t.Fatalf("order %+v, want the caller's failure domain first", list.Addresses)
			}
		}
		first[list.Addresses[0].VM]++
	}
	// Each of the three VMs comes first 300 times on average; 200 is over 7 standard
	// deviations below that.
	for _, id := range []string{"a1", "a2", "a3"} {
		if first[id] < 200 {
			t.Errorf("%s comes first %d times of %d", id, first[id], requests)
		}
	}
}
