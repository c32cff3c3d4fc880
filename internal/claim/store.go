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
	// MaxRows bounds the claims of one transaction.
	MaxRows int
	// TableWrites is the number of transactions a second that all VMs together
	// may spend on claims.
	TableWrites float64
	// Lapse is the age at which an open claim is reported as abandoned. It
	// must be longer than the longest request.
	Lapse time.Duration
	// InlineBytes is the largest answer body that is kept in the row.
	InlineBytes int
	// ObjectBytes is the largest answer body that is kept at all.
	ObjectBytes int
}

// MaxOutcomeBytes is the default of Settings.ObjectBytes.
const MaxOutcomeBytes = 4 << 20

// DefaultSettings suit six to eight VMs on a table with several hundred writes
// a second.
func DefaultSettings() Settings {
	return Settings{
		MaxRows:     100,
		TableWrites: 300,
		Lapse:       10 * time.Minute,
		InlineBytes: 2 << 10,
		ObjectBytes: MaxOutcomeBytes,
	}
}

const (
	// settleTime bounds the read-back of a commit whose answer was lost.
	settleTime = 3 * platform.CallTimeout
	// recordTime bounds the tries to record the end of an attempt.
	recordTime = 5 * time.Minute
	// maxRecordPause is the longest pause between two such tries.
	maxRecordPause = 2 * time.Second
	// maxRecording bounds the ends of attempts that wait for the table.
	maxRecording = 4096
	// maxBodyBytes bounds the answer bodies that wait for the platform.
	maxBodyBytes = 32 << 20
	// flushPause is the time between two looks at what is pending.
	flushPause = 5 * time.Millisecond
	// repeatPause is when a repeat should ask again while the first runs.
	repeatPause = 1 * time.Second
	// outagePause is when to come back after the table was unavailable.
	outagePause = 2 * time.Second
)

// Store keeps claims in the platform's table. It is safe for concurrent use.
type Store struct {
	settings  Settings
	owner     Owner
	objects   platform.Objects
	now       func() time.Time
	batcher   *batcher
	recording chan struct{}
	pending   atomic.Int64
	ownerGone func(Owner) bool
	bodyBytes atomic.Int64
	vms       atomic.Int64
	stopped   chan struct{}
}

// NewStore returns a Store. Its Run must be running.
func NewStore(table platform.Table, objects platform.Objects, owner Owner, s Settings) *Store {
	st := &Store{
		settings:  s,
		owner:     owner,
		objects:   objects,
		now:       time.Now,
		ownerGone: func(Owner) bool { return false },
		recording: make(chan struct{}, maxRecording),
		stopped:   make(chan struct{}),
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

// SetVMs tells the Store how many VMs share the table writes.
func (s *Store) SetVMs(n int) { s.vms.Store(int64(max(n, 1))) }

// departedLapse is the age at which the claim of a VM that has left is reported
// as abandoned. It exceeds the age of any roster by which a VM serves, so that
// a VM which joined lately is not taken for one that has left.
const departedLapse = 15 * time.Second

// SetOwnerGone tells the Store how to know that the writer of a claim has left
// for good, so that its open claims are reported as abandoned soon. It must be
// called before Run. A wrong answer is harmless: the writer may still record
// its outcome.
func (s *Store) SetOwnerGone(gone func(Owner) bool) { s.ownerGone = gone }

// lapse returns the age at which a claim is reported as abandoned.
func (s *Store) lapse(o Owner) time.Duration {
	if s.ownerGone(o) {
		return departedLapse
	}
	return s.settings.Lapse
}

// interval returns the least time between two transactions of this VM.
func (s *Store) interval() time.Duration {
	return time.Duration(float64(s.vms.Load()) / s.settings.TableWrites * float64(time.Second))
}

// Run commits batches until ctx ends.
func (s *Store) Run(ctx context.Context) {
	s.batcher.run(ctx)
	close(s.stopped)
}

// Grant is the answer to an accepted claim: the right to dispatch, or the
// outcome of the request if it ran before. One of the two is set.
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
	// until is when the right to dispatch ends.
	until time.Time
}

// Acquire claims a request before its dispatch. Every error is a
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
		until:        start.Add(settleTime),
		result:       make(chan error, 1),
		apply: func(r Record, st Stamp) (Record, bool) {
			next, d, write := Acquire(r, a, s.lapse(r.Owner), st)
			rec, decision = next, d
			return next, write
		},
	}
	if !s.enqueue(o) {
		return Grant{}, storeBusy()
	}
	select {
	case err := <-o.result:
		if err != nil {
			return Grant{}, s.refuse(o.row, a, err)
		}
	case <-ctx.Done():
		go s.releaseLate(o, a)
		return Grant{}, verdict.RefuseUntil(http.StatusServiceUnavailable, "claim_timeout",
			"the request could not be claimed in time", outagePause)
	case <-s.stopped:
		return Grant{}, storeBusy()
	}
	return s.answer(o.row, rec, decision, start)
}

func (s *Store) answer(row string, r Record, d Decision, start time.Time) (Grant, error) {
	switch d {
	case Granted:
		return Grant{Claim: &Claim{
			store: s,
			row:   row,
			hold:  Hold{Attempt: r.Attempt, Nonce: r.Nonce},
			until: start.Add(s.settings.Lapse),
		}}, nil
	case Completed:
		return Grant{Outcome: r.Outcome}, nil
	case InProgress:
		return Grant{}, &verdict.Error{
			Verdict:    verdict.MayHaveRun,
			Status:     http.StatusConflict,
			Code:       "request_in_progress",
			Message:    "a request with this idempotency key is running",
			RetryAfter: repeatPause,
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

// refuse returns the refusal after the table failed. Nothing was dispatched, so
// the request has not run.
func (s *Store) refuse(row string, a Attempt, err error) error {
	if !errors.Is(err, platform.ErrUnavailable) {
		s.releaseAttempt(row, a)
	}
	e := storeBusy()
	e.Cause = err
	return e
}

func storeBusy() *verdict.Error {
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "claim_store_unavailable",
		"the request could not be claimed", outagePause)
}

// releaseLate gives up the claim of a caller that stopped waiting.
func (s *Store) releaseLate(o *op, a Attempt) {
	select {
	case err := <-o.result:
		if errors.Is(err, platform.ErrUnavailable) {
			return
		}
		s.releaseAttempt(o.row, a)
	case <-s.stopped:
	}
}

// releaseAttempt releases whatever claim the attempt may have. It waits until
// every commit of the attempt has been applied or dropped.
func (s *Store) releaseAttempt(row string, a Attempt) {
	apply := func(r Record, st Stamp) (Record, bool) {
		return Release(r, Hold{Attempt: r.Attempt, Nonce: a.Nonce}, st)
	}
	time.AfterFunc(platform.CallTimeout, func() { s.record(row, apply) })
}

// MayDispatch reports whether the right to dispatch is still there. The holder
// asks right before it sends, so that one that was paused for longer than the
// rows are kept sends nothing.
func (c *Claim) MayDispatch() bool { return c.store.now().Before(c.until) }

// Finish records the outcome. It returns once it is recorded or ctx ends;
// tries go on in the background.
func (c *Claim) Finish(ctx context.Context, status int, header http.Header, body []byte) {
	o := &Outcome{Status: status, Header: header, Size: len(body)}
	apply := func(r Record, st Stamp) (Record, bool) { return Finish(r, c.hold, *o, st) }
	name := objectPrefix + string(c.hold.Nonce)
	c.background(ctx, func() {
		c.store.keepBody(o, name, body)
		c.store.record(c.row, apply)
	})
}

// Release gives the claim back. The caller must have proof that the request
// did not run, and must not dispatch afterwards.
func (c *Claim) Release(ctx context.Context) {
	c.record(ctx, func(r Record, st Stamp) (Record, bool) { return Release(r, c.hold, st) })
}

// Abandon records that the request may have run and no outcome will follow.
func (c *Claim) Abandon(ctx context.Context) {
	c.record(ctx, func(r Record, st Stamp) (Record, bool) { return Abandon(r, c.hold, st) })
}

// Attempt returns the fencing number of the claim.
func (c *Claim) Attempt() uint64 { return c.hold.Attempt }

func (c *Claim) record(ctx context.Context, apply func(Record, Stamp) (Record, bool)) {
	c.background(ctx, func() { c.store.record(c.row, apply) })
}

// background runs f in its own goroutine and waits for it until ctx ends.
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

// record commits the end of an attempt and tries again while the table fails.
// The transitions are idempotent.
func (s *Store) record(row string, apply func(Record, Stamp) (Record, bool)) {
	select {
	case s.recording <- struct{}{}:
	default:
		return
	}
	defer func() { <-s.recording }()
	end := s.now().Add(recordTime)
	for pause := retryPause; s.now().Before(end); pause = min(2*pause, maxRecordPause) {
		o := &op{row: row, apply: apply, until: s.now().Add(settleTime), result: make(chan error, 1)}
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

func (s *Store) enqueue(o *op) bool {
	select {
	case s.batcher.queue <- o:
		return true
	default:
		return false
	}
}

// Pending returns the number of ends of attempts that wait for the platform.
func (s *Store) Pending() int { return int(s.pending.Load()) }

// Flush waits until no end of an attempt is pending or ctx ends.
func (s *Store) Flush(ctx context.Context) {
	for s.Pending() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, flushPause)
	}
}
