package rendezvous

import (
	"fmt"
	"testing"
)

func choose(key string, members []string) string {
	best := members[0]
	for _, m := range members[1:] {
		if NewKey(key).Score(m) > NewKey(key).Score(best) {
			best = m
		}
	}
	return best
}

// Keys are spread evenly over members with similar names, and the removal of a member
// moves only its own keys.
func TestScore(t *testing.T) {
	const keys = 7000
	members := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7"}
	count := map[string]int{}
	for i := range keys {
		key := fmt.Sprint("account-", i)
		before, after := choose(key, members), choose(key, members[:6])
		count[before]++
		if before != "vm-7" && after != before {
			t.Errorf("%s moved from %s to %s", key, before, after)
		}
	}
	for _, m := range members {
		// The mean is 1000 keys; 850 is more than 5 standard deviations below it.
		if count[m] < 850 || count[m] > 1150 {
			t.Errorf("%s has %d of %d keys", m, count[m], keys)
		}
	}
}
