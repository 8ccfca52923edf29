package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

const (
	// defaultHeaderTimeout applies while no configuration sets a limit. The header of
	// most callers' requests is one packet.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout applies while no configuration sets a limit.
	defaultIdleTimeout = time.Minute
)

// connLimits closes callers' connections that stay idle or take too long to send the
// header of a request. The timeouts of http.Server are fixed, whereas operators can
// change these limits while the gateway runs.
type connLimits struct {
	limits func() routing.Limits
	mu     sync.Mutex
	timers map[net.Conn]*connTimer
}

// connTimer is the timer of a connection, compared by address: a timer that fires
// while it is being replaced must not close the connection.
type connTimer struct{ *time.Timer }

func newConnLimits(limits func() routing.Limits) *connLimits {
	return &connLimits{limits: limits, timers: make(map[net.Conn]*connTimer)}
}

// orDefault returns limit if it is positive, and defaultLimit otherwise.
func orDefault(limit, defaultLimit time.Duration) time.Duration {
	if limit > 0 {
		return limit
	}
	return defaultLimit
}

// connStateChanged is the http.Server.ConnState callback. A connection is new or idle
// until the whole header of a request was read.
func (l *connLimits) connStateChanged(c net.Conn, state http.ConnState) {
	awaitsHeader := state == http.StateNew || state == http.StateIdle
	if conn, ok := c.(*callerConn); ok {
		conn.awaitsHeader.Store(awaitsHeader)
	}
	if awaitsHeader {
		l.closeAfter(c, orDefault(l.limits().IdleTimeout, defaultIdleTimeout))
		return
	}
	l.cancel(c)
}

// headerStarted is the onHeaderStart callback of callerConn. It replaces the idle
// timeout by the header timeout.
func (l *connLimits) headerStarted(c net.Conn) {
	l.closeAfter(c, orDefault(l.limits().HeaderTimeout, defaultHeaderTimeout))
}

// closeAfter closes the connection after a time unless closeAfter or cancel is called
// for it before.
func (l *connLimits) closeAfter(c net.Conn, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopTimer(c)
	timer := &connTimer{}
	timer.Timer = time.AfterFunc(after, func() { l.close(c, timer) })
	l.timers[c] = timer
}

// cancel stops the timer of a connection.
func (l *connLimits) cancel(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopTimer(c)
}

// stopTimer stops and forgets the timer of a connection. The mutex is held.
func (l *connLimits) stopTimer(c net.Conn) {
	if timer := l.timers[c]; timer != nil {
		timer.Stop()
		delete(l.timers, c)
	}
}

// close closes a connection if the timer that fired is still its current one.
func (l *connLimits) close(c net.Conn, timer *connTimer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timers[c] != timer {
		return
	}
	delete(l.timers, c)
	// The error is ignored: the caller may have closed the connection already.
	_ = c.Close()
}
