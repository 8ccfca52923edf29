package rpc

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout sets TCP_USER_TIMEOUT on a socket: the kernel reports the connection
// as broken when sent data stays unacknowledged for longer than d. Without it, an
// unresponsive peer is detected only after many minutes.
func SetUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err == nil {
		err = sockErr
	}
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
