package selector

import (
	"testing"
	"time"
)

// A VM that sends one request at a time notices that no server responds, also if each request ends soon
// and goes on at another server.
func TestUnheardWithOneRequestAtATime(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute, func() time.Time { return now })
	wait := func(d time.Duration, want bool, what string) {
		t.Helper()
		now = now.Add(d)
		if got := table.Unheard(); got != want {
			t.Errorf("%s: %v", what, got)
		}
	}
	send := func(id string) *InFlight { return table.Begin(&Candidate{Entry: engine(id, "a", 1)}, nil, 60_000) }
	wait(time.Minute, false, "no request")
	r := send("x")
	wait(900*time.Millisecond, false, "silent for 0.9 s")
	wait(200*time.Millisecond, true, "silent for 1.1 s")
	r.DataReceived()
	wait(0, false, "data has arrived")
	wait(1100*time.Millisecond, true, "silent again")
	table.RecordHeard()
	wait(500*time.Millisecond, false, "another server was heard")
	r.End(Failed)
	r = send("x")
	wait(400*time.Millisecond, false, "silent for 0.4 s since then")
	r.End(Failed)
	r = send("y")
	wait(400*time.Millisecond, false, "silent for 0.8 s at two servers")
	wait(200*time.Millisecond, true, "two servers, one after the other")
	r.End(Failed)
	wait(900*time.Millisecond, true, "requests ended without a response")
	wait(200*time.Millisecond, false, "no request for a second")
	r = send("z")
	wait(300*time.Millisecond, false, "the next request")
	r.End(Failed)
	wait(600*time.Millisecond, false, "0.9 s after it was sent")
	wait(300*time.Millisecond, true, "1.2 s after it was sent")
	r = send("x")
	r.FirstByte(60_000)
	r.End(Succeeded)
	wait(500*time.Millisecond, false, "a response")
	wait(time.Minute, false, "no request since a response")
}
