package rpc

import (
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// ExecutionOf converts an execution verdict to its message form.
func ExecutionOf(x resultcode.Execution) Execution {
	switch x {
	case resultcode.NotRun:
		return Execution_EXECUTION_NOT_RUN
	case resultcode.Ran:
		return Execution_EXECUTION_RAN
	}
	return Execution_EXECUTION_UNKNOWN
}

// Verdict converts the message form of an execution verdict. An unspecified one
// is Unknown, because a missing field proves nothing.
func (x Execution) Verdict() resultcode.Execution {
	switch x {
	case Execution_EXECUTION_NOT_RUN:
		return resultcode.NotRun
	case Execution_EXECUTION_RAN:
		return resultcode.Ran
	}
	return resultcode.Unknown
}

// Err converts a refusal to an error.
func (r *Refused) Err() *resultcode.Error {
	return &resultcode.Error{
		Code:       resultcode.Code(r.GetCode()),
		Message:    r.GetMessage(),
		Execution:  r.GetExecution().Verdict(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}
