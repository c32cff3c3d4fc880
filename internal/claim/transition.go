package claim

import "time"

// Decision is the answer to an attempt that asks for a claim.
type Decision uint8

const (
	// Undecided is the zero value. It allows nothing.
	Undecided Decision = iota
	// Granted allows this attempt, and no other, to dispatch.
	Granted
	// InProgress means that another attempt holds the claim.
	InProgress
	// Completed means that the request ran and its outcome is kept.
	Completed
	// Unresolved means that the request may have run and nothing more is known.
	Unresolved
	// Mismatch means that the key was used for a request with other content.
	Mismatch
)

// Attempt is one try to run a request.
type Attempt struct {
	Digest Digest
	Nonce  Nonce
	Owner  Owner
}

// Stamp is the time of a change.
type Stamp struct {
	Now time.Time
	// Epoch is the retention epoch, checked in the same transaction.
	Epoch uint64
}

// Acquire decides whether an attempt may run, given the row as it is. The
// grant holds once the returned record is committed; if write is false, the
// row already says so. An attempt that reads its own nonce back is granted
// again, which settles a commit whose answer was lost, even if the claim was
// taken for abandoned meanwhile: an attempt asks only before it dispatches.
//
// lapse is the age at which a claim is reported as abandoned. It doesn't
// transfer the right to dispatch to anybody.
func Acquire(r Record, a Attempt, lapse time.Duration, s Stamp) (next Record, d Decision, write bool) {
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
			return r.move(Claimed, s), Granted, true
		}
		return r, Unresolved, false
	}
	if r.Nonce == a.Nonce {
		return r, Granted, false
	}
	if s.Now.Sub(r.changed()) >= lapse {
		return r.move(Abandoned, s), Unresolved, true
	}
	return r, InProgress, false
}

func grant(a Attempt, number uint64, s Stamp) Record {
	r := Record{Digest: a.Digest, Attempt: number, Nonce: a.Nonce, Owner: a.Owner}
	return r.move(Claimed, s)
}

// Finish records the outcome of the attempt that holds the claim. It also
// replaces Abandoned, since the outcome is now known.
func Finish(r Record, h Hold, o Outcome, s Stamp) (next Record, write bool) {
	if !r.heldBy(h) || (r.State != Claimed && r.State != Abandoned) {
		return r, false
	}
	next = r.move(Done, s)
	next.Outcome = &o
	return next, true
}

// Release gives the claim of an attempt back that is proved not to have run.
func Release(r Record, h Hold, s Stamp) (next Record, write bool) {
	if !r.heldBy(h) || (r.State != Claimed && r.State != Abandoned) {
		return r, false
	}
	return r.move(Released, s), true
}

// Abandon records that the attempt may have run and no outcome will follow.
func Abandon(r Record, h Hold, s Stamp) (next Record, write bool) {
	if !r.heldBy(h) || r.State != Claimed {
		return r, false
	}
	return r.move(Abandoned, s), true
}

func (r Record) heldBy(h Hold) bool {
	return r.Nonce == h.Nonce && r.Attempt == h.Attempt
}

func (r Record) move(to State, s Stamp) Record {
	r.State = to
	r.Epoch = s.Epoch
	r.ChangedMS = s.Now.UnixMilli()
	return r
}

// epochsPerRetention is the number of epochs in the retention time.
const epochsPerRetention = 4

// Sweep decides what the retention sweep does with a row. A row is removed
// after one epoch more than the retention time has: the first of them may have
// been nearly over when the row was written. A claim that is still open
// becomes abandoned first.
func Sweep(r Record, s Stamp) (next Record, remove, write bool) {
	if s.Epoch <= r.Epoch+epochsPerRetention {
		return r, false, false
	}
	if r.State == Claimed {
		return r.move(Abandoned, s), false, true
	}
	return r, true, false
}
