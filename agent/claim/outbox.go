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

	// maxSaves bounds the writes of the outbox that are open at a time.
	maxSaves = 8

	firstSaveDelay = 250 * time.Millisecond
	maxSaveDelay   = 10 * time.Second
	// Larger headers could exceed the bound on a row.
	maxHeaderBytes = 64 << 10

	// foreignTries bounds the reads that show another nonce in the row. A lagging
	// read can show the holder before this one.
	foreignTries = 10
)

// SaveStep is one step of saving an outcome.
type SaveStep int

// Steps of saving.
const (
	// SaveObject writes Body to the object store.
	SaveObject SaveStep = iota + 1
	// SaveRow writes Value over Expected.
	SaveRow
	// SaveRead reads the row after a write with an unclear result.
	SaveRead
)

// Save is one step to be done now. Each one ends with one call of Result.
type Save struct {
	Step     SaveStep
	Nonce    string
	RowKey   string
	Value    []byte
	Expected storage.Revision
	Object   string
	Body     []byte
}

// Saved is an outcome that needs no further steps.
type Saved struct {
	Nonce string
	// Row has the key and the final revision, which is empty if the row belongs to
	// another nonce.
	Row storage.Row
	// Lost states that saving was given up.
	Lost bool
	// Object is the key of the kept body, if any.
	Object string
}

// Outbox saves outcomes in the table until each is written or its retention has
// passed. It is a state machine without I/O; it is not safe for concurrent use.
type Outbox struct {
	items map[string]*unsaved
	order []string
	bytes int
	open  int
}

type unsaved struct {
	record   Record
	revision storage.Revision
	body     []byte
	since    time.Time

	step    SaveStep
	open    bool
	due     time.Time
	delay   time.Duration
	foreign int
}

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox {
	return &Outbox{items: make(map[string]*unsaved)}
}

// Bytes returns the size of the bodies that wait.
func (b *Outbox) Bytes() int { return b.bytes }

// Len returns the number of outcomes that wait.
func (b *Outbox) Len() int { return len(b.items) }

// Add takes the final record of a nonce, whose row has the revision.
func (b *Outbox) Add(now time.Time, r Record, revision storage.Revision) {
	outcome := *r.Outcome
	r.Outcome = &outcome
	r.State = outcome.finalState()
	u := &unsaved{record: r, revision: revision, body: outcome.Body, since: now, due: now, delay: firstSaveDelay, step: SaveRow}
	if len(outcome.Body) > InlineBytes {
		outcome.Object = objectPrefix + r.Nonce
		outcome.Body = nil
		u.step = SaveObject
	}
	if len(u.body) > storage.MaxObjectBytes || headerBytes(outcome.Headers) > maxHeaderBytes {
		// The object stays absent, which a replay reports as not retained.
		outcome = Outcome{Execution: outcome.Execution, Status: outcome.Status, Object: objectPrefix + r.Nonce}
		u.body = nil
		u.step = SaveRow
	}
	b.items[r.Nonce] = u
	b.order = append(b.order, r.Nonce)
	b.bytes += len(u.body)
}

func headerBytes(headers []Header) int {
	n := 0
	for _, h := range headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Next returns the steps to do now, oldest outcome first.
func (b *Outbox) Next(now time.Time) []Save {
	var saves []Save
	for _, nonce := range b.order {
		u := b.items[nonce]
		if b.open == maxSaves {
			break
		}
		if u.open || now.Before(u.due) {
			continue
		}
		u.open = true
		b.open++
		saves = append(saves, u.save())
	}
	return saves
}

// Wake returns when a step that is not open is due next; false without one.
func (b *Outbox) Wake() (time.Time, bool) {
	var wake time.Time
	found := false
	for _, u := range b.items {
		if !u.open && (!found || u.due.Before(wake)) {
			wake, found = u.due, true
		}
	}
	return wake, found
}

func (u *unsaved) save() Save {
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

// Result reports the end of a step. It returns true with a Saved when the
// outcome needs no further steps.
func (b *Outbox) Result(now time.Time, s Save, row storage.Row, err error) (Saved, bool) {
	u := b.items[s.Nonce]
	u.open = false
	b.open--
	finished := false
	switch s.Step {
	case SaveObject:
		u.objectWritten(now, err)
	case SaveRow:
		finished = u.rowWritten(now, row, err)
	case SaveRead:
		finished = u.rowRead(now, row, err)
	}
	if !finished && now.Sub(u.since) < Retention {
		return Saved{}, false
	}
	b.remove(s.Nonce)
	return Saved{
		Nonce:  s.Nonce,
		Row:    storage.Row{Key: s.RowKey, Revision: u.revision},
		Object: u.record.Outcome.Object,
		Lost:   !finished || u.foreign == foreignTries,
	}, true
}

func (b *Outbox) remove(nonce string) {
	b.bytes -= len(b.items[nonce].body)
	delete(b.items, nonce)
	for i, n := range b.order {
		if n == nonce {
			b.order = append(b.order[:i], b.order[i+1:]...)
			return
		}
	}
}

func (u *unsaved) retry(now time.Time) {
	u.due = now.Add(u.delay)
	u.delay = min(2*u.delay, maxSaveDelay)
}

func (u *unsaved) objectWritten(now time.Time, err error) {
	if err != nil {
		u.retry(now)
		return
	}
	u.step = SaveRow
}

func (u *unsaved) rowWritten(now time.Time, row storage.Row, err error) (finished bool) {
	switch {
	case err == nil:
		u.revision = row.Revision
		return true
	case errors.Is(err, storage.ErrConflict), errors.Is(err, storage.ErrOutcomeUnknown):
		u.step = SaveRead
	}
	u.retry(now)
	return false
}

// rowRead decides after an unclear write: an own final row is the result, an own
// started row is written again, and a row of another nonce is left alone.
func (u *unsaved) rowRead(now time.Time, row storage.Row, err error) (finished bool) {
	u.retry(now)
	if err != nil {
		return false
	}
	r, err := DecodeRecord(row.Value)
	if err != nil || r.Nonce != u.record.Nonce {
		u.foreign++
		u.revision = ""
		// A released key may have been taken over meanwhile; nothing is lost.
		return u.foreign == foreignTries || u.record.State == RecordReleased
	}
	u.revision = row.Revision
	u.step = SaveRow
	return r.State == u.record.State
}
