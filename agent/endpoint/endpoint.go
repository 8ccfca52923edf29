// Package endpoint forwards attempts to the model engine or plain HTTP service
// next to the agent. It is the only package that knows their protocols.
package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/acktimeout"
	"github.com/pistachiowind/pistachiowind/connend"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Emit receives the frames of a running attempt. If it returns an error, the
// attempt is stopped.
type Emit func(*rpc.Frame) error

// Backend runs attempts at the endpoint.
type Backend interface {
	// Run forwards the request and emits its ResponseHead, Chunk and Done
	// frames. A nil result means that the complete response was emitted. The
	// error's execution says whether the endpoint may have run the request.
	Run(ctx context.Context, req *rpc.RunRequest, emit Emit) *resultcode.Error

	// Check performs a health check; nil means that the endpoint is healthy.
	Check(ctx context.Context) error

	// Models lists the ids of the models that the endpoint serves; empty for a
	// plain service.
	Models(ctx context.Context) ([]string, error)

	// Execute forwards an admitted order (load model, unload model, change
	// role) to the endpoint and waits until it has been carried out.
	Execute(ctx context.Context, o *rpc.OrderRequest) error
}

const (
	dialTimeout           = time.Second
	idleConnTimeout       = 30 * time.Second
	maxIdleConnections    = 512
	responseHeaderTimeout = 10 * time.Minute
	healthTimeout         = time.Second
	// maxResponseHeaderBytes bounds the status line and headers of a response;
	// common servers limit theirs to 8 to 64 KiB.
	maxResponseHeaderBytes = 64 << 10

	// ackTimeout ends a connection whose endpoint acknowledges nothing for it while data waits
	// for that; see acktimeout.
	ackTimeout = 5 * time.Second
)

// connTracker records whether a request got a connection to the endpoint.
type connTracker struct {
	connected atomic.Bool
}

func (t *connTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// transportError converts an error of the HTTP client. Only a request that never
// got a connection is certain not to have run.
func (t *connTracker) transportError(err error) *resultcode.Error {
	if !t.connected.Load() {
		return resultcode.Wrap(resultcode.EndpointDown, err, "the endpoint cannot be reached")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return resultcode.Wrap(resultcode.DeadlineExceeded, err, "the endpoint did not answer in time").
			WithExecution(resultcode.Unknown)
	}
	return resultcode.Wrap(resultcode.EndpointFailed, err, "the connection to the endpoint failed").
		WithExecution(resultcode.Unknown)
}

func newTransport(keepAlives bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			guarded, err := acktimeout.Wrap(connend.TellReset(c), ackTimeout)
			if err != nil {
				c.Close()
				return nil, err
			}
			if !keepAlives {
				guarded = connend.RefuseChunksOfHTTP10(guarded)
			}
			return guarded, nil
		},
		MaxIdleConns:          maxIdleConnections,
		MaxIdleConnsPerHost:   maxIdleConnections,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: responseHeaderTimeout,
		DisableKeepAlives:     !keepAlives,
		DisableCompression:    true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// RunFunc is the signature of Backend.Run.
type RunFunc func(ctx context.Context, req *rpc.RunRequest, emit Emit) *resultcode.Error
