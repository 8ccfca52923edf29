// Package ingress is the router's HTTP server for callers: the OpenAI-compatible
// routes and the routes of plain HTTP services. It authenticates the client
// account, resolves the profile, checks the input and writes answers and
// refusals.
package ingress

import (
	"cmp"
	"context"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
)

const (
	// ProfileHeader names the profile of a request.
	ProfileHeader = "X-Pistachiowind-Profile"
	// ExecutionHeader tells a caller whether its request ran.
	ExecutionHeader = "X-Pistachiowind-Execution"
	// RequestIDHeader carries the request ID, which is also passed on to the
	// endpoint.
	RequestIDHeader = "X-Request-Id"
	// KeyHeader carries the idempotency key of a request that must not run twice.
	KeyHeader = "Idempotency-Key"

	// DefaultMaxBodyBytes limits the size of a request body.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultBodyTimeout limits the time to read a request body.
	DefaultBodyTimeout = 10 * time.Second
	// DefaultMaxOpen limits the number of open requests of one router.
	DefaultMaxOpen = 4096

	maxKeyBytes     = 255
	maxHeaderBytes  = 64 << 10
	headerTimeout   = 10 * time.Second
	keepAliveExpiry = 75 * time.Second
)

// Dispatcher runs a request and writes its answer to the sink. A nil result
// means that the whole answer has been written.
type Dispatcher interface {
	Dispatch(ctx context.Context, req *dispatch.Request, sink dispatch.Sink) *resultcode.Error
}

// Catalog supplies the catalog in force. Confirmed returns an error while the
// version in force cannot be confirmed, for example after a pause.
type Catalog interface {
	Current() *catalog.Index
	Confirmed(ctx context.Context) *resultcode.Error
}

// Models lists the models that the endpoints serve.
type Models interface {
	Models() []string
}

// Observer is notified of requests, for metrics and reports.
type Observer interface {
	// DispatchStarted is called before a request is dispatched.
	DispatchStarted(req *dispatch.Request)
	// RequestEnded is called once for each request that passed the checks of its
	// input: after its dispatch, or without DispatchStarted when a limit on open
	// requests refuses it.
	RequestEnded(req *dispatch.Request, result *resultcode.Error)
	// RequestRefused is called for a request that fails these checks.
	RequestRefused(result *resultcode.Error)
}

// Options configure a Server. Zero limits take the values of the constants
// DefaultMaxBodyBytes, DefaultBodyTimeout and DefaultMaxOpen.
type Options struct {
	Dispatcher Dispatcher
	Catalog    Catalog
	Models     Models
	Observer   Observer

	MaxBodyBytes int64
	BodyTimeout  time.Duration
	MaxOpen      int
}

// Server handles the requests of callers.
type Server struct {
	opts Options
	echo *echo.Echo
	open openRequests
}

// New returns a server; serve its Handler.
func New(opts Options) *Server {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = DefaultBodyTimeout
	}
	if opts.MaxOpen == 0 {
		opts.MaxOpen = DefaultMaxOpen
	}
	s := &Server{opts: opts, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.routeError
	s.echo.POST("/v1/chat/completions", s.chat)
	s.echo.GET("/v1/models", s.models)
	s.echo.Any("/services/:service", s.service)
	s.echo.Any("/services/:service/*", s.service)
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.echo }

// HTTPServer returns a server for Handler with bounds on headers and idle time.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       keepAliveExpiry,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Drain refuses new requests and waits until the open ones have ended or ctx
// ends. It returns how many are still open.
func (s *Server) Drain(ctx context.Context) int {
	return s.open.drain(ctx)
}

// Open returns the number of requests in progress.
func (s *Server) Open() int { return s.open.count() }

// inbound is a request while it is checked and resolved against the catalog.
type inbound struct {
	*dispatch.Request
	// index is the catalog version that is used for the whole request.
	index *catalog.Index
}

// admit makes the checks that all routes share before the body is read. After
// success the caller must call open.end when the request has ended.
func (s *Server) admit(c echo.Context) (*inbound, *resultcode.Error) {
	in := &inbound{Request: &dispatch.Request{ID: uuid.NewString(), Received: time.Now()}}
	c.Response().Header().Set(RequestIDHeader, in.ID)
	if err := checkHeaders(c.Request().Header); err != nil {
		return nil, err
	}
	if !utf8.ValidString(c.Request().URL.RawQuery) {
		return nil, resultcode.New(resultcode.InvalidUTF8, "the query is not valid UTF-8")
	}
	if err := s.open.begin(); err != nil {
		return nil, err
	}
	if err := s.authenticate(c, in); err != nil {
		s.open.end()
		return nil, err
	}
	return in, nil
}

func (s *Server) authenticate(c echo.Context, in *inbound) *resultcode.Error {
	if err := s.opts.Catalog.Confirmed(c.Request().Context()); err != nil {
		return err
	}
	index := s.opts.Catalog.Current()
	if index == nil {
		return resultcode.New(resultcode.NotReady, "no catalog is in force yet").WithRetryAfter(time.Second)
	}
	account, ok := index.Authenticate(bearerToken(c.Request().Header))
	if !ok {
		return resultcode.New(resultcode.Unauthenticated, "the Authorization header names no known API key")
	}
	in.index = index
	in.Account = account
	in.CatalogVersion = index.Version()
	return nil
}

// resolveProfile sets the profile that the caller named, or the one with
// defaultName, and the idempotency key.
func (in *inbound) resolveProfile(h http.Header, defaultName string) *resultcode.Error {
	name := cmp.Or(h.Get(ProfileHeader), defaultName)
	profile, ok := in.index.Profile(name)
	if !ok {
		return resultcode.New(resultcode.UnknownProfile, "profile %q does not exist", name)
	}
	if !in.Account.MayUse(name) {
		return resultcode.New(resultcode.ProfileNotAllowed, "client account %q may not use profile %q", in.Account.Name, name)
	}
	key := h.Get(KeyHeader)
	if len(key) > maxKeyBytes {
		return resultcode.New(resultcode.MalformedBody, "header %s has %d bytes, allowed are %d", KeyHeader, len(key), maxKeyBytes)
	}
	if !profile.Idempotent && key == "" {
		return resultcode.New(resultcode.IdempotencyKeyRequired, "profile %q needs the header %s", name, KeyHeader)
	}
	in.Profile = profile
	in.IdempotencyKey = key
	return nil
}

// run dispatches the request, unless a limit on open requests refuses it, and
// reports its end to the observer.
func (s *Server) run(c echo.Context, in *inbound, sink dispatch.Sink) *resultcode.Error {
	req := in.Request
	release, refusal := s.open.reserve(s.opts.MaxOpen, req.Account.Name, req.Profile)
	if refusal != nil {
		s.opts.Observer.RequestEnded(req, refusal)
		return refusal
	}
	defer release()
	ctx, cancel := context.WithTimeout(c.Request().Context(), req.Profile.MaxRun())
	defer cancel()
	s.opts.Observer.DispatchStarted(req)
	err := s.opts.Dispatcher.Dispatch(ctx, req, sink)
	s.opts.Observer.RequestEnded(req, err)
	return err
}

func (s *Server) models(c echo.Context) error {
	if _, err := s.admit(c); err != nil {
		return s.refuse(c, err)
	}
	defer s.open.end()
	return c.JSON(http.StatusOK, modelList(s.opts.Models.Models()))
}
