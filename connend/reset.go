package connend

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state TCP_CLOSE of a connection (linux/include/net/tcp_states.h).
const tcpClose = 7

// resetConn is a connection whose Read tells a reset from an orderly end.
type resetConn struct{ *net.TCPConn }

// TellReset returns the connection with a Read that fails after a reset also where a write
// of the same moment has taken the error: the kernel reports a reset only once, and then the
// same end as after an orderly close. Connections that are no *net.TCPConn are returned as
// they are.
func TellReset(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return resetConn{tcp}
}

// NetConn returns the wrapped connection.
func (c resetConn) NetConn() net.Conn { return c.TCPConn }

// Read implements net.Conn.
func (c resetConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF && !c.endedOrderly() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// endedOrderly reports whether only the peer's direction has ended (CLOSE_WAIT). A reset ends
// both at once, and so does a writer of this process that closes the connection because of
// it. A kernel that does not tell the state is believed.
func (c resetConn) endedOrderly() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	orderly := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		orderly = err != nil || info.State != tcpClose
	})
	return err == nil && orderly
}
