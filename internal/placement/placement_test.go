package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/order"
)

const (
	tick     = 500 * time.Millisecond
	loadTime = 2500 * time.Millisecond
)

// simulation is a fleet of engines that carry out changes. An engine that loads
// a model serves its other models meanwhile.
type simulation struct {
	rnd     *rand.Rand
	plan    func(Snapshot) []Change
	snap    Snapshot
	loading map[backend.ID]Change
	done    map[backend.ID]time.Time
	changes int
}

func newSimulation(seed int64, plan func(Snapshot) []Change) *simulation {
	s := &simulation{rnd: rand.New(rand.NewSource(seed)), plan: plan, loading: map[backend.ID]Change{}, done: map[backend.ID]time.Time{}}
	s.snap.Now = time.Unix(0, 0)
	models := []string{"m0", "m1", "m2", "m3"}[:2+s.rnd.Intn(3)]
	for _, name := range models {
		s.snap.Models = append(s.snap.Models, Model{Name: name, Version: "v1", Demand: 0.5 + 2*s.rnd.Float64()})
	}
	for i := range 14 {
		e := Engine{ID: backend.ID(fmt.Sprintf("e%02d", i)), Models: models, Slots: 1, Holds: order.Weights{}}
		if i < 12 {
			e.Holds[models[i%len(models)]] = "v1"
		}
		s.snap.Engines = append(s.snap.Engines, e)
	}
	return s
}

func (s *simulation) copies(model string) int {
	n := 0
	for _, e := range s.snap.Engines {
		if e.Holds[model] != "" {
			n++
		}
	}
	return n
}

func (s *simulation) total() float64 {
	n := 0
	for _, m := range s.snap.Models {
		n += s.copies(m.Name)
	}
	return float64(n)
}

// step passes one tick: loads end, the planner changes the fleet.
func (s *simulation) step() error {
	s.snap.Now = s.snap.Now.Add(tick)
	for i, e := range s.snap.Engines {
		if at, ok := s.done[e.ID]; ok && !s.snap.Now.Before(at) {
			s.snap.Engines[i].Holds = maps.Clone(s.loading[e.ID].Desired)
			delete(s.done, e.ID)
			delete(s.loading, e.ID)
		}
	}
	before := map[string]int{}
	for _, m := range s.snap.Models {
		before[m.Name] = s.copies(m.Name)
	}
	for _, c := range s.plan(s.snap) {
		s.apply(c)
	}
	if len(s.loading) > 3 {
		return errors.Errorf("%d engines load at once", len(s.loading))
	}
	for _, m := range s.snap.Models {
		if before[m.Name] > 0 && s.copies(m.Name) == 0 {
			return errors.Errorf("the last copy of %s was taken out", m.Name)
		}
	}
	return nil
}

func (s *simulation) apply(c Change) {
	s.changes++
	for i, e := range s.snap.Engines {
		if e.ID != c.Engine {
			continue
		}
		left := order.Weights{}
		for m, v := range e.Holds {
			if c.Desired[m] == v {
				left[m] = v
			}
		}
		s.snap.Engines[i].Holds = left
		s.loading[e.ID] = c
		s.done[e.ID] = s.snap.Now.Add(loadTime)
	}
}

func (s *simulation) run(d time.Duration, each func() error) error {
	for end := s.snap.Now.Add(d); s.snap.Now.Before(end); {
		if err := s.step(); err != nil {
			return err
		}
		if err := each(); err != nil {
			return err
		}
	}
	return nil
}

func nothing() error { return nil }

// satisfied reports a model with too few copies, or with none of the wanted
// version.
func (s *simulation) satisfied() error {
	for _, m := range s.snap.Models {
		want := int(math.Ceil(m.Demand))
		for _, e := range s.snap.Engines {
			if e.Holds[m.Name] == m.Version {
				want--
			}
		}
		if want > 0 {
			return errors.Errorf("%s lacks %d copies of %s", m.Name, want, m.Version)
		}
	}
	return nil
}

// faults runs with demand that jumps, engines that come back empty and new
// weights versions, then settles.
func faults(s *simulation) error {
	err := s.run(3*time.Minute, func() error {
		m := &s.snap.Models[s.rnd.Intn(len(s.snap.Models))]
		switch s.rnd.Intn(40) {
		case 0:
			m.Demand = 3 * s.rnd.Float64()
		case 1:
			m.Version = fmt.Sprint("v", s.rnd.Intn(100))
		case 2:
			s.crash()
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := s.run(4*time.Minute, nothing); err != nil {
		return err
	}
	return s.satisfied()
}

func (s *simulation) crash() {
	e := &s.snap.Engines[s.rnd.Intn(len(s.snap.Engines))]
	e.Holds = order.Weights{}
	delete(s.done, e.ID)
	delete(s.loading, e.ID)
}

// flapping runs with demand that takes every engine and swings by more than one
// engine for each model.
func flapping(s *simulation) error {
	if err := s.run(2*time.Minute, nothing); err != nil {
		return err
	}
	start := s.changes
	base := make([]float64, len(s.snap.Models))
	for i, m := range s.snap.Models {
		base[i] = float64(s.copies(m.Name))
	}
	base[0] += float64(len(s.snap.Engines)) - s.total()
	err := s.run(5*time.Minute, func() error {
		for i := range s.snap.Models {
			s.snap.Models[i].Demand = base[i] - 0.5 + 1.4*(s.rnd.Float64()-0.5)
		}
		return nil
	})
	if n := s.changes - start; err == nil && n > 2*len(s.snap.Models) {
		err = errors.Errorf("%d changes while the demand hardly changed", n)
	}
	return err
}

// rollout brings out new weights with spare slots in the fleet: no model has
// fewer copies at any time than it had before or than its demand asks for.
func rollout(s *simulation) error {
	if err := s.run(3*time.Minute, nothing); err != nil {
		return err
	}
	m := &s.snap.Models[0]
	need := int(math.Ceil(m.Demand))
	m.Version = "v2"
	err := s.run(5*time.Minute, func() error {
		if n := s.copies(m.Name); n < need {
			return errors.Errorf("%d copies of %s during the rollout, demand asks for %d", n, m.Name, need)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return s.satisfied()
}

var scenarios = map[string]func(*simulation) error{"faults": faults, "flapping": flapping, "rollout": rollout}

func TestPlanner(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 60
	properties := gopter.NewProperties(params)
	for name, scenario := range scenarios {
		properties.Property(name, prop.ForAll(func(seed int64) (string, error) {
			return "", scenario(newSimulation(seed, NewPlanner(DefaultSettings()).Plan))
		}, gen.Int64()))
	}
	properties.TestingRun(t)
}

// naive gives each engine in turn to the model with the greatest unmet demand,
// from scratch at each call.
func naive(s Snapshot) []Change {
	left := map[string]float64{}
	for _, m := range s.Models {
		left[m.Name] = m.Demand
	}
	var changes []Change
	for _, e := range s.Engines {
		best := s.Models[0]
		for _, m := range s.Models {
			if left[m.Name] > left[best.Name] {
				best = m
			}
		}
		left[best.Name]--
		if e.Holds[best.Name] != best.Version {
			changes = append(changes, Change{Engine: e.ID, Desired: order.Weights{best.Name: best.Version}, Model: best.Name})
		}
	}
	return changes
}

// TestNaivePlanner checks that the properties can fail.
func TestNaivePlanner(t *testing.T) {
	for name, scenario := range scenarios {
		failed := 0
		for seed := range int64(20) {
			if scenario(newSimulation(seed, naive)) != nil {
				failed++
			}
		}
		if failed == 0 {
			t.Errorf("%s passes with a naive planner", name)
		}
		t.Logf("%s: the naive planner fails on %d of 20 seeds", name, failed)
	}
}
