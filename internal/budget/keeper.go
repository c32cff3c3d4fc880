package budget

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/vm"
)

// shards is the number of ledgers that accounts are spread over, so that
// requests of different accounts seldom wait for each other.
const shards = 16

// Keeper is a Ledger for concurrent use.
type Keeper struct {
	shards [shards]shard
	// observing keeps views in order.
	observing sync.Mutex
	seen      View
}

type shard struct {
	mu     sync.Mutex
	ledger *Ledger
}

// NewKeeper returns the keeper of the VM self, without a roster or contracts.
func NewKeeper(self vm.VM) *Keeper {
	k := &Keeper{}
	for i := range k.shards {
		k.shards[i].ledger = NewLedger(self, time.Now())
	}
	return k
}

// locked runs f on the account's ledger. The time is read under the lock, so
// that it never goes back for one ledger.
func (k *Keeper) locked(id account.ID, f func(l *Ledger, now time.Time)) {
	s := &k.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.ledger, time.Now())
}

func shardOf(id account.ID) uint64 { return xxhash.Sum64String(string(id)) % shards }

// Observe takes in a view. It returns the balances that must go to new homes,
// and the VMs from which this one awaits balances under a new roster.
func (k *Keeper) Observe(v View) (out []Handover, awaited []vm.ID) {
	k.observing.Lock()
	defer k.observing.Unlock()
	if v.Roster == nil || v.Roster.Version < firstVersion || v == k.seen {
		return nil, nil
	}
	before := k.seen.Roster
	k.seen = v
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		out = append(out, s.ledger.Observe(v, time.Now())...)
		if v.Roster != before {
			awaited = append(awaited, s.ledger.awaited(before)...)
		}
		s.mu.Unlock()
	}
	slices.Sort(awaited)
	return out, slices.Compact(awaited)
}

// Apply puts the contracts of a configuration in force.
func (k *Keeper) Apply(c *config.Snapshot) {
	var parts [shards]map[account.ID]account.Contract
	for i := range parts {
		parts[i] = map[account.ID]account.Contract{}
	}
	for id, a := range c.Accounts {
		half := account.Contract{Rate: a.Contract.Rate / halves, Burst: a.Contract.Burst / halves}
		for k := range halves {
			h := halfOf(id, k)
			parts[shardOf(h)][h] = half
		}
	}
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		s.ledger.Apply(parts[i], c.Number, time.Now())
		s.mu.Unlock()
	}
}

// Reserve debits tokens; see Ledger.Reserve.
func (k *Keeper) Reserve(id account.ID, r ReservationID, tokens float64) (a Answer) {
	k.locked(id, func(l *Ledger, now time.Time) { a = l.Reserve(id, r, tokens, now) })
	return a
}

// Settle settles a reservation; see Ledger.Settle.
func (k *Keeper) Settle(id account.ID, r ReservationID, used float64) (ok bool) {
	k.locked(id, func(l *Ledger, now time.Time) { ok = l.Settle(id, r, used, now) })
	return ok
}

// Accept takes over a balance; see Ledger.Accept.
func (k *Keeper) Accept(h Handover) (a Acceptance) {
	k.locked(h.Account, func(l *Ledger, now time.Time) { a = l.Accept(h, now) })
	return a
}
