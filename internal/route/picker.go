package route

// Picker selects one of the scored candidates. Pick returns the index of the
// selected one; candidates is not empty.
type Picker interface {
	Pick(candidates []Candidate) int
}

// LowestScore selects the candidate with the lowest score. Ties are broken by
// the rendezvous order, then by the lowest ID, so that every VM breaks them the
// same way.
type LowestScore struct{}

// Pick implements Picker.
func (LowestScore) Pick(candidates []Candidate) int {
	best := 0
	for i := 1; i < len(candidates); i++ {
		if less(&candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

func less(a, b *Candidate) bool {
	if a.Score != b.Score {
		return a.Score < b.Score
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Engine.ID < b.Engine.ID
}
