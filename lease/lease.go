// Package lease elects the one process that may issue orders of a kind. The
// lease is a row of the table service with a holder and a fencing number that
// rises with each new holder. Clocks of different processes are never compared:
// the holder counts its time from before it sent a renewal, and others count
// from when they saw the row first.
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
	// TTL is how long a renewal is valid at its holder.
	TTL = 10 * time.Second
	// Margin is added to TTL before another process takes over. It allows for
	// clocks that run at different speeds.
	Margin = 2 * time.Second
	// RenewInterval is the time between renewals. Two of them may fail.
	RenewInterval = 3 * time.Second
	// ObserveInterval is the time between reads of a process that does not hold
	// the lease.
	ObserveInterval = 4 * time.Second

	retryInterval = time.Second
	rowPrefix     = "lease/"
	format        = 1
)

// Placement is the lease whose holder orders models and roles.
const Placement = "placement"

// RowKey returns the row of the lease with this name.
func RowKey(name string) string { return rowPrefix + name }

// Record is the value of a lease's row. The row is never deleted, because the
// fencing number must not start again.
type Record struct {
	Format int `json:"format"`
	// Holder is the incarnation of the holding process; empty after a release.
	Holder string `json:"holder"`
	// Number is the fencing number. It rises with each new holder.
	Number uint64 `json:"number"`
	// Renewal makes each write of a holder different, so that a change of the row
	// proves that the holder was alive.
	Renewal uint64 `json:"renewal"`
}

// Decode reads a row's value; other formats are refused.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode lease: %w", err)
	}
	if r.Format != format {
		return Record{}, fmt.Errorf("decode lease: format %d, want %d", r.Format, format)
	}
	// The next holder adds 1, and the number must not start again at 0.
	if r.Number == math.MaxUint64 {
		return Record{}, errors.New("decode lease: the fencing number cannot rise any more")
	}
	return r, nil
}

// Action is a call of the table to be made now. Each one ends with one call of
// Result.
type Action struct {
	// Write states that Value is to be written over Expected; otherwise the row is
	// read.
	Write    bool
	Value    []byte
	Expected storage.Revision

	record Record
	sent   time.Time
}

// Lease competes for one lease. It is a state machine without I/O; it is not
// safe for concurrent use.
type Lease struct {
	self string

	next time.Time
	open bool
	// The row as last seen, and when this revision was seen first.
	known    bool
	record   Record
	revision storage.Revision
	since    time.Time

	// unclear is a write whose answer was lost.
	unclear *Action
	// validUntil is the end of the own lease; zero while it is not held.
	validUntil time.Time
	number     uint64
	renewal    uint64
	leaving    bool
}

// New returns a Lease for this process's incarnation, which no other process has.
func New(self string) *Lease {
	return &Lease{self: self}
}

// Held returns the fencing number while this process holds the lease. The holder
// calls it directly before each order.
func (l *Lease) Held(now time.Time) (number uint64, ok bool) {
	if l.validUntil.IsZero() || !now.Before(l.validUntil) || l.leaving {
		return 0, false
	}
	return l.number, true
}

// Leave gives the lease up with the next write and competes no more.
func (l *Lease) Leave(now time.Time) {
	l.leaving = true
	l.next = now
}

// Left reports whether this process has left and the row names another holder
// or none.
func (l *Lease) Left() bool {
	return l.leaving && !l.open && l.known && l.unclear == nil && l.record.Holder != l.self
}

// Wake returns when Next is to be called at the latest.
func (l *Lease) Wake() time.Time { return l.next }

// Next returns the call to make now; false if there is none.
func (l *Lease) Next(now time.Time) (Action, bool) {
	if l.open || now.Before(l.next) {
		return Action{}, false
	}
	a := Action{sent: now}
	r, write := l.wanted(now)
	if write {
		r.Format = format
		a.Write, a.record, a.Expected = true, r, l.revision
		// The record consists of strings and numbers and always encodes.
		a.Value, _ = json.Marshal(r)
	}
	if l.leaving && !write && l.known {
		return Action{}, false
	}
	l.open = true
	return a, true
}

// wanted returns the record to write, if one is to be written.
func (l *Lease) wanted(now time.Time) (Record, bool) {
	own := l.known && l.record.Holder == l.self
	switch {
	case !l.known || l.unclear != nil:
		return Record{}, false
	case own && l.leaving:
		return Record{Number: l.record.Number}, true
	case l.leaving:
		return Record{}, false
	case own && l.record.Number == l.number:
		l.renewal++
		return Record{Holder: l.self, Number: l.number, Renewal: l.renewal}, true
	case l.record.Holder == "" || now.Sub(l.since) >= TTL+Margin:
		return Record{Holder: l.self, Number: l.record.Number + 1}, true
	}
	return Record{}, false
}

// Result reports the end of a call. For a read without a row err is
// storage.ErrNotFound.
func (l *Lease) Result(now time.Time, a Action, row storage.Row, err error) {
	l.open = false
	if a.Write {
		l.written(now, a, row, err)
	} else {
		l.read(now, row, err)
	}
}

func (l *Lease) written(now time.Time, a Action, row storage.Row, err error) {
	switch {
	case err == nil:
		l.accept(now, a, row.Revision)
	case errors.Is(err, storage.ErrOutcomeUnknown):
		l.unclear = &a
		l.next = now.Add(retryInterval)
	case errors.Is(err, storage.ErrConflict):
		// Another process has the row, or a late write of this one took effect.
		l.known = false
		l.next = now
	default:
		l.next = now.Add(retryInterval)
	}
}

// accept takes over the effect of an own write. The lease counts from before the
// write was sent, which is not later than any other process saw it.
func (l *Lease) accept(now time.Time, a Action, revision storage.Revision) {
	l.see(now, a.record, revision)
	l.unclear = nil
	l.next = a.sent.Add(RenewInterval)
	if a.record.Holder != l.self {
		l.validUntil = time.Time{}
		return
	}
	l.number = a.record.Number
	l.validUntil = a.sent.Add(TTL)
}

func (l *Lease) read(now time.Time, row storage.Row, err error) {
	if errors.Is(err, storage.ErrNotFound) {
		l.see(now, Record{}, "")
		l.unclear = nil
		l.next = now
		return
	}
	r, decodeErr := Decode(row.Value)
	if err != nil || decodeErr != nil {
		l.next = now.Add(retryInterval)
		return
	}
	if l.unclear != nil && l.unclear.record == r {
		l.accept(now, *l.unclear, row.Revision)
		return
	}
	l.unclear = nil
	l.see(now, r, row.Revision)
	l.next = now.Add(ObserveInterval)
	switch {
	case r.Holder == l.self:
		l.reclaim(now, r)
		return
	case r.Number > l.number:
		l.validUntil = time.Time{}
	}
	if r.Holder == "" {
		l.next = now
	}
}

// reclaim continues an own row whose write was not accepted in time, for example
// because it took effect late. Only a renewal makes the lease valid again.
func (l *Lease) reclaim(now time.Time, r Record) {
	l.number = r.Number
	l.renewal = max(l.renewal, r.Renewal)
	l.next = now
}

func (l *Lease) see(now time.Time, r Record, revision storage.Revision) {
	if !l.known || l.revision != revision {
		l.since = now
	}
	l.known, l.record, l.revision = true, r, revision
}
