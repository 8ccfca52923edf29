package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes connections on and harms them on command.
type proxy struct {
	listener net.Listener
	target   string
	// delay is added to each piece in nanoseconds; refuse closes new connections.
	delay  atomic.Int64
	refuse atomic.Bool
	mu     sync.Mutex
	open   map[*link]struct{}
}

// link is one connection through the proxy. A silenced direction swallows bytes.
type link struct {
	near, far    net.Conn
	noUp, noDown atomic.Bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(map[*link]struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			near.Close()
			continue
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			near.Close()
			continue
		}
		l := &link{near: near, far: far}
		p.mu.Lock()
		p.open[l] = struct{}{}
		p.mu.Unlock()
		go p.pump(l, far, near, &l.noUp)
		go p.pump(l, near, far, &l.noDown)
	}
}

func (p *proxy) pump(l *link, to, from net.Conn, silenced *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && !silenced.Load() {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && !silenced.Load() {
			// Both ends close, as after an ordinary end.
			l.near.Close()
			l.far.Close()
		}
		if err != io.EOF {
			reset(l.near)
			reset(l.far)
		}
		p.mu.Lock()
		delete(p.open, l)
		p.mu.Unlock()
		return
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) each(harm func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		harm(l)
	}
}

// heal ends the faults of new connections; silenced ones are reset.
func (p *proxy) heal() {
	p.delay.Store(0)
	p.refuse.Store(false)
	p.each(func(l *link) {
		if l.noUp.Load() || l.noDown.Load() {
			reset(l.near)
			reset(l.far)
		}
	})
}
