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

// filed is the sequential specification: the tickets by client ID. The number
// of the last ticket is their count.
type filed map[string]config.Number

// call files a ticket, or loads the configuration if id is empty.
type call struct{ id string }

// reply is the number that a call returned; unknown is set if it returned an
// unknown outcome.
type reply struct {
	number  config.Number
	unknown bool
}

func stepFiled(state, input, output any) (bool, any) {
	s, in, out := state.(filed), input.(call), output.(reply)
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

var filedModel = porcupine.Model{
	Init:  func() any { return filed{} },
	Step:  stepFiled,
	Equal: func(a, b any) bool { return maps.Equal(a.(filed), b.(filed)) },
}

// history files tickets through several routers at once, on a table with
// faults. Each ticket is filed by two operators' programs, which file again
// until they have a number.
func history(t *testing.T, seed int64) []porcupine.Operation {
	const (
		routers = 3
		tickets = 12
	)
	f := newFlakyTable(seed)
	f.lost, f.unavailable = 0.2, 0.1
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
	f.late.Wait()
	return ops
}

// TestFileIsLinearizable checks that racing operators see one numbered
// history, in which each ticket occurs once.
func TestFileIsLinearizable(t *testing.T) {
	for seed := range int64(10) {
		ops := history(t, seed)
		if got := porcupine.CheckOperationsTimeout(filedModel, ops, 10*time.Second); got != porcupine.Ok {
			t.Errorf("seed %d: history of %d operations: %v", seed, len(ops), got)
		}
	}
}
