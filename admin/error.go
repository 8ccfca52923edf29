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

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of ErrorBody.
type ErrorDetail struct {
	Code         resultcode.Code      `json:"code"`
	Name         string               `json:"name"`
	Message      string               `json:"message"`
	Execution    resultcode.Execution `json:"execution"`
	RetryAfterMS int64                `json:"retry_after_ms,omitempty"`
	Conflict     *Conflict            `json:"conflict,omitempty"`
}

// Conflict describes what came into force since the base version of a change.
type Conflict struct {
	Base    uint64 `json:"base_version"`
	Current uint64 `json:"current_version"`
	By      string `json:"by"`
	// Differences compares what is in force with what the change asks for.
	Differences []catalog.Difference `json:"differences"`
}

// detail converts an error to its JSON form.
func detail(err error) ErrorDetail {
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		err = fromEcho(routing)
	}
	coded := resultcode.As(err)
	d := ErrorDetail{
		Code:         coded.Code,
		Name:         coded.Code.String(),
		Message:      coded.Message,
		Execution:    coded.Verdict(),
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

// fromEcho converts the errors of echo's own routing and middleware.
func fromEcho(e *echo.HTTPError) error {
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
	d := detail(err)
	if d.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(d.RetryAfterMS) / float64(time.Second/time.Millisecond))
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	// A failed write means that the client has gone; nobody is left to tell.
	_ = c.JSON(resultcode.Lookup(d.Code).Status, ErrorBody{d})
}

// err converts a received error back. The conflict is a
// *catalog.ConflictError in its chain.
func (d ErrorDetail) err() error {
	e := &resultcode.Error{
		Code:       d.Code,
		Message:    d.Message,
		Execution:  d.Execution,
		RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond,
	}
	if d.Conflict != nil {
		// The message of the server already contains the text of the cause.
		e.Message = "change refused"
		e.Err = &catalog.ConflictError{
			Base: d.Conflict.Base, Current: d.Conflict.Current,
			By: d.Conflict.By, Differences: d.Conflict.Differences,
		}
	}
	return e
}
