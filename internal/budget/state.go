package budget

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/freshness"
)

// Clone returns a copy that shares no mutable state. The model checker in
// spec/budget works on copies.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.lastChanges = maps.Clone(l.lastChanges)
	c.settled = l.settled.clone()
	c.tenures = maps.Clone(l.tenures)
	for id, t := range c.tenures {
		c.tenures[id] = t.clone()
	}
	return &c
}

func (t *tenure) clone() *tenure {
	c := *t
	if t.bucket != nil {
		b := *t.bucket
		b.holds = slices.Clone(b.holds)
		c.bucket = &b
	}
	return &c
}

func (s settledIDs) clone() settledIDs {
	return settledIDs{set: maps.Clone(s.set), ring: slices.Clone(s.ring), next: s.next}
}

// Key returns a string that identifies the state of the ledger at time now.
// Ledgers with equal keys behave alike from then on if no account is added.
// Times are encoded as ages, capped where a greater age makes no difference. It
// changes nothing.
func (l *Ledger) Key(now time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d/%d", l.self.Incarnation, l.rosterIncarnation)
	if l.view.Roster == nil {
		return b.String()
	}
	evidence := min(now.Sub(l.view.Evidence), freshness.Bound)
	fmt.Fprintf(&b, " roster%d evidence%v config%d/%d", l.view.Roster.Version, evidence, l.newestConfig, l.firstConfig)
	for _, id := range slices.Sorted(maps.Keys(l.tenures)) {
		fmt.Fprintf(&b, " %s%s", id, l.tenures[id].key(now))
	}
	for _, id := range l.settled.ring {
		fmt.Fprintf(&b, " settled%d", id.Seq)
	}
	return b.String()
}

func (t *tenure) key(now time.Time) string {
	if t.bucket == nil {
		since := min(now.Sub(t.learnedAt), takeoverDelay+freshness.Bound)
		return fmt.Sprintf(" removed%t since%v refill%v handover%d", t.removed, since, now.Sub(t.refillFrom), t.minHandover)
	}
	c := t.clone().bucket
	c.advance(now)
	key := fmt.Sprintf(" removed%t level%.4f", t.removed, c.level)
	for _, h := range c.holds {
		key += fmt.Sprintf(" %d:%.4f/%.4f", h.id.Seq, h.tokens, h.refundLimit)
	}
	return key
}
