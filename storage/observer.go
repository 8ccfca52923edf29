package storage

import (
	"errors"
	"time"
)

// Observer records each call of the table service, the object store or the VM
// list, for example in metrics. Its method must not block.
type Observer interface {
	// Called reports a finished call with one of the outcomes ok, conflict,
	// not_found, unknown, unavailable and rejected, and its duration.
	Called(operation, outcome string, took time.Duration)
}

// Operation is the kind of a call as reported to an Observer.
type Operation string

// Operations of the table service, the object store and the VM list.
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

// outcomeOf returns the outcome label for the error of a call. Any error without
// a label of its own, such as ErrTooLarge, counts as rejected.
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

// WithObserver returns a copy of the client that reports its calls to o.
func (l *VMList) WithObserver(o Observer) *VMList {
	return &VMList{client: l.client.WithObserver(o), onLeftOut: l.onLeftOut}
}
