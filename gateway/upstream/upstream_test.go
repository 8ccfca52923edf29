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

// script serves one connection after another with its functions.
func script(t *testing.T, conversations ...func(net.Conn, *bufio.Reader)) string {
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

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(id string) *Request {
	return &Request{
		Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {id}},
		Names: func(_ int, h http.Header) Named {
			if h.Get("Id") == id {
				return ThisRequest
			}
			return AnotherRequest
		},
	}
}

func read(t *testing.T, p *Pool, address string, r *Request) string {
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

// Guards against a late answer to an earlier request that is taken for the
// answer to the next one on the same connection.
func TestLateAnswerIsSkipped(t *testing.T) {
	sent := make(chan struct{})
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		for i, out := range []string{answer("a", "first"), answer("a", "late") + answer("b", "second")} {
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
	if got := read(t, p, address, get("a")); got != "first" {
		t.Fatalf("%q, want first", got)
	}
	if got := read(t, p, address, get("b")); got != "second" {
		t.Fatalf("%q, want second", got)
	}
	<-sent
}

// Guards against a connection that is used although bytes or an end arrived
// while it was idle.
func TestIdleConnectionWithBytesIsNotUsed(t *testing.T) {
	stray := make(chan struct{})
	address := script(t,
		func(c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, answer("a", "first"))
			<-stray
			io.WriteString(c, answer("a", "again"))
			stray <- struct{}{}
			readRequest(r)
		},
		func(c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
				io.WriteString(c, answer("b", "fresh"))
			}
		})
	p := NewPool(Options{})
	read(t, p, address, get("a"))
	stray <- struct{}{}
	<-stray
	for !idleHasBytes(p, address) {
		time.Sleep(time.Millisecond)
	}
	if got := read(t, p, address, get("b")); got != "fresh" {
		t.Fatalf("%q, want fresh", got)
	}
}

func idleHasBytes(p *Pool, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) == 1 && !p.idle[address][0].quiet()
}

// Guards against the rest of a long body being mixed with another request after
// an early answer.
func TestEarlyAnswerDoesNotReuseTheConnection(t *testing.T) {
	address := script(t,
		func(c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(c, answer("a", "early"))
			// The body is not read, so its rest stays due on this connection.
			time.Sleep(100 * time.Millisecond)
			io.Copy(io.Discard, r)
		},
		func(c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
				io.WriteString(c, answer("b", "fresh"))
			}
		})
	p := NewPool(Options{})
	long := get("a")
	long.Method, long.Body, long.HasBody = "POST", make([]byte, 64<<20), true
	if got := read(t, p, address, long); got != "early" {
		t.Fatalf("%q, want early", got)
	}
	if got := read(t, p, address, get("b")); got != "fresh" {
		t.Fatalf("%q, want fresh", got)
	}
}

// Guards against a failure whose stage says less or more than what is known: a
// charge that was sent is not called unsent, and the reverse.
func TestStages(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	p := NewPool(Options{})
	_, err = p.RoundTrip(context.Background(), closed.Addr().String(), get("a"))
	if s := stageOf(t, err); s != NotSent {
		t.Errorf("refused connection: stage %v, want NotSent", s)
	}
	silent := script(t, func(c net.Conn, r *bufio.Reader) { readRequest(r) })
	_, err = p.RoundTrip(context.Background(), silent, get("a"))
	if s := stageOf(t, err); s != Unanswered {
		t.Errorf("closed without answer: stage %v, want Unanswered", s)
	}
	noise := script(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "\x00\x01\x02 no answer\r\n\r\n")
	})
	_, err = p.RoundTrip(context.Background(), noise, get("a"))
	if s := stageOf(t, err); s != Spoiled {
		t.Errorf("noise: stage %v, want Spoiled", s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = p.RoundTrip(ctx, silent, get("a"))
	if s := stageOf(t, err); s != NotSent {
		t.Errorf("ended context: stage %v, want NotSent", s)
	}
}

// Guards against a connection that is used beyond what the endpoint stated or
// the request allows.
func TestIdleTime(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": time.Hour, "timeout=5": 4 * time.Second, "max=3, timeout=2": time.Second, "timeout=1": 0, "timeout=x": time.Hour,
	} {
		if got := statedIdle(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("Keep-Alive %q: %v, want %v", header, got, want)
		}
	}
	p := NewPool(Options{})
	one, two := net.Pipe()
	defer two.Close()
	p.put(&conn{Conn: one, address: "x", reader: bufio.NewReader(strings.NewReader(""))}, http.Header{"Keep-Alive": {"timeout=1"}})
	if p.take("x", 0) != nil {
		t.Error("a connection that the endpoint is about to close was used")
	}
}
