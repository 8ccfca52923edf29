package acktimeout

import (
	"context"
	"net"
	"syscall"
	"time"
)

// conn is a connection with a Guard. The embedded field is an interface, so that no method of
// the connection below writes past the Guard.
type conn struct {
	net.Conn
	guard *Guard
}

// Wrap returns a connection that ends when its peer has been silent for the timeout while
// data waits to be acknowledged. A connection other than TCP is returned as it is.
func Wrap(c net.Conn, timeout time.Duration) (net.Conn, error) {
	socket, ok := c.(syscall.Conn)
	if _, isTCP := c.LocalAddr().(*net.TCPAddr); !ok || !isTCP {
		return c, nil
	}
	guard, err := New(socket, timeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, guard: guard}, nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.guard.BeforeWrite()
	return c.Conn.Write(p)
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// DialFunc is the type of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a DialFunc whose connections are wrapped.
func Dialer(dial DialFunc, timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrapOrClose(c, timeout)
	}
}

// Listener returns a listener whose connections are wrapped.
func Listener(l net.Listener, timeout time.Duration) net.Listener {
	return &listener{Listener: l, timeout: timeout}
}

type listener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener. A connection that ends before its options are set is
// dropped: an error would end the server.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded, err := wrapOrClose(c, l.timeout); err == nil {
			return guarded, nil
		}
	}
}

func wrapOrClose(c net.Conn, timeout time.Duration) (net.Conn, error) {
	guarded, err := Wrap(c, timeout)
	if err != nil {
		c.Close()
		return nil, err
	}
	return guarded, nil
}
