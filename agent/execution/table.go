// Package execution keeps the attempts that an agent has accepted: which are
// queued, running or ended, and which are renounced and must never run. Each
// attempt has a bounded replay buffer, so that a router whose connection broke
// continues reading where it stopped.
package execution

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

const (
	// DefaultMaxOpen bounds attempts that are queued or running.
	DefaultMaxOpen = 2048

	// DefaultMaxEnded bounds ended attempts that are kept for late readers.
	DefaultMaxEnded = 4096

	// DefaultMaxEndedBytes bounds the frames of ended attempts in all.
	DefaultMaxEndedBytes = 32 << 20

	// DefaultMaxTombstones bounds renounced attempts. When the bound is reached,
	// the oldest tombstone is dropped and its router's ticket floor rises above it.
	DefaultMaxTombstones = 65536

	// DefaultEndedRetention is how long an ended attempt can still be read.
	DefaultEndedRetention = 60 * time.Second

	// DefaultMaxRouters bounds the router incarnations that the table knows. A
	// new one is refused while the bound is reached and none can be forgotten.
	DefaultMaxRouters = 4096

	// RouterRetention is how long an inactive router incarnation keeps its ticket
	// floor. No copy of a request can arrive later than this, because intake
	// closes a connection whose request is not complete within seconds.
	RouterRetention = time.Hour
)

// ID identifies an attempt. Tickets of one router incarnation rise.
type ID struct {
	Router string
	Ticket uint64
}

// Options configure a Table. Zero fields take the Default values.
type Options struct {
	MaxOpen        int
	MaxEnded       int
	MaxEndedBytes  int
	MaxTombstones  int
	MaxRouters     int
	EndedRetention time.Duration
	// BufferBytes bounds each attempt's replay buffer.
	BufferBytes int
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxOpen, DefaultMaxOpen)
	setDefault(&o.MaxEnded, DefaultMaxEnded)
	setDefault(&o.MaxEndedBytes, DefaultMaxEndedBytes)
	setDefault(&o.MaxTombstones, DefaultMaxTombstones)
	setDefault(&o.MaxRouters, DefaultMaxRouters)
	setDefault(&o.BufferBytes, DefaultBufferBytes)
	if o.EndedRetention == 0 {
		o.EndedRetention = DefaultEndedRetention
	}
	return o
}

func setDefault(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

type endedEntry struct {
	id    ID
	at    time.Time
	bytes int
}

// Table holds the attempts of one agent incarnation. It is safe for concurrent
// use and starts no goroutine; the time is a parameter.
type Table struct {
	opts Options

	mu         sync.Mutex
	attempts   map[ID]*Attempt
	open       int
	ended      []endedEntry
	endedBytes int
	tombstones map[ID]struct{}
	tombOrder  []ID
	stalls     atomic.Uint64
	routers    map[string]*routerRecord
}

// routerRecord is what the table keeps about one router incarnation.
type routerRecord struct {
	// floor is the lowest ticket that may still be accepted.
	floor  uint64
	active time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts:       opts.withDefaults(),
		attempts:   make(map[ID]*Attempt),
		tombstones: make(map[ID]struct{}),
		routers:    make(map[string]*routerRecord),
	}
}

// Accept registers a new attempt. It refuses a renounced attempt, one that was
// received before, one below the router's ticket floor, and any attempt while
// the table is full. A refusal proves that this copy has not run and will not.
func (t *Table) Accept(now time.Time, id ID) (*Attempt, *resultcode.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if err := t.refusal(now, id); err != nil {
		return nil, err
	}
	a := newAttempt(id, t.opts.BufferBytes, &t.stalls)
	t.attempts[id] = a
	t.open++
	return a, nil
}

func (t *Table) refusal(now time.Time, id ID) *resultcode.Error {
	if _, ok := t.tombstones[id]; ok {
		return resultcode.New(resultcode.AttemptRenounced, "attempt %d of router %s was renounced", id.Ticket, id.Router)
	}
	if _, ok := t.attempts[id]; ok {
		// The first copy may be running, so the refusal of a second copy proves
		// nothing about the attempt as a whole.
		return resultcode.New(resultcode.DuplicateAttempt, "attempt %d of router %s was received before", id.Ticket, id.Router).
			WithExecution(resultcode.Unknown)
	}
	router := t.touch(now, id.Router)
	if router == nil {
		return resultcode.New(resultcode.AttemptTableFull, "%d router incarnations are known", len(t.routers))
	}
	if id.Ticket < router.floor {
		// An attempt below the floor may have run and been forgotten.
		return resultcode.New(resultcode.TicketBelowFloor, "ticket %d is below the floor %d of router %s", id.Ticket, router.floor, id.Router).
			WithExecution(resultcode.Unknown)
	}
	if t.open >= t.opts.MaxOpen {
		return resultcode.New(resultcode.AttemptTableFull, "%d attempts are open", t.open)
	}
	return nil
}

// touch returns the record of a router and notes its activity. It returns nil
// when the router is new and no other one can be forgotten.
func (t *Table) touch(now time.Time, router string) *routerRecord {
	r, ok := t.routers[router]
	if !ok {
		if len(t.routers) >= t.opts.MaxRouters && !t.forgetRouter(now) {
			return nil
		}
		r = &routerRecord{}
		t.routers[router] = r
	}
	r.active = now
	return r
}

func (t *Table) forgetRouter(now time.Time) bool {
	forgotten := false
	for name, r := range t.routers {
		if now.Sub(r.active) > RouterRetention {
			delete(t.routers, name)
			forgotten = true
		}
	}
	return forgotten
}

func (t *Table) raiseFloor(id ID) {
	r, ok := t.routers[id.Router]
	if !ok {
		return
	}
	r.floor = max(r.floor, id.Ticket+1)
}

// Get returns a known attempt.
func (t *Table) Get(id ID) (*Attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.attempts[id]
	return a, ok
}

// Renounce records that the attempt must never run. It returns NotRun when the
// attempt had not started; the attempt is then removed and a later copy is
// refused. For a started or ended attempt it returns what is known of its
// execution and changes nothing.
func (t *Table) Renounce(now time.Time, id ID) (resultcode.Execution, *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if _, ok := t.tombstones[id]; ok {
		return resultcode.NotRun, nil
	}
	if a, ok := t.attempts[id]; ok {
		return t.renounceKnown(id, a), a
	}
	router := t.touch(now, id.Router)
	if router == nil || id.Ticket < router.floor {
		// The record of this attempt may be gone; it may have run and ended.
		return resultcode.Unknown, nil
	}
	t.bury(id)
	return resultcode.NotRun, nil
}

func (t *Table) renounceKnown(id ID, a *Attempt) resultcode.Execution {
	if !a.renounce() {
		return a.Execution()
	}
	delete(t.attempts, id)
	t.open--
	t.bury(id)
	return resultcode.NotRun
}

// End marks an attempt as ended. Its frames stay readable for the retention
// time. After that the ticket floor keeps a late copy from running again.
func (t *Table) End(now time.Time, a *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts[a.id] != a || !a.end() {
		return
	}
	t.open--
	entry := endedEntry{id: a.id, at: now, bytes: a.size()}
	t.ended = append(t.ended, entry)
	t.endedBytes += entry.bytes
	t.expire(now)
}

// Open returns the number of queued and running attempts.
func (t *Table) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// Stalls returns how often a full replay buffer has made Append wait.
func (t *Table) Stalls() uint64 { return t.stalls.Load() }

func (t *Table) expire(now time.Time) {
	for len(t.ended) > 0 {
		oldest := t.ended[0]
		within := len(t.ended) <= t.opts.MaxEnded && t.endedBytes <= t.opts.MaxEndedBytes
		if within && now.Sub(oldest.at) < t.opts.EndedRetention {
			return
		}
		t.ended = t.ended[1:]
		t.endedBytes -= oldest.bytes
		delete(t.attempts, oldest.id)
		t.raiseFloor(oldest.id)
	}
}

func (t *Table) bury(id ID) {
	t.tombstones[id] = struct{}{}
	t.tombOrder = append(t.tombOrder, id)
	if len(t.tombOrder) <= t.opts.MaxTombstones {
		return
	}
	oldest := t.tombOrder[0]
	t.tombOrder = t.tombOrder[1:]
	delete(t.tombstones, oldest)
	t.raiseFloor(oldest)
}
