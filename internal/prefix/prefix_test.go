package prefix

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
)

var epoch = time.Unix(1_000_000, 0)

// sentBlocks is the set of blocks sent to the engines, by sentKey.
type sentBlocks map[string]map[Hash]bool

// sentKey identifies an engine's incarnation and a scope.
func sentKey(e backend.ID, inc int, s Scope) string { return fmt.Sprint(e, inc, s.Salt()) }

// TestIndexIsolatesScopesAndIncarnations drives an index with random operations
// in which all scopes use the same hashes, and checks that a match is never based
// on another scope or on an earlier incarnation of the engine.
func TestIndexIsolatesScopesAndIncarnations(t *testing.T) {
	scopes := []Scope{
		NewScope("a", "m", "1"), NewScope("a", "m", "2"),
		NewScope("b", "m", "1"), NewScope("a", "m1", ""),
	}
	isolated := func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		x := NewIndex(shardCount*2, epoch)
		sent := sentBlocks{}
		incarnation := [3]int{}
		attach := func() {
			for i, inc := range incarnation {
				x.Attach(backend.ID(fmt.Sprint("e", i)), backend.Incarnation(fmt.Sprint(inc)))
			}
		}
		attach() // gives engine i position i
		now := epoch
		for range 300 {
			now = now.Add(time.Duration(rng.Intn(300)) * time.Millisecond)
			n := rng.Intn(3)
			engine := backend.ID(fmt.Sprint("e", n))
			slot := x.Attach(engine, backend.Incarnation(fmt.Sprint(incarnation[n])))
			scope := scopes[rng.Intn(len(scopes))]
			var chain []Hash
			for i := range 1 + rng.Intn(4) {
				chain = append(chain, Hash(100*i+rng.Intn(2)))
			}
			switch rng.Intn(6) {
			case 0:
				incarnation[n]++
			case 1:
				old := backend.Incarnation(fmt.Sprint(incarnation[n] - rng.Intn(2)))
				x.Apply(engine, Event{Seq: 1, Incarnation: old, Type: Removed, Hashes: chain}, now)
			case 2:
				x.Apply(engine, Event{Incarnation: backend.Incarnation(fmt.Sprint(incarnation[n])), Type: Cleared}, now)
				for _, s := range scopes {
					delete(sent, sentKey(engine, incarnation[n], s))
				}
			default:
				x.Record(scope, chain, slot, 0, now, now.Add(time.Duration(rng.Intn(2))*time.Second))
				k := sentKey(engine, incarnation[n], scope)
				if sent[k] == nil {
					sent[k] = map[Hash]bool{}
				}
				for _, h := range chain {
					sent[k][h] = true
				}
			}
			attach()
			for _, m := range x.Lookup(scope, chain, now, nil) {
				o := x.slots.current(m.Slot)
				var inc int
				fmt.Sscan(string(o.incarnation), &inc)
				known := sent[sentKey(o.engine, inc, scope)]
				if !known[chain[m.Blocks-1]] || inc != incarnation[m.Slot.Position] {
					return false
				}
			}
		}
		return x.Len() <= shardCount*2
	}
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 300
	properties := gopter.NewProperties(params)
	properties.Property("matches stay within scope and incarnation", prop.ForAll(isolated, gen.Int64()))
	properties.TestingRun(t)
}

func TestLookup(t *testing.T) {
	scope := NewScope("a", "m", "1")
	chain := Chain(scope.Root(), strings.Repeat("x", 10*BytesPerToken), 2, nil)
	if len(chain) != 5 {
		t.Fatalf("got %d blocks, want 5", len(chain))
	}
	tests := []struct {
		desc   string
		do     func(x *Index, s Slot)
		after  time.Duration
		blocks int
	}{
		{"blocks of a dispatched prompt", func(x *Index, s Slot) {}, time.Second, 3},
		{"entry older than the retention", func(x *Index, s Slot) {}, 2 * time.Minute, 0},
		{"longer lifetime under an unbroken event stream", func(x *Index, s Slot) {
			x.Apply("e", Event{Seq: 1, Incarnation: "1", Type: Stored}, epoch)
			x.Record(scope, chain[:3], s, 0, epoch, epoch)
			x.Apply("e", Event{Seq: 2, Incarnation: "1", Type: Stored}, epoch)
		}, 2 * time.Minute, 3},
		{"usual lifetime after a gap in the event stream", func(x *Index, s Slot) {
			x.Apply("e", Event{Seq: 1, Incarnation: "1", Type: Stored}, epoch)
			x.Record(scope, chain[:3], s, 0, epoch, epoch)
			x.Apply("e", Event{Seq: 3, Incarnation: "1", Type: Stored}, epoch.Add(time.Second))
		}, 2 * time.Minute, 0},
		{"removed blocks", func(x *Index, s Slot) {
			x.Apply("e", Event{Seq: 1, Incarnation: "1", Type: Removed, Hashes: chain[1:]}, epoch.Add(2*time.Second))
		}, 3 * time.Second, 1},
		{"removal that may precede the dispatch", func(x *Index, s Slot) {
			x.Apply("e", Event{Seq: 1, Incarnation: "1", Type: Removed, Hashes: chain[1:]}, epoch.Add(time.Millisecond))
		}, time.Second, 3},
		{"blocks stored by requests of other routers", func(x *Index, s Slot) {
			other := x.Attach("f", "1")
			x.Record(scope, chain, other, 0, epoch, epoch)
			x.Detach("f")
			x.Apply("e", Event{Seq: 1, Incarnation: "1", Type: Stored, Hashes: chain}, epoch)
		}, time.Second, 5},
		{"shorter retention estimated from replies", func(x *Index, s Slot) {
			for range 40 {
				x.Observe(Match{Slot: s, Blocks: 3, Ready: 3, Age: 5 * time.Second}, 0)
			}
		}, 10 * time.Second, 0},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			x := NewIndex(1000, epoch)
			slot := x.Attach("e", "1")
			x.Record(scope, chain[:3], slot, 0, epoch, epoch)
			tc.do(x, slot)
			got := 0
			for _, m := range x.Lookup(scope, chain, epoch.Add(tc.after), nil) {
				got = m.Blocks
			}
			if got != tc.blocks {
				t.Errorf("got %d blocks, want %d", got, tc.blocks)
			}
		})
	}
}

func TestScopeSaltsAreDistinct(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range []struct {
		a    account.ID
		m, w string
	}{{"ab", "c", "d"}, {"a", "bc", "d"}, {"a", "b", "cd"}, {"", "abc", "d"}} {
		seen[NewScope(s.a, s.m, s.w).Salt()] = true
	}
	if len(seen) != 4 {
		t.Errorf("got %d distinct salts, want 4", len(seen))
	}
}
