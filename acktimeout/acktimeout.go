// Package acktimeout ends TCP connections whose peer went silent, and no others. The kernel
// alone cannot tell the two apart: TCP_USER_TIMEOUT also counts while the peer answers each
// probe and merely keeps its receive window closed, as one does that reads late
// (tcp(7); RFC 9293, section 3.8.6.1).
//
// A Guard moves the TCP_USER_TIMEOUT of its connection ahead for as long as the peer is heard.
// The kernel then also probes the closed window at short, even intervals, since it sends no
// probe later than the TCP_USER_TIMEOUT (Linux 5.11 and later), and it ends the connection
// once nothing was heard for the timeout.
package acktimeout

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// firstCheckFraction is the part of the timeout after a write at which a Guard first
	// looks for data that the peer has not acknowledged.
	firstCheckFraction = 4
	// checkInterval is the time between two looks while there is such data. It is below the
	// shortest time between two probes of the kernel, 200 ms.
	checkInterval = 100 * time.Millisecond
	// probesPerTimeout is the number of probes within the timeout of a peer that is not heard.
	probesPerTimeout = 2
	// MinTimeout is the shortest timeout of a Guard. A peer answers probes that come within
	// 500 ms only once (Linux, tcp_invalid_ratelimit).
	MinTimeout = probesPerTimeout * (500*time.Millisecond + 2*checkInterval)
)

// Guard ends a connection when its peer has been silent for a time while data waits to be
// acknowledged. Its methods are safe for concurrent use.
type Guard struct {
	raw     syscall.RawConn
	timeout time.Duration

	mu sync.Mutex
	// watching is set from a write until all data is acknowledged or the connection ends.
	watching bool
	stall    stall
	// limit is the TCP_USER_TIMEOUT that is set.
	limit time.Duration
}

// New sets the timeout, at least MinTimeout, of a TCP connection and returns its Guard. The connection keeps the plain
// TCP_USER_TIMEOUT where the kernel does not tell what the Guard needs.
func New(c syscall.Conn, timeout time.Duration) (*Guard, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	g := &Guard{raw: raw, timeout: timeout}
	return g, g.setLimit(timeout)
}

// BeforeWrite must be called before data is written to the connection.
func (g *Guard) BeforeWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watching {
		return
	}
	g.watching = true
	g.stall = stall{checkedAt: time.Now()}
	time.AfterFunc(g.timeout/firstCheckFraction, g.check)
}

// check adjusts the TCP_USER_TIMEOUT and schedules the next check. It ends the watch when all
// data is acknowledged, or with the first error: the connection has ended then, or the kernel
// does not tell the state of connections.
func (g *Guard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	state, err := g.read(now)
	limit := g.timeout
	if err == nil && state.outstanding {
		limit = g.stall.limit(now, g.timeout, state)
	}
	if limit != g.limit {
		err = errors.Join(err, g.setLimit(limit))
	}
	if err != nil || !state.outstanding {
		g.watching = false
		return
	}
	time.AfterFunc(checkInterval, g.check)
}

// setLimit sets the TCP_USER_TIMEOUT. The kernel counts it in milliseconds.
func (g *Guard) setLimit(d time.Duration) error {
	g.limit = d
	var failed error
	err := g.raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err := errors.Join(err, failed); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// read returns the state of the connection as the kernel tells it (TCP_INFO).
func (g *Guard) read(now time.Time) (connState, error) {
	var info *unix.TCPInfo
	var failed error
	err := g.raw.Control(func(fd uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, failed); err != nil {
		return connState{}, fmt.Errorf("get TCP_INFO: %w", err)
	}
	return connState{
		outstanding: info.Unacked > 0 || info.Notsent_bytes > 0,
		acked:       info.Bytes_acked,
		heardAt:     now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond),
	}, nil
}

// connState is the state of a connection at one moment.
type connState struct {
	// outstanding states that data waits to be sent or acknowledged.
	outstanding bool
	// acked is the number of bytes that the peer has acknowledged.
	acked uint64
	// heardAt is when the peer last acknowledged anything, a probe included.
	heardAt time.Time
}

// stall is the time during which a peer acknowledges no further data.
type stall struct {
	// since is not later than the moment from which the kernel counts the stall.
	since time.Time
	acked uint64
	// checkedAt is the time of the last observation, or of the write before the first one.
	checkedAt time.Time
}

// limit records the state of a connection with outstanding data. It returns the
// TCP_USER_TIMEOUT, counted from the start of the stall: until the next probe is due, but not
// beyond the timeout after the peer was last heard.
func (s *stall) limit(now time.Time, timeout time.Duration, state connState) time.Duration {
	if s.since.IsZero() || state.acked != s.acked {
		s.since, s.acked = s.checkedAt, state.acked
	}
	s.checkedAt = now
	probeInterval := timeout / probesPerTimeout
	probeDueBy := now
	if latest := state.heardAt.Add(timeout - probeInterval); latest.Before(now) {
		probeDueBy = latest
	}
	return max(probeDueBy.Sub(s.since)+probeInterval, timeout)
}
