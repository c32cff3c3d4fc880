package budget

import (
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/freshness"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// clockMargin covers the drift between the monotonic clocks of two VMs
	// over freshness.Bound.
	clockMargin = 10 * time.Millisecond
	// startDelay is how long a new home waits until the one before it must
	// have stopped.
	startDelay = freshness.Bound + clockMargin
	// staleRetry is when a home without fresh evidence may have it again.
	staleRetry = 1 * time.Second
	// firstVersion is the roster before which no account had a home.
	firstVersion = 1
)

// ReservationID identifies a reservation. Holder is the incarnation of the VM
// that reserves.
type ReservationID struct {
	Holder vm.Incarnation
	Seq    uint64
}

// Outcome is the home's answer to a reservation.
type Outcome uint8

const (
	// Unavailable means that this VM can't say now: it has no fresh evidence,
	// or it is a new home that waits for the old one to stop.
	Unavailable Outcome = iota
	// Granted means that the tokens are debited.
	Granted
	// NoTokens means that the account is over its rate and burst.
	NoTokens
	// OverBurst means that the reservation exceeds the account's burst.
	OverBurst
	// NotHome means that another VM is the account's home.
	NotHome
	// Settled means that the reservation was settled before.
	Settled
)

// String returns the outcome in snake case.
func (o Outcome) String() string {
	names := [...]string{"home_unavailable", "granted", "over_rate", "over_burst", "not_home", "settled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Answer is the outcome of a reservation.
type Answer struct {
	Outcome Outcome
	// RetryAfter is when NoTokens or Unavailable will have passed.
	RetryAfter time.Duration
}

// tenure is the time for which this VM is an account's home without a gap.
type tenure struct {
	contract account.Contract
	// since is when this VM learned that it is the home.
	since time.Time
	// refill is the time from which the bucket of a new home fills.
	refill time.Time
	// handover is the least roster version of a handover to this tenure.
	handover head.RosterVersion
	// bucket is nil until the old home has stopped or handed over.
	bucket *bucket
	// removed is set while no ticket describes the account.
	removed bool
}

// Ledger holds the buckets of the accounts whose home is this VM. It is a
// state machine and not safe for concurrent use.
type Ledger struct {
	self vm.VM
	// started is when this process started, before it joined the roster.
	started time.Time
	// adopted is the incarnation that the first roster gave this VM: that of
	// an earlier process if a restart left the roster as it was.
	adopted vm.Incarnation
	view    View
	// learned is when this VM learned of the roster.
	learned time.Time
	// least is the least roster version of a handover to a new tenure.
	least     head.RosterVersion
	contracts map[account.ID]account.Contract
	// number and base are the newest and the first configuration applied.
	number, base config.Number
	// changed holds the last two configurations after base that changed a
	// contract, the last one first.
	changed map[account.ID][2]config.Number
	tenures map[account.ID]*tenure
	settled settledIDs
}

// NewLedger returns the ledger of the VM self, whose process started at time
// started, without a roster or contracts.
func NewLedger(self vm.VM, started time.Time) *Ledger {
	return &Ledger{
		started:   started,
		self:      self,
		contracts: map[account.ID]account.Contract{},
		changed:   map[account.ID][2]config.Number{},
		tenures:   map[account.ID]*tenure{},
	}
}

// Observe takes in newer evidence or a newer roster. It returns the balances
// that must go to new homes; they are no longer held here.
//
// Buckets survive a roster whose predecessors were missed only if the evidence
// had not lapsed: a home in between needs evidence begun startDelay after it
// learned of its role, so there can have been none.
func (l *Ledger) Observe(v View, now time.Time) []Handover {
	if v.Roster.Version < firstVersion {
		return nil // not read yet
	}
	old := l.view
	if old.Roster != nil && v.Roster.Version <= old.Roster.Version {
		if v.Roster.Version == old.Roster.Version && v.Evidence.After(old.Evidence) {
			l.view.Evidence = v.Evidence
		}
		return nil
	}
	l.startAll()
	continuous := l.continuous(v.Roster, now)
	if old.Roster == nil {
		l.adopt(v.Roster)
	}
	l.least = l.leastHandover(v.Roster, continuous, now)
	l.view = v
	l.learned = now
	if v.Roster.Version == firstVersion && l.adopted == l.self.Incarnation {
		l.learned = time.Time{}
	}
	return l.rehome(continuous, now)
}

// adopt takes the incarnation that the first roster gives this VM.
func (l *Ledger) adopt(r *roster.Roster) {
	l.adopted = l.self.Incarnation
	if member, ok := r.Get(l.self.ID); ok {
		l.adopted = member.Incarnation
	}
}

// leastHandover returns the least roster version of a handover that a tenure
// which begins with the next roster may accept. No other home may have started
// after that version: it would have waited for startDelay since.
func (l *Ledger) leastHandover(next *roster.Roster, continuous bool, now time.Time) head.RosterVersion {
	switch {
	case continuous:
		return l.view.Roster.Version + 1
	case l.view.Roster != nil:
		return next.Version
	case l.adopted != l.self.Incarnation:
		// An earlier process may have accepted what was sent until now.
		return next.Version + 1
	case freshness.Fresh(l.started, now):
		return firstVersion
	default:
		return next.Version
	}
}

// continuous reports whether no other VM can have become a home between the
// present roster and the next one.
func (l *Ledger) continuous(next *roster.Roster, now time.Time) bool {
	if l.view.Roster == nil {
		return false
	}
	return next.Version == l.view.Roster.Version+1 || l.fresh(now)
}

func (l *Ledger) fresh(now time.Time) bool {
	return l.view.Roster != nil && freshness.Fresh(l.view.Evidence, now)
}

// rehome brings the tenures in line with a new roster.
func (l *Ledger) rehome(continuous bool, now time.Time) []Handover {
	var out []Handover
	for id, t := range l.tenures {
		home, _ := Home(id, l.view.Roster)
		if continuous && l.isSelf(home) {
			continue
		}
		delete(l.tenures, id)
		if continuous && t.bucket != nil && !t.removed {
			out = append(out, l.handOver(id, t.bucket, home, now))
		}
	}
	for id, c := range l.contracts {
		if l.tenures[id] == nil && l.isHome(id) {
			l.tenures[id] = l.newTenure(c)
		}
	}
	return out
}

// Apply puts the contracts of configuration number n in force. An older
// configuration has no effect.
func (l *Ledger) Apply(contracts map[account.ID]account.Contract, n config.Number, now time.Time) {
	if n <= l.number {
		return
	}
	l.startAll()
	l.noteChanges(contracts, n)
	l.contracts, l.number = contracts, n
	for id, t := range l.tenures {
		c, ok := contracts[id]
		t.removed = !ok
		switch {
		case !ok && t.full(now):
			delete(l.tenures, id)
		case ok && c != t.contract:
			t.setContract(c, now)
		}
	}
	if l.view.Roster == nil {
		return
	}
	for id, c := range contracts {
		if l.tenures[id] == nil && l.isHome(id) {
			l.tenures[id] = l.newTenure(c)
		}
	}
}

func (l *Ledger) noteChanges(contracts map[account.ID]account.Contract, n config.Number) {
	if l.base == 0 {
		l.base = n
		return
	}
	for id, c := range contracts {
		if l.contracts[id] != c {
			l.changed[id] = [2]config.Number{n, l.changed[id][0]}
		}
	}
	for id := range l.contracts {
		if _, ok := contracts[id]; !ok {
			l.changed[id] = [2]config.Number{n, l.changed[id][0]}
		}
	}
}

// changesSince returns how often the contract may have changed after
// configuration n, up to two times. Any ticket before base may be a change.
func (l *Ledger) changesSince(id account.ID, n config.Number) int {
	count := 0
	if n < l.base {
		count = int(min(l.base-n, 2))
	}
	for _, changed := range l.changed[id] {
		if changed > n {
			count++
		}
	}
	return count
}

// newTenure is the tenure of an account that came by roster or by ticket. In
// both cases nobody else may admit requests for it from startDelay after this
// VM learned of the roster.
func (l *Ledger) newTenure(c account.Contract) *tenure {
	return &tenure{
		contract: c,
		since:    l.learned,
		refill:   l.learned.Add(startDelay),
		handover: l.least,
	}
}

// full reports whether a removed account could come back with a full bucket.
func (t *tenure) full(now time.Time) bool {
	if t.bucket == nil {
		return false
	}
	t.bucket.advance(now)
	return t.bucket.level >= t.bucket.burst
}

func (t *tenure) setContract(c account.Contract, now time.Time) {
	t.contract = c
	if t.bucket != nil {
		t.bucket.setContract(c, now)
		return
	}
	if now.After(t.refill) {
		t.refill = now
	}
}

// Reserve debits the tokens of a request. Repeated with the same ID it debits
// once.
func (l *Ledger) Reserve(id account.ID, r ReservationID, tokens float64, now time.Time) Answer {
	if !l.fresh(now) {
		return Answer{Outcome: Unavailable, RetryAfter: staleRetry}
	}
	t := l.tenures[id]
	if t == nil || t.removed {
		return Answer{Outcome: NotHome}
	}
	if l.settled.has(r) {
		return Answer{Outcome: Settled}
	}
	l.start(t)
	if t.bucket == nil {
		return Answer{Outcome: Unavailable, RetryAfter: max(t.refill.Sub(now), clockMargin)}
	}
	if t.bucket.find(r) >= 0 {
		return Answer{Outcome: Granted}
	}
	if tokens > t.bucket.burst {
		return Answer{Outcome: OverBurst}
	}
	wait, ok := t.bucket.reserve(r, tokens, now)
	if !ok {
		return Answer{Outcome: NoTokens, RetryAfter: wait}
	}
	return Answer{Outcome: Granted}
}

// Settle replaces a reservation by the tokens that were used. It returns false
// if this VM can't settle it because it is not the account's home. A
// reservation whose holder never settles stays debited.
func (l *Ledger) Settle(id account.ID, r ReservationID, used float64, now time.Time) bool {
	t := l.tenures[id]
	if t == nil || t.bucket == nil {
		return false
	}
	if !l.settled.add(r) {
		return true
	}
	if i := t.bucket.find(r); i >= 0 {
		t.bucket.settle(i, used, now)
	}
	return true
}

// start gives a new home its bucket once the old home must have stopped: its
// rights ended startDelay after this VM learned of the change, and evidence
// begun later shows that this VM is still the home.
func (l *Ledger) start(t *tenure) {
	if t.bucket == nil && l.view.Evidence.Sub(t.since) >= startDelay {
		t.bucket = newBucket(t.contract, 0, t.refill)
	}
}

func (l *Ledger) startAll() {
	for _, t := range l.tenures {
		l.start(t)
	}
}

func (l *Ledger) isHome(id account.ID) bool {
	home, ok := Home(id, l.view.Roster)
	return ok && l.isSelf(home)
}

func (l *Ledger) isSelf(v vm.VM) bool {
	return v.ID == l.self.ID && (v.Incarnation == l.self.Incarnation || v.Incarnation == l.adopted)
}
