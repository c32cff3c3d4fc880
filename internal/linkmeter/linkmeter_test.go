package linkmeter

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

func TestRatesAreThoseOfThePeriod(t *testing.T) {
	r := metrics.NewRegistry()
	m, now := New(r), time.Unix(1000, 0)
	m.Sent(Gossip, 4000)
	before := m.Read(now)
	m.Sent(Gossip, 1000)
	m.Sent(Servers, 250)
	m.Received(Callers, 500)
	sent, received := m.Read(now.Add(2 * time.Second)).Rates(before)
	if sent != 5000 || received != 2000 {
		t.Errorf("%v bits a second sent and %v received, want 5000 and 2000", sent, received)
	}
	if sent, received = before.Rates(before); sent != 0 || received != 0 {
		t.Errorf("%v and %v in no time", sent, received)
	}
	if got := r.GetAll()["link_sent.gossip"]["value"]; got != int64(5000) {
		t.Errorf("metric is %v", got)
	}
	var none *Meter
	none.Sent(Gossip, 1)
	none.Received(Gossip, 1)
}
