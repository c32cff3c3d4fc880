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

var startTime = time.Unix(100000, 0)

// admission is a granted reservation. Its tokens become the used tokens once it
// is settled.
type admission struct {
	id         ReservationID
	tokens     float64
	admittedAt time.Time
}

// contractChange is a contract that is in force from a time on.
type contractChange struct {
	contract account.Contract
	from     time.Time
}

// replay runs the admissions, in order of time, through an exact token bucket
// that starts full, and returns its lowest and its last level. The lowest level
// is negative if and only if some window holds more than rate x t + burst.
func replay(entries []admission, changes []contractChange, end time.Time) (least, last float64) {
	c := changes[0].contract
	level, at := c.Burst, changes[0].from
	changes = changes[1:]
	advance := func(to time.Time) {
		for len(changes) > 0 && !changes[0].from.After(to) {
			level = min(c.Burst, level+c.Rate*changes[0].from.Sub(at).Seconds())
			c, at = changes[0].contract, changes[0].from
			level = min(level, c.Burst)
			changes = changes[1:]
		}
		level = min(c.Burst, level+c.Rate*to.Sub(at).Seconds())
		at = to
	}
	least = level
	for _, e := range entries {
		advance(e.admittedAt)
		level -= e.tokens
		least = min(least, level)
	}
	advance(end)
	return least, level
}

// settleFunc is the bucket's settle method or a faulty variant of it.
type settleFunc func(b *bucket, i int, used float64, now time.Time)

// settleInFull is a faulty variant that refunds every unused token, also those
// that would have overflowed the bucket.
func settleInFull(b *bucket, i int, used float64, now time.Time) {
	b.advance(now)
	b.level = min(b.burst, b.level+b.holds[i].tokens-used)
	b.holds = append(b.holds[:i], b.holds[i+1:]...)
}

// bucketEqualsReplay runs random operations on one bucket and compares its
// level with the exact replay after each of them.
func bucketEqualsReplay(settle settleFunc, seed int64) error {
	rng := rand.New(rand.NewSource(seed))
	changes := []contractChange{{account.Contract{Rate: 10, Burst: 100}, startTime}}
	b := newBucket(changes[0].contract, 100, startTime)
	now := startTime
	var entries []admission
	var mismatch error
	for step := range 200 {
		now = now.Add(time.Duration(1+rng.Intn(4000)) * time.Millisecond)
		switch op := rng.Intn(20); {
		case op < 10:
			id := ReservationID{Seq: uint64(step)}
			tokens := 1 + rng.Float64()*(b.burst-1)
			if _, ok := b.reserve(id, tokens, now); ok {
				entries = append(entries, admission{id, tokens, now})
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
			changes = append(changes, contractChange{c, now})
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

// runProperty checks a property for the given number of random seeds.
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

// expectRefuted fails the test unless the check finds a fault within the given
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

func TestBucketMatchesExactReplay(t *testing.T) {
	runProperty(t, "level equals the exact replay", 100, func(seed int64) error {
		return bucketEqualsReplay((*bucket).settle, seed)
	})
	expectRefuted(t, "full refunds", 20, func(seed int64) error {
		return bucketEqualsReplay(settleInFull, seed)
	})
}

func TestBucketWait(t *testing.T) {
	b := newBucket(account.Contract{Rate: 3, Burst: 7}, 0, startTime)
	wait, ok := b.reserve(ReservationID{}, 5, startTime)
	if ok || wait.Round(time.Millisecond) != 1667*time.Millisecond {
		t.Fatalf("wait %v, granted %t", wait, ok)
	}
	if _, ok = b.reserve(ReservationID{}, 5, startTime.Add(wait)); !ok {
		t.Error("the tokens are not available after the returned wait")
	}
}

func TestBucketBounds(t *testing.T) {
	b := newBucket(account.Contract{Rate: 1e6, Burst: 1e6}, 1e6, startTime)
	for i := range 3 * maxHolds {
		b.reserve(ReservationID{Seq: uint64(i)}, 1, startTime)
	}
	if len(b.holds) != maxHolds {
		t.Errorf("%d unsettled reservations kept, bound %d", len(b.holds), maxHolds)
	}
	b.reserve(ReservationID{Seq: 1}, 1, startTime.Add(holdTTL+time.Second))
	if len(b.holds) != 1 {
		t.Errorf("%d unsettled reservations kept past their lifetime", len(b.holds)-1)
	}
}
