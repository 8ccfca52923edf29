// Package connend makes the end of a connection tell whether an HTTP answer is whole, where
// nothing else does: a body with neither a length nor chunks ends with its connection
// (RFC 9112, section 6.3). An orderly close then means that the answer is whole, and a reset
// that it was broken off.
package connend

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// errNoConn is returned for a request whose server has no WithConn as its ConnContext.
var errNoConn = errors.New("the connection of the request is not known")

type connKey struct{}

// WithConn adds a connection to the context of its requests. It is the ConnContext of a
// server whose handler is a Handler.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that breaks an answer off visibly also to callers of HTTP/1.0,
// to whom next's answer may have to be delimited by the end of the connection. Until next
// returns, each end of the connection resets it, including a panic of next, the closing of
// the server and the end of the process. A request is refused if that cannot be ensured.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		if err := resetOnClose(r, true); err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusHTTPVersionNotSupported)
			return
		}
		next.ServeHTTP(w, r)
		if err := resetOnClose(r, false); err != nil {
			// The connection is gone, or an orderly end cannot be had any more.
			panic(http.ErrAbortHandler)
		}
	})
}

// resetOnClose sets whether closing the connection of a request resets it, instead of
// sending what is buffered and then its orderly end.
func resetOnClose(r *http.Request, reset bool) error {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return errNoConn
	}
	tcp, err := tcpConn(c)
	if err != nil {
		return err
	}
	if !reset {
		return tcp.SetLinger(-1)
	}
	return tcp.SetLinger(0)
}

// tcpConn returns the TCP connection below wrappers that have a method NetConn. A TLS
// connection is an error: closing it sends an orderly end of its own before a reset.
func tcpConn(c net.Conn) (*net.TCPConn, error) {
	for {
		switch conn := c.(type) {
		case *net.TCPConn:
			return conn, nil
		case *tls.Conn:
			return nil, errors.New("a TLS connection has an end of its own")
		case interface{ NetConn() net.Conn }:
			c = conn.NetConn()
		default:
			return nil, fmt.Errorf("%T is no TCP connection", c)
		}
	}
}
