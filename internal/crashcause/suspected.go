package crashcause

import "slices"

// Suspected reports whether a trait of a request is suspected of crashing servers, or convicted.
func (t *Table) Suspected(traits Traits) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.matters(traits.Content) || slices.ContainsFunc(traits.Parts, t.matters)
}
