package canary

import (
	"fmt"
	"math"
	"time"

	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// renewal is how often a running stage is announced again, as a part of its validity.
	renewal = 5
	// shareChange is the relative change of a share that is worth a new announcement and, if it
	// grows, a write to the store. shareInterval is the least time between two, as a part of the
	// time limit.
	shareChange   = 0.3
	shareInterval = 0.05
	// rateWindow is the time over which the rate of requests is measured.
	rateWindow = 2 * time.Second
	// peakDecay is the time in which the peak of the rate falls to 1/e of its distance to the rate.
	peakDecay = 10 * time.Second
)

// ServerGroup are the ready servers of one kind.
type ServerGroup struct {
	Servers, Slots int
}

// Input is what the holder of the order lease knows.
type Input struct {
	// Old and New are the servers of other versions and of the new one.
	Old, New ServerGroup
	// Reports are the latest report of each process, also of those that have gone.
	Reports []VMReport
	// Members is the number of VMs in touch.
	Members int
}

// Decision is the outcome of a step.
type Decision struct {
	Announcement Announcement
	Record       Record
	// Persist is set if the record has to be stored before the announcement may be made. It is set
	// once: a caller that fails to store the record announces nothing newer and tries again.
	// RolledBack may be announced before it is stored, as it only lowers the share.
	Persist bool
	Reason  string
	// Samples is the number of the new version's answers.
	Samples uint64
}

type process struct {
	id          vm.ID
	incarnation vm.Incarnation
}

// sentAt is the flow of requests known at a time.
type sentAt struct {
	at   time.Duration
	sent float64
}

// shareFrom is a share that was announced from a time on.
type shareFrom struct {
	from  time.Duration
	share float64
}

// Controller decides on one order. It is not safe for concurrent use.
type Controller struct {
	schedule schedule
	order    Order
	fencing  uint64
	phase    Phase
	reason   string
	// started is when the controller was made; before is the time from the order until then.
	started time.Time
	before  time.Duration
	now     time.Duration // since the order, at the current step
	// resumed is set if earlier holders recorded storedTotal and storedExposed. The counts in the
	// first reports after that, baseSent and baseNew, are part of what they recorded.
	resumed                    bool
	storedTotal, storedExposed float64
	baseSent, baseNew          float64

	seen          map[process]Report
	routes        map[string]*routeAnalysis
	names         []string // of routes, in the order in which they were first seen
	sent, sentNew float64
	// flow are the requests sent since the first report of each process. The first reports don't show
	// the rate, neither at the start of the order nor to a new holder.
	flow             float64
	rates            []sentAt
	rate, peak       float64
	samples          uint64
	step             step
	stepBegan        time.Duration
	halfTime         time.Duration
	stage, fullStage uint32
	share            float64
	shareAt          time.Duration
	shares           []shareFrom // of the last reportDelay
	announced        Announcement
	announcedAt      time.Duration
	until            time.Duration
	record           Record
}

// NewController returns a controller for an order, which continues from the stored record of that
// order if there is one.
func NewController(s Settings, o Order, resume *Record, now time.Time) *Controller {
	c := &Controller{
		schedule: schedule{settings: s, duration: o.Duration}, order: o, phase: Running, started: now,
		before: max(0, now.Sub(o.At)), seen: map[process]Report{}, routes: map[string]*routeAnalysis{},
	}
	if resume != nil && resume.Order.Revision == o.Revision {
		c.before = max(c.before, resume.Elapsed)
		c.resumed, c.record = true, *resume
		c.storedTotal, c.storedExposed = resume.Total, resume.Exposed
		c.fencing, c.stage, c.phase, c.reason = resume.Fencing, resume.Stage, resume.Phase, resume.Reason
	}
	return c
}

// Step makes the next decision. It is called at least as often as reports arrive.
func (c *Controller) Step(now time.Time, in Input) Decision {
	elapsed := c.before + max(0, now.Sub(c.started))
	c.now = elapsed
	first := c.announced.Service == ""
	c.ingest(elapsed, in.Reports)
	if first && c.resumed {
		c.baseSent, c.baseNew = c.sent, c.sentNew
	}
	persist := false
	if c.phase == Running {
		if phase, reason := c.verdict(elapsed, in); phase != Running {
			c.phase, c.reason, persist = phase, reason, true
			c.stage++
		}
	}
	if c.phase.Final() {
		c.announced = Announcement{Service: c.order.Service, To: c.order.To, Order: c.order.Revision, Phase: c.phase,
			Fencing: c.fencing, Stage: c.stage}
		if persist {
			c.keep(elapsed, c.exposed())
		}
		return c.decision(persist)
	}
	return c.decision(c.advance(elapsed, in))
}

// ingest adds what is new in the reports. Counts of processes that have gone stay.
func (c *Controller) ingest(elapsed time.Duration, reports []VMReport) {
	index := int(elapsed / max(minPeriod, c.order.Duration/periods))
	for _, r := range reports {
		if r.Report.Service != c.order.Service || r.Report.Order != c.order.Revision {
			continue
		}
		key := process{r.VM, r.Incarnation}
		last, known := c.seen[key]
		if r.Report.Sent < last.Sent {
			continue // an older report that arrived late
		}
		c.seen[key] = r.Report
		c.sent += float64(r.Report.Sent - last.Sent)
		if known {
			c.flow += float64(r.Report.Sent - last.Sent)
		}
		c.sentNew += float64(r.Report.SentNew - min(last.SentNew, r.Report.SentNew))
		earlier := make(map[string]RouteCounts, len(last.Routes))
		for _, rc := range last.Routes {
			earlier[rc.Route] = rc
		}
		for _, rc := range r.Report.Routes {
			a := c.routes[rc.Route]
			if a == nil {
				a = &routeAnalysis{}
				c.routes[rc.Route] = a
				c.names = append(c.names, rc.Route)
			}
			fresh := rc.New.subtract(earlier[rc.Route].New)
			c.samples += fresh.Requests
			a.add(index, rc.Old.subtract(earlier[rc.Route].Old), fresh)
		}
	}
	if c.flow == 0 {
		return
	}
	c.rates = append(c.rates, sentAt{elapsed, c.flow})
	for len(c.rates) > 2 && c.rates[1].at <= elapsed-rateWindow {
		c.rates = c.rates[1:]
	}
	if over := elapsed - c.rates[0].at; over >= rateWindow/2 {
		c.rate = (c.flow - c.rates[0].sent) / over.Seconds()
		passed := c.rates[len(c.rates)-1].at - c.rates[len(c.rates)-2].at
		c.peak = max(c.rate, c.rate+(c.peak-c.rate)*math.Exp(-passed.Seconds()/peakDecay.Seconds()))
	}
}

// total is a lower bound of the requests for the service.
func (c *Controller) total() float64 { return max(c.sent, c.storedTotal+c.sent-c.baseSent) }

// exposed is an upper bound of the requests that the new version has got. Requests that are not
// reported yet are estimated from the shares. What earlier holders recorded counts in full, as the
// reports of processes that have ended since are unknown.
func (c *Controller) exposed() float64 {
	unreported, until := 0.0, c.now
	for i := len(c.shares) - 1; i >= 0 && until > c.now-reportDelay; i-- {
		from := max(c.shares[i].from, c.now-reportDelay)
		unreported += c.peak * c.shares[i].share * (until - from).Seconds()
		until = from
	}
	return c.storedExposed + c.sentNew - c.baseNew + unreported
}

// confirmed counts the processes that send nothing to the old servers any more, and those that also
// run nothing there.
func (c *Controller) confirmed() (stopped, idle int) {
	for _, r := range c.seen {
		if c.fullStage > 0 && r.Stage >= c.fullStage {
			stopped++
			if r.OldRunning == 0 {
				idle++
			}
		}
	}
	return stopped, idle
}

// verdict returns the phase that follows from the reports, with its reason.
func (c *Controller) verdict(elapsed time.Duration, in Input) (Phase, string) {
	if err := c.order.Validate(); err != nil {
		return RolledBack, err.Error()
	}
	if in.New.Servers == 0 && elapsed >= c.order.Duration/2 {
		return RolledBack, fmt.Sprintf("no server of version %s is ready after half of the duration", c.order.To)
	}
	level := conclusive
	if c.step < fullLoad && elapsed >= c.schedule.fullLoadAt() || elapsed >= c.schedule.decideBy() {
		level = suffices
	}
	if reason := verdictOf(c.names, c.routes, level); reason != "" {
		return RolledBack, reason
	}
	stopped, idle := c.confirmed()
	if c.step == fullLoad && c.fullStage > 0 {
		if idle >= max(in.Members, 1) && elapsed >= c.stepBegan+c.schedule.fullLoadFor() &&
			verdictOf(c.names, c.routes, suspicious) == "" {
			return Completed, "all VMs have confirmed that nothing runs at the old servers"
		}
		// A VM that doesn't confirm is out of touch, or its requests at old servers last too long.
		if elapsed >= c.schedule.decideBy() && 2*stopped >= max(in.Members, 1) {
			return Completed, fmt.Sprintf("the duration ends; %d of %d VMs have confirmed", idle, in.Members)
		}
	}
	if elapsed >= c.order.Duration {
		return RolledBack, fmt.Sprintf("the duration has passed; %d of %d VMs have confirmed", idle, in.Members)
	}
	return Running, ""
}

// advance follows the schedule and reports whether the record has to be stored first.
func (c *Controller) advance(elapsed time.Duration, in Input) bool {
	total, s := c.total(), c.schedule
	if c.step < halfLoad {
		c.halfTime = s.halfLoadTime(s.budget(total, c.rate, elapsed), c.rate)
	}
	next, end := s.next(c.step, c.stepBegan, elapsed, c.halfTime)
	entered := next != c.step || c.stage == 0
	if entered {
		c.step, c.stepBegan = next, elapsed
	}
	validity := s.settings.RollbackDelay / 2
	if next == halfLoad {
		validity = min(validity, halfLoadValidity, end-elapsed)
	}
	want := s.share(next, end, elapsed, total, c.rate, c.exposed())
	forced := false
	if next < fullLoad {
		// More than the new servers' part of the load would show their size instead of their faults.
		if in.Old.Slots > 0 {
			want = min(want, float64(in.New.Slots)/float64(in.Old.Slots))
		}
		limit := s.affordable(1, validity, total, c.peak, c.exposed())
		want, forced = min(want, limit), limit < c.share
	}
	if in.New.Servers == 0 {
		want, forced = 0, c.share > 0
	}
	changed := want < c.share*(1-shareChange) || want > c.share*(1+shareChange)
	due := elapsed >= c.shareAt+max(part(s.duration, shareInterval), 500*time.Millisecond)
	grown := false
	if entered || forced || changed && due {
		grown = want > c.share
		c.share, c.shareAt = want, elapsed
		for len(c.shares) > 1 && c.shares[1].from <= elapsed-reportDelay {
			c.shares = c.shares[1:]
		}
		c.shares = append(c.shares, shareFrom{elapsed, want})
	} else if elapsed < c.announcedAt+min(s.settings.RollbackDelay/2, validity)/renewal {
		c.announced.For = c.until - elapsed
		return false
	}
	c.stage++
	if c.share < 1 {
		c.fullStage = 0
	} else if c.fullStage == 0 {
		c.fullStage = c.stage
	}
	c.announcedAt, c.until = elapsed, elapsed+validity
	c.announced = Announcement{Service: c.order.Service, To: c.order.To, Order: c.order.Revision, Phase: Running,
		Fencing: c.fencing, Stage: c.stage, Share: c.share, For: validity, OldStopping: c.fullStage > 0}
	// A record that is written later must not be needed before the stage's validity ends.
	held := burstFactor * c.share * c.peak * validity.Seconds()
	if grown || c.exposed()+held > c.record.Exposed {
		c.keep(elapsed, c.exposed()+held+c.share*c.rate*(end-elapsed).Seconds())
		return true
	}
	return false
}

func (c *Controller) keep(elapsed time.Duration, exposed float64) {
	c.record = Record{Order: c.order, Phase: c.phase, Reason: c.reason, Stage: c.stage, Elapsed: elapsed,
		Exposed: exposed, Total: c.total(), Fencing: c.fencing}
}

func (c *Controller) decision(persist bool) Decision {
	return Decision{Announcement: c.announced, Record: c.record, Persist: persist, Reason: c.reason, Samples: c.samples}
}
