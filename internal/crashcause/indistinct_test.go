package crashcause

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// crashWith records crashes by requests with the same parts and waits until they count.
func (vm *testVM) crashWith(c *fakeClock, first, n int, parts ...string) {
	for i := range n {
		c.advance(time.Second)
		vm.RecordCrash(server(first+i), c.now, []Run{c.run(traits(first+i, parts...), 100*time.Millisecond)})
	}
	c.advance(settleTime)
	vm.Settle()
}

func (vm *testVM) refuses(parts ...string) bool {
	_, _, refused := vm.Convicted(traits(1000, parts...))
	return refused
}

// Either of two parts that were in all requests may be the deadly one, whatever their hashes.
func TestPartSharedWithCrashingRequestsIsRefusedAlone(t *testing.T) {
	for i := range 20 {
		c := newFakeClock()
		vm := newTestVM(c)
		family, deadly := fmt.Sprint("family-", i), fmt.Sprint("deadly-", i)
		vm.crashWith(c, 0, minCrashes, family, deadly)
		if !vm.refuses(family, deadly) {
			t.Fatal("requests with both parts are not refused")
		}
		if vm.refuses(family, "sound") || vm.refuses("other", deadly) {
			t.Fatal("a request with one of the parts is refused, so that nothing can show which one is deadly")
		}
		vm.RecordBegun(traits(100, family, "sound"), 1)
		if !vm.refuses("other", deadly) || vm.refuses(family) {
			t.Errorf("after a success of %s: %+v", family, vm.Convictions())
		}
		vm.RecordSuccess(traits(101, "other", deadly), 1)
		if vm.refuses("other", deadly) {
			t.Error("a part that succeeds is refused")
		}
	}
}

func TestCrashShowsWhichOfTwoPartsIsDeadly(t *testing.T) {
	for i := range 20 {
		c := newFakeClock()
		vm := newTestVM(c)
		family, second := fmt.Sprint("family-", i), fmt.Sprint("second-", i)
		vm.crashWith(c, 0, minCrashes, family, second)
		vm.crashWith(c, minCrashes, 1, family, "third")
		if !vm.refuses(family, "fourth") || vm.refuses("other", second) {
			t.Errorf("after a crash without %s: %+v", second, vm.Convictions())
		}
	}
}

func TestDeadlyPartBehindManySharedOnesIsFound(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	var shared []string
	for i := range 30 {
		shared = append(shared, fmt.Sprint("shared-", i))
	}
	deadly := append(slices.Clone(shared), "deadly")
	vm.crashWith(c, 0, minCrashes, deadly...)
	if !vm.refuses(deadly...) || vm.refuses(append(slices.Clone(shared), "sound")...) {
		t.Errorf("convictions %+v", vm.Convictions())
	}
}

// A VM that has restarted knows the conviction from the store or its peers, and no crash.
func TestSuccessNarrowsConvictionWithoutItsEvidence(t *testing.T) {
	for _, cleared := range []string{"family", "deadly"} {
		c := newFakeClock()
		a, b, earlier := newTestVM(c), newTestVM(c), newTestVM(c)
		a.crashWith(c, 0, minCrashes, "family", "deadly")
		n := a.Notices(OwnDomain, true)
		n.Crashes = nil
		b.Apply(n, "a", true)
		earlier.Restore(a.Convictions()[0], false, "store")
		left := map[string]string{"family": "deadly", "deadly": "family"}[cleared]
		for _, vm := range []*testVM{b, earlier} {
			c.advance(time.Second)
			if vm.refuses(cleared) || !vm.refuses("family", "deadly") {
				t.Fatalf("adopted %+v", vm.Convictions())
			}
			vm.RecordSuccess(traits(100, cleared), 1)
			if vm.refuses(cleared) || !vm.refuses(left) {
				t.Errorf("after a success of %s: %+v", cleared, vm.Convictions())
			}
		}
		a.Apply(b.Notices(OwnDomain, true), "b", true)
		if a.refuses(cleared) || !a.refuses(left) {
			t.Errorf("the first VM after a success of %s elsewhere: %+v", cleared, a.Convictions())
		}
	}
}

// A conviction of an earlier build names one part only.
func TestConvictionOfEarlierBuildIsJoinedWithOwnEvidence(t *testing.T) {
	c := newFakeClock()
	a, b := newTestVM(c), newTestVM(c)
	a.crashWith(c, 0, minCrashes, "family", "deadly")
	n := a.Notices(OwnDomain, true)
	data, err := json.Marshal(n.Convictions[0])
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	delete(fields, "v")
	delete(fields, "o")
	data, _ = json.Marshal(fields)
	var old ConvictionNotice
	if err := json.Unmarshal(data, &old); err != nil {
		t.Fatal(err)
	}
	b.Apply(&Notices{Crashes: n.Crashes}, "a", true)
	b.Apply(&Notices{Convictions: []ConvictionNotice{old}}, "earlier", true)
	if !b.refuses("family", "deadly") || b.refuses("family") || b.refuses("deadly") {
		t.Errorf("convictions %+v", b.Convictions())
	}
}
