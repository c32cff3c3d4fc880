package tunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/hop"
)

const (
	// checkedServers is the number of servers that a check of the path tries.
	checkedServers = 2
	// returnInterval is the time between two checks while the path is cut, and returnChecks the
	// number of successful ones after which it counts as restored. Together they are short compared
	// with a partition, and long enough for a path that flaps.
	returnInterval = 400 * time.Millisecond
	returnChecks   = 2
	// returnSpread is the period over which VMs whose paths are restored at the same time use them again.
	returnSpread = 600 * time.Millisecond
	// minCheckInterval is the least time between two checks of a path that isn't cut.
	minCheckInterval = 400 * time.Millisecond
	// checkTimeout bounds the check of one server.
	checkTimeout = 300 * time.Millisecond
	// checkedPeers is the number of VMs through which a check tries a server.
	checkedPeers = 6
	// maxPeers is the number of VMs that a connection is tried through.
	maxPeers = 3
)

// Server is a server and its address.
type Server struct {
	Target
	Address string
}

// Options are the dependencies of a Path.
type Options struct {
	// Dial opens a direct connection.
	Dial DialFunc
	// Peers returns the addresses of VMs that are expected to reach a server. The first ones are of
	// different failure domains, the best ones first.
	Peers func(target Target) []string
	// Servers returns servers that are expected to respond.
	Servers func() []Server
	// Responds reports whether a server responds on connections that are opened by dial.
	Responds func(ctx context.Context, s Server, dial DialFunc) bool
	// Changed is called after the path was found to be cut, or to be restored.
	Changed func(cut bool)
}

// Path decides whether connections to servers are opened directly or through other VMs.
type Path struct {
	opts Options
	cut  atomic.Bool
	// due requests a check of the path.
	due chan struct{}
}

// NewPath returns a path that isn't cut.
func NewPath(opts Options) *Path { return &Path{opts: opts, due: make(chan struct{}, 1)} }

// Cut reports whether this VM reaches no server directly, although other VMs do.
func (p *Path) Cut() bool { return p.cut.Load() }

// Suspect requests a check of the path: several servers are silent to this VM.
func (p *Path) Suspect() {
	select {
	case p.due <- struct{}{}:
	default:
	}
}

// Dial opens a connection to a server: a direct one or, while the path is cut, one through
// another VM.
func (p *Path) Dial(ctx context.Context, s Server) (net.Conn, error) {
	if !p.Cut() {
		return p.opts.Dial(ctx, s.Address)
	}
	conn, err := p.tunnel(ctx, s.Target, false)
	if errors.Is(err, errNoPeer) {
		return p.opts.Dial(ctx, s.Address)
	}
	return conn, err
}

// ReachableByPeers reports whether a server accepts connections from another VM. A server that one of
// them may send no requests counts as such: it has responded.
func (p *Path) ReachableByPeers(ctx context.Context, target Target) bool {
	conn, err := p.tunnel(ctx, target, true)
	if withheld := (*hop.WithheldError)(nil); errors.As(err, &withheld) {
		return true
	}
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

var errNoPeer = errors.New("no other VM reaches the servers")

// tunnel opens a connection through another VM. If that VM doesn't reach the server, others are
// tried only if insist is set: the server is down, unless that VM's path is cut too. The error is a
// *hop.WithheldError if one of them may send the server no requests and none has opened a connection.
func (p *Path) tunnel(ctx context.Context, target Target, insist bool) (net.Conn, error) {
	err := errors.WithStack(errNoPeer)
	var withheld, refusal *hop.WithheldError
	for i, peer := range p.opts.Peers(target) {
		if i == maxPeers {
			break
		}
		var conn net.Conn
		if conn, err = Open(ctx, p.opts.Dial, peer, target); err == nil {
			return conn, nil
		}
		if errors.Is(err, ErrNoServer) && !insist {
			return nil, err
		}
		if errors.As(err, &refusal) && (withheld == nil || refusal.Left < withheld.Left) {
			withheld = refusal
		}
	}
	if withheld != nil {
		return nil, withheld
	}
	return nil, err
}

// Run checks the path when it is suspected to be cut, and while it is, until ctx ends.
func (p *Path) Run(ctx context.Context) {
	successes := 0
	for ctx.Err() == nil {
		if !p.Cut() {
			successes = 0
			select {
			case <-ctx.Done():
				return
			case <-p.due:
			}
			if p.isCut(ctx) {
				p.set(true)
				continue
			}
			clock.Sleep(ctx, minCheckInterval)
			continue
		}
		clock.Sleep(ctx, returnInterval)
		if !p.reached(ctx, p.someServers()) {
			successes = 0
		} else if successes++; successes >= returnChecks {
			clock.Sleep(ctx, rand.N(returnSpread))
			p.set(false)
		}
	}
}

func (p *Path) set(cut bool) {
	p.cut.Store(cut)
	p.opts.Changed(cut)
}

// isCut reports whether servers that don't respond to this VM respond through another one.
func (p *Path) isCut(ctx context.Context) bool {
	servers := p.someServers()
	if p.reached(ctx, servers) || !p.reachedByPeers(ctx, servers) {
		return false
	}
	// The servers may have been silent to all VMs, and have gone on before they were tried through others.
	return !p.reached(ctx, servers)
}

// reachedByPeers reports whether one of the servers responds through another VM. It tries several VMs at
// once: the paths of those in the same failure domain may be cut too.
func (p *Path) reachedByPeers(ctx context.Context, servers []Server) bool {
	var responses []<-chan bool
	for _, s := range servers {
		peers := p.opts.Peers(s.Target)
		for _, peer := range peers[:min(len(peers), checkedPeers)] {
			responses = append(responses, p.respondsThrough(ctx, s, peer))
		}
	}
	for _, response := range responses {
		if <-response {
			return true
		}
	}
	return false
}

// respondsThrough sends whether a server responds through another VM. One that wants no requests of that
// VM has responded to it.
func (p *Path) respondsThrough(ctx context.Context, s Server, peer string) <-chan bool {
	var withheld atomic.Bool // The attempt to connect may outlast the check.
	through := func(ctx context.Context, _ string) (net.Conn, error) {
		conn, err := Open(ctx, p.opts.Dial, peer, s.Target)
		if refusal := (*hop.WithheldError)(nil); errors.As(err, &refusal) && refusal.Left > 0 {
			withheld.Store(true)
		}
		return conn, err
	}
	response := make(chan bool, 1)
	go func() { response <- p.responds(ctx, s, through) || withheld.Load() }()
	return response
}

// someServers returns the servers of a check.
func (p *Path) someServers() []Server {
	servers := p.opts.Servers()
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:min(len(servers), checkedServers)]
}

// reached tries servers at once and reports whether one of them responds to this VM.
func (p *Path) reached(ctx context.Context, servers []Server) bool {
	responses := make(chan bool, len(servers))
	for _, s := range servers {
		go func() { responses <- p.responds(ctx, s, p.opts.Dial) }()
	}
	for range servers {
		if <-responses {
			return true
		}
	}
	return false
}

func (p *Path) responds(ctx context.Context, s Server, dial DialFunc) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return p.opts.Responds(ctx, s, dial)
}
