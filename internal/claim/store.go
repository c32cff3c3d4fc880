package claim

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// Settings are the limits of a Store.
type Settings struct {
	// MaxRows bounds the claim rows of one transaction.
	MaxRows int
	// TableWrites is the number of transactions per second that all VMs
	// together may use for claims.
	TableWrites float64
	// AbandonAfter is the age at which an open claim is reported as abandoned. It must
	// be longer than the longest request.
	AbandonAfter time.Duration
	// InlineBytes is the largest response body that is stored in the row.
	InlineBytes int
	// ObjectBytes is the largest response body that is stored at all.
	ObjectBytes int
}

// MaxOutcomeBytes is the default of Settings.ObjectBytes.
const MaxOutcomeBytes = 4 << 20

// DefaultSettings returns settings for six to eight VMs and a table with a
// capacity of several hundred writes per second.
func DefaultSettings() Settings {
	return Settings{
		MaxRows:      100,
		TableWrites:  300,
		AbandonAfter: 10 * time.Minute,
		InlineBytes:  2 << 10,
		ObjectBytes:  MaxOutcomeBytes,
	}
}

const (
	// readBackTimeout bounds the read-back of a commit whose response was lost.
	readBackTimeout = 3 * platform.CallTimeout
	// recordTimeout is how long the end of an attempt is retried.
	recordTimeout = 5 * time.Minute
	// maxRecordPause is the longest pause between two such retries.
	maxRecordPause = 2 * time.Second
	// maxRecordings bounds the ends of attempts that are being recorded.
	// Further ones are dropped.
	maxRecordings = 4096
	// maxPendingBodyBytes bounds the total size of the response bodies that
	// wait to be stored as objects.
	maxPendingBodyBytes = 32 << 20
	// flushPollInterval is the time between two checks for pending ends of
	// attempts.
	flushPollInterval = 5 * time.Millisecond
	// inProgressRetryAfter is the retry delay for a repeat while the first
	// request runs.
	inProgressRetryAfter = 1 * time.Second
	// outageRetryAfter is the retry delay after the table was unavailable.
	outageRetryAfter = 2 * time.Second
)

// Store keeps claims in the platform's table. It is safe for concurrent use.
type Store struct {
	settings         Settings
	owner            Owner
	objects          platform.Objects
	now              func() time.Time
	batcher          *batcher
	recordSlots      chan struct{}
	pending          atomic.Int64
	ownerGone        func(Owner) bool
	pendingBodyBytes atomic.Int64
	vms              atomic.Int64
	stopped          chan struct{}
}

// NewStore returns a Store. Its Run must be running.
func NewStore(table platform.Table, objects platform.Objects, owner Owner, s Settings) *Store {
	st := &Store{
		settings:    s,
		owner:       owner,
		objects:     objects,
		now:         time.Now,
		ownerGone:   func(Owner) bool { return false },
		recordSlots: make(chan struct{}, maxRecordings),
		stopped:     make(chan struct{}),
	}
	st.SetVMs(1)
	st.batcher = &batcher{
		table:    table,
		now:      time.Now,
		maxRows:  s.MaxRows,
		interval: st.interval,
		queue:    make(chan *op, queueLength),
		slots:    make(chan struct{}, maxTransactions),
	}
	return st
}

// SetVMs sets the number of VMs that share the table writes.
func (s *Store) SetVMs(n int) { s.vms.Store(int64(max(n, 1))) }

// departedAbandonAfter is the age at which the claim of a VM that has left is
// reported as abandoned. It exceeds the greatest age of a roster with which a
// VM serves, so that a VM that has just joined isn't mistaken for one that has
// left.
const departedAbandonAfter = 15 * time.Second

// SetOwnerGone sets the function that reports whether the writer of a claim has
// left for good, so that its open claims are soon reported as abandoned. It
// must be called before Run. A wrong result does no harm: the writer may still
// record its outcome.
func (s *Store) SetOwnerGone(gone func(Owner) bool) { s.ownerGone = gone }

// abandonAfter returns the age at which a claim is reported as abandoned.
func (s *Store) abandonAfter(o Owner) time.Duration {
	if s.ownerGone(o) {
		return departedAbandonAfter
	}
	return s.settings.AbandonAfter
}

// interval returns the minimum mean time between two transactions of this VM.
func (s *Store) interval() time.Duration {
	return time.Duration(float64(s.vms.Load()) / s.settings.TableWrites * float64(time.Second))
}

// Run commits batches until ctx ends.
func (s *Store) Run(ctx context.Context) {
	s.batcher.run(ctx)
	close(s.stopped)
}

// Grant is the result of an accepted claim. Either Claim is set, the right to
// dispatch, or Outcome, the result of the request if it has run before.
type Grant struct {
	Claim   *Claim
	Outcome *Outcome
}

// Claim is the exclusive right to dispatch one request. The holder must call
// one of Finish, Release and Abandon.
type Claim struct {
	store *Store
	row   string
	hold  Hold
	// dispatchUntil is when the right to dispatch ends.
	dispatchUntil time.Time
}

// Acquire claims a request before it is dispatched. Every error is a
// *verdict.Error.
func (s *Store) Acquire(ctx context.Context, key Key, digest Digest) (Grant, error) {
	a := Attempt{Digest: digest, Nonce: Nonce(uuid.NewString()), Owner: s.owner}
	var (
		rec      Record
		decision Decision
	)
	start := s.now()
	o := &op{
		row:          key.Row(),
		assumeAbsent: true,
		deadline:     start.Add(readBackTimeout),
		result:       make(chan error, 1),
		apply: func(r Record, st Stamp) (Record, bool) {
			next, d, write := Acquire(r, a, s.abandonAfter(r.Owner), st)
			rec, decision = next, d
			return next, write
		},
	}
	if !s.enqueue(o) {
		return Grant{}, storeUnavailable()
	}
	select {
	case err := <-o.result:
		if err != nil {
			return Grant{}, s.refuseTableError(o.row, a, err)
		}
	case <-ctx.Done():
		go s.releaseWhenCommitted(o, a)
		return Grant{}, verdict.RefuseUntil(http.StatusServiceUnavailable, "claim_timeout",
			"the request could not be claimed in time", outageRetryAfter)
	case <-s.stopped:
		return Grant{}, storeUnavailable()
	}
	return s.grantFor(o.row, rec, decision, start)
}

// grantFor returns the grant or the error for a decision.
func (s *Store) grantFor(row string, r Record, d Decision, start time.Time) (Grant, error) {
	switch d {
	case Granted:
		return Grant{Claim: &Claim{
			store:         s,
			row:           row,
			hold:          Hold{Attempt: r.Attempt, Nonce: r.Nonce},
			dispatchUntil: start.Add(s.settings.AbandonAfter),
		}}, nil
	case Completed:
		return Grant{Outcome: r.Outcome}, nil
	case InProgress:
		return Grant{}, &verdict.Error{
			Verdict:    verdict.MayHaveRun,
			Status:     http.StatusConflict,
			Code:       "request_in_progress",
			Message:    "a request with this idempotency key is running",
			RetryAfter: inProgressRetryAfter,
		}
	case Mismatch:
		return Grant{}, verdict.Refuse(http.StatusUnprocessableEntity, "idempotency_key_reused",
			"this idempotency key was used for a request with other content")
	default:
		return Grant{}, &verdict.Error{
			Verdict: verdict.MayHaveRun,
			Status:  http.StatusConflict,
			Code:    "outcome_unknown",
			Message: "a request with this idempotency key may have run and its outcome is not known",
		}
	}
}

// refuseTableError returns the refusal after a failure of the table. Nothing
// was dispatched, so the request has not run.
func (s *Store) refuseTableError(row string, a Attempt, err error) error {
	if !errors.Is(err, platform.ErrUnavailable) {
		s.releaseAttempt(row, a)
	}
	e := storeUnavailable()
	e.Cause = err
	return e
}

// storeUnavailable returns the refusal of a request that could not be claimed.
func storeUnavailable() *verdict.Error {
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "claim_store_unavailable",
		"the request could not be claimed", outageRetryAfter)
}

// releaseWhenCommitted waits for the claim of a caller that stopped waiting and
// releases it.
func (s *Store) releaseWhenCommitted(o *op, a Attempt) {
	select {
	case err := <-o.result:
		if errors.Is(err, platform.ErrUnavailable) {
			return
		}
		s.releaseAttempt(o.row, a)
	case <-s.stopped:
	}
}

// releaseAttempt releases the claim that the attempt may hold. It first waits
// until every commit of the attempt must have been applied or dropped.
func (s *Store) releaseAttempt(row string, a Attempt) {
	apply := func(r Record, st Stamp) (Record, bool) {
		return Release(r, Hold{Attempt: r.Attempt, Nonce: a.Nonce}, st)
	}
	time.AfterFunc(platform.CallTimeout, func() { s.record(row, apply) })
}

// MayDispatch reports whether the holder may still dispatch. The holder checks
// it right before it sends the request, so that it sends nothing if it was
// paused for longer than the row is kept.
func (c *Claim) MayDispatch() bool { return c.store.now().Before(c.dispatchUntil) }

// Finish records the outcome. It returns when the outcome is recorded or ctx
// ends; after that, retries continue in the background.
func (c *Claim) Finish(ctx context.Context, status int, header http.Header, body []byte) {
	o := &Outcome{Status: status, Header: header, Size: len(body)}
	apply := func(r Record, st Stamp) (Record, bool) { return Finish(r, c.hold, *o, st) }
	name := objectPrefix + string(c.hold.Nonce)
	c.background(ctx, func() {
		c.store.storeBody(o, name, body)
		c.store.record(c.row, apply)
	})
}

// Release releases the claim. The caller must have proof that the request did
// not run, and must not dispatch it afterwards.
func (c *Claim) Release(ctx context.Context) {
	c.record(ctx, func(r Record, st Stamp) (Record, bool) { return Release(r, c.hold, st) })
}

// Abandon records that the request may have run and that no outcome will be
// recorded.
func (c *Claim) Abandon(ctx context.Context) {
	c.record(ctx, func(r Record, st Stamp) (Record, bool) { return Abandon(r, c.hold, st) })
}

// Attempt returns the fencing token of the claim.
func (c *Claim) Attempt() uint64 { return c.hold.Attempt }

func (c *Claim) record(ctx context.Context, apply func(Record, Stamp) (Record, bool)) {
	c.background(ctx, func() { c.store.record(c.row, apply) })
}

// background runs f in its own goroutine and waits until it returns or ctx
// ends.
func (c *Claim) background(ctx context.Context, f func()) {
	done := make(chan struct{})
	c.store.pending.Add(1)
	go func() {
		defer c.store.pending.Add(-1)
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// record commits the end of an attempt, with retries while the table fails. The
// transitions are idempotent.
func (s *Store) record(row string, apply func(Record, Stamp) (Record, bool)) {
	select {
	case s.recordSlots <- struct{}{}:
	default:
		return
	}
	defer func() { <-s.recordSlots }()
	end := s.now().Add(recordTimeout)
	for pause := retryPause; s.now().Before(end); pause = min(2*pause, maxRecordPause) {
		o := &op{row: row, apply: apply, deadline: s.now().Add(readBackTimeout), result: make(chan error, 1)}
		if s.enqueue(o) {
			select {
			case err := <-o.result:
				if err == nil {
					return
				}
			case <-s.stopped:
				return
			}
		}
		time.Sleep(pause)
	}
}

// enqueue queues an op for the batcher. It returns false if the queue is full.
func (s *Store) enqueue(o *op) bool {
	select {
	case s.batcher.queue <- o:
		return true
	default:
		return false
	}
}

// Pending returns the number of ends of attempts that are not recorded yet.
func (s *Store) Pending() int { return int(s.pending.Load()) }

// Flush waits until no end of an attempt is pending or ctx ends.
func (s *Store) Flush(ctx context.Context) {
	for s.Pending() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, flushPollInterval)
	}
}
