package ingress

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// refuse answers a request that is refused before it is dispatched, and counts
// it.
func (s *Server) refuse(c echo.Context, err *resultcode.Error) error {
	s.opts.Observer.RequestRefused(err)
	return writeRefusal(c, err)
}

func writeRefusal(c echo.Context, err *resultcode.Error) error {
	h := c.Response().Header()
	h.Set(ExecutionHeader, string(err.EffectiveExecution()))
	if err.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(err.RetryAfter))
	}
	if c.Request().ProtoMajor == 1 && bodyUnread(err.Code) {
		h.Set("Connection", "close")
	}
	return c.JSON(resultcode.Lookup(err.Code).Status, err.Body(h.Get(RequestIDHeader)))
}

// bodyUnread reports whether a part of the body may not have been read yet, so
// that the connection cannot be used again.
func bodyUnread(code resultcode.Code) bool {
	return code == resultcode.BodyTooLarge || code == resultcode.BodyTimeout
}

// retryAfterSeconds rounds up, because the header has whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// routeError answers the requests that echo itself refuses: unknown paths and
// methods.
func (s *Server) routeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	c.Response().Header().Set(RequestIDHeader, uuid.NewString())
	var httpErr *echo.HTTPError
	refusal := resultcode.Wrap(resultcode.Internal, err, "the request could not be handled")
	if errors.As(err, &httpErr) && httpErr.Code < http.StatusInternalServerError {
		refusal = resultcode.New(resultcode.UnknownRoute, "%s %s is not a route of this router", c.Request().Method, c.Request().URL.Path)
	}
	_ = s.refuse(c, refusal)
}
