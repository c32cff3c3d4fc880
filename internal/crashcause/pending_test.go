package crashcause

import (
	"testing"
	"time"
)

// Guards against requests with a part that are neither held back nor refused while the evidence
// against it settles, and against a conviction that is lost because Pending was asked just after that.
func TestPartIsPendingUntilEvidenceSettles(t *testing.T) {
	c := newFakeClock()
	vm := newTestVM(c)
	for i := range minCrashes {
		c.advance(settleTime)
		vm.Settle()
		if vm.Pending(traits(300, "deadly")) {
			t.Errorf("the part is pending after %d crashes", i)
		}
		vm.RecordCrash(server(i), c.now, []Run{c.run(traits(i, "first", "deadly"), 100*time.Millisecond)})
		vm.RecordSuccess(traits(200+i, "first"), 1)
	}
	if !vm.Pending(traits(300, "first", "deadly")) || vm.Pending(traits(300, "first")) {
		t.Error("want the part pending, and not the one that has succeeded")
	}
	c.advance(settleTime)
	vm.pending = nil
	vm.Pending(traits(300, "deadly"))
	wantConvicted(t, vm, part("deadly"))
	if vm.Pending(traits(300, "deadly")) {
		t.Error("the part is still pending after its conviction")
	}
}
