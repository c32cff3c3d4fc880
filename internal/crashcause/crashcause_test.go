package crashcause

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/selector"
)

// fakeClock is the clock of all VMs of a test.
type fakeClock struct{ now time.Time }

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1000, 0)} }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// testVM is the table of a VM.
type testVM struct {
	*Table
	changes []Change
}

func newTestVM(c *fakeClock) *testVM {
	vm := &testVM{}
	vm.Table = NewTable(func() time.Time { return c.now }, func(x Change) { vm.changes = append(vm.changes, x) })
	return vm
}

// convictedParts returns the convicted traits, sorted.
func (vm *testVM) convicted() []Trait {
	var out []Trait
	for _, c := range vm.Convictions() {
		out = append(out, c.Trait)
	}
	slices.Sort(out)
	return out
}

func server(n int) selector.ServerKey {
	return selector.ServerKey{ID: backend.ID(fmt.Sprint("engine-", n)), Started: int64(n)}
}

// traits returns traits with a content of its own for each number.
func traits(content int, parts ...string) Traits {
	x := Traits{Content: NewTrait(nil, "content", fmt.Sprint(content))}
	for _, p := range parts {
		x.Parts = append(x.Parts, NewTrait(nil, "part", p))
	}
	return x
}

func part(name string) Trait { return NewTrait(nil, "part", name) }

// run returns a request that was sent some time before the crash.
func (c *fakeClock) run(x Traits, sentBefore time.Duration) Run {
	return Run{Traits: x, Sent: c.now.Add(-sentBefore), Weights: 1}
}

func wantConvicted(t *testing.T, vm *testVM, want ...Trait) {
	t.Helper()
	vm.Settle()
	slices.Sort(want)
	if got := vm.convicted(); !slices.Equal(got, want) {
		t.Errorf("convicted %v, want %v", got, want)
	}
}

func TestPartOfDifferentContentsIsConvicted(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	for i := range minCrashes {
		c.advance(time.Second)
		vm.RecordCrash(server(i), c.now, []Run{
			c.run(traits(i, "first", "deadly"), 100*time.Millisecond),
			c.run(traits(100+i, "first", fmt.Sprint("other-", i)), 100*time.Millisecond),
		})
		c.advance(50 * time.Millisecond)
		vm.RecordSuccess(traits(200+i, "first", "third"), 1)
		wantConvicted(t, vm)
	}
	c.advance(settleTime)
	wantConvicted(t, vm, part("deadly"))
	if len(vm.changes) != 1 || vm.changes[0].Contents != minCrashes || len(vm.changes[0].Crashes) != minCrashes || !vm.changes[0].Part {
		t.Errorf("changes %+v", vm.changes)
	}
	if _, _, ok := vm.Convicted(traits(300, "first", "third")); ok {
		t.Error("a sound request with the same first part is refused")
	}
	if _, left, ok := vm.Convicted(traits(300, "first", "deadly")); !ok || left <= 0 || left > convictionTTL {
		t.Errorf("a request with the part: refused %v, for %v", ok, left)
	}
	c.advance(convictionTTL)
	if _, _, ok := vm.Convicted(traits(300, "first", "deadly")); ok {
		t.Error("the part is refused for ever")
	}
}

// A request that had begun its response before the crash, one that is repeated alone, and
// requests on servers that crash at once don't convict a part.
func TestOrdinaryCrashesConvictNothing(t *testing.T) {
	t.Run("begun", func(t *testing.T) {
		c := newFakeClock()
		vm := newTestVM(c)
		for i := range 2 * minCrashes {
			c.advance(time.Second)
			run := c.run(traits(i, "first"), 100*time.Millisecond)
			run.Begun = true
			vm.RecordCrash(server(i), c.now, []Run{run})
		}
		c.advance(time.Second)
		wantConvicted(t, vm)
	})
	t.Run("at once", func(t *testing.T) {
		c := newFakeClock()
		vm := newTestVM(c)
		for i := range 30 {
			vm.RecordCrash(server(i), c.now.Add(time.Duration(i)*time.Millisecond), []Run{c.run(traits(i, "first"), 100*time.Millisecond)})
			vm.RecordCrash(server(i), c.now.Add(time.Duration(i)*time.Millisecond), []Run{c.run(traits(100, "status"), 100*time.Millisecond)})
		}
		c.advance(time.Second)
		wantConvicted(t, vm)
	})
	t.Run("succeeds in between", func(t *testing.T) {
		c := newFakeClock()
		vm := newTestVM(c)
		for i := range 2 * minCrashes {
			c.advance(time.Second)
			vm.RecordCrash(server(i), c.now, []Run{c.run(traits(100, "first"), 100*time.Millisecond), c.run(traits(i, "first"), 100*time.Millisecond)})
			c.advance(500 * time.Millisecond)
			vm.RecordSuccess(traits(100, "first"), 1)
		}
		wantConvicted(t, vm)
	})
}

func TestRepeatedContentIsConvictedWithoutItsParts(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	for i := range minCrashes {
		c.advance(time.Second)
		vm.RecordCrash(server(i), c.now, []Run{c.run(traits(7, "first", "second"), 100*time.Millisecond)})
	}
	c.advance(settleTime)
	wantConvicted(t, vm, traits(7).Content)
}

func TestCrashesAreCountedAcrossVMs(t *testing.T) {
	c := newFakeClock()
	a, b := newTestVM(c), newTestVM(c)
	content := traits(7)
	for i := range minCrashes {
		c.advance(time.Second)
		from, to := a, b
		if i == 1 {
			from, to = b, a
		}
		from.RecordCrash(server(i), c.now, []Run{c.run(content, 100*time.Millisecond)})
		to.RecordCrash(server(i), c.now, []Run{c.run(content, 100*time.Millisecond)}) // One crash, although both have seen it.
		wantConvicted(t, a)
		to.Apply(from.Notices(OwnDomain, false), "from", true)
	}
	c.advance(settleTime)
	for _, vm := range []*testVM{a, b} {
		wantConvicted(t, vm, content.Content)
	}
	a.RecordSuccess(content, 1)
	wantConvicted(t, a)
	b.Apply(a.Notices(OwnDomain, false), "a", true)
	wantConvicted(t, b)
}

// Old crashes don't count together with new ones.
func TestCrashesExpire(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	for i := range 2 * minCrashes {
		c.advance(evidenceTTL/(minCrashes-1) + time.Second)
		vm.RecordCrash(server(i), c.now, []Run{c.run(traits(7, "first"), 100*time.Millisecond)})
		c.advance(settleTime)
		wantConvicted(t, vm)
	}
}

func TestPartThatCrashesNewWeightsOnlyIsConvicted(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	for i := range minCrashes {
		c.advance(time.Second)
		run := c.run(traits(i, "deadly"), 100*time.Millisecond)
		run.Weights = 2
		vm.RecordCrash(server(i), c.now, []Run{run})
		vm.RecordSuccess(traits(100+i, "deadly"), 1)
	}
	c.advance(settleTime)
	wantConvicted(t, vm, part("deadly"))
	c.advance(time.Second)
	vm.RecordSuccess(traits(200, "deadly"), 1)
	wantConvicted(t, vm, part("deadly"))
	vm.RecordSuccess(traits(201, "deadly"), 2)
	wantConvicted(t, vm)
}

// A part that always came with the deadly one, and was convicted in its place, is accepted
// again once the deadly part crashes a server without it.
func TestWrongConvictionEndsWithBetterExplanation(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	names := []string{"a", "b"}
	for i := range minCrashes {
		c.advance(time.Second)
		vm.RecordCrash(server(i), c.now, []Run{c.run(traits(i, names...), 100*time.Millisecond)})
	}
	c.advance(settleTime)
	vm.Settle()
	wrong := vm.convicted()
	if len(wrong) != 1 {
		t.Fatalf("convicted %v, want one of the two", wrong)
	}
	deadly := names[0]
	if wrong[0] == part(deadly) {
		deadly = names[1]
	}
	c.advance(time.Second)
	vm.RecordCrash(server(minCrashes), c.now, []Run{c.run(traits(minCrashes, deadly), 100*time.Millisecond)})
	c.advance(settleTime)
	wantConvicted(t, vm, part(deadly))
}

// Crashes without the deadly part in their evidence, as its VM was killed before it reported
// or as they have other causes, don't make a part that came along look guiltier.
func TestConvictionSurvivesCrashesWithOtherCauses(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	crash := func(n int, parts ...string) {
		c.advance(time.Second)
		vm.RecordCrash(server(n), c.now, []Run{c.run(traits(n, parts...), 100*time.Millisecond), c.run(traits(100+n, "along"), 100*time.Millisecond)})
		c.advance(settleTime)
	}
	for i := range minCrashes {
		crash(i, "along", "deadly")
	}
	wantConvicted(t, vm, part("deadly"))
	for i := range minCrashes - 1 {
		crash(minCrashes+i, "other")
		wantConvicted(t, vm, part("deadly"))
	}
}

// Of two parts that always came together, the wrong one may be convicted, or take the place of
// the other. One more crash is then enough to convict the other again.
func TestClearedPartIsConvictedAgainByOneCrash(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	crash := func(n int, parts ...string) {
		c.advance(time.Second)
		vm.RecordCrash(server(n), c.now, []Run{c.run(traits(n, parts...), 100*time.Millisecond)})
		c.advance(settleTime)
		vm.Settle()
	}
	for i := range minCrashes {
		crash(i, "a", "b")
	}
	deadly, along := "a", "b"
	if slices.Equal(vm.convicted(), []Trait{part("b")}) {
		deadly, along = "b", "a"
	}
	wantConvicted(t, vm, part(deadly))
	crash(minCrashes, along)
	wantConvicted(t, vm, part(along))
	crash(minCrashes+1, deadly)
	wantConvicted(t, vm, part(along), part(deadly))
	vm.RecordSuccess(traits(100, along), 1)
	wantConvicted(t, vm, part(deadly))
}

// A VM learns late that a request with the part succeeded elsewhere while the last server ran,
// before it crashed.
func TestLateReportOfSuccessEndsConviction(t *testing.T) {
	c := newFakeClock()
	a, b := newTestVM(c), newTestVM(c)
	for i := range minCrashes {
		c.advance(time.Second)
		if i == minCrashes-1 {
			b.RecordSuccess(traits(100, "rare"), 1)
		}
		c.advance(50 * time.Millisecond)
		a.RecordCrash(server(i), c.now, []Run{c.run(traits(i, "rare"), 100*time.Millisecond)})
		b.Apply(a.Notices(OwnDomain, false), "a", true)
	}
	c.advance(settleTime)
	wantConvicted(t, a, part("rare"))
	b.Apply(a.Notices(OwnDomain, false), "a", true)
	wantConvicted(t, b)
	a.Apply(b.Notices(OwnDomain, false), "b", true)
	wantConvicted(t, a)
}

// A VM that had a success before it learns of the crashes tells the others of it.
func TestVMReportsEarlierSuccessOfReportedParts(t *testing.T) {
	c := newFakeClock()
	a, b := newTestVM(c), newTestVM(c)
	a.RecordCrash(server(1), c.now, []Run{c.run(traits(1, "rare"), 100*time.Millisecond)})
	b.RecordSuccess(traits(100, "rare"), 1)
	c.advance(50 * time.Millisecond)
	if !b.Apply(a.Notices(OwnDomain, false), "a", true) {
		t.Error("the success isn't to be reported soon")
	}
	a.Apply(b.Notices(OwnDomain, false), "b", true)
	if a.suspected[part("rare")] {
		t.Error("the part is still suspected")
	}
}

// A request that was sent again and again and a sound one with the same part were on the
// servers that crashed: only the content is convicted.
func TestPartOfOneRepeatedContentIsNotConvicted(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	for i := range 2 * minCrashes {
		c.advance(time.Second)
		vm.RecordCrash(server(i), c.now, []Run{c.run(traits(7, "first"), 100*time.Millisecond), c.run(traits(100+i, "first"), 100*time.Millisecond)})
	}
	c.advance(settleTime)
	wantConvicted(t, vm, traits(7).Content)
}

func TestTwoDeadlyPartsAreConvicted(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	for i := range 2 * minCrashes {
		c.advance(time.Second)
		name := []string{"deadly-1", "deadly-2"}[i%2]
		vm.RecordCrash(server(i), c.now, []Run{c.run(traits(i, "first", name), 100*time.Millisecond), c.run(traits(100+i, "first", fmt.Sprint("rare-", i)), 100*time.Millisecond)})
		c.advance(200 * time.Millisecond)
		vm.RecordSuccess(traits(200+i, "first", "third"), 1)
	}
	c.advance(settleTime)
	wantConvicted(t, vm, part("deadly-1"), part("deadly-2"))
}

func TestEvidenceIsBounded(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	for i := range minCrashes {
		c.advance(time.Second)
		vm.RecordCrash(server(i), c.now, []Run{c.run(traits(i, "deadly"), 100*time.Millisecond)})
	}
	c.advance(settleTime)
	vm.Settle()
	var many []Run
	for i := range 2 * maxRunsPerCrash {
		many = append(many, c.run(traits(i, fmt.Sprint("part-", i)), 100*time.Millisecond))
	}
	for i := range 2 * maxCrashes {
		c.advance(time.Millisecond)
		vm.RecordCrash(server(100+i), c.now, many)
	}
	if n := len(vm.crashes); n > maxCrashes {
		t.Errorf("%d crashes are kept", n)
	}
	for _, x := range vm.crashes {
		if len(x.runs) > maxRunsPerCrash {
			t.Fatalf("%d requests are kept of a crash", len(x.runs))
		}
	}
	if _, _, ok := vm.Convicted(traits(-1, "deadly")); !ok {
		t.Error("a flood of other crashes ended the conviction")
	}
	data, err := json.Marshal(vm.Notices(OwnDomain, true))
	if err != nil || len(data) > 6000 {
		t.Errorf("a message has %d bytes of evidence, err %v", len(data), err)
	}
}

// A VM that was cut off while a part was convicted refuses it soon after, and so does one that
// restarts, if only a relay repeats what it knows.
func TestRelayRepeatsConvictions(t *testing.T) {
	c := newFakeClock()
	relay := newTestVM(c)
	for i := range minCrashes {
		c.advance(time.Second)
		relay.RecordCrash(server(i), c.now, []Run{c.run(traits(i, "deadly"), 100*time.Millisecond)})
	}
	c.advance(time.Minute)
	relay.Settle()
	c.advance(announceTime)
	for _, scope := range []Scope{OwnDomain, OtherDomains} {
		late := newTestVM(c)
		late.Apply(relay.Notices(scope, true), "relay", scope == OwnDomain)
		wantConvicted(t, late, part("deadly"))
		if relay.Notices(scope, true) != nil {
			t.Error("the conviction is in two messages in a row")
		}
	}
}

// All VMs come to the same convictions in whatever order and however often they receive the
// evidence, which is the deadly part alone.
func TestVMsAgreeOnTheCause(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("all VMs convict the deadly part and nothing else", prop.ForAll(func(seed int64) string {
		rng := rand.New(rand.NewSource(seed))
		c := newFakeClock()
		vms := make([]*testVM, 2+rng.Intn(6))
		for i := range vms {
			vms[i] = newTestVM(c)
		}
		gossip := func(loss float64) {
			for i, from := range vms {
				n := from.Notices(OwnDomain, i == 0)
				for j, to := range vms {
					if i != j && rng.Float64() >= loss {
						to.Apply(n, fmt.Sprint("vm-", i), true)
					}
				}
			}
			for _, vm := range vms {
				vm.Settle()
			}
		}
		serial := 0
		for crashed := range 12 {
			for range 1 + rng.Intn(6) { // Sound requests succeed.
				serial++
				vms[rng.Intn(len(vms))].RecordSuccess(traits(serial, "first", fmt.Sprint("sound-", rng.Intn(4))), 1)
			}
			deadlyVM := rng.Intn(len(vms))
			ordinary := crashed%4 == 3
			if ordinary { // A part of which only crashes are known can't be told from a deadly one.
				for sound := range 4 {
					serial++
					vms[rng.Intn(len(vms))].RecordSuccess(traits(serial, "first", fmt.Sprint("sound-", sound)), 1)
				}
			}
			for i, vm := range vms {
				var runs []Run
				for range rng.Intn(4) {
					serial++
					runs = append(runs, c.run(traits(serial, "first", fmt.Sprint("sound-", rng.Intn(4))), time.Duration(rng.Intn(400))*time.Millisecond))
				}
				if i == deadlyVM && !ordinary {
					serial++
					runs = append(runs, c.run(traits(serial, "first", "deadly"), 300*time.Millisecond))
				}
				if len(runs) > 0 {
					vm.RecordCrash(server(crashed), c.now.Add(time.Duration(rng.Intn(20))*time.Millisecond), runs)
				}
			}
			for range 4 {
				c.advance(150 * time.Millisecond)
				gossip(0.2)
			}
		}
		for range 12 {
			c.advance(500 * time.Millisecond)
			gossip(0)
		}
		for i, vm := range vms {
			if got := vm.convicted(); !slices.Equal(got, []Trait{part("deadly")}) {
				return fmt.Sprintf("VM %d of %d convicts %v", i, len(vms), got)
			}
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
}
