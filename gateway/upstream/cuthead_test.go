package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against an answer whose endpoint closed the connection in the middle of its head, and
// that looks whole with an empty or a short body: a line, or the end of the head, is taken as
// complete where the connection ends.
func TestAnswerCutInItsHeadIsNotWhole(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 20\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nId: a\r\n\r\n",
		"HTTP/1.1 200 OK\nConnection: close\nId: a\n\n",
		"HTTP/1.0 200 OK\r\nId: a\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: a\r\nX: continued\r\n line\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nX: continued\r\n line\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n",
	} {
		for cut := 1; cut < len(head); cut++ {
			address := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					return
				}
				io.WriteString(c, head[:cut])
			})
			response, err := NewPool(Options{}).RoundTrip(context.Background(), address, getRequest("a"))
			if err != nil {
				continue
			}
			got, err := io.ReadAll(response.Body)
			if err == nil {
				t.Errorf("%q, cut after %q: status %d, body %q counts as whole", strings.TrimSpace(head), head[max(cut-12, 0):cut], response.StatusCode, got)
			}
			response.Abort()
		}
	}
}
