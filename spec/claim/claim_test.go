package claim

import (
	"testing"

	"papayaspan.dev/papayaspan/spec/explore"
)

func TestAtMostOnce(t *testing.T) {
	tests := []struct {
		desc    string
		variant Variant
		sound   bool
	}{
		{"the product's protocol", Sound, true},
		{"claim after dispatch", ClaimAfterDispatch, false},
		{"second dispatch after the claim is abandoned", DispatchAfterLapse, false},
		{"dispatch after a commit with unknown outcome", DispatchOnUnknownOutcome, false},
		{"release of a request that was sent", ReleaseAfterSend, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
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
