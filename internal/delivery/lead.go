package delivery

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/canary"
	"papayaspan.dev/papayaspan/internal/lease"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

// logInterval is the least time between two log lines about a stage in progress.
const logInterval = time.Second

// run is a roll-out that this VM decides as the holder of the order lease.
type run struct {
	fencing  lease.Fencing
	loggedAt time.Time
	// restored is set if the store may have lost the stored record.
	restored atomic.Bool

	mu sync.Mutex
	// controller is nil once the outcome is known from elsewhere; decision then holds it.
	controller *canary.Controller
	decision   canary.Decision
	order      Order
	retryFrom  time.Time
	// writing is set while the record is being stored, lost once another holder has stored one.
	writing, lost bool
	// record is the last one that is known to be stored; nil if there is none.
	record *canary.Record
}

var errOtherHolder = errors.New("a later holder of the order lease has stored a record")

// lead steps the roll-outs if this VM holds the order lease.
func (d *Delivery) lead(ctx context.Context) {
	fencing, holds := d.opts.Term()
	now := d.opts.Now()
	if !holds {
		d.runs, d.term = map[string]*run{}, 0
		return
	}
	if now.Before(d.leadFrom) {
		return
	}
	if fencing != d.term {
		if err := d.takeOver(ctx, fencing); err != nil {
			d.leadFrom = d.opts.Now().Add(retryPause)
			d.opts.Log.Warn("server_rollouts_not_taken_over", logging.Error(err))
			return
		}
	}
	d.mu.RLock()
	orders := make([]Order, 0, len(d.orders))
	current := map[string]bool{}
	for _, o := range d.orders {
		orders = append(orders, o)
		current[o.Service] = true
	}
	d.mu.RUnlock()
	for _, o := range orders {
		r := d.runs[o.Service]
		if r == nil || r.order.Revision != o.Revision {
			if r = d.begin(ctx, o, fencing); r == nil {
				continue
			}
		}
		r.setRow(o.Row)
		d.step(ctx, r)
	}
	for service, r := range d.runs {
		if !current[service] {
			r.end("the order was withdrawn")
			d.step(ctx, r)
		}
	}
}

// takeOver reads the orders and the stored records at the beginning of a term.
func (d *Delivery) takeOver(ctx context.Context, fencing lease.Fencing) error {
	if err := d.readOrders(ctx, d.opts.Now()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	prefix := d.opts.Dialect.RecordPrefix()
	rows, err := d.opts.Table.Scan(ctx, prefix, "", maxOrders)
	if err != nil {
		return err
	}
	d.runs, d.term = map[string]*run{}, fencing
	for _, row := range rows {
		s, err := decodeStored(row.Value)
		if err != nil {
			d.opts.Log.Warn("server_rollout_record_malformed", zap.String("key", row.Key), logging.Error(err))
			continue
		}
		service := strings.TrimPrefix(row.Key, prefix)
		d.mu.RLock()
		_, ordered := d.orders[service]
		d.mu.RUnlock()
		if !ordered && s.Phase == canary.Running {
			o := Order{Order: s.Order, Row: s.Row}
			d.runs[service] = &run{order: o, fencing: fencing, decision: finalOf(o, canary.Running, "")}
		}
	}
	return nil
}

// begin returns the run of an order, which continues from the stored record; nil if that can't be
// read.
func (d *Delivery) begin(ctx context.Context, o Order, fencing lease.Fencing) *run {
	readCtx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	s, _, err := d.load(readCtx, o.Service)
	if err != nil {
		d.leadFrom = d.opts.Now().Add(retryPause)
		d.opts.Log.Warn("server_rollout_unread", zap.String("service", o.Service), logging.Error(err))
		return nil
	}
	r := &run{order: o, fencing: fencing}
	d.mu.RLock()
	in, known := d.latest[o.Service]
	d.mu.RUnlock()
	var resume *canary.Record
	if s.of(o) {
		r.record = &s.Record
		r.record.Order = o.Order // A restore of the store changes the revision.
		resume = r.record
	}
	switch {
	case known && in.Order == o.Revision && in.Phase != canary.Running:
		// What the VMs know precedes a record of an older copy of the store.
		r.decision = finalOf(o, in.Phase, "announced before")
	case resume != nil && resume.Phase != canary.Running:
		r.decision = finalOf(o, resume.Phase, resume.Reason)
	case o.Invalid != "":
		r.decision = finalOf(o, canary.RolledBack, o.Invalid)
	case !d.opts.HasService(o.Service):
		r.decision = finalOf(o, canary.RolledBack, "the configuration has no such service")
	default:
		r.controller = canary.NewController(d.opts.Settings, o.Order, resume, d.opts.Now())
		r.decision = finalOf(o, canary.Running, "")
	}
	d.runs[o.Service] = r
	d.opts.Log.Info("server_rollout_led", zap.String("service", o.Service), zap.String("to", o.To), zap.Stringer("order", o.Revision),
		zap.Uint64("fencing", uint64(fencing)), zap.Bool("resumed", resume != nil), zap.String("phase", string(r.decision.Announcement.Phase)))
	return r
}

// finalOf returns the decision that an order has reached a phase.
func finalOf(o Order, phase canary.Phase, reason string) canary.Decision {
	return canary.Decision{
		Announcement: canary.Announcement{Service: o.Service, To: o.To, Order: o.Revision, Phase: phase},
		Record:       canary.Record{Order: o.Order, Phase: phase, Reason: reason},
		Reason:       reason,
	}
}

// end rolls an order back unless it has reached a final phase.
func (r *run) end(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decision.Announcement.Phase != canary.Running {
		return
	}
	before := r.decision
	r.controller, r.decision = nil, finalOf(r.order, canary.RolledBack, reason)
	r.decision.Record.Exposed, r.decision.Record.Total = before.Record.Exposed, before.Record.Total
}

func (r *run) setRow(row platform.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order.Row = row
}

// step takes the next decision of a run, stores it if necessary and announces it.
func (d *Delivery) step(ctx context.Context, r *run) {
	now := d.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writing || r.lost {
		return
	}
	before := r.decision.Announcement
	if r.controller != nil {
		r.decision = r.controller.Step(now, d.input(r.order, now))
	}
	dec := &r.decision
	if dec.Record.Phase == "" {
		dec.Record = finalOf(r.order, dec.Announcement.Phase, dec.Reason).Record // Nothing was sent yet.
	}
	dec.Announcement.Fencing, dec.Record.Fencing = uint64(r.fencing), uint64(r.fencing)
	d.logDecision(r, before, now)
	phase := dec.Announcement.Phase
	if phase == canary.RolledBack {
		// Less exposure needs no record: it is announced at once, also while the store is down.
		d.announce(r.order, dec.Announcement)
	}
	if r.restored.Swap(false) {
		r.record = nil
	}
	if !r.needsRecord() {
		d.announce(r.order, dec.Announcement)
		return
	}
	if now.Before(r.retryFrom) {
		return
	}
	r.writing = true
	go d.write(ctx, r, r.order, *dec, now)
}

// announce applies an announcement, which the next digests pass on. An order that can't be carried
// out changes nothing for a version that was in use before it.
func (d *Delivery) announce(o Order, a canary.Announcement) {
	if o.Invalid != "" {
		d.mu.RLock()
		_, settled := d.settled[Version{Service: a.Service, Version: a.To}]
		d.mu.RUnlock()
		if settled || a.To == "" {
			return
		}
	}
	d.apply(a, ownSource)
}

// needsRecord reports whether the decision must be stored. The caller holds r.mu.
func (r *run) needsRecord() bool {
	dec := &r.decision
	if r.record != nil && dec.Record.Phase == r.record.Phase && r.record.Phase.Final() {
		return false
	}
	// The controller asks once; the record differs until it is stored.
	return r.record == nil || dec.Persist || dec.Record != *r.record
}

// write stores a decision and then announces it.
func (d *Delivery) write(ctx context.Context, r *run, o Order, dec canary.Decision, decided time.Time) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	final, err := d.store(ctx, o, dec.Record)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	now := d.opts.Now()
	switch {
	case errors.Is(err, errOtherHolder):
		r.lost = true
	case err != nil:
		r.retryFrom = now.Add(retryPause)
	case final != nil:
		r.record, r.controller, r.decision = final, nil, finalOf(o, final.Phase, final.Reason)
	default:
		r.record = &dec.Record
		if a := dec.Announcement; a.Phase != canary.Running {
			d.announce(o, a)
		} else if a.For -= now.Sub(decided); a.For > 0 || a.Stage == 0 {
			a.For = max(0, a.For)
			d.announce(o, a)
		}
	}
	d.opts.Log.Info("server_rollout_stored", zap.String("service", o.Service), zap.String("phase", string(dec.Record.Phase)),
		zap.Uint32("stage", dec.Record.Stage), zap.Float64("exposed", dec.Record.Exposed), zap.Duration("took", now.Sub(decided)), logging.Error(err))
}

// store stores a record and the status for the operator. It returns the stored record instead if
// that has reached a final phase which the given one would revoke.
func (d *Delivery) store(ctx context.Context, o Order, record canary.Record) (*canary.Record, error) {
	s, row, err := d.load(ctx, o.Service)
	if err != nil {
		return nil, err
	}
	same := s.of(o)
	if s != nil && row.Version != 0 {
		switch {
		case s.Fencing > record.Fencing:
			return nil, errors.WithStack(errOtherHolder)
		case same && s.Phase != canary.Running && s.Phase != record.Phase && record.Phase == canary.Running:
			return &s.Record, nil
		}
	}
	data, err := json.Marshal(stored{Record: record, Row: o.Row, Banned: d.bansOf(o)})
	if err != nil {
		return nil, errors.Wrap(err, "encode the record of a roll-out")
	}
	key := d.opts.Dialect.RecordPrefix() + o.Service
	writes := []platform.Write{{Key: key, Value: data}}
	if !same || s.Phase != record.Phase || row.Era != o.Row.Era {
		writes = append(writes, d.opts.Dialect.Status(o.Service, o.To, record.Phase))
	}
	if _, holds := d.opts.Term(); !holds {
		return nil, errors.New("the order lease has ended")
	}
	return nil, d.opts.Table.Commit(ctx, []platform.Check{{Key: key, Version: row.Version, Era: row.Era}}, writes)
}

// bansOf returns the rolled-back versions of an order's service other than its own.
func (d *Delivery) bansOf(o Order) []canary.Announcement {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []canary.Announcement
	for v, ban := range d.banned {
		if v.Service == o.Service && v.Version != o.To {
			out = append(out, ban)
		}
	}
	return out
}

func decodeStored(value []byte) (*stored, error) {
	s := &stored{}
	if err := json.Unmarshal(value, s); err != nil {
		return nil, errors.Wrap(err, "stored roll-out")
	}
	return s, nil
}

// input collects what a controller decides on.
func (d *Delivery) input(o Order, now time.Time) canary.Input {
	in := canary.Input{Members: d.opts.Members()}
	for _, e := range d.opts.Servers() {
		if e.Service != o.Service || !e.Usable() {
			continue
		}
		group := &in.Old
		if e.Software == o.To {
			group = &in.New
		}
		group.Servers++
		group.Slots += e.Slots
	}
	in.Reports = d.reportsOf(o, now)
	return in
}

func (d *Delivery) logDecision(r *run, before canary.Announcement, now time.Time) {
	dec := &r.decision
	a := &dec.Announcement
	if a.Phase == before.Phase && a.Stage == before.Stage && (a.Phase != canary.Running || now.Sub(r.loggedAt) < logInterval) && !r.loggedAt.IsZero() {
		return
	}
	r.loggedAt = now
	d.opts.Log.Info("server_rollout_decision", zap.String("service", a.Service), zap.String("to", a.To), zap.Stringer("order", a.Order),
		zap.String("phase", string(a.Phase)), zap.Uint32("stage", a.Stage), zap.Float64("share", a.Share), zap.Uint64("samples", dec.Samples),
		zap.String("reason", dec.Reason), zap.Duration("elapsed", dec.Record.Elapsed), zap.Float64("exposed", dec.Record.Exposed),
		zap.Float64("total", dec.Record.Total), zap.Uint64("fencing", a.Fencing))
}
