// Package execution keeps the state of the attempts that an agent has accepted
// (queued, running, ended) and of those that a router has renounced and that must
// never run. Each attempt has a bounded replay buffer, so that a router whose
// connection broke can continue reading where it stopped.
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

	// DefaultMaxEndedBytes bounds the frames of all ended attempts together.
	DefaultMaxEndedBytes = 32 << 20

	// DefaultMaxTombstones bounds the records of renounced attempts. Beyond it
	// the oldest is dropped and its router's ticket floor is raised above its
	// ticket.
	DefaultMaxTombstones = 65536

	// DefaultEndedRetention is how long an ended attempt stays readable.
	DefaultEndedRetention = 60 * time.Second

	// DefaultMaxRouters bounds the router incarnations (runs of a router
	// process) that the table knows. At the bound a new one is refused unless
	// an inactive one can be dropped.
	DefaultMaxRouters = 4096

	// RouterRetention is how long the ticket floor of an inactive router
	// incarnation is kept. A copy of a request cannot arrive later than this,
	// because package intake closes a connection whose request is not complete
	// within seconds.
	RouterRetention = time.Hour
)

// ID identifies an attempt. The tickets of one router incarnation are ascending.
type ID struct {
	Router string
	Ticket uint64
}

// Options configure a Table. Zero fields take the Default constants.
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
	id      ID
	endedAt time.Time
	bytes   int
}

// Table holds the attempts of one agent incarnation (one run of the agent
// process). It is safe for concurrent use. It starts no goroutine and does not
// read the clock; callers pass the time.
type Table struct {
	opts Options

	mu         sync.Mutex
	attempts   map[ID]*Attempt
	open       int
	ended      []endedEntry
	endedBytes int
	// tombstones holds the renounced attempts; tombstoneOrder lists them oldest
	// first.
	tombstones     map[ID]struct{}
	tombstoneOrder []ID
	stalls         atomic.Uint64
	routers        map[string]*routerRecord
}

// routerRecord is the table's state of one router incarnation.
type routerRecord struct {
	// ticketFloor is the lowest ticket that may still be accepted.
	ticketFloor uint64
	lastActive  time.Time
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
// the table is full. A refused copy has not run and never will.
func (t *Table) Accept(now time.Time, id ID) (*Attempt, *resultcode.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropEnded(now)
	if err := t.checkAccept(now, id); err != nil {
		return nil, err
	}
	a := newAttempt(id, t.opts.BufferBytes, &t.stalls)
	t.attempts[id] = a
	t.open++
	return a, nil
}

func (t *Table) checkAccept(now time.Time, id ID) *resultcode.Error {
	if _, ok := t.tombstones[id]; ok {
		return resultcode.New(resultcode.AttemptRenounced, "attempt %d of router %s was renounced", id.Ticket, id.Router)
	}
	if _, ok := t.attempts[id]; ok {
		// The first copy may be running, so refusing the second one says nothing
		// about the execution of the attempt.
		return resultcode.New(resultcode.DuplicateAttempt, "attempt %d of router %s was received before", id.Ticket, id.Router).
			WithExecution(resultcode.Unknown)
	}
	router := t.touchRouter(now, id.Router)
	if router == nil {
		return resultcode.New(resultcode.AttemptTableFull, "%d router incarnations are known", len(t.routers))
	}
	if id.Ticket < router.ticketFloor {
		// An attempt below the floor may have run and been dropped from the table.
		return resultcode.New(resultcode.TicketBelowFloor, "ticket %d is below the floor %d of router %s", id.Ticket, router.ticketFloor, id.Router).
			WithExecution(resultcode.Unknown)
	}
	if t.open >= t.opts.MaxOpen {
		return resultcode.New(resultcode.AttemptTableFull, "%d attempts are open", t.open)
	}
	return nil
}

// touchRouter returns the record of a router and updates its time of activity. It
// returns nil if the router is new, the table is full and no inactive router can
// be dropped.
func (t *Table) touchRouter(now time.Time, router string) *routerRecord {
	r, ok := t.routers[router]
	if !ok {
		if len(t.routers) >= t.opts.MaxRouters && !t.forgetInactiveRouters(now) {
			return nil
		}
		r = &routerRecord{}
		t.routers[router] = r
	}
	r.lastActive = now
	return r
}

func (t *Table) forgetInactiveRouters(now time.Time) bool {
	forgotten := false
	for name, r := range t.routers {
		if now.Sub(r.lastActive) > RouterRetention {
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
	r.ticketFloor = max(r.ticketFloor, id.Ticket+1)
}

// Get returns the attempt with this id, if the table holds it.
func (t *Table) Get(id ID) (*Attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.attempts[id]
	return a, ok
}

// Renounce records that the attempt must never run. If it has not started, it is
// removed, later copies are refused and the result is NotRun. For a started or
// ended attempt Renounce changes nothing and returns what is known about its
// execution. The returned attempt is nil if the table does not hold it.
func (t *Table) Renounce(now time.Time, id ID) (resultcode.Execution, *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropEnded(now)
	if _, ok := t.tombstones[id]; ok {
		return resultcode.NotRun, nil
	}
	if a, ok := t.attempts[id]; ok {
		return t.renounceKnown(id, a), a
	}
	router := t.touchRouter(now, id.Router)
	if router == nil || id.Ticket < router.ticketFloor {
		// The attempt may have run, ended and been dropped from the table.
		return resultcode.Unknown, nil
	}
	t.addTombstone(id)
	return resultcode.NotRun, nil
}

func (t *Table) renounceKnown(id ID, a *Attempt) resultcode.Execution {
	if !a.renounce() {
		return a.Execution()
	}
	delete(t.attempts, id)
	t.open--
	t.addTombstone(id)
	return resultcode.NotRun
}

// End marks an attempt as ended. Its frames stay readable for the retention
// time. After that the ticket floor prevents a late copy from running again.
func (t *Table) End(now time.Time, a *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts[a.id] != a || !a.end() {
		return
	}
	t.open--
	entry := endedEntry{id: a.id, endedAt: now, bytes: a.size()}
	t.ended = append(t.ended, entry)
	t.endedBytes += entry.bytes
	t.dropEnded(now)
}

// Open returns the number of queued and running attempts.
func (t *Table) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// Stalls returns how often Append had to wait because a replay buffer was full.
func (t *Table) Stalls() uint64 { return t.stalls.Load() }

// dropEnded drops the oldest ended attempts beyond the bounds and the retention
// time, and raises their routers' ticket floors.
func (t *Table) dropEnded(now time.Time) {
	for len(t.ended) > 0 {
		oldest := t.ended[0]
		withinBounds := len(t.ended) <= t.opts.MaxEnded && t.endedBytes <= t.opts.MaxEndedBytes
		if withinBounds && now.Sub(oldest.endedAt) < t.opts.EndedRetention {
			return
		}
		t.ended = t.ended[1:]
		t.endedBytes -= oldest.bytes
		delete(t.attempts, oldest.id)
		t.raiseFloor(oldest.id)
	}
}

// addTombstone records a renounced attempt and drops the oldest record beyond
// MaxTombstones.
func (t *Table) addTombstone(id ID) {
	t.tombstones[id] = struct{}{}
	t.tombstoneOrder = append(t.tombstoneOrder, id)
	if len(t.tombstoneOrder) <= t.opts.MaxTombstones {
		return
	}
	oldest := t.tombstoneOrder[0]
	t.tombstoneOrder = t.tombstoneOrder[1:]
	delete(t.tombstones, oldest)
	t.raiseFloor(oldest)
}
