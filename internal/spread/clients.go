package spread

import (
	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/link"
)

// PoolPeers implements Peers over a pool of connections.
type PoolPeers struct {
	Pool *link.Pool
}

// Control implements Peers.
func (p PoolPeers) Control(addr string) (peer.ControlClient, error) {
	conn, err := p.Pool.Conn(addr)
	if err != nil {
		return nil, err
	}
	return peer.NewControlClient(conn), nil
}
