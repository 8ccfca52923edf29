package admin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"golang.org/x/sync/semaphore"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

const (
	// maxBodyBytes leaves room for the fields around the largest catalog.
	maxBodyBytes = catalog.MaxBytes + 4<<10
	// maxOpenRequests limits the authenticated requests that are served concurrently.
	maxOpenRequests = 32

	readTimeout    = 15 * time.Second
	requestTimeout = 30 * time.Second
	// writeTimeout exceeds requestTimeout, so that a timed-out request still gets its
	// error response.
	writeTimeout = 45 * time.Second
)

// Server is the admin API of one process.
type Server struct {
	options     Options
	handler     *echo.Echo
	concurrency *semaphore.Weighted
}

// New returns a Server. The caller serves its Handler, such as with package
// httpserver.
func New(o Options) (*Server, error) {
	if o.Status == nil {
		return nil, errors.New("admin: a status source is required")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{options: o, handler: echo.New(), concurrency: semaphore.NewWeighted(maxOpenRequests)}
	s.handler.HTTPErrorHandler = writeError
	s.handler.Use(middleware.RecoverWithConfig(middleware.RecoverConfig{DisablePrintStack: true, DisableErrorHandler: true}))
	s.handler.Use(setDeadlines)
	s.addPublicRoutes()
	s.addOperatorRoutes()
	return s, nil
}

// Handler returns the HTTP handler of all routes.
func (s *Server) Handler() http.Handler { return s.handler }

// addPublicRoutes adds the routes that need no key.
func (s *Server) addPublicRoutes() {
	s.handler.GET("/healthz", s.health)
	s.handler.GET("/readyz", s.ready)
	if s.options.Metrics != nil {
		s.handler.GET("/metrics", echo.WrapHandler(s.options.Metrics))
	}
}

// addOperatorRoutes adds the routes that need an operator's key.
func (s *Server) addOperatorRoutes() {
	g := s.handler.Group("", requireOperator(s.options.Operators), s.limitConcurrency)
	g.GET("/v1/status", s.status)
	if s.options.Store != nil {
		g.GET("/v1/profiles", s.listProfiles)
		g.GET("/v1/profiles/history", s.history)
		g.GET("/v1/profiles/:name", s.getProfile)
		g.PUT("/v1/profiles/:name", s.putProfile)
		g.GET("/v1/catalog", s.getCatalog)
		g.PUT("/v1/catalog", s.putCatalog)
	}
	if s.options.Burn != nil {
		g.GET("/v1/burn", s.burnSnapshot, middleware.Gzip())
		g.GET("/burn", s.burnPage, middleware.Gzip())
	}
	if s.options.Propagation != nil {
		g.GET("/v1/propagation", s.propagation)
	}
	if s.options.Drain != nil {
		g.POST("/v1/drain", s.drain)
	}
}

// limitConcurrency limits the number of open requests and the duration of each.
func (s *Server) limitConcurrency(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.concurrency.TryAcquire(1) {
			return resultcode.New(resultcode.RouterSaturated, "%d requests are open", maxOpenRequests).
				WithRetryAfter(time.Second)
		}
		defer s.concurrency.Release(1)
		ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

// setDeadlines limits the time for reading the request and writing the response. A
// response writer that does not support deadlines, as in tests, has none.
func setDeadlines(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		control := http.NewResponseController(c.Response().Writer)
		now := time.Now()
		_ = control.SetReadDeadline(now.Add(readTimeout))
		_ = control.SetWriteDeadline(now.Add(writeTimeout))
		return next(c)
	}
}
