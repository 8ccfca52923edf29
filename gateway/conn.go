package gateway

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pistachiowind/pistachiowind/connend"
)

// callerConn is a caller's connection that records whether this process closed it and
// reports when the header of a request begins to arrive.
type callerConn struct {
	net.Conn
	closed atomic.Bool
	// awaitsHeader states that the next byte begins a request header.
	awaitsHeader  atomic.Bool
	onHeaderStart func(net.Conn)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.awaitsHeader.Swap(false) {
		c.onHeaderStart(c)
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// NetConn returns the wrapped connection, for package connend.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// callerListener accepts callerConns.
type callerListener struct {
	net.Listener
	onHeaderStart func(net.Conn)
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, onHeaderStart: l.onHeaderStart}, nil
}

type connKey struct{}

// withConn adds a connection to the context of its requests, for connClosed and package
// connend.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return connend.WithConn(context.WithValue(ctx, connKey{}, c), c)
}

// connClosed reports whether this process closed the connection of a request before
// its handler began. net/http counts a connection as idle until it has read the
// whole header of a request, so closing idle connections, during a drain or after
// the idle timeout, can close one whose request was just read. Such a request must
// not be forwarded, since its response cannot be delivered.
func connClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && c.closed.Load()
}
