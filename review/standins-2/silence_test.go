//go:build review2

package standins2

import (
	"context"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// silenceable is a listener whose open connections can go silent for good, without a reset,
// while new ones work: nothing that arrives on a silent one is acknowledged any more, and
// nothing is sent on it.
type silenceable struct {
	net.Listener
	mu   sync.Mutex
	open map[*silentConn]struct{}
}

func listenSilenceable(address string) (*silenceable, error) {
	// The stand-in sends no keep-alive probes of its own.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &silenceable{Listener: l, open: make(map[*silentConn]struct{})}, nil
}

// Accept implements net.Listener.
func (s *silenceable) Accept() (net.Conn, error) {
	raw, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{TCPConn: raw.(*net.TCPConn), owner: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c, nil
}

// silence lets the open connections go silent and returns their number.
func (s *silenceable) silence() (int, error) {
	s.mu.Lock()
	list := make([]*silentConn, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	s.mu.Unlock()
	n := 0
	for _, c := range list {
		was, err := c.goSilent()
		if err != nil {
			return n, err
		}
		if was {
			n++
		}
	}
	return n, nil
}

type silentConn struct {
	*net.TCPConn
	owner  *silenceable
	mu     sync.Mutex
	silent bool
	closed bool
}

// goSilent attaches a socket filter that drops every packet that arrives for the connection.
func (c *silentConn) goSilent() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent || c.closed {
		return false, nil
	}
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return false, err
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}); err != nil {
		return false, err
	}
	if failed != nil {
		return false, failed
	}
	c.silent = true
	return true, nil
}

// Write implements net.Conn: what is written to a silent connection is lost.
func (c *silentConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn. A silent connection stays open, so that its other end hears nothing.
func (c *silentConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return nil
	}
	c.closed = true
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.TCPConn.Close()
}
