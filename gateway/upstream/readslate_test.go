package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// lateReader returns the address of an endpoint with a small receive buffer. It answers a
// request at once with an event each 200 ms, and reads its body after a time.
func lateReader(t *testing.T, after time.Duration) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for began := time.Now(); time.Since(began) < after; time.Sleep(200 * time.Millisecond) {
			io.WriteString(c, "6\r\ndata\n\n\r\n")
		}
		if n, err := io.Copy(io.Discard, request.Body); err != nil || n != request.ContentLength {
			return
		}
		io.WriteString(c, "0\r\n\r\n")
	}()
	return l.Addr().String()
}

// Guards against an answer that is cut because its endpoint reads the request later than the
// connection's timeout: the endpoint is there and acknowledges.
func TestEndpointThatReadsTheBodyLateIsNotCut(t *testing.T) {
	for _, c := range []struct {
		bytes int
		after time.Duration
	}{{12 << 10, 2500 * time.Millisecond}, {110_000, 5 * time.Second}, {2 << 20, 3 * time.Second}} {
		t.Run(fmt.Sprintf("%d bytes read after %v", c.bytes, c.after), func(t *testing.T) {
			t.Parallel()
			request := getRequest("a")
			request.Method, request.Body = "POST", make([]byte, c.bytes)
			response, err := NewPool(Options{}).RoundTrip(context.Background(), lateReader(t, c.after), request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Abort()
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				t.Errorf("the answer was cut: %v", err)
			}
		})
	}
}
