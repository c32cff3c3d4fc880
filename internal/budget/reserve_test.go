package budget

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

// TestHalfRateWithoutOneHome checks that an account whose one home fails keeps
// half of its rate and burst without a pause. With a single home, the account
// would be refused until that home is replaced.
func TestHalfRateWithoutOneHome(t *testing.T) {
	contract := account.Contract{Rate: 2000, Burst: 4000}
	c := newCluster(t, 3, contractOf(testAccount, contract.Rate, contract.Burst))
	lost := c.home(halfOf(testAccount, 0))
	others := []int{(lost + 1) % 3, (lost + 2) % 3}
	c.servers[lost].Stop()
	begin := time.Now()
	r, err := c.services[others[0]].Reserve(context.Background(), testAccount, 100)
	if err != nil || time.Since(begin) > maxWait/2 {
		t.Fatalf("Reserve = %v after %v", err, time.Since(begin))
	}
	r.Settle(100)
	grants := c.flood(time.Second, others, 100, 100)
	if over := maxExcess(grants, contract); over > 0 {
		t.Errorf("a window holds %.0f tokens too many", over)
	}
	if got := total(grants); got < 0.9*contract.Rate/halves {
		t.Errorf("%.0f tokens in a second", got)
	}
	_, err = c.services[others[0]].Reserve(context.Background(), testAccount, contract.Burst)
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != Unavailable || refusal.RetryAfter <= 0 {
		t.Errorf("the whole burst: %v, want a refusal with a retry delay", err)
	}
}

// TestHomesUseSeparateFailureDomains checks that the two homes of an account
// are on different VMs and in different failure domains where possible.
func TestHomesUseSeparateFailureDomains(t *testing.T) {
	members := func(domains ...string) *roster.Roster {
		r := &roster.Roster{}
		for i, d := range domains {
			r.Members = append(r.Members, vm.VM{ID: vm.ID(fmt.Sprint("vm-", i)), FailureDomain: d})
		}
		return r
	}
	tests := []struct {
		desc               string
		roster             *roster.Roster
		sameVM, sameDomain bool
	}{
		{"one VM", members("a"), true, true},
		{"two VMs of one domain", members("a", "a"), false, true},
		{"three domains", members("a", "b", "c", "a", "b", "c"), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			for i := range 200 {
				id := account.ID(fmt.Sprint("account-", i))
				first, _ := Home(halfOf(id, 0), tt.roster)
				second, _ := Home(halfOf(id, 1), tt.roster)
				if (first.ID == second.ID) != tt.sameVM || (first.FailureDomain == second.FailureDomain) != tt.sameDomain {
					t.Fatalf("%s: homes %v and %v", id, first, second)
				}
			}
		})
	}
}
