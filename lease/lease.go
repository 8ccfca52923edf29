// Package lease elects the one process that may issue a kind of order, such as
// the placement of models. A lease is a row of the table service that names its
// holder and a fencing number, which increases with each new holder.
//
// The clocks of different processes are never compared. The holder counts the
// validity of the lease from before it sent a renewal. The other processes count
// from when they first read a revision of the row, which is never earlier.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// TTL is the time for which a renewal is valid at the holder.
	TTL = 10 * time.Second
	// Margin is added to TTL before another process takes over, because the clocks
	// of two processes may run at different rates.
	Margin = 2 * time.Second
	// RenewInterval is the time between renewals. Two renewals in a row may fail
	// within TTL.
	RenewInterval = 3 * time.Second
	// ObserveInterval is the time between reads of the row by a process that does
	// not hold the lease.
	ObserveInterval = 4 * time.Second

	// retryInterval is the pause after a failed call.
	retryInterval = time.Second
	rowPrefix     = "lease/"
	recordFormat  = 1
)

// Placement is the name of the lease whose holder orders which models and roles
// endpoints take.
const Placement = "placement"

// RowKey returns the key of the row of the lease called name.
func RowKey(name string) string { return rowPrefix + name }

// Record is the value of a lease row. The row is never deleted, because the
// fencing number must not start again from the beginning.
type Record struct {
	Format int `json:"format"`
	// Holder is the incarnation of the process that holds the lease; empty after a
	// release.
	Holder string `json:"holder"`
	// Number is the fencing number. It increases by one with each new holder.
	Number uint64 `json:"number"`
	// Renewal counts the renewals of a holder. It makes each write different, so
	// that a changed row proves that the holder was alive.
	Renewal uint64 `json:"renewal"`
}

// Decode decodes the value of a lease row. It refuses unknown formats.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode lease: %w", err)
	}
	if r.Format != recordFormat {
		return Record{}, fmt.Errorf("decode lease: format %d, want %d", r.Format, recordFormat)
	}
	// The next holder adds 1; an overflow would start again at 0.
	if r.Number == math.MaxUint64 {
		return Record{}, errors.New("decode lease: fencing number has reached its maximum")
	}
	return r, nil
}

// Action is a table call that the caller has to make now. Its outcome must be
// passed back to the state machine exactly once.
type Action struct {
	// Write selects a conditional write of Value over the revision Expected;
	// otherwise the row is read.
	Write    bool
	Value    []byte
	Expected storage.Revision

	record Record
	// sent is when the action was issued, not later than the call was sent.
	sent time.Time
}

// Lease is the state of one process in the election for one lease. It is a state
// machine without I/O: the caller makes the table calls, passes in the results and
// the time, and serializes all method calls.
type Lease struct {
	self string

	nextCallAt time.Time
	// callPending is true between the issue of an Action and its result.
	callPending bool
	// The row as last read or written, and when its revision was first seen.
	rowKnown  bool
	record    Record
	revision  storage.Revision
	firstSeen time.Time

	// unconfirmedWrite is a write whose response was lost; nil if there is none.
	unconfirmedWrite *Action
	// validUntil is when this process's lease expires; zero if it holds none.
	validUntil time.Time
	number     uint64
	renewal    uint64
	resigning  bool
}

// New returns the state of a process that has not read the row yet. The argument
// self is the incarnation of the process and must be unique.
func New(self string) *Lease {
	return &Lease{self: self}
}

// Held returns the fencing number and true while this process holds the lease. The
// holder must call it directly before it sends an order.
func (l *Lease) Held(now time.Time) (number uint64, ok bool) {
	if l.validUntil.IsZero() || !now.Before(l.validUntil) || l.resigning {
		return 0, false
	}
	return l.number, true
}

// Leave gives up the lease with the next write and stops competing for it.
func (l *Lease) Leave(now time.Time) {
	l.resigning = true
	l.nextCallAt = now
}

// Left reports whether this process has resigned and the row is known to name
// another holder or none.
func (l *Lease) Left() bool {
	return l.resigning && !l.callPending && l.rowKnown && l.unconfirmedWrite == nil && l.record.Holder != l.self
}

// Wake returns the time by which Next has to be called again.
func (l *Lease) Wake() time.Time { return l.nextCallAt }

// Next returns the table call to make now. It returns false if none is due or one
// is still pending.
func (l *Lease) Next(now time.Time) (Action, bool) {
	if l.callPending || now.Before(l.nextCallAt) {
		return Action{}, false
	}
	a := Action{sent: now}
	r, write := l.recordToWrite(now)
	if write {
		r.Format = recordFormat
		a.Write, a.record, a.Expected = true, r, l.revision
		// Encoding cannot fail: the record contains only strings and integers.
		a.Value, _ = json.Marshal(r)
	}
	if l.resigning && !write && l.rowKnown {
		return Action{}, false
	}
	l.callPending = true
	return a, true
}

// recordToWrite returns the record to write now, or false if there is nothing to
// write and the row is to be read instead.
func (l *Lease) recordToWrite(now time.Time) (Record, bool) {
	own := l.rowKnown && l.record.Holder == l.self
	switch {
	case !l.rowKnown || l.unconfirmedWrite != nil:
		return Record{}, false
	case own && l.resigning:
		return Record{Number: l.record.Number}, true
	case l.resigning:
		return Record{}, false
	case own && l.record.Number == l.number:
		l.renewal++
		return Record{Holder: l.self, Number: l.number, Renewal: l.renewal}, true
	case l.record.Holder == "" || now.Sub(l.firstSeen) >= TTL+Margin:
		return Record{Holder: l.self, Number: l.record.Number + 1}, true
	}
	return Record{}, false
}

// Result takes the outcome of an action. If the row does not exist, the err of a
// read is storage.ErrNotFound.
func (l *Lease) Result(now time.Time, a Action, row storage.Row, err error) {
	l.callPending = false
	if a.Write {
		l.handleWrite(now, a, row, err)
	} else {
		l.handleRead(now, row, err)
	}
}

func (l *Lease) handleWrite(now time.Time, a Action, row storage.Row, err error) {
	switch {
	case err == nil:
		l.confirmWrite(now, a, row.Revision)
	case errors.Is(err, storage.ErrOutcomeUnknown):
		l.unconfirmedWrite = &a
		l.nextCallAt = now.Add(retryInterval)
	case errors.Is(err, storage.ErrConflict):
		// Another process wrote the row, or an earlier write of this process took
		// effect late.
		l.rowKnown = false
		l.nextCallAt = now
	default:
		l.nextCallAt = now.Add(retryInterval)
	}
}

// confirmWrite applies a write of this process that is known to have taken effect.
// The validity counts from before the write was sent. No other process can have
// seen the write earlier, so none takes over before this lease expires.
func (l *Lease) confirmWrite(now time.Time, a Action, revision storage.Revision) {
	l.observe(now, a.record, revision)
	l.unconfirmedWrite = nil
	l.nextCallAt = a.sent.Add(RenewInterval)
	if a.record.Holder != l.self {
		l.validUntil = time.Time{}
		return
	}
	l.number = a.record.Number
	l.validUntil = a.sent.Add(TTL)
}

func (l *Lease) handleRead(now time.Time, row storage.Row, err error) {
	if errors.Is(err, storage.ErrNotFound) {
		l.observe(now, Record{}, "")
		l.unconfirmedWrite = nil
		l.nextCallAt = now
		return
	}
	r, decodeErr := Decode(row.Value)
	if err != nil || decodeErr != nil {
		l.nextCallAt = now.Add(retryInterval)
		return
	}
	if l.unconfirmedWrite != nil && l.unconfirmedWrite.record == r {
		l.confirmWrite(now, *l.unconfirmedWrite, row.Revision)
		return
	}
	l.unconfirmedWrite = nil
	l.observe(now, r, row.Revision)
	l.nextCallAt = now.Add(ObserveInterval)
	switch {
	case r.Holder == l.self:
		l.resumeOwnRow(now, r)
		return
	case r.Number > l.number:
		l.validUntil = time.Time{}
	}
	if r.Holder == "" {
		l.nextCallAt = now
	}
}

// resumeOwnRow continues from a row that names this process but whose write was not
// confirmed in time, for example because it took effect late. Only the next
// renewal makes the lease valid again.
func (l *Lease) resumeOwnRow(now time.Time, r Record) {
	l.number = r.Number
	l.renewal = max(l.renewal, r.Renewal)
	l.nextCallAt = now
}

// observe stores the row as last seen. A revision that is seen again keeps the time
// at which it was first seen.
func (l *Lease) observe(now time.Time, r Record, revision storage.Revision) {
	if !l.rowKnown || l.revision != revision {
		l.firstSeen = now
	}
	l.rowKnown, l.record, l.revision = true, r, revision
}
