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

// modelVM is a VM with its place in the store's feed, and the answers of other VMs
// that are still on their way to it.
type modelVM struct {
	*Directory
	feed    platform.Revision
	delayed []Update
	// told are the runs of which it has heard that they leave, ended tells in which era it
	// saw others end, and uses which run of a server it used last.
	told  map[string]bool
	ended map[string]platform.Era
	uses  map[backend.ID]int64
}

func newModelVM() *modelVM {
	return &modelVM{Directory: NewDirectory(testLapse), told: map[string]bool{}, ended: map[string]platform.Era{}, uses: map[backend.ID]int64{}}
}

// withholds reports whether a server isn't used although it has a row, within the time in
// which a row may be one of the copy.
func (v *modelVM) withholds(id backend.ID, now time.Time) bool {
	r := v.records[id]
	return r != nil && r.again != nil && now.Sub(v.eraSince) < testLapse
}

// fleetModel is a store, VMs that hear of it in any way, and a clock.
type fleetModel struct {
	// history holds the rows of each era, in the order of their versions.
	history [][]Entry
	vms     []*modelVM
	now     time.Time
	run     int64
	// late are the runs of which a write was carried out late, over those that have ended,
	// and left those that have said that they leave.
	late, over, left map[string]bool
	// runs are the last run of each server.
	runs map[backend.ID]int64
	// lost are the writes that a copy lacked and that weren't made again yet, returned when
	// the present era began.
	lost     []lostWrite
	returned time.Time
	// copied is the number of rows that any copy has: copies are some seconds old.
	copied int
	// noEras lets VMs go by versions alone.
	noEras bool
}

// lostWrite is a write with the run that made it.
type lostWrite struct {
	Entry
	run int64
}

func newFleetModel() *fleetModel {
	m := &fleetModel{history: [][]Entry{nil}, now: time.Unix(1000, 0), late: map[string]bool{}, over: map[string]bool{}, left: map[string]bool{}, runs: map[backend.ID]int64{}}
	for range modelVMs {
		m.vms = append(m.vms, newModelVM())
	}
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
}

// comeBack lets the store come back from a copy that lacks the last writes.
func (m *fleetModel) comeBack(lacks int) {
	kept := max(m.copied, len(m.rows())-lacks)
	var lost []lostWrite
	for i, e := range m.rows()[kept:] {
		w := lostWrite{Entry: e, run: e.Started}
		if e.Gone {
			row, _ := m.last(e.ID, platform.Revision{Era: m.era(), Version: platform.Version(kept + i)})
			w.run = row.Started
		}
		lost = append(lost, w)
	}
	m.lost = append(lost, m.lost...)
	copied := slices.Clone(m.rows()[:kept])
	m.history, m.returned = append(m.history, copied), m.now
	for i := range copied {
		copied[i].Revision.Era = m.era()
	}
}

// replay makes the first lost write again, as a server does.
func (m *fleetModel) replay() {
	if len(m.lost) == 0 {
		return
	}
	e := m.lost[0]
	m.lost = m.lost[1:]
	if _, present := m.last(e.ID, m.revision()); e.Gone && !present || m.runs[e.ID] > e.run {
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

// deliver gives a VM an update.
func (m *fleetModel) deliver(v *modelVM, u Update) {
	if m.noEras {
		u.After.Era, u.UpTo.Era = 0, 0
		u.Entries = slices.Clone(u.Entries)
		for i := range u.Entries {
			u.Entries[i].Revision.Era = 0
		}
	}
	v.Apply(u, m.now)
}

// reads lets a VM go on with its feed, which is for one era.
func (m *fleetModel) reads(v *modelVM) {
	at := m.revision()
	if v.feed.Era != at.Era && !m.noEras || v.feed.Version > at.Version {
		m.lists(v)
		return
	}
	m.deliver(v, Update{After: v.feed, UpTo: at, Entries: m.rows()[v.feed.Version:]})
	v.feed = at
}

func (m *fleetModel) lists(v *modelVM) {
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

// runOf names a run of a server.
func runOf(id backend.ID, started int64) string { return fmt.Sprint(id, "/", started) }

func modelID(n int) backend.ID { return backend.ID(fmt.Sprint("x", n)) }

// step does one thing that a number stands for.
func (m *fleetModel) step(n int) {
	id, v, other := modelID(n%modelServers), m.vms[n/3%modelVMs], m.vms[n/9%modelVMs]
	row, present := m.last(id, m.revision())
	switch n / 27 % modelSteps {
	case 0:
		m.over[runOf(id, m.runs[id])] = true
		m.run++
		m.runs[id] = m.run
		m.write(Entry{ID: id, State: Ready, Started: m.run})
	case 1:
		if present && !m.over[runOf(id, row.Started)] {
			m.left[runOf(id, row.Started)] = true
			row.State = Draining
			m.write(row)
		}
	case 2:
		if present {
			m.over[runOf(id, row.Started)] = true
			m.write(Entry{ID: id, Gone: true})
		}
	case 3:
		if present && row.State == Draining && !m.over[runOf(id, row.Started)] {
			m.late[runOf(id, row.Started)] = true
			row.State = Ready
			m.write(row)
		}
	case 4:
		m.reads(v)
	case 5:
		m.lists(v)
	case 6:
		m.deliver(v, other.Export(v.Known(), m.now))
	case 7:
		v.delayed = append(v.delayed, other.Export(v.Known(), m.now))
	case 8:
		for _, u := range v.delayed {
			m.deliver(v, u)
		}
		v.delayed = nil
		m.passes(tombstoneAge / 3)
	case 9:
		if n%4 == 0 {
			*v = *newModelVM()
		}
	case 10:
		m.tells(other, v)
	case 11:
		if n%4 == 0 {
			m.comeBack(1 + n/4%3)
		}
	case 12, 13:
		m.replay()
	}
}

// passes lets time pass, in which rows lapse whose servers have ended.
func (m *fleetModel) passes(d time.Duration) {
	for s := range modelServers {
		if row, present := m.last(modelID(s), m.revision()); present && m.over[runOf(row.ID, row.Started)] {
			m.write(Entry{ID: row.ID, Gone: true})
		}
	}
	m.now, m.copied = m.now.Add(d), len(m.rows())
	for _, v := range m.vms {
		v.Expire(m.now)
	}
}

// tells lets a VM tell another one of leaves.
func (m *fleetModel) tells(from, to *modelVM) {
	for _, l := range from.Leaves(m.now) {
		to.HearLeave(l, m.now)
		if l.Wait == 0 {
			to.told[runOf(l.ID, l.Started)] = true
		}
	}
}

// fault returns what a VM has wrong, or nothing.
func (m *fleetModel) fault() string {
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
			fresh := m.now.Sub(m.returned) < testLapse
			switch {
			case used && !ready && !(present && m.over[run] && e.Started > row.Started):
				// A copy may show the run before the present one.
				return fmt.Sprintf("VM %d uses %s, which had left at revision %v of %v", n, id, row.Revision, v.Known())
			case used && v.told[runOf(id, e.Started)]:
				return fmt.Sprintf("VM %d uses %s again, which had told it of its leave", n, id)
			case used && fresh && v.usesEnded(e, known.Era):
				return fmt.Sprintf("VM %d uses run %d of %s again, which it had seen end", n, e.Started, id)
			case ready && !used && !m.late[run] && !m.over[run] && !v.told[run] && !(known.Era > 0 && m.left[run]) && !v.withholds(id, m.now):
				return fmt.Sprintf("VM %d, which knows revision %v, doesn't use %s of revision %v", n, v.Known(), id, row.Revision)
			}
			m.learns(v, id, known.Era, present, e)
		}
	}
	return ""
}

// learns notes what a VM has seen of a server.
func (m *fleetModel) learns(v *modelVM, id backend.ID, era platform.Era, present bool, e *Entry) {
	v.uses[id] = 0
	switch {
	case e != nil && e.Usable():
		v.uses[id] = e.Started
	case e != nil:
		v.told[runOf(id, e.Started)] = true
	case !present:
		r := v.records[id]
		if r == nil || r.Started == 0 || !m.over[runOf(id, r.Started)] {
			return
		}
		if _, seen := v.ended[runOf(id, r.Started)]; !seen {
			v.ended[runOf(id, r.Started)] = era
		}
	}
}

// usesEnded reports whether a VM begins to use a run that it saw end in an earlier era.
func (v *modelVM) usesEnded(e *Entry, era platform.Era) bool {
	ended, seen := v.ended[runOf(e.ID, e.Started)]
	return seen && ended < era && v.uses[e.ID] != e.Started
}

// Whatever a VM hears, from whom and in which order, it uses the servers that the store
// named at the revision that the VM says it knows.
func TestVMsUseTheServersOfTheRevisionThatTheyKnow(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 600
	properties := gopter.NewProperties(parameters)
	properties.Property("no server that left is used", prop.ForAll(
		func(steps []int) string { return play(newFleetModel(), steps) },
		gen.SliceOfN(80, gen.IntRange(0, 27*modelSteps*4-1)),
	))
	properties.TestingRun(t)
}

// A history that the property found once.
func TestServerOfTheKnownRevisionIsUsed(t *testing.T) {
	if fault := play(newFleetModel(), []int{
		0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 870, 1, 1, 308, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1,
		1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 54, 1, 114, 300, 1, 1, 1, 1, 1, 1, 1, 1, 324, 1,
		108, 216, 324, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 108, 114, 1422, 0, 0, 0,
	}); fault != "" {
		t.Error(fault)
	}
}

// play returns the first fault after some steps, or nothing.
func play(m *fleetModel, steps []int) string {
	for i, n := range steps {
		m.step(n)
		if fault := m.fault(); fault != "" {
			return fmt.Sprintf("after %d steps: %s", i+1, fault)
		}
	}
	return ""
}

// VMs that go by versions alone use servers that left once the store has come back from an
// older copy, or miss what it says.
func TestVersionsWithoutErasAreRefuted(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	refuted := 0
	for range 300 {
		m := newFleetModel()
		m.noEras = true
		steps := make([]int, 80)
		for i := range steps {
			steps[i] = rng.Intn(27 * modelSteps * 4)
		}
		if play(m, steps) != "" {
			refuted++
		}
	}
	if refuted == 0 {
		t.Error("the model finds no fault without eras")
	}
}

// All orders of five events around returns of the store, of one server and two VMs.
func TestEveryShortHistoryWithReturns(t *testing.T) {
	id := modelID(0)
	newRun := func(m *fleetModel) { m.step(0) }
	events := []struct {
		name string
		do   func(*fleetModel)
	}{
		{"a new run", newRun},
		{"it drains", func(m *fleetModel) { m.step(27) }},
		{"its row ends", func(m *fleetModel) { m.step(2 * 27) }},
		{"a copy lacks 1 write", func(m *fleetModel) { m.comeBack(1) }},
		{"a copy lacks 2 writes", func(m *fleetModel) { m.comeBack(2) }},
		{"a lost write is made again", func(m *fleetModel) { m.replay() }},
		{"VM 0 reads", func(m *fleetModel) { m.reads(m.vms[0]) }},
		{"VM 1 fetches", func(m *fleetModel) { m.deliver(m.vms[1], m.vms[0].Export(m.vms[1].Known(), m.now)) }},
		{"VM 0 fetches late", func(m *fleetModel) {
			for _, u := range m.vms[0].delayed {
				m.deliver(m.vms[0], u)
			}
			m.vms[0].delayed = []Update{m.vms[1].Export(m.vms[0].Known(), m.now)}
		}},
		{"VM 1 hears of leaves", func(m *fleetModel) { m.tells(m.vms[0], m.vms[1]) }},
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
			m.lists(v)
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
