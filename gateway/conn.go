package gateway

import (
	"context"
	"net"
	"sync/atomic"
)

// callerConn is a caller's connection that remembers that it was closed here and
// tells when the head of a request begins.
type callerConn struct {
	net.Conn
	closed atomic.Bool
	// waits states that the next byte begins a head.
	waits      atomic.Bool
	headBegins func(net.Conn)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.waits.Swap(false) {
		c.headBegins(c)
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// callerListener accepts callerConns.
type callerListener struct {
	net.Listener
	headBegins func(net.Conn)
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, headBegins: l.headBegins}, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connClosed reports whether the connection of a request was closed here before
// its handler began. net/http counts a connection as idle until it has read the
// whole head of a request, so a close of idle connections, at a drain or after
// the idle time, can meet a request that was just read. Such a request must not
// be passed on, since its answer cannot be.
func connClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && c.closed.Load()
}
