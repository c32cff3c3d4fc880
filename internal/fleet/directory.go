// Package fleet tracks the backend servers that announce themselves in the platform's
// store, and the weights that they should load.
//
// Updates come from the store or from other VMs; store revisions order them. Each VM
// tracks the revision up to which its state is complete and sends it with every update.
// A store that is restored from an older copy begins a new era: its rows replace the known
// state, except that a run that has ended stays ended. A run is one incarnation of a
// server: the lifetime of one process under an ID.
package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/platform"
)

// tombstoneAge is how long the removal of a server is kept, so that lagging VMs receive it.
// VMs lag by a few seconds; a VM that lags by more receives the list of all servers instead.
const tombstoneAge = 60 * time.Second

// drainedRunAge is how long a run that is known to drain, or to have ended, is remembered after its
// removal: it may still live, and write its row again, while it ends its work or reaches no store.
const drainedRunAge = time.Hour

// maxFormerDrainedRuns bounds the drained runs of a server that are remembered besides the latest.
const maxFormerDrainedRuns = 8

// drainedRuns are runs of a server that are known to drain, and until when that is remembered.
type drainedRuns struct {
	started []int64
	until   time.Time
}

// endedRun is a run that is known to have ended, by a record that was forgotten.
type endedRun struct {
	started int64
	at      platform.Revision
	era     platform.Era
	until   time.Time
}

// View is an immutable list of the servers.
type View struct {
	byService map[string][]*Entry
	byID      map[backend.ID]*Entry
}

// Service returns the usable servers of a service, sorted by ID.
func (v *View) Service(name string) []*Entry { return v.byService[name] }

// Server returns the server with an ID, or nil if it is unknown or was removed.
func (v *View) Server(id backend.ID) *Entry { return v.byID[id] }

// All returns all servers that have not been removed, sorted by ID.
func (v *View) All() []*Entry {
	return slices.SortedFunc(maps.Values(v.byID), func(a, b *Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// record is the state kept for a server.
type record struct {
	*Entry
	// drainedRun is the start time of the latest run that is known to drain, or noRun. A
	// draining run never becomes ready again, but an earlier write of its own may reach
	// the store late.
	drainedRun int64
	// formerDrainedRuns holds the ones before, and the one that was known when an earlier record of the
	// server was forgotten. Later runs may have earlier start times.
	formerDrainedRuns []int64
	// formerEndedRun is the run of that earlier record, or nil.
	formerEndedRun *endedRun
	// drainOverwritten is set if that run's row says Ready again, so that the store no longer
	// shows the drain.
	drainOverwritten bool
	// saidLeaving is set if a response of the server stated to this VM that it leaves. The
	// response may be of a later run than the one whose row was known.
	saidLeaving bool
	// undecidedRun is the start time of a run that may have sent that response, or noRun. It
	// isn't used until the server shows that it doesn't leave.
	undecidedRun int64
	// holdUntil is the end of the grace period of a server without a row; zero for a server
	// with a row.
	holdUntil time.Time
	// goneAt is when the removal became known.
	goneAt time.Time
	// weightsSeenAt is when a response last showed weights newer than the announced ones.
	weightsSeenAt time.Time
	// withheldRow is the row of an ended run that reappeared when the store was restored
	// from an older copy, or nil. It is used from withheldUntil on; a row of that run that
	// arrives earlier is withheld too.
	withheldRow   *Entry
	withheldUntil time.Time
	// withheldEra is the era whose copy the withheld row may come from; 0 if another VM doubts the
	// run and its build doesn't state that.
	withheldEra platform.Era
	// endedAt is the newest revision at which the run is known to have had no row, by this VM or by
	// the one whose doubt it took over; zero if neither knows.
	endedAt platform.Revision
	// endedEra is the era in which the end became known. A row of a later era may be from before it.
	endedEra platform.Era
	// row is the revision of the newest row of the run, and rowBefore that of its newest row in an
	// earlier era; both are zero if there was none. The entry's revision may be that of a row of
	// another run, or of the run's removal.
	row, rowBefore platform.Revision
	// toldDoubt is a doubt that another VM told of a run that has no row here yet, or nil.
	toldDoubt *UnusableRun
	toldUntil time.Time
	// confirmedRun is the start time of a run whose row still existed after that time, unless it was
	// doubted or ended since.
	confirmedRun int64
}

// noRun is the start time of no run. Servers that state none have the start time 0.
const noRun = -1

// seenWeightsAge is for how long weights seen in a server's responses take precedence over
// an announcement of older ones, which may have been sent before. Servers announce
// themselves at their heartbeat interval of about a second, and a delayed write takes a few
// seconds.
const seenWeightsAge = 6 * time.Second

// Directory merges updates of the servers and publishes views. It is safe for concurrent
// use.
type Directory struct {
	mu      sync.Mutex
	records map[backend.ID]*record
	// known is the revision up to which the state is complete, and newest the revision of
	// the newest change up to known.
	known, newest platform.Revision
	// knownBefore is the value of known in the earlier eras, and eraSince when the present
	// era became known.
	knownBefore platform.Revision
	eraSince    time.Time
	// forgottenUpTo is the revision up to which tombstones may have been deleted.
	forgottenUpTo platform.Revision
	rowTTL        time.Duration
	// drainedRuns holds the drained runs of servers whose removal is forgotten.
	drainedRuns map[backend.ID]drainedRuns
	// endedRuns holds the latest runs of these servers.
	endedRuns map[backend.ID]endedRun
	view      atomic.Pointer[View]
}

// NewDirectory returns an empty directory. The store deletes the row of a server within
// rowTTL after its last announcement.
func NewDirectory(rowTTL time.Duration) *Directory {
	d := &Directory{records: map[backend.ID]*record{}, drainedRuns: map[backend.ID]drainedRuns{}, endedRuns: map[backend.ID]endedRun{}, rowTTL: rowTTL}
	d.publish()
	return d
}

// View returns the current view of the servers.
func (d *Directory) View() *View { return d.view.Load() }

// Known returns the revision up to which the state is complete.
func (d *Directory) Known() platform.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// HasRow reports whether the server run of an entry had a row when the store was last read. A
// server also counts as present for a grace period without one.
func (d *Directory) HasRow(e *Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[e.ID]
	return r != nil && !r.Gone && r.Same(e) && r.holdUntil.IsZero()
}

// Newest returns the revision of the newest change up to Known. A VM whose state is
// complete up to Newest has nothing to fetch here.
func (d *Directory) Newest() platform.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}

// Apply merges an update and returns the entries that changed the known state. The rows of an
// update that ends before the known revision are ignored, because it may list servers that have
// been removed since. From an update of an earlier era only drains and removals are taken.
func (d *Directory) Apply(u Update, now time.Time) []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []*Entry
	switch {
	case u.UpTo.Era < d.known.Era:
		changed = d.applyEarlierEra(u, now)
	case u.UpTo.Before(d.known) || u.UpTo.Era > d.known.Era && !u.Whole:
		// Changes made after a restore don't include the restored rows.
		changed = d.applyReports(u, now)
	default:
		changed = d.applyCurrent(u, now)
	}
	d.forget(now)
	if len(changed) > 0 {
		d.publish()
	}
	return changed
}

// applyCurrent merges an update of the present era or of a later one.
func (d *Directory) applyCurrent(u Update, now time.Time) []*Entry {
	if u.UpTo.Era > d.known.Era {
		d.beginEra(now)
	}
	var changed []*Entry
	listed := map[backend.ID]bool{}
	latest := platform.Revision{Era: u.UpTo.Era}
	for i := range u.Entries {
		e := &u.Entries[i]
		listed[e.ID] = true
		latest = platform.Later(latest, e.Revision)
		if changedEntry := d.applyEntry(e, now); changedEntry != nil {
			changed = append(changed, changedEntry)
		}
	}
	if u.Whole {
		if ended := d.endUnlisted(listed, u, now); len(ended) > 0 {
			changed = append(changed, ended...)
			latest = platform.Later(latest, u.UpTo)
		}
		d.forgottenUpTo = platform.Later(d.forgottenUpTo, u.UpTo)
	}
	if u.Whole || !u.After.After(d.known) {
		d.known = platform.Later(d.known, u.UpTo)
		d.newest = platform.Later(d.newest, platform.Earlier(latest, d.known))
	}
	return changed
}

// beginEra prepares for the first update of a later era.
func (d *Directory) beginEra(now time.Time) {
	d.knownBefore, d.eraSince = d.known, now
	for _, r := range d.records {
		if r.Gone && r.withheldRow == nil {
			r.endedAt = platform.Later(r.endedAt, d.known)
		}
	}
}

func (d *Directory) ensureRecord(id backend.ID, now time.Time) *record {
	r := d.records[id]
	if r == nil {
		r = &record{Entry: &Entry{ID: id, Gone: true}, goneAt: now, drainedRun: noRun, undecidedRun: noRun}
		r.formerDrainedRuns = d.drainedRuns[id].started
		if run, ok := d.endedRuns[id]; ok {
			r.formerEndedRun = &run
		}
		d.records[id] = r
	}
	return r
}

func (d *Directory) applyEntry(e *Entry, now time.Time) *Entry {
	r := d.ensureRecord(e.ID, now)
	if !e.Revision.After(r.Revision) {
		return d.applyReport(e, now)
	}
	if e.Gone {
		r.withheldRow = nil
		return d.end(r, e.Revision, e.Hold, now)
	}
	r.recallEnd(e.Started)
	if r.endedSince(e) {
		next := *r.Entry
		next.Revision = e.Revision
		r.Entry = &next
		return nil
	}
	if wait := d.withholdTime(r, e, now); wait > 0 {
		r.noteRow(e.Started, e.rowRevision())
		changed := r.withholdRow(e, wait, now)
		d.applyReport(e, now)
		d.recallDoubt(r, now)
		return changed
	}
	r.withheldRow = nil
	next := r.merge(e, now)
	if next.Started != r.Started {
		r.withheldUntil, r.withheldEra = time.Time{}, 0
	}
	if e.Started == next.Started && e.Hold == 0 {
		r.noteRow(e.Started, e.rowRevision())
	}
	r.Entry = &next
	if next.Gone {
		return nil
	}
	r.goneAt, r.holdUntil = time.Time{}, time.Time{}
	if e.Hold > 0 {
		return d.end(r, e.Revision, e.Hold, now)
	}
	if withheld := d.applyReport(e, now); withheld != nil {
		return withheld
	}
	if withheld := d.recallDoubt(r, now); withheld != nil {
		return withheld
	}
	return &next
}

// merge returns the state of a server after a row newer than the last one. Rows are ordered
// by the store, not by the servers' clocks: a row with an earlier start time counts as that
// of an older run only if it would make the server ready again, or if it may come from an
// older copy of the store.
func (r *record) merge(e *Entry, now time.Time) Entry {
	next := *e
	older := e.Started < r.Started
	laterEra := r.Revision.Era < e.Revision.Era
	switch {
	case older && laterEra:
		next = *r.Entry
	case e.State == Draining:
		r.setDrainedRun(e.Started, e.DrainOverwritten, false)
		if older && !r.Gone {
			next = *r.Entry
			next.State = Draining
		}
	case older:
		next = *r.Entry
	case r.drains(e.Started):
		next.State = Draining
		r.setDrainedRun(e.Started, true, true)
	case r.mayHaveSaidLeaving(e.Started):
		next.State, r.undecidedRun = Draining, e.Started
	}
	next.Revision, next.Hold, next.DrainOverwritten = e.Revision, 0, false
	next.Wait, next.DoubtedEra, next.Ended = 0, 0, platform.Revision{}
	if r.Same(&next) && (laterEra || now.Sub(r.weightsSeenAt) < seenWeightsAge) {
		next.Weights = mergeWeights(r.Weights, next.Weights)
	}
	return next
}

// end records that a server's row is gone, and returns the entry if that changes the known
// state.
func (d *Directory) end(r *record, revision platform.Revision, hold time.Duration, now time.Time) *Entry {
	next := *r.Entry
	next.Revision = platform.Later(r.Revision, revision)
	changed := !r.Gone
	if hold > 0 && !r.Gone {
		if until := now.Add(hold); r.holdUntil.IsZero() || until.Before(r.holdUntil) {
			r.holdUntil = until
		}
		reported := next
		reported.Hold = hold
		r.Entry = &next
		return &reported
	}
	next.Gone = true
	r.Entry, r.holdUntil, r.endedAt = &next, time.Time{}, platform.Later(r.endedAt, next.Revision)
	if !changed {
		return nil
	}
	r.goneAt, r.endedEra, r.confirmedRun = now, next.Revision.Era, 0
	return &next
}

// endUnlisted ends the servers that a whole update doesn't list.
func (d *Directory) endUnlisted(listed map[backend.ID]bool, u Update, now time.Time) []*Entry {
	var ended []*Entry
	for id, r := range d.records {
		if listed[id] || r.Revision.After(u.UpTo) || !r.holdUntil.IsZero() {
			continue
		}
		if r.Gone {
			r.withheldRow, r.endedAt = nil, platform.Later(r.endedAt, u.UpTo)
			continue
		}
		ended = append(ended, d.end(r, u.UpTo, u.Hold, now))
	}
	return ended
}

// mergeWeights returns the announced weights b of a run, with the versions seen in its
// responses (a) where these are newer.
func mergeWeights(a, b map[string]uint64) map[string]uint64 {
	out := maps.Clone(b)
	for model, version := range a {
		if have, ok := out[model]; ok && have < version {
			out[model] = version
		}
	}
	return out
}

// Expire ends the servers whose grace period without a row is over, resumes the use of those
// whose withheld row still exists after its wait, and returns both.
func (d *Directory) Expire(now time.Time) []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []*Entry
	for _, r := range d.records {
		if !r.holdUntil.IsZero() && !now.Before(r.holdUntil) {
			changed = append(changed, d.end(r, r.Revision, 0, now))
		}
		if r.withheldRow != nil && !now.Before(r.withheldUntil) {
			if started := r.withheldRow.Started; r.drains(started) || r.undecidedRun == started {
				r.withheldRow.State = Draining
			}
			r.Entry, r.withheldRow, r.confirmedRun, r.goneAt = r.withheldRow, nil, r.withheldRow.Started, time.Time{}
			changed = append(changed, r.Entry)
		}
	}
	if len(changed) > 0 {
		d.publish()
	}
	return changed
}

// Export returns the changes for a VM whose state is complete up to a revision.
func (d *Directory) Export(after platform.Revision, now time.Time) Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := Update{After: after, UpTo: d.known, Whole: after.Before(d.forgottenUpTo), Entries: []Entry{}}
	for _, r := range d.records {
		e := *r.Entry
		e.DrainOverwritten = r.drainOverwritten && r.drainedRun == r.Started
		if e.Row = r.row; e.Row == e.Revision {
			e.Row = platform.Revision{}
		}
		if r.undecided() {
			e.State = Ready // The doubt is this VM's own.
		}
		if r.withheldRow != nil {
			e = *r.withheldRow
			e.Wait, e.DoubtedEra, e.Ended = max(1, r.withheldUntil.Sub(now)), r.withheldEra, r.endedAt
		}
		if u.Whole && e.Gone || !u.Whole && !r.Revision.After(after) {
			continue
		}
		if !r.holdUntil.IsZero() {
			e.Hold = max(1, r.holdUntil.Sub(now))
		}
		u.Entries = append(u.Entries, e)
	}
	return u
}

// SetWeights records the version of a model that a server's response stated, if it is newer
// than the announced one, and reports whether it was. Responses of another run are ignored.
func (d *Directory) SetWeights(id backend.ID, started int64, model string, version uint64, now time.Time) bool {
	if e := d.View().Server(id); e == nil || e.Started != started || e.Weights[model] >= version {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[id]
	if r == nil || r.Started != started || r.Weights[model] >= version {
		return false
	}
	next := *r.Entry
	next.Weights = maps.Clone(r.Weights)
	if next.Weights == nil {
		next.Weights = map[string]uint64{}
	}
	next.Weights[model] = version
	r.Entry, r.weightsSeenAt = &next, now
	d.publish()
	return true
}

func (d *Directory) forget(now time.Time) {
	for id, r := range d.records {
		if !r.Gone || r.withheldRow != nil || now.Sub(r.goneAt) <= tombstoneAge {
			continue
		}
		if r.drainedRun > 0 { // Runs of servers that state no start time can't be told apart.
			d.drainedRuns[id] = drainedRuns{started: append(r.formerDrainedRuns, r.drainedRun), until: r.goneAt.Add(drainedRunAge)}
		}
		if r.Started > 0 {
			d.endedRuns[id] = endedRun{started: r.Started, at: r.endedAt, era: r.endedEra, until: r.goneAt.Add(drainedRunAge)}
		}
		d.forgottenUpTo = platform.Later(d.forgottenUpTo, r.Revision)
		delete(d.records, id)
	}
	maps.DeleteFunc(d.drainedRuns, func(_ backend.ID, runs drainedRuns) bool { return now.After(runs.until) })
	maps.DeleteFunc(d.endedRuns, func(_ backend.ID, run endedRun) bool { return now.After(run.until) })
}

func (d *Directory) publish() {
	v := &View{byService: map[string][]*Entry{}, byID: map[backend.ID]*Entry{}}
	for id, r := range d.records {
		if r.Gone {
			continue
		}
		v.byID[id] = r.Entry
		if r.Usable() {
			v.byService[r.Service] = append(v.byService[r.Service], r.Entry)
		}
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	d.view.Store(v)
}
