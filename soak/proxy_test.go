package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faultProxy is a TCP proxy that injects network faults on command.
type faultProxy struct {
	listener net.Listener
	target   string
	// delay, in nanoseconds, is added to each forwarded chunk; refuse closes new
	// connections.
	delay  atomic.Int64
	refuse atomic.Bool
	mu     sync.Mutex
	open   map[*proxiedConn]struct{}
}

// proxiedConn is one connection through the proxy: downstream to the client,
// upstream to the target. A direction that is set to drop discards all bytes.
type proxiedConn struct {
	downstream, upstream             net.Conn
	dropToUpstream, dropToDownstream atomic.Bool
}

func newFaultProxy(target string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &faultProxy{listener: listener, target: target, open: make(map[*proxiedConn]struct{})}
	go p.serve()
	return p, nil
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) serve() {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			downstream.Close()
			continue
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			downstream.Close()
			continue
		}
		c := &proxiedConn{downstream: downstream, upstream: upstream}
		p.mu.Lock()
		p.open[c] = struct{}{}
		p.mu.Unlock()
		go p.forward(c, upstream, downstream, &c.dropToUpstream)
		go p.forward(c, downstream, upstream, &c.dropToDownstream)
	}
}

// forward copies bytes in one direction until an error. An end of input closes both
// sides unless the direction drops bytes; any other error resets both.
func (p *faultProxy) forward(c *proxiedConn, to, from net.Conn, dropping *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && !dropping.Load() {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && !dropping.Load() {
			// Close both sides in the normal way.
			c.downstream.Close()
			c.upstream.Close()
		}
		if err != io.EOF {
			closeWithReset(c.downstream)
			closeWithReset(c.upstream)
		}
		p.mu.Lock()
		delete(p.open, c)
		p.mu.Unlock()
		return
	}
}

// closeWithReset closes a TCP connection with a reset instead of a FIN.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// forEachConn applies a fault to every open connection.
func (p *faultProxy) forEachConn(apply func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		apply(c)
	}
}

// clearFaults removes the delay and the refusal, and resets connections in which a
// direction drops bytes.
func (p *faultProxy) clearFaults() {
	p.delay.Store(0)
	p.refuse.Store(false)
	p.forEachConn(func(c *proxiedConn) {
		if c.dropToUpstream.Load() || c.dropToDownstream.Load() {
			closeWithReset(c.downstream)
			closeWithReset(c.upstream)
		}
	})
}
