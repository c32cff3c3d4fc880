package node

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/platform"
)

// recoveryLogLimit is the delay after which the line about a new era is logged even if the
// recovery isn't complete: the store's rows of servers are complete about two seconds after its
// return.
const recoveryLogLimit = 5 * time.Second

// eraState is what this VM knows about the store's eras.
type eraState struct {
	mu sync.Mutex
	// era is the newest known era; known is set once there is one.
	era   platform.Era
	known bool
	// since is when the era was first observed; zero for the first era that this process
	// observes.
	since time.Time
	// recovery tracks the recovery at the start of the era; nil once it is logged.
	recovery *recovery
}

// recovery records what a store restored from an older copy has lost, and what this VM wrote
// again.
type recovery struct {
	from, to platform.Era
	// source is "store" or the VM from which the new era was learned.
	source string
	// knownRevision is the revision up to which the servers were known before the return.
	knownRevision platform.Revision
	// operatorRead and serversRead are set once this VM has read those rows again or received
	// them from another VM.
	operatorRead, serversRead bool
	// storeCatalog is the configuration version in the store. serversMissing counts the known
	// servers without a row, serversWithheld those that have a row although they ended.
	storeCatalog                    catalog.Version
	serversMissing, serversWithheld int
	// olderWeights counts the models for which the store names older weights than are known.
	olderWeights int
	// memberWritten is set once this VM's member row is written again; namingsWritten counts
	// the rewritten rows of naming times.
	memberWritten  bool
	namingsWritten int
}

// storeHasReturned reports whether this VM has seen the store come back from an older copy.
func (n *Node) storeHasReturned() bool {
	n.eras.mu.Lock()
	defer n.eras.mu.Unlock()
	return !n.eras.since.IsZero()
}

// observeEra records the era of a store answer or of another VM's knowledge. It reports whether
// this is the newest known era.
func (n *Node) observeEra(e platform.Era, source string) bool {
	n.eras.mu.Lock()
	from, first := n.eras.era, !n.eras.known
	switch {
	case e < from:
		n.eras.mu.Unlock()
		return false
	case first || e == from:
		n.eras.era, n.eras.known = e, true
		n.eras.mu.Unlock()
		return true
	}
	n.eras.era, n.eras.since = e, n.now()
	n.eras.recovery = &recovery{from: from, to: e, source: source, knownRevision: n.directory.Known()}
	n.eras.mu.Unlock()

	metrics.GetOrRegisterCounter("store_returns", n.metrics).Inc(1)
	for _, f := range []*feedState{&n.operatorFeed, &n.serverFeed} {
		if interrupt := f.interrupt.Load(); interrupt != nil {
			(*interrupt)() // A pending answer would belong to the previous era.
		}
	}
	n.storeClock.reset()
	n.signal(n.rereadMembers)
	n.signal(n.goalsChanged)
	n.signal(n.convictionsChanged)
	return true
}

// observePeerEra records the era of the servers that another VM knows. A zero revision means
// that it knows none yet and is ignored.
func (n *Node) observePeerEra(known platform.Revision, from string) {
	if !known.IsZero() {
		n.observeEra(known.Era, from)
	}
}

// era returns the newest known era of the store and when it was first observed; that time is
// zero for the first era that this process observes.
func (n *Node) era() (platform.Era, time.Time) {
	n.eras.mu.Lock()
	defer n.eras.mu.Unlock()
	return n.eras.era, n.eras.since
}

// updateRecovery updates the recovery of an era, if it is still in progress.
func (n *Node) updateRecovery(e platform.Era, update func(*recovery)) {
	n.eras.mu.Lock()
	defer n.eras.mu.Unlock()
	if r := n.eras.recovery; r != nil && r.to == e {
		update(r)
	}
}

// logRecovery logs the effects of a store's return once the recovery is complete or
// recoveryLogLimit has passed.
func (n *Node) logRecovery() {
	n.eras.mu.Lock()
	r, since := n.eras.recovery, n.eras.since
	age := n.now().Sub(since)
	if r == nil || age < recoveryLogLimit && !(r.operatorRead && r.serversRead && r.memberWritten) {
		n.eras.mu.Unlock()
		return
	}
	n.eras.recovery = nil
	n.eras.mu.Unlock()
	fields := []zap.Field{
		zap.Uint64("era", uint64(r.to)), zap.Uint64("era_before", uint64(r.from)), zap.String("source", r.source),
		zap.Duration("age", age), zap.Stringer("revision_before", r.knownRevision), zap.Stringer("revision", n.directory.Known()),
		zap.Bool("operator_read", r.operatorRead), zap.Bool("servers_read", r.serversRead),
		zap.Int("servers_missing", r.serversMissing), zap.Int("servers_withheld", r.serversWithheld),
		zap.Uint64("catalog_shown", uint64(r.storeCatalog)), zap.Int("older_weights", r.olderWeights),
		zap.Bool("member_written", r.memberWritten), zap.Int("namings_written", r.namingsWritten),
		zap.Uint64("fencing", uint64(n.keeper.Term().Fencing)),
	}
	if c := n.Gateway.Catalog(); c != nil {
		fields = append(fields, zap.Uint64("catalog", uint64(c.Version)))
	}
	n.log.Warn("store_came_back", fields...)
}

// signal sends on a channel with a buffer of one, unless a signal is already pending.
func (n *Node) signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
