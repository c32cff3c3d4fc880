package claim

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/verdict"
	"papayaspan.dev/papayaspan/internal/vm"
)

// call is the input of an operation on a claim.
type call struct {
	name    string // acquire, finish or release
	key     string
	attempt uint64 // of finish and release
}

// reply is the output of an operation on a claim.
type reply struct {
	granted uint64 // attempt number
	code    string // of a refusal
	outcome uint64 // attempt that ran
}

// register is the sequential specification of one claim row.
type register struct {
	attempt uint64
	open    bool
	ran     uint64
}

var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(call).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(call), output.(reply)
		switch in.name {
		case "finish":
			ok := s.open && s.attempt == in.attempt
			return ok, register{attempt: s.attempt, ran: s.attempt}
		case "release":
			ok := s.open && s.attempt == in.attempt
			return ok, register{attempt: s.attempt}
		}
		switch {
		case s.ran > 0:
			return out == reply{outcome: s.ran}, s
		case s.open:
			return out == reply{code: "request_in_progress"}, s
		default:
			return out == reply{granted: s.attempt + 1}, register{attempt: s.attempt + 1, open: true}
		}
	},
}

// TestLinearizable runs concurrent callers on four VMs against a table with
// faults and checks that claims behave as one register per key.
func TestLinearizable(t *testing.T) {
	const (
		vms     = 4
		callers = 3
		calls   = 60
		keys    = 25
	)
	p := memplatform.New()
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		wg      sync.WaitGroup
	)
	start := time.Now()
	record := func(client int, in call, begin time.Time, out reply) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: in, Call: int64(begin.Sub(start)),
			Output: out, Return: int64(time.Since(start)),
		})
	}
	for i := range vms {
		table := &flakyTable{Table: p, rnd: rand.New(rand.NewSource(int64(i)))}
		st := startStore(t, table, p, vm.ID(fmt.Sprint("vm", i)))
		for j := range callers {
			wg.Go(func() {
				client := i*callers + j
				rnd := rand.New(rand.NewSource(int64(client)))
				for range calls {
					key := fmt.Sprint("k", rnd.Intn(keys))
					oneCall(t, st, key, rnd, func(in call, begin time.Time, out reply) { record(client, in, begin, out) })
				}
			})
		}
	}
	wg.Wait()
	if got := porcupine.CheckOperationsTimeout(claimModel, history, 10*time.Second); got != porcupine.Ok {
		t.Errorf("history of %d operations: %v", len(history), got)
	}
	t.Logf("%d operations", len(history))
}

// oneCall acquires a key and finishes or releases the claim if it is granted.
func oneCall(t *testing.T, st *Store, key string, rnd *rand.Rand, record func(call, time.Time, reply)) {
	ctx := context.Background()
	begin := time.Now()
	g, err := st.Acquire(ctx, Key{Account: "a", Idempotency: key}, "d")
	in := call{name: "acquire", key: key}
	switch {
	case unavailable(err):
		return
	case err != nil:
		e := verdict.AsError(err)
		if e.Code == "claim_store_unavailable" {
			t.Errorf("a commit with a lost response was not resolved: %v", err)
			return
		}
		record(in, begin, reply{code: e.Code})
		return
	case g.Outcome != nil:
		record(in, begin, reply{outcome: uint64(g.Outcome.Status)})
		return
	}
	attempt := g.Claim.Attempt()
	record(in, begin, reply{granted: attempt})
	time.Sleep(time.Duration(rnd.Intn(3)) * time.Millisecond)
	begin = time.Now()
	if rnd.Intn(2) == 0 {
		g.Claim.Finish(ctx, int(attempt), nil, nil)
		record(call{"finish", key, attempt}, begin, reply{})
		return
	}
	g.Claim.Release(ctx)
	record(call{"release", key, attempt}, begin, reply{})
}
