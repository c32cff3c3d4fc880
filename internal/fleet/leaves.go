package fleet

import (
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
)

// takeLeaves takes the leaves that an update of an earlier era tells of and that weren't
// known before the present one.
func (d *Directory) takeLeaves(u Update, now time.Time) []*Entry {
	if !u.UpTo.After(d.before) {
		return nil
	}
	var changed []*Entry
	for i := range u.Entries {
		e := &u.Entries[i]
		r := d.records[e.ID]
		if r == nil || !e.Revision.After(d.before) {
			continue
		}
		run := e.Started
		if run == 0 {
			run = r.Started // A row that was removed doesn't tell.
		}
		var kept *Entry
		switch {
		case !e.Gone && e.State == Draining:
			kept = d.markLeft(r, run)
		case e.Gone && e.Hold == 0:
			kept = d.doubt(r, run, d.lapseLeft(now), now)
		}
		if kept != nil {
			changed = append(changed, kept)
		}
	}
	if !u.After.After(d.before) {
		d.before = u.UpTo
	}
	return changed
}

// lapseLeft returns for how long a row may be one of the copy with which the present era
// began, although its server announces itself no more.
func (d *Directory) lapseLeft(now time.Time) time.Duration {
	return max(0, d.lapse-now.Sub(d.eraSince))
}

// waits returns for how long a row must not be used, because its run is known to have
// ended and the row may be one of an older copy of the store.
func (d *Directory) waits(r *record, e *Entry, now time.Time) time.Duration {
	if !r.Gone || e.State != Ready || r.Started != e.Started || r.left == e.Started || r.alive == e.Started {
		return 0
	}
	switch {
	case r.again != nil || r.againAt.After(now):
		return r.againAt.Sub(now)
	case e.Wait > 0:
		return e.Wait
	case r.Revision.Era < e.Revision.Era && r.Started != 0:
		return d.lapseLeft(now)
	}
	return 0
}

// withhold keeps a row for the time from which it counts, and returns an entry that says so
// unless it was withheld before.
func (r *record) withhold(e *Entry, wait time.Duration, now time.Time) *Entry {
	first := r.again == nil
	again, next := *e, *r.Entry
	again.Wait = 0
	next.Revision, next.Gone = e.Revision, true
	r.Entry, r.again, r.againAt = &next, &again, now.Add(wait)
	if !first {
		return nil
	}
	told := next
	told.Wait = wait
	return &told
}

// doubt takes a run out of use for a time, in which its row lapses unless it lives, and
// returns the entry if that changes what is known.
func (d *Directory) doubt(r *record, run int64, wait time.Duration, now time.Time) *Entry {
	if wait <= 0 || r.alive == run || r.left == run || r.again != nil {
		return nil
	}
	if r.Gone {
		if r.Started == 0 {
			next := *r.Entry
			next.Started = run
			r.Entry, r.againAt = &next, now.Add(wait)
		}
		return nil
	}
	if r.Started != run || r.State != Ready {
		return nil
	}
	row := *r.Entry
	r.goneAt, r.holdUntil = now, time.Time{}
	return r.withhold(&row, wait, now)
}

// Leave is a run of a server that is not to be used although its row says that it is ready.
type Leave struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	// Wait is for how long; 0 for good.
	Wait time.Duration `json:"w,omitempty"`
}

// Leaves returns the runs that are not used although their rows say that they are ready.
// VMs that have read the row since can't know.
func (d *Directory) Leaves(now time.Time) []Leave {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Leave
	for _, r := range d.records {
		switch {
		case r.undone && !r.Gone && r.Started == r.left:
			list = append(list, Leave{ID: r.ID, Started: r.Started})
		case r.again != nil && r.againAt.After(now):
			list = append(list, Leave{ID: r.ID, Started: r.again.Started, Wait: r.againAt.Sub(now)})
		}
	}
	return list
}

// HearLeave notes what another VM says of a run, and returns the entry if that changes what
// is known.
func (d *Directory) HearLeave(l Leave, now time.Time) *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record(l.ID, now)
	var changed *Entry
	if l.Wait > 0 {
		changed = d.doubt(r, l.Started, l.Wait, now)
	} else {
		changed = d.markLeft(r, l.Started)
	}
	if changed != nil {
		d.publish()
	}
	return changed
}

func (d *Directory) markLeft(r *record, started int64) *Entry {
	if r.Started > started || r.left >= started {
		return nil
	}
	r.left, r.undone = started, true
	if r.Gone || r.Started != started || r.State == Draining {
		return nil
	}
	next := *r.Entry
	next.State = Draining
	r.Entry = &next
	return &next
}
