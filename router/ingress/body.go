package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// timeoutRetryAfter is the Retry-After of a body timeout; it gives a congested
// connection time to recover.
const timeoutRetryAfter = time.Second

// readBody reads the whole body within the limits on its size and time.
func (s *Server) readBody(c echo.Context) ([]byte, *resultcode.Error) {
	r := c.Request()
	if r.ContentLength > s.opts.MaxBodyBytes {
		return nil, bodyTooLarge(s.opts.MaxBodyBytes)
	}
	rc := http.NewResponseController(c.Response().Writer)
	deadline := time.Now().Add(s.opts.BodyTimeout)
	if err := rc.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, resultcode.Wrap(resultcode.Internal, err, "set the body's read deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response().Writer, r.Body, s.opts.MaxBodyBytes))
	if err != nil {
		return nil, s.bodyError(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

func (s *Server) bodyError(err error) *resultcode.Error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return bodyTooLarge(s.opts.MaxBodyBytes)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return resultcode.New(resultcode.BodyTimeout, "the body did not arrive within %s", s.opts.BodyTimeout).
			WithRetryAfter(timeoutRetryAfter)
	}
	return resultcode.Wrap(resultcode.MalformedBody, err, "the body broke off")
}

func bodyTooLarge(limit int64) *resultcode.Error {
	return resultcode.New(resultcode.BodyTooLarge, "the body is larger than %d bytes", limit)
}
