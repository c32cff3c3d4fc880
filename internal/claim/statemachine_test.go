package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// expectedClaim is the reference state of one key.
type expectedClaim struct {
	state   State
	digest  Digest
	attempt int
	// held is set while a router still has the claim in memory.
	held    bool
	expired bool
	// reply is the expected reply of the last call.
	reply string
}

type system struct {
	p      *memplatform.Platform
	stores [2]*Store
	claim  *Claim
	clock  atomic.Int64
}

func (s *system) acquire(vm int, d Digest) string {
	g, err := s.stores[vm].Acquire(context.Background(), Key{Account: "a", Idempotency: "k"}, d)
	switch {
	case err != nil:
		return verdict.AsError(err).Code
	case g.Outcome != nil:
		return fmt.Sprint("outcome ", g.Outcome.Status)
	}
	s.claim = g.Claim
	return fmt.Sprint("granted ", g.Claim.Attempt())
}

func (e expectedClaim) acquire(d Digest, f memplatform.Faults) expectedClaim {
	switch {
	case f.Down:
		e.reply = "claim_store_unavailable"
	case e.state == Absent || e.state == Released:
		e = expectedClaim{state: Claimed, digest: d, attempt: e.attempt + 1, held: true}
		e.reply = fmt.Sprint("granted ", e.attempt)
	case e.digest != d:
		e.reply = "idempotency_key_reused"
	case e.state == Done:
		e.reply = fmt.Sprint("outcome ", e.attempt)
	case e.state == Claimed && !e.expired:
		e.reply = "request_in_progress"
	default:
		e.state = Abandoned
		e.reply = "outcome_unknown"
	}
	return e
}

// newCommand returns a command that makes one call while the platform has the
// given faults.
func newCommand(name string, f memplatform.Faults, pre func(expectedClaim) bool, run func(*system) string, next func(expectedClaim) expectedClaim) commands.Command {
	return &commands.ProtoCommand{
		Name: fmt.Sprintf("%s %+v", name, f),
		RunFunc: func(sut commands.SystemUnderTest) commands.Result {
			s := sut.(*system)
			s.p.SetFaults(f)
			defer s.p.SetFaults(memplatform.Faults{})
			return run(s)
		},
		PreConditionFunc: func(st commands.State) bool { return pre(st.(expectedClaim)) },
		NextStateFunc:    func(st commands.State) commands.State { return next(st.(expectedClaim)) },
		PostConditionFunc: func(st commands.State, got commands.Result) *gopter.PropResult {
			want := st.(expectedClaim).reply
			return gopter.NewPropResult(got == want, fmt.Sprintf("%s: got %q, want %q", name, got, want))
		},
	}
}

// endCommand returns a command with which the holder ends the claim. The
// claim's state becomes to if it was one of from.
func endCommand(name string, to State, from ...State) commands.Command {
	return newCommand(name, memplatform.Faults{LoseAnswers: 1},
		func(e expectedClaim) bool { return e.held },
		func(s *system) string {
			ctx := context.Background()
			switch to {
			case Done:
				s.claim.Finish(ctx, int(s.claim.Attempt()), nil, nil)
			case Released:
				s.claim.Release(ctx)
			default:
				s.claim.Abandon(ctx)
			}
			return ""
		},
		func(e expectedClaim) expectedClaim {
			e.held, e.reply = false, ""
			for _, f := range from {
				if e.state == f {
					e.state = to
					return e
				}
			}
			return e
		})
}

func claimCommands() []any {
	always := func(expectedClaim) bool { return true }
	var all []any
	for _, f := range []memplatform.Faults{{}, {LoseAnswers: 1}, {LoseAnswers: 2}, {DropWrites: 2}, {Down: true}} {
		for vm := range 2 {
			d := Digest(fmt.Sprint("d", vm))
			for _, d := range []Digest{"d", d} {
				all = append(all, newCommand(fmt.Sprint("acquire ", vm, d), f, always,
					func(s *system) string { return s.acquire(vm, d) },
					func(e expectedClaim) expectedClaim { return e.acquire(d, f) }))
			}
		}
	}
	return append(all,
		endCommand("finish", Done, Claimed, Abandoned),
		endCommand("release", Released, Claimed, Abandoned),
		endCommand("abandon", Abandoned, Claimed),
		newCommand("crash", memplatform.Faults{}, always,
			func(s *system) string { s.claim = nil; return "" },
			func(e expectedClaim) expectedClaim { e.held, e.reply = false, ""; return e }),
		newCommand("expire", memplatform.Faults{}, always,
			func(s *system) string { s.clock.Add(int64(DefaultSettings().AbandonAfter)); return "" },
			func(e expectedClaim) expectedClaim { e.expired, e.reply = true, ""; return e }))
}

// TestStateMachine compares claims through two VMs with the reference, one call
// at a time, with lost responses, dropped writes, outages and crashes.
func TestStateMachine(t *testing.T) {
	cmds := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			s := &system{p: memplatform.New()}
			now := func() time.Time { return time.Now().Add(time.Duration(s.clock.Load())) }
			for i := range s.stores {
				s.stores[i] = newStore(s.p, s.p, "vm")
				s.stores[i].now, s.stores[i].batcher.now = now, now
				runStore(t, s.stores[i])
			}
			return s
		},
		InitialStateGen: gen.Const(expectedClaim{}),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.OneConstOf(claimCommands()...)
		},
	}
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 100
	properties := gopter.NewProperties(params)
	properties.Property("claims follow the reference", commands.Prop(cmds))
	properties.TestingRun(t)
}
