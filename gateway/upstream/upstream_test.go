package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// scriptedServer returns the address of a server that serves its connections with
// the given functions, one each.
func scriptedServer(t *testing.T, conversations ...func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for _, converse := range conversations {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				converse(c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func getRequest(id string) *Request {
	return &Request{
		Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {id}},
		Correlate: func(_ int, h http.Header) Correlation {
			if h.Get("Id") == id {
				return ThisRequest
			}
			return AnotherRequest
		},
	}
}

func fetchBody(t *testing.T, p *Pool, address string, r *Request) string {
	t.Helper()
	resp, err := p.RoundTrip(context.Background(), address, r)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	resp.Finish()
	return string(b)
}

func stageOf(t *testing.T, err error) Stage {
	t.Helper()
	var f *Failure
	if !errors.As(err, &f) {
		t.Fatalf("error %v, want a Failure", err)
	}
	return f.Stage
}

// Guards against a late response to an earlier request that is taken for the
// response to the next one on the same connection.
func TestLateAnswerIsSkipped(t *testing.T) {
	sent := make(chan struct{})
	address := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for i, out := range []string{response("a", "first"), response("a", "late") + response("b", "second")} {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, out)
			if i == 1 {
				close(sent)
			}
		}
		readRequest(r)
	})
	p := NewPool(Options{})
	if got := fetchBody(t, p, address, getRequest("a")); got != "first" {
		t.Fatalf("%q, want first", got)
	}
	if got := fetchBody(t, p, address, getRequest("b")); got != "second" {
		t.Fatalf("%q, want second", got)
	}
	<-sent
}

// Guards against using a connection on which bytes or its end arrived while it was
// idle.
func TestIdleConnectionWithBytesIsNotUsed(t *testing.T) {
	sendExtra := make(chan struct{})
	address := scriptedServer(t,
		func(c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, response("a", "first"))
			<-sendExtra
			io.WriteString(c, response("a", "again"))
			sendExtra <- struct{}{}
			readRequest(r)
		},
		func(c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
				io.WriteString(c, response("b", "fresh"))
			}
		})
	p := NewPool(Options{})
	fetchBody(t, p, address, getRequest("a"))
	sendExtra <- struct{}{}
	<-sendExtra
	for !idleHasBytes(p, address) {
		time.Sleep(time.Millisecond)
	}
	if got := fetchBody(t, p, address, getRequest("b")); got != "fresh" {
		t.Fatalf("%q, want fresh", got)
	}
}

func idleHasBytes(p *Pool, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) == 1 && !p.idle[address][0].usable()
}

// Guards against the rest of a long body that is mixed with another request after
// an early response.
func TestEarlyAnswerDoesNotReuseTheConnection(t *testing.T) {
	address := scriptedServer(t,
		func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(c, response("a", "early"))
			// The body is not read, so the client still has to send the rest of it.
			time.Sleep(100 * time.Millisecond)
			io.Copy(io.Discard, r)
		},
		func(c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
				io.WriteString(c, response("b", "fresh"))
			}
		})
	p := NewPool(Options{})
	long := getRequest("a")
	long.Method, long.Body, long.HasBody = "POST", make([]byte, 64<<20), true
	if got := fetchBody(t, p, address, long); got != "early" {
		t.Fatalf("%q, want early", got)
	}
	if got := fetchBody(t, p, address, getRequest("b")); got != "fresh" {
		t.Fatalf("%q, want fresh", got)
	}
}

// Guards against a failure with the wrong stage: a request that was sent must not be
// reported as NotSent, nor one that was not sent as NoResponse.
func TestStages(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	p := NewPool(Options{})
	_, err = p.RoundTrip(context.Background(), closed.Addr().String(), getRequest("a"))
	if s := stageOf(t, err); s != NotSent {
		t.Errorf("refused connection: stage %v, want NotSent", s)
	}
	silent := scriptedServer(t, func(c net.Conn, r *bufio.Reader) { readRequest(r) })
	_, err = p.RoundTrip(context.Background(), silent, getRequest("a"))
	if s := stageOf(t, err); s != NoResponse {
		t.Errorf("closed without response: stage %v, want NoResponse", s)
	}
	noise := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "\x00\x01\x02 no answer\r\n\r\n")
	})
	_, err = p.RoundTrip(context.Background(), noise, getRequest("a"))
	if s := stageOf(t, err); s != InvalidResponse {
		t.Errorf("noise: stage %v, want InvalidResponse", s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = p.RoundTrip(ctx, silent, getRequest("a"))
	if s := stageOf(t, err); s != NotSent {
		t.Errorf("ended context: stage %v, want NotSent", s)
	}
}

// Guards against using a connection that was idle for longer than the endpoint
// stated or the request allows.
func TestIdleTime(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": time.Hour, "timeout=5": 4 * time.Second, "max=3, timeout=2": time.Second, "timeout=1": 0, "timeout=x": time.Hour,
	} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("Keep-Alive %q: %v, want %v", header, got, want)
		}
	}
	p := NewPool(Options{})
	one, two := net.Pipe()
	defer two.Close()
	p.put(&conn{Conn: one, address: "x", reader: bufio.NewReader(strings.NewReader(""))}, http.Header{"Keep-Alive": {"timeout=1"}})
	if p.take("x", 0, false) != nil {
		t.Error("a connection that the endpoint is about to close was used")
	}
}

// Guards against an answer without a length or chunks that was reset while the request was
// still being written, and looks complete: the write takes the error of the reset, and the
// reader gets the same end as after an orderly close.
func TestResetDuringTheWriteIsNotTheEndOfTheAnswer(t *testing.T) {
	const tries = 200
	received := make(chan struct{})
	conversation := func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\npart")
		<-received
		c.(*net.TCPConn).SetLinger(0)
	}
	conversations := make([]func(net.Conn, *bufio.Reader), tries)
	for i := range conversations {
		conversations[i] = conversation
	}
	address := scriptedServer(t, conversations...)
	pool := NewPool(Options{})
	body := make([]byte, 32<<20)
	for range tries {
		request := getRequest("a")
		request.Body = body
		response, err := pool.RoundTrip(context.Background(), address, request)
		if err != nil {
			t.Fatal(err)
		}
		part := make([]byte, len("part"))
		if _, err := io.ReadFull(response.Body, part); err != nil {
			t.Fatal(err)
		}
		received <- struct{}{}
		if n, err := response.Body.Read(part); err == io.EOF {
			t.Fatalf("%d bytes and a regular end after a reset", n)
		}
		response.Abort()
	}
}
