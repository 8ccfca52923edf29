// Package storage defines what the product needs of the services that a site
// already runs: rows under conditions, objects, the VM list and the weight store,
// with errors that say whether a call had an effect. Package platform holds the
// client of the rows and objects. The packages that use a service declare the
// interface that they need; the types here are shared between them.
package storage

import (
	"errors"
	"time"
)

// ErrNotFound means that the row or object does not exist.
var ErrNotFound = errors.New("storage: not found")

// ErrConflict means that a conditional write found another revision than the
// expected one. The write did not take effect.
var ErrConflict = errors.New("storage: revision conflict")

// ErrGone means that the history that a call asked for is no longer kept.
var ErrGone = errors.New("storage: history is gone")

// ErrUnavailable means that the service refused the call or could not be
// reached before the call was sent. A write with this error did not take effect.
var ErrUnavailable = errors.New("storage: service unavailable")

// ErrOutcomeUnknown means that a write was sent and its answer was lost. The
// write may have taken effect, or may still take effect.
var ErrOutcomeUnknown = errors.New("storage: outcome of the write unknown")

// Revision identifies one state of a row or object. The empty revision stands
// for "does not exist" in conditional writes.
type Revision string

// Row is one row of the table service.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
}

// DefaultCallTimeout bounds one call of a platform service.
const DefaultCallTimeout = 2 * time.Second

// MaxValueBytes bounds a row's value; larger writes are refused by the client.
const MaxValueBytes = 400 << 10

// MaxObjectBytes bounds one object; larger writes are refused by the client.
const MaxObjectBytes = 16 << 20

const (
	// MaxListRows bounds one page of a listing.
	MaxListRows = 100
	// MaxDeleteRows bounds one transaction that deletes rows.
	MaxDeleteRows = 25
)
