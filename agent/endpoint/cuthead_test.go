package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
)

// Guards against an answer whose endpoint closed the connection in the middle of its head, and
// that the agent states to be whole with an empty or a short body.
func TestAnswerCutInItsHeadIsNotWhole(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, framing := range []string{"length", "chunks", "close"} {
			whole := framed(version, "200 OK", framing, "")
			head := whole[:len(whole)-len(bodyAfterHead(whole))]
			for cut := 1; cut < len(head); cut++ {
				url := scriptedEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
					if readRequest(r) {
						_, _ = io.WriteString(c, head[:cut])
					}
				})
				for _, backend := range []Backend{NewService(url), NewEngine(url)} {
					if got, err := run(t, backend, []byte("q")); err == nil {
						t.Errorf("%s, %s, cut after %q: %q counts as whole to %s", version, framing, head[:cut], got, fmt.Sprintf("%T", backend))
					}
				}
			}
		}
	}
}

// bodyAfterHead returns what follows the head of a response.
func bodyAfterHead(response string) string {
	for i := range response {
		if len(response)-i >= 4 && response[i:i+4] == "\r\n\r\n" {
			return response[i+4:]
		}
	}
	return ""
}
