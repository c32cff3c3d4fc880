package verdict

import (
	"testing"

	"github.com/pkg/errors"
)

func TestOf(t *testing.T) {
	tests := []struct {
		desc string
		err  error
		want Verdict
	}{
		{"nil error ran", nil, Ran},
		{"plain error may have run", errors.New("reset"), MayHaveRun},
		{"refusal did not run", Refuse(429, "rate_exceeded", "over rate"), NotRun},
		{"wrapped refusal did not run", errors.Wrap(Refuse(503, "queue_full", "full"), "admit"), NotRun},
		{"zero error may have run", &Error{}, MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := Of(tt.err); got != tt.want {
				t.Errorf("Of(%v) = %v, want %v", tt.err, got, tt.want)
			}
		})
	}
}
