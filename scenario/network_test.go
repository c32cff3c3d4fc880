package scenario

import (
	"io"
	"net"
	"sync"
)

// pair is an undirected link between two ends, such as "vm-1" and "platform".
type pair struct{ a, b string }

func link(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// network is a set of TCP proxies between the processes, whose links can be cut.
// Connections over a cut link stay open but transfer no bytes, as in a network
// that drops packets.
type network struct {
	mu   sync.Mutex
	cond *sync.Cond
	cuts map[pair]bool
	done bool
	ls   []net.Listener
}

func newNetwork() *network {
	n := &network{cuts: map[pair]bool{}}
	n.cond = sync.NewCond(&n.mu)
	return n
}

func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link(a, b)] = cut
	n.cond.Broadcast()
}

// pass blocks while the link is cut. It returns false once the network is closed.
func (n *network) pass(l pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cuts[l] && !n.done {
		n.cond.Wait()
	}
	return !n.done
}

func (n *network) close() {
	n.mu.Lock()
	n.done = true
	n.cond.Broadcast()
	ls := n.ls
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
}

// forward listens on addr, forwards connections to target and returns the listening
// address. source maps the remote address of a connection to the name of its end.
func (n *network) forward(addr, target, targetName string, source func(net.Addr) string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.ls = append(n.ls, l)
	n.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.carry(c, target, link(source(c.RemoteAddr()), targetName))
		}
	}()
	return l.Addr().String(), nil
}

func (n *network) carry(c net.Conn, target string, l pair) {
	defer c.Close()
	if !n.pass(l) {
		return
	}
	d, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer d.Close()
	done := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{c, d}, {d, c}} {
		go func() {
			n.copy(ends[0], ends[1], l)
			done <- struct{}{}
		}()
	}
	<-done
}

func (n *network) copy(dst, src net.Conn, l pair) {
	buf := make([]byte, 32<<10)
	for {
		k, err := src.Read(buf)
		if !n.pass(l) {
			return
		}
		if k > 0 {
			if _, err := dst.Write(buf[:k]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
