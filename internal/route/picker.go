package route

// Picker takes one of the scored candidates. It returns an index into a
// non-empty slice.
type Picker interface {
	Pick(candidates []Candidate) int
}

// LowestScore picks the lowest score. Ties go to the first in the rendezvous
// order, then to the lowest ID, so that every VM breaks them alike.
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
