package ticket

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/platform"
)

// ticketNumbers is the state of the sequential specification: the number of each
// filed ticket by client ID. The number of the last ticket is their count.
type ticketNumbers map[string]config.Number

// call is the input of an operation: it files the ticket with the client ID id,
// or loads the configuration if id is empty.
type call struct{ id string }

// reply is the output of an operation: the number that the call returned. unknown
// is set if the outcome of the call is unknown.
type reply struct {
	number  config.Number
	unknown bool
}

func stepSpec(state, input, output any) (bool, any) {
	s, in, out := state.(ticketNumbers), input.(call), output.(reply)
	if in.id == "" {
		return out.number == config.Number(len(s)), s
	}
	if n, ok := s[in.id]; ok {
		return out.unknown || out.number == n, s
	}
	next := maps.Clone(s)
	next[in.id] = config.Number(len(s) + 1)
	return out.unknown || out.number == next[in.id], next
}

var fileModel = porcupine.Model{
	Init:  func() any { return ticketNumbers{} },
	Step:  stepSpec,
	Equal: func(a, b any) bool { return maps.Equal(a.(ticketNumbers), b.(ticketNumbers)) },
}

// recordHistory files tickets through several routers concurrently, on a table
// with faults, and returns the operations. Each router has two clients, which
// draw tickets from one shared set, so that the same ticket is filed repeatedly
// and by different clients.
func recordHistory(t *testing.T, seed int64) []porcupine.Operation {
	const (
		routers = 3
		tickets = 12
	)
	f := newFlakyTable(seed)
	f.lossRate, f.unavailableRate = 0.2, 0.1
	var (
		mu  sync.Mutex
		ops []porcupine.Operation
		wg  sync.WaitGroup
	)
	start := time.Now()
	record := func(client int, id string, begin time.Duration, number config.Number, err error) {
		mu.Lock()
		defer mu.Unlock()
		op := porcupine.Operation{ClientId: client, Input: call{id}, Call: int64(begin), Output: reply{number: number}, Return: int64(time.Since(start))}
		switch {
		case errors.Is(err, platform.ErrOutcomeUnknown):
			op.Output = reply{unknown: true}
			op.Return = math.MaxInt64
		case err != nil:
			return
		}
		ops = append(ops, op)
	}
	for r := range routers {
		s := newTestStore(f, fmt.Sprint("vm", r))
		for c := range 2 {
			client := 2*r + c
			rng := rand.New(rand.NewSource(seed + int64(client)))
			wg.Go(func() {
				for range tickets {
					tk := keyTicket(rng.Intn(tickets))
					time.Sleep(time.Duration(rng.Intn(200)) * time.Microsecond)
					begin := time.Since(start)
					rec, err := s.File(context.Background(), tk)
					record(client, tk.ClientID, begin, rec.Number, err)
					begin = time.Since(start)
					snap, err := s.Load(context.Background(), nil)
					if err == nil {
						record(client, "", begin, snap.Number, nil)
					} else if !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrConflict) {
						t.Errorf("load: %v", err)
					}
				}
			})
		}
	}
	wg.Wait()
	f.lateCommits.Wait()
	return ops
}

// TestFileIsLinearizable checks that concurrent clients see one numbered
// history, in which each ticket occurs once.
func TestFileIsLinearizable(t *testing.T) {
	for seed := range int64(10) {
		ops := recordHistory(t, seed)
		if got := porcupine.CheckOperationsTimeout(fileModel, ops, 10*time.Second); got != porcupine.Ok {
			t.Errorf("seed %d: history of %d operations: %v", seed, len(ops), got)
		}
	}
}
