package poison

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/vm"
)

// The property test runs the state machines of several VMs with messages that
// are delivered in random order, while the roster changes and VMs restart. Each
// content has two concurrent callers. A caller submits the content again through
// a random VM as soon as it has a response, disconnects, or its VM restarts.
// Messages are lost only if their sender or receiver restarts.

// job is one request that a VM processes.
type job struct {
	index   int
	content Content
	poison  bool
	vm      int
	// retries is the number of retries that the VM may still make by itself.
	retries int
	run     *Run
	// server and incarnation identify where the job is running.
	server, incarnation int
	acquiring           bool
	// reporting is set while the end of the run is being reported to the home,
	// which delays the response to the caller.
	reporting bool
	responded bool
}

// simulation is the state of the simulated VMs, servers and callers.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	version  []uint64
	locals   []*LocalState
	homes    []*HomeState
	restarts []int // by VM
	queue    []func()
	jobs     []*job
	crashes  map[Content]int
	// incarnations counts the crashes of each server.
	incarnations [simServers]int
	completed    map[Content]int
	// localCounts makes each VM decide by its own crash counts only. The limit
	// doesn't hold in this mode.
	localCounts  bool
	newestRoster uint64
	violation    string
}

const (
	simVMs     = 3
	simServers = 3
	// simContents is the number of contents; the first one is poison.
	simContents = 3
)

func newSimulation(seed int64, localCounts bool) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0),
		crashes: map[Content]int{}, completed: map[Content]int{}, localCounts: localCounts, newestRoster: 1,
		version: make([]uint64, simVMs), restarts: make([]int, simVMs),
	}
	for i := range simVMs {
		sim.locals = append(sim.locals, NewLocalState(vmID(i), 0))
		sim.homes = append(sim.homes, NewHomeState(0))
		sim.setVersion(i, 1)
	}
	return sim
}

func vmID(i int) vm.ID { return vm.ID(fmt.Sprint("vm", i)) }

func (sim *simulation) index(id vm.ID) int {
	return slices.IndexFunc(sim.locals, func(l *LocalState) bool { return l.self == id })
}

func (sim *simulation) setVersion(i int, v uint64) {
	members := []vm.ID{}
	for j := range simVMs {
		members = append(members, vmID(j))
	}
	sim.version[i] = v
	sim.locals[i].SetVersion(v)
	sim.homes[i].SetRoster(Roster{Version: v, Members: members})
}

// home returns the index of the content's home in the roster of VM i. The home
// changes with each roster version.
func (sim *simulation) home(i int, c Content) int {
	return int(uint64(c.Digest[0])+sim.version[i]) % simVMs
}

// send queues a message. It is dropped if the sender or receiver restarts.
func (sim *simulation) send(from, to int, f func()) {
	a, b := sim.restarts[from], sim.restarts[to]
	sim.queue = append(sim.queue, func() {
		if sim.restarts[from] == a && sim.restarts[to] == b {
			f()
		}
	})
}

// submit submits a content to a random VM.
func (sim *simulation) submit(index int, c Content, poison bool) {
	sim.jobs[index] = &job{index: index, content: c, poison: poison, vm: sim.rng.Intn(simVMs), retries: 3}
}

func (sim *simulation) resubmit(j *job) { sim.submit(j.index, j.content, j.poison) }

// step executes one random action.
func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Millisecond)
	switch n := sim.rng.Intn(100); {
	case n < 50 && len(sim.queue) > 0:
		i := sim.rng.Intn(len(sim.queue))
		f := sim.queue[i]
		sim.queue = slices.Delete(sim.queue, i, i+1)
		f()
	case n < 87:
		sim.stepJob(sim.randomJob())
	case n < 90:
		sim.abandon(sim.randomJob())
	case n < 94:
		sim.newestRoster++
	case n < 98:
		if i := sim.rng.Intn(simVMs); sim.version[i] < sim.newestRoster {
			sim.setVersion(i, sim.version[i]+1)
		}
	case n == 98 && !sim.localCounts:
		sim.restart(sim.rng.Intn(simVMs))
	}
}

func (sim *simulation) randomJob() *job { return sim.jobs[sim.rng.Intn(len(sim.jobs))] }

// abandon cancels the job's run as if the caller had disconnected, and submits
// the content again. A job whose run is being reported is not abandoned: the
// limit doesn't cover a caller that disconnects while its VM reports a crash
// and retries before the report has arrived.
func (sim *simulation) abandon(j *job) {
	if j.reporting {
		return
	}
	if j.run != nil {
		f, suspect := sim.locals[j.vm].End(sim.now, j.run, Failed)
		to := sim.home(j.vm, j.content)
		if suspect && !sim.localCounts {
			sim.send(j.vm, to, func() { sim.homes[to].Finish(sim.now, f) })
		}
	}
	sim.resubmit(j)
}

// restart replaces a VM by one without state that fetches the evidence of the
// others. Its runs are canceled with their connections. A VM that is reporting
// a crash is not restarted: the limit doesn't cover the loss of a crash that
// only this VM has recorded.
func (sim *simulation) restart(i int) {
	for _, j := range sim.jobs {
		if j.vm == i && j.reporting {
			return
		}
	}
	sim.restarts[i]++
	serial := uint64(sim.restarts[i]) * 1000
	sim.locals[i] = NewLocalState(vmID(i), serial)
	sim.homes[i] = NewHomeState(uint64(sim.now.UnixNano()))
	sim.setVersion(i, sim.version[i])
	for j, l := range sim.locals {
		if j != i {
			for _, s := range l.Announcements() {
				sim.locals[i].MergeEvidence(sim.now, s.Content, s.Evidence)
			}
		}
	}
	for _, j := range sim.jobs {
		if j.vm == i {
			sim.resubmit(j)
		}
	}
}

func (sim *simulation) stepJob(j *job) {
	switch {
	case j.responded:
		sim.resubmit(j)
	case j.run != nil:
		sim.endRun(j)
	case !j.acquiring && !j.reporting:
		sim.begin(j)
	}
}

func (sim *simulation) begin(j *job) {
	l := sim.locals[j.vm]
	content := func() Content { return j.content }
	status, evidence, _ := l.Check(sim.now, "a", content)
	switch {
	case status == Blocked:
		j.responded = true
	case status == Suspect && !sim.localCounts:
		sim.acquire(j, evidence)
	case status == Suspect:
		l.suspects[j.content].fence = 0
		sim.recordStart(j, l.StartGranted(sim.now, "a", content, sim.pickServer(j), Grant{Version: l.version, Number: 1}))
	default:
		server := sim.pickServer(j)
		inc := backend.Incarnation(fmt.Sprint(j.incarnation))
		if sim.rng.Intn(2) == 0 {
			inc = ""
		}
		sim.recordStart(j, l.Start(sim.now, "a", content, server, inc))
	}
}

func (sim *simulation) pickServer(j *job) backend.ID {
	j.server = sim.rng.Intn(simServers)
	j.incarnation = sim.incarnations[j.server]
	return backend.ID(fmt.Sprint("s", j.server))
}

func (sim *simulation) recordStart(j *job, r *Run) {
	j.run = r
	if r == nil {
		return
	}
	for _, l := range sim.locals {
		for other := range l.running {
			granted := r.grant != Grant{} || other.grant != Grant{}
			if j.poison && other != r && granted && other.content() == j.content && !sim.localCounts {
				sim.violation = "a suspect runs twice at the same time"
			}
		}
	}
}

// acquire requests a grant from the home, as Guard does.
func (sim *simulation) acquire(j *job, evidence Evidence) {
	j.acquiring = true
	from, version := j.vm, sim.version[j.vm]
	to := sim.home(from, j.content)
	sim.send(from, to, func() {
		d := sim.homes[to].Acquire(sim.now, vmID(from), version, j.content, evidence)
		sim.announce(to, j.content, d.AnnounceTo)
		sim.send(to, from, func() { sim.applyDecision(j, d) })
	})
}

func (sim *simulation) announce(home int, c Content, ids []vm.ID) {
	if len(ids) == 0 {
		return
	}
	a := sim.homes[home].Announcement(c)
	for _, id := range ids {
		to := sim.index(id)
		sim.send(home, to, func() {
			ack := sim.locals[to].HandleAnnouncement(sim.now, a)
			sim.send(to, home, func() { sim.homes[home].Ack(sim.now, a, ack) })
		})
	}
}

func (sim *simulation) applyDecision(j *job, d Decision) {
	j.acquiring = false
	if sim.jobs[j.index] != j {
		return
	}
	l := sim.locals[j.vm]
	l.MergeEvidence(sim.now, j.content, d.Evidence)
	if d.Kind == Granted {
		sim.recordStart(j, l.StartGranted(sim.now, "a", func() Content { return j.content }, sim.pickServer(j), d.Grant))
	}
}

func (sim *simulation) endRun(j *job) {
	end := End(sim.rng.Intn(2))
	switch dead := sim.incarnations[j.server] != j.incarnation; {
	case dead:
		end = Crashed
	case j.poison:
		end = Crashed
		sim.crashes[j.content]++
		sim.incarnations[j.server]++
	}
	f, suspect := sim.locals[j.vm].End(sim.now, j.run, end)
	j.run = nil
	retry := end == Crashed && j.retries > 0
	j.retries--
	if end == Completed {
		sim.completed[j.content]++
	}
	if !suspect || sim.localCounts {
		j.responded = !retry
		return
	}
	j.reporting = true
	sim.report(j, f, retry)
}

// report reports the end of a run to the home. The caller gets its response, or
// the VM retries, once all VMs have acknowledged the evidence.
func (sim *simulation) report(j *job, f Finish, retry bool) {
	from, to := j.vm, sim.home(j.vm, j.content)
	sim.send(from, to, func() {
		unacked := sim.homes[to].Finish(sim.now, f)
		sim.announce(to, j.content, unacked)
		if len(unacked) > 0 {
			sim.send(from, from, func() { sim.report(j, f, retry) })
			return
		}
		sim.send(to, from, func() {
			j.reporting = false
			j.responded = !retry
		})
	})
}

// runSimulation executes many random steps and returns the first violation, or
// "".
func runSimulation(seed int64, localCounts bool) (violation string, sim *simulation) {
	sim = newSimulation(seed, localCounts)
	sim.jobs = make([]*job, 2*simContents)
	for i := range sim.jobs {
		c := i % simContents
		sim.submit(i, Content{Account: "a", Digest: Digest{byte(c)}}, c == 0)
	}
	for range 1500 {
		sim.step()
		if sim.violation != "" {
			return sim.violation, sim
		}
		for c, n := range sim.crashes {
			if n > CrashLimit {
				return fmt.Sprintf("content %d crashed %d servers", c.Digest[0], n), sim
			}
		}
	}
	return "", sim
}

// TestAtMostTwoCrashes checks the crash limit under random interleavings, and
// that contents that cause no crashes complete.
func TestAtMostTwoCrashes(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 1000
	completed, convicted := 0, 0
	properties := gopter.NewProperties(params)
	properties.Property("at most two crashes for each content", prop.ForAll(
		func(seed int64) string {
			violation, sim := runSimulation(seed, false)
			for c, n := range sim.completed {
				if c.Digest[0] != 0 {
					completed += n
				}
			}
			if sim.crashes[Content{Account: "a"}] == CrashLimit {
				convicted++
			}
			return violation
		},
		gen.Int64(),
	))
	properties.TestingRun(t)
	t.Logf("%d runs of harmless contents completed, the poison content was convicted in %d simulations", completed, convicted)
	if completed == 0 || convicted == 0 {
		t.Error("the simulations were too short to test the limit")
	}
}

// TestLocalCrashCountsExceedTheLimit checks that the simulation can detect a
// violation: VMs that count crashes independently exceed the limit.
func TestLocalCrashCountsExceedTheLimit(t *testing.T) {
	for seed := range int64(100) {
		if violation, _ := runSimulation(seed, true); violation != "" {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Error("no simulation with local counts exceeded the limit")
}
