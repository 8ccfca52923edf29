package resultcode

import (
	"errors"
	"fmt"
	"time"
)

// Execution states what is known about whether a request ran.
type Execution string

const (
	// NotRun guarantees that the request has not run and that no attempt of it will.
	NotRun Execution = "not_run"
	// Ran means that the request ran to completion exactly once.
	Ran Execution = "ran"
	// Unknown means that the request may have run.
	Unknown Execution = "unknown"
)

// Error is an error with a result code and the execution state of the request.
type Error struct {
	Code Code
	// Message names the field, value or component at fault.
	Message string
	// Execution is the execution state that the caller may rely on. Empty means
	// NotRun.
	Execution Execution
	// RetryAfter is the time after which a retry may succeed; zero means unknown.
	RetryAfter time.Duration
	// Err is the cause, if any.
	Err error
}

// New returns an Error with the execution state NotRun.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Execution: NotRun}
}

// Wrap returns an Error with the execution state NotRun and the cause err.
func Wrap(code Code, err error, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Err = err
	return e
}

// WithExecution returns a copy of e with the execution state x.
func (e *Error) WithExecution(x Execution) *Error {
	c := *e
	c.Execution = x
	return &c
}

// WithRetryAfter returns a copy of e with the retry delay d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// EffectiveExecution returns the execution state, or NotRun if it is unset.
func (e *Error) EffectiveExecution() Execution {
	if e.Execution == "" {
		return NotRun
	}
	return e.Execution
}

// Detail returns the message and the cause without the code.
func (e *Error) Detail() string {
	if e.Err == nil {
		return e.Message
	}
	return e.Message + ": " + e.Err.Error()
}

// Error returns the code's number and name, the message and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", uint32(e.Code), e.Code, e.Detail())
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// As returns the Error in err's chain. Any other error becomes the cause of an
// Internal Error with the execution state Unknown, because nothing is known about
// it.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Message: "unexpected error", Execution: Unknown, Err: err}
}
