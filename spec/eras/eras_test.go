package eras

import (
	"testing"

	"papayaspan.dev/papayaspan/spec/explore"
)

func TestLeaseAcrossEras(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		variant Variant
		sound   bool
	}{
		{"eras with a resignation", Variant{Restores: 1, Writes: 2, Seconds: 2, Resigns: true}, true},
		{"eras with two restores", Variant{Restores: 2, Writes: 2, Seconds: 2}, true},
		{"row versions without eras", Variant{IgnoreEras: true, Restores: 1, Writes: 2, Seconds: 3}, false},
		{"restored rows trusted as current ones", Variant{TrustRestoredRows: true, Restores: 1, Writes: 2, Seconds: 3}, false},
	} {
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
