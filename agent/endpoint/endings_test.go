package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// scriptedEndpoint serves each connection with serve, and returns the base URL.
func scriptedEndpoint(t *testing.T, serve func(c *net.TCPConn, r *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// readRequest reads a request and its body; false if there is none.
func readRequest(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// framed returns a response with the body in one of the framings length, chunks and close.
func framed(version, status, framing, body string) string {
	head := version + " " + status + "\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "chunks":
		half := len(body) / 2
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	}
	return head + "Connection: close\r\n\r\n" + body
}

// run runs a request and returns what was emitted of the body or of the text, and whether the
// answer counts as whole.
func run(t *testing.T, backend Backend, body []byte) (string, *resultcode.Error) {
	t.Helper()
	request := &rpc.RunRequest{RequestId: "r1", Work: &rpc.RunRequest_Service{Service: &rpc.ServiceWork{Method: "POST", Path: "/", Body: body}}}
	if _, ok := backend.(*Engine); ok {
		request.Work = &rpc.RunRequest_Chat{Chat: &rpc.ChatWork{Body: []byte(`{"messages":[{"role":"user","content":"q"}]}`)}}
	}
	request.Idempotent = true
	var out strings.Builder
	done := false
	err := backend.Run(context.Background(), request, func(f *rpc.Frame) error {
		if chunk := f.GetChunk(); chunk.GetText() != "" {
			out.WriteString(chunk.GetText())
		} else {
			out.Write(chunk.GetData())
		}
		done = done || f.GetDone() != nil
		return nil
	})
	if done != (err == nil) {
		t.Errorf("the end of the answer was emitted: %v, with error %v", done, err)
	}
	return out.String(), err
}

const engineEvents = `data: {"choices":[{"delta":{"content":"one "}}]}` + "\n\n" +
	`data: {"choices":[{"delta":{"content":"two"},"finish_reason":"stop"}]}` + "\n\n" + "data: [DONE]\n\n"

// Guards against an answer that its endpoint broke off and that the agent states to be whole,
// for each framing, at each byte, by closing and by resetting the connection.
func TestBrokenAnswerIsNotWhole(t *testing.T) {
	for _, kind := range []string{"engine", "service"} {
		for _, framing := range []string{"HTTP/1.1 length", "HTTP/1.1 chunks", "HTTP/1.1 close", "HTTP/1.0 length", "HTTP/1.0 close"} {
			for _, end := range []string{"closed", "reset"} {
				t.Run(kind+" "+framing+" "+end, func(t *testing.T) {
					version, framing, _ := strings.Cut(framing, " ")
					body, want := "the answer", "the answer"
					if kind == "engine" {
						body, want = engineEvents, "one two"
					}
					response := framed(version, "200 OK", framing, body)
					var cut atomic.Int64
					url := scriptedEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
						if !readRequest(r) {
							return
						}
						_, _ = io.WriteString(c, response[:cut.Load()])
						if end == "reset" {
							_ = c.SetLinger(0)
						}
					})
					var backend Backend = NewService(url)
					if kind == "engine" {
						backend = NewEngine(url)
					}
					for n := strings.Index(response, "\r\n\r\n") - 2; n <= len(response); n++ {
						cut.Store(int64(n))
						got, err := run(t, backend, nil)
						whole, bodySent := got == want, n > strings.Index(response, "\r\n\r\n")+3
						switch {
						case n == len(response) && (framing != "close" || end == "closed") && (err != nil || !whole):
							t.Fatalf("a sound answer ended as %q, %v", got, err)
						case err != nil || whole:
						case kind == "service" && framing == "close" && end == "closed" && bodySent:
							// The end of the connection is the only mark of the end.
						default:
							t.Fatalf("cut after %q: %q counts as whole", response[:n], got)
						}
					}
				})
			}
		}
	}
}

// Guards against an answer without a length or chunks that was reset while the request was
// still being written, and counts as whole.
func TestResetDuringTheWriteIsNotTheEndOfTheAnswer(t *testing.T) {
	url := scriptedEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		_ = c.SetLinger(0)
	})
	service := NewService(url)
	body := make([]byte, 8<<20)
	for range 200 {
		if got, err := run(t, service, body); err == nil {
			t.Fatalf("%q counts as whole after a reset", got)
		}
	}
}

// Guards against an answer that is cut because its endpoint reads the request later than
// ackTimeout: the endpoint is there and acknowledges.
func TestEndpointThatReadsTheBodyLateIsNotCut(t *testing.T) {
	t.Parallel()
	url := scriptedEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
		time.Sleep(3 * ackTimeout / 2)
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	})
	if got, err := run(t, NewService(url), make([]byte, 16<<20)); err != nil {
		t.Errorf("%q, then %v", got, err)
	}
}

// Guards against an answer of HTTP/1.0 in chunks, which that version lacks, whose framing is
// taken for its body.
func TestChunksOfHTTP10AreNoAnswer(t *testing.T) {
	for _, pieces := range []int{1, 7, 1000} {
		url := scriptedEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
			response := framed("HTTP/1.0", "200 OK", "chunks", engineEvents)
			for readRequest(r); len(response) > 0; response = response[min(pieces, len(response)):] {
				_, _ = io.WriteString(c, response[:min(pieces, len(response))])
			}
		})
		for _, backend := range []Backend{NewService(url), NewEngine(url)} {
			if got, err := run(t, backend, nil); err == nil {
				t.Errorf("%T, pieces of %d bytes: %q counts as whole", backend, pieces, got)
			}
		}
	}
}

// Guards against a copy of an earlier refusal or answer that arrives on a kept connection
// after the next request was sent: a caller would be told that its request, which runs, did
// not run, or get the answer to another one.
func TestLateCopyIsNotTheAnswerToTheNextRequest(t *testing.T) {
	for name, copied := range map[string]string{
		"refusal": framed("HTTP/1.1", "503 Service Unavailable", "length", "full"),
		"429":     framed("HTTP/1.1", "429 Too Many Requests", "length", "full"),
		"404":     framed("HTTP/1.1", "404 Not Found", "length", "none"),
		"answer":  framed("HTTP/1.1", "200 OK", "length", strings.ReplaceAll(engineEvents, "one", "another")),
	} {
		for _, kind := range []string{"engine", "service"} {
			t.Run(kind+" "+name, func(t *testing.T) {
				var requests atomic.Int64
				url := scriptedEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
					for first := true; readRequest(r); first = false {
						if requests.Add(1) == 1 {
							_, _ = io.WriteString(c, copied)
							continue
						}
						if !first {
							// The connection was kept: the copy comes before the answer.
							_, _ = io.WriteString(c, copied)
						}
						_, _ = io.WriteString(c, framed("HTTP/1.1", "200 OK", "length", engineEvents))
					}
				})
				var backend Backend = NewService(url)
				want := engineEvents
				if kind == "engine" {
					backend, want = NewEngine(url), "one two"
				}
				_, _ = run(t, backend, nil)
				if got, err := run(t, backend, nil); err != nil || got != want {
					t.Errorf("the next request ended as %q, %v", got, err)
				}
			})
		}
	}
}
