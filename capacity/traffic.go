package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Traffic counts the connections of a client and the bytes that they carried,
// HTTP headers included and TCP and IP headers excluded.
type Traffic struct {
	Connections int64 `json:"connections"`
	Read        int64 `json:"read"`
	Written     int64 `json:"written"`
	// Calls counts HTTP requests. It stays zero for a transport that is only
	// passed to CountConnections.
	Calls int64 `json:"calls"`
}

// Bytes returns the bytes of both directions.
func (t Traffic) Bytes() int64 { return t.Read + t.Written }

// Minus returns the traffic since an earlier reading.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{
		Connections: t.Connections - earlier.Connections,
		Read:        t.Read - earlier.Read,
		Written:     t.Written - earlier.Written,
		Calls:       t.Calls - earlier.Calls,
	}
}

// TrafficCounter counts the traffic of the clients that use it.
type TrafficCounter struct {
	connections, read, written, calls atomic.Int64
}

// Traffic returns the traffic counted so far.
func (c *TrafficCounter) Traffic() Traffic {
	return Traffic{
		Connections: c.connections.Load(),
		Read:        c.read.Load(),
		Written:     c.written.Load(),
		Calls:       c.calls.Load(),
	}
}

// CountConnections changes t so that the connections it opens are counted, and
// returns it.
func (c *TrafficCounter) CountConnections(t *http.Transport) *http.Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.connections.Add(1)
		return &countedConn{Conn: conn, counter: c}, nil
	}
	return t
}

// Client returns a new client whose calls and bytes are counted and which keeps
// up to the given number of idle connections per host.
func (c *TrafficCounter) Client(idle int) *http.Client {
	transport := c.CountConnections(&http.Transport{MaxIdleConnsPerHost: idle})
	return &http.Client{Transport: &countedCalls{next: transport, counter: c}}
}

type countedCalls struct {
	next    http.RoundTripper
	counter *TrafficCounter
}

// RoundTrip counts the call and passes it on.
func (c *countedCalls) RoundTrip(r *http.Request) (*http.Response, error) {
	c.counter.calls.Add(1)
	return c.next.RoundTrip(r)
}

type countedConn struct {
	net.Conn
	counter *TrafficCounter
}

// Read counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.read.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.written.Add(int64(n))
	return n, err
}
