package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/selector"
)

// convictionsRow is the row that stores what crashes servers. Without it, a restart of all VMs
// would let the same requests crash servers again.
type convictionsRow struct {
	Convictions []storedConviction `json:"convictions"`
}

// storedConviction is a trait whose requests are refused.
type storedConviction struct {
	Trait crashcause.Trait `json:"trait"`
	Part  bool             `json:"part,omitempty"`
	// With and Sole have the same meaning as in a crashcause.ConvictionNotice.
	With []crashcause.Trait `json:"with,omitempty"`
	Sole bool               `json:"sole,omitempty"`
	// Crashed is when the last server crashed, by the store's monotonic clock.
	Crashed  time.Duration        `json:"crashed"`
	Crashes  []selector.ServerKey `json:"crashes,omitempty"`
	Contents int                  `json:"contents,omitempty"`
	Weights  uint64               `json:"weights,omitempty"`
}

// convictionsRowKey returns the key of the row, in the table of the members, which VMs read
// when they start.
func (n *Node) convictionsRowKey() string { return n.opts.MemberTable + "/crash-causes" }

// convictionChanged is called when the traits whose requests are refused have changed.
func (n *Node) convictionChanged(c crashcause.Change) {
	n.Gateway.ApplyConviction(c)
	n.notifyAll()
	n.signal(n.convictionsChanged)
}

// applyCrashes applies another VM's evidence on what crashes servers.
func (n *Node) applyCrashes(notices *crashcause.Notices, from string, sameDomain bool) {
	if n.crashCauses.Apply(notices, from, sameDomain) {
		n.notifyAll()
	}
}

// persistConvictions stores the convictions whenever they change.
func (n *Node) persistConvictions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.convictionsChanged:
		}
		stagger := time.Duration((float64(n.gossip.Rank()) + rand.Float64()/2) * float64(persistStagger))
		for n.Following() && clock.Sleep(ctx, stagger) {
			err := n.storeConvictions(ctx)
			if err == nil {
				break
			}
			n.log.Info("convictions_not_stored", logging.Error(err))
			stagger = persistRetryDelay
		}
	}
}

// storeConvictions writes the convictions to their row unless it has them.
func (n *Node) storeConvictions(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	key := n.convictionsRowKey()
	rows, err := n.opts.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	check := platform.Check{Key: key}
	var stored []string
	if len(rows) == 1 {
		if !n.observeEra(rows[0].Era, "store") {
			return errors.Errorf("the answer belongs to the earlier era %d", rows[0].Era)
		}
		check.Version, check.Era = rows[0].Version, rows[0].Era
		if rows[0].Value != nil {
			stored = n.applyConvictionsRow(rows[0])
		}
	}
	var row convictionsRow
	var known []string
	for _, c := range n.crashCauses.Convictions() {
		crashed, ok := n.storeClock.toStore(c.At)
		if !ok {
			return errors.New("the store's clock is not known")
		}
		known = append(known, c.Label())
		row.Convictions = append(row.Convictions, storedConviction{
			Trait: c.Trait, Part: c.Part, With: c.With, Sole: len(c.With) == 0, Crashed: crashed, Crashes: c.Crashes, Contents: c.Contents, Weights: c.Weights,
		})
	}
	slices.Sort(stored)
	slices.Sort(known)
	if slices.Equal(stored, known) {
		return nil
	}
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode convictions")
	}
	if err := n.opts.Table.Commit(ctx, []platform.Check{check}, []platform.Write{{Key: key, Value: value}}); err != nil {
		return err
	}
	n.log.Info("convictions_stored", zap.Int("convictions", len(known)))
	return nil
}

// applyConvictionsRow applies the convictions of the row and returns their labels.
func (n *Node) applyConvictionsRow(r platform.Row) []string {
	var row convictionsRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		n.log.Warn("convictions_row_malformed", zap.String("key", r.Key), logging.Error(err))
		return nil
	}
	var labels []string
	for _, c := range row.Convictions {
		at, ok := n.storeClock.toLocal(c.Crashed)
		if !ok || at.After(n.now()) {
			at = n.now() // Of another copy of the store, whose clock is another one.
		}
		conviction := crashcause.Conviction{
			Trait: c.Trait, With: c.With, Part: c.Part, At: at, Crashes: c.Crashes, Contents: c.Contents, Weights: c.Weights,
		}
		labels = append(labels, conviction.Label())
		n.crashCauses.Restore(conviction, c.Sole, "store")
	}
	return labels
}
