package node

import (
	"papayaspan.dev/papayaspan/internal/clientconn"
	"papayaspan.dev/papayaspan/internal/linkmeter"
	"papayaspan.dev/papayaspan/internal/membudget"
)

// peerHeaderBytes bounds the heads of other VMs' requests, which have some hundred bytes.
const peerHeaderBytes = 16 << 10

// NewGuard returns a guard for a listener for clients, which may use the given share of the process's
// descriptors. All guards share one memory budget.
func (n *Node) NewGuard(name string, share float64) *clientconn.Guard {
	return n.newGuard(name, share, linkmeter.Callers, func() clientconn.Limits {
		c := n.Gateway.Catalog()
		if c == nil {
			return clientconn.Limits{}
		}
		return clientconn.Limits{HeaderBytes: c.Limits.HeaderBytes, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout}
	})
}

// newPeerGuard returns the guard for the listener for other VMs.
func (n *Node) newPeerGuard() *clientconn.Guard {
	limits := clientconn.Limits{HeaderBytes: peerHeaderBytes, HeaderTimeout: fetchTimeout, IdleTimeout: peerIdleTimeout}
	return n.newGuard("peers", clientconn.PeerShare, linkmeter.Peers, func() clientconn.Limits { return limits })
}

func (n *Node) newGuard(name string, share float64, kind linkmeter.Kind, limits func() clientconn.Limits) *clientconn.Guard {
	return clientconn.New(clientconn.Options{
		Name:     name,
		Log:      n.log,
		Metrics:  n.metrics,
		Budget:   n.clientMemory,
		MaxConns: clientconn.MaxConns(n.opts.MemoryBytes, n.opts.Descriptors, share),
		Limits:   limits,
		Traffic:  n.traffic, TrafficKind: kind,
	})
}

// newResponseBudget returns the budget for responses that are held whole.
func (n *Node) newResponseBudget() *membudget.Budget {
	b := clientconn.NewResponseBudget(n.opts.MemoryBytes)
	clientconn.Expose(n.metrics, b, membudget.Response)
	return b
}
