// Package upstream speaks HTTP/1.1 to endpoints over pooled connections. It
// frames requests strictly, states for each failure whether the request may have
// reached the endpoint, and never lets bytes of one answer become part of
// another: a connection is used again only when the request was written whole,
// the answer ended by its own framing and nothing follows it.
//
// Parsing is that of net/http. Its Transport is not used, because it retries by
// itself, hides whether a request was written, and hands out an answer without
// regard to the request that it names.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxStray bounds the answers to other requests that are skipped while
	// waiting for the own one.
	maxStray = 2
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
	// concurrentWriteBytes is the body size from which the answer is read while
	// the body is still being written, because the endpoint may answer early.
	concurrentWriteBytes = 8 << 10
	// readBufferBytes holds the head of an answer and a few events.
	readBufferBytes = 4 << 10
	// unackedTimeout ends a connection whose bytes are not acknowledged.
	unackedTimeout = 1500 * time.Millisecond
)

// Stage states how far a request got before a failure.
type Stage int

const (
	// NotSent means that no byte was written; the request did not run.
	NotSent Stage = iota
	// Unanswered means that the request may have run and no answer was received.
	Unanswered
	// Spoiled means that bytes were received that are not a valid answer to the
	// request.
	Spoiled
)

// Named tells which request an answer names.
type Named int

// What an answer can name.
const (
	ThisRequest Named = iota
	AnotherRequest
	NoRequest
)

// errUnnamed fails an exchange whose answer may belong to an earlier request.
var errUnnamed = errors.New("answer without a request id on a connection that was used before")

// Failure is an exchange without a usable answer.
type Failure struct {
	Stage Stage
	Err   error
}

func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

var errStrayLimit = errors.New("upstream: too many answers to other requests")

// Request is what is sent to an endpoint.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody states that the caller framed a body, even an empty one.
	HasBody bool
	// Names tells which request the head of an answer names; nil takes every answer as
	// this request's. It is called for each final answer that is read.
	Names func(status int, h http.Header) Named
	// MaxIdle is the age from which an idle connection is not used; zero means
	// the pool's limit.
	MaxIdle time.Duration
}

type conn struct {
	net.Conn
	// bounded is what reader reads from.
	bounded *boundedReader
	// used states that an earlier request was sent on the connection.
	used    bool
	address string
	reader  *bufio.Reader
	// idleSince and usableUntil are set while the connection is in the pool.
	idleSince   time.Time
	usableUntil time.Time
}

// Response is an answer whose body is being read.
type Response struct {
	*http.Response
	// Unframed answers end with the connection.
	Unframed bool
	// Strays is the number of answers to other requests that came before.
	Strays int
	pool   *Pool
	conn   *conn
	stop   func() bool
	// written is closed when the request was written whole; writeErr is set
	// before that.
	written  chan struct{}
	writeErr error
}

// RoundTrip sends the request and returns when the head of its answer was read.
// The caller must call Finish or Abort on the Response. The end of ctx closes
// the connection, which also ends the work at the endpoint. The error is a
// *Failure.
func (p *Pool) RoundTrip(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.connect(ctx, address, r.MaxIdle)
	if err != nil {
		return nil, &Failure{NotSent, err}
	}
	if err := ctx.Err(); err != nil {
		c.Close()
		return nil, &Failure{NotSent, err}
	}
	resp := &Response{pool: p, conn: c, written: make(chan struct{})}
	resp.stop = context.AfterFunc(ctx, func() { c.Close() })
	p.write(resp, r)
	if err := resp.readHead(r); err != nil {
		resp.Abort()
		return nil, err
	}
	return resp, nil
}

func (p *Pool) write(resp *Response, r *Request) {
	head := encodeHead(r)
	send := func() {
		buffers := net.Buffers{head, r.Body}
		_, resp.writeErr = buffers.WriteTo(resp.conn.Conn)
		close(resp.written)
	}
	if len(r.Body) >= concurrentWriteBytes {
		go send()
		return
	}
	send()
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = r.Header.Write(&b)
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads answers until one names the request. Answers that name another
// request are skipped: they are second or late answers to earlier requests. One
// that names none can be such a late one, too, unless the connection had no
// earlier request.
func (resp *Response) readHead(r *Request) error {
	method := &http.Request{Method: r.Method}
	left := maxHeadBytes
	for {
		resp.conn.bounded.limit(left)
		if _, err := resp.conn.reader.Peek(1); err != nil {
			return &Failure{Unanswered, fmt.Errorf("read answer: %w", err)}
		}
		answer, err := resp.conn.readAnswer(method)
		if err != nil {
			return &Failure{Spoiled, err}
		}
		left = resp.conn.bounded.unlimit()
		named := ThisRequest
		if r.Names != nil {
			named = r.Names(answer.StatusCode, answer.Header)
		}
		if named == NoRequest && resp.conn.used {
			return &Failure{Spoiled, errUnnamed}
		}
		if named != AnotherRequest {
			resp.Response = answer
			resp.Unframed = answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
			return nil
		}
		resp.Strays++
		if resp.Strays > maxStray || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
			return &Failure{Spoiled, errStrayLimit}
		}
		if _, err := io.CopyN(io.Discard, answer.Body, maxStrayBytes); err != io.EOF {
			return &Failure{Spoiled, fmt.Errorf("skip answer to another request: %w", err)}
		}
	}
}

// Finish returns the connection to the pool after the body was read to its end.
func (resp *Response) Finish() {
	if !resp.stop() || !resp.reusable() {
		resp.conn.Close()
		return
	}
	resp.pool.put(resp.conn, resp.Header)
}

func (resp *Response) reusable() bool {
	select {
	case <-resp.written:
	default:
		// The endpoint answered before it had read the request. What it reads
		// next must be the rest of the body, so the connection is not shared.
		return false
	}
	return resp.writeErr == nil && !resp.Unframed && !resp.Close && resp.conn.reader.Buffered() == 0
}

// Abort closes the connection.
func (resp *Response) Abort() {
	resp.stop()
	resp.conn.Close()
}

// connect returns an idle connection or opens one.
func (p *Pool) connect(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.take(address, maxIdle)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	p.options.Dialed(address, err)
	if err != nil {
		return nil, err
	}
	if err := setUnackedTimeout(raw, unackedTimeout); err != nil {
		raw.Close()
		return nil, fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return newConn(raw, address), nil
}

func newConn(raw net.Conn, address string) *conn {
	bounded := &boundedReader{Conn: raw}
	return &conn{Conn: raw, bounded: bounded, address: address, reader: bufio.NewReaderSize(bounded, readBufferBytes)}
}

func setUnackedTimeout(c net.Conn, d time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes on an idle connection belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
