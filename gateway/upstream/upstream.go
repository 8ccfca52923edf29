// Package upstream is an HTTP/1.1 client for endpoints with a connection pool. It
// frames requests strictly, states for each failure whether the request may have
// reached the endpoint, and never lets bytes of one response become part of
// another: a connection is reused only if the request was written completely, the
// response ended by its own framing and no bytes follow it.
//
// Responses are parsed by net/http. Its Transport is not used, because it retries
// on its own, does not tell whether a request was written, and returns a response
// without regard to the request that the response names.
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

	"github.com/pistachiowind/pistachiowind/acktimeout"
	"github.com/pistachiowind/pistachiowind/connend"
)

const (
	// maxSkipped bounds the responses to other requests that are skipped before the
	// response to a request.
	maxSkipped = 2
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
	// concurrentWriteBytes is the body size from which the response is read while the
	// body is still being written, because the endpoint may respond early.
	concurrentWriteBytes = 8 << 10
	// readBufferBytes has room for the head of a response and a few events.
	readBufferBytes = 4 << 10
	// ackTimeout ends a connection whose endpoint acknowledges nothing for it while bytes wait
	// for that. An endpoint that reads a body late acknowledges the kernel's probes meanwhile.
	ackTimeout = 1500 * time.Millisecond
)

// Stage is how far an exchange got before it failed.
type Stage int

const (
	// NotSent means that no byte was written; the request did not run.
	NotSent Stage = iota
	// NoResponse means that the request may have run and no byte of a response was
	// received.
	NoResponse
	// InvalidResponse means that bytes were received that are not a valid response to
	// the request; it may have run.
	InvalidResponse
)

// Correlation states which request a response belongs to, by the request id that
// it names.
type Correlation int

// Requests that a response can belong to; NoRequest if it names none.
const (
	ThisRequest Correlation = iota
	AnotherRequest
	NoRequest
)

// Framing is how the end of a body is marked.
type Framing string

// The framings of HTTP/1.1 (RFC 9112, section 6.3).
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with the connection.
	FramedByClose Framing = "close"
)

// framingOf returns the framing of a response.
func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength < 0:
		return FramedByClose
	}
	return FramedByLength
}

// errNoRequestID fails an exchange whose response may belong to an earlier request.
var errNoRequestID = errors.New("response without a request id on a reused connection")

// Failure is the error of an exchange without a usable response.
type Failure struct {
	Stage Stage
	Err   error
}

func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

var errTooManySkipped = errors.New("upstream: too many responses to other requests")

// Request is what is sent to an endpoint.
type Request struct {
	Method string
	// Target is the request target in the form that the caller sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody states that the caller's request has a body, even an empty one, so that
	// a Content-Length is sent.
	HasBody bool
	// Correlate returns which request a response belongs to, given its status and
	// headers. It is called for each final response that is read. If it is nil, every
	// response is taken as this request's.
	Correlate func(status int, h http.Header) Correlation
	// Identification restricts the processes to which the request may be sent; nil for any.
	Identification *Identification
	// MaxIdleTime is the time after which an idle connection is not used for this
	// request; zero means the pool's limit.
	MaxIdleTime time.Duration
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	// guard ends the connection once its endpoint is silent; nil for a connection other than TCP.
	guard *acktimeout.Guard
	// bounded is the source of reader.
	bounded *boundedReader
	// hadRequest states that an earlier request was sent on the connection.
	hadRequest bool
	openedAt   time.Time
	// process is the endpoint's process behind the connection, as far as it is known.
	process Process
	// proof is the process to which the connection leads by other evidence than a statement.
	proof   Identity
	address string
	reader  *bufio.Reader
	// idleSince and usableUntil are set while the connection is in the pool.
	idleSince   time.Time
	usableUntil time.Time
}

// Response is a response whose head has been read and whose body can be read.
type Response struct {
	*http.Response
	// Framing is how the endpoint marks the end of the body.
	Framing Framing
	// Skipped is the number of responses to other requests that came before.
	Skipped int
	// ConnAge is how long the connection was open as the request was sent.
	ConnAge time.Duration
	// Process is the endpoint's process behind the connection, as far as it is known.
	Process Process
	pool    *Pool
	conn    *conn
	// stop cancels the closing of conn at the end of the context. It returns false if
	// the context has ended.
	stop func() bool
	// written is closed when the write of the request has ended; writeErr, its error,
	// is set before that.
	written  chan struct{}
	writeErr error
}

// RoundTrip sends the request and returns when the head of its response has been
// read. The caller must call Finish, Discard or Abort on the Response. The end of
// ctx closes the connection, which also ends the work at the endpoint. The error
// is a *Failure.
func (p *Pool) RoundTrip(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.connect(ctx, address, r)
	if err == nil && r.Identification != nil {
		c, err = p.identified(ctx, c, r.Identification)
	}
	if err != nil {
		return nil, &Failure{NotSent, err}
	}
	if err := ctx.Err(); err != nil {
		c.Close()
		return nil, &Failure{NotSent, err}
	}
	resp := &Response{pool: p, conn: c, ConnAge: time.Since(c.openedAt), Process: c.process, written: make(chan struct{})}
	resp.stop = context.AfterFunc(ctx, func() { c.Close() })
	p.write(resp, r)
	if err := resp.readHead(r); err != nil {
		resp.Abort()
		return nil, err
	}
	return resp, nil
}

// write writes the request; a large body is written by another goroutine.
func (p *Pool) write(resp *Response, r *Request) {
	head := encodeHead(r)
	send := func() {
		if resp.conn.guard != nil {
			resp.conn.guard.BeforeWrite()
		}
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

// encodeHead returns the request line and the headers.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads responses until one belongs to the request. Responses that name
// another request are skipped: they are second or late responses to earlier
// requests. A response that names no request can be such a late one, too, unless
// it is the first response on its connection.
func (resp *Response) readHead(r *Request) error {
	request := &http.Request{Method: r.Method}
	remaining := maxHeadBytes
	for {
		resp.conn.bounded.setLimit(remaining)
		if _, err := resp.conn.reader.Peek(1); err != nil {
			return &Failure{NoResponse, fmt.Errorf("read answer: %w", err)}
		}
		response, err := resp.conn.readResponse(request)
		if err != nil {
			return &Failure{InvalidResponse, err}
		}
		remaining = resp.conn.bounded.clearLimit()
		correlation := ThisRequest
		if r.Correlate != nil {
			correlation = r.Correlate(response.StatusCode, response.Header)
		}
		if correlation == NoRequest && (resp.conn.hadRequest || resp.Skipped > 0) {
			return &Failure{InvalidResponse, errNoRequestID}
		}
		if correlation != AnotherRequest {
			resp.Response = response
			resp.Framing = framingOf(response)
			return nil
		}
		resp.Skipped++
		if resp.Skipped > maxSkipped || framingOf(response) == FramedByClose {
			return &Failure{InvalidResponse, errTooManySkipped}
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes); err != io.EOF {
			return &Failure{InvalidResponse, fmt.Errorf("skip response to another request: %w", err)}
		}
	}
}

// Finish ends a response whose body was read to its end. It returns the connection
// to the pool, or closes it if it cannot be reused.
func (resp *Response) Finish() {
	if !resp.stop() || !resp.reusable() {
		resp.conn.Close()
		return
	}
	resp.pool.put(resp.conn, resp.Header)
}

// reusable reports whether the connection can be used for another request.
func (resp *Response) reusable() bool {
	select {
	case <-resp.written:
	default:
		// The endpoint responded before it had read the whole request. What it reads
		// next must be the rest of the body, so the connection is not reused.
		return false
	}
	return resp.writeErr == nil && resp.Framing != FramedByClose && !resp.Close && resp.conn.reader.Buffered() == 0
}

// Abort closes the connection.
func (resp *Response) Abort() {
	resp.stop()
	resp.conn.Close()
}

// connect returns an idle connection or opens one.
func (p *Pool) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	for {
		c := p.take(address, r.MaxIdleTime, r.Identification != nil)
		if c == nil {
			return p.open(ctx, address)
		}
		if c.usable() {
			return c, nil
		}
		c.Close()
	}
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	began := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	p.options.OnDial(address, err)
	if err != nil {
		return nil, err
	}
	p.options.OnConnected(address, time.Since(began))
	c := newConn(raw, address)
	if tcp, ok := raw.(*net.TCPConn); ok {
		if c.guard, err = acktimeout.New(tcp, ackTimeout); err != nil {
			raw.Close()
			return nil, err
		}
	}
	return c, nil
}

func newConn(raw net.Conn, address string) *conn {
	bounded := &boundedReader{Conn: connend.TellReset(raw)}
	return &conn{Conn: raw, bounded: bounded, address: address, openedAt: time.Now(), reader: bufio.NewReaderSize(bounded, readBufferBytes)}
}

// usable reports whether an idle connection is open and has no bytes to read.
// Bytes that arrive on an idle connection belong to no request.
func (c *conn) usable() bool {
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
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && usable
}
