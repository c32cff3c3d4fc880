package claim

import "time"

// Decision is the result of an attempt to acquire a claim.
type Decision uint8

const (
	// Undecided is the zero value. It permits nothing.
	Undecided Decision = iota
	// Granted permits this attempt, and no other, to dispatch the request.
	Granted
	// InProgress means that another attempt holds the claim.
	InProgress
	// Completed means that the request ran and its outcome is stored.
	Completed
	// Unresolved means that the request may have run and its outcome is
	// unknown.
	Unresolved
	// Mismatch means that the key was used for a request with different
	// content.
	Mismatch
)

// Attempt is one attempt to run a request.
type Attempt struct {
	Digest Digest
	Nonce  Nonce
	Owner  Owner
}

// Stamp is the time of a transition.
type Stamp struct {
	Now time.Time
	// Epoch is the retention epoch. The transaction of the transition checks
	// it.
	Epoch uint64
}

// Acquire decides whether an attempt may run, given the current row. The grant
// is valid once the returned record is committed; if write is false, the row
// already contains it. An attempt that reads back its own nonce is granted
// again, even if the claim was marked as abandoned meanwhile. This resolves a
// commit whose response was lost, and is safe because an attempt acquires only
// before it dispatches.
//
// abandonAfter is the age at which a claim is reported as abandoned. This
// doesn't transfer the right to dispatch to another attempt.
func Acquire(r Record, a Attempt, abandonAfter time.Duration, s Stamp) (next Record, d Decision, write bool) {
	switch r.State {
	case Absent:
		return grant(a, 1, s), Granted, true
	case Released:
		if r.Nonce == a.Nonce {
			return r, InProgress, false
		}
		return grant(a, r.Attempt+1, s), Granted, true
	}
	if r.Digest != a.Digest {
		return r, Mismatch, false
	}
	switch r.State {
	case Done:
		return r, Completed, false
	case Abandoned:
		if r.Nonce == a.Nonce {
			return r.withState(Claimed, s), Granted, true
		}
		return r, Unresolved, false
	}
	if r.Nonce == a.Nonce {
		return r, Granted, false
	}
	if s.Now.Sub(r.changedAt()) >= abandonAfter {
		return r.withState(Abandoned, s), Unresolved, true
	}
	return r, InProgress, false
}

// grant returns the record that gives the claim to an attempt.
func grant(a Attempt, number uint64, s Stamp) Record {
	r := Record{Digest: a.Digest, Attempt: number, Nonce: a.Nonce, Owner: a.Owner}
	return r.withState(Claimed, s)
}

// Finish records the outcome of the attempt that holds the claim. It also
// replaces Abandoned, since the outcome is now known.
func Finish(r Record, h Hold, o Outcome, s Stamp) (next Record, write bool) {
	if !r.heldBy(h) || (r.State != Claimed && r.State != Abandoned) {
		return r, false
	}
	next = r.withState(Done, s)
	next.Outcome = &o
	return next, true
}

// Release releases the claim of an attempt that is proven not to have run.
func Release(r Record, h Hold, s Stamp) (next Record, write bool) {
	if !r.heldBy(h) || (r.State != Claimed && r.State != Abandoned) {
		return r, false
	}
	return r.withState(Released, s), true
}

// Abandon records that the attempt may have run and that no outcome will be
// recorded.
func Abandon(r Record, h Hold, s Stamp) (next Record, write bool) {
	if !r.heldBy(h) || r.State != Claimed {
		return r, false
	}
	return r.withState(Abandoned, s), true
}

func (r Record) heldBy(h Hold) bool {
	return r.Nonce == h.Nonce && r.Attempt == h.Attempt
}

// withState returns the record in a new state with the time of the change.
func (r Record) withState(to State, s Stamp) Record {
	r.State = to
	r.Epoch = s.Epoch
	r.ChangedMS = s.Now.UnixMilli()
	return r
}

// epochsPerRetention is the number of epochs in the retention time.
const epochsPerRetention = 4

// Sweep decides what the retention sweep does with a row. A row is removed one
// epoch later than the retention time requires, because the epoch in which it
// was written may have been nearly over. A claim that is still open is marked
// as abandoned first.
func Sweep(r Record, s Stamp) (next Record, remove, write bool) {
	if s.Epoch <= r.Epoch+epochsPerRetention {
		return r, false, false
	}
	if r.State == Claimed {
		return r.withState(Abandoned, s), false, true
	}
	return r, true, false
}
