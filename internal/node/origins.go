package node

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/origin"
	"papayaspan.dev/papayaspan/internal/platform"
)

const (
	// originStoreInterval is the interval at which the origins of new streams are stored. A
	// restart of all VMs loses those of the last interval.
	originStoreInterval = 200 * time.Millisecond
	// minOriginReadInterval is the least time between two reads of the stored origins.
	minOriginReadInterval = 1 * time.Second
	versionsKey           = "versions"
	// slotKeyPrefix begins the keys of the rows with streams, which the ID of the VM that writes
	// them and a number follow.
	slotKeyPrefix = "vm:"
)

// versionsRow is the row that stores the software versions of the recent past. Without it, VMs
// that start could take the only version that has servers now for the one that began a stream.
type versionsRow struct {
	// Written is when the row was written, by the store's monotonic clock.
	Written  time.Duration          `json:"written"`
	Versions []origin.VersionNotice `json:"versions"`
	// Numberings tell how the versions number the events of streams.
	Numberings []origin.NumberingNotice `json:"numberings,omitempty"`
}

// originAudiences are the audiences of notices in digests.
var originAudiences = map[gossip.Audience]origin.Audience{gossip.Everyone: origin.Domain, gossip.Busy: origin.ActiveVMs}

func (n *Node) originKey(key string) string { return n.opts.StreamTable + "/" + key }

func (n *Node) slotKey(number int64) string {
	return n.originKey(fmt.Sprintf("%s%s:%d", slotKeyPrefix, n.opts.VM.ID, number%int64(origin.Slots)))
}

// observeVersions records the software versions of the known servers.
func (n *Node) observeVersions() {
	servers := map[origin.Origin]int{}
	for _, e := range n.directory.View().All() {
		servers[origin.Origin{Service: e.Service, Version: e.Software}]++
	}
	present := slices.Collect(maps.Keys(servers))
	n.origins.SetServers(servers)
	if n.origins.Observe(present) {
		n.signal(n.versionsChanged)
	}
}

// applyOrigins applies what another VM knows about software versions and streams.
func (n *Node) applyOrigins(notices *origin.Notices, sameDomain bool) {
	if n.origins.Apply(notices, sameDomain) {
		n.signal(n.versionsChanged)
	}
}

// serversCurrent reports whether the directory lacks no software version that other VMs may
// use: it is recent, or no other VM has a more recent one. A VM that is silent may have one.
func (n *Node) serversCurrent() bool {
	age := n.serverStaleness()
	if age < 0 || age <= origin.MaxLag {
		return age >= 0
	}
	known, now := n.directory.Known(), n.now()
	for p := range n.gossip.Each {
		if !p.Alive(now) || p.Servers.After(known) {
			return false
		}
	}
	return true
}

// serversProvedAt returns the latest time at which servers that had ended were missing from the
// directory, or shown with their next run; zero if there is none. A store that was restored from
// an older copy shows ended runs until their rows expire.
func (n *Node) serversProvedAt() time.Time {
	age := n.serverStaleness()
	if _, since := n.era(); age < 0 || !since.IsZero() && n.now().Sub(since) < rowTTL(n.opts.Bounds.Heartbeat) {
		return time.Time{}
	}
	return n.now().Add(-age)
}

// runningSince returns the start time of the run that a server reports.
func (n *Node) runningSince(ctx context.Context, e *fleet.Entry) (int64, error) {
	report, err := n.opts.Engines.Report(ctx, e, n.dialVia(e))
	return report.Started, err
}

// loadOrigins reads the stored origins when the VM starts, and again when one is missing.
func (n *Node) loadOrigins(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		err := n.readOrigins(ctx)
		if err != nil {
			n.log.Info("origins_not_read", logging.Error(err))
		}
		if err != nil && !n.fetchOrigins(ctx) {
			clock.Sleep(ctx, min(maxBackoff, minBackoff<<min(failures, 8)))
			failures++
			continue
		}
		failures = 0
		if !clock.Sleep(ctx, minOriginReadInterval) {
			return
		}
		select {
		case <-n.originMissed:
		case <-ctx.Done():
		}
	}
}

func (n *Node) readOrigins(ctx context.Context) error {
	list, err := n.opts.Feed.Rows(ctx, n.opts.StreamTable)
	if err != nil {
		return err
	}
	if !n.observeEra(list.Revision.Era, "store") {
		return errors.Wrapf(platform.ErrUnavailable, "the answer belongs to the earlier era %d", list.Revision.Era)
	}
	for _, r := range list.Rows {
		if r.Key == n.originKey(versionsKey) {
			n.applyVersionsRow(r, list.Now)
			continue
		}
		var s origin.Slot
		if err := json.Unmarshal(r.Value, &s); err != nil {
			n.log.Warn("origins_row_malformed", zap.String("key", r.Key), logging.Error(err))
			continue
		}
		end := time.Duration(s.Number+1) * origin.SlotLength
		mine := strings.HasPrefix(r.Key, n.originKey(slotKeyPrefix+string(n.opts.VM.ID)+":"))
		n.origins.RestoreSlot(s, list.Now-end, mine)
	}
	n.origins.SetComplete()
	n.log.Info("origins_read", zap.Int("rows", len(list.Rows)), zap.Int("streams", n.origins.Len()))
	return nil
}

// originsPath is the path at which VMs serve all origins that they know.
const originsPath = "/origins"

func (n *Node) serveOrigins(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.origins.Export()); err != nil {
		n.log.Info("origins_not_written", logging.Error(err))
	}
}

// fetchOrigins fetches the origins that another VM knows, as the store can't be read, and reports
// whether it succeeded.
func (n *Node) fetchOrigins(ctx context.Context) bool {
	now := n.now()
	peers := slices.DeleteFunc(n.gossip.Peers(), func(p gossip.Peer) bool { return !p.Alive(now) || p.Origins == nil || !p.Origins.Complete })
	if len(peers) == 0 {
		return false
	}
	p := peers[rand.IntN(len(peers))]
	var notices origin.Notices
	if _, err := fetchFromPeer(ctx, p.Member, originsPath, &notices); err != nil {
		n.log.Info("origins_not_fetched", zap.String("peer", string(p.ID)), logging.Error(err))
		return false
	}
	n.applyOrigins(&notices, false)
	n.log.Info("origins_fetched", zap.String("peer", string(p.ID)), zap.Int("streams", n.origins.Len()))
	return true
}

// applyVersionsRow applies the stored versions. now is the reading of the store's clock.
func (n *Node) applyVersionsRow(r platform.Row, now time.Duration) {
	var row versionsRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		n.log.Warn("versions_row_malformed", zap.String("key", r.Key), logging.Error(err))
		return
	}
	for i := range row.Versions {
		if v := &row.Versions[i]; v.GoneFor > 0 {
			v.GoneFor += max(0, now-row.Written).Milliseconds()
		}
	}
	for i := range row.Numberings {
		row.Numberings[i].Age += max(0, now-row.Written).Milliseconds()
	}
	changed := n.origins.RestoreVersions(row.Versions)
	if n.origins.RestoreNumberings(row.Numberings) || changed {
		n.signal(n.versionsChanged)
	}
}

// persistVersions stores the software versions whenever they change.
func (n *Node) persistVersions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.versionsChanged:
		}
		stagger := time.Duration((float64(n.gossip.Rank()) + rand.Float64()/2) * float64(persistStagger))
		for n.Following() && clock.Sleep(ctx, stagger) {
			stagger = persistRetryDelay
			if _, ok := n.storeClock.toStore(n.now()); !ok {
				continue // Until the members are read.
			}
			err := n.storeVersions(ctx)
			if err == nil {
				break
			}
			n.log.Info("versions_not_stored", logging.Error(err))
		}
	}
}

// storeVersions writes the versions to their row unless it has them.
func (n *Node) storeVersions(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	key := n.originKey(versionsKey)
	rows, err := n.opts.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	now, _ := n.storeClock.toStore(n.now())
	check := platform.Check{Key: key}
	var stored versionsRow
	if len(rows) == 1 {
		if !n.observeEra(rows[0].Era, "store") {
			return errors.Errorf("the answer belongs to the earlier era %d", rows[0].Era)
		}
		check.Version, check.Era = rows[0].Version, rows[0].Era
		if rows[0].Value != nil {
			n.applyVersionsRow(rows[0], now)
			if err := json.Unmarshal(rows[0].Value, &stored); err != nil {
				stored = versionsRow{} // It is overwritten.
			}
		}
	}
	versions, numberings := n.origins.Versions(), n.origins.Numberings()
	if coversVersions(presenceOf(stored), versions) && origin.CoversNumberings(stored.Numberings, numberings) {
		return nil
	}
	value, err := json.Marshal(versionsRow{Written: now, Versions: versions, Numberings: numberings})
	if err != nil {
		return errors.Wrap(err, "encode software versions")
	}
	if err := n.opts.Table.Commit(ctx, []platform.Check{check}, []platform.Write{{Key: key, Value: value}}); err != nil {
		return err
	}
	texts := make([]string, 0, len(versions))
	for _, v := range versions {
		texts = append(texts, v.String())
	}
	for _, v := range numberings {
		texts = append(texts, fmt.Sprintf("%s=%s numbers events %v", v.Service, v.Version, v.Numbering))
	}
	slices.Sort(texts)
	n.log.Info("versions_stored", zap.Strings("versions", texts))
	return nil
}

// presenceOf returns the versions of a stored row, with GoneFor reduced to 0 or 1.
func presenceOf(row versionsRow) map[origin.VersionNotice]bool {
	stored := map[origin.VersionNotice]bool{}
	for _, v := range row.Versions {
		v.GoneFor = min(1, v.GoneFor)
		stored[v] = true
	}
	return stored
}

// coversVersions reports whether a row has the versions, with and without servers as they are.
func coversVersions(stored map[origin.VersionNotice]bool, versions []origin.VersionNotice) bool {
	for _, v := range versions {
		v.GoneFor = min(1, v.GoneFor)
		if !stored[v] {
			return false
		}
	}
	return true
}

// storeOrigins stores the origins of the streams of this failure domain, while services have
// servers of several software versions. One VM of the domain does so for all.
func (n *Node) storeOrigins(ctx context.Context) {
	failed := false
	for clock.Sleep(ctx, originStoreInterval) {
		if !n.origins.Mixed() || !n.origins.Complete() || !n.storesForDomain() {
			continue
		}
		if err := n.storeUnstoredOrigins(ctx); err != nil {
			if !failed {
				n.log.Info("origins_not_stored", logging.Error(err))
			}
			failed = true
			continue
		}
		failed = false
	}
}

// storesForDomain reports whether this VM is the fittest one of its failure domain that receives
// answers from the store.
func (n *Node) storesForDomain() bool {
	now := n.now()
	if n.followingFor(now) == 0 {
		return false
	}
	return !n.gossip.AnyFitter(func(p *gossip.Peer) bool { return p.FollowingFor > 0 })
}

func (n *Node) storeUnstoredOrigins(ctx context.Context) error {
	if _, ok := n.storeClock.toStore(n.now()); !ok {
		return errors.New("the store's clock is not known")
	}
	slots, done := n.origins.Unstored(func(at time.Time) int64 {
		t, _ := n.storeClock.toStore(at)
		return int64(max(0, t) / origin.SlotLength)
	})
	if len(slots) == 0 {
		return nil
	}
	writes := make([]platform.Write, 0, len(slots))
	for _, s := range slots {
		value, err := json.Marshal(s)
		if err != nil {
			return errors.Wrap(err, "encode origins of streams")
		}
		writes = append(writes, platform.Write{Key: n.slotKey(s.Number), Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	if err := n.opts.Table.Commit(ctx, nil, writes); err != nil {
		return err
	}
	done()
	return nil
}
