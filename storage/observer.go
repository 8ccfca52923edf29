package storage

import (
	"errors"
	"time"
)

// Observer is told of each call of a table, an object store or a VM list. Its
// method must not block.
type Observer interface {
	Called(operation, outcome string, took time.Duration)
}

// Operation names a kind of call to an Observer.
type Operation string

// Operations.
const (
	OpTableGet     Operation = "table_get"
	OpTablePut     Operation = "table_put"
	OpTableList    Operation = "table_list"
	OpTableDelete  Operation = "table_delete"
	OpObjectGet    Operation = "object_get"
	OpObjectPut    Operation = "object_put"
	OpObjectDelete Operation = "object_delete"
	OpVMList       Operation = "vm_list"
)

// outcomeOf names the result of a call. An outcome that is none of the expected
// ones, such as an answer above its bound, is rejected.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrOutcomeUnknown):
		return "unknown"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	}
	return "rejected"
}

// Observed returns a client of the same list that reports its calls to o.
func (l *VMList) Observed(o Observer) *VMList {
	return &VMList{caller: l.caller.Observed(o)}
}
