package rpc

import (
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// ExecutionOf converts an execution state to its protobuf value.
func ExecutionOf(x resultcode.Execution) Execution {
	switch x {
	case resultcode.NotRun:
		return Execution_EXECUTION_NOT_RUN
	case resultcode.Ran:
		return Execution_EXECUTION_RAN
	}
	return Execution_EXECUTION_UNKNOWN
}

// ToResultcode converts the protobuf value to an execution state. An unspecified value is
// Unknown, because a missing field proves nothing.
func (x Execution) ToResultcode() resultcode.Execution {
	switch x {
	case Execution_EXECUTION_NOT_RUN:
		return resultcode.NotRun
	case Execution_EXECUTION_RAN:
		return resultcode.Ran
	}
	return resultcode.Unknown
}

// Err converts the Refused message to an error.
func (r *Refused) Err() *resultcode.Error {
	return &resultcode.Error{
		Code:       resultcode.Code(r.GetCode()),
		Message:    r.GetMessage(),
		Execution:  r.GetExecution().ToResultcode(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}
