package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/vm"
)

var testSettings = Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackDelay: 5 * time.Second}

// answer is what a server gives for a request.
type answer struct {
	failed  bool
	latency time.Duration
}

// simVM is a VM with its messages in flight.
type simVM struct {
	id           vm.ID
	gate         *Gate
	tally        *Tally
	from         time.Duration // its start
	cutFrom, cut time.Duration // no messages from cutFrom to cut
	lastReport   time.Duration
	sent, new    int
}

// sim runs one roll-out over some VMs in virtual time. Messages take 50 to 400 ms; reports are sent
// every 500 ms or at once if they are urgent.
type sim struct {
	order   Order
	rate    func(t time.Duration) float64
	answers func(route int, isNew bool, t time.Duration, newShare float64) answer
	rng     *rand.Rand
	vms     []*simVM
	servers func(t time.Duration) int // of the new version
	lossy   float64                   // share of messages lost
	holder  *Controller
	events  map[int][]func(time.Duration)
	reports map[vm.ID]VMReport
	record  *Record // as stored
	// restartAt is when a new holder takes over, which knows only the record and no reports;
	// holderless is the time that this takes.
	restartAt, holderless time.Duration
	restarted             func()

	total, exposed, bad, lateBad int
	fiftieth, finalAt            time.Duration
	over                         float64 // greatest exposure beyond what the requests so far allow
	ended                        Decision
	full                         bool      // the last step has begun
	running                      []float64 // new servers' share of the last 200 ms
}

const tick = 10 * time.Millisecond

var epoch = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

func newSim(seed uint64, vms int, rate float64, duration time.Duration) *sim {
	s := &sim{
		order:   Order{Service: "s", To: "v2", Duration: duration, Revision: platform.Revision{Version: 7}, At: epoch},
		rate:    func(time.Duration) float64 { return rate },
		answers: healthy, rng: rand.New(rand.NewPCG(seed, 1)), servers: func(time.Duration) int { return 4 },
		events: map[int][]func(time.Duration){}, reports: map[vm.ID]VMReport{},
	}
	for i := range vms {
		v := &simVM{id: vm.ID(fmt.Sprint(i)), gate: NewGate(), tally: NewTally()}
		v.gate.random = s.rng.Float64
		s.vms = append(s.vms, v)
	}
	return s
}

func (s *sim) healthyLatency() time.Duration {
	return time.Duration((20 + 30*s.rng.ExpFloat64()) * float64(time.Millisecond))
}

// healthy is replaced in most tests; a latency of 0 means that of a healthy server.
func healthy(int, bool, time.Duration, float64) answer { return answer{} }

// later runs f after a delay.
func (s *sim) later(t, delay time.Duration, f func(time.Duration)) {
	i := int((t+delay)/tick) + 1
	s.events[i] = append(s.events[i], f)
}

// message delivers f with the delay of a message, unless it is lost.
func (s *sim) message(v *simVM, t time.Duration, f func(time.Duration)) {
	if t >= v.cutFrom && t < v.cut || s.rng.Float64() < s.lossy {
		return
	}
	s.later(t, 50*time.Millisecond+time.Duration(s.rng.Int64N(int64(350*time.Millisecond))), f)
}

func (s *sim) step(t time.Duration) {
	if s.restartAt > 0 && t >= s.restartAt && t < s.restartAt+s.holderless {
		s.holder = nil
		return
	}
	if s.holder == nil {
		s.holder = NewController(testSettings, s.order, s.record, epoch.Add(t))
		s.reports = map[vm.ID]VMReport{}
		if s.restarted != nil {
			s.restarted()
		}
	}
	in := Input{Old: ServerGroup{4, 64}, New: ServerGroup{s.servers(t), 16 * s.servers(t)}}
	for _, v := range s.vms {
		if t >= v.from && (t < v.cutFrom || t >= v.cut) {
			in.Members++
		}
		if r, ok := s.reports[v.id]; ok {
			in.Reports = append(in.Reports, r)
		}
	}
	d := s.holder.Step(epoch.Add(t), in)
	if d.Persist {
		s.record = &d.Record
	}
	if d.Announcement.Phase.Final() && s.finalAt == 0 {
		s.finalAt, s.ended = t, d
	}
	for _, v := range s.vms {
		if t >= v.from {
			made := t
			s.message(v, t, func(now time.Duration) {
				a := d.Announcement
				if a.For -= now - made; a.For > 0 || a.Phase.Final() {
					if v.gate.Apply(a, epoch.Add(now)) {
						v.tally.Track(a)
					}
				}
			})
		}
	}
}

func (s *sim) request(v *simVM, t time.Duration) {
	route := s.rng.IntN(4)
	c := v.gate.Route("s", epoch.Add(t))
	end := v.tally.Begin("s", c.UseNew)
	s.total++
	v.sent++
	share := 0.0
	for _, n := range s.running {
		share += n / float64(len(s.running))
	}
	a := s.answers(route, c.UseNew, t, share)
	if a.latency == 0 {
		a.latency = s.healthyLatency()
	}
	got := 0.0
	if c.UseNew {
		got = 1
		s.exposed++
		v.new++
		if s.fiftieth > 0 && t > s.fiftieth+testSettings.RollbackDelay && s.ended.Announcement.Phase != Completed {
			s.lateBad++
		}
	}
	if s.running = append(s.running, got); len(s.running) > 50 {
		s.running = s.running[1:]
	}
	s.later(t, a.latency, func(now time.Duration) {
		end()
		v.tally.Record("s", fmt.Sprint(route), c.UseNew, a.failed, a.latency)
		if c.UseNew && (a.failed || a.latency > 150*time.Millisecond) {
			if s.bad++; s.bad == 50 {
				s.fiftieth = now
			}
		}
	})
}

// run runs the roll-out for some time beyond its limit.
func (s *sim) run() *sim {
	due := 0.0
	for i := 0; time.Duration(i)*tick < s.order.Duration+6*time.Second; i++ {
		t := time.Duration(i) * tick
		for _, f := range s.events[i] {
			f(t)
		}
		delete(s.events, i)
		if i%10 == 0 {
			s.step(t)
		}
		for _, v := range s.vms {
			if t >= v.from && (t-v.lastReport >= 500*time.Millisecond || v.tally.Urgent()) {
				v.lastReport = t
				for _, r := range v.tally.Reports(epoch) {
					s.message(v, t, func(time.Duration) {
						if s.reports[v.id].Report.Sent <= r.Sent {
							s.reports[v.id] = VMReport{VM: v.id, Incarnation: 1, Report: r}
						}
					})
				}
			}
		}
		for due += s.rate(t) * tick.Seconds(); due >= 1; due-- {
			v := s.vms[s.rng.IntN(len(s.vms))]
			if t >= v.from {
				s.request(v, t)
			}
		}
		s.full = s.full || s.finalAt > 0 || s.holder != nil && s.holder.step == fullLoad
		if !s.full {
			s.over = max(s.over, float64(s.exposed)-testSettings.ExposureShare*float64(s.total)-testSettings.ExposureSlack)
		}
	}
	return s
}

func (s *sim) String() string {
	return fmt.Sprintf("%s at %v (%.2f of the duration) %q, %d of %d requests at the new version, %d after the delay",
		s.ended.Announcement.Phase, s.finalAt, float64(s.finalAt)/float64(s.order.Duration), s.ended.Reason, s.exposed, s.total, s.lateBad)
}

// expect checks the end of a roll-out, and the exposure of a bad version over its whole duration.
func (s *sim) expect(t *testing.T, want Phase) {
	t.Helper()
	t.Log(s)
	if s.ended.Announcement.Phase != want || s.finalAt > s.order.Duration {
		t.Errorf("want %s within %v: %v", want, s.order.Duration, s)
	}
	if s.over > 0 {
		t.Errorf("the exposure was passed by %.0f requests before the last step: %v", s.over, s)
	}
	if want == RolledBack {
		allowed := testSettings.ExposureShare*float64(s.total) + testSettings.ExposureSlack
		if float64(s.exposed) > allowed || s.lateBad > 0 {
			t.Errorf("allowed are %.0f requests and none after the delay: %v", allowed, s)
		}
	}
}
