package fleet

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/platform"
)

const (
	modelServers = 3
	modelVMs     = 3
	modelSteps   = 14
)

// modelVM is a VM with its position in the store's feed, and the responses of other VMs
// that are still in flight to it.
type modelVM struct {
	*Directory
	feed    platform.Revision
	delayed []Update
	// knownDrained holds the runs that the VM knows to be draining, knownEnded the era in
	// which it saw a run end, and usedRuns the run that it uses of each server (0 for none).
	knownDrained map[string]bool
	knownEnded   map[string]platform.Era
	usedRuns     map[backend.ID]int64
	// doubts holds the doubts that other VMs told, and rowsSeen the newest version at which the VM
	// knew a row of a run, by era.
	doubts   []toldDoubt
	rowsSeen map[seenRun]platform.Version
	// outlived holds the last era in which the VM used a run when the era was known there for longer
	// than a row lasts.
	outlived map[string]platform.Era
}

// toldDoubt is a doubt of a run that another VM told, which holds until a time.
type toldDoubt struct {
	UnusableRun
	until time.Time
}

type seenRun struct {
	run string
	era platform.Era
}

func newModelVM() *modelVM {
	return &modelVM{Directory: NewDirectory(testRowTTL), knownDrained: map[string]bool{}, knownEnded: map[string]platform.Era{}, usedRuns: map[backend.ID]int64{}, rowsSeen: map[seenRun]platform.Version{}, outlived: map[string]platform.Era{}}
}

// withholdsRow reports whether the VM withholds a server's row, within the time in which a
// row may come from the restored copy.
func (v *modelVM) withholdsRow(id backend.ID, now time.Time) bool {
	r := v.records[id]
	return r != nil && r.withheldRow != nil && now.Sub(v.eraSince) < testRowTTL
}

// toldOfEnd reports whether the VM was told of an end of a row's run, after which it knows no row of
// that run: neither one of the same era, nor one that has outlived a later era.
func (v *modelVM) toldOfEnd(row Entry, now time.Time) bool {
	run := runOf(row.ID, row.Started)
	return slices.ContainsFunc(v.doubts, func(doubt toldDoubt) bool {
		era := doubt.Ended.Era
		switch {
		case doubt.ID != row.ID || doubt.Started != row.Started || !now.Before(doubt.until):
			return false
		case v.rowsSeen[seenRun{run, era}] > doubt.Ended.Version || v.outlived[run] > era:
			return false
		}
		return row.Revision.Era <= era || now.Sub(v.eraSince) < testRowTTL
	})
}

// waitedForEnd reports whether the VM has waited for the last end of a row's run that it was told.
func (v *modelVM) waitedForEnd(row Entry, now time.Time) bool {
	var told, waited platform.Revision
	for _, doubt := range v.doubts {
		if doubt.ID != row.ID || doubt.Started != row.Started {
			continue
		}
		if told = platform.Later(told, doubt.Ended); !now.Before(doubt.until) {
			waited = platform.Later(waited, doubt.Ended)
		}
	}
	return waited == told
}

// fleetModel simulates a store, VMs that receive its rows directly or from each other, and a
// clock.
type fleetModel struct {
	// history holds the rows of each era, ordered by version.
	history     [][]Entry
	vms         []*modelVM
	now         time.Time
	lastStarted int64
	// lateWrite holds the runs of which a write was applied late, ended those that have
	// ended, and drained those that have announced their drain.
	lateWrite, ended, drained map[string]bool
	// latestRun is the last run of each server.
	latestRun map[backend.ID]int64
	// lostWrites holds the writes that a restored copy lacked and that haven't been retried
	// yet, and restoredAt is when each era but the first began.
	lostWrites []lostWrite
	restoredAt map[platform.Era]time.Time
	// minCopyRows is the number of rows that every copy contains: a copy is only some
	// seconds old.
	minCopyRows int
	// falseReport describes a report of an unusable run that wasn't true, or a fault within a step.
	falseReport string
	// shortPauses makes the clock move by less than a row lasts, and writtenAt holds when each row
	// was written, or copied by a restore.
	shortPauses bool
	writtenAt   map[platform.Revision]time.Time
	// noEras makes VMs order rows by version alone.
	noEras bool
}

// lostWrite is a write with the run that made it.
type lostWrite struct {
	Entry
	run int64
}

func newFleetModel() *fleetModel {
	m := &fleetModel{history: [][]Entry{nil}, now: time.Unix(1000, 0), lateWrite: map[string]bool{}, ended: map[string]bool{}, drained: map[string]bool{}, latestRun: map[backend.ID]int64{}, restoredAt: map[platform.Era]time.Time{}, writtenAt: map[platform.Revision]time.Time{}}
	for range modelVMs {
		m.vms = append(m.vms, newModelVM())
	}
	return m
}

// newShortPauseModel returns a model whose clock moves by less than a row lasts.
func newShortPauseModel() *fleetModel {
	m := newFleetModel()
	m.shortPauses = true
	return m
}

func (m *fleetModel) era() platform.Era { return platform.Era(len(m.history) - 1) }

func (m *fleetModel) rows() []Entry { return m.history[m.era()] }

func (m *fleetModel) revision() platform.Revision {
	return platform.Revision{Era: m.era(), Version: platform.Version(len(m.rows()))}
}

func (m *fleetModel) write(e Entry) {
	e.Service, e.Revision = "s", m.revision()
	e.Revision.Version++
	m.history[m.era()] = append(m.rows(), e)
	m.writtenAt[e.Revision] = m.now
}

// restoreFromCopy restores the store from a copy that lacks the last writes.
func (m *fleetModel) restoreFromCopy(lostCount int) {
	kept := max(m.minCopyRows, len(m.rows())-lostCount)
	var lost []lostWrite
	for i, e := range m.rows()[kept:] {
		w := lostWrite{Entry: e, run: e.Started}
		if e.Gone {
			row, _ := m.last(e.ID, platform.Revision{Era: m.era(), Version: platform.Version(kept + i)})
			w.run = row.Started
		}
		lost = append(lost, w)
	}
	m.lostWrites = append(lost, m.lostWrites...)
	copied := slices.Clone(m.rows()[:kept])
	m.history = append(m.history, copied)
	m.restoredAt[m.era()] = m.now
	for i := range copied {
		copied[i].Revision.Era = m.era()
		m.writtenAt[copied[i].Revision] = m.now
	}
}

// retryLostWrite repeats the first lost write, as a server does.
func (m *fleetModel) retryLostWrite() {
	if len(m.lostWrites) == 0 {
		return
	}
	e := m.lostWrites[0]
	m.lostWrites = m.lostWrites[1:]
	if _, present := m.last(e.ID, m.revision()); e.Gone && !present || m.latestRun[e.ID] > e.run {
		return
	}
	m.write(e.Entry)
}

// last returns the newest row of a server up to a revision.
func (m *fleetModel) last(id backend.ID, upTo platform.Revision) (Entry, bool) {
	rows := m.history[upTo.Era]
	for i := int(upTo.Version) - 1; i >= 0; i-- {
		if rows[i].ID == id {
			return rows[i], !rows[i].Gone
		}
	}
	return Entry{}, false
}

// deliver applies an update at a VM.
func (m *fleetModel) deliver(v *modelVM, u Update) {
	if m.noEras {
		u.After.Era, u.UpTo.Era = 0, 0
		u.Entries = slices.Clone(u.Entries)
		for i := range u.Entries {
			u.Entries[i].Revision.Era = 0
		}
	}
	for _, e := range u.Entries {
		switch {
		case e.Wait > 0:
			m.tell(v, e.doubt())
		case e.DrainOverwritten && !e.Gone && e.State == Draining:
			m.tell(v, UnusableRun{ID: e.ID, Started: e.Started})
		}
	}
	v.Apply(u, m.now)
}

// tell records that another VM tells a VM of an unusable run, and whether that is true.
func (m *fleetModel) tell(v *modelVM, told UnusableRun) {
	run := runOf(told.ID, told.Started)
	switch {
	case told.Wait == 0:
		v.knownDrained[run] = true
		if !m.drained[run] && !m.noEras {
			m.falseReport = fmt.Sprintf("a VM tells that run %d of %s drains", told.Started, told.ID)
		}
		return
	case !m.hadNoRow(told):
		m.falseReport = fmt.Sprintf("a VM tells that run %d of %s had no row at %v", told.Started, told.ID, told.Ended)
	}
	v.doubts = append(v.doubts, toldDoubt{told, m.now.Add(told.Wait)})
}

// readFeed delivers the rest of the feed to a VM, or a listing if its position is of an
// earlier era.
func (m *fleetModel) readFeed(v *modelVM) {
	at := m.revision()
	if v.feed.Era != at.Era && !m.noEras || v.feed.Version > at.Version {
		m.readListing(v)
		return
	}
	m.deliver(v, Update{After: v.feed, UpTo: at, Entries: m.rows()[v.feed.Version:]})
	v.feed = at
}

func (m *fleetModel) readListing(v *modelVM) {
	m.deliver(v, m.listing())
	v.feed = m.revision()
}

func (m *fleetModel) listing() Update {
	u := Update{UpTo: m.revision(), Whole: true}
	for s := range modelServers {
		if e, ok := m.last(modelID(s), m.revision()); ok {
			u.Entries = append(u.Entries, e)
		}
	}
	return u
}

// runOf returns the key of a run of a server.
func runOf(id backend.ID, started int64) string { return fmt.Sprint(id, "/", started) }

func modelID(n int) backend.ID { return backend.ID(fmt.Sprint("x", n)) }

// step performs the event that a number encodes.
func (m *fleetModel) step(n int) {
	id, v, other := modelID(n%modelServers), m.vms[n/3%modelVMs], m.vms[n/9%modelVMs]
	row, present := m.last(id, m.revision())
	switch n / 27 % modelSteps {
	case 0:
		m.ended[runOf(id, m.latestRun[id])] = true
		m.lastStarted++
		m.latestRun[id] = m.lastStarted
		m.write(Entry{ID: id, State: Ready, Started: m.lastStarted})
	case 1:
		if present && !m.ended[runOf(id, row.Started)] {
			m.drained[runOf(id, row.Started)] = true
			row.State = Draining
			m.write(row)
		}
	case 2:
		if present {
			m.ended[runOf(id, row.Started)] = true
			m.write(Entry{ID: id, Gone: true})
		}
	case 3:
		if present && row.State == Draining && !m.ended[runOf(id, row.Started)] {
			m.lateWrite[runOf(id, row.Started)] = true
			row.State = Ready
			m.write(row)
		}
	case 4:
		m.readFeed(v)
	case 5:
		m.readListing(v)
	case 6:
		m.deliver(v, other.Export(v.Known(), m.now))
	case 7:
		v.delayed = append(v.delayed, other.Export(v.Known(), m.now))
	case 8:
		for _, u := range v.delayed {
			m.deliver(v, u)
			if fault := m.fault(); fault != "" {
				m.falseReport = fault
			}
		}
		v.delayed = nil
		if m.shortPauses {
			m.advanceTime(testRowTTL * 2 / 3)
		} else {
			m.advanceTime(tombstoneAge / 3)
		}
	case 9:
		if n%4 == 0 {
			*v = *newModelVM()
		}
	case 10:
		m.sendUnusableRuns(other, v)
	case 11:
		if n%4 == 0 {
			m.restoreFromCopy(1 + n/4%3)
		}
	case 12, 13:
		m.retryLostWrite()
	}
}

// advanceTime advances the clock and deletes the rows of servers that have ended, once they have
// lasted for as long as they may.
func (m *fleetModel) advanceTime(d time.Duration) {
	m.now = m.now.Add(d)
	expired := true
	for s := range modelServers {
		row, present := m.last(modelID(s), m.revision())
		switch {
		case !present || !m.ended[runOf(row.ID, row.Started)]:
		case m.now.Sub(m.writtenAt[row.Revision]) >= testRowTTL:
			m.write(Entry{ID: row.ID, Gone: true})
		default:
			expired = false
		}
	}
	if expired {
		m.minCopyRows = len(m.rows())
	}
	for _, v := range m.vms {
		v.Expire(m.now)
	}
}

// sendUnusableRuns sends the runs that a VM must not use to another VM.
func (m *fleetModel) sendUnusableRuns(from, to *modelVM) {
	for _, l := range from.UnusableRuns(m.now) {
		to.ApplyUnusableRun(l, m.now)
		m.tell(to, l)
	}
}

// hadNoRow reports whether a run that a VM doubts had no row when it ended, as the VM tells. A VM
// that knows a later run of the server leaves the row of an earlier one out of its state.
func (m *fleetModel) hadNoRow(l UnusableRun) bool {
	if m.noEras {
		return true
	}
	row, present := m.last(l.ID, l.Ended)
	return !l.Ended.IsZero() && (!(present && row.Started == l.Started) || m.latestRun[l.ID] > l.Started)
}

// fault describes the first violation found at a VM; it is empty if there is none.
func (m *fleetModel) fault() string {
	if m.falseReport != "" {
		return m.falseReport
	}
	for n, v := range m.vms {
		for s := range modelServers {
			id := modelID(s)
			known := v.Known()
			if m.noEras {
				known.Era = m.era()
				known.Version = min(known.Version, platform.Version(len(m.rows())))
			}
			row, present := m.last(id, known)
			ready := present && row.State == Ready
			e := v.View().Server(id)
			used := e != nil && e.Usable()
			run := runOf(id, row.Started)
			if seen := (seenRun{run, row.Revision.Era}); ready {
				v.rowsSeen[seen] = max(v.rowsSeen[seen], row.Revision.Version)
			}
			// A restore of which the VM doesn't know says nothing about what it uses. Parts of a wait may
			// have passed at another VM.
			withinRowTTL := m.now.Sub(m.restoredAt[known.Era]) < testRowTTL || !m.shortPauses && m.now.Sub(v.eraSince) < testRowTTL
			switch {
			case used && !ready && !(present && m.ended[run] && e.Started > row.Started):
				// A copy may show the run before the present one.
				return fmt.Sprintf("VM %d uses %s, which was not ready at revision %v (VM knows revision %v)", n, id, row.Revision, v.Known())
			case used && v.knownDrained[runOf(id, e.Started)]:
				return fmt.Sprintf("VM %d uses %s again, which it knew to be draining", n, id)
			case used && !m.shortPauses && e.Started == row.Started && v.toldOfEnd(row, m.now) && !v.waitedForEnd(row, m.now):
				return fmt.Sprintf("VM %d uses run %d of %s, of whose end it was just told", n, e.Started, id)
			case used && withinRowTTL && v.reusesEndedRun(e, known.Era):
				return fmt.Sprintf("VM %d uses run %d of %s again, which it had seen end", n, e.Started, id)
			case ready && !used && !m.lateWrite[run] && !m.ended[run] && !v.knownDrained[run] && !(known.Era > 0 && m.drained[run]) && !v.withholdsRow(id, m.now) && !v.toldOfEnd(row, m.now):
				return fmt.Sprintf("VM %d, which knows revision %v, doesn't use %s of revision %v", n, v.Known(), id, row.Revision)
			}
			m.recordObservation(v, id, known.Era, present, e)
		}
	}
	return ""
}

// recordObservation records what a VM has seen of a server.
func (m *fleetModel) recordObservation(v *modelVM, id backend.ID, era platform.Era, present bool, e *Entry) {
	v.usedRuns[id] = 0
	switch {
	case e != nil && e.Usable():
		// Its next end counts, not the one before.
		v.usedRuns[id] = e.Started
		delete(v.knownEnded, runOf(id, e.Started))
		if m.now.Sub(v.eraSince) >= testRowTTL {
			v.outlived[runOf(id, e.Started)] = era
		}
	case e != nil:
		v.knownDrained[runOf(id, e.Started)] = true
	case !present:
		r := v.records[id]
		if r == nil || r.Started == 0 || r.row.IsZero() || !m.ended[runOf(id, r.Started)] {
			return // A VM that was only told of a run hasn't seen its end.
		}
		if _, seen := v.knownEnded[runOf(id, r.Started)]; !seen {
			v.knownEnded[runOf(id, r.Started)] = era
		}
	}
}

// reusesEndedRun reports whether the VM starts to use a run that it saw end in an earlier era.
func (v *modelVM) reusesEndedRun(e *Entry, era platform.Era) bool {
	ended, seen := v.knownEnded[runOf(e.ID, e.Started)]
	return seen && ended < era && v.usedRuns[e.ID] != e.Started
}

// Whatever updates a VM receives, from any source and in any order, it uses the servers that
// are ready in the store at the revision up to which the VM claims to be complete.
func TestVMsUseTheServersOfTheRevisionThatTheyKnow(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 600
	properties := gopter.NewProperties(parameters)
	steps := gen.SliceOfN(80, gen.IntRange(0, 27*modelSteps*4-1))
	properties.Property("no server that left is used", prop.ForAll(
		func(steps []int) string { return runSteps(newFleetModel(), steps) }, steps,
	))
	properties.Property("no server that left is used while waits are partly over", prop.ForAll(
		func(steps []int) string { return runSteps(newShortPauseModel(), steps) }, steps,
	))
	properties.TestingRun(t)
}

// A shrunk sequence of events that violated the property above.
func TestServerOfTheKnownRevisionIsUsed(t *testing.T) {
	if fault := runSteps(newFleetModel(), []int{
		0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 870, 1, 1, 308, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1,
		1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 54, 1, 114, 300, 1, 1, 1, 1, 1, 1, 1, 1, 324, 1,
		108, 216, 324, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 108, 114, 1422, 0, 0, 0,
	}); fault != "" {
		t.Error(fault)
	}
}

// Sequences in which a VM that reads a new era, and had missed a row of the era before, passed on
// that it doubts the run: one found at random, and the same shrunk.
func TestDoubtOfNewEraDoesNotOverrideLaterRowOfEarlierEra(t *testing.T) {
	for name, steps := range map[string][]int{
		"as found": {
			563, 709, 722, 174, 153, 678, 372, 943, 431, 1303, 1033, 10, 1307, 129, 410, 1074, 662, 1400, 1469,
			515, 1356, 277, 1506, 696, 1303, 436, 337, 384, 118, 645, 181, 727, 312, 1365, 5, 517, 1440, 796, 1097,
			646, 53, 586, 275, 905, 1108, 268, 988, 1311, 1439, 181, 1385, 581, 1277, 711, 82, 1357, 239, 241, 311,
			410, 1432, 584, 326, 131, 883, 896, 113, 1195, 655, 13, 1014, 1072, 387, 260, 1168, 506, 191, 561, 815, 53,
		},
		"shrunk": {
			0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 108, 28, 28, 28, 312,
			1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 216, 108, 1, 1, 1, 1, 1, 324, 1, 1, 114, 1, 1, 1, 216, 1, 1, 1432,
			1, 1, 1, 1, 1, 1, 486, 654, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,
		},
	} {
		if fault := runSteps(newFleetModel(), steps); fault != "" {
			t.Errorf("%s: %s", name, fault)
		}
	}
}

// A VM that is told that a run had no row in an era later than those it knows can't tell that the
// server still lives.
func TestRunThatHadNoRowInLaterEraMayBeWithheld(t *testing.T) {
	m := newFleetModel()
	if fault := runSteps(m, []int{1149, 1272, 916, 312, 1247, 1448, 742, 913, 287}); fault != "" {
		t.Error(fault)
	}
	if len(m.vms[2].View().Service("s")) != 0 {
		t.Error("VM 2 uses a run that VM 1 has seen end later")
	}
}

// A VM that knows an era for longer than a row lasts uses a run that it saw end before, though a later
// era began of which it doesn't know.
func TestRestoreUnknownToVMDoesNotMakeUseWrong(t *testing.T) {
	steps := []int{1147, 436, 108, 320, 1260, 1470, 517, 980, 1448, 550}
	m := newFleetModel()
	if fault := runSteps(m, steps); fault != "" {
		t.Error(fault)
	}
	withoutRestore := newFleetModel()
	runSteps(withoutRestore, slices.Delete(slices.Clone(steps), 8, 9))
	for _, v := range []*modelVM{m.vms[0], withoutRestore.vms[0]} {
		if len(v.View().Service("s")) != 1 || v.Known().Era != 1 {
			t.Errorf("VM 0 knows %v and uses %d servers, want one of era 1", v.Known(), len(v.View().Service("s")))
		}
	}
}

// A VM that reads an era late passes a row with its wait on to one that has known the era for longer.
func TestFetchedWaitDoesNotOutlastOwnKnowledge(t *testing.T) {
	if fault := runSteps(newFleetModel(), []int{767, 914, 873, 1068, 1291, 1444, 109, 1354, 1465, 499, 929}); fault != "" {
		t.Error(fault)
	}
}

// A VM that was told of a drain passes it on with its state, of an earlier revision than the drain.
func TestDrainIsKnownByFetchBeforeItsRow(t *testing.T) {
	m := newFleetModel()
	if fault := runSteps(m, []int{23, 1285, 382, 425, 524, 1072, 1278, 278, 941}); fault != "" {
		t.Error(fault)
	}
	if len(m.vms[1].View().Service("s")) != 0 {
		t.Error("VM 1 uses a run that drains, as VM 2 tells")
	}
}

// A run is confirmed by a VM that misses its end, and an era begins with a write of it.
func TestRunThatEndedAfterItWasConfirmedIsWithheld(t *testing.T) {
	if fault := runSteps(newFleetModel(), []int{12, 136, 813, 925, 899, 1072, 376, 517, 692, 1313, 595, 161, 330, 1133, 1452, 115}); fault != "" {
		t.Error(fault)
	}
}

// A row is copied once more during its wait.
func TestWaitBeginsAnewWithLaterEra(t *testing.T) {
	if fault := runSteps(newShortPauseModel(), []int{1135, 1201, 890, 696, 152, 997, 1118, 1452, 134, 1358}); fault != "" {
		t.Error(fault)
	}
}

// A VM may use a run with rows from after its end in each of two eras.
func TestEndSeenAfterUseReplacesTheOneBefore(t *testing.T) {
	if fault := runSteps(newFleetModel(), []int{1158, 917, 1209, 700, 879, 1470, 1255, 1307, 316, 951, 231, 115, 340, 1284}); fault != "" {
		t.Error(fault)
	}
}

// A VM is told of two runs that drain before it reads a row of either.
func TestEarlierDrainedRunIsRememberedToo(t *testing.T) {
	if fault := runSteps(newShortPauseModel(), []int{776, 1181, 95, 1259, 137, 671, 779, 425, 908, 83, 160, 293, 1328, 230}); fault != "" {
		t.Error(fault)
	}
}

// A VM that knows a later run of a server leaves the row of an earlier one, which a copy shows again,
// out of its state.
func TestRunIsToldToHaveEndedIfLaterOneIsKnown(t *testing.T) {
	steps := slices.Concat(slices.Repeat([]int{0}, 44), []int{4, 0, 0, 4, 67, 0, 28, 28, 111, 28, 1076},
		slices.Repeat([]int{0}, 12), []int{114, 0, 111, 0, 0, 0, 1311, 0, 0, 1452, 1248, 0, 0, 1314})
	if fault := runSteps(newShortPauseModel(), steps); fault != "" {
		t.Error(fault)
	}
}

// A VM that doesn't know a server gets two late responses: that a run of it drains, and a copy's row.
func TestDrainOfUnknownServerIsKept(t *testing.T) {
	if fault := runSteps(newShortPauseModel(), []int{394, 805, 859, 404, 864, 571, 451, 525, 1456, 133, 966, 1355}); fault != "" {
		t.Error(fault)
	}
}

// A VM gets two late responses, by the first of which it uses a run again.
func TestUsesWithinStepAreSeen(t *testing.T) {
	if fault := runSteps(newShortPauseModel(), []int{12, 512, 1440, 520, 735, 914, 583, 1194, 1440, 527, 960, 222}); fault != "" {
		t.Error(fault)
	}
}

// VMs are told that they must not use a run before its row comes with a copy.
func TestDoubtOfRunThatIsNotKnownHolds(t *testing.T) {
	for _, c := range []struct {
		steps []int
		vm    int
	}{
		{[]int{764, 529, 1157, 1193, 112, 312, 120, 1419, 115}, 2},
		{[]int{760, 502, 7, 457, 117, 1060, 739, 524, 1034, 511}, 2},
	} {
		m := newFleetModel()
		if fault := runSteps(m, c.steps); fault != "" {
			t.Errorf("%v: %s", c.steps, fault)
		}
		if len(m.vms[c.vm].View().Service("s")) != 0 {
			t.Errorf("%v: VM %d uses a run that has ended, as it was told", c.steps, c.vm)
		}
	}
}

// A VM that starts is told of a doubt, and fetches a row from after the end that the doubt states.
func TestRunOfWhichVMWasOnlyToldIsUsed(t *testing.T) {
	steps := slices.Concat(slices.Repeat([]int{0}, 5), []int{11, 28, 28, 28, 28, 28, 28, 28, 28, 28, 0, 28, 28, 28, 870, 0, 1448, 0,
		489, 0, 1080, 0, 0, 0, 177, 0, 1242, 0, 1440, 0, 0, 0, 0, 0, 1248, 0, 0, 0, 0, 0, 624, 0, 0, 0, 0,
		669, 380, 0, 0, 0, 0, 0, 0, 0, 0, 0, 165})
	if fault := runSteps(newShortPauseModel(), steps); fault != "" {
		t.Error(fault)
	}
	if fault := runSteps(newFleetModel(), steps); fault != "" {
		t.Error(fault)
	}
}

// A VM forgets a run that it believes to have ended, and an era begins with a write of it.
func TestForgottenEndOfRunHoldsInLaterEra(t *testing.T) {
	if fault := runSteps(newFleetModel(), []int{1138, 1249, 1448, 1291, 204, 241, 227, 992, 240, 709, 73, 168, 1072, 327, 897}); fault != "" {
		t.Error(fault)
	}
}

// runSteps performs steps up to the first fault and describes it; it is empty if there is
// none.
func runSteps(m *fleetModel, steps []int) string {
	for i, n := range steps {
		m.step(n)
		if fault := m.fault(); fault != "" {
			return fmt.Sprintf("after %d steps: %s", i+1, fault)
		}
	}
	return ""
}

// VMs that order rows by version alone use servers that have left, or miss rows, once the
// store is restored from an older copy. The model must find such faults.
func TestModelFindsFaultsWithoutEras(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	refuted := 0
	for range 300 {
		m := newFleetModel()
		m.noEras = true
		steps := make([]int, 80)
		for i := range steps {
			steps[i] = rng.Intn(27 * modelSteps * 4)
		}
		if runSteps(m, steps) != "" {
			refuted++
		}
	}
	if refuted == 0 {
		t.Error("the model finds no fault without eras")
	}
}

// Checks all sequences of five events around restores of the store, with one server and two
// VMs.
func TestEveryShortHistoryWithRestores(t *testing.T) {
	id := modelID(0)
	newRun := func(m *fleetModel) { m.step(0) }
	events := []struct {
		name string
		do   func(*fleetModel)
	}{
		{"a new run", newRun},
		{"the run drains", func(m *fleetModel) { m.step(27) }},
		{"the row is deleted", func(m *fleetModel) { m.step(2 * 27) }},
		{"a restored copy lacks 1 write", func(m *fleetModel) { m.restoreFromCopy(1) }},
		{"a restored copy lacks 2 writes", func(m *fleetModel) { m.restoreFromCopy(2) }},
		{"a lost write is retried", func(m *fleetModel) { m.retryLostWrite() }},
		{"VM 0 reads the feed", func(m *fleetModel) { m.readFeed(m.vms[0]) }},
		{"VM 1 fetches from VM 0", func(m *fleetModel) { m.deliver(m.vms[1], m.vms[0].Export(m.vms[1].Known(), m.now)) }},
		{"VM 0 fetches from VM 1 with a delay", func(m *fleetModel) {
			for _, u := range m.vms[0].delayed {
				m.deliver(m.vms[0], u)
			}
			m.vms[0].delayed = []Update{m.vms[1].Export(m.vms[0].Known(), m.now)}
		}},
		{"VM 1 receives the unusable runs of VM 0", func(m *fleetModel) { m.sendUnusableRuns(m.vms[0], m.vms[1]) }},
	}
	const length = 5
	total := 1
	for range length {
		total *= len(events)
	}
	for n := range total {
		m := newFleetModel()
		newRun(m)
		for _, v := range m.vms[:2] {
			m.readListing(v)
		}
		if fault := m.fault(); fault != "" {
			t.Fatal(fault)
		}
		var trace []string
		for i, rest := 0, n; i < length; i, rest = i+1, rest/len(events) {
			e := events[rest%len(events)]
			e.do(m)
			trace = append(trace, e.name)
			if fault := m.fault(); fault != "" {
				t.Fatalf("%s: %s of %s", strings.Join(trace, ", "), fault, id)
			}
		}
	}
}
