package admin

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the JSON form of an error.
type ErrorDetail struct {
	Code         resultcode.Code      `json:"code"`
	Name         string               `json:"name"`
	Message      string               `json:"message"`
	Execution    resultcode.Execution `json:"execution"`
	RetryAfterMS int64                `json:"retry_after_ms,omitempty"`
	Conflict     *Conflict            `json:"conflict,omitempty"`
}

// Conflict describes the catalog changes since the base version of a refused change.
type Conflict struct {
	Base    uint64 `json:"base_version"`
	Current uint64 `json:"current_version"`
	By      string `json:"by"`
	// Differences are the fields in which the catalog in force and the requested
	// change differ.
	Differences []catalog.Difference `json:"differences"`
}

// newErrorDetail converts an error to its JSON form. An error without a result code
// becomes an internal one.
func newErrorDetail(err error) ErrorDetail {
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		err = fromEchoError(routing)
	}
	coded := resultcode.As(err)
	d := ErrorDetail{
		Code:         coded.Code,
		Name:         coded.Code.String(),
		Message:      coded.Message,
		Execution:    coded.EffectiveExecution(),
		RetryAfterMS: coded.RetryAfter.Milliseconds(),
	}
	if coded.Err != nil {
		d.Message += ": " + coded.Err.Error()
	}
	var conflict *catalog.ConflictError
	if errors.As(err, &conflict) {
		d.Conflict = &Conflict{conflict.Base, conflict.Current, conflict.By, conflict.Differences}
	}
	return d
}

// fromEchoError converts an error of echo's router or middleware.
func fromEchoError(e *echo.HTTPError) error {
	switch e.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return resultcode.New(resultcode.UnknownRoute, "no such path or method")
	}
	return resultcode.Wrap(resultcode.Internal, e, "unexpected error").WithExecution(resultcode.Unknown)
}

// writeError is echo's error handler.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	d := newErrorDetail(err)
	if d.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(d.RetryAfterMS) / float64(time.Second/time.Millisecond))
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	// A failed write means that the client has disconnected and cannot
	// receive the error.
	_ = c.JSON(resultcode.Lookup(d.Code).Status, ErrorBody{d})
}

// toError converts a received error back to a *resultcode.Error. A conflict is a
// *catalog.ConflictError in its chain.
func (d ErrorDetail) toError() error {
	e := &resultcode.Error{
		Code:       d.Code,
		Message:    d.Message,
		Execution:  d.Execution,
		RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond,
	}
	if d.Conflict != nil {
		// The message from the server already contains the text of the cause, which
		// Err would repeat.
		e.Message = "change refused"
		e.Err = &catalog.ConflictError{
			Base: d.Conflict.Base, Current: d.Conflict.Current,
			By: d.Conflict.By, Differences: d.Conflict.Differences,
		}
	}
	return e
}
