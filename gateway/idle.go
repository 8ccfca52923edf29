package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that stay idle. http.Server has a fixed
// limit, whereas operators change theirs while the gateway runs.
type idleCloser struct {
	limit  func() time.Duration
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// changed implements http.Server.ConnState.
func (i *idleCloser) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[c]; timer != nil {
		timer.Stop()
		delete(i.timers, c)
	}
	if state == http.StateIdle {
		i.timers[c] = time.AfterFunc(i.limit(), func() { i.close(c) })
	}
}

// close ends a connection that is still idle.
func (i *idleCloser) close(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	// The peer may have closed it already, which is what is wanted.
	_ = c.Close()
}
