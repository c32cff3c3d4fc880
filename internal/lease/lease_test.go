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

// process runs a Watcher in small steps, between which it may pause for any
// time, on a clock of its own rate.
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

// advance runs one step of a process: read, observe, send the commit, apply
// it, learn the answer.
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
			p.watcher.Committed(p.attempt, p.sent, s.clock(p))
		}
	}
	p.step = (p.step + 1) % 4
}

func (s *simulation) check() error {
	var holders []Fencing
	for _, p := range s.procs {
		if t := p.watcher.Term(); t.Valid(s.clock(p), 0) {
			holders = append(holders, t.Fencing)
		}
	}
	if len(holders) > 1 {
		return errors.Errorf("at %v the terms %v are valid at once", s.now, holders)
	}
	return nil
}

func simulate(seed int64) (takeOvers Fencing, err error) {
	s := &simulation{rnd: rand.New(rand.NewSource(seed))}
	for i := range 3 {
		rate := 1 + (s.rnd.Float64()-0.5)*clockDrift/2
		s.procs = append(s.procs, &process{watcher: NewWatcher(Holder(fmt.Sprint("p", i)), ttl), rate: rate})
	}
	for range 2000 {
		s.now += time.Duration(s.rnd.ExpFloat64() * float64(ttl) / 15)
		last := s.row.Record.Fencing
		s.advance(s.procs[s.rnd.Intn(len(s.procs))])
		if s.row.Record.Fencing < last {
			return 0, errors.Errorf("fencing fell from %d to %d", last, s.row.Record.Fencing)
		}
		if err := s.check(); err != nil {
			return 0, err
		}
	}
	return s.row.Record.Fencing, nil
}

// TestOneHolder checks that at most one process holds a valid term at any
// moment, with pauses, lost answers, lost commits and clocks that drift.
func TestOneHolder(t *testing.T) {
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

// TestKeeper takes a lease, loses an answer, survives an outage shorter than
// the lease and gives up when it is longer.
func TestKeeper(t *testing.T) {
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

// A holder that says it has given up is followed at once, but only for the
// renewals that it spoke of.
func TestClaimEndsTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	held := Row{Record: Record{Holder: "a", Fencing: 3, Renewals: 7, TTL: time.Second}, Version: 5}
	for _, c := range []struct {
		name  string
		claim Claim
		free  bool
	}{
		{"no claim", Claim{}, false},
		{"given up", Claim{Fencing: 3, Renewals: 7, Until: now}, true},
		{"a renewal may be under way", Claim{Fencing: 3, Renewals: 8, Until: now}, true},
		{"renewed since", Claim{Fencing: 3, Renewals: 6, Until: now}, false},
		{"still acting", Claim{Fencing: 3, Renewals: 7, Until: now.Add(time.Millisecond)}, false},
		{"another term", Claim{Fencing: 2, Renewals: 9, Until: now}, false},
	} {
		w := NewWatcher("b", time.Second)
		w.Heard(c.claim)
		w.Observe(held, now)
		a, ok := w.Next(now)
		if ok != c.free || ok && a.Next.Fencing != 4 {
			t.Errorf("%s: may take over: %v, fencing %d", c.name, ok, a.Next.Fencing)
		}
	}
}

// A holder that resigned doesn't renew the term that others may have followed.
func TestResignedTermIsNotRenewed(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWatcher("a", time.Second)
	w.Observe(Row{}, now)
	a, _ := w.Next(now)
	w.Committed(a, now, now)
	renewal, ok := w.Next(now)
	if !ok {
		t.Fatal("the holder can't renew")
	}
	w.Sent(renewal) // Its answer is lost.
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
		t.Errorf("after the lease lapsed: %v, %+v", ok, a.Next)
	}
}
