// Package storage contains the types and errors shared by the clients of the
// platform services that a site already runs: the table service with conditional
// writes, the object store, the VM list and the model weight store. The errors
// distinguish calls without effect from writes whose outcome is unknown.
//
// The clients of the VM list and the weight store are in this package, those of
// the table service and the object store in package platform. Packages that use
// a service declare the interface that they need.
package storage

import (
	"errors"
	"time"
)

// ErrNotFound means that the row or object does not exist.
var ErrNotFound = errors.New("storage: not found")

// ErrConflict means that the row did not have the revision that a conditional
// write expected. The write did not take effect.
var ErrConflict = errors.New("storage: revision conflict")

// ErrGone means that the service no longer keeps the history that was requested.
var ErrGone = errors.New("storage: history is gone")

// ErrUnavailable means that the service could not be reached, refused the request
// for now, or failed to answer a read. A write that fails with this error did not
// take effect.
var ErrUnavailable = errors.New("storage: service unavailable")

// ErrOutcomeUnknown means that a write was sent but its response was lost or does
// not tell the outcome. The write may have taken effect, or may still do so.
var ErrOutcomeUnknown = errors.New("storage: outcome of the write unknown")

// Revision identifies one state of a row. In a conditional write the empty
// revision means that the row must not exist.
type Revision string

// Row is one row of the table service.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
	// Era is the era of the store that the response stated: how often the store was restored
	// from an older copy. It is zero if none was stated, and ignored in writes.
	Era uint64
}

// DefaultCallTimeout is the default timeout of a call of a platform service.
const DefaultCallTimeout = 2 * time.Second

// MaxValueBytes is the largest value of a row. The client refuses larger writes.
const MaxValueBytes = 400 << 10

// MaxObjectBytes is the largest object. The client refuses larger writes.
const MaxObjectBytes = 16 << 20

const (
	// MaxListRows is the largest number of rows in one page of a listing.
	MaxListRows = 100
	// MaxDeleteRows is the largest number of rows that one transaction deletes.
	MaxDeleteRows = 25
	// MaxPutRows is the largest number of rows that one transaction writes, and
	// MaxPutBytes the largest sum of their values: base64 makes a third more of them, and
	// the body of a transaction is at most 1 MB.
	MaxPutRows  = 40
	MaxPutBytes = 700_000
)
