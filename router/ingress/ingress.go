// Package ingress is the router's server towards callers: the OpenAI-compatible
// routes and the routes of plain services. It authenticates the client account,
// resolves the profile, checks the input and writes answers and refusals.
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
	// RequestIDHeader carries the id that follows a request to the endpoint.
	RequestIDHeader = "X-Request-Id"
	// KeyHeader identifies a request that must not run twice.
	KeyHeader = "Idempotency-Key"

	// DefaultMaxBodyBytes bounds the body of a request.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultBodyTimeout bounds the arrival of a body.
	DefaultBodyTimeout = 10 * time.Second
	// DefaultMaxOpen bounds open requests of one router.
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

// Models lists what the endpoints serve.
type Models interface {
	Models() []string
}

// Observer is told of each request that is dispatched and how it ended.
type Observer interface {
	Begun(req *dispatch.Request)
	Ended(req *dispatch.Request, result *resultcode.Error)
	Refused(result *resultcode.Error)
}

// Options configure a Server. Zero limits take the Default values.
type Options struct {
	Dispatcher Dispatcher
	Catalog    Catalog
	Models     Models
	Observer   Observer

	MaxBodyBytes int64
	BodyTimeout  time.Duration
	MaxOpen      int
}

// Server serves callers.
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

// inbound is a request on its way through the checks.
type inbound struct {
	*dispatch.Request
	// index is the catalog version by which the whole request is resolved.
	index *catalog.Index
}

// admit does what all routes share before the body is read. After success the
// caller ends the request with open.leave.
func (s *Server) admit(c echo.Context) (*inbound, *resultcode.Error) {
	in := &inbound{Request: &dispatch.Request{ID: uuid.NewString(), Received: time.Now()}}
	c.Response().Header().Set(RequestIDHeader, in.ID)
	if err := checkHeaders(c.Request().Header); err != nil {
		return nil, err
	}
	if !utf8.ValidString(c.Request().URL.RawQuery) {
		return nil, resultcode.New(resultcode.InvalidUTF8, "the query is not valid UTF-8")
	}
	if err := s.open.enter(); err != nil {
		return nil, err
	}
	if err := s.authenticate(c, in); err != nil {
		s.open.leave()
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
	account, ok := index.Authenticate(bearer(c.Request().Header))
	if !ok {
		return resultcode.New(resultcode.Unauthenticated, "the Authorization header names no known API key")
	}
	in.index = index
	in.Account = account
	in.CatalogVersion = index.Version()
	return nil
}

// resolveProfile sets the profile that the caller named, or def.
func (in *inbound) resolveProfile(h http.Header, def string) *resultcode.Error {
	name := cmp.Or(h.Get(ProfileHeader), def)
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

// run dispatches the request and reports its end.
func (s *Server) run(c echo.Context, in *inbound, sink dispatch.Sink) *resultcode.Error {
	req := in.Request
	remove, refusal := s.open.place(s.opts.MaxOpen, req.Account.Name, req.Profile)
	if refusal != nil {
		s.opts.Observer.Ended(req, refusal)
		return refusal
	}
	defer remove()
	ctx, cancel := context.WithTimeout(c.Request().Context(), req.Profile.MaxRun())
	defer cancel()
	s.opts.Observer.Begun(req)
	err := s.opts.Dispatcher.Dispatch(ctx, req, sink)
	s.opts.Observer.Ended(req, err)
	return err
}

func (s *Server) models(c echo.Context) error {
	if _, err := s.admit(c); err != nil {
		return s.refuse(c, err)
	}
	defer s.open.leave()
	return c.JSON(http.StatusOK, modelList(s.opts.Models.Models()))
}
