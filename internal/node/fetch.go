package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/serverconn"
	"papayaspan.dev/papayaspan/internal/stall"
	"papayaspan.dev/papayaspan/internal/vm"
)

const (
	// fetchDelay is how long a peer must be ahead before its state is fetched: the store's feed
	// delivers most changes within that time.
	fetchDelay = 300 * time.Millisecond
	// remoteFetchDelay is the same for a peer in another failure domain: a peer in the same
	// domain most likely has the state by then.
	remoteFetchDelay = 800 * time.Millisecond
	// fetchTimeout is how long a fetch may go without progress, and how long it may take before
	// another source is tried as well.
	fetchTimeout = 700 * time.Millisecond
	// fetchFailureHold is how long a VM reads the store itself after a fetch that failed or took
	// longer than fetchTimeout. That delays a change by a third of the time allowed to apply a
	// drain or a removal, so that such fetches must not follow one another.
	fetchFailureHold = 30 * time.Second
	// maxFetches bounds the fetches of one part of the state that a VM has in progress.
	maxFetches = 2
	// catalogLinkShare is the share of its link that a VM uses to send the configuration to other
	// VMs, and maxCatalogBacklog how long its link may have been promised to others when one more
	// asks. VMs that are turned away get the configuration from those that have it by then.
	catalogLinkShare  = 0.5
	maxCatalogBacklog = 100 * time.Millisecond
	// maxStateBytes bounds a peer's state.
	maxStateBytes = 8 << 20
	// compressMinBytes is the size from which a state is compressed.
	compressMinBytes = 16 << 10
	statePath        = "/state"
	// partsParameter names the part of the state that is requested. VMs of earlier builds ignore
	// it and send all that is newer than what the other parameters state.
	partsParameter = "parts"
	partCatalog    = "catalog"
	partServers    = "servers"
	// newestCatalog, as the known version, keeps a VM of an earlier build from sending a
	// configuration.
	newestCatalog = math.MaxUint64
)

// errSourceBusy means that a VM's link is busy with sending the configuration to other VMs.
var errSourceBusy = errors.New("the VM sends the configuration to other VMs")

// peerState is the state that one VM fetches from another.
type peerState struct {
	Catalog *catalog.Snapshot `json:"catalog,omitempty"`
	Servers *fleet.Update     `json:"servers,omitempty"`
}

// encodedCatalog is the response with a version of the configuration, compressed with gzip.
type encodedCatalog struct {
	version catalog.Version
	gzip    []byte
}

// encodeCatalog returns the response with the configuration, which is encoded once for all VMs.
func (n *Node) encodeCatalog(c *catalog.Catalog) (encodedCatalog, error) {
	n.encodeMu.Lock()
	defer n.encodeMu.Unlock()
	if n.encoded.version == c.Version {
		return n.encoded, nil
	}
	var b bytes.Buffer
	err := compressTo(&b, func(w io.Writer) error { return json.NewEncoder(w).Encode(peerState{Catalog: &c.Snapshot}) })
	if err != nil {
		return encodedCatalog{}, errors.Wrapf(err, "encode configuration %d", c.Version)
	}
	n.encoded = encodedCatalog{version: c.Version, gzip: b.Bytes()}
	return n.encoded, nil
}

// compressTo compresses what write writes.
func compressTo(to io.Writer, write func(io.Writer) error) error {
	w, err := gzip.NewWriterLevel(to, gzip.BestSpeed)
	if err != nil {
		return err
	}
	if err := write(w); err != nil {
		return err
	}
	return w.Close()
}

func acceptsGzip(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept-Encoding"), "gzip")
}

func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	known, err1 := strconv.ParseUint(q.Get("catalog"), 10, 64)
	var revision platform.Revision
	err2 := revision.UnmarshalText([]byte(q.Get("servers")))
	if err1 != nil || err2 != nil {
		http.Error(w, "the parameter catalog must be a number, and servers a revision", http.StatusBadRequest)
		return
	}
	c := n.Gateway.Catalog()
	if c != nil && uint64(c.Version) <= known {
		c = nil
	}
	w.Header().Set("Content-Type", "application/json")
	if q.Get(partsParameter) == partCatalog && c != nil && acceptsGzip(r) {
		n.serveCatalog(w, r, c)
		return
	}
	var s peerState
	if q.Get(partsParameter) != partCatalog {
		u := n.directory.Export(revision, n.now())
		s.Servers = &u
	}
	if c != nil && q.Get(partsParameter) != partServers {
		s.Catalog = &c.Snapshot
	}
	began := n.now()
	size, err := writeState(w, r, s)
	if err != nil {
		n.log.Info("state_write_failed", logging.Error(err))
	}
	if s.Catalog != nil {
		n.logCatalogServed(r, s.Catalog.Version, size, began, err)
	}
}

// writeState writes a state, compressed if it is large, and returns its size.
func writeState(w http.ResponseWriter, r *http.Request, s peerState) (int, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return 0, errors.Wrap(err, "encode state")
	}
	if len(data) >= compressMinBytes && acceptsGzip(r) {
		var b bytes.Buffer
		err := compressTo(&b, func(w io.Writer) error {
			_, err := w.Write(data)
			return err
		})
		if err != nil {
			return 0, errors.Wrap(err, "compress state")
		}
		data = b.Bytes()
		w.Header().Set("Content-Encoding", "gzip")
	}
	written, err := w.Write(data)
	return written, errors.Wrap(err, "write state")
}

// linkBudget is the share of a link that is given to transfers one after the other.
type linkBudget struct {
	mu   sync.Mutex
	free time.Time
}

// reserve reserves the link for a transfer, unless the reserved ones take longer than the backlog.
func (b *linkBudget) reserve(transfer, backlog time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free.Before(now) {
		b.free = now
	}
	if b.free.Sub(now) > backlog {
		return false
	}
	b.free = b.free.Add(transfer)
	return true
}

// catalogTransferTime returns how long a configuration takes on this VM's share of its link.
func (n *Node) catalogTransferTime(size int) time.Duration {
	return time.Duration(float64(size) * 8 / (n.linkBitRate() * catalogLinkShare) * float64(time.Second))
}

// serveCatalog sends the configuration, unless this VM's link is busy with sending it to others.
func (n *Node) serveCatalog(w http.ResponseWriter, r *http.Request, c *catalog.Catalog) {
	encoded, err := n.encodeCatalog(c)
	if err != nil {
		n.log.Error("catalog_encode_failed", logging.Error(err))
		http.Error(w, "the configuration can't be encoded", http.StatusInternalServerError)
		return
	}
	began := n.now()
	if !n.catalogLink.reserve(n.catalogTransferTime(len(encoded.gzip)), maxCatalogBacklog, began) {
		http.Error(w, errSourceBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	written, err := w.Write(encoded.gzip)
	n.logCatalogServed(r, encoded.version, written, began, err)
}

func (n *Node) logCatalogServed(r *http.Request, version catalog.Version, size int, began time.Time, err error) {
	n.log.Info("catalog_served", zap.String("peer", r.RemoteAddr), zap.Uint64("version", uint64(version)),
		zap.Int("bytes", size), zap.Duration("took", n.now().Sub(began)), zap.Bool("complete", err == nil))
}

// fetches tracks the fetches of one part of the state.
type fetches struct {
	// aheadSince is since when peers are ahead of this VM.
	aheadSince map[vm.ID]time.Time
	// running holds when the fetches in progress began.
	running map[vm.ID]time.Time
}

func newFetches() fetches {
	return fetches{aheadSince: map[vm.ID]time.Time{}, running: map[vm.ID]time.Time{}}
}

// begin reports whether a fetch from a peer should begin, and if so marks it as in progress. The
// peer must have been ahead for the given delay. A second fetch begins if the first one is slow.
func (f *fetches) begin(peer vm.ID, ahead bool, delay time.Duration, now time.Time) bool {
	if !ahead {
		delete(f.aheadSince, peer)
		return false
	}
	since, known := f.aheadSince[peer]
	if !known {
		since = now
		f.aheadSince[peer] = since
	}
	if _, running := f.running[peer]; running || now.Sub(since) < delay || len(f.running) >= maxFetches {
		return false
	}
	for _, began := range f.running {
		if now.Sub(began) < fetchTimeout {
			return false
		}
	}
	f.running[peer] = now
	return true
}

func (f *fetches) end(peer vm.ID) {
	delete(f.running, peer)
	delete(f.aheadSince, peer)
}

// fetchIfAhead fetches what a peer has and this VM lacks. The configuration and the servers are
// fetched apart, so that a large configuration doesn't delay that a server leaves.
func (n *Node) fetchIfAhead(p gossip.Member, catalogKnown catalog.Version, serversKnown platform.Revision) {
	n.noteCatalog(catalogKnown)
	known := n.directory.Known()
	catalogAhead, serversAhead := catalogKnown > n.catalogVersion(), serversKnown.After(known)
	var delay time.Duration
	if catalogAhead || serversAhead {
		delay = n.fetchDelayFor(p)
	}
	serverDelay := delay
	if serversKnown.Era > known.Era && p.FailureDomain == n.opts.VM.FailureDomain {
		serverDelay = 0
	}
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.catalogFetches.begin(p.ID, catalogAhead, delay, now) {
		go n.fetchCatalog(p)
	}
	if n.serverFetches.begin(p.ID, serversAhead, serverDelay, now) {
		go n.fetchServers(p)
	}
}

// catalogVersion returns the version of the configuration in force; 0 if there is none.
func (n *Node) catalogVersion() catalog.Version {
	if c := n.Gateway.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

// fetchDelayFor returns how long a peer must be ahead before its state is fetched. A VM that
// doesn't follow the feeds itself fetches at the next digest.
func (n *Node) fetchDelayFor(p gossip.Member) time.Duration {
	switch {
	case p.FailureDomain != n.opts.VM.FailureDomain:
		return remoteFetchDelay
	case n.Following():
		return fetchDelay
	default:
		return 0
	}
}

// fetchCatalog fetches a peer's configuration and puts it in force.
func (n *Node) fetchCatalog(p gossip.Member) {
	n.fetch(p, &n.catalogFetches, url.Values{
		partsParameter: {partCatalog},
		"catalog":      {strconv.FormatUint(uint64(n.catalogVersion()), 10)},
		"servers":      {n.directory.Known().String()},
	})
}

// fetchServers fetches and applies the servers that a peer knows.
func (n *Node) fetchServers(p gossip.Member) {
	n.fetch(p, &n.serverFetches, url.Values{
		partsParameter: {partServers},
		"catalog":      {strconv.FormatUint(newestCatalog, 10)},
		"servers":      {n.directory.Known().String()},
	})
}

// fetch fetches and applies a part of a peer's state.
func (n *Node) fetch(p gossip.Member, f *fetches, query url.Values) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		f.end(p.ID)
	}()
	began, known := n.now(), n.directory.Known()
	slow := time.AfterFunc(fetchTimeout, n.readStoreItself)
	var s peerState
	size, err := fetchFromPeer(context.Background(), p, statePath+"?"+query.Encode(), &s)
	inTime := slow.Stop()
	if errors.Is(err, errSourceBusy) {
		return // The next digest of a VM that has the configuration leads to another fetch.
	}
	if err != nil {
		n.readStoreItself()
		n.log.Info("state_fetch_failed", zap.String("peer", string(p.ID)), zap.String("part", query.Get(partsParameter)),
			zap.Duration("took", n.now().Sub(began)), zap.Int64("bytes", size), logging.Error(err))
		return
	}
	if inTime {
		n.fetchFailedAt.Store(nil)
	}
	n.applyState(p, s, known, began, size)
}

// readStoreItself makes this VM read the store for fetchFailureHold.
func (n *Node) readStoreItself() {
	at := n.now()
	n.fetchFailedAt.Store(&at)
}

func (n *Node) applyState(p gossip.Member, s peerState, known platform.Revision, began time.Time, size int64) {
	fields := []zap.Field{zap.String("peer", string(p.ID)), zap.Int64("bytes", size), zap.Duration("took", n.now().Sub(began))}
	if u := s.Servers; u != nil {
		fields = append(fields, zap.Stringer("after", known), zap.Stringer("up_to", u.UpTo), zap.Bool("whole", u.Whole), zap.Int("servers", len(u.Entries)))
	}
	if s.Catalog != nil {
		fields = append(fields, zap.Uint64("catalog", uint64(s.Catalog.Version)))
	}
	n.log.Info("state_fetched", fields...)
	if s.Catalog != nil {
		n.publish(*s.Catalog, string(p.ID))
	}
	if s.Servers != nil {
		n.removeOdd(s.Servers)
		n.applyServers(*s.Servers, string(p.ID))
	}
}

// removeOdd marks the entries that name no server as gone. Earlier builds pass them on.
func (n *Node) removeOdd(u *fleet.Update) {
	for i := range u.Entries {
		e := &u.Entries[i]
		if e.Gone {
			continue
		}
		if err := e.Check(); err != nil {
			n.log.Warn("server_entry_malformed", zap.String("server", string(e.ID)), zap.Stringer("revision", e.Revision), logging.Error(err))
			e.Gone = true
		}
	}
}

// peerClient opens a new connection for each fetch, as an idle one may have failed silently. It
// accepts compressed responses.
var peerClient = &http.Client{Transport: serverconn.NewTransport(&http.Transport{DisableKeepAlives: true})}

// fetchFromPeer decodes the JSON that another VM serves at a path, and returns its size before
// compression.
func fetchFromPeer(ctx context.Context, p gossip.Member, path string, out any) (int64, error) {
	call := stall.Start(ctx, fetchTimeout, fetchTimeout)
	defer call.End()
	r, err := http.NewRequestWithContext(call.Context, http.MethodGet, "http://"+p.Peer+path, http.NoBody)
	if err != nil {
		return 0, errors.Wrapf(err, "fetch %s", path)
	}
	resp, err := peerClient.Do(r)
	if err != nil {
		return 0, errors.Wrapf(err, "fetch %s", path)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return 0, errors.Wrapf(errSourceBusy, "fetch %s", path)
	default:
		return 0, errors.Errorf("fetch %s: status %d", path, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(call.Body(resp.Body), maxStateBytes)).Decode(out)
	return call.Size(), errors.Wrapf(err, "decode %s", path)
}
