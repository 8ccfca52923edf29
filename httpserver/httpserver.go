// Package httpserver runs an HTTP server as a supervised service on a listener
// that was opened before, so that a wrong address is an error at start.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	headerTimeout = 10 * time.Second
	// idleTimeout is above the clients' one. At 600 endpoints a router without
	// requests uses a connection once in two minutes, and a new one with mutual
	// TLS costs ten times a probe.
	idleTimeout    = 11 * time.Minute
	maxHeaderBytes = 64 << 10

	// userTimeout bounds how long sent data may stay unacknowledged.
	userTimeout = 5 * time.Second

	// closeTimeout bounds the end of connections after the drain.
	closeTimeout = 2 * time.Second
)

// Server is an HTTP server on an open listener.
type Server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// Listen opens the address. A nil tlsConfig means plain HTTP.
func Listen(name, address string, handler http.Handler, tlsConfig *tls.Config) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return rpc.SetUserTimeout(c, userTimeout)
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s on %s: %w", name, address, err)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return &Server{name: name, listener: listener, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}, nil
}

// LogTo sends the HTTP server's own messages, such as failed TLS handshakes, to a
// logger at debug level: a peer can cause any number of them.
func (s *Server) LogTo(logger zerolog.Logger) {
	s.http.ErrorLog = log.New(&debugWriter{logger: logger}, "", 0)
}

type debugWriter struct{ logger zerolog.Logger }

// Write logs one message.
func (w *debugWriter) Write(p []byte) (int, error) {
	w.logger.Debug().Str("detail", strings.TrimSpace(string(p))).Msg("http server message")
	return len(p), nil
}

// Address returns the listening address with the port that the kernel chose.
func (s *Server) Address() string { return s.listener.Addr().String() }

// String names the service in the supervisor's reports.
func (s *Server) String() string { return "http server " + s.name }

// Serve accepts connections until ctx ends. It then closes the listener, lets
// idle connections end and closes the others after a short time; the owner
// drains its requests before it ends ctx.
func (s *Server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.listener) }()
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		// The listener is closed by now, so a restart could not serve.
		return fmt.Errorf("%w: %w", suture.ErrTerminateSupervisorTree, err)
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if s.http.Shutdown(closing) != nil {
		_ = s.http.Close()
	}
	return ctx.Err()
}

// Close closes the listener of a server that never served.
func (s *Server) Close() error { return s.listener.Close() }
