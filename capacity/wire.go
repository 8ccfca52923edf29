package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Traffic counts what a client's connections carried, HTTP headers included
// and TCP and IP headers excluded.
type Traffic struct {
	Connections int64 `json:"connections"`
	Read        int64 `json:"read"`
	Written     int64 `json:"written"`
	// Calls counts HTTP exchanges; it stays zero for a bare transport.
	Calls int64 `json:"calls"`
}

// Bytes is the sum of both directions.
func (t Traffic) Bytes() int64 { return t.Read + t.Written }

// Minus returns the traffic since an earlier count.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{
		Connections: t.Connections - earlier.Connections,
		Read:        t.Read - earlier.Read,
		Written:     t.Written - earlier.Written,
		Calls:       t.Calls - earlier.Calls,
	}
}

// Wire counts the traffic of the clients that use it.
type Wire struct {
	connections, read, written, calls atomic.Int64
}

// Traffic returns the counts so far.
func (w *Wire) Traffic() Traffic {
	return Traffic{
		Connections: w.connections.Load(),
		Read:        w.read.Load(),
		Written:     w.written.Load(),
		Calls:       w.calls.Load(),
	}
}

// Wrap makes a transport's connections count. It returns the transport.
func (w *Wire) Wrap(t *http.Transport) *http.Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		w.connections.Add(1)
		return &countedConn{Conn: conn, wire: w}, nil
	}
	return t
}

// Client returns a client of its own that counts calls and bytes and keeps the
// given number of idle connections per host.
func (w *Wire) Client(idle int) *http.Client {
	transport := w.Wrap(&http.Transport{MaxIdleConnsPerHost: idle})
	return &http.Client{Transport: &countedCalls{next: transport, wire: w}}
}

type countedCalls struct {
	next http.RoundTripper
	wire *Wire
}

// RoundTrip counts the call.
func (c *countedCalls) RoundTrip(r *http.Request) (*http.Response, error) {
	c.wire.calls.Add(1)
	return c.next.RoundTrip(r)
}

type countedConn struct {
	net.Conn
	wire *Wire
}

// Read counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.read.Add(int64(n))
	return n, err
}

// Write counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.written.Add(int64(n))
	return n, err
}
