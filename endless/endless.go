// Package endless sends HTTP answers and requests without end, for tests of the bounds on what
// is read.
package endless

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// MaxBytes bounds what is sent on one connection, so that a missing bound makes a test
	// fail and does not fill the machine's memory. It is several times what the buffers of
	// the kernel hold for a reader that has stopped reading.
	MaxBytes = 64 << 20
	// maxTime bounds how long a connection stays open.
	maxTime = 30 * time.Second
	// blockBytes is about the size of one write.
	blockBytes = 16 << 10
	// dripInterval is the time between two pieces of an answer that drips.
	dripInterval = 100 * time.Millisecond
	// readBufferBytes is the buffer of a connection of net/http's client.
	readBufferBytes = 4 << 10
	// inflatedBytes is the size of one member of the compressed body.
	inflatedBytes = 1 << 20
)

// Answer is what is sent in response to a request: a beginning, and a piece that is repeated
// without end.
type Answer struct{ Beginning, Piece string }

// WithStatus returns a response with a body that does not end, given the status line without
// the version.
func WithStatus(status string) Answer {
	return Answer{"HTTP/1.1 " + status + "\r\nLocation: /again\r\nContent-Type: application/json\r\n\r\n", "x"}
}

// Heads returns answers whose heads do not end, by what does not end in them.
func Heads() map[string]Answer {
	return map[string]Answer{
		"status line":         {"HTTP/1.1 200 ", "O"},
		"header line":         {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"folded header line":  {"HTTP/1.1 200 OK\r\nX: x\r\n", " x\r\n"},
		"interim answers":     {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		"bytes before a head": {"", "\x00"},
		"empty lines":         {"", "\r\n"},
	}
}

// Bodies returns answers with status 200 whose bodies do not end, by their framing. A client
// that is content with a status need not fail.
func Bodies() map[string]Answer {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]Answer{
		"body without a length": {head + "\r\n", "x"},
		"body of a huge length": {head + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"text of JSON":          {head + "\r\n" + `{"rows":[{"key":"`, "x"},
		"elements of JSON":      {head + "\r\n" + `{"rows":[{}`, ",{}"},
		"white space":           {head + "\r\n", "\n"},
		"chunks":                {chunked, "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"},
		"one chunk":             {chunked + "ffffffffff\r\n", "x"},
		"chunk size":            {chunked, "0"},
		"chunk extension":       {chunked + "1;", "x"},
		"chunk extensions":      {chunked, "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n"},
		"trailer":               {chunked + "2\r\n{}\r\n0\r\n", "X: x\r\n"},
		"trailer line":          {chunked + "2\r\n{}\r\n0\r\nX: ", "x"},
		"compressed body":       {head + "Content-Encoding: gzip\r\n\r\n", compressed()},
	}
}

// compressed returns a member of a gzip stream that is a thousandth of its content.
func compressed() string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(bytes.Repeat([]byte(" "), inflatedBytes))
	_ = w.Close()
	return b.String()
}

// Server sends an Answer on each connection.
type Server struct {
	// Address is IP:PORT.
	Address  string
	listener net.Listener
	conns    sync.WaitGroup

	mu sync.Mutex
	// accepted is the number of connections that sent a request, and failure the first one
	// that was not closed by the client.
	accepted int
	failure  string
}

// Serve starts a server on loopback, which ends with the test.
func Serve(t testing.TB, a Answer) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: listener.Addr().String(), listener: listener}
	t.Cleanup(func() { listener.Close() })
	s.conns.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.serve(c, a) })
		}
	})
	return s
}

func (s *Server) serve(c net.Conn, a Answer) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(maxTime))
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	failure := send(c, a)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted++
	if s.failure == "" {
		s.failure = failure
	}
}

// send writes the answer until the peer closes the connection, and otherwise returns what
// ended it.
func send(c net.Conn, a Answer) string {
	_, err := io.WriteString(c, a.Beginning)
	block := strings.Repeat(a.Piece, 1+blockBytes/len(a.Piece))
	for sent := 0; err == nil; sent += len(block) {
		if sent >= MaxBytes {
			return "the peer read on"
		}
		_, err = io.WriteString(c, block)
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return "the peer neither read nor closed the connection"
	}
	return ""
}

// CheckClosed waits for all connections and fails the test if there was none or if a client
// did not close one.
func (s *Server) CheckClosed(t testing.TB) {
	t.Helper()
	s.listener.Close()
	s.conns.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted == 0 {
		t.Error("no request arrived")
	}
	if s.failure != "" {
		t.Error(s.failure)
	}
}

// Counter counts the bytes that a client reads from its connections.
type Counter struct{ read atomic.Int64 }

// Count makes the counter count what the transport reads. It must be called before the
// transport is used.
func (c *Counter) Count(transport *http.Transport) {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return countedConn{conn, &c.read}, err
	}
}

// CheckAtMost fails the test if the client read more than limit bytes and one read buffer.
func (c *Counter) CheckAtMost(t testing.TB, limit int64) {
	t.Helper()
	if read := c.read.Load(); read > limit+readBufferBytes {
		t.Errorf("%d bytes were read, want at most %d and one read buffer", read, limit)
	}
}

type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Drip is a dialer of connections in memory, on each of which a piece of the answer arrives
// every 100 ms until the client closes it. It is for tests with virtual time.
func (a Answer) Drip(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return
		}
		_, err := io.WriteString(server, a.Beginning)
		for err == nil {
			time.Sleep(dripInterval)
			_, err = io.WriteString(server, a.Piece)
		}
	}()
	return client, nil
}

// Requests returns requests to a path that do not end, by what does not end in them.
func Requests(path string) map[string]Answer {
	post := "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nContent-Type: application/protobuf\r\n"
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]Answer{
		"request line":           {"GET " + path + "?", "x"},
		"header line":            {post + "X: ", "x"},
		"header lines":           {post, "X: x\r\n"},
		"folded header line":     {post + "X: x\r\n", " x\r\n"},
		"bytes before a request": {"", "\x00"},
		"body of a huge length":  {post + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"chunks":                 {chunked, "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"},
		"one chunk":              {chunked + "ffffffffff\r\n", "x"},
		"chunk size":             {chunked, "0"},
		"chunk extension":        {chunked + "1;", "x"},
		"trailer":                {chunked + "0\r\n", "X: x\r\n"},
	}
}

// Request sends a request without end to the server at an address. The test fails unless the
// server closes the connection.
func Request(t testing.TB, address string, a Answer) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(maxTime))
	if failure := send(c, a); failure != "" {
		t.Error(failure)
	}
}
