// Package endpoint passes attempts on to the model engine or plain service
// beside the agent. It is the only code that knows their protocols.
package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Emit receives the frames of a running attempt. An error stops the attempt.
type Emit func(*rpc.Frame) error

// Backend runs attempts at the endpoint.
type Backend interface {
	// Run passes the request on and emits its ResponseHead, Chunk and Done
	// frames. A nil result means that the whole answer was emitted. The error's
	// execution says whether the endpoint may have run the request.
	Run(ctx context.Context, req *rpc.RunRequest, emit Emit) *resultcode.Error

	// Check asks the endpoint whether it is up.
	Check(ctx context.Context) error

	// Models lists what the endpoint serves; empty for a plain service.
	Models(ctx context.Context) ([]string, error)

	// Execute passes an admitted order on to the endpoint.
	Execute(ctx context.Context, o *rpc.OrderRequest) error
}

const (
	dialTimeout         = time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnections  = 512
	responseHeadTimeout = 10 * time.Minute
	healthTimeout       = time.Second
	// maxHeadBytes bounds the head of an answer; common servers limit theirs to 8 to
	// 64 KiB.
	maxHeadBytes = 64 << 10

	// userTimeout bounds how long sent data may stay unacknowledged before the
	// kernel reports the connection as broken (TCP_USER_TIMEOUT).
	userTimeout = 5 * time.Second
)

// sendState records how far a request got on its way to the endpoint.
type sendState struct {
	connected atomic.Bool
}

func (s *sendState) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// failure turns a transport error into a result. Only a request that never got
// a connection is certain not to have run.
func (s *sendState) failure(err error) *resultcode.Error {
	if !s.connected.Load() {
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
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConns:          maxIdleConnections,
		MaxIdleConnsPerHost:   maxIdleConnections,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: responseHeadTimeout,
		DisableKeepAlives:     !keepAlives,
		DisableCompression:    true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return rpc.SetUserTimeout(c, userTimeout)
}

// RunFunc is the signature of Backend.Run.
type RunFunc func(ctx context.Context, req *rpc.RunRequest, emit Emit) *resultcode.Error
