package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/endless"
)

// readAll is a handler that reads a bounded body, like that of a unary call.
var readAll = http.MaxBytesHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}), 1<<20)

// Guards against a listener of a router or agent that reads a request without end, and against
// one that does not answer others meanwhile.
func TestEndlessRequestIsCut(t *testing.T) {
	server, err := Listen("test", "127.0.0.1:0", readAll, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	t.Run("requests", func(t *testing.T) {
		for part, request := range endless.Requests("/") {
			t.Run(part, func(t *testing.T) {
				t.Parallel()
				endless.Request(t, server.Address(), request)
				resp, err := http.Get("http://" + server.Address())
				if err != nil {
					t.Fatal(err)
				}
				if resp.Body.Close(); resp.StatusCode != http.StatusOK {
					t.Errorf("status %d beside it", resp.StatusCode)
				}
			})
		}
	})
	stop()
	<-served
}

// pipeListener accepts one connection in memory.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a request whose body arrives now and then for ever and holds a call, whether
// its handler reads it or not, and against an answer that is cut because it takes longer than
// the body may.
func TestDrippingBodyEndsAtTheTimeout(t *testing.T) {
	ignore := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	for name, handler := range map[string]http.Handler{"read": readAll, "not read": ignore} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took := playBody(t, handler, func(c net.Conn) (err error) {
					_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
					for err == nil {
						time.Sleep(time.Second)
						_, err = io.WriteString(c, "x")
					}
					return nil
				})
				if took > readTimeout+2*time.Second {
					t.Errorf("the call ended after %v, want %v", took, readTimeout)
				}
			})
		})
	}
	t.Run("late answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			late := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				select {
				case <-r.Context().Done():
				case <-time.After(10 * readTimeout):
					w.WriteHeader(http.StatusAccepted)
				}
			})
			playBody(t, late, func(c net.Conn) error {
				_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
				time.Sleep(11 * readTimeout)
				return err
			}, "HTTP/1.1 202 Accepted")
		})
	})
}

// playBody serves one connection, on which send sends a request, and returns after which time the
// server closed it. The answer must begin with want, if given.
func playBody(t *testing.T, handler http.Handler, send func(net.Conn) error, want ...string) time.Duration {
	t.Helper()
	client, server := net.Pipe()
	listener := pipeListener{make(chan net.Conn, 1)}
	listener.conns <- server
	s := newHTTPServer(handler)
	began := time.Now()
	go func() { _ = s.Serve(listener) }()
	answer := make(chan string, 1)
	go func() {
		b, _ := io.ReadAll(client)
		answer <- string(b)
	}()
	if err := send(client); err != nil {
		t.Error(err)
	}
	got := <-answer
	took := time.Since(began)
	for _, w := range want {
		if len(got) < len(w) || got[:len(w)] != w {
			t.Errorf("answer %q, want %q", got, w)
		}
	}
	close(listener.conns)
	client.Close()
	time.Sleep(time.Minute)
	return took
}
