package gateway

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

// limitedConn returns the gateway's and the caller's end of a connection.
func limitedConn(l *connLimits) (*callerConn, net.Conn) {
	near, far := net.Pipe()
	return &callerConn{Conn: near, onHeaderStart: l.headerStarted}, far
}

// Guards against configured limits that are not applied, or that stay as they were at
// the start.
func TestConnectionsKeepTheLimitsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := routing.Limits{IdleTimeout: 15 * time.Second, HeaderTimeout: 3 * time.Second}
		l := newConnLimits(func() routing.Limits { return limits })
		closedAfter := func(limit time.Duration, c *callerConn) {
			t.Helper()
			time.Sleep(limit - time.Millisecond)
			synctest.Wait()
			if c.closed.Load() {
				t.Fatalf("closed before %v", limit)
			}
			time.Sleep(2 * time.Millisecond)
			synctest.Wait()
			if !c.closed.Load() {
				t.Fatalf("still open after %v", limit)
			}
		}
		idle, _ := limitedConn(l)
		l.connStateChanged(idle, http.StateIdle)
		closedAfter(15*time.Second, idle)

		slow, caller := limitedConn(l)
		l.connStateChanged(slow, http.StateNew)
		time.Sleep(14 * time.Second)
		go caller.Write([]byte("GET"))
		if _, err := slow.Read(make([]byte, 3)); err != nil {
			t.Fatal(err)
		}
		closedAfter(3*time.Second, slow)

		limits.IdleTimeout = time.Second
		later, _ := limitedConn(l)
		l.connStateChanged(later, http.StateIdle)
		closedAfter(time.Second, later)
	})
}

// Guards against a request in progress that is cut off by the header timeout.
func TestConnectionWithARequestInProgressIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newConnLimits(func() routing.Limits { return routing.Limits{} })
		c, caller := limitedConn(l)
		l.connStateChanged(c, http.StateNew)
		go caller.Write([]byte("POST / HTTP/1.1\r\n\r\n"))
		if _, err := c.Read(make([]byte, 64)); err != nil {
			t.Fatal(err)
		}
		l.connStateChanged(c, http.StateActive)
		// The body is read while the request is in progress.
		go caller.Write([]byte("body"))
		if _, err := c.Read(make([]byte, 64)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		synctest.Wait()
		if c.closed.Load() {
			t.Fatal("closed during a request")
		}
	})
}
