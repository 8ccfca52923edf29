package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

const (
	// defaultHeaderTimeout applies while no configuration states a limit. A head
	// is one packet for most callers.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout applies while no configuration states a limit.
	defaultIdleTimeout = time.Minute
)

// connLimits closes callers' connections that stay idle or take too long to send
// the head of a request. http.Server has fixed limits, whereas operators change
// theirs while the gateway runs.
type connLimits struct {
	limits func() routing.Limits
	mu     sync.Mutex
	timers map[net.Conn]*connTimer
}

// connTimer is compared by address: a timer that fires while it is being replaced
// must not close the connection.
type connTimer struct{ *time.Timer }

func newConnLimits(limits func() routing.Limits) *connLimits {
	return &connLimits{limits: limits, timers: make(map[net.Conn]*connTimer)}
}

func orDefault(limit, otherwise time.Duration) time.Duration {
	if limit > 0 {
		return limit
	}
	return otherwise
}

// changed implements http.Server.ConnState. A connection is new or idle until the
// whole head of a request was read.
func (l *connLimits) changed(c net.Conn, state http.ConnState) {
	waits := state == http.StateNew || state == http.StateIdle
	if conn, ok := c.(*callerConn); ok {
		conn.waits.Store(waits)
	}
	if waits {
		l.limit(c, orDefault(l.limits().IdleTimeout, defaultIdleTimeout))
		return
	}
	l.release(c)
}

// headBegins implements the callback of callerConn.
func (l *connLimits) headBegins(c net.Conn) {
	l.limit(c, orDefault(l.limits().HeaderTimeout, defaultHeaderTimeout))
}

// limit closes the connection after a time unless it is limited anew or released.
func (l *connLimits) limit(c net.Conn, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop(c)
	timer := &connTimer{}
	timer.Timer = time.AfterFunc(after, func() { l.close(c, timer) })
	l.timers[c] = timer
}

func (l *connLimits) release(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop(c)
}

func (l *connLimits) stop(c net.Conn) {
	if timer := l.timers[c]; timer != nil {
		timer.Stop()
		delete(l.timers, c)
	}
}

// close ends a connection if the timer is still the one that counts.
func (l *connLimits) close(c net.Conn, timer *connTimer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timers[c] != timer {
		return
	}
	delete(l.timers, c)
	// The caller may have closed it already, which is what is wanted.
	_ = c.Close()
}
