package node

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/order"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/vm"
)

var turnsSeeds = flag.Int64("turns.seeds", 1500, "`number` of random histories of the order lease")

// turnsTest is a group of VMs that compete for the order lease in a store that loses calls.
type turnsTest struct {
	random *rand.Rand
	now    time.Time
	store  *lossyTable
	vms    []*testVM
	// earlier marks the VMs of an earlier build, which write no note and wait for a lease.
	earlier  []bool
	arrivals []turnsArrival
	history  []string
	// claims are claims that some VM has sent; they arrive late or never.
	claims []*gossip.LeaseClaim
}

// lossyTable is a table that loses calls and responses.
type lossyTable struct {
	*memplatform.Platform
	random *rand.Rand
	// lossRate is the share of the commits that are lost or whose response is lost.
	lossRate float64
	down     bool
}

func (t *lossyTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if t.down {
		t.down = false
		return nil, platform.ErrUnavailable
	}
	return t.Platform.Get(ctx, keys...)
}

func (t *lossyTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	if t.random.Float64() >= t.lossRate {
		return t.Platform.Commit(ctx, checks, writes)
	}
	t.down = t.random.Intn(2) == 0
	if t.random.Intn(2) == 0 {
		if err := t.Platform.Commit(ctx, checks, writes); err != nil {
			return err
		}
	}
	return platform.ErrOutcomeUnknown
}

type turnsArrival struct {
	machine string
	engine  backend.ID
	fencing uint64
	at      time.Time
}

const turnsEngines = 4

func turnsEngine(i int) backend.ID { return backend.ID(fmt.Sprint("e", i)) }

func newTurnsTest(t *testing.T, vms int) *turnsTest {
	h := &turnsTest{earlier: make([]bool, vms)}
	for range vms {
		store := newServerStore()
		for e := range turnsEngines {
			store.write(string(turnsEngine(e)), fleet.Ready, 1)
		}
		v := newTestVM(t, store)
		v.loadServers()
		for e := range turnsEngines {
			v.directory.SetWeights(turnsEngine(e), 1, "m", 1, v.now())
		}
		v.Node.now = func() time.Time { return h.now }
		h.vms = append(h.vms, v)
	}
	return h
}

// begin begins a history with VMs that know nothing.
func (h *turnsTest) begin(seed int64, earlierBuild bool) {
	h.random = rand.New(rand.NewSource(seed))
	h.now, h.store = time.Unix(1000, 0), &lossyTable{Platform: memplatform.New(), random: h.random}
	h.arrivals, h.history, h.claims = nil, nil, nil
	for i := range h.vms {
		h.earlier[i] = earlierBuild && i%2 == 1
		h.restart(i)
	}
}

// announces makes a VM announce its renewals as it does in a digest, without a wait.
func (h *turnsTest) announces(n *Node) {
	n.keeper.SetRenewing(func(c lease.Claim) {
		n.publishClaim(c, n.keeper.Term(), false)
		h.claims = append(h.claims, n.recentClaim())
	})
}

// restart replaces a VM's process.
func (h *turnsTest) restart(i int) {
	n := h.vms[i].Node
	n.opts.VM.ID, n.opts.Table = vm.ID(fmt.Sprint("vm", i)), h.store
	n.opts.VM.Incarnation++
	n.claim.Store(nil)
	n.lastOrder.Store(nil)
	n.competeForOrders()
	h.announces(n)
	if h.earlier[i] {
		n.handover = nil
		n.keeper.SetNote(nil)
	}
}

func (h *turnsTest) step() {
	i := h.random.Intn(len(h.vms))
	for j, v := range h.vms {
		if v.keeper.Term().Valid(h.now, 0) && h.random.Intn(2) == 0 {
			i = j
		}
	}
	n := h.vms[i].Node
	log := func(format string, args ...any) {
		h.history = append(h.history, fmt.Sprintf("%6.2f vm%d ", h.now.Sub(time.Unix(1000, 0)).Seconds(), i)+fmt.Sprintf(format, args...))
	}
	switch k := h.random.Intn(100); {
	case k < 20:
		h.now = h.now.Add(time.Duration(h.random.Intn(500)) * time.Millisecond)
	case k < 40:
		h.renew(i, log)
	case k < 55:
		ids := []backend.ID{turnsEngine(h.random.Intn(turnsEngines)), turnsEngine(h.random.Intn(turnsEngines))}
		n.handover.announce(slices.Compact(ids), h.now)
		log("is about to order %v", ids)
		h.renew(i, log)
	case k < 75:
		h.order(i, turnsEngine(h.random.Intn(turnsEngines)), log)
	case k < 80:
		if n.keeper.Term().Fencing != 0 {
			n.resign("test")
			h.send(i, log)
		}
	case k < 85:
		h.send(i, log)
	case k < 95:
		if m := len(h.claims); m > 0 {
			claim := h.claims[m-1-h.random.Intn(min(m, 2))]
			n.receiveClaim(claim)
			log("receives a claim: %+v", claim)
		}
	case k < 97:
		h.restart(i)
		log("is killed and starts again")
	default:
		h.store.lossRate = float64(h.random.Intn(3)) / 4
		log("the store loses a share of %v of the commits", h.store.lossRate)
	}
}

// send sends the claim that a VM knows. Earlier builds don't say that a term was resigned.
func (h *turnsTest) send(i int, log func(string, ...any)) {
	if claim := h.vms[i].recentClaim(); claim != nil {
		claim.Resigned = claim.Resigned && !h.earlier[i]
		h.claims = append(h.claims, claim)
		log("sends a claim: %+v", claim)
	}
}

func (h *turnsTest) renew(i int, log func(string, ...any)) {
	n := h.vms[i].Node
	before := n.keeper.Term().Fencing
	n.leaseStep(context.Background())
	if after := n.keeper.Term().Fencing; after != before {
		log("holds the lease in term %d, before in %d", after, before)
	}
}

// order sends an order to an engine if the VM may.
func (h *turnsTest) order(i int, e backend.ID, log func(string, ...any)) {
	n := h.vms[i].Node
	term := n.keeper.Term()
	if h.earlier[i] && h.now.Sub(term.Since) < n.opts.Bounds.Lease || !n.admitOrder(e, h.now) {
		return
	}
	at := h.now.Add(time.Duration(h.random.Int63n(int64(order.MaxSend / 2))))
	log("orders %s in term %d", e, term.Fencing)
	h.arrivals = append(h.arrivals, turnsArrival{machine: string(n.opts.VM.ID), engine: e, fencing: uint64(term.Fencing), at: at})
}

// check returns an error if orders of two machines arrived at an engine within a lease, or under a
// fencing token that decreases or belongs to two machines.
func (h *turnsTest) check(apart time.Duration) error {
	slices.SortFunc(h.arrivals, func(a, b turnsArrival) int { return a.at.Compare(b.at) })
	last := map[backend.ID]turnsArrival{}
	for _, a := range h.arrivals {
		b, ok := last[a.engine]
		if ok && b.machine != a.machine && (a.at.Sub(b.at) < apart || a.fencing <= b.fencing) {
			return fmt.Errorf("%s got orders of %s (term %d) and, %v later, %s (term %d)", a.engine, b.machine, b.fencing, a.at.Sub(b.at), a.machine, a.fencing)
		}
		last[a.engine] = a
	}
	return nil
}

// Orders of two VMs to an engine are a lease apart, whichever VMs are killed or resign and whichever
// calls and claims are lost.
func TestOrdersOfTwoVMsAreALeaseApart(t *testing.T) {
	h := newTurnsTest(t, 3)
	orders, changes := 0, 0
	for seed := range *turnsSeeds {
		h.begin(seed, seed%3 == 0)
		for range 600 {
			h.step()
		}
		if err := h.check(3 * time.Second); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, join(h.history))
		}
		orders += len(h.arrivals)
		for i := 1; i < len(h.arrivals); i++ {
			if h.arrivals[i].machine != h.arrivals[i-1].machine {
				changes++
			}
		}
	}
	t.Logf("%d orders, %d changes of the VM", orders, changes)
	if int64(changes) < *turnsSeeds/4 {
		t.Errorf("%d changes of the VM in %d orders", changes, orders)
	}
}

func join(lines []string) string {
	out := ""
	for _, l := range lines {
		out += l + "\n"
	}
	return out
}

// claimCheckTable checks at each write of the lease's row that the claim which the other VMs have
// already covers it.
type claimCheckTable struct {
	*memplatform.Platform
	t      *testing.T
	n      *Node
	writes int
}

func (c *claimCheckTable) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	var r lease.Record
	if err := json.Unmarshal(writes[0].Value, &r); err != nil {
		c.t.Error(err)
	}
	if claim := c.n.recentClaim(); r.Renewals > 0 && (claim == nil || claim.Fencing != uint64(r.Fencing) || claim.Renewals < r.Renewals) {
		c.t.Errorf("renewal %d is sent when the claim is %+v", r.Renewals, claim)
	}
	c.writes++
	return c.Platform.Commit(ctx, checks, writes)
}

// If a holder is killed right after a renewal, the others must have a claim that covers the row, or
// they watch it for a lease before they take it over.
func TestKillAfterRenewalDelaysTakeover(t *testing.T) {
	h := newTurnsTest(t, 1)
	h.begin(1, false)
	n := h.vms[0].Node
	table := &claimCheckTable{Platform: memplatform.New(), t: t, n: n}
	n.opts.Table = table
	n.competeForOrders()
	for range 4 {
		n.leaseStep(context.Background())
		if claim, term := n.claim.Load(), n.keeper.Term(); claim.lease.Until.Before(term.Until) {
			t.Errorf("the claim ends %v before the term", term.Until.Sub(claim.lease.Until))
		}
		h.now = h.now.Add(time.Second)
	}
	if table.writes != 4 {
		t.Errorf("%d writes", table.writes)
	}
}
