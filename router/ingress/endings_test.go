package ingress

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/connend"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Guards against an answer that broke off in the router and looks complete to its caller, and
// against a sound one that doesn't: streams of a model and answers of services with and
// without a length, to callers of HTTP/1.0 and 1.1.
func TestBrokenAnswerNeverLooksComplete(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, kind := range []string{"stream", "service", "service with length"} {
			for _, broken := range []bool{true, false} {
				server := httptest.NewUnstartedServer(connend.Handler(answer(kind, broken)))
				server.Config.ConnContext = connend.WithConn
				server.Start()
				t.Cleanup(server.Close)
				raw, connErr := ask(t, server.Listener.Addr().String(), version)
				if complete := looksComplete(raw, connErr); complete == broken {
					t.Errorf("%s to %s, broken: %v: looks complete: %v, connection ended with %v: %q", kind, version, broken, complete, connErr, raw)
				}
				if failed := strings.Contains(raw, "event: error"); kind == "stream" && failed != broken {
					t.Errorf("%s to %s, broken: %v: error event: %v", kind, version, broken, failed)
				}
			}
		}
	}
}

// answer returns a handler that passes a part of an answer to a sink, and then its end or an
// error.
func answer(kind string, broken bool) http.Handler {
	e := echo.New()
	e.GET("/", func(c echo.Context) error {
		var sink interface {
			dispatch.Sink
			fail(*resultcode.Error) error
		} = &serviceSink{c: c}
		head := &rpc.ResponseHead{Status: http.StatusOK}
		part := `{"delta":{"content":"a"}}`
		switch kind {
		case "stream":
			sink = newEventSink(c, &dispatch.Request{ID: "r1", Received: time.Unix(1, 0)}, &chatParameters{Model: "chat"})
		case "service with length":
			head.Headers = []*rpc.Header{{Name: "Content-Length", Value: "50"}}
		}
		_ = sink.Head(head)
		_ = sink.Chunk(&rpc.Chunk{Data: []byte(part)})
		sink.Flush()
		if broken {
			return sink.fail(resultcode.New(resultcode.StreamInterrupted, "the stream broke"))
		}
		_ = sink.Chunk(&rpc.Chunk{Data: []byte(part)})
		return sink.Done(&rpc.Done{})
	})
	return e
}

// ask sends a request and returns what is received until the connection ends, and how it ends.
func ask(t *testing.T, address, version string) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / "+version+"\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	return string(b), err
}

// looksComplete judges an answer by its framing alone (RFC 9112, section 6.3).
func looksComplete(raw string, connErr error) bool {
	head, body, _ := strings.Cut(raw, "\r\n\r\n")
	switch {
	case strings.Contains(head, "Content-Length: 50"):
		return len(body) == 50
	case strings.Contains(head, "Transfer-Encoding: chunked"):
		return strings.HasSuffix(body, "\r\n0\r\n\r\n")
	}
	return connErr == nil
}
