package gateway

import (
	"fmt"
	"testing"
	"time"
)

func TestSuspectsAreCountedOverVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSuspects(func() time.Time { return now })
	s.Lost("x")
	s.Heard("vm-2", map[string]int{"x": 2, "y": 1})
	if got := s.Count("x"); got != 3 {
		t.Errorf("%d losses, want 3", got)
	}
	s.Heard("vm-2", nil)
	if got := s.Count("x"); got != 1 {
		t.Errorf("%d losses after the other VM forgot, want 1", got)
	}
	s.Served("x")
	if s.Count("x") != 0 || len(s.Own()) != 0 {
		t.Error("a content that was served is still suspected")
	}
	s.Lost("z")
	now = now.Add(suspicionAge)
	if s.Count("z") != 0 || len(s.Own()) != 0 {
		t.Error("an old loss still counts")
	}
	for i := range 2 * maxSuspects {
		s.Lost(fmt.Sprint(i))
	}
	if n := len(s.Own()); n > maxSuspects {
		t.Errorf("%d contents are remembered", n)
	}
}
