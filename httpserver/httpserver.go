// Package httpserver runs an HTTP server as a supervised service. The listener is
// opened beforehand, so that an invalid address is an error at startup.
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
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiowind/pistachiowind/acktimeout"
	"github.com/pistachiowind/pistachiowind/connend"
)

const (
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds the time for a whole request, unless its handler sets another
	// deadline for the body. Peers and operators send a few MiB at most. net/http removes the
	// deadline when the body has been read, so that an answer may take longer.
	readTimeout = 30 * time.Second
	// idleTimeout exceeds the idle timeout of the clients. With 600 endpoints an idle
	// router uses each connection once in two minutes, and a new connection with
	// mutual TLS costs ten times as much as a probe.
	idleTimeout    = 11 * time.Minute
	maxHeaderBytes = 64 << 10

	// ackTimeout ends a connection whose client acknowledges nothing for it while data waits
	// for that; see acktimeout. A client that reads slowly does acknowledge.
	ackTimeout = 5 * time.Second

	// shutdownTimeout limits the wait for connections to end after the drain.
	shutdownTimeout = 2 * time.Second
)

// Server is an HTTP server on an open listener.
type Server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// Listen opens a listener on the address and returns a server for the handler. name
// is used in errors and supervisor events. A nil tlsConfig means plain HTTP.
func Listen(name, address string, handler http.Handler, tlsConfig *tls.Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s on %s: %w", name, address, err)
	}
	listener = acktimeout.Listener(listener, ackTimeout)
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return &Server{name: name, listener: listener, http: newHTTPServer(handler)}, nil
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           connend.Handler(handler),
		ConnContext:       connend.WithConn,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// LogTo logs the HTTP server's own messages, such as failed TLS handshakes, at debug
// level, because a peer can cause any number of them. It must be called before
// Serve.
func (s *Server) LogTo(logger zerolog.Logger) {
	s.http.ErrorLog = log.New(&debugLogWriter{logger: logger}, "", 0)
}

type debugLogWriter struct{ logger zerolog.Logger }

// Write logs one message of the HTTP server.
func (w *debugLogWriter) Write(p []byte) (int, error) {
	w.logger.Debug().Str("detail", strings.TrimSpace(string(p))).Msg("http server message")
	return len(p), nil
}

// Address returns the address of the listener, with the actual port if port 0 was
// given.
func (s *Server) Address() string { return s.listener.Addr().String() }

// String returns the name of the service for supervisor events.
func (s *Server) String() string { return "http server " + s.name }

// Serve accepts connections until ctx ends. It then closes the listener and the idle
// connections, and closes the others after shutdownTimeout. The owner drains its
// requests before it ends ctx.
func (s *Server) Serve(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.http.Serve(s.listener) }()
	select {
	case err := <-serveErr:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		// The listener is closed by now, so that a restarted service could not accept
		// connections.
		return fmt.Errorf("%w: %w", suture.ErrTerminateSupervisorTree, err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(shutdownCtx) != nil {
		_ = s.http.Close()
	}
	return ctx.Err()
}

// Close closes the listener of a server whose Serve was never called.
func (s *Server) Close() error { return s.listener.Close() }
