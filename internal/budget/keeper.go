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

// shards is the number of ledgers over which accounts are spread, so that
// requests of different accounts rarely contend for a lock.
const shards = 16

// ShardedLedger spreads accounts over several Ledgers and is safe for
// concurrent use.
type ShardedLedger struct {
	shards [shards]shard
	// observeMu serializes Observe, so that views are applied in order.
	observeMu sync.Mutex
	view      View
}

type shard struct {
	mu     sync.Mutex
	ledger *Ledger
}

// NewShardedLedger returns the ledger of the VM self, without a roster or
// contracts.
func NewShardedLedger(self vm.VM) *ShardedLedger {
	k := &ShardedLedger{}
	for i := range k.shards {
		k.shards[i].ledger = NewLedger(self, time.Now())
	}
	return k
}

// withLedger calls f with the account's ledger. The time is read under the
// lock, so that a ledger never sees it go back.
func (k *ShardedLedger) withLedger(id account.ID, f func(l *Ledger, now time.Time)) {
	s := &k.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.ledger, time.Now())
}

func shardOf(id account.ID) uint64 { return xxhash.Sum64String(string(id)) % shards }

// Observe applies a view. It returns the balances to be sent to new homes and,
// after a change of the roster, the VMs from which this one expects balances.
func (k *ShardedLedger) Observe(v View) (out []Handover, awaited []vm.ID) {
	k.observeMu.Lock()
	defer k.observeMu.Unlock()
	if v.Roster == nil || v.Roster.Version < firstRosterVersion || v == k.view {
		return nil, nil
	}
	before := k.view.Roster
	k.view = v
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		out = append(out, s.ledger.Observe(v, time.Now())...)
		if v.Roster != before {
			awaited = append(awaited, s.ledger.previousHomes(before)...)
		}
		s.mu.Unlock()
	}
	slices.Sort(awaited)
	return out, slices.Compact(awaited)
}

// Apply puts the contracts of a configuration in force.
func (k *ShardedLedger) Apply(c *config.Snapshot) {
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
func (k *ShardedLedger) Reserve(id account.ID, r ReservationID, tokens float64) (a Answer) {
	k.withLedger(id, func(l *Ledger, now time.Time) { a = l.Reserve(id, r, tokens, now) })
	return a
}

// Settle settles a reservation; see Ledger.Settle.
func (k *ShardedLedger) Settle(id account.ID, r ReservationID, used float64) (ok bool) {
	k.withLedger(id, func(l *Ledger, now time.Time) { ok = l.Settle(id, r, used, now) })
	return ok
}

// Accept takes over a bucket; see Ledger.Accept.
func (k *ShardedLedger) Accept(h Handover) (a Acceptance) {
	k.withLedger(h.Account, func(l *Ledger, now time.Time) { a = l.Accept(h, now) })
	return a
}
