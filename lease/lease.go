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
	// ClockDriftMargin is added to TTL before another process takes over, because the clocks
	// of two processes may run at different rates.
	ClockDriftMargin = 2 * time.Second
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

// Placement is the name of the lease whose holder sends the orders to load models
// and to change roles.
const Placement = "placement"

// Times holds the periods of an election. A zero field has the value of the constant of
// the same meaning.
type Times struct {
	// TTL is the time for which a renewal is valid, and Margin what other processes wait in
	// addition, because two clocks may run at different rates.
	TTL, Margin time.Duration
	// Renew and Observe are the times between two renewals, and between two reads of a
	// process that does not hold the lease. Retry is the pause after a failed call.
	Renew, Observe, Retry time.Duration
	// CoolDown makes a process wait for TTL plus Margin before it competes: after its start,
	// after the end of the last lease that it held, and after it sees a new era of the store.
	// Holders then never act in the order A, B, A within TTL, also if A restarts in between,
	// and the restored copy of an earlier row is not taken over from a holder that is alive.
	CoolDown bool
}

func (t Times) withDefaults() Times {
	set := func(d *time.Duration, otherwise time.Duration) {
		if *d == 0 {
			*d = otherwise
		}
	}
	set(&t.TTL, TTL)
	set(&t.Margin, ClockDriftMargin)
	set(&t.Renew, RenewInterval)
	set(&t.Observe, ObserveInterval)
	set(&t.Retry, retryInterval)
	return t
}

// takeoverWait is how long a revision must stay unchanged until another process takes over.
func (t Times) takeoverWait() time.Duration { return t.TTL + t.Margin }

// RowKey returns the key of the row of the lease called name.
func RowKey(name string) string { return rowPrefix + name }

// Record is the value of a lease row. The row is never deleted, because the
// fencing number must not start again from the beginning.
type Record struct {
	Format int `json:"format"`
	// Holder is the incarnation of the process that holds the lease; empty after a
	// release.
	Holder string `json:"holder"`
	// Number is the fencing number. It increases by one with each new holder; the
	// first holder has number 1.
	Number uint64 `json:"number"`
	// Renewal counts the renewals of a holder. It makes each write different, so
	// that a changed row proves that the holder was alive.
	Renewal uint64 `json:"renewal"`
}

// Decode decodes the value of a lease row. It refuses unknown formats and a fencing
// number that cannot be increased any more.
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

// Election is the state of one process in the election for one lease. It is a state
// machine without I/O: the caller makes the table calls, passes in the results and
// the time, and serializes all method calls.
type Election struct {
	self  string
	times Times
	// era is the latest era of the store that a response stated, and heldEra the one in which
	// the lease of this process was last confirmed.
	era, heldEra uint64
	// eligibleAt is when the process may compete; zero before the first call and without
	// Times.CoolDown.
	started    bool
	eligibleAt time.Time
	// eraSettledAt is when no lease of an earlier era can be valid any more. observedAt is
	// when the row was last read or written.
	eraSettledAt, observedAt time.Time

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

// NewElection returns the state of a process that has not read the row yet; the read is
// due at once. The argument self is the incarnation of the process and must be unique.
func NewElection(self string) *Election { return NewElectionWith(self, Times{}) }

// NewElectionWith is NewElection with other times.
func NewElectionWith(self string, t Times) *Election {
	return &Election{self: self, times: t.withDefaults()}
}

// coolDownFrom makes the process wait for TTL plus the margin from a time until it competes.
func (e *Election) coolDownFrom(t time.Time) {
	if at := t.Add(e.times.takeoverWait()); e.times.CoolDown && at.After(e.eligibleAt) {
		e.eligibleAt = at
	}
}

// observeEra records the era that a response states. In a restored store the row may be an
// earlier one than that of a lease that is still valid, so nobody takes over before that
// lease has ended.
func (e *Election) observeEra(now time.Time, era uint64) {
	if era <= e.era {
		return
	}
	e.era = era
	e.firstSeen = now
	e.coolDownFrom(now)
	e.eraSettledAt = now.Add(e.times.takeoverWait())
}

// mustWaitToResume reports whether a lapsed lease of this process cannot be renewed yet. After
// a restore the row may name this process although another one took over in the earlier era.
func (e *Election) mustWaitToResume(now time.Time) bool {
	return e.times.CoolDown && !now.Before(e.validUntil) && now.Before(e.eraSettledAt)
}

// mustReadToResume reports whether the row of a lapsed lease is to be read before it is
// renewed. A restored store gives out version numbers again, so that a revision known for long
// could match a row that another process wrote.
func (e *Election) mustReadToResume(now time.Time) bool {
	return e.times.CoolDown && !now.Before(e.validUntil) && now.Sub(e.observedAt) >= e.times.Retry
}

// Lease is a lease that a process holds.
type Lease struct {
	// Number is the fencing number, and Era the era of the store in which it was confirmed.
	Number, Era uint64
	// ValidUntil is when the lease ends without a renewal.
	ValidUntil time.Time
}

// Current returns the lease and true while this process holds it.
func (e *Election) Current(now time.Time) (Lease, bool) {
	number, ok := e.Held(now)
	if !ok {
		return Lease{}, false
	}
	return Lease{Number: number, Era: e.heldEra, ValidUntil: e.validUntil}, true
}

// ownsRow reports whether the row is known to name this process, or may do so after a write
// with unknown outcome.
func (e *Election) ownsRow() bool {
	return e.unconfirmedWrite != nil || e.rowKnown && e.record.Holder == e.self
}

// Held returns the fencing number and true while this process holds the lease, and
// otherwise 0 and false. The holder must call it directly before it sends an order.
func (e *Election) Held(now time.Time) (number uint64, ok bool) {
	if e.validUntil.IsZero() || !now.Before(e.validUntil) || e.resigning {
		return 0, false
	}
	return e.number, true
}

// Resign gives up the lease with the next write and stops competing for it.
func (e *Election) Resign(now time.Time) {
	e.resigning = true
	e.nextCallAt = now
}

// Resigned reports whether this process has resigned and the row is known to name
// another holder or none.
func (e *Election) Resigned() bool {
	return e.resigning && !e.callPending && e.rowKnown && e.unconfirmedWrite == nil && e.record.Holder != e.self
}

// NextAt returns the time by which Next has to be called again.
func (e *Election) NextAt() time.Time { return e.nextCallAt }

// Next returns the table call to make now. It returns false if none is due or one
// is still pending.
func (e *Election) Next(now time.Time) (Action, bool) {
	if e.callPending || now.Before(e.nextCallAt) {
		return Action{}, false
	}
	if !e.started {
		e.started = true
		e.coolDownFrom(now)
	}
	a := Action{sent: now}
	r, write := e.recordToWrite(now)
	if write {
		r.Format = recordFormat
		a.Write, a.record, a.Expected = true, r, e.revision
		// Encoding cannot fail: the record contains only strings and integers.
		a.Value, _ = json.Marshal(r)
	}
	if e.resigning && !write && e.rowKnown {
		return Action{}, false
	}
	e.callPending = true
	return a, true
}

// recordToWrite returns the record to write now, or false if there is nothing to
// write and the row is to be read instead.
func (e *Election) recordToWrite(now time.Time) (Record, bool) {
	own := e.rowKnown && e.record.Holder == e.self
	switch {
	case !e.rowKnown || e.unconfirmedWrite != nil:
		return Record{}, false
	case own && e.resigning:
		return Record{Number: e.record.Number}, true
	case e.resigning:
		return Record{}, false
	case own && (e.mustReadToResume(now) || e.mustWaitToResume(now)):
		return Record{}, false
	case own && e.record.Number == e.number:
		e.renewal++
		return Record{Holder: e.self, Number: e.number, Renewal: e.renewal}, true
	case now.Before(e.eligibleAt):
		return Record{}, false
	case e.record.Holder == "" || now.Sub(e.firstSeen) >= e.times.takeoverWait():
		return Record{Holder: e.self, Number: e.record.Number + 1}, true
	}
	return Record{}, false
}

// HandleResult takes the outcome of an action. If the row does not exist, the err of a
// read is storage.ErrNotFound. The err of a write is storage.ErrConflict if the row did
// not have the expected revision, and storage.ErrOutcomeUnknown if the write may have
// taken effect; after any other error it has not.
func (e *Election) HandleResult(now time.Time, a Action, row storage.Row, err error) {
	e.callPending = false
	e.observeEra(now, row.Era)
	if a.Write {
		e.handleWrite(now, a, row, err)
	} else {
		e.handleRead(now, row, err)
	}
}

func (e *Election) handleWrite(now time.Time, a Action, row storage.Row, err error) {
	switch {
	case err == nil:
		e.confirmWrite(now, a, row.Revision)
	case errors.Is(err, storage.ErrOutcomeUnknown):
		e.unconfirmedWrite = &a
		e.nextCallAt = now.Add(e.times.Retry)
	case errors.Is(err, storage.ErrConflict):
		// Another process wrote the row, or an earlier write of this process took
		// effect late.
		e.rowKnown = false
		e.nextCallAt = now
	default:
		e.nextCallAt = now.Add(e.times.Retry)
	}
}

// confirmWrite applies a write of this process that is known to have taken effect.
// The validity counts from before the write was sent. No other process can have
// seen the write earlier, so none takes over before this lease expires.
func (e *Election) confirmWrite(now time.Time, a Action, revision storage.Revision) {
	e.observe(now, a.record, revision)
	e.unconfirmedWrite = nil
	e.nextCallAt = a.sent.Add(e.times.Renew)
	if a.record.Holder != e.self {
		e.validUntil = time.Time{}
		return
	}
	e.number = a.record.Number
	if e.mustWaitToResume(now) {
		// The write took effect in a restored store, where the condition may have met the
		// copy of a row that another process had replaced since.
		e.validUntil = time.Time{}
		e.nextCallAt = now.Add(e.times.Observe)
		return
	}
	e.heldEra = e.era
	e.validUntil = a.sent.Add(e.times.TTL)
	e.coolDownFrom(e.validUntil)
}

func (e *Election) handleRead(now time.Time, row storage.Row, err error) {
	if errors.Is(err, storage.ErrNotFound) {
		e.observe(now, Record{}, "")
		e.unconfirmedWrite = nil
		e.nextCallAt = e.nextCompetition(now)
		return
	}
	r, decodeErr := Decode(row.Value)
	if err != nil || decodeErr != nil {
		e.nextCallAt = now.Add(e.times.Retry)
		return
	}
	if e.unconfirmedWrite != nil && e.unconfirmedWrite.record == r {
		e.confirmWrite(now, *e.unconfirmedWrite, row.Revision)
		return
	}
	e.unconfirmedWrite = nil
	e.observe(now, r, row.Revision)
	e.nextCallAt = now.Add(e.times.Observe)
	switch {
	case r.Holder == e.self:
		e.resumeOwnRow(now, r)
		return
	case r.Number > e.number:
		e.validUntil = time.Time{}
	}
	if r.Holder == "" {
		e.nextCallAt = e.nextCompetition(now)
	}
}

// nextCompetition returns when a process that finds the lease free calls next.
func (e *Election) nextCompetition(now time.Time) time.Time {
	at := now
	if e.eligibleAt.After(now) {
		at = e.eligibleAt
	}
	if latest := now.Add(e.times.Observe); at.After(latest) {
		at = latest
	}
	return at
}

// resumeOwnRow continues from a row that names this process but whose write was not
// confirmed in time, for example because it took effect late. Only the next
// renewal makes the lease valid again.
func (e *Election) resumeOwnRow(now time.Time, r Record) {
	e.number = r.Number
	e.renewal = max(e.renewal, r.Renewal)
	e.nextCallAt = now
	if e.mustWaitToResume(now) {
		e.nextCallAt = now.Add(e.times.Observe)
	}
}

// observe stores the row as last seen. A revision that is seen again keeps the time
// at which it was first seen.
func (e *Election) observe(now time.Time, r Record, revision storage.Revision) {
	if !e.rowKnown || e.revision != revision {
		e.firstSeen = now
	}
	e.rowKnown, e.record, e.revision, e.observedAt = true, r, revision, now
}
