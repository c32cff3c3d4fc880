package delivery

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/canary"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

const (
	// maxOrders is the number of orders that one read returns, as many as the store allows.
	maxOrders = 500
	// rewriteWindow is the time after a restore of the store from an older copy within which the
	// platform and the servers repeat the writes that the copy lacks. A row with the content of a
	// known order that appears meanwhile is that order.
	rewriteWindow = 30 * time.Second
)

// scan reads the orders, and what is stored of those whose outcome isn't known.
func (d *Delivery) scan(ctx context.Context) {
	began := d.opts.Now()
	d.scanDue.Store(false)
	if err := d.readOrders(ctx, began); err != nil {
		d.scanDue.Store(true)
		d.scanFrom = d.opts.Now().Add(retryPause)
		d.opts.Log.Warn("server_rollout_orders_unread", logging.Error(err))
	}
}

func (d *Delivery) readOrders(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	rows, err := d.opts.Table.Scan(ctx, d.opts.Dialect.OrderPrefix(), "", maxOrders)
	if err != nil {
		return err
	}
	list := map[string]Order{}
	for _, o := range d.opts.Dialect.Orders(rows) {
		list[o.Service] = o
	}
	if err := d.keepUnrestored(ctx, list, rows); err != nil {
		return err
	}
	d.mu.Lock()
	for _, r := range rows {
		d.noteEra(r.Era)
	}
	var fresh []Order
	for service, o := range list {
		o = d.identify(o, began)
		if old, known := d.orders[service]; !known || old.Revision != o.Revision {
			fresh = append(fresh, o)
		}
		list[service] = o
	}
	d.mu.Unlock()
	for _, o := range fresh {
		d.opts.Log.Info("server_rollout_order", zap.String("service", o.Service), zap.String("to", o.To), zap.Stringer("order", o.Revision),
			zap.Stringer("row", o.Row), zap.Duration("duration", o.Duration), zap.String("invalid", o.Invalid))
		if err := d.adoptStored(ctx, o); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders = list
	for v, since := range d.pending {
		if !since.After(began) && !d.named(v) {
			d.settle(v, began)
		}
	}
	return nil
}

// noteEra records an era of the store. After a restore from an older copy, stored progress has to
// be written again. The caller holds d.mu.
func (d *Delivery) noteEra(era platform.Era) {
	if era <= d.era {
		return
	}
	d.era, d.eraAt = era, d.opts.ObserveEra(era)
	for _, r := range d.runs {
		r.restored.Store(true)
	}
}

// keepUnrestored keeps known orders whose rows are missing only because the store was restored
// from an older copy: their writes are repeated.
func (d *Delivery) keepUnrestored(ctx context.Context, list map[string]Order, rows []platform.Row) error {
	d.mu.RLock()
	var missing []Order
	for service, o := range d.orders {
		if _, present := list[service]; !present {
			missing = append(missing, o)
		}
	}
	d.mu.RUnlock()
	for _, o := range missing {
		row, err := d.opts.Table.Get(ctx, o.Key)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.noteEra(row[0].Era)
		recent := !d.eraAt.IsZero() && d.opts.Now().Sub(d.eraAt) < rewriteWindow
		d.mu.Unlock()
		if o.Row.Era < row[0].Era && recent && row[0].Version == 0 {
			list[o.Service] = o
			d.scanDue.Store(true) // Until the window ends, its row may still be missing.
			d.scanFrom = d.opts.Now().Add(time.Second)
		}
	}
	return nil
}

// identify finds out whether a row holds an order that is known by an earlier revision, and
// completes the order. The caller holds d.mu.
func (d *Delivery) identify(o Order, now time.Time) Order {
	o.At = now
	if old, known := d.orders[o.Service]; known {
		restored := old.Row.Era < o.Row.Era && old.To == o.To && old.Duration == o.Duration && d.sameRow(old.Row, o.Row, now)
		if old.Row == o.Row || restored {
			o.Revision, o.At = old.Revision, old.At
		}
		return o
	}
	// A VM that has just started may know the order from other VMs.
	if in, known := d.latest[o.Service]; known && in.To == o.To && in.Order.Era < o.Row.Era && d.sameRow(in.Order, o.Row, now) {
		o.Revision = in.Order
	}
	return o
}

func (d *Delivery) sameRow(known, row platform.Revision, now time.Time) bool {
	return known.Version == row.Version || !d.eraAt.IsZero() && now.Sub(d.eraAt) < rewriteWindow
}

// adoptStored applies what the store tells of a new order, and otherwise sends nothing to its
// version until the holder of the order lease announces a share.
func (d *Delivery) adoptStored(ctx context.Context, o Order) error {
	a := canary.Announcement{Service: o.Service, To: o.To, Order: o.Revision, Phase: canary.Running}
	s, _, err := d.load(ctx, o.Service)
	if err != nil {
		return err
	}
	if s.of(o) && s.Phase != canary.Running {
		a.Phase, a.Fencing, a.Stage = s.Phase, s.Fencing, s.Stage
	}
	if s != nil {
		d.mu.Lock()
		if !s.of(o) && s.Order.To != o.To && s.Phase != canary.Completed {
			d.replaced(canary.Announcement{Service: o.Service, To: s.Order.To, Order: s.Order.Revision})
		}
		for _, ban := range s.Banned {
			d.recordBan(ban)
		}
		d.mu.Unlock()
	}
	if o.Invalid != "" && a.Phase == canary.Running {
		return nil // The holder ends it; the traffic stays where it is.
	}
	d.apply(a, "store")
	return nil
}

// stored is the content of a record's row.
type stored struct {
	canary.Record
	// Row is the revision of the order's row when the record was written.
	Row platform.Revision `json:"row"`
	// Banned are the service's versions that earlier orders named and that were rolled back.
	Banned []canary.Announcement `json:"banned,omitempty"`
}

// of reports whether the record is that of an order. The revision of a row that a restore of the
// store brought back differs by its era only.
func (s *stored) of(o Order) bool {
	switch {
	case s == nil || s.Order.Revision.IsZero():
		return false
	case s.Order.Revision == o.Revision || s.Row == o.Row:
		return true
	}
	return s.Order.To == o.To && s.Row.Version == o.Row.Version && s.Row.Era < o.Row.Era
}

// load reads a service's record; nil if there is none.
func (d *Delivery) load(ctx context.Context, service string) (*stored, platform.Row, error) {
	rows, err := d.opts.Table.Get(ctx, d.opts.Dialect.RecordPrefix()+service)
	if err != nil {
		return nil, platform.Row{}, errors.Wrapf(err, "read the roll-out of service %q", service)
	}
	if rows[0].Version == 0 {
		return nil, rows[0], nil
	}
	s, err := decodeStored(rows[0].Value)
	return s, rows[0], err
}
