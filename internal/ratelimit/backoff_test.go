package ratelimit

import (
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/selector"
)

func TestLatestEndOfBackoffsCounts(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := NewTable("vm", func() time.Time { return now })
	key := selector.ServerKey{ID: "s", Started: 1}
	if left := table.RecordBackoff(key, 3*time.Second); left != 3*time.Second {
		t.Errorf("left %v", left)
	}
	now = now.Add(time.Second)
	if left := table.RecordBackoff(key, 100*time.Millisecond); left != 2*time.Second || table.Backoff(key).Allows(0) {
		t.Errorf("a shorter time leaves %v", left)
	}
	table.RecordAccepted(key, now) // Its request was sent before.
	if left := table.RecordBackoff(key, 5*time.Second); left != 5*time.Second || table.BackoffCount() != 1 {
		t.Errorf("a longer time leaves %v", left)
	}
	if !table.Backoff(selector.ServerKey{ID: "s", Started: 2}).Allows(9) {
		t.Error("the next run of the server is bound")
	}
	if left := table.RecordBackoff(key, 1e9*time.Second); left != maxBackoff {
		t.Errorf("an endless time leaves %v", left)
	}
}

func TestServerIsTriedAfterItsBackoff(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := NewTable("vm", func() time.Time { return now })
	key := selector.ServerKey{ID: "s"}
	table.RecordBackoff(key, time.Second)
	before := now
	now = now.Add(time.Second)
	if b := table.Backoff(key); !b.Allows(0) || b.Allows(trialRequests) || table.BackoffCount() != 0 {
		t.Errorf("at the end: %+v", b)
	}
	table.RecordAccepted(key, before)
	if table.Backoff(key).Allows(trialRequests) {
		t.Error("the response to an earlier request ends the trial")
	}
	table.RecordAccepted(key, now)
	if b := table.Backoff(key); !b.Allows(100) {
		t.Errorf("after a request was accepted: %+v", b)
	}
	table.RecordBackoff(key, time.Second)
	table.Prune(fleet.NewDirectory(time.Second).View())
	if !table.Backoff(key).Allows(0) {
		t.Error("the back-off of a server that has ended is kept")
	}
}

func TestBackoffValues(t *testing.T) {
	for _, x := range []struct {
		values []string
		want   time.Duration
		valid  bool
	}{
		{nil, 0, true}, {[]string{"0"}, 0, true}, {[]string{"0.3"}, 300 * time.Millisecond, true}, {[]string{" 2 "}, 2 * time.Second, true},
		{[]string{"2", "5"}, 5 * time.Second, true}, {[]string{"soon", "5"}, 5 * time.Second, true}, {[]string{"-1"}, 0, false},
		{[]string{"NaN"}, 0, false}, {[]string{"Sat, 05 Dec 2026 06:00:00 GMT"}, 0, false}, {[]string{"1e12"}, maxBackoff, true},
	} {
		got, err := ParseBackoff(x.values)
		if got != x.want || (err == nil) != x.valid {
			t.Errorf("%q: %v, %v", x.values, got, err)
		}
	}
}
