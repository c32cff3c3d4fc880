package budget

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
)

var epoch = time.Unix(100000, 0)

// entry is one admission: tokens at a time. used replaces tokens once the
// reservation is settled.
type entry struct {
	id     ReservationID
	tokens float64
	at     time.Time
}

// change is a contract that is in force from a time on.
type change struct {
	contract account.Contract
	at       time.Time
}

// replay runs the admissions, in order of time, through an exact token bucket
// that starts full, and returns its least and its last level. The least level
// is negative if and only if some window holds more than rate x t + burst.
func replay(entries []entry, changes []change, end time.Time) (least, last float64) {
	c := changes[0].contract
	level, at := c.Burst, changes[0].at
	changes = changes[1:]
	advance := func(to time.Time) {
		for len(changes) > 0 && !changes[0].at.After(to) {
			level = min(c.Burst, level+c.Rate*changes[0].at.Sub(at).Seconds())
			c, at = changes[0].contract, changes[0].at
			level = min(level, c.Burst)
			changes = changes[1:]
		}
		level = min(c.Burst, level+c.Rate*to.Sub(at).Seconds())
		at = to
	}
	least = level
	for _, e := range entries {
		advance(e.at)
		level -= e.tokens
		least = min(least, level)
	}
	advance(end)
	return least, level
}

// settleFunc is the bucket's settle or a naive one.
type settleFunc func(b *bucket, i int, used float64, now time.Time)

// settleInFull is the naive version: it returns every unused token.
func settleInFull(b *bucket, i int, used float64, now time.Time) {
	b.advance(now)
	b.level = min(b.burst, b.level+b.holds[i].tokens-used)
	b.holds = append(b.holds[:i], b.holds[i+1:]...)
}

// bucketEqualsReplay drives one bucket at random and compares its level with
// the exact replay after every step.
func bucketEqualsReplay(settle settleFunc, seed int64) error {
	rng := rand.New(rand.NewSource(seed))
	changes := []change{{account.Contract{Rate: 10, Burst: 100}, epoch}}
	b := newBucket(changes[0].contract, 100, epoch)
	now := epoch
	var entries []entry
	var mismatch error
	for step := range 200 {
		now = now.Add(time.Duration(1+rng.Intn(4000)) * time.Millisecond)
		switch op := rng.Intn(20); {
		case op < 10:
			id := ReservationID{Seq: uint64(step)}
			tokens := 1 + rng.Float64()*(b.burst-1)
			if _, ok := b.reserve(id, tokens, now); ok {
				entries = append(entries, entry{id, tokens, now})
			}
		case op < 19 && len(b.holds) > 0:
			i := rng.Intn(len(b.holds))
			h := b.holds[i]
			used := h.tokens * rng.Float64()
			settle(b, i, used, now)
			for k := range entries {
				if entries[k].id == h.id {
					entries[k].tokens = used
				}
			}
		case op == 19:
			c := account.Contract{Rate: 5 + rng.Float64()*10, Burst: 50 + rng.Float64()*100}
			b.setContract(c, now)
			changes = append(changes, change{c, now})
		}
		b.advance(now)
		least, last := replay(entries, changes, now)
		if least < -1e-5 {
			return errors.Errorf("step %d: a window holds %.3f tokens too many", step, -least)
		}
		if math.Abs(last-b.level) > 1e-5 && mismatch == nil {
			mismatch = errors.Errorf("step %d: level %.3f, exact bucket %.3f", step, b.level, last)
		}
	}
	return mismatch
}

func runProperty(t *testing.T, desc string, tests int, check func(seed int64) error) {
	t.Helper()
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = tests
	properties := gopter.NewProperties(params)
	properties.Property(desc, prop.ForAll(func(seed int64) (bool, error) {
		err := check(seed)
		return err == nil, err
	}, gen.Int64()))
	properties.TestingRun(t)
}

// expectRefuted fails the test unless the check finds a fault within the
// number of seeds.
func expectRefuted(t *testing.T, desc string, seeds int64, check func(seed int64) error) {
	t.Helper()
	for seed := range seeds {
		if err := check(seed); err != nil {
			t.Logf("%s, seed %d: %v", desc, seed, err)
			return
		}
	}
	t.Errorf("%s passes on %d seeds", desc, seeds)
}

func TestBucketEqualsExactDebits(t *testing.T) {
	runProperty(t, "level equals the exact replay", 100, func(seed int64) error {
		return bucketEqualsReplay((*bucket).settle, seed)
	})
	expectRefuted(t, "full refunds", 20, func(seed int64) error {
		return bucketEqualsReplay(settleInFull, seed)
	})
}

func TestBucketWait(t *testing.T) {
	b := newBucket(account.Contract{Rate: 3, Burst: 7}, 0, epoch)
	wait, ok := b.reserve(ReservationID{}, 5, epoch)
	if ok || wait.Round(time.Millisecond) != 1667*time.Millisecond {
		t.Fatalf("wait %v, granted %t", wait, ok)
	}
	if _, ok = b.reserve(ReservationID{}, 5, epoch.Add(wait)); !ok {
		t.Error("the tokens are not there at the stated time")
	}
}

func TestBucketBounds(t *testing.T) {
	b := newBucket(account.Contract{Rate: 1e6, Burst: 1e6}, 1e6, epoch)
	for i := range 3 * maxHolds {
		b.reserve(ReservationID{Seq: uint64(i)}, 1, epoch)
	}
	if len(b.holds) != maxHolds {
		t.Errorf("%d unsettled reservations kept, bound %d", len(b.holds), maxHolds)
	}
	b.reserve(ReservationID{Seq: 1}, 1, epoch.Add(holdTTL+time.Second))
	if len(b.holds) != 1 {
		t.Errorf("%d unsettled reservations kept past their lifetime", len(b.holds)-1)
	}
}
