package origin

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const testService = "llm"

func of(version string) Origin { return Origin{Service: testService, Version: version} }

// testClock is a clock that tests advance.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func newTestTable() (*Table, *testClock) {
	c := &testClock{now: time.Unix(1e9, 0)}
	return NewTable(c.Now), c
}

func TestSoleVersionNeedsTheVersionsOfTheRecentPast(t *testing.T) {
	table, clock := newTestTable()
	table.Observe([]Origin{of("v1")})
	if _, ok := table.Sole(testService); ok {
		t.Error("a sole version is known before the stored versions were read")
	}
	table.SetComplete()
	if v, ok := table.Sole(testService); !ok || v != "v1" {
		t.Errorf("sole version %q, %v", v, ok)
	}
	table.Observe([]Origin{of("v2")})
	if _, ok := table.Sole(testService); ok {
		t.Error("a sole version is known although another one has just left")
	}
	clock.now = clock.now.Add(Horizon + time.Second)
	table.Observe([]Origin{of("v2")})
	if v, ok := table.Sole(testService); !ok || v != "v2" {
		t.Errorf("sole version %q, %v after the horizon", v, ok)
	}
}

func TestStoredVersionWithoutServersCountsAsSeenNow(t *testing.T) {
	table, clock := newTestTable()
	table.Observe([]Origin{of("v2")})
	table.RestoreVersions([]VersionNotice{{Origin: of("v1")}, {Origin: of("v0"), GoneFor: Horizon.Milliseconds() + 1000}})
	table.SetComplete()
	if _, ok := table.Sole(testService); ok {
		t.Error("the stored version v1 is not considered")
	}
	clock.now = clock.now.Add(Horizon + time.Second)
	table.Observe([]Origin{of("v2")})
	if _, ok := table.Sole(testService); !ok {
		t.Error("the stored version v1 is considered for longer than the horizon")
	}
}

func TestStreamWithRecordsOfTwoVersionsHasNoOrigin(t *testing.T) {
	table, _ := newTestTable()
	table.Record(1, of("v1"))
	table.Apply(&Notices{Streams: packIDs(map[Origin][]StreamID{of("v2"): {1, 2}})}, true)
	if _, ok := table.Lookup(1); ok {
		t.Error("the stream with two origins has one")
	}
	if o, ok := table.Lookup(2); !ok || o != of("v2") {
		t.Errorf("origin %v, %v", o, ok)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	table, clock := newTestTable()
	table.Observe([]Origin{of("v1"), of("v2")})
	for i := range maxStreams + 500 {
		table.Record(StreamID(i), of("v1"))
	}
	for to := range announcements {
		notices := table.Notices(Audience(to))
		if n := len(notices.Streams[0].IDs) / streamIDBytes; n != maxNoticeStreams {
			t.Errorf("%d streams in a message", n)
		}
		if n := len(table.queues[to]); n > maxQueue {
			t.Errorf("%d announcements are queued", n)
		}
	}
	if table.Len() > maxStreams {
		t.Errorf("%d streams are recorded", table.Len())
	}
	clock.now = clock.now.Add(Horizon + time.Second)
	table.Notices(Domain)
	if table.Len() != 0 {
		t.Errorf("%d streams are recorded after the horizon", table.Len())
	}
}

func TestMalformedStreamIDsAreIgnored(t *testing.T) {
	table, _ := newTestTable()
	table.Apply(&Notices{Streams: []StreamsNotice{{Origin: of("v1"), IDs: make([]byte, streamIDBytes+3)}}}, true)
	if table.Len() != 1 {
		t.Errorf("%d streams are recorded, want 1", table.Len())
	}
	table.Apply(nil, true)
}

// Streams that were begun before a second version came are announced once it does.
func TestEarlierStreamsAreAnnouncedWithTheSecondVersion(t *testing.T) {
	table, clock := newTestTable()
	table.Observe([]Origin{of("v1")})
	table.Record(7, of("v1"))
	clock.now = clock.now.Add(earlierTime / 2)
	if n := table.Notices(Domain); len(n.Streams) != 0 {
		t.Errorf("streams of a service with one version are announced: %+v", n)
	}
	table.Observe([]Origin{of("v1"), of("v2")})
	other, _ := newTestTable()
	other.Apply(table.Notices(Domain), true)
	if o, ok := other.Lookup(7); !ok || o != of("v1") {
		t.Errorf("origin %v, %v", o, ok)
	}
}

func TestUnstoredSlotHasAllStreamsOfItsPeriod(t *testing.T) {
	table, _ := newTestTable()
	table.Observe([]Origin{of("v1"), of("v2")})
	slot := func(at time.Time) int64 { return at.Unix() / int64(SlotLength/time.Second) }
	table.Record(1, of("v1"))
	slots, done := table.Unstored(slot)
	if len(slots) != 1 {
		t.Fatalf("slots %+v", slots)
	}
	done()
	if again, _ := table.Unstored(slot); len(again) != 0 {
		t.Errorf("stored streams are stored again: %+v", again)
	}
	table.Record(2, of("v2"))
	table.Apply(&Notices{Streams: packIDs(map[Origin][]StreamID{of("v2"): {3}})}, false)
	slots, _ = table.Unstored(slot)
	restored, _ := newTestTable()
	for _, s := range slots {
		restored.RestoreSlot(s, 0, true)
	}
	for id, want := range map[StreamID]bool{1: true, 2: true, 3: false} {
		if _, ok := restored.Lookup(id); ok != want {
			t.Errorf("stream %d is restored: %v", id, ok)
		}
	}
}

func TestVMsDoNotRenewGoneVersionsOfOneAnother(t *testing.T) {
	clock := &testClock{now: time.Unix(1e9, 0)}
	a, b := NewTable(clock.Now), NewTable(clock.Now)
	for _, table := range []*Table{a, b} {
		table.Observe([]Origin{of("v1"), of("v2")})
		table.Observe([]Origin{of("v2")})
	}
	const transit = 300 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < Horizon+ageTolerance+time.Second; elapsed += 2 * transit {
		from := a.Notices(Domain)
		clock.now = clock.now.Add(transit)
		b.Apply(from, true)
		from = b.Notices(Domain)
		clock.now = clock.now.Add(transit)
		a.Apply(from, true)
	}
	if a.Mixed() || b.Mixed() {
		t.Error("a version that has gone still counts after the horizon")
	}
}

// fleetModel is a model of some VMs of two failure domains whose messages are lost, that are
// killed together or alone, and whose views of the versions lag.
type fleetModel struct {
	clock    *testClock
	vms      []*Table
	versions []Origin
	// oldLeft is set once only the newest version has servers.
	oldLeft bool
	slots   []Slot
	row     []VersionNotice
	begun   map[StreamID]Origin
	next    StreamID
}

func newFleetModel(vms int) *fleetModel {
	m := &fleetModel{clock: &testClock{now: time.Unix(1e9, 0)}, versions: []Origin{of("v1")}, begun: map[StreamID]Origin{}}
	for range vms {
		m.vms = append(m.vms, NewTable(m.clock.Now))
		m.start(len(m.vms) - 1)
	}
	return m
}

func (m *fleetModel) start(i int) {
	t := NewTable(m.clock.Now)
	m.vms[i] = t
	t.Observe(m.present())
	t.RestoreVersions(m.row)
	for _, s := range m.slots {
		t.RestoreSlot(s, 0, i == 0)
	}
	t.SetComplete()
	m.row = t.Versions()
}

// present returns the versions that have servers: the last two, or the last one.
func (m *fleetModel) present() []Origin {
	n := 2
	if m.oldLeft {
		n = 1
	}
	return m.versions[max(0, len(m.versions)-n):]
}

// observe updates the views of all VMs but one.
func (m *fleetModel) observe(except int) {
	for j, t := range m.vms {
		if j != except {
			t.Observe(m.present())
			m.row = t.Versions()
		}
	}
}

func (m *fleetModel) begin(t *Table, o Origin) {
	if t.Settled(o) {
		m.next++
		m.begun[m.next] = o
		t.Record(m.next, o)
	}
}

func (m *fleetModel) step(rng *rand.Rand) error {
	m.clock.now = m.clock.now.Add(time.Duration(rng.Intn(400)) * time.Millisecond)
	i := rng.Intn(len(m.vms))
	t := m.vms[i]
	switch rng.Intn(14) {
	case 0, 1, 2:
		m.begin(t, m.present()[rng.Intn(len(m.present()))])
	case 3, 4, 5:
		n := t.Notices([]Audience{Domain, OtherDomains, ActiveVMs}[rng.Intn(3)])
		for j := range m.vms {
			if j != i && rng.Intn(4) > 0 {
				m.vms[j].Apply(n, (i+j)%2 == 0)
			}
		}
	case 6:
		slots, done := t.Unstored(func(at time.Time) int64 { return at.Unix() / 5 })
		if rng.Intn(4) > 0 {
			m.slots = append(m.slots, slots...)
			done()
		}
	case 7:
		if len(m.versions) < 6 {
			m.versions, m.oldLeft = append(m.versions, of(fmt.Sprintf("v%d", len(m.versions)+1))), false
			m.observe(i) // This VM knows it within MaxLag.
			m.clock.now = m.clock.now.Add(time.Duration(rng.Int63n(int64(MaxLag))))
			for j, other := range m.vms {
				if j != i {
					m.begin(other, m.versions[len(m.versions)-1])
				}
			}
			err := m.resumeStream(t, m.next)
			t.Observe(m.present())
			return err
		}
	case 10:
		m.oldLeft = true
		m.observe(-1)
	case 8:
		m.start(i)
	case 9:
		if rng.Intn(4) == 0 {
			for j := range m.vms {
				m.vms[j] = nil
			}
			for j := range m.vms {
				m.start(j)
			}
		}
	default:
		return m.resume(i, rng)
	}
	return nil
}

// resume resumes any stream at a VM.
func (m *fleetModel) resume(i int, rng *rand.Rand) error {
	if m.next == 0 {
		return nil
	}
	return m.resumeStream(m.vms[i], StreamID(1+rng.Int63n(int64(m.next))))
}

func (m *fleetModel) resumeStream(t *Table, id StreamID) error {
	o, ok := t.Lookup(id)
	if !ok {
		var version string
		if version, ok = t.Sole(testService); !ok {
			return nil
		}
		o = of(version)
	}
	if m.begun[id].Version != "" && o != m.begun[id] {
		return fmt.Errorf("stream %d, begun at %s, is resumed at %s", id, m.begun[id].Version, o.Version)
	}
	return nil
}

func TestStreamIsNeverResumedAtAnotherVersion(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("any VM that resumes a stream knows its origin", prop.ForAll(func(seed int64, vms int) (bool, error) {
		m, rng := newFleetModel(vms), rand.New(rand.NewSource(seed))
		for range 400 {
			if err := m.step(rng); err != nil {
				return false, err
			}
		}
		return true, nil
	}, gen.Int64(), gen.IntRange(1, 5)))
	properties.TestingRun(t)
}
