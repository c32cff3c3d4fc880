package router

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/vm"
)

// fixedBook lists the same VMs to everybody.
type fixedBook []vm.VM

func (b fixedBook) VMs(account.ID) []vm.VM { return append([]vm.VM(nil), b...) }

// Callers of one failure domain are spread over its VMs, also when they all ask
// at once after a restart.
func TestAddressesAreSpread(t *testing.T) {
	r := newTestRouter(true)
	r.opts.Addresses = fixedBook{
		{ID: "a1", FailureDomain: "a"}, {ID: "b1", FailureDomain: "b"},
		{ID: "a2", FailureDomain: "a"}, {ID: "b2", FailureDomain: "b"},
		{ID: "a3", FailureDomain: "a"},
	}
	const calls = 900
	first := map[string]int{}
	for range calls {
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
	// Each of three VMs gets a third; 200 of 900 is over 7 standard deviations
	// below that.
	for _, id := range []string{"a1", "a2", "a3"} {
		if first[id] < 200 {
			t.Errorf("%s comes first %d times of %d", id, first[id], calls)
		}
	}
}
