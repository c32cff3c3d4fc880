package main

import (
	"net"
	"sync"
)

// proxy is a router's network path to one server. While it is held, no byte passes in either
// direction and no connection is closed, as in a partition.
type proxy struct {
	address, target string

	mu    sync.Mutex
	held  bool
	ended chan struct{} // Closed when the path is restored.
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	p := &proxy{address: l.Addr().String(), target: target, ended: make(chan struct{})}
	close(p.ended)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c.(*net.TCPConn))
		}
	}()
	return p
}

func (p *proxy) hold(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on == p.held {
		return
	}
	p.held = on
	if on {
		p.ended = make(chan struct{})
	} else {
		close(p.ended)
	}
}

func (p *proxy) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

func (p *proxy) pass(client *net.TCPConn) {
	p.wait()
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(server, client) }()
	go func() { defer both.Done(); p.copy(client, server) }()
	both.Wait()
	_ = client.Close()
	_ = server.Close()
}

// copy passes bytes on. An end is passed on as an end, and a reset as a reset.
func (p *proxy) copy(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err.Error() == "EOF" {
				_ = to.CloseWrite()
			} else {
				_ = to.SetLinger(0)
				_ = to.Close()
			}
			return
		}
	}
}

// paths are the network paths of one router to all servers.
type paths struct {
	// direct is set if the router connects to the servers themselves. A proxy accepts connections
	// to a server that is down, and resets them.
	direct bool

	mu      sync.Mutex
	proxies map[string]*proxy
	held    bool
}

func newPaths(direct bool) *paths { return &paths{direct: direct, proxies: map[string]*proxy{}} }

// address returns the address at which the router reaches a server.
func (p *paths) address(server string) string {
	if p.direct {
		return server
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.proxies[server]
	if x == nil {
		x = newProxy(server)
		x.hold(p.held)
		p.proxies[server] = x
	}
	return x.address
}

func (p *paths) hold(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = on
	for _, x := range p.proxies {
		x.hold(on)
	}
}
