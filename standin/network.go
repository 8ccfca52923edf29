package standin

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// PipeListener is an in-memory listener. Servers that use it and clients that use
// its DialContext run in virtual time inside a testing/synctest bubble.
type PipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept returns the next connection, or net.ErrClosed.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes later dials fail. Open connections stay open.
func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns a loopback address with port 80 that nothing listens on.
func (l *PipeListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 80}
}

// DialContext connects to the listener whatever the address. Its signature is that
// of http.Transport.DialContext.
func (l *PipeListener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// FaultListener wraps a listener and injects network faults into its connections.
type FaultListener struct {
	net.Listener

	mu        sync.Mutex
	open      map[*faultConn]struct{}
	refuseNew bool
	// silenced keeps inner connections that were silent when they were closed on
	// this side. Without a reference, the garbage collector would close them and
	// the peer would notice.
	silenced []net.Conn
}

// NewFaultListener wraps a listener.
func NewFaultListener(inner net.Listener) *FaultListener {
	return &FaultListener{Listener: inner, open: make(map[*faultConn]struct{})}
}

// Accept returns the next connection that is not refused, and closes refused ones.
func (l *FaultListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.add(inner); ok {
			return c, nil
		}
		_ = inner.Close()
	}
}

func (l *FaultListener) add(inner net.Conn) (*faultConn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuseNew {
		return nil, false
	}
	c := &faultConn{
		Conn:            inner,
		listener:        l,
		silent:          make(chan struct{}),
		closed:          make(chan struct{}),
		deadlineChanged: make(chan struct{}),
	}
	l.open[c] = struct{}{}
	return c, true
}

// Silence turns the open connections into black holes permanently: data arrives
// no longer in either direction, and neither side sees an error. New connections
// are not affected.
func (l *FaultListener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silenceOnce.Do(func() { close(c.silent) })
	}
}

// Refuse sets whether new connections are closed as soon as they are accepted.
func (l *FaultListener) Refuse(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseNew = on
}

// Close closes the listener and the silenced connections.
func (l *FaultListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.silenced {
		_ = c.Close()
	}
	l.silenced = nil
	for c := range l.open {
		if c.isSilent() {
			_ = c.Conn.Close()
		}
	}
	return l.Listener.Close()
}

// remove unregisters a connection closed on this side. It reports whether the
// inner connection is silent and therefore stays open.
func (l *FaultListener) remove(c *faultConn) (kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.open[c]
	delete(l.open, c)
	if known && c.isSilent() {
		l.silenced = append(l.silenced, c.Conn)
	}
	return c.isSilent()
}

// faultConn is one connection accepted by a FaultListener.
type faultConn struct {
	net.Conn
	listener    *FaultListener
	silenceOnce sync.Once
	silent      chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}

	mu       sync.Mutex
	deadline time.Time
	// deadlineChanged is closed and replaced when the read deadline changes.
	deadlineChanged chan struct{}
}

func (c *faultConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read returns no data that arrives after Silence. A read in progress at that time
// stays in the inner connection until data arrives or its deadline passes.
func (c *faultConn) Read(p []byte) (int, error) {
	if !c.isSilent() {
		n, err := c.Conn.Read(p)
		if !c.isSilent() || os.IsTimeout(err) {
			return n, err
		}
	}
	return 0, c.waitForDeadline()
}

// Write discards data after Silence and reports success.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// waitForDeadline blocks until the read deadline passes or the connection is closed.
func (c *faultConn) waitForDeadline() error {
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.deadlineChanged
		c.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

// SetDeadline sets the read and write deadlines.
func (c *faultConn) SetDeadline(t time.Time) error {
	c.updateReadDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the read deadline.
func (c *faultConn) SetReadDeadline(t time.Time) error {
	c.updateReadDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *faultConn) updateReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
}

// Close closes a silent connection on this side only, so that the peer does not
// see the end before the listener is closed.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if c.listener.remove(c) {
		return nil
	}
	return c.Conn.Close()
}
