package duty

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// completeWait is the fraction of the report delay for which a window may wait for the
	// counts of all sources. The rest is for a takeover of the lease and for retries.
	completeWait = 0.4
	// lateWindows is the age in windows up to which a window that was not recorded in time is
	// still recorded.
	lateWindows = 4
	// checkpointInterval is the least time between two checkpoints. If all gateways are killed
	// at once, the counts since the last one are lost: 0.05 of a window of 5 s.
	checkpointInterval = 250 * time.Millisecond
	// minBackoff is the pause after a first failed call; it doubles with each further failure
	// up to maxBackoffShare of the report delay, and is drawn from half of it to all of it.
	minBackoff      = 200 * time.Millisecond
	maxBackoffShare = 0.1
	// maxRecordBytes bounds the values that are written with one or several new records.
	maxRecordBytes = storage.MaxPutBytes - 100_000
)

// StepKind is the kind of a Step.
type StepKind int

// Kinds of steps: none is due; read the rows with the prefix of Step; write its rows; send
// its report.
const (
	StepNone StepKind = iota
	StepLoad
	StepWrite
	StepSend
)

// Step is a call that a Reporter requests. Its outcome is passed to Handle exactly once.
type Step struct {
	Kind   StepKind
	Prefix string
	Rows   []storage.Row
	Window int64
	Counts map[string]uint64

	slots      map[int]slot
	era        *eraRecord
	checkpoint bool
	ledgerAt   uint64
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventLoaded     EventKind = "loaded"
	EventRecorded   EventKind = "recorded"
	EventSent       EventKind = "sent"
	EventSendFailed EventKind = "send_failed"
	EventRowsFailed EventKind = "rows_failed"
	EventUnreadable EventKind = "unreadable"
	EventDropped    EventKind = "dropped"
	EventTooLarge   EventKind = "too_large"
)

// Event is a change that is logged and counted. Window and Counts are set for events that
// concern a report.
type Event struct {
	Kind   EventKind
	Window int64
	Counts map[string]uint64
	Err    error
}

// Moment is what a Reporter knows of time: Now is a Clock's time, True the estimate of true
// time, and Era the latest known era of the store.
type Moment struct {
	Now, True time.Time
	Era       uint64
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Ledger Ledger
	// Window is the length of a usage window, and Delay the time after its end by which its
	// report is due.
	Window, Delay time.Duration
	// CallsPerSecond is the rate of calls that the platform accepts.
	CallsPerSecond float64
	Rand           *rand.Rand
	// OnEvent is called with each event.
	OnEvent func(Event)
}

// Reporter decides which windows are recorded in the store and sent to the platform. It is a
// state machine without I/O and not safe for concurrent use.
//
// The counts of a window are first written to a row with a conditional write, and only counts
// that are known to be stored are sent. All holders therefore send the same counts.
type Reporter struct {
	options ReporterOptions
	// loaded states that the rows were read since this process gained the lease and since
	// the last write that was refused or whose outcome is unknown.
	loaded bool
	slots  [recordSlots]slot
	tried  [recordSlots]time.Time
	// era is the era in which the rows were loaded, and eraSeenAt when this process first saw
	// it. allowedFrom is the first window that may be recorded.
	era         uint64
	eraSeenAt   time.Time
	allowedFrom int64
	eraRevision storage.Revision
	eraStored   bool
	// continuous states that this process held the lease, with the rows loaded, when the era
	// changed: no other process can have recorded a window that it does not know.
	continuous bool

	countRevisions [maxCountRows]storage.Revision
	countHashes    [maxCountRows]uint64
	checkpointed   uint64
	checkpointAt   time.Time
	tooLarge       bool

	sendAt, rowsAt           time.Time
	sendBackoff, rowsBackoff time.Duration
}

// NewReporter returns a reporter that does nothing until Begin.
func NewReporter(o ReporterOptions) *Reporter {
	if o.OnEvent == nil {
		o.OnEvent = func(Event) {}
	}
	return &Reporter{options: o, allowedFrom: math.MinInt64, sendBackoff: minBackoff, rowsBackoff: minBackoff}
}

// Begin is called when the process gains the lease, also if it held the lease before. The
// first call to the platform waits for one interval, as the last holder may just have made
// one.
func (r *Reporter) Begin(now time.Time) {
	r.loaded, r.continuous = false, false
	r.rowsAt = time.Time{}
	r.rowsBackoff, r.sendBackoff = minBackoff, minBackoff
	r.sendAt = now.Add(r.callInterval())
}

// Observe records the era; it is called also while the process does not hold the lease.
func (r *Reporter) Observe(m Moment, holding bool) {
	if m.Era <= r.era {
		return
	}
	if holding && r.loaded {
		r.continuous = true
	}
	if !holding {
		r.continuous = false
	}
	r.era, r.eraSeenAt = m.Era, m.Now
	r.loaded, r.eraStored = false, false
}

func (r *Reporter) callInterval() time.Duration {
	return time.Duration(float64(time.Second) / r.options.CallsPerSecond)
}

// windowAt returns the window that contains a true time, and endOf the end of a window.
func (r *Reporter) windowAt(t time.Time) int64 { return t.UnixNano() / int64(r.options.Window) }

func (r *Reporter) endOf(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(r.options.Window))
}

// Next returns the step to make now by the holder of the lease.
func (r *Reporter) Next(m Moment) Step {
	r.Observe(m, true)
	rowsDue := !m.Now.Before(r.rowsAt)
	if !r.loaded {
		if rowsDue {
			return Step{Kind: StepLoad, Prefix: rowsPrefix}
		}
		return Step{}
	}
	if rowsDue {
		if s, ok := r.recordStep(m); ok {
			return s
		}
	}
	if i, ok := r.nextUnsent(); ok && !m.Now.Before(r.sendAt) {
		r.tried[i] = m.Now
		return Step{Kind: StepSend, Window: r.slots[i].Window, Counts: r.slots[i].Counts}
	}
	if rowsDue {
		return r.checkpointStep(m)
	}
	return Step{}
}

// dueWindows returns the windows to record now, oldest first.
func (r *Reporter) dueWindows(m Moment) []int64 {
	first, _, ok := r.options.Ledger.Windows()
	if !ok {
		return nil
	}
	current := r.windowAt(m.True)
	wait := time.Duration(completeWait * float64(r.options.Delay))
	var due []int64
	for w := max(first, current-lateWindows, r.allowedFrom, 0); w < current; w++ {
		s := r.slots[slotIndex(w)]
		blocked := (s.confirmed || s.unreadable) && s.Window >= w
		if !blocked && (r.options.Ledger.Complete(w) || !m.True.Before(r.endOf(w).Add(wait))) {
			due = append(due, w)
		}
	}
	return due
}

// recordStep returns the write of the windows to record. Sent marks that are not stored yet,
// and records that a restored store lost, are written with it.
func (r *Reporter) recordStep(m Moment) (Step, bool) {
	s := Step{Kind: StepWrite, slots: make(map[int]slot)}
	size := 0
	add := func(i int, v slot) {
		row := v.row(i)
		if size += len(row.Value); len(s.Rows) > 0 && size > maxRecordBytes {
			return
		}
		s.slots[i] = v
		s.Rows = append(s.Rows, row)
	}
	for _, w := range r.dueWindows(m) {
		i := slotIndex(w)
		add(i, slot{record: record{Window: w, Counts: r.options.Ledger.Totals(w)}, revision: r.slots[i].revision})
	}
	due := len(s.Rows) > 0
	for i, v := range r.slots {
		if _, replaced := s.slots[i]; !replaced && v.confirmed && !v.stored {
			due = due || !v.Sent
			add(i, v)
		}
	}
	if !due {
		return Step{}, false
	}
	if !r.eraStored && r.era > 0 {
		s.era = &eraRecord{Format: recordVersion, Era: r.era, FirstWindow: r.allowedFrom}
		s.Rows = append(s.Rows, s.era.row(r.eraRevision))
	}
	return s, true
}

// nextUnsent returns the recorded window that was not sent, and of several the one whose last
// try is the longest ago, so that a report that is always refused does not hold up others.
func (r *Reporter) nextUnsent() (index int, ok bool) {
	for i, s := range r.slots {
		if !s.confirmed || s.Sent {
			continue
		}
		if !ok || cmp.Or(r.tried[i].Compare(r.tried[index]), cmp.Compare(s.Window, r.slots[index].Window)) < 0 {
			index, ok = i, true
		}
	}
	return index, ok
}

// checkpointStep returns the write of the ledger's changed rows, if that is due.
func (r *Reporter) checkpointStep(m Moment) Step {
	revision := r.options.Ledger.Revision()
	if revision == r.checkpointed || m.Now.Sub(r.checkpointAt) < checkpointInterval {
		return Step{}
	}
	r.checkpointAt = m.Now
	values, err := r.options.Ledger.Encode()
	if err != nil {
		r.options.OnEvent(Event{Kind: EventRowsFailed, Err: err})
		return Step{}
	}
	if len(values) > maxCountRows {
		if !r.tooLarge {
			r.options.OnEvent(Event{Kind: EventTooLarge})
		}
		r.tooLarge = true
		values = values[:maxCountRows]
	}
	s := Step{Kind: StepWrite, checkpoint: true, ledgerAt: revision}
	for i, v := range values {
		if r.countRevisions[i] == "" || r.countHashes[i] != xxhash.Sum64(v) {
			s.Rows = append(s.Rows, storage.Row{Key: countsKey(i), Value: v, Revision: r.countRevisions[i]})
		}
	}
	if len(s.Rows) == 0 {
		r.checkpointed = revision
		return Step{}
	}
	return s
}

// Handle takes the outcome of a step: the rows that were read or written, and the error.
func (r *Reporter) Handle(m Moment, s Step, rows []storage.Row, err error) {
	for _, row := range rows {
		m.Era = max(m.Era, row.Era)
	}
	switch s.Kind {
	case StepLoad:
		r.Observe(m, true)
		if r.rowsDone(m, err) {
			r.load(m, rows)
		}
	case StepWrite:
		if r.rowsDone(m, err) {
			r.written(s, rows)
		} else if errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrOutcomeUnknown) {
			// The rows are read before anything else: the write may have taken effect.
			r.loaded = false
		}
		r.Observe(m, true)
	case StepSend:
		r.sent(m, s, err)
	}
}

// rowsDone reports whether a call of the store succeeded, and otherwise delays the next one.
func (r *Reporter) rowsDone(m Moment, err error) bool {
	if err == nil {
		r.rowsAt, r.rowsBackoff = time.Time{}, minBackoff
		return true
	}
	r.rowsAt = m.Now.Add(r.backoff(&r.rowsBackoff))
	r.options.OnEvent(Event{Kind: EventRowsFailed, Err: err})
	return false
}

// backoff returns a random pause of up to the current backoff, and doubles it.
func (r *Reporter) backoff(current *time.Duration) time.Duration {
	d := *current/2 + time.Duration(r.options.Rand.Int64N(int64(*current/2)))
	limit := time.Duration(maxBackoffShare * float64(r.options.Delay))
	*current = max(minBackoff, min(2**current, limit))
	return d
}

// written applies a write that is known to have taken effect.
func (r *Reporter) written(s Step, rows []storage.Row) {
	byKey := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	if s.checkpoint {
		r.checkpointed = s.ledgerAt
		for i := range r.countRevisions {
			if row, ok := byKey[countsKey(i)]; ok {
				r.countRevisions[i], r.countHashes[i] = row.Revision, xxhash.Sum64(row.Value)
			}
		}
		return
	}
	if s.era != nil {
		r.eraStored, r.eraRevision = s.era.Era == r.era, byKey[eraKey].Revision
	}
	for i, v := range s.slots {
		recorded := !v.confirmed
		if old := r.slots[i]; recorded && old.confirmed && !old.Sent {
			r.options.OnEvent(Event{Kind: EventDropped, Window: old.Window, Counts: old.Counts})
		}
		v.confirmed, v.stored, v.revision = true, true, byKey[reportKey(i)].Revision
		r.slots[i] = v
		if recorded {
			r.tried[i] = time.Time{}
			r.options.OnEvent(Event{Kind: EventRecorded, Window: v.Window, Counts: v.Counts})
		}
	}
}

// sent applies the outcome of a report.
func (r *Reporter) sent(m Moment, s Step, err error) {
	if err != nil {
		r.sendAt = m.Now.Add(max(r.callInterval(), r.backoff(&r.sendBackoff)))
		r.options.OnEvent(Event{Kind: EventSendFailed, Window: s.Window, Err: err})
		return
	}
	r.sendAt, r.sendBackoff = m.Now.Add(r.callInterval()), minBackoff
	if v := &r.slots[slotIndex(s.Window)]; v.confirmed && v.Window == s.Window {
		v.Sent, v.stored = true, false
	}
	r.options.OnEvent(Event{Kind: EventSent, Window: s.Window, Counts: s.Counts})
}

// OldestUnsent returns how long ago the oldest window ended that is recorded or due and was
// not sent; zero if there is none.
func (r *Reporter) OldestUnsent(m Moment) time.Duration {
	oldest := int64(math.MaxInt64)
	for _, s := range r.slots {
		if s.confirmed && !s.Sent {
			oldest = min(oldest, s.Window)
		}
	}
	for _, w := range r.dueWindows(m) {
		oldest = min(oldest, w)
	}
	if oldest == math.MaxInt64 {
		return 0
	}
	return max(m.True.Sub(r.endOf(oldest)), 0)
}
