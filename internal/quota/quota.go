// Package quota enforces the rates of client accounts across all VMs together.
// Each VM counts what it admits in a sliding window and receives the counts of
// the other VMs. For each VM whose counts are missing, it reserves that VM's
// equal share of the limit.
package quota

import (
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/vm"
)

// buckets is the number of buckets in the sliding window.
const buckets = 16

// recentBuckets is the number of buckets over which the current rate is averaged,
// because single requests can be large.
const recentBuckets = 3

// Bound is the quota of an account.
type Bound struct {
	// Rate is in units per second, Burst in units.
	Rate, Burst float64
}

// Settings are the quota settings of the deployment.
type Settings struct {
	// Window is the length of the sliding window over which usage is counted.
	Window time.Duration
	// Overshoot is the fraction by which the fleet may exceed an account's allowance.
	Overshoot float64
	// Slack is the amount that the fleet may use beyond that, in units.
	Slack float64
}

const (
	// grantedExcessShare is the fraction of the permitted excess that is granted to
	// requests. The rest covers what VMs admit before they have each other's counts.
	grantedExcessShare = 0.35
	// smallReserve is the fraction of an account's allowance that is reserved for its
	// small requests: those of at most smallRequestShare of the allowance. Otherwise
	// a single long prompt, which counts a hundred times as much, could cause the
	// refusal of a booking once the account is over its rate.
	smallReserve      = 0.1
	smallRequestShare = 0.005
	// maxReportAge is the age above which another VM's counts are considered stale.
	// Counts are sent a few times a second.
	maxReportAge = 1500 * time.Millisecond
	// reportLag is the mean age of a count when it arrives. Usage since then is
	// extrapolated at the most recent rate.
	reportLag = 250 * time.Millisecond
)

// Usage is what one VM has admitted, in units. Window is the total over the window,
// Recent the mean per bucket over the last recentBuckets complete buckets.
type Usage struct {
	Window float64 `json:"w"`
	Recent float64 `json:"r"`
}

// Process identifies one process of a VM.
type Process struct {
	VM          vm.ID
	Incarnation vm.Incarnation
}

// peer is the last report of a process of another VM, or of another failure domain.
type peer struct {
	receivedAt time.Time
	usages     map[account.ID]Usage
	// olderThanWindow is set if the process has been running for longer than the window.
	olderThanWindow bool
	// ended is set once another process of the same VM has sent a report.
	ended bool
	// members is the number of VMs that the counts cover.
	members int
	// domain is set if the counts are the sum over another failure domain.
	domain bool
}

// Report holds the counts of another VM or of another failure domain.
type Report struct {
	// From is a process, or the name of a failure domain without an incarnation.
	From Process
	// Members is the number of VMs that the counts cover. Domain is set if they are
	// the sum over another failure domain.
	Members int
	Domain  bool
	// Uptime is the age of the process, or of the oldest one of the domain.
	Uptime time.Duration
	Usages map[account.ID]Usage
}

// window counts units over a sliding window.
type window struct {
	counts [buckets]float64
	slot   int64
}

func (w *window) advance(slot int64) {
	if slot-w.slot >= buckets {
		w.counts = [buckets]float64{}
	} else {
		for s := w.slot + 1; s <= slot; s++ {
			w.counts[s%buckets] = 0
		}
	}
	w.slot = max(w.slot, slot)
}

// recent returns the mean of the last recentBuckets complete buckets.
func (w *window) recent(slot int64) float64 {
	sum := 0.0
	for i := int64(1); i <= recentBuckets; i++ {
		sum += w.counts[(slot+buckets-i)%buckets]
	}
	return sum / recentBuckets
}

func (w *window) sum() float64 {
	total := 0.0
	for _, c := range w.counts {
		total += c
	}
	return total
}

// Ledger decides on the admission of requests. It is safe for concurrent use.
type Ledger struct {
	settings Settings
	now      func() time.Time
	started  time.Time

	mu      sync.Mutex
	windows map[account.ID]*window
	peers   map[Process]peer
	// members is the number of VMs that share the quota, including this one.
	members int
	// noPredecessor is set if no earlier process can have admitted requests within
	// the window.
	noPredecessor bool
}

// NewLedger returns a ledger. noPredecessor states that no VM admitted anything in
// the window before the start.
func NewLedger(s Settings, noPredecessor bool, now func() time.Time) *Ledger {
	return &Ledger{
		settings:      s,
		now:           now,
		started:       now(),
		windows:       map[account.ID]*window{},
		peers:         map[Process]peer{},
		members:       1,
		noPredecessor: noPredecessor,
	}
}

func (l *Ledger) slot(now time.Time) int64 {
	return now.UnixNano() / int64(l.settings.Window/buckets)
}

// Verdict is the decision on a request, with the figures that it is based on.
type Verdict struct {
	Admitted bool
	// Used and Limit are the usage and the limit of the whole fleet in the window, in
	// units.
	Used, Limit float64
	// RetryAfter is the estimated time until the request could be admitted.
	RetryAfter time.Duration
}

// Admit decides whether to admit a request of the given units, and counts it if
// admitted.
func (l *Ledger) Admit(id account.ID, b Bound, units float64) Verdict {
	return l.admit(id, b, units, units <= smallRequestShare*b.allowance(l.settings))
}

// AdmitResumed is like Admit for a request that resumes a response. It may use what is
// reserved for small requests: its caller already has a part of the response.
func (l *Ledger) AdmitResumed(id account.ID, b Bound, units float64) Verdict {
	return l.admit(id, b, units, true)
}

func (l *Ledger) admit(id account.ID, b Bound, units float64, mayUseReserve bool) Verdict {
	if b.Rate <= 0 {
		return Verdict{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	w := l.windows[id]
	if w == nil {
		w = &window{}
		l.windows[id] = w
	}
	w.advance(l.slot(now))
	limit := l.limit(b, now)
	reported, unreported := l.peerUsage(id, limit, now)
	used := w.sum() + reported + max(unreported, l.predecessorUsage(b.allowance(l.settings), now))
	if !mayUseReserve {
		limit -= smallReserve * b.allowance(l.settings)
	}
	v := Verdict{Used: used, Limit: limit, Admitted: used+units <= limit}
	if v.Admitted {
		w.counts[w.slot%buckets] += units
	} else {
		v.RetryAfter = time.Duration((used + units - limit) / b.Rate * float64(time.Second))
	}
	return v
}

// Return subtracts the units of a request that did not run.
func (l *Ledger) Return(id account.ID, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.windows[id]; w != nil {
		w.advance(l.slot(l.now()))
		w.counts[w.slot%buckets] = max(0, w.counts[w.slot%buckets]-units)
	}
}

// allowance returns the units that an account may use in a window, without overshoot
// and slack.
func (b Bound) allowance(s Settings) float64 { return b.Rate*s.Window.Seconds() + b.Burst }

// limit returns the units that the fleet may admit in a window. After a restart the
// excess over the allowance grows from 0 over one window, because earlier processes
// may already have granted it.
func (l *Ledger) limit(b Bound, now time.Time) float64 {
	allowance := b.allowance(l.settings)
	excess := grantedExcessShare * (allowance*l.settings.Overshoot + l.settings.Slack)
	if age := now.Sub(l.started); !l.noPredecessor && age < l.settings.Window {
		excess *= float64(age) / float64(l.settings.Window)
	}
	return allowance + excess
}

// peerUsage returns the estimated usage of the VMs with a report in the last window,
// and the units reserved for the others: their equal shares of the limit.
func (l *Ledger) peerUsage(id account.ID, limit float64, now time.Time) (total, unreported float64) {
	fair := limit / float64(l.members)
	reporting := 0
	for name, p := range l.peers {
		age := now.Sub(p.receivedAt)
		if age > l.settings.Window {
			delete(l.peers, name)
			continue
		}
		total += l.estimate(p, id, age, fair)
		if !p.ended {
			reporting += p.members
		}
	}
	return total, fair * float64(max(0, l.members-1-reporting))
}

// estimate returns the units that a process has admitted in the window, estimated
// from its last report.
func (l *Ledger) estimate(p peer, id account.ID, age time.Duration, fair float64) float64 {
	u := p.usages[id]
	switch {
	case p.ended:
		return u.Window * (1 - float64(age)/float64(l.settings.Window))
	case age > maxReportAge:
		return max(u.Window, fair*float64(p.members))
	default:
		part := l.settings.Window.Seconds() / buckets
		return u.Window + u.Recent*(age+reportLag).Seconds()/part
	}
}

// predecessorUsage returns an upper estimate of the units that earlier processes
// admitted within the window without reporting them. Counts don't survive a restart.
// If another VM has been running for longer than the window, only this VM's own share
// is unknown.
func (l *Ledger) predecessorUsage(allowance float64, now time.Time) float64 {
	age := now.Sub(l.started)
	if l.noPredecessor || age >= l.settings.Window {
		return 0
	}
	remaining := 1 - float64(age)/float64(l.settings.Window)
	for _, p := range l.peers {
		if p.olderThanWindow {
			return allowance / float64(l.members) * remaining
		}
	}
	return allowance * remaining
}

// Record records a report of another VM or failure domain.
func (l *Ledger) Record(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if name.VM == r.From.VM && name != r.From && !p.ended {
			p.ended = true
			l.peers[name] = p
		}
	}
	l.peers[r.From] = peer{
		receivedAt: l.now(), usages: r.Usages, olderThanWindow: r.Uptime > l.settings.Window,
		members: max(1, r.Members), domain: r.Domain,
	}
}

// DomainUsages returns the sum of the counts of this VM and of all processes that
// report individually: the VMs of this VM's failure domain.
func (l *Ledger) DomainUsages() map[account.ID]Usage {
	out := l.Usages()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, p := range l.peers {
		age := now.Sub(p.receivedAt)
		if p.domain || age > l.settings.Window {
			continue
		}
		for id, u := range p.usages {
			sum := out[id]
			sum.Window += l.estimate(p, id, age, 0)
			if !p.ended && age <= maxReportAge {
				sum.Recent += u.Recent
			}
			out[id] = sum
		}
	}
	return out
}

// Rates returns what the accounts use over all VMs, in units per second, averaged over the window. VMs that
// have stopped reporting count as far as their counts lie within the window.
func (l *Ledger) Rates() map[account.ID]float64 {
	out := map[account.ID]float64{}
	for id, u := range l.Usages() {
		out[id] = u.Window
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, p := range l.peers {
		age := now.Sub(p.receivedAt)
		if age > l.settings.Window {
			continue
		}
		keep := 1.0
		if p.ended || age > maxReportAge {
			keep -= float64(age) / float64(l.settings.Window)
		}
		for id, u := range p.usages {
			out[id] += keep * u.Window
		}
	}
	for id := range out {
		out[id] /= l.settings.Window.Seconds()
	}
	return out
}

// SetMembers sets the number of VMs that share the quota, including this one.
func (l *Ledger) SetMembers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = max(1, n)
}

// Usages returns the counts of this VM.
func (l *Ledger) Usages() map[account.ID]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.slot(l.now())
	out := map[account.ID]Usage{}
	for id, w := range l.windows {
		w.advance(slot)
		u := Usage{Window: w.sum(), Recent: w.recent(slot)}
		if u.Window > 0 {
			out[id] = u
		}
	}
	return out
}
