package order

import (
	"testing"

	"papayaspan.dev/papayaspan/spec/explore"
)

func TestOrders(t *testing.T) {
	tests := []struct {
		desc    string
		variant Variant
		sound   bool
	}{
		{"engine that ignores fencing", Variant{}, true},
		{"engine that checks fencing", Variant{ChecksFencing: true}, true},
		{"no wait after a take-over, engine ignores fencing", Variant{NoTakeoverWait: true}, false},
		{"unbounded delay, engine ignores fencing", Variant{UnboundedDelay: true}, false},
		{"relative orders", Variant{ChecksFencing: true, RelativeOrders: true}, false},
		{"no read-back", Variant{NoReadBack: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			r := explore.Run(Model(tt.variant))
			t.Log(r)
			if tt.sound && (r.Violation != nil || !r.Complete) {
				t.Errorf("the protocol was refuted or not explored to its end")
			}
			if !tt.sound && r.Violation == nil {
				t.Errorf("the checker did not refute the variant")
			}
		})
	}
}
