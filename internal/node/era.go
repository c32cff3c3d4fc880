package node

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/platform"
)

// recoveryLimit is when the line about a new era is logged at the latest: the store's
// rows of servers are complete about two seconds after its return.
const recoveryLimit = 5 * time.Second

// eras is what this VM knows of the eras of the store.
type eras struct {
	mu sync.Mutex
	// era is the newest that is known, known is set once one is.
	era   platform.Era
	known bool
	// since is when it was first heard of, zero for the first one that this process knows.
	since time.Time
	// recovery is what is done about its begin, nil once that is logged.
	recovery *recovery
}

// recovery is what a store that came back from an older copy lost, and what this VM wrote
// again.
type recovery struct {
	from, to platform.Era
	// source is the store or the VM that told of it.
	source string
	// known is up to where the servers were known before.
	known platform.Revision
	// operator and servers are set once this VM has read those rows anew, or has them from
	// another VM.
	operator, servers bool
	// shown is the configuration that the store shows, missing and withheld are the numbers
	// of servers without a row, and of ended ones that have one.
	shown             catalog.Version
	missing, withheld int
	// olderWeights counts the models of which the store names older weights.
	olderWeights int
	// announced is set once this VM's row among the members is written again, namings counts
	// the rows that say when weights were named.
	announced bool
	namings   int
}

// sawEra notes the era of an answer of the store, or what another VM knows of it. It
// reports whether it is the newest that is known.
func (n *Node) sawEra(e platform.Era, source string) bool {
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
	n.eras.recovery = &recovery{from: from, to: e, source: source, known: n.directory.Known()}
	n.eras.mu.Unlock()

	metrics.GetOrRegisterCounter("store_returns", n.metrics).Inc(1)
	for _, f := range []*feedState{&n.operatorFeed, &n.serverFeed} {
		if interrupt := f.interrupt.Load(); interrupt != nil {
			(*interrupt)() // Its answer would be of the era before, if one came.
		}
	}
	n.storeClock.forget()
	n.signal(n.reread)
	n.signal(n.named)
	return true
}

// hearEra notes the era of the servers that another VM knows. A VM that knows none yet
// tells nothing.
func (n *Node) hearEra(known platform.Revision, from string) {
	if !known.IsZero() {
		n.sawEra(known.Era, from)
	}
}

// era returns the newest era of the store that is known, and since when; zero for the
// first one that this process knows.
func (n *Node) era() (platform.Era, time.Time) {
	n.eras.mu.Lock()
	defer n.eras.mu.Unlock()
	return n.eras.era, n.eras.since
}

// recovered notes what became of a new era's begin.
func (n *Node) recovered(e platform.Era, note func(*recovery)) {
	n.eras.mu.Lock()
	defer n.eras.mu.Unlock()
	if r := n.eras.recovery; r != nil && r.to == e {
		note(r)
	}
}

// logRecovery logs what a return of the store has changed, once all is known.
func (n *Node) logRecovery() {
	n.eras.mu.Lock()
	r, since := n.eras.recovery, n.eras.since
	age := n.now().Sub(since)
	if r == nil || age < recoveryLimit && !(r.operator && r.servers && r.announced) {
		n.eras.mu.Unlock()
		return
	}
	n.eras.recovery = nil
	n.eras.mu.Unlock()
	fields := []zap.Field{
		zap.Uint64("era", uint64(r.to)), zap.Uint64("era_before", uint64(r.from)), zap.String("source", r.source),
		zap.Duration("age", age), zap.Stringer("revision_before", r.known), zap.Stringer("revision", n.directory.Known()),
		zap.Bool("operator_read", r.operator), zap.Bool("servers_read", r.servers),
		zap.Int("servers_missing", r.missing), zap.Int("servers_withheld", r.withheld),
		zap.Uint64("catalog_shown", uint64(r.shown)), zap.Int("older_weights", r.olderWeights),
		zap.Bool("member_written", r.announced), zap.Int("namings_written", r.namings),
		zap.Uint64("fencing", uint64(n.keeper.Term().Fencing)),
	}
	if c := n.Gateway.Catalog(); c != nil {
		fields = append(fields, zap.Uint64("catalog", uint64(c.Version)))
	}
	n.log.Warn("store_came_back", fields...)
}

// signal wakes the reader of a channel that holds one signal.
func (n *Node) signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
