package claim

import (
	"errors"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// MaxUnsavedBytes bounds the bodies that wait to be saved. At the bound new
	// claims are refused.
	MaxUnsavedBytes = 32 << 20

	// maxConcurrentSaves bounds the steps that are in flight at a time.
	maxConcurrentSaves = 8

	firstSaveDelay = 250 * time.Millisecond
	maxSaveDelay   = 10 * time.Second
	// maxHeaderBytes bounds the headers that are kept in the row; larger ones could
	// exceed the size limit of a row.
	maxHeaderBytes = 64 << 10

	// maxForeignReads bounds the reads that return the row of another nonce. A
	// stale read can return the row of the previous holder.
	maxForeignReads = 10
)

// SaveStep is one step of saving an outcome.
type SaveStep int

// Steps of saving.
const (
	// SaveObject writes Body to the object store.
	SaveObject SaveStep = iota + 1
	// SaveRow replaces the row of revision Expected by Value.
	SaveRow
	// SaveRead reads the row after a write that conflicted or whose outcome is
	// unknown.
	SaveRead
)

// Save is one step to be performed now. The caller reports its result by one call
// of Result.
type Save struct {
	Step     SaveStep
	Nonce    string
	RowKey   string
	Value    []byte
	Expected storage.Revision
	Object   string
	Body     []byte
}

// Saved describes an outcome that needs no further steps.
type Saved struct {
	Nonce string
	// Row has the key and the final revision of the row; the revision is empty if
	// the row belongs to another nonce.
	Row storage.Row
	// Lost reports that saving was given up.
	Lost bool
	// Object is the key of the body in the object store; empty if there is none.
	Object string
}

// Outbox retries the saving of each outcome until it is written to the table or its
// retention has passed. It is a state machine without I/O: the caller performs the
// steps. It is not safe for concurrent use.
type Outbox struct {
	items map[string]*unsavedOutcome
	// nonces are the keys of items, oldest first.
	nonces    []string
	bodyBytes int
	inFlight  int
}

// unsavedOutcome is an outcome on its way to the table.
type unsavedOutcome struct {
	record   Record
	revision storage.Revision
	body     []byte
	addedAt  time.Time

	step        SaveStep
	inFlight    bool
	nextAttempt time.Time
	retryDelay  time.Duration
	// foreignReads counts the reads that returned the row of another nonce.
	foreignReads int
}

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox {
	return &Outbox{items: make(map[string]*unsavedOutcome)}
}

// Bytes returns the size of the bodies of the unsaved outcomes.
func (o *Outbox) Bytes() int { return o.bodyBytes }

// Len returns the number of unsaved outcomes.
func (o *Outbox) Len() int { return len(o.items) }

// Add adds the record of a nonce whose run has ended; revision is that of its row.
func (o *Outbox) Add(now time.Time, r Record, revision storage.Revision) {
	outcome := *r.Outcome
	r.Outcome = &outcome
	r.State = outcome.finalState()
	u := &unsavedOutcome{record: r, revision: revision, body: outcome.Body, addedAt: now, nextAttempt: now, retryDelay: firstSaveDelay, step: SaveRow}
	if len(outcome.Body) > InlineBytes {
		outcome.Object, outcome.ObjectBytes = objectPrefix+r.Nonce, len(outcome.Body)
		outcome.Body = nil
		u.step = SaveObject
	}
	if len(u.body) > storage.MaxObjectBytes || headerBytes(outcome.Headers) > maxHeaderBytes {
		// No object is written, which a replay reports as an answer that is not
		// retained.
		outcome = Outcome{Execution: outcome.Execution, Status: outcome.Status, Object: objectPrefix + r.Nonce}
		u.body = nil
		u.step = SaveRow
	}
	o.items[r.Nonce] = u
	o.nonces = append(o.nonces, r.Nonce)
	o.bodyBytes += len(u.body)
}

func headerBytes(headers []Header) int {
	n := 0
	for _, h := range headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Next returns the steps to perform now, oldest outcome first.
func (o *Outbox) Next(now time.Time) []Save {
	var saves []Save
	for _, nonce := range o.nonces {
		u := o.items[nonce]
		if o.inFlight == maxConcurrentSaves {
			break
		}
		if u.inFlight || now.Before(u.nextAttempt) {
			continue
		}
		u.inFlight = true
		o.inFlight++
		saves = append(saves, u.nextStep())
	}
	return saves
}

// NextDue returns when the next step that is not in flight is due; false if there is
// none.
func (o *Outbox) NextDue() (time.Time, bool) {
	var wake time.Time
	found := false
	for _, u := range o.items {
		if !u.inFlight && (!found || u.nextAttempt.Before(wake)) {
			wake, found = u.nextAttempt, true
		}
	}
	return wake, found
}

func (u *unsavedOutcome) nextStep() Save {
	s := Save{Step: u.step, Nonce: u.record.Nonce, RowKey: u.record.RowKey()}
	switch u.step {
	case SaveObject:
		s.Object, s.Body = u.record.Outcome.Object, u.body
	case SaveRow:
		// The record consists of strings, numbers and bytes and always encodes.
		s.Value, _ = u.record.Encode()
		s.Expected = u.revision
	}
	return s
}

// Result records the result of a step. It returns a Saved and true when the outcome
// needs no further steps.
func (o *Outbox) Result(now time.Time, s Save, row storage.Row, err error) (Saved, bool) {
	u := o.items[s.Nonce]
	u.inFlight = false
	o.inFlight--
	finished := false
	switch s.Step {
	case SaveObject:
		u.onObjectWritten(now, err)
	case SaveRow:
		finished = u.onRowWritten(now, row, err)
	case SaveRead:
		finished = u.onRowRead(now, row, err)
	}
	if !finished && now.Sub(u.addedAt) < Retention {
		return Saved{}, false
	}
	o.remove(s.Nonce)
	return Saved{
		Nonce:  s.Nonce,
		Row:    storage.Row{Key: s.RowKey, Revision: u.revision},
		Object: u.record.Outcome.Object,
		Lost:   !finished || u.foreignReads == maxForeignReads,
	}, true
}

func (o *Outbox) remove(nonce string) {
	o.bodyBytes -= len(o.items[nonce].body)
	delete(o.items, nonce)
	for i, n := range o.nonces {
		if n == nonce {
			o.nonces = append(o.nonces[:i], o.nonces[i+1:]...)
			return
		}
	}
}

func (u *unsavedOutcome) scheduleRetry(now time.Time) {
	u.nextAttempt = now.Add(u.retryDelay)
	u.retryDelay = min(2*u.retryDelay, maxSaveDelay)
}

func (u *unsavedOutcome) onObjectWritten(now time.Time, err error) {
	if err != nil {
		u.scheduleRetry(now)
		return
	}
	u.step = SaveRow
}

func (u *unsavedOutcome) onRowWritten(now time.Time, row storage.Row, err error) (finished bool) {
	switch {
	case err == nil:
		u.revision = row.Revision
		return true
	case errors.Is(err, storage.ErrConflict), errors.Is(err, storage.ErrOutcomeUnknown):
		u.step = SaveRead
	}
	u.scheduleRetry(now)
	return false
}

// onRowRead handles the read after a write that conflicted or whose outcome is
// unknown. If the row has this nonce and the final state, the outcome is saved; if
// it has this nonce and the state started, it is written again; the row of another
// nonce is not changed.
func (u *unsavedOutcome) onRowRead(now time.Time, row storage.Row, err error) (finished bool) {
	u.scheduleRetry(now)
	if err != nil {
		return false
	}
	r, err := DecodeRecord(row.Value)
	if err != nil || r.Nonce != u.record.Nonce {
		u.foreignReads++
		u.revision = ""
		// Another attempt may have taken over a released key meanwhile; no outcome
		// is lost.
		return u.foreignReads == maxForeignReads || u.record.State == RecordReleased
	}
	u.revision = row.Revision
	u.step = SaveRow
	return r.State == u.record.State
}
