package memplatform

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
)

var (
	_ platform.Table      = (*Platform)(nil)
	_ platform.Objects    = Objects{}
	_ platform.Membership = (*Platform)(nil)
	_ platform.Weights    = (*Platform)(nil)
)

func TestCommit(t *testing.T) {
	tests := []struct {
		desc    string
		faults  Faults
		check   platform.Version
		wantErr error
		want    platform.Version
	}{
		{"no fault", Faults{}, 0, nil, 1},
		{"conflict has no effect", Faults{}, 3, platform.ErrConflict, 0},
		{"down has no effect", Faults{Down: true}, 0, platform.ErrUnavailable, 0},
		{"lost response keeps the effect", Faults{LoseAnswers: 1}, 0, platform.ErrOutcomeUnknown, 1},
		{"dropped write has no effect", Faults{DropWrites: 1}, 0, platform.ErrOutcomeUnknown, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			ctx := context.Background()
			p := New()
			p.SetFaults(tt.faults)
			err := p.Commit(ctx, []platform.Check{{Key: "a", Version: tt.check}}, []platform.Write{{Key: "a", Value: []byte("x")}})
			if !errors.Is(err, tt.wantErr) {
				t.Errorf("Commit = %v, want %v", err, tt.wantErr)
			}
			p.SetFaults(Faults{})
			rows, err := p.Get(ctx, "a")
			if err != nil || rows[0].Version != tt.want {
				t.Errorf("row %+v, %v; want version %d", rows, err, tt.want)
			}
		})
	}
}
