// Package quota holds client accounts to their rate over all VMs together. Each
// VM counts what it admits in a sliding window and hears of the others' counts;
// for a VM that it doesn't hear of it leaves that VM's share free.
package quota

import (
	"sync"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/vm"
)

// buckets is the number of parts of the window that are counted apart.
const buckets = 16

// recentBuckets is the number of parts over which the present rate is averaged:
// single requests are large.
const recentBuckets = 3

// Bound is what an account may use.
type Bound struct {
	// Rate is in units a second, Burst in units.
	Rate, Burst float64
}

// Settings are the bounds of the deployment.
type Settings struct {
	// Window is the span over which usage is counted.
	Window time.Duration
	// Overshoot is the share by which the fleet may exceed the bound.
	Overshoot float64
	// Slack is what the fleet may use above that, in units.
	Slack float64
}

const (
	// slackUse is the part of the permitted excess that is given out. The rest
	// covers what VMs admit before they hear of one another.
	slackUse = 0.35
	// smallReserve is the share of an account's bound that only its small requests
	// may use, and smallShare is what counts as small, as a share of the bound. An
	// account over its rate would else lose a booking to a single long prompt,
	// which counts a hundred times as much.
	smallReserve = 0.1
	smallShare   = 0.005
	// reportAge is the age from which another VM's count is no longer trusted.
	// Counts come a few times a second.
	reportAge = 1500 * time.Millisecond
	// gaugeLag is by how much a count is out of date on average; usage goes on
	// at the rate last seen.
	gaugeLag = 250 * time.Millisecond
)

// Usage is what one VM has admitted, in units over the window and, of late, in a
// part of it.
type Usage struct {
	Window float64 `json:"w"`
	Recent float64 `json:"r"`
}

// Process names one process of a VM.
type Process struct {
	VM          vm.ID
	Incarnation vm.Incarnation
}

// peer is the last that was heard of a process of another VM.
type peer struct {
	at     time.Time
	usages map[account.ID]Usage
	// elder is set if the process is older than a window.
	elder bool
	// ended is set once another process of the VM was heard of.
	ended bool
	// members is the number of VMs that the counts are of.
	members int
	// domain is set if the counts are a sum over another failure domain.
	domain bool
}

// Report is what was heard of other VMs.
type Report struct {
	// From is a process, or the name of a failure domain without incarnation.
	From Process
	// Members is the number of VMs that the counts are of, Domain is set if they
	// are a sum over another failure domain.
	Members int
	Domain  bool
	// Uptime is the age of the (oldest) process.
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

// recent returns the mean of the last whole parts of the window.
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

// Ledger admits requests. It is safe for concurrent use.
type Ledger struct {
	settings Settings
	now      func() time.Time
	started  time.Time

	mu      sync.Mutex
	windows map[account.ID]*window
	peers   map[Process]peer
	// members is the number of VMs that share the bound, this one included.
	members int
	// fresh is set in a process that can't have had a predecessor.
	fresh bool
}

// NewLedger returns a ledger. Fresh says that no VM admitted anything in the
// window before the start.
func NewLedger(s Settings, fresh bool, now func() time.Time) *Ledger {
	return &Ledger{
		settings: s,
		now:      now,
		started:  now(),
		windows:  map[account.ID]*window{},
		peers:    map[Process]peer{},
		members:  1,
		fresh:    fresh,
	}
}

func (l *Ledger) slot(now time.Time) int64 {
	return now.UnixNano() / int64(l.settings.Window/buckets)
}

// Verdict is the decision on a request and what it was based on.
type Verdict struct {
	Admitted bool
	// Used and Limit are the units of the whole fleet in the window.
	Used, Limit float64
	// RetryAfter is when enough is likely free again.
	RetryAfter time.Duration
}

// Admit decides on a request that counts units, and counts it if admitted.
func (l *Ledger) Admit(id account.ID, b Bound, units float64) Verdict {
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
	heard, silent := l.others(id, limit, now)
	used := w.sum() + heard + max(silent, l.predecessors(b.contract(l.settings), now))
	if units > smallShare*b.contract(l.settings) {
		limit -= smallReserve * b.contract(l.settings)
	}
	v := Verdict{Used: used, Limit: limit, Admitted: used+units <= limit}
	if v.Admitted {
		w.counts[w.slot%buckets] += units
	} else {
		v.RetryAfter = time.Duration((used + units - limit) / b.Rate * float64(time.Second))
	}
	return v
}

// Return gives back the units of a request that did not run.
func (l *Ledger) Return(id account.ID, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.windows[id]; w != nil {
		w.advance(l.slot(l.now()))
		w.counts[w.slot%buckets] = max(0, w.counts[w.slot%buckets]-units)
	}
}

// contract returns what an account may use in a window.
func (b Bound) contract(s Settings) float64 { return b.Rate*s.Window.Seconds() + b.Burst }

// limit returns what the fleet may admit in a window. After a restart the excess
// comes with time, as the processes before may have given it out already.
func (l *Ledger) limit(b Bound, now time.Time) float64 {
	contract := b.contract(l.settings)
	excess := slackUse * (contract*l.settings.Overshoot + l.settings.Slack)
	if age := now.Sub(l.started); !l.fresh && age < l.settings.Window {
		excess *= float64(age) / float64(l.settings.Window)
	}
	return contract + excess
}

// others returns the usage of the VMs that were heard of, and what those may use
// that were not: their shares of the bound.
func (l *Ledger) others(id account.ID, limit float64, now time.Time) (total, silent float64) {
	fair := limit / float64(l.members)
	heard := 0
	for name, p := range l.peers {
		age := now.Sub(p.at)
		if age > l.settings.Window {
			delete(l.peers, name)
			continue
		}
		total += l.estimate(p, id, age, fair)
		if !p.ended {
			heard += p.members
		}
	}
	return total, fair * float64(max(0, l.members-1-heard))
}

// estimate returns what a process has admitted in the window, from its last
// count.
func (l *Ledger) estimate(p peer, id account.ID, age time.Duration, fair float64) float64 {
	u := p.usages[id]
	switch {
	case p.ended:
		return u.Window * (1 - float64(age)/float64(l.settings.Window))
	case age > reportAge:
		return max(u.Window, fair*float64(p.members))
	default:
		part := l.settings.Window.Seconds() / buckets
		return u.Window + u.Recent*(age+gaugeLag).Seconds()/part
	}
}

// predecessors returns what earlier processes may have admitted within the
// window and nobody tells of: nothing is kept over a restart. If others ran
// before, only this VM's own share is unknown.
func (l *Ledger) predecessors(limit float64, now time.Time) float64 {
	age := now.Sub(l.started)
	if l.fresh || age >= l.settings.Window {
		return 0
	}
	left := 1 - float64(age)/float64(l.settings.Window)
	for _, p := range l.peers {
		if p.elder {
			return limit / float64(l.members) * left
		}
	}
	return limit * left
}

// Heard notes the counts of other VMs.
func (l *Ledger) Heard(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if name.VM == r.From.VM && name != r.From && !p.ended {
			p.ended = true
			l.peers[name] = p
		}
	}
	l.peers[r.From] = peer{
		at: l.now(), usages: r.Usages, elder: r.Uptime > l.settings.Window,
		members: max(1, r.Members), domain: r.Domain,
	}
}

// DomainUsages returns the counts of this VM and of the processes that were heard
// of one by one: the VMs of the own failure domain.
func (l *Ledger) DomainUsages() map[account.ID]Usage {
	out := l.Usages()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, p := range l.peers {
		age := now.Sub(p.at)
		if p.domain || age > l.settings.Window {
			continue
		}
		for id, u := range p.usages {
			sum := out[id]
			sum.Window += l.estimate(p, id, age, 0)
			if !p.ended && age <= reportAge {
				sum.Recent += u.Recent
			}
			out[id] = sum
		}
	}
	return out
}

// SetMembers sets the number of VMs that share the bound, this one included.
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
