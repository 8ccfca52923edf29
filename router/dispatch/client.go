package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/acktimeout"
	"github.com/pistachiowind/pistachiowind/httpbound"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	// SilenceTimeout is the time without any frame after which a stream counts
	// as silent. Agents send a heartbeat each second.
	SilenceTimeout = 3 * time.Second

	dialTimeout        = time.Second
	idleConnTimeout    = 10 * time.Minute
	maxIdlePerAgent    = 256
	maxIdleConnections = 1024
	// ackTimeout ends a connection whose peer acknowledges nothing for it while data waits for
	// that; see acktimeout.
	ackTimeout = 5 * time.Second
	// maxHeadBytes bounds the response header of an agent, which has a few lines.
	maxHeadBytes = 16 << 10
	// maxControlBytes bounds the frames between two chunks of an answer. A heartbeat each
	// second takes hours for that.
	maxControlBytes = 1 << 20
)

// errNoAnswer ends a stream that brings frames without end but no answer.
var errNoAnswer = fmt.Errorf("agent sent %d bytes of frames without a chunk", maxControlBytes)

// Client opens attempt streams to agents and provides the client for unary calls.
type Client struct {
	http *http.Client
	// unary sends unary calls; its responses are limited to rpc.MaxUnaryBytes.
	unary *http.Client
	// scheme is http, or https with mutual TLS.
	scheme string
}

// NewClient returns a client. The transport's TLS settings decide whether
// traffic is encrypted.
func NewClient(transport *http.Transport) *Client {
	scheme := "http"
	if transport.TLSClientConfig != nil {
		scheme = "https"
	}
	c := &Client{http: &http.Client{Transport: transport}, scheme: scheme}
	c.WrapUnary(func(t http.RoundTripper) http.RoundTripper { return t })
	return c
}

// WrapUnary sends unary calls through the transport that wrap returns. Call it
// before the client is used.
func (c *Client) WrapUnary(wrap func(http.RoundTripper) http.RoundTripper) {
	bounded := httpbound.Transport{RoundTripper: c.http.Transport, Limit: rpc.MaxUnaryBytes}
	c.unary = &http.Client{Transport: wrap(bounded)}
}

// HTTPClient returns the client for unary calls. It shares the connection pool of the
// streams.
func (c *Client) HTTPClient() *http.Client { return c.unary }

// URL returns the base URL of a peer address.
func (c *Client) URL(address string) string { return c.scheme + "://" + address }

// NewTransport returns a transport for traffic between processes. A connection whose
// peer stops acknowledging data fails after ackTimeout.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:           acktimeout.Dialer(dialer.DialContext, ackTimeout),
		TLSHandshakeTimeout:   dialTimeout,
		MaxIdleConns:          maxIdleConnections,
		MaxIdleConnsPerHost:   maxIdlePerAgent,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: SilenceTimeout,
		DisableCompression:    true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// streamEnd is how a stream ended without a final frame.
type streamEnd int

const (
	// endNotOpened means that no connection was made, so nothing was sent.
	endNotOpened streamEnd = iota + 1
	// endBroken means that the connection failed when the message may have been sent.
	endBroken
	// endSilent means that no frame arrived within SilenceTimeout.
	endSilent
)

// streamEvent is one frame of a stream, or the end of the stream, after which it has
// no further event.
type streamEvent struct {
	stream *stream
	frame  *rpc.Frame
	end    streamEnd
	err    error
}

// stream is one connection on which an attempt's frames arrive.
type stream struct {
	ticket uint64
	// attached marks a stream opened by Attach.
	attached bool
	// attachReported is set when the observer was notified of the result of the Attach.
	attachReported bool
	backlog        *backlog
	cancel         context.CancelFunc
}

// close closes the stream. The attempt at the agent continues.
func (s *stream) close() { s.cancel() }

// open posts the message to an agent and delivers the frames of the response in the
// background until the stream ends or is closed.
func (c *Client) open(ctx context.Context, s *stream, address, path string, m proto.Message) {
	ctx, s.cancel = context.WithCancel(ctx)
	go func() {
		defer s.cancel()
		s.read(ctx, c, c.URL(address)+path, m)
	}()
}

func (s *stream) read(ctx context.Context, c *Client, url string, m proto.Message) {
	var silent, connected atomic.Bool
	readCtx, stop := context.WithCancel(ctx)
	defer stop()
	watch := time.AfterFunc(SilenceTimeout, func() {
		silent.Store(true)
		stop()
	})
	defer watch.Stop()
	err := c.exchange(readCtx, url, m, &connected, func(f *rpc.Frame) bool {
		watch.Reset(SilenceTimeout)
		return s.deliver(ctx, streamEvent{frame: f})
	})
	end := streamEvent{end: endBroken, err: err}
	if silent.Load() || timedOut(err) {
		end.end = endSilent
		// Idle connections over the same network path may be dead as well. An Attach
		// on one of them would lose the attempt.
		c.http.CloseIdleConnections()
	}
	if !connected.Load() {
		end.end = endNotOpened
	}
	s.deliver(ctx, end)
}

// timedOut reports whether the transport timed out, for example while waiting for the
// response header.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// deliver passes an event to the request; false if the stream was closed.
func (s *stream) deliver(ctx context.Context, e streamEvent) bool {
	e.stream = s
	return s.backlog.put(ctx, e)
}

// exchange sends the message and passes each frame to handle until it returns
// false or the stream ends. It always returns an error, also after the last frame.
func (c *Client) exchange(ctx context.Context, url string, m proto.Message, connected *atomic.Bool, handle func(*rpc.Frame) bool) error {
	var body bytes.Buffer
	if err := rpc.WriteMessage(&body, m); err != nil {
		return err
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, &body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("agent answered with HTTP status %d", resp.StatusCode)
	}
	reader := rpc.NewReader(resp.Body)
	controlBytes := 0
	for {
		f := new(rpc.Frame)
		if err := reader.Read(f); err != nil {
			return err
		}
		if controlBytes += rpc.FrameBytes(f); f.GetChunk() != nil {
			controlBytes = 0
		}
		if controlBytes > maxControlBytes {
			return errNoAnswer
		}
		if !handle(f) {
			return context.Canceled
		}
	}
}
