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
	// clockMargin covers the drift between the monotonic clocks of two VMs over
	// freshness.Bound.
	clockMargin = 10 * time.Millisecond
	// takeoverDelay is how long a new home waits for the previous one to stop
	// granting.
	takeoverDelay = freshness.Bound + clockMargin
	// staleRetryAfter is the retry delay that a home without fresh evidence
	// returns.
	staleRetryAfter = 1 * time.Second
	// firstRosterVersion is the first roster under which accounts have homes.
	firstRosterVersion = 1
)

// ReservationID identifies a reservation. Holder is the incarnation of the VM
// that made it.
type ReservationID struct {
	Holder vm.Incarnation
	Seq    uint64
}

// Outcome is the home's decision on a reservation.
type Outcome uint8

const (
	// Unavailable means that this VM can't decide now: its evidence is stale,
	// or it is a new home that waits for the previous one to stop.
	Unavailable Outcome = iota
	// Granted means that the tokens are debited.
	Granted
	// NoTokens means that the account has used up its rate and burst.
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
	// RetryAfter is when a retry after NoTokens or Unavailable may succeed.
	RetryAfter time.Duration
}

// tenure is an uninterrupted period in which this VM is an account's home.
type tenure struct {
	contract account.Contract
	// learnedAt is when this VM learned that it is the home.
	learnedAt time.Time
	// refillFrom is when the bucket of a new home starts to fill.
	refillFrom time.Time
	// minHandover is the least roster version of a handover that this tenure accepts.
	minHandover head.RosterVersion
	// bucket is nil until the previous home has stopped or handed over.
	bucket *bucket
	// removed is set while the configuration doesn't contain the account.
	removed bool
}

// Ledger holds the buckets of the accounts whose home is this VM. It is a
// state machine and not safe for concurrent use.
type Ledger struct {
	self vm.VM
	// startedAt is when this process started, before it joined the roster.
	startedAt time.Time
	// rosterIncarnation is the incarnation of this VM in the first roster read.
	// It is that of an earlier process if the VM restarted without a change of
	// the roster.
	rosterIncarnation vm.Incarnation
	view              View
	// rosterLearnedAt is when this VM learned of the current roster.
	rosterLearnedAt time.Time
	// minHandover is the least roster version of a handover that a new tenure accepts.
	minHandover head.RosterVersion
	contracts   map[account.ID]account.Contract
	// newestConfig and firstConfig are the newest and the first configuration
	// applied.
	newestConfig, firstConfig config.Number
	// lastChanges holds, for each account, the last two configurations after
	// firstConfig that changed its contract, the newest first.
	lastChanges map[account.ID][2]config.Number
	tenures     map[account.ID]*tenure
	settled     settledIDs
}

// NewLedger returns the ledger of the VM self, without a roster or contracts.
// started is the start time of its process.
func NewLedger(self vm.VM, started time.Time) *Ledger {
	return &Ledger{
		startedAt:   started,
		self:        self,
		contracts:   map[account.ID]account.Contract{},
		lastChanges: map[account.ID][2]config.Number{},
		tenures:     map[account.ID]*tenure{},
	}
}

// Observe applies newer evidence or a newer roster. It returns the balances to
// be sent to new homes; this ledger no longer holds them.
//
// If rosters in between were missed, buckets are kept only while the evidence
// is still fresh. A home in between can't have granted anything then, as it
// needs evidence begun takeoverDelay after it learned of its role.
func (l *Ledger) Observe(v View, now time.Time) []Handover {
	if v.Roster.Version < firstRosterVersion {
		return nil // not read yet
	}
	old := l.view
	if old.Roster != nil && v.Roster.Version <= old.Roster.Version {
		if v.Roster.Version == old.Roster.Version && v.Evidence.After(old.Evidence) {
			l.view.Evidence = v.Evidence
		}
		return nil
	}
	l.createDueBuckets()
	continuous := l.continuous(v.Roster, now)
	if old.Roster == nil {
		l.setRosterIncarnation(v.Roster)
	}
	l.minHandover = l.minHandoverVersion(v.Roster, continuous, now)
	l.view = v
	l.rosterLearnedAt = now
	if v.Roster.Version == firstRosterVersion && l.rosterIncarnation == l.self.Incarnation {
		l.rosterLearnedAt = time.Time{}
	}
	return l.updateTenures(continuous, now)
}

// setRosterIncarnation records the incarnation that the first roster gives this
// VM.
func (l *Ledger) setRosterIncarnation(r *roster.Roster) {
	l.rosterIncarnation = l.self.Incarnation
	if member, ok := r.Get(l.self.ID); ok {
		l.rosterIncarnation = member.Incarnation
	}
}

// minHandoverVersion returns the least roster version of a handover that a
// tenure which begins with the next roster may accept. No other home can have
// started since that version, as it would still be waiting for takeoverDelay.
func (l *Ledger) minHandoverVersion(next *roster.Roster, continuous bool, now time.Time) head.RosterVersion {
	switch {
	case continuous:
		return l.view.Roster.Version + 1
	case l.view.Roster != nil:
		return next.Version
	case l.rosterIncarnation != l.self.Incarnation:
		// An earlier process may have accepted what was sent until now.
		return next.Version + 1
	case freshness.Fresh(l.startedAt, now):
		return firstRosterVersion
	default:
		return next.Version
	}
}

// continuous reports whether no other VM can have become a home between the
// current roster and the next one.
func (l *Ledger) continuous(next *roster.Roster, now time.Time) bool {
	if l.view.Roster == nil {
		return false
	}
	return next.Version == l.view.Roster.Version+1 || l.fresh(now)
}

func (l *Ledger) fresh(now time.Time) bool {
	return l.view.Roster != nil && freshness.Fresh(l.view.Evidence, now)
}

// updateTenures ends and starts tenures according to a new roster and returns
// the handovers to new homes.
func (l *Ledger) updateTenures(continuous bool, now time.Time) []Handover {
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

// Apply puts the contracts of configuration n in force. An older configuration
// has no effect.
func (l *Ledger) Apply(contracts map[account.ID]account.Contract, n config.Number, now time.Time) {
	if n <= l.newestConfig {
		return
	}
	l.createDueBuckets()
	l.recordContractChanges(contracts, n)
	l.contracts, l.newestConfig = contracts, n
	for id, t := range l.tenures {
		c, ok := contracts[id]
		t.removed = !ok
		switch {
		case !ok && t.refilled(now):
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

// recordContractChanges updates lastChanges for configuration n.
func (l *Ledger) recordContractChanges(contracts map[account.ID]account.Contract, n config.Number) {
	if l.firstConfig == 0 {
		l.firstConfig = n
		return
	}
	for id, c := range contracts {
		if l.contracts[id] != c {
			l.lastChanges[id] = [2]config.Number{n, l.lastChanges[id][0]}
		}
	}
	for id := range l.contracts {
		if _, ok := contracts[id]; !ok {
			l.lastChanges[id] = [2]config.Number{n, l.lastChanges[id][0]}
		}
	}
}

// changesSince returns how often the contract may have changed after
// configuration n. It counts at most two known changes, and at most two
// configurations before firstConfig, each of which may be a change.
func (l *Ledger) changesSince(id account.ID, n config.Number) int {
	count := 0
	if n < l.firstConfig {
		count = int(min(l.firstConfig-n, 2))
	}
	for _, changed := range l.lastChanges[id] {
		if changed > n {
			count++
		}
	}
	return count
}

// newTenure returns the tenure of an account that was assigned by a roster or
// added by a ticket. In both cases no other VM may grant tokens for it later
// than takeoverDelay after this VM learned of the roster.
func (l *Ledger) newTenure(c account.Contract) *tenure {
	return &tenure{
		contract:    c,
		learnedAt:   l.rosterLearnedAt,
		refillFrom:  l.rosterLearnedAt.Add(takeoverDelay),
		minHandover: l.minHandover,
	}
}

// refilled reports whether the bucket is full, so that a removed account may be
// dropped and start full if it is added again.
func (t *tenure) refilled(now time.Time) bool {
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
	if now.After(t.refillFrom) {
		t.refillFrom = now
	}
}

// Reserve debits the tokens of a request. A repeat with the same ID is debited
// only once.
func (l *Ledger) Reserve(id account.ID, r ReservationID, tokens float64, now time.Time) Answer {
	if !l.fresh(now) {
		return Answer{Outcome: Unavailable, RetryAfter: staleRetryAfter}
	}
	t := l.tenures[id]
	if t == nil || t.removed {
		return Answer{Outcome: NotHome}
	}
	if l.settled.has(r) {
		return Answer{Outcome: Settled}
	}
	l.createBucketIfDue(t)
	if t.bucket == nil {
		return Answer{Outcome: Unavailable, RetryAfter: max(t.refillFrom.Sub(now), clockMargin)}
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

// Settle replaces the debit of a reservation by the tokens used. It returns
// false if this VM can't settle it because it isn't the account's home. A
// reservation that is never settled stays debited.
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

// createBucketIfDue gives a new home its bucket once the previous home must
// have stopped. The previous home's right to grant ended at most takeoverDelay
// after this VM learned of the change, and evidence begun later shows that this
// VM is still the home.
func (l *Ledger) createBucketIfDue(t *tenure) {
	if t.bucket == nil && l.view.Evidence.Sub(t.learnedAt) >= takeoverDelay {
		t.bucket = newBucket(t.contract, 0, t.refillFrom)
	}
}

func (l *Ledger) createDueBuckets() {
	for _, t := range l.tenures {
		l.createBucketIfDue(t)
	}
}

func (l *Ledger) isHome(id account.ID) bool {
	home, ok := Home(id, l.view.Roster)
	return ok && l.isSelf(home)
}

func (l *Ledger) isSelf(v vm.VM) bool {
	return v.ID == l.self.ID && (v.Incarnation == l.self.Incarnation || v.Incarnation == l.rosterIncarnation)
}
