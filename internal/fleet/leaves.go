package fleet

import (
	"slices"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/platform"
)

// applyEarlierEra applies the drains and removals of an update of an earlier era that weren't
// known when the present era began.
func (d *Directory) applyEarlierEra(u Update, now time.Time) []*Entry {
	if !u.UpTo.After(d.knownBefore) {
		return d.applyReports(u, now)
	}
	var changed []*Entry
	for i := range u.Entries {
		e := &u.Entries[i]
		if changedEntry := d.applyReport(e, now); changedEntry != nil {
			changed = append(changed, changedEntry)
		}
		r := d.records[e.ID]
		if r == nil || !e.Revision.After(d.knownBefore) {
			continue
		}
		run := e.Started
		if run == 0 {
			run = r.Started // A removed row doesn't state its run.
		}
		var changedEntry *Entry
		switch {
		case !e.Gone && e.State == Draining:
			changedEntry = d.markDrained(r, run)
		case e.Gone && e.Hold == 0:
			changedEntry = d.withholdRun(r, UnusableRun{Started: run, Wait: d.remainingCopyTTL(now), Era: d.known.Era, Ended: e.Revision}, now)
		}
		if changedEntry != nil {
			changed = append(changed, changedEntry)
		}
	}
	if !u.After.After(d.knownBefore) {
		d.knownBefore = u.UpTo
	}
	return changed
}

// applyReports applies what an update whose rows aren't used says of runs beyond their rows.
func (d *Directory) applyReports(u Update, now time.Time) []*Entry {
	var changed []*Entry
	for i := range u.Entries {
		if changedEntry := d.applyReport(&u.Entries[i], now); changedEntry != nil {
			changed = append(changed, changedEntry)
		}
	}
	return changed
}

// applyReport applies what another VM's entry says of its run beyond the row, which may be known
// here or not, and returns the entry if that changes the known state.
func (d *Directory) applyReport(e *Entry, now time.Time) *Entry {
	switch {
	case e.Gone:
		return nil
	case e.DrainOverwritten && e.State == Draining:
		return d.markDrained(d.ensureRecord(e.ID, now), e.Started)
	case e.Wait > 0:
		return d.applyDoubt(d.ensureRecord(e.ID, now), e.doubt(), now)
	}
	return nil
}

// remainingCopyTTL returns for how long a row may still come from the copy with which the
// present era began, without announcements of its server since.
func (d *Directory) remainingCopyTTL(now time.Time) time.Duration {
	return max(0, d.rowTTL-now.Sub(d.eraSince))
}

// withholdTime returns for how long a row must not be used because its run is known to have
// ended and the row may come from an older copy of the store; 0 if it may be used.
func (d *Directory) withholdTime(r *record, e *Entry, now time.Time) time.Duration {
	if !r.Gone || e.State != Ready || r.Started != e.Started || r.drains(e.Started) || r.confirmedRun == e.Started {
		return 0
	}
	remaining, row := d.remainingCopyTTL(now), e.rowRevision()
	switch {
	case r.withheldRow != nil || r.withheldUntil.After(now):
		wait := r.withheldUntil.Sub(now)
		switch {
		case r.withheldEra < e.Revision.Era:
			return max(wait, remaining) // The row may be copied once more.
		case r.withheldEra > row.Era && writtenAfter(row, r.endedAt):
			return 0
		case r.withheldEra > row.Era && !r.endedAt.IsZero() && r.endedAt.Era < row.Era && row.Era == e.Revision.Era:
			return min(wait, remaining) // This VM may have seen for longer that the row outlives the copy.
		}
		return wait
	case e.Wait > 0:
		return min(e.Wait, remaining) // This VM may have known the era for longer.
	case r.endedEra < e.Revision.Era && r.Started != 0:
		return remaining
	}
	return 0
}

// recallEnd restores what an earlier record of the server knew of a run's end.
func (r *record) recallEnd(started int64) {
	if run := r.formerEndedRun; run != nil && r.Gone && r.Started < started && run.started == started {
		next := *r.Entry
		next.Started = started
		r.Entry, r.endedAt, r.endedEra, r.formerEndedRun = &next, run.at, run.era, nil
		r.withheldRow, r.withheldEra, r.withheldUntil = nil, 0, time.Time{}
	}
}

// endedSince reports whether the run of an entry is known to have had no row since the one that the
// entry is of. The entry's revision is that of a row of another run.
func (r *record) endedSince(e *Entry) bool {
	return r.Gone && r.withheldRow == nil && e.State == Ready && r.Started == e.Started && !e.Row.IsZero() && !e.Row.After(r.endedAt)
}

// noteRow records a row of a run, which is the server's present one or becomes it.
func (r *record) noteRow(started int64, revision platform.Revision) {
	switch {
	case started != r.Started:
		r.rowBefore = platform.Revision{}
	case !revision.After(r.row):
		return
	case r.row.Era < revision.Era:
		r.rowBefore = r.row
	}
	r.row = revision
}

// writtenAfter reports whether a row was written after a revision at which its run had none. Rows
// of a later era may have been copied from before it.
func writtenAfter(row, absent platform.Revision) bool {
	return !absent.IsZero() && row.Era == absent.Era && row.After(absent)
}

// withholdRow stores a row that may be used only after a wait, and returns an entry that
// states the wait unless a row was withheld already.
func (r *record) withholdRow(e *Entry, wait time.Duration, now time.Time) *Entry {
	first := r.withheldRow == nil
	if first && !r.withheldUntil.After(now) || r.withheldEra < e.Revision.Era {
		r.withheldEra = e.Revision.Era
	}
	withheld, next := *e, *r.Entry
	withheld.Wait, withheld.DoubtedEra, withheld.Ended = 0, 0, platform.Revision{}
	next.Revision, next.Gone = e.Revision, true
	r.Entry, r.withheldRow, r.withheldUntil, r.confirmedRun = &next, &withheld, now.Add(wait), 0
	if !first {
		return nil
	}
	reported := next
	reported.Wait = wait
	return &reported
}

// withholdRun stops the use of a run for a time within which its row expires unless the
// server still renews it. It returns the entry if that changes the known state.
func (d *Directory) withholdRun(r *record, run UnusableRun, now time.Time) *Entry {
	confirmed := r.confirmedRun == run.Started && !run.Ended.After(r.endedAt)
	if run.Wait <= 0 || confirmed || r.drains(run.Started) {
		return nil
	}
	if r.withheldRow != nil {
		r.prolongWait(run, now)
		return nil
	}
	if r.Gone {
		if r.Started == 0 {
			next := *r.Entry
			next.Started = run.Started
			r.Entry, r.endedAt, r.endedEra = &next, run.Ended, run.Ended.Era
			r.withheldEra, r.withheldUntil = run.Era, now.Add(run.Wait)
		}
		return nil
	}
	if r.Started != run.Started || r.State != Ready {
		return nil
	}
	row := *r.Entry
	r.goneAt, r.holdUntil = now, time.Time{}
	changed := r.withholdRow(&row, run.Wait, now)
	r.endedAt, r.endedEra, r.withheldEra = run.Ended, run.Ended.Era, run.Era
	return changed
}

// prolongWait applies a doubt of the run whose row is withheld, if it is of a later end than the one
// waited for.
func (r *record) prolongWait(run UnusableRun, now time.Time) {
	if r.withheldRow.Started != run.Started || !run.Ended.After(r.endedAt) {
		return
	}
	r.endedAt, r.endedEra = run.Ended, max(r.endedEra, run.Ended.Era)
	if until := now.Add(run.Wait); until.After(r.withheldUntil) {
		r.withheldUntil, r.withheldEra = until, max(r.withheldEra, run.Era)
	}
}

// UnusableRun is a run of a server that must not be used although its row says that it is ready.
type UnusableRun struct {
	ID      backend.ID `json:"i"`
	Started int64      `json:"s"`
	// Wait is for how long the run must not be used; 0 means forever.
	Wait time.Duration `json:"w,omitempty"`
	// Era is the store's era in which the run is doubted for Wait; 0 if the sender's build doesn't
	// state it.
	Era platform.Era `json:"e,omitempty"`
	// Ended is the newest revision at which the sender knows that the run, which is doubted for Wait,
	// had no row; zero if its build doesn't state it.
	Ended platform.Revision `json:"x,omitzero"`
}

// UnusableRuns returns the runs that are not used although their rows say that they are ready.
// VMs that know only the present row can't tell.
func (d *Directory) UnusableRuns(now time.Time) []UnusableRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []UnusableRun
	for _, r := range d.records {
		switch {
		case r.drainOverwritten && !r.Gone && r.Started == r.drainedRun:
			list = append(list, UnusableRun{ID: r.ID, Started: r.Started})
		case r.withheldRow != nil && r.withheldUntil.After(now):
			list = append(list, UnusableRun{ID: r.ID, Started: r.withheldRow.Started, Wait: r.withheldUntil.Sub(now), Era: r.withheldEra, Ended: r.endedAt})
		}
	}
	return list
}

// ApplyUnusableRun applies an unusable run that another VM reported, and returns the entry if that
// changes the known state.
func (d *Directory) ApplyUnusableRun(run UnusableRun, now time.Time) *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.ensureRecord(run.ID, now)
	var changed *Entry
	if run.Wait > 0 {
		changed = d.applyDoubt(r, run, now)
	} else {
		changed = d.markDrained(r, run.Started)
	}
	if changed != nil {
		d.publish()
	}
	return changed
}

// applyDoubt applies another VM's doubt of a run, now or when its row arrives, and returns the entry
// if that changes the known state.
func (d *Directory) applyDoubt(r *record, run UnusableRun, now time.Time) *Entry {
	r.keepDoubt(run, now)
	return d.withholdRun(r, d.boundDoubt(r, run, now), now)
}

// keepDoubt keeps another VM's doubt of a run that has no row here until its row arrives.
func (r *record) keepDoubt(run UnusableRun, now time.Time) {
	if until := now.Add(run.Wait); r.Started > 0 && (r.Started < run.Started || r.Started == run.Started && r.Gone) {
		if r.toldDoubt == nil || r.toldDoubt.Started < run.Started || r.toldUntil.Before(until) {
			r.toldDoubt, r.toldUntil = &run, until
		}
	}
}

// recallDoubt applies the doubt that was kept of a run whose row has arrived, and returns the entry
// if that changes the known state.
func (d *Directory) recallDoubt(r *record, now time.Time) *Entry {
	if r.toldDoubt == nil || r.toldDoubt.Started != r.Started {
		return nil
	}
	run := *r.toldDoubt
	run.Wait, r.toldDoubt = r.toldUntil.Sub(now), nil
	return d.withholdRun(r, d.boundDoubt(r, run, now), now)
}

// boundDoubt shortens another VM's doubt of a run by what this VM knows of the run.
func (d *Directory) boundDoubt(r *record, run UnusableRun, now time.Time) UnusableRun {
	hasRow := (!r.Gone || r.withheldRow != nil) && r.Started == run.Started && r.holdUntil.IsZero() && !run.Ended.IsZero()
	switch {
	case hasRow && (writtenAfter(r.row, run.Ended) || writtenAfter(r.rowBefore, run.Ended)):
		run.Wait = 0
	case run.Era > 0 && run.Era <= d.known.Era, hasRow && run.Ended.Era < r.row.Era && r.row.Era == d.known.Era:
		// This VM may have seen for longer that the row outlives the copy.
		run.Wait, run.Era = min(run.Wait, d.remainingCopyTTL(now)), d.known.Era
	}
	return run
}

// MarkDrained records that a run of a server is draining, as a response to this VM states, whatever
// its row says now or later. It returns the entry if that changes the known state.
//
// The response may be of a later run, whose row isn't known yet. Runs that become known later, or
// meanwhile, are therefore undecided until DecideRun is called.
func (d *Directory) MarkDrained(id backend.ID, started int64, now time.Time) *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.ensureRecord(id, now)
	r.saidLeaving = true
	changed := d.markDrained(r, started)
	if r.Started > started && !r.Gone && r.State == Ready && r.drainedRun != r.Started {
		next := *r.Entry
		next.State = Draining
		r.Entry, r.undecidedRun, changed = &next, r.Started, &next
	}
	if changed != nil {
		d.publish()
	}
	return changed
}

// drains reports whether a run is known to drain.
func (r *record) drains(started int64) bool {
	return started != noRun && (started == r.drainedRun || slices.Contains(r.formerDrainedRuns, started))
}

// setDrainedRun records a run that is known to drain. It counts as the latest one if it is the
// server's present run.
func (r *record) setDrainedRun(started int64, overwritten, present bool) {
	former := started
	if present || started >= r.drainedRun {
		former, r.drainedRun, r.drainOverwritten = r.drainedRun, started, overwritten
	}
	if former == noRun || r.drains(former) {
		return
	}
	first := max(0, len(r.formerDrainedRuns)-maxFormerDrainedRuns+1)
	r.formerDrainedRuns = append(r.formerDrainedRuns[first:], former)
}

// mayHaveSaidLeaving reports whether a response that stated that the server leaves may be of a run.
func (r *record) mayHaveSaidLeaving(started int64) bool {
	return started == r.undecidedRun || r.saidLeaving && started > r.Started
}

// undecided reports whether the server's run isn't used because it may have stated that it leaves.
func (r *record) undecided() bool {
	return !r.Gone && r.Started == r.undecidedRun && r.drainedRun < r.Started
}

// UndecidedRuns returns the runs that may have stated in a response that they leave, although
// their rows say that they are ready.
func (d *Directory) UndecidedRuns() []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*Entry
	for _, r := range d.records {
		if r.undecided() {
			list = append(list, r.Entry)
		}
	}
	return list
}

// Undecided reports whether the run of an entry is undecided.
func (d *Directory) Undecided(e *Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[e.ID]
	return r != nil && r.undecided() && r.Same(e)
}

// DecideRun records whether an undecided run leaves, as the server has stated since its row became
// known. It returns the entry if that changes the known state.
func (d *Directory) DecideRun(e *Entry, leaves bool) *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[e.ID]
	if r == nil || !r.undecided() || !r.Same(e) {
		return nil
	}
	r.undecidedRun = noRun
	if leaves {
		r.setDrainedRun(r.Started, true, true)
		return nil
	}
	r.saidLeaving = false
	next := *r.Entry
	next.State = Ready
	r.Entry = &next
	d.publish()
	return &next
}

// markDrained records that a run is draining although its row may say that it is ready, and
// returns the entry if that changes the known state.
func (d *Directory) markDrained(r *record, started int64) *Entry {
	if r.Started > started || r.drains(started) {
		return nil
	}
	r.setDrainedRun(started, true, !r.Gone && r.Started == started)
	if r.Gone || r.Started != started || r.State == Draining {
		return nil
	}
	next := *r.Entry
	next.State = Draining
	r.Entry = &next
	return &next
}
