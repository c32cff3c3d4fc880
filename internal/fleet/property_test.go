package fleet

import (
	"fmt"
	"slices"
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
	modelSteps   = 11
)

// modelVM is a VM with its place in the store's feed, and the answers of other VMs
// that are still on their way to it.
type modelVM struct {
	*Directory
	feed    platform.Version
	delayed []Update
	// told are the runs of which it has heard that they leave.
	told map[string]bool
}

// fleetModel is a store, VMs that hear of it in any way, and a clock.
type fleetModel struct {
	rows []Entry
	vms  []*modelVM
	now  time.Time
	run  int64
	// late are the runs of which a write was carried out late.
	late map[string]bool
}

func newFleetModel() *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), late: map[string]bool{}}
	for range modelVMs {
		m.vms = append(m.vms, &modelVM{Directory: NewDirectory(), told: map[string]bool{}})
	}
	return m
}

func (m *fleetModel) revision() platform.Version { return platform.Version(len(m.rows)) }

func (m *fleetModel) write(e Entry) {
	e.Service, e.Revision = "s", m.revision()+1
	m.rows = append(m.rows, e)
}

// last returns the newest row of a server up to a revision.
func (m *fleetModel) last(id backend.ID, upTo platform.Version) (Entry, bool) {
	for i := int(upTo) - 1; i >= 0; i-- {
		if m.rows[i].ID == id {
			return m.rows[i], !m.rows[i].Gone
		}
	}
	return Entry{}, false
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
		m.run++
		m.write(Entry{ID: id, State: Ready, Started: m.run})
	case 1:
		if present {
			row.State = Draining
			m.write(row)
		}
	case 2:
		if present {
			m.write(Entry{ID: id, Gone: true})
		}
	case 3:
		if present && row.State == Draining {
			m.late[runOf(id, row.Started)] = true
			row.State = Ready
			m.write(row)
		}
	case 4:
		v.Apply(Update{After: v.feed, UpTo: m.revision(), Entries: m.rows[v.feed:]}, m.now)
		v.feed = m.revision()
	case 5:
		v.Apply(m.listing(), m.now)
		v.feed = m.revision()
	case 6:
		v.Apply(other.Export(v.Known(), m.now), m.now)
	case 7:
		v.delayed = append(v.delayed, other.Export(v.Known(), m.now))
	case 8:
		for _, u := range v.delayed {
			v.Apply(u, m.now)
		}
		v.delayed = nil
		m.now = m.now.Add(tombstoneAge / 3)
	case 9:
		if n%4 == 0 {
			*v = modelVM{Directory: NewDirectory(), told: map[string]bool{}}
		}
	case 10:
		for _, e := range other.Undone() {
			v.MarkLeft(e.ID, e.Started, m.now)
			v.told[runOf(e.ID, e.Started)] = true
		}
	}
}

// fault returns what a VM has wrong, or nothing.
func (m *fleetModel) fault() string {
	for n, v := range m.vms {
		for s := range modelServers {
			id := modelID(s)
			row, present := m.last(id, v.Known())
			ready := present && row.State == Ready
			used := slices.ContainsFunc(v.View().Service("s"), func(e *Entry) bool { return e.ID == id })
			run := runOf(id, row.Started)
			switch {
			case used && !ready:
				return fmt.Sprintf("VM %d uses %s, which had left at revision %d of %d", n, id, row.Revision, v.Known())
			case used && v.told[run]:
				return fmt.Sprintf("VM %d uses %s again, which had told it of its leave", n, id)
			case ready && !used && !m.late[run]:
				return fmt.Sprintf("VM %d, which knows revision %d, doesn't use %s of revision %d", n, v.Known(), id, row.Revision)
			}
			if e := v.View().Server(id); e != nil && e.State == Draining {
				v.told[runOf(id, e.Started)] = true
			}
		}
	}
	return ""
}

// Whatever a VM hears, from whom and in which order, it uses the servers that the store
// named at the revision that the VM says it knows.
func TestVMsUseTheServersOfTheRevisionThatTheyKnow(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 600
	properties := gopter.NewProperties(parameters)
	properties.Property("no server that left is used", prop.ForAll(
		func(steps []int) string {
			m := newFleetModel()
			for i, n := range steps {
				m.step(n)
				if fault := m.fault(); fault != "" {
					return fmt.Sprintf("after %d steps: %s", i+1, fault)
				}
			}
			return ""
		},
		gen.SliceOfN(80, gen.IntRange(0, 27*modelSteps*4-1)),
	))
	properties.TestingRun(t)
}
