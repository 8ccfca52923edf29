package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxEndlessBytes bounds what the endless servers of the tests send, so that a
// missing limit makes a test fail and does not fill the machine's memory.
const maxEndlessBytes = 16 << 20

// endlessServer returns the address of a server that responds with a beginning and
// then repeats a piece. It closes the returned channel when the client has closed
// the connection.
func endlessServer(t *testing.T, beginning, piece string) (address string, closed chan struct{}) {
	closed = make(chan struct{})
	address = scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		defer close(closed)
		if _, err := readRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, beginning)
		block := strings.Repeat(piece, 1+4096/len(piece))
		for sent := 0; err == nil && sent < maxEndlessBytes; sent += len(block) {
			_, err = io.WriteString(c, block)
		}
	})
	return address, closed
}

// Guards against an endpoint that fills the gateway's memory, or blocks a request
// until its deadline, with a head that does not end.
func TestEndlessHeadIsCutAtItsBound(t *testing.T) {
	for name, sends := range map[string]struct{ beginning, piece string }{
		"status line":     {"HTTP/1.1 200 ", "O"},
		"header line":     {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"no answer":       {"", "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := endlessServer(t, sends.beginning, sends.piece)
			_, err := NewPool(Options{}).RoundTrip(context.Background(), address, getRequest("a"))
			if s := stageOf(t, err); s != InvalidResponse || !IsHeadLimitError(err) {
				t.Fatalf("stage %v, error %v; want InvalidResponse at a limit", s, err)
			}
			<-closed
		})
	}
}

// Guards against heads of skipped responses that together exceed the limit.
func TestHeadsOfSkippedAnswersShareTheBound(t *testing.T) {
	large := "X: " + strings.Repeat("x", maxHeadBytes/3) + "\r\n"
	address := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		for _, id := range []string{"late", "late", "a"} {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+large+large+"Content-Length: 0\r\n\r\n")
		}
		readRequest(r)
	})
	_, err := NewPool(Options{}).RoundTrip(context.Background(), address, getRequest("a"))
	if !IsHeadLimitError(err) {
		t.Fatalf("error %v, want the limit on heads", err)
	}
}

// Guards against a limit on the head that cuts a response with a long body.
func TestBoundDoesNotApplyToTheBody(t *testing.T) {
	body := strings.Repeat("b", 4*maxHeadBytes)
	address := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for _, id := range []string{"a", "b"} {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, response(id, body))
		}
		readRequest(r)
	})
	p := NewPool(Options{})
	for _, id := range []string{"a", "b"} {
		if got := fetchBody(t, p, address, getRequest(id)); got != body {
			t.Fatalf("%d bytes, want %d", len(got), len(body))
		}
	}
}

// Guards against trailers, chunk extensions and chunk sizes that do not end.
func TestEndlessFramingOfABodyIsCut(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, sends := range map[string]struct{ beginning, piece string }{
		"trailers":        {head + "0\r\n", "X: x\r\n"},
		"chunk extension": {head + "1;", "x"},
		"chunk size":      {head, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := endlessServer(t, sends.beginning, sends.piece)
			resp, err := NewPool(Options{}).RoundTrip(context.Background(), address, getRequest("a"))
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if err == nil || n > 1 {
				t.Fatalf("%d bytes and error %v, want an error", n, err)
			}
			resp.Abort()
			<-closed
		})
	}
}

// Guards against a refusal that blocks a request, which could go to another
// endpoint, because the refusal's body does not end or does not arrive.
func TestDiscardDoesNotWaitForABody(t *testing.T) {
	for name, head := range map[string]string{
		"without length": "HTTP/1.1 503 No\r\nId: a\r\n\r\n",
		"long":           "HTTP/1.1 503 No\r\nId: a\r\nContent-Length: 1000000000\r\n\r\n",
	} {
		address, closed := endlessServer(t, head, "x")
		resp, err := NewPool(Options{}).RoundTrip(context.Background(), address, getRequest("a"))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		resp.Discard()
		<-closed
	}
	silent := make(chan struct{})
	address := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 503 No\r\nId: a\r\nContent-Length: 5\r\n\r\n")
		if _, err := r.ReadByte(); err != nil {
			close(silent)
		}
	})
	resp, err := NewPool(Options{}).RoundTrip(context.Background(), address, getRequest("a"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Discard()
	<-silent
}

// BenchmarkEndlessHeads reports the heap that 256 endless heads take at the same
// time. A gateway with 184 MB has to serve them besides its other requests.
func BenchmarkEndlessHeads(b *testing.B) {
	const connections = 256
	for b.Loop() {
		ends := make(chan struct{})
		for range connections {
			go func() {
				defer func() { ends <- struct{}{} }()
				one, two := net.Pipe()
				defer two.Close()
				go func() {
					if _, err := io.WriteString(two, "HTTP/1.1 200 OK\r\n"); err != nil {
						return
					}
					block := []byte(strings.Repeat("X: x\r\n", 600))
					for {
						if _, err := two.Write(block); err != nil {
							return
						}
					}
				}()
				c := newConn(one, "")
				c.bounded.setLimit(maxHeadBytes)
				if _, err := c.readResponse(&http.Request{Method: "GET"}); !errors.Is(err, ErrHeadTooLarge) {
					b.Error(err)
				}
				one.Close()
			}()
		}
		var maxHeap uint64
		for ended := 0; ended < connections; {
			select {
			case <-ends:
				ended++
			case <-time.After(time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				maxHeap = max(maxHeap, m.HeapInuse)
			}
		}
		b.ReportMetric(float64(maxHeap)/1e6, "MB-heap")
	}
}
