package crashcause

import "time"

const (
	// muchEvidence is the number of traits in the evidence from which convictions are derived at most
	// once per minDeriveInterval. With a third of the engines of a deployment down, every digest
	// brings evidence, and deriving at once took a quarter of the VMs' processor time.
	muchEvidence      = 128
	minDeriveInterval = 250 * time.Millisecond
)

// update applies a change of the evidence. If change returns true, it derives the
// convictions again, now or with a later update, and reports their changes.
func (t *Table) update(source string, change func() bool) {
	t.mu.Lock()
	var changes []Change
	t.dirty = change() || t.dirty
	if now := t.now(); t.dirty && (t.evidence() < muchEvidence || now.Sub(t.derivedAt) >= minDeriveInterval) {
		t.dirty, t.derivedAt = false, now
		changes = t.reconsider()
	}
	t.mu.Unlock()
	for _, c := range changes {
		c.Source = source
		t.changed(c)
	}
}

// evidence returns the number of traits of all requests on crashed servers.
func (t *Table) evidence() int {
	n := 0
	for _, c := range t.crashes {
		n += len(c.runs) + c.parts
	}
	return n
}
