package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/platform"
)

// EpochRow is the key of the row that holds the retention epoch.
const EpochRow = "claim-epoch"

// op is a row transition that waits to be committed.
type op struct {
	row string
	// apply computes the transition. It may run several times; the result of
	// the last run is committed.
	apply func(Record, Stamp) (next Record, write bool)
	// assumeAbsent skips the read of the row in the first attempt to commit.
	assumeAbsent bool
	// deadline is when a commit with an unknown outcome is no longer retried.
	deadline time.Time
	// outcomeUnknown is set once a commit of this op had an unknown outcome.
	outcomeUnknown bool
	// result receives nil once the result of the last run of apply is committed
	// or no write was needed, platform.ErrUnavailable if the op had no effect,
	// or platform.ErrOutcomeUnknown.
	result chan error
}

// batcher commits the ops of one VM in few transactions.
type batcher struct {
	table platform.Table
	now   func() time.Time
	// maxRows bounds the ops of one transaction.
	maxRows int
	// interval returns the minimum mean time between two transactions.
	interval func() time.Duration
	pace     pacer
	queue    chan *op
	inFlight sync.WaitGroup
	slots    chan struct{}

	mu           sync.Mutex
	epoch        uint64
	epochVersion platform.Version
	epochKnown   bool
}

const (
	// queueLength bounds the ops that wait for a transaction.
	queueLength = 4096
	// maxTransactions bounds the concurrent transactions of one VM.
	maxTransactions = 4
	// retryPause is the pause before a batch is retried. Retries with back-off
	// start with it.
	retryPause = 20 * time.Millisecond
)

// run forms batches until ctx ends, then waits for those in flight.
func (b *batcher) run(ctx context.Context) {
	defer b.inFlight.Wait()
	var deferred []*op
	for {
		batch, rest := b.collect(ctx, deferred)
		if len(batch) == 0 {
			return
		}
		deferred = rest
		b.slots <- struct{}{}
		b.inFlight.Add(1)
		go func() {
			defer b.inFlight.Done()
			defer func() { <-b.slots }()
			b.commit(batch)
		}()
	}
}

// maxCredit is the number of transactions that may start in a burst after an
// idle period.
const maxCredit = 4

// pacer is a token bucket that limits the rate of transactions.
type pacer struct {
	credit float64
	at     time.Time
}

// take uses the credit for one transaction and returns how long to wait before
// starting it.
func (p *pacer) take(now time.Time, interval time.Duration) time.Duration {
	if p.at.IsZero() {
		p.credit = maxCredit
	} else {
		p.credit = min(maxCredit, p.credit+float64(now.Sub(p.at))/float64(interval))
	}
	p.at = now
	p.credit--
	return time.Duration(max(0, -p.credit) * float64(interval))
}

// collect waits for the first op and for the time of the next transaction. It
// returns the ops queued by then, at most one per row, as batch. Ops for a row
// that is already in the batch are returned as rest.
func (b *batcher) collect(ctx context.Context, deferred []*op) (batch, rest []*op) {
	rows := map[string]bool{}
	add := func(o *op) {
		if rows[o.row] || len(batch) == b.maxRows {
			rest = append(rest, o)
			return
		}
		rows[o.row] = true
		batch = append(batch, o)
	}
	for _, o := range deferred {
		add(o)
	}
	if len(batch) == 0 {
		select {
		case o := <-b.queue:
			add(o)
		case <-ctx.Done():
			return b.refuseQueued(), nil
		}
	}
	clock.Sleep(ctx, b.pace.take(b.now(), b.interval()))
	for len(batch) < b.maxRows {
		select {
		case o := <-b.queue:
			add(o)
		default:
			return batch, rest
		}
	}
	return batch, rest
}

// refuseQueued fails the ops that are still queued when the batcher stops.
func (b *batcher) refuseQueued() []*op {
	for {
		select {
		case o := <-b.queue:
			o.result <- errors.WithStack(platform.ErrUnavailable)
		default:
			return nil
		}
	}
}

// commit commits the batch and sends every op its result. After a conflict it
// reads the rows again; if a retry conflicts too, it splits the batch, so that
// one contended row doesn't delay the others.
func (b *batcher) commit(ops []*op) {
	for first := true; len(ops) > 0; first = false {
		ops = b.expireUnknown(ops)
		rows, err := b.read(ops, first)
		if err != nil {
			ops = b.failUnavailable(ops)
			time.Sleep(retryPause)
			continue
		}
		pending, checks, writes := b.prepare(ops, rows)
		if len(pending) == 0 {
			return
		}
		ops = pending
		ctx, cancel := context.WithTimeout(context.Background(), platform.CallTimeout)
		err = b.table.Commit(ctx, checks, writes)
		cancel()
		switch {
		case err == nil:
			finishAll(ops, nil)
			return
		case errors.Is(err, platform.ErrConflict):
			b.invalidateEpoch()
			if half := len(ops) / 2; half > 0 && !first {
				b.commit(ops[:half])
				ops = ops[half:]
			}
		case errors.Is(err, platform.ErrUnavailable):
			ops = b.failUnavailable(ops)
			time.Sleep(retryPause)
		default:
			for _, o := range ops {
				o.outcomeUnknown = true
			}
		}
	}
}

// read reads the rows that the ops need, and the epoch row if the epoch isn't
// known.
func (b *batcher) read(ops []*op, first bool) (map[string]platform.Row, error) {
	var keys []string
	for _, o := range ops {
		if !first || !o.assumeAbsent {
			keys = append(keys, o.row)
		}
	}
	b.mu.Lock()
	if !b.epochKnown {
		keys = append(keys, EpochRow)
	}
	b.mu.Unlock()
	got := map[string]platform.Row{}
	if len(keys) == 0 {
		return got, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), platform.CallTimeout)
	defer cancel()
	rows, err := b.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		if r.Key == EpochRow {
			if err := b.setEpoch(r); err != nil {
				return nil, err
			}
			continue
		}
		got[r.Key] = r
	}
	return got, nil
}

// prepare applies the ops to their rows. Ops that need no write are finished.
func (b *batcher) prepare(ops []*op, rows map[string]platform.Row) (pending []*op, checks []platform.Check, writes []platform.Write) {
	b.mu.Lock()
	stamp := Stamp{Now: b.now(), Epoch: b.epoch}
	checks = append(checks, platform.Check{Key: EpochRow, Version: b.epochVersion})
	b.mu.Unlock()
	for _, o := range ops {
		row := rows[o.row]
		rec, err := Decode(row.Value)
		if err != nil {
			o.result <- err
			continue
		}
		next, write := o.apply(rec, stamp)
		if !write {
			o.result <- nil
			continue
		}
		value, err := next.Encode()
		if err != nil {
			o.result <- err
			continue
		}
		pending = append(pending, o)
		checks = append(checks, platform.Check{Key: o.row, Version: row.Version})
		writes = append(writes, platform.Write{Key: o.row, Value: value})
	}
	return pending, checks, writes
}

// failUnavailable finishes the ops that certainly had no effect with
// platform.ErrUnavailable and returns the others.
func (b *batcher) failUnavailable(ops []*op) []*op {
	var rest []*op
	for _, o := range ops {
		if o.outcomeUnknown {
			rest = append(rest, o)
			continue
		}
		o.result <- errors.WithStack(platform.ErrUnavailable)
	}
	return rest
}

// expireUnknown finishes the ops with an unknown outcome whose deadline has
// passed and returns the others.
func (b *batcher) expireUnknown(ops []*op) []*op {
	now := b.now()
	var rest []*op
	for _, o := range ops {
		if o.outcomeUnknown && now.After(o.deadline) {
			o.result <- errors.WithStack(platform.ErrOutcomeUnknown)
			continue
		}
		rest = append(rest, o)
	}
	return rest
}

func (b *batcher) setEpoch(r platform.Row) error {
	epoch, err := decodeEpoch(r.Value)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.epoch, b.epochVersion, b.epochKnown = epoch, r.Version, true
	return nil
}

// decodeEpoch returns the number in the epoch row. An absent row stands for
// epoch 0.
func decodeEpoch(value []byte) (uint64, error) {
	if value == nil {
		return 0, nil
	}
	epoch, err := strconv.ParseUint(string(value), 10, 64)
	return epoch, errors.Wrap(err, "decode claim epoch")
}

func (b *batcher) invalidateEpoch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.epochKnown = false
}

func finishAll(ops []*op, err error) {
	for _, o := range ops {
		o.result <- err
	}
}
