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

// simulation is a simulated fleet of engines that apply the planner's changes. An
// engine that loads a model keeps serving its other models.
type simulation struct {
	rnd      *rand.Rand
	plan     func(Snapshot) []Change
	snap     Snapshot
	loading  map[backend.ID]Change
	loadEnds map[backend.ID]time.Time
	changes  int
}

func newSimulation(seed int64, plan func(Snapshot) []Change) *simulation {
	s := &simulation{rnd: rand.New(rand.NewSource(seed)), plan: plan, loading: map[backend.ID]Change{}, loadEnds: map[backend.ID]time.Time{}}
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

func (s *simulation) copyCount(model string) int {
	n := 0
	for _, e := range s.snap.Engines {
		if e.Holds[model] != "" {
			n++
		}
	}
	return n
}

func (s *simulation) totalCopies() float64 {
	n := 0
	for _, m := range s.snap.Models {
		n += s.copyCount(m.Name)
	}
	return float64(n)
}

// step advances the time by one tick, ends the loads that are due and applies
// the planner's changes. It reports too many concurrent loads or a model that
// lost its last copy.
func (s *simulation) step() error {
	s.snap.Now = s.snap.Now.Add(tick)
	for i, e := range s.snap.Engines {
		if at, ok := s.loadEnds[e.ID]; ok && !s.snap.Now.Before(at) {
			s.snap.Engines[i].Holds = maps.Clone(s.loading[e.ID].Desired)
			delete(s.loadEnds, e.ID)
			delete(s.loading, e.ID)
		}
	}
	before := map[string]int{}
	for _, m := range s.snap.Models {
		before[m.Name] = s.copyCount(m.Name)
	}
	for _, c := range s.plan(s.snap) {
		s.apply(c)
	}
	if len(s.loading) > 3 {
		return errors.Errorf("%d engines load at once", len(s.loading))
	}
	for _, m := range s.snap.Models {
		if before[m.Name] > 0 && s.copyCount(m.Name) == 0 {
			return errors.Errorf("the last copy of %s was evicted", m.Name)
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
		remaining := order.Weights{}
		for m, v := range e.Holds {
			if c.Desired[m] == v {
				remaining[m] = v
			}
		}
		s.snap.Engines[i].Holds = remaining
		s.loading[e.ID] = c
		s.loadEnds[e.ID] = s.snap.Now.Add(loadTime)
	}
}

func (s *simulation) run(d time.Duration, afterStep func() error) error {
	for end := s.snap.Now.Add(d); s.snap.Now.Before(end); {
		if err := s.step(); err != nil {
			return err
		}
		if err := afterStep(); err != nil {
			return err
		}
	}
	return nil
}

func noCheck() error { return nil }

// checkTargets returns an error for a model with fewer copies of the wanted
// version than its demand requires.
func (s *simulation) checkTargets() error {
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

// faults changes demand and weights versions at random and restarts engines with
// an empty memory, then lets the fleet settle and checks that it meets demand.
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
	if err := s.run(4*time.Minute, noCheck); err != nil {
		return err
	}
	return s.checkTargets()
}

func (s *simulation) crash() {
	e := &s.snap.Engines[s.rnd.Intn(len(s.snap.Engines))]
	e.Holds = order.Weights{}
	delete(s.loadEnds, e.ID)
	delete(s.loading, e.ID)
}

// flapping checks that demand which needs every engine and fluctuates by more
// than one engine per model causes few changes.
func flapping(s *simulation) error {
	if err := s.run(2*time.Minute, noCheck); err != nil {
		return err
	}
	before := s.changes
	base := make([]float64, len(s.snap.Models))
	for i, m := range s.snap.Models {
		base[i] = float64(s.copyCount(m.Name))
	}
	base[0] += float64(len(s.snap.Engines)) - s.totalCopies()
	err := s.run(5*time.Minute, func() error {
		for i := range s.snap.Models {
			s.snap.Models[i].Demand = base[i] - 0.5 + 1.4*(s.rnd.Float64()-0.5)
		}
		return nil
	})
	if n := s.changes - before; err == nil && n > 2*len(s.snap.Models) {
		err = errors.Errorf("%d changes under fluctuating demand", n)
	}
	return err
}

// rollout releases new weights of a model while the fleet has free slots and
// checks that the model never has fewer copies than its demand requires.
func rollout(s *simulation) error {
	if err := s.run(3*time.Minute, noCheck); err != nil {
		return err
	}
	m := &s.snap.Models[0]
	need := int(math.Ceil(m.Demand))
	m.Version = "v2"
	err := s.run(5*time.Minute, func() error {
		if n := s.copyCount(m.Name); n < need {
			return errors.Errorf("%d copies of %s during the rollout, demand requires %d", n, m.Name, need)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return s.checkTargets()
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

// greedyPlan assigns each engine in turn to the model with the greatest unmet
// demand. It ignores the present placement.
func greedyPlan(s Snapshot) []Change {
	unmet := map[string]float64{}
	for _, m := range s.Models {
		unmet[m.Name] = m.Demand
	}
	var changes []Change
	for _, e := range s.Engines {
		best := s.Models[0]
		for _, m := range s.Models {
			if unmet[m.Name] > unmet[best.Name] {
				best = m
			}
		}
		unmet[best.Name]--
		if e.Holds[best.Name] != best.Version {
			changes = append(changes, Change{Engine: e.ID, Desired: order.Weights{best.Name: best.Version}, Model: best.Name})
		}
	}
	return changes
}

// TestScenariosRejectGreedyPlan checks that each scenario fails for a planner
// that keeps no state, so that TestPlanner can detect faults.
func TestScenariosRejectGreedyPlan(t *testing.T) {
	for name, scenario := range scenarios {
		failed := 0
		for seed := range int64(20) {
			if scenario(newSimulation(seed, greedyPlan)) != nil {
				failed++
			}
		}
		if failed == 0 {
			t.Errorf("%s passes with the greedy planner", name)
		}
		t.Logf("%s: the greedy planner fails on %d of 20 seeds", name, failed)
	}
}
