package acktimeout

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	testTimeout = MinTimeout
	// bodyBytes is more than the receive buffer of the peer, windowBytes, holds.
	bodyBytes   = 256 << 10
	windowBytes = 8 << 10
)

// pair returns a guarded connection and the connection of its peer, which has a small receive
// buffer.
func pair(t *testing.T) (guarded net.Conn, peer *net.TCPConn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, windowBytes) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	guarded, err = Dialer(dialer.DialContext, testTimeout)(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { guarded.Close(); accepted.Close() })
	return guarded, accepted.(*net.TCPConn)
}

// silence drops all that a connection receives from now on, so that it acknowledges nothing,
// like one whose link is cut.
func silence(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err := errors.Join(err, failed); err != nil {
		t.Fatal(err)
	}
}

// write writes a body in the background; the channel gets the result.
func write(c net.Conn, n int) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, n))
		written <- err
	}()
	return written
}

// ended returns a channel that is closed when the connection has ended.
func ended(c net.Conn) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(io.Discard, c)
	}()
	return done
}

// Guards against a connection that is cut although its peer is there and reads late, also
// many times later than the timeout.
func TestPeerThatReadsLateIsNotCut(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		bytes int
		after time.Duration
	}{
		{3 * windowBytes, 3 * testTimeout / 2},
		{3 * windowBytes, 9 * testTimeout / 2},
		{bodyBytes, 5 * testTimeout / 2},
		{bodyBytes, 8 * testTimeout},
	} {
		t.Run(fmt.Sprintf("%d bytes read after %v", c.bytes, c.after), func(t *testing.T) {
			t.Parallel()
			guarded, peer := pair(t)
			written, cut := write(guarded, c.bytes), ended(guarded)
			select {
			case <-cut:
				t.Fatal("the connection was cut while the peer acknowledged probes")
			case <-time.After(c.after):
			}
			if _, err := io.ReadFull(peer, make([]byte, c.bytes)); err != nil {
				t.Error(err)
			}
			if err := <-written; err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a silent peer that is noticed later than the timeout asks, with its receive
// window open, or closed for a while.
func TestSilentPeerIsNoticed(t *testing.T) {
	t.Parallel()
	for name, closedFor := range map[string]time.Duration{
		"window open":                        0,
		"window closed":                      300 * time.Millisecond,
		"window closed for several timeouts": 7 * testTimeout / 2,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, peer := pair(t)
			cut := ended(c)
			if closedFor > 0 {
				write(c, bodyBytes)
				time.Sleep(closedFor)
			}
			select {
			case <-cut:
				t.Fatal("the connection ended before its peer went silent")
			default:
			}
			silence(t, peer)
			began := time.Now()
			if closedFor == 0 {
				write(c, 1)
			}
			select {
			case <-cut:
				t.Logf("the connection ended %v after the peer went silent", time.Since(began))
			case <-time.After(testTimeout + time.Second):
				t.Fatal("the connection has not ended")
			}
		})
	}
}

// Guards against a timeout that stays raised after a peer has read late, so that a later
// silence is noticed late.
func TestTimeoutIsRestoredOnceAllIsAcknowledged(t *testing.T) {
	t.Parallel()
	c, peer := pair(t)
	cut := ended(c)
	written := write(c, bodyBytes)
	time.Sleep(3 * testTimeout)
	if _, err := io.ReadFull(peer, make([]byte, bodyBytes)); err != nil {
		t.Fatal(err)
	}
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * checkInterval)
	silence(t, peer)
	write(c, 1)
	select {
	case <-cut:
	case <-time.After(testTimeout + time.Second):
		t.Fatal("the connection has not ended")
	}
}

// Guards against an idle connection on which silence is noticed no more.
func TestIdleConnectionNoticesSilence(t *testing.T) {
	t.Parallel()
	c, peer := pair(t)
	cut := ended(c)
	silence(t, peer)
	select {
	case <-cut:
	case <-time.After(4 * time.Second):
		t.Fatal("the connection has not ended")
	}
}

// Guards against a limit that lets the kernel cut a peer which is heard, or keep one which is
// not, whatever the length of the stall.
func TestLimitFollowsWhatIsHeard(t *testing.T) {
	const timeout = 2 * time.Second
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	s := stall{checkedAt: start}
	steps := []struct {
		now, heard float64
		acked      uint64
		want       float64
	}{
		{0.5, -7, 8000, 2},    // Nothing was heard since the write.
		{1.5, 1.4, 8000, 2.5}, // Heard just now: the next probe is due in a second.
		{59, 58.9, 8000, 60},
		{60, 58.9, 8000, 60.9}, // Not heard for longer than a probe interval.
		{61, 58.9, 8000, 60.9},
		{61.1, 61, 9000, 2}, // Further bytes are acknowledged: another stall.
		{70, 69.9, 9000, 10},
	}
	for _, step := range steps {
		got := s.limit(at(step.now), timeout, connState{outstanding: true, acked: step.acked, heardAt: at(step.heard)})
		if want := at(step.want).Sub(start); (got - want).Abs() > time.Millisecond {
			t.Errorf("at %v s, heard at %v s: limit %v, want %v", step.now, step.heard, got, want)
		}
	}
}
