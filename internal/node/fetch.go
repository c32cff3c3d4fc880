package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/gossip"
	"papayaspan.dev/papayaspan/internal/httpbounds"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/platform"
)

const (
	// fetchDelay is how long a peer must be ahead before its state is fetched: the store's feed
	// delivers most changes within that time.
	fetchDelay = 300 * time.Millisecond
	// remoteFetchDelay is the same for a peer in another failure domain: a peer in the same
	// domain most likely has the state by then.
	remoteFetchDelay = 800 * time.Millisecond
	// fetchTimeout bounds the fetch of a peer's state.
	fetchTimeout = 700 * time.Millisecond
	// fetchFailureHold is how long a VM reads the store itself after a failed fetch. A failure
	// delays a change by up to fetchTimeout, a third of the time allowed to apply a drain or a removal,
	// so that failures must not follow one another.
	fetchFailureHold = 30 * time.Second
	// maxStateBytes bounds a peer's state.
	maxStateBytes = 8 << 20
	statePath     = "/state"
)

// peerState is the state that one VM fetches from another.
type peerState struct {
	Catalog *catalog.Snapshot `json:"catalog,omitempty"`
	Servers fleet.Update      `json:"servers"`
}

func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	known, err1 := strconv.ParseUint(r.URL.Query().Get("catalog"), 10, 64)
	var revision platform.Revision
	err2 := revision.UnmarshalText([]byte(r.URL.Query().Get("servers")))
	if err1 != nil || err2 != nil {
		http.Error(w, "the parameter catalog must be a number, and servers a revision", http.StatusBadRequest)
		return
	}
	s := peerState{Servers: n.directory.Export(revision, n.now())}
	if c := n.Gateway.Catalog(); c != nil && uint64(c.Version) > known {
		s.Catalog = &c.Snapshot
	}
	w.Header().Set("Content-Type", "application/json")
	out, began := &countingWriter{w: w}, n.now()
	err := json.NewEncoder(out).Encode(s)
	if err != nil {
		n.log.Info("state_write_failed", logging.Error(err))
	}
	if s.Catalog != nil {
		n.log.Info("catalog_served", zap.String("peer", r.RemoteAddr), zap.Uint64("version", uint64(s.Catalog.Version)),
			zap.Int64("bytes", out.n), zap.Duration("took", n.now().Sub(began)), zap.Bool("complete", err == nil))
	}
}

// countingWriter counts the bytes written.
type countingWriter struct {
	w io.Writer
	n int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}

// countingReader counts the bytes read.
type countingReader struct {
	r io.Reader
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

// shouldFetch reports whether a peer has been ahead for long enough that its state should be
// fetched now, and if so marks a fetch as in progress.
func (n *Node) shouldFetch(p gossip.Member, catalogKnown catalog.Version, serversKnown platform.Revision) bool {
	var version catalog.Version
	if c := n.Gateway.Catalog(); c != nil {
		version = c.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if catalogKnown <= version && !serversKnown.After(n.directory.Known()) {
		delete(n.peerAheadSince, p.ID)
		return false
	}
	since, known := n.peerAheadSince[p.ID]
	if !known {
		since = n.now()
		n.peerAheadSince[p.ID] = since
	}
	newEra := serversKnown.Era > n.directory.Known().Era && p.FailureDomain == n.opts.VM.FailureDomain
	if n.now().Sub(since) < n.fetchDelayFor(p) && !newEra || n.fetching {
		return false
	}
	n.fetching = true
	return true
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

// fetch fetches and applies a peer's state.
func (n *Node) fetch(p gossip.Member) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.fetching = false
		delete(n.peerAheadSince, p.ID)
	}()
	began, known := n.now(), n.directory.Known()
	s, size, err := n.fetchState(p)
	if err != nil {
		at := n.now()
		n.fetchFailedAt.Store(&at)
		n.log.Info("state_fetch_failed", zap.String("peer", string(p.ID)), zap.Duration("took", at.Sub(began)),
			zap.Int64("bytes", size), logging.Error(err))
		return
	}
	n.fetchFailedAt.Store(nil)
	n.log.Info("state_fetched", zap.String("peer", string(p.ID)), zap.Stringer("after", known),
		zap.Stringer("up_to", s.Servers.UpTo), zap.Bool("whole", s.Servers.Whole), zap.Int("servers", len(s.Servers.Entries)),
		zap.Bool("catalog", s.Catalog != nil), zap.Int64("bytes", size), zap.Duration("took", n.now().Sub(began)))
	if s.Catalog != nil {
		n.publish(*s.Catalog, string(p.ID))
	}
	n.applyServers(s.Servers, string(p.ID))
}

// peerClient opens a new connection for each fetch: an idle one may have failed silently, and
// the timeout that detects this is a third of the time allowed to apply a drain or a removal.
var peerClient = &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: httpbounds.MaxHeadBytes}}

// fetchState fetches a peer's state, and returns how many bytes of it arrived.
func (n *Node) fetchState(p gossip.Member) (peerState, int64, error) {
	var version catalog.Version
	if c := n.Gateway.Catalog(); c != nil {
		version = c.Version
	}
	q := url.Values{
		"catalog": {strconv.FormatUint(uint64(version), 10)},
		"servers": {n.directory.Known().String()},
	}
	var s peerState
	size, err := fetchFromPeer(context.Background(), p, statePath+"?"+q.Encode(), &s)
	return s, size, err
}

// fetchFromPeer decodes the JSON that another VM serves at a path, and returns its size.
func fetchFromPeer(ctx context.Context, p gossip.Member, path string, out any) (int64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Peer+path, http.NoBody)
	if err != nil {
		return 0, errors.Wrapf(err, "fetch %s", path)
	}
	resp, err := peerClient.Do(r)
	if err != nil {
		return 0, errors.Wrapf(err, "fetch %s", path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("fetch %s: status %d", path, resp.StatusCode)
	}
	body := &countingReader{r: resp.Body}
	err = json.NewDecoder(io.LimitReader(body, maxStateBytes)).Decode(out)
	return body.n, errors.Wrapf(err, "decode %s", path)
}
