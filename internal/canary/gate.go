package canary

import (
	"math/rand/v2"
	"sync"
	"time"
)

// passOnFinal is how long a VM passes a final phase on. VMs that start later read the stored record.
const passOnFinal = time.Minute

// Choice says which servers a request may be sent to.
type Choice struct {
	// Active is set if an order for the service is known; the other fields are set only then.
	Active bool
	// To is the new software version.
	To string
	// UseNew and UseOld permit servers of the new version and of the others. Exactly one is set. A
	// request that was permitted the new version may be sent again to the others while the roll-out
	// runs, but not the reverse, as only UseNew counts towards the share.
	UseNew, UseOld bool
}

// rule is what a VM enforces for one service.
type rule struct {
	announcement Announcement
	// until is the end of a running stage, or the end of the time in which a final phase is passed on.
	until time.Time
	// credit is the part of a request to the new version that the share has accumulated.
	credit float64
}

// Gate enforces the announced shares on the requests of one VM. It is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	rules map[string]*rule
	// random returns a number in [0, 1).
	random func() float64
}

// NewGate returns a gate that knows of no roll-out.
func NewGate() *Gate { return &Gate{rules: map[string]*rule{}, random: rand.Float64} }

// supersedes reports whether an announcement is newer than the one in force. A final phase is
// replaced only by another order: two holders that disagree would otherwise revive a version.
func (a Announcement) supersedes(b Announcement) bool {
	if c := a.Order.Compare(b.Order); c != 0 {
		return c > 0
	}
	if a.Phase.Final() || b.Phase.Final() {
		return !b.Phase.Final()
	}
	if a.Fencing != b.Fencing {
		return a.Fencing > b.Fencing
	}
	return a.Stage > b.Stage
}

// Apply takes an announcement into account and reports whether it was newer. A repeated stage does
// not extend its validity: copies that circulate between VMs would otherwise keep it alive after its
// holder has gone.
func (g *Gate) Apply(a Announcement, now time.Time) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.rules[a.Service]
	if r != nil && !a.supersedes(r.announcement) {
		return false
	}
	until := now.Add(a.For)
	if a.Phase.Final() {
		until = now.Add(passOnFinal)
	}
	if r == nil || r.announcement.Order != a.Order {
		// A random start spreads the first requests of the VMs. With the same start everywhere, many
		// VMs with few requests each would send none, or all one at the same time.
		r = &rule{credit: g.random()}
		g.rules[a.Service] = r
	}
	r.announcement, r.until = a, until
	return true
}

// Route decides on one request and counts it.
func (g *Gate) Route(service string, now time.Time) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.rules[service]
	if r == nil {
		return Choice{}
	}
	a := &r.announcement
	useNew := false
	switch {
	case a.Phase == Completed:
		useNew = true
	case a.Phase != Running || !now.Before(r.until):
	case a.OldStopping:
		useNew = true
	default:
		r.credit += min(max(a.Share, 0), 1)
		if useNew = r.credit >= 1; useNew {
			r.credit--
		}
	}
	return Choice{Active: true, To: a.To, UseNew: useNew, UseOld: !useNew}
}

// Announcements returns what to pass on to other VMs, with the remaining validity.
func (g *Gate) Announcements(now time.Time) []Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Announcement
	for _, r := range g.rules {
		left := r.until.Sub(now)
		if left <= 0 {
			continue
		}
		a := r.announcement
		if !a.Phase.Final() {
			a.For = left
		}
		out = append(out, a)
	}
	return out
}
