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

// The proof drives the state machines of several VMs with messages that are
// delivered in random order, under changes of the roster and restarts of VMs.
// Each content has two callers at the same time. Each sends it again through a
// random VM as soon as it has an answer, gives up waiting, or its VM is gone.
// Messages are lost only if their sender or receiver restarts.

// job is one request with its content on its way through a VM.
type job struct {
	index   int
	content Content
	poison  bool
	vm      int
	// retries is the number of further runs the VM makes by itself.
	retries int
	run     *Run
	// server and incarnation are where the run is.
	server, incarnation int
	asking              bool
	// reported is set while the answer to the caller waits for the home.
	reported bool
	answered bool
}

type world struct {
	rng     *rand.Rand
	now     time.Time
	version []uint64
	locals  []*Local
	homes   []*Home
	alive   []int // counts restarts
	queue   []func()
	jobs    []*job
	crashes map[Content]int
	// incarnations counts the crashes of each server.
	incarnations [worldServers]int
	done         map[Content]int
	// routerLocal makes each VM decide by its own counts, the naive version.
	routerLocal bool
	rosters     uint64
	err         string
}

const (
	worldVMs     = 3
	worldServers = 3
	// worldContents are the contents; the first is poison.
	worldContents = 3
)

func newWorld(seed int64, routerLocal bool) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0),
		crashes: map[Content]int{}, done: map[Content]int{}, routerLocal: routerLocal, rosters: 1,
		version: make([]uint64, worldVMs), alive: make([]int, worldVMs),
	}
	for i := range worldVMs {
		w.locals = append(w.locals, NewLocal(vmID(i), 0))
		w.homes = append(w.homes, NewHome(0))
		w.setVersion(i, 1)
	}
	return w
}

func vmID(i int) vm.ID { return vm.ID(fmt.Sprint("vm", i)) }

func (w *world) index(id vm.ID) int {
	return slices.IndexFunc(w.locals, func(l *Local) bool { return l.self == id })
}

func (w *world) setVersion(i int, v uint64) {
	members := []vm.ID{}
	for j := range worldVMs {
		members = append(members, vmID(j))
	}
	w.version[i] = v
	w.locals[i].SetVersion(v)
	w.homes[i].SetRoster(Roster{Version: v, Members: members})
}

// home returns the content's home in the roster of VM i. It moves with each
// version.
func (w *world) home(i int, c Content) int {
	return int(uint64(c.Digest[0])+w.version[i]) % worldVMs
}

// send queues a message. It is dropped if the sender or receiver restarts.
func (w *world) send(from, to int, f func()) {
	a, b := w.alive[from], w.alive[to]
	w.queue = append(w.queue, func() {
		if w.alive[from] == a && w.alive[to] == b {
			f()
		}
	})
}

// submit gives a content to a random VM.
func (w *world) submit(index int, c Content, poison bool) {
	w.jobs[index] = &job{index: index, content: c, poison: poison, vm: w.rng.Intn(worldVMs), retries: 3}
}

func (w *world) again(j *job) { w.submit(j.index, j.content, j.poison) }

// step takes one random action.
func (w *world) step() {
	w.now = w.now.Add(time.Millisecond)
	switch n := w.rng.Intn(100); {
	case n < 50 && len(w.queue) > 0:
		i := w.rng.Intn(len(w.queue))
		f := w.queue[i]
		w.queue = slices.Delete(w.queue, i, i+1)
		f()
	case n < 87:
		w.stepJob(w.randomJob())
	case n < 90:
		w.abandon(w.randomJob())
	case n < 94:
		w.rosters++
	case n < 98:
		if i := w.rng.Intn(worldVMs); w.version[i] < w.rosters {
			w.setVersion(i, w.version[i]+1)
		}
	case n == 98 && !w.routerLocal:
		w.restart(w.rng.Intn(worldVMs))
	}
}

func (w *world) randomJob() *job { return w.jobs[w.rng.Intn(len(w.jobs))] }

// abandon makes the caller leave. Its run is canceled. A caller that leaves
// while its VM reports a crash, and runs again before the report is known, is
// not covered by the limit.
func (w *world) abandon(j *job) {
	if j.reported {
		return
	}
	if j.run != nil {
		f, suspect := w.locals[j.vm].End(w.now, j.run, Failed)
		to := w.home(j.vm, j.content)
		if suspect && !w.routerLocal {
			w.send(j.vm, to, func() { w.homes[to].Finish(w.now, f) })
		}
	}
	w.again(j)
}

// restart replaces a VM by an empty one that learns from the others. Its runs
// are canceled with their connections. A crash that only this VM knows of would
// be forgotten with it, so a VM does not restart while it reports one: that
// case is not covered by the limit.
func (w *world) restart(i int) {
	for _, j := range w.jobs {
		if j.vm == i && j.reported {
			return
		}
	}
	w.alive[i]++
	serial := uint64(w.alive[i]) * 1000
	w.locals[i] = NewLocal(vmID(i), serial)
	w.homes[i] = NewHome(uint64(w.now.UnixNano()))
	w.setVersion(i, w.version[i])
	for j, l := range w.locals {
		if j != i {
			for _, s := range l.Suspects() {
				w.locals[i].Learn(w.now, s.Content, s.Evidence)
			}
		}
	}
	for _, j := range w.jobs {
		if j.vm == i {
			w.again(j)
		}
	}
}

func (w *world) stepJob(j *job) {
	switch {
	case j.answered:
		w.again(j)
	case j.run != nil:
		w.endRun(j)
	case !j.asking && !j.reported:
		w.begin(j)
	}
}

func (w *world) begin(j *job) {
	l := w.locals[j.vm]
	content := func() Content { return j.content }
	status, evidence, _ := l.Check(w.now, "a", content)
	switch {
	case status == Guilty:
		j.answered = true
	case status == Suspect && !w.routerLocal:
		w.acquire(j, evidence)
	case status == Suspect:
		l.suspects[j.content].fence = 0
		w.started(j, l.StartGranted(w.now, "a", content, w.pick(j), Grant{Version: l.version, Number: 1}))
	default:
		server := w.pick(j)
		inc := backend.Incarnation(fmt.Sprint(j.incarnation))
		if w.rng.Intn(2) == 0 {
			inc = ""
		}
		w.started(j, l.Start(w.now, "a", content, server, inc))
	}
}

func (w *world) pick(j *job) backend.ID {
	j.server = w.rng.Intn(worldServers)
	j.incarnation = w.incarnations[j.server]
	return backend.ID(fmt.Sprint("s", j.server))
}

func (w *world) started(j *job, r *Run) {
	j.run = r
	if r == nil {
		return
	}
	for _, l := range w.locals {
		for other := range l.running {
			granted := r.grant != Grant{} || other.grant != Grant{}
			if j.poison && other != r && granted && other.content() == j.content && !w.routerLocal {
				w.err = "a suspect runs twice at once"
			}
		}
	}
}

// acquire asks the home for a grant, as Guard does.
func (w *world) acquire(j *job, evidence Evidence) {
	j.asking = true
	from, version := j.vm, w.version[j.vm]
	to := w.home(from, j.content)
	w.send(from, to, func() {
		d := w.homes[to].Acquire(w.now, vmID(from), version, j.content, evidence)
		w.ask(to, j.content, d.Ask)
		w.send(to, from, func() { w.decided(j, d) })
	})
}

func (w *world) ask(home int, c Content, ids []vm.ID) {
	if len(ids) == 0 {
		return
	}
	a := w.homes[home].Announcement(c)
	for _, id := range ids {
		to := w.index(id)
		w.send(home, to, func() {
			ack := w.locals[to].Announce(w.now, a)
			w.send(to, home, func() { w.homes[home].Ack(w.now, a, ack) })
		})
	}
}

func (w *world) decided(j *job, d Decision) {
	j.asking = false
	if w.jobs[j.index] != j {
		return
	}
	l := w.locals[j.vm]
	l.Learn(w.now, j.content, d.Evidence)
	if d.Kind == Granted {
		w.started(j, l.StartGranted(w.now, "a", func() Content { return j.content }, w.pick(j), d.Grant))
	}
}

func (w *world) endRun(j *job) {
	end := End(w.rng.Intn(2))
	switch dead := w.incarnations[j.server] != j.incarnation; {
	case dead:
		end = Crashed
	case j.poison:
		end = Crashed
		w.crashes[j.content]++
		w.incarnations[j.server]++
	}
	f, suspect := w.locals[j.vm].End(w.now, j.run, end)
	j.run = nil
	retry := end == Crashed && j.retries > 0
	j.retries--
	if end == Completed {
		w.done[j.content]++
	}
	if !suspect || w.routerLocal {
		j.answered = !retry
		return
	}
	j.reported = true
	w.report(j, f, retry)
}

// report sends the end of a run to the home. The caller gets its answer, and
// the VM tries again, when the home has it.
func (w *world) report(j *job, f Finish, retry bool) {
	from, to := j.vm, w.home(j.vm, j.content)
	w.send(from, to, func() {
		ask := w.homes[to].Finish(w.now, f)
		w.ask(to, j.content, ask)
		if len(ask) > 0 {
			w.send(from, from, func() { w.report(j, f, retry) })
			return
		}
		w.send(to, from, func() {
			j.reported = false
			j.answered = !retry
		})
	})
}

// runWorld returns what is wrong after many steps, or "".
func runWorld(seed int64, routerLocal bool) (wrong string, w *world) {
	w = newWorld(seed, routerLocal)
	w.jobs = make([]*job, 2*worldContents)
	for i := range w.jobs {
		c := i % worldContents
		w.submit(i, Content{Account: "a", Digest: Digest{byte(c)}}, c == 0)
	}
	for range 1500 {
		w.step()
		if w.err != "" {
			return w.err, w
		}
		for c, n := range w.crashes {
			if n > CrashLimit {
				return fmt.Sprintf("content %d crashed %d servers", c.Digest[0], n), w
			}
		}
	}
	return "", w
}

// TestAtMostTwoCrashes checks the limit under random interleavings, and that
// innocent contents go on to complete.
func TestAtMostTwoCrashes(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 1000
	completed, convicted := 0, 0
	properties := gopter.NewProperties(params)
	properties.Property("at most two crashes for each content", prop.ForAll(
		func(seed int64) string {
			wrong, w := runWorld(seed, false)
			for c, n := range w.done {
				if c.Digest[0] != 0 {
					completed += n
				}
			}
			if w.crashes[Content{Account: "a"}] == CrashLimit {
				convicted++
			}
			return wrong
		},
		gen.Int64(),
	))
	properties.TestingRun(t)
	t.Logf("%d innocent runs completed, %d poisons convicted", completed, convicted)
	if completed == 0 || convicted == 0 {
		t.Error("the schedules were not long enough to show anything")
	}
}

// TestRouterLocalCountsAreRefuted shows that the check can fail: VMs that count
// crashes on their own exceed the limit.
func TestRouterLocalCountsAreRefuted(t *testing.T) {
	for seed := range int64(100) {
		if wrong, _ := runWorld(seed, true); wrong != "" {
			t.Logf("seed %d: %s", seed, wrong)
			return
		}
	}
	t.Error("router-local counts kept the limit")
}
