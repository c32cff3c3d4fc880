// Package warm fills the prefix cache index of a starting router from its peers.
package warm

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/prefix"
)

const (
	// maxBlocks bounds an export to less than a megabyte on the wire.
	maxBlocks = 20_000
	// maxPeers is the largest number of peers that are asked.
	maxPeers = 3
	// callTimeout bounds a call to one peer.
	callTimeout = 2 * time.Second
	// maxJitter bounds the random delay that spreads the calls of routers which start together.
	maxJitter = 200 * time.Millisecond
)

// Server exports the index to starting peers. One export runs at a time, so that many
// peers that start together cannot overload a router.
type Server struct {
	peer.UnimplementedPrefixServer
	Index     *prefix.Index
	exporting sync.Mutex
}

// Export implements peer.PrefixServer.
func (s *Server) Export(_ context.Context, r *peer.PrefixExportRequest) (*peer.PrefixExportReply, error) {
	if !s.exporting.TryLock() {
		return nil, status.Error(codes.ResourceExhausted, "another export runs")
	}
	defer s.exporting.Unlock()
	limit := min(int(r.GetLimit()), maxBlocks)
	return encode(s.Index.Export(limit, time.Now())), nil
}

// Dial returns a connection to a peer.
type Dial func() (*grpc.ClientConn, error)

// Fetch imports the index of one of the peers, tried in random order, and returns the
// number of blocks that it received.
func Fetch(ctx context.Context, index *prefix.Index, peers []Dial) (int, error) {
	err := errors.New("no peers")
	for try, i := range rand.Perm(len(peers)) {
		if try == maxPeers {
			break
		}
		if !clock.Sleep(ctx, rand.N(maxJitter)) {
			return 0, ctx.Err()
		}
		var reply *peer.PrefixExportReply
		if reply, err = export(ctx, peers[i]); err == nil {
			index.Import(decode(reply), time.Now())
			return len(reply.GetBlocks()), nil
		}
	}
	return 0, errors.Wrap(err, "fetch cached prefixes")
}

func export(ctx context.Context, dial Dial) (*peer.PrefixExportReply, error) {
	conn, err := dial()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peer.NewPrefixClient(conn).Export(ctx, &peer.PrefixExportRequest{Limit: maxBlocks})
}

func encode(e prefix.Export) *peer.PrefixExportReply {
	reply := &peer.PrefixExportReply{}
	for _, r := range e.Runs {
		reply.Runs = append(reply.Runs, &peer.EngineRun{Engine: string(r.Engine), Incarnation: string(r.Incarnation)})
	}
	for i := range e.Blocks {
		b := &e.Blocks[i]
		m := &peer.CachedBlock{Hash: uint64(b.Hash), Check: b.Check, Computed: b.Computed}
		for _, h := range b.Holders {
			m.Holders = append(m.Holders, uint32(h.Run))
			m.AgesMs = append(m.AgesMs, uint32(h.Age.Milliseconds()))
		}
		reply.Blocks = append(reply.Blocks, m)
	}
	return reply
}

func decode(reply *peer.PrefixExportReply) prefix.Export {
	var e prefix.Export
	for _, r := range reply.GetRuns() {
		e.Runs = append(e.Runs, prefix.Run{Engine: backend.ID(r.GetEngine()), Incarnation: backend.Incarnation(r.GetIncarnation())})
	}
	for _, m := range reply.GetBlocks() {
		b := prefix.ExportedBlock{Hash: prefix.Hash(m.GetHash()), Check: m.GetCheck(), Computed: m.GetComputed()}
		for i, run := range m.GetHolders() {
			if i < len(m.GetAgesMs()) {
				age := time.Duration(m.GetAgesMs()[i]) * time.Millisecond
				b.Holders = append(b.Holders, prefix.ExportedHolder{Run: int(run), Age: age})
			}
		}
		e.Blocks = append(e.Blocks, b)
	}
	return e
}
