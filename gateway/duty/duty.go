// Package duty performs the calls that the platform wants from one gateway at a time. A
// lease in the store decides which gateway that is (package lease); Holder drives the duties
// of the gateway that holds it. Reporter is the duty to report the usage of client accounts.
package duty

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// CallTimeout bounds a call to the platform, and a write of a duty to the store. The lease
	// must stay valid for longer when the call begins.
	CallTimeout = time.Second
	// candidateCount is how many gateways compete for a lease. Each of them reads its row
	// every second, and calls are charged; three survive the loss of two at once.
	candidateCount = 3
)

// Ledger holds the counts of requests that endpoints began to run. Package usage
// implements it.
type Ledger interface {
	// Totals returns the counts by client account of a window over all sources.
	Totals(window int64) map[string]uint64
	// Complete reports whether every source that counted in the window, or was alive in
	// it, has stated it final.
	Complete(window int64) bool
	// Windows returns the first window that the site counted and the latest one that has
	// begun; ok is false before the first count.
	Windows() (first, latest int64, ok bool)
	// Revision increases with each change of the counts, so that an unchanged ledger is
	// not written again.
	Revision() uint64
	// Encode returns the counts by source as values of rows of at most 48 KiB each.
	Encode() ([][]byte, error)
	// Merge adds the counts of a row that Encode returned; merging twice has no effect.
	Merge(value []byte) error
}

// Rows is the part of the platform's store that keeps the rows of duties. Its errors are
// those of package storage.
type Rows interface {
	// Snapshot returns the rows whose keys start with prefix.
	Snapshot(ctx context.Context, prefix string) ([]storage.Row, time.Duration, error)
	// PutBatch writes rows in one transaction if each still has its given revision.
	PutBatch(ctx context.Context, rows []storage.Row) ([]storage.Row, error)
}

// Client sends reports to the platform. Owner is the name of this gateway and fence the
// fencing token. The errors are storage.ErrUnavailable if the platform did not accept the
// call for now, ErrOutcomeUnknown if it may have, and ErrRejected. The client must call
// CheckWrite directly before it writes the request, and must not let the request arrive
// after ctx ended.
type Client interface {
	Report(ctx context.Context, owner string, fence uint64, window int64, counts map[string]uint64) error
}

type writeCheckKey struct{}

// withWriteCheck returns a context that carries the check of the lease for CheckWrite.
func withWriteCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, writeCheckKey{}, check)
}

// CheckWrite returns an error if a call with the context must not be written any more,
// because the lease could end before the call's time-out. It is called directly before the
// request is written, since establishing a connection takes time.
func CheckWrite(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if check, ok := ctx.Value(writeCheckKey{}).(func() error); ok {
		return check()
	}
	return nil
}

// IsCandidate reports whether the gateway at the address self is one of those that compete
// for the lease: the candidateCount addresses with the lowest hash of lease and address among
// alive and self. Gateways that know others as alive may disagree, since the lease decides.
func IsCandidate(lease, self string, alive []string) bool {
	rank := func(address string) uint64 { return xxhash.Sum64String(lease + "\x00" + address) }
	own, lower := rank(self), 0
	for i, a := range alive {
		if a != self && rank(a) < own && !slices.Contains(alive[:i], a) {
			lower++
		}
	}
	return lower < candidateCount
}
