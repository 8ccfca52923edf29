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
	"strings"
	"sync"
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
	// keepAliveProbe finds connections that went silent within about 3 s.
	keepAliveProbe = time.Second
	keepAliveCount = 2
	// unackedTimeout ends a connection whose bytes are not acknowledged.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveMargin is subtracted from the idle time that an endpoint states.
	keepAliveMargin = time.Second
	// sweepEvery is how often idle connections are looked at for expiry.
	sweepEvery = time.Second
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

// Options configure a Pool. Zero values take the defaults.
type Options struct {
	// MaxIdlePerEndpoint is 32 by default.
	MaxIdlePerEndpoint int
	// MaxIdle is the age from which an idle connection is closed; 4 s by default.
	MaxIdle time.Duration
	// DialTimeout is 400 ms by default: a second SYN follows only after 1 s, and
	// another endpoint is a better use of that time.
	DialTimeout time.Duration
	// Dialed, if not nil, is called for each attempt to open a connection.
	Dialed func(address string, err error)
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	idle    map[string][]*conn
}

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	if o.MaxIdlePerEndpoint <= 0 {
		o.MaxIdlePerEndpoint = 32
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = 4 * time.Second
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = 400 * time.Millisecond
	}
	if o.Dialed == nil {
		o.Dialed = func(string, error) {}
	}
	p := &Pool{options: o, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveCount,
		},
	}
	return p
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

func (p *Pool) take(address string, maxIdle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		fresh := maxIdle <= 0 || now.Sub(c.idleSince) < maxIdle
		if fresh && now.Before(c.usableUntil) {
			return c
		}
		c.Close()
	}
	delete(p.idle, address)
	return nil
}

func (p *Pool) put(c *conn, header http.Header) {
	c.used = true
	now := time.Now()
	c.idleSince = now
	c.usableUntil = now.Add(min(p.options.MaxIdle, statedIdle(header)))
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= p.options.MaxIdlePerEndpoint {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// statedIdle returns the time that the endpoint keeps an idle connection open,
// less a margin; a very long time when it states none.
func statedIdle(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
	return time.Hour
}

// Sweep closes expired idle connections until ctx ends, then all of them.
func (p *Pool) Sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeIdle(func(*conn) bool { return true })
			return ctx.Err()
		case now := <-ticker.C:
			p.closeIdle(func(c *conn) bool { return !now.Before(c.usableUntil) })
		}
	}
}

func (p *Pool) closeIdle(expired func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if expired(c) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
