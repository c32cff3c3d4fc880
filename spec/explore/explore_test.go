package explore

import (
	"strconv"
	"testing"

	"github.com/pkg/errors"
)

func counter(limit int) Model[int] {
	return Model[int]{
		Initial: []int{0},
		Next: func(n int) []Step[int] {
			return []Step[int]{{"add 1", (n + 1) % 10}, {"add 2", (n + 2) % 10}}
		},
		Key: strconv.Itoa,
		Invariant: func(n int) error {
			if n > limit {
				return errors.Errorf("%d exceeds %d", n, limit)
			}
			return nil
		},
		MaxStates: 100,
	}
}

func TestRun(t *testing.T) {
	if r := Run(counter(9)); r.Violation != nil || !r.Complete || r.States != 10 {
		t.Errorf("model without a violation: %v", r)
	}
	if r := Run(counter(3)); r.Violation == nil || len(r.Trace) != 3 {
		t.Errorf("model with a violation: %v", r)
	}
}
