package lease

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/standin/memplatform"
)

const ttl = 3 * time.Second

// process runs a Watcher in small steps, with pauses of any length in between,
// on a clock with its own rate.
type process struct {
	watcher *Watcher
	rate    float64
	step    int
	read    Row
	attempt Attempt
	sent    time.Time
	applied bool
	lost    bool
}

type simulation struct {
	now   time.Duration
	row   Row
	procs []*process
	rnd   *rand.Rand
}

func (s *simulation) clock(p *process) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(s.now) * p.rate))
}

// advance runs one step of a process: read the row, observe it and send the
// commit, apply the commit, receive the response.
func (s *simulation) advance(p *process) {
	switch p.step {
	case 0:
		p.read = s.row
	case 1:
		p.watcher.Observe(p.read, s.clock(p))
		a, ok := p.watcher.Next(s.clock(p))
		if !ok {
			p.step = 0
			return
		}
		p.attempt, p.sent = a, s.clock(p)
	case 2:
		p.lost = s.rnd.Intn(4) == 0
		p.applied = s.row.Version == p.attempt.Version && s.rnd.Intn(5) > 0
		if p.applied {
			s.row = Row{Record: p.attempt.Next, Version: s.row.Version + 1}
		}
	case 3:
		if p.lost {
			p.read = s.row
			p.applied = p.attempt.Applied(p.read)
		}
		if p.applied {
			p.watcher.RecordCommitted(p.attempt, p.sent, s.clock(p))
		}
	}
	p.step = (p.step + 1) % 4
}

// checkOneValidTerm returns an error if several processes hold a valid term.
func (s *simulation) checkOneValidTerm() error {
	var holders []Fencing
	for _, p := range s.procs {
		if t := p.watcher.Term(); t.Valid(s.clock(p), 0) {
			holders = append(holders, t.Fencing)
		}
	}
	if len(holders) > 1 {
		return errors.Errorf("at %v the terms %v are valid at the same time", s.now, holders)
	}
	return nil
}

// simulate runs three processes at random. It returns the last fencing token,
// which counts the changes of holder.
func simulate(seed int64) (takeOvers Fencing, err error) {
	s := &simulation{rnd: rand.New(rand.NewSource(seed))}
	for i := range 3 {
		rate := 1 + (s.rnd.Float64()-0.5)*maxClockDrift/2
		s.procs = append(s.procs, &process{watcher: NewWatcher(Holder(fmt.Sprint("p", i)), ttl), rate: rate})
	}
	for range 2000 {
		s.now += time.Duration(s.rnd.ExpFloat64() * float64(ttl) / 15)
		last := s.row.Record.Fencing
		s.advance(s.procs[s.rnd.Intn(len(s.procs))])
		if s.row.Record.Fencing < last {
			return 0, errors.Errorf("fencing token decreased from %d to %d", last, s.row.Record.Fencing)
		}
		if err := s.checkOneValidTerm(); err != nil {
			return 0, err
		}
	}
	return s.row.Record.Fencing, nil
}

// TestAtMostOneHolder checks that at most one process holds a valid term at any
// moment, with pauses, lost responses, lost commits and clock drift.
func TestAtMostOneHolder(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 300
	properties := gopter.NewProperties(params)
	properties.Property("one valid term", prop.ForAll(func(seed int64) (string, error) {
		fencing, err := simulate(seed)
		if err == nil && fencing < 2 {
			err = errors.New("the lease never changed hands")
		}
		return "", err
	}, gen.Int64()))
	properties.TestingRun(t)
}

// TestKeeperTermAcrossFaults takes a lease although the response is lost, keeps
// it through an outage shorter than the lease, and loses it in a longer one.
// After a release another process takes it at once.
func TestKeeperTermAcrossFaults(t *testing.T) {
	ctx := context.Background()
	p := memplatform.New()
	now := time.Unix(0, 0)
	k := NewKeeper(p, "orders", "vm1", ttl)
	k.now = func() time.Time { return now }
	steps := []struct {
		desc   string
		faults memplatform.Faults
		pass   time.Duration
		valid  bool
	}{
		{"take, answer lost", memplatform.Faults{LoseAnswers: 1}, 0, true},
		{"renew", memplatform.Faults{}, time.Second, true},
		{"renewal dropped", memplatform.Faults{DropWrites: 1}, time.Second, true},
		{"outage within the lease", memplatform.Faults{Down: true}, time.Second, true},
		{"outage past the lease", memplatform.Faults{Down: true}, time.Second, false},
		{"renewed again", memplatform.Faults{}, 0, true},
	}
	for _, tt := range steps {
		now = now.Add(tt.pass)
		p.SetFaults(tt.faults)
		_ = k.Step(ctx)
		if got := k.Term().Valid(now, 0); got != tt.valid {
			t.Errorf("%s: valid = %t, want %t", tt.desc, got, tt.valid)
		}
	}
	k.release()
	other := NewKeeper(p, "orders", "vm2", ttl)
	_ = other.Step(ctx)
	if term := other.Term(); term.Fencing != 2 || k.Term().Fencing != 0 {
		t.Errorf("after a release: %+v, old holder %+v", term, k.Term())
	}
}

// TestClaimAllowsEarlyTakeover checks that the lease of a holder that has
// resigned is taken over at once, but only if the claim covers the last renewal
// in the row.
func TestClaimAllowsEarlyTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	held := Row{Record: Record{Holder: "a", Fencing: 3, Renewals: 7, TTL: time.Second}, Version: 5}
	for _, c := range []struct {
		name  string
		claim Claim
		free  bool
	}{
		{"no claim", Claim{}, false},
		{"resigned", Claim{Fencing: 3, Renewals: 7, Until: now}, true},
		{"a renewal may be in flight", Claim{Fencing: 3, Renewals: 8, Until: now}, true},
		{"renewed after the claim", Claim{Fencing: 3, Renewals: 6, Until: now}, false},
		{"claim not expired", Claim{Fencing: 3, Renewals: 7, Until: now.Add(time.Millisecond)}, false},
		{"another term", Claim{Fencing: 2, Renewals: 9, Until: now}, false},
	} {
		w := NewWatcher("b", time.Second)
		w.RecordClaim(c.claim)
		w.Observe(held, now)
		a, ok := w.Next(now)
		if ok != c.free || ok && a.Next.Fencing != 4 {
			t.Errorf("%s: may take over: %v, fencing %d", c.name, ok, a.Next.Fencing)
		}
	}
}

// TestResignedTermIsNotRenewed checks that a holder that resigned doesn't renew
// its term, since another process may already have taken the lease over.
func TestResignedTermIsNotRenewed(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWatcher("a", time.Second)
	w.Observe(Row{}, now)
	a, _ := w.Next(now)
	w.RecordCommitted(a, now, now)
	renewal, ok := w.Next(now)
	if !ok {
		t.Fatal("the holder can't renew")
	}
	w.RecordSent(renewal) // Its response is lost.
	c := w.Resign(now)
	if c.Fencing != 1 || c.Renewals != renewal.Next.Renewals || !c.Until.Equal(now) || w.Term().Valid(now, 0) {
		t.Errorf("claim %+v", c)
	}
	row := Row{Record: renewal.Next, Version: 9}
	w.Observe(row, now)
	if a, ok := w.Next(now); ok {
		t.Errorf("the holder took %+v after it resigned", a.Next)
	}
	w.Observe(row, now.Add(2*time.Second))
	if a, ok := w.Next(now.Add(2 * time.Second)); !ok || a.Next.Fencing != 2 {
		t.Errorf("after the lease expired: %v, %+v", ok, a.Next)
	}
}
