package gateway

import (
	"fmt"
	"testing"
	"time"
)

func TestCrashesAreCountedAcrossVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewCrashCounts(func() time.Time { return now })
	s.RecordCrash("x")
	s.SetPeerCounts("vm-2", map[string]int{"x": 2, "y": 1})
	if got := s.Count("x"); got != 3 {
		t.Errorf("%d crashes, want 3", got)
	}
	s.SetPeerCounts("vm-2", nil)
	if got := s.Count("x"); got != 1 {
		t.Errorf("%d crashes after the other VM reported none, want 1", got)
	}
	s.RecordSuccess("x")
	if s.Count("x") != 0 || len(s.LocalCounts()) != 0 {
		t.Error("a content that was served still has a crash count")
	}
	s.RecordCrash("z")
	now = now.Add(crashRetention)
	if s.Count("z") != 0 || len(s.LocalCounts()) != 0 {
		t.Error("an expired crash still counts")
	}
	for i := range 2 * maxCrashContents {
		s.RecordCrash(fmt.Sprint(i))
	}
	if n := len(s.LocalCounts()); n > maxCrashContents {
		t.Errorf("%d contents are kept", n)
	}
}
