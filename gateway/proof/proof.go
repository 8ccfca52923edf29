// Package proof decides which connections lead to the process that the directory shows for an
// endpoint, where the endpoint does not state its process in time. A held connection to the
// endpoint's address leads to one process until it ends, so it is enough to learn that the process
// of the entry was alive after the connection began:
//
//   - The endpoint states the start of the process, however late.
//   - Entries of the process arrive after the connection began, with a rising sequence, over most of
//     a heartbeat interval. The first one may have been written before, so two are needed, and the
//     last one must have been written after the connection began: a slow directory tells both late.
//     The directory may also perform writes late, close together, after their process has ended. In
//     an interval the next process shows its own entry, and that of an earlier one counts no more.
//   - The entry stayed for longer than the directory keeps that of a process that has ended.
//   - Another connection to the address is known to lead to the process.
//
// A Table is not safe for concurrent use; the time is a parameter. The caller reports the end of a
// held connection before it passes evidence that came later.
package proof

import (
	"maps"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

const (
	// maxEndpoints bounds the endpoints of a Table. A further one is not added, and gets no
	// streams that need the proof.
	maxEndpoints = 512
	// maxWatched bounds the endpoints that are observed before a stream needs them.
	maxWatched = 64
	// forgetAfter is how long an endpoint is kept after its service last had a stream.
	forgetAfter = 30 * time.Second
	// lapseIntervals is the number of heartbeat intervals after which the directory removes a
	// silent endpoint, and one more for the delays on the way.
	lapseIntervals = 4
	// recoveryGrace is the time after an outage of the directory in which late writes arrive.
	recoveryGrace = 2 * time.Second
	// beatSpanPercent is the part of a heartbeat interval over which entries must arrive. Endpoints
	// write about each interval, some a bit earlier.
	beatSpanPercent = 75
	// maxTickGap is the time between two ticks from which the process counts as having stood
	// still, and standstillGrace how long after that entries may be from before.
	maxTickGap      = 400 * time.Millisecond
	standstillGrace = 500 * time.Millisecond
	// redialPause is the time between two attempts to open a connection, and slowRedialPause
	// once slowRedialAfter have failed.
	redialPause     = 50 * time.Millisecond
	slowRedialPause = 250 * time.Millisecond
	slowRedialAfter = 40
	// earlyEnd is the age below which the end of a held connection lets the next one wait, since the
	// endpoint may accept no more connections: twice as long each time, up to maxEarlyPause.
	earlyEnd      = 500 * time.Millisecond
	maxEarlyPause = time.Second
	// renewAfter is the age at which a held connection is replaced, below the idle time-outs of
	// usual endpoints; minRenewAfter is the shortest after endpoints have closed younger ones.
	renewAfter    = 2 * time.Second
	minRenewAfter = 200 * time.Millisecond
	// askAgainAfter is the time between two questions, and maxQuestions their number for one
	// connection. An endpoint that takes them for requests runs each.
	askAgainAfter = 2 * time.Second
	maxQuestions  = 3
	// recheckAfter is the time after which an endpoint that is proven is asked whether it states its
	// process in time again; twice as long after each such question, up to maxRecheckAfter.
	recheckAfter    = 10 * time.Second
	maxRecheckAfter = 5 * time.Minute
	// quickAnswer is the time of a statement up to which streams can ask by themselves.
	quickAnswer = 40 * time.Millisecond
)

// Source is the evidence that proved a process.
type Source string

// The kinds of evidence.
const (
	Stated     Source = "stated"
	Heartbeats Source = "heartbeat"
	Listed     Source = "listed"
	Connection Source = "connection"
)

// Entry is what the directory shows of an endpoint's process.
type Entry struct {
	ID, Service, Address, Version string
	Born                          int64
}

// sameProcess reports whether two entries of an endpoint are of one process.
func (e Entry) sameProcess(other Entry) bool {
	return e.Born == other.Born && e.Version == other.Version && e.Address == other.Address
}

// Change tells that an endpoint became proven or unproven.
type Change struct {
	Endpoint string
	Proven   bool
	// Source is the evidence, and Took the time since the endpoint was not proven.
	Source Source
	Took   time.Duration
	// Needed is set if streams need the proof.
	Needed bool
}

// ActionKind is what the caller is to do for an endpoint.
type ActionKind int

// The kinds of actions.
const (
	// Open asks for a connection, to be reported by Opened or OpenFailed.
	Open ActionKind = iota
	// Ask asks the endpoint for its process, to be reported by Answered.
	Ask
	// Close ends the held connection, which is not needed any more.
	Close
)

// Action is something to do for an endpoint.
type Action struct {
	Kind     ActionKind
	Endpoint string
	Address  string
	// Connection is the held connection that a question is about.
	Connection int
}

// held is a held connection and what is known of it.
type held struct {
	number   int
	openedAt time.Time
	// process is the one that it leads to; zero while that is not known.
	process upstream.Identity
	// stated is the start that the endpoint stated, and other is set if it stated another id.
	stated int64
	other  bool
	// beats is the number of rising sequences that arrived since openedAt, and firstBeatAt when the
	// first of them did.
	beats       int
	firstBeatAt time.Time
	questions   int
	askedAt     time.Time
	asking      bool
}

// endpoint is the state of an endpoint.
type endpoint struct {
	entry      Entry
	generation int
	// latestBorn is the latest start that any entry showed.
	latestBorn int64
	sequence   int64
	// shownSince is since when the directory has shown the process without a doubt.
	shownSince time.Time
	// needed is set once a stream found no statement; the endpoint is then left out until it is
	// proven.
	needed bool
	proven bool
	// source is the evidence if it is proven.
	source  Source
	since   time.Time
	held    *held
	opening bool
	openAt  time.Time
	// failures counts the attempts to connect since the last connection.
	failures int
	// earlyPause is the pause before the next connection if the last ones ended early.
	earlyPause time.Duration
	renewAfter time.Duration
	addedAt    time.Time
	// recheckAt is when the endpoint is asked although it is proven, and recheckAfter the time until
	// the question after that.
	recheckAt    time.Time
	recheckAfter time.Duration
}

func (e *endpoint) identity() upstream.Identity {
	return upstream.Identity{Endpoint: e.entry.ID, Born: e.entry.Born, Version: e.entry.Version, Generation: e.generation}
}

// Table holds the endpoints whose processes are to be proved.
type Table struct {
	// lapse is the time of Lapse, and beatSpan that over which heartbeats must arrive.
	lapse, beatSpan time.Duration
	endpoints       map[string]*endpoint
	// wantedAt holds when a service last had a stream that needs a proof.
	wantedAt map[string]time.Time
	// trustedFrom is when the directory's changes count; trusted is false while it does not answer.
	trusted     bool
	trustedFrom time.Time
	// rowsAt is a time before the latest change that the directory told was written.
	rowsAt   time.Time
	tickedAt time.Time
	changes  []Change
	// connections is the number of held connections so far.
	connections int
}

// New returns an empty Table for endpoints with an interval between heartbeats.
func New(interval time.Duration) *Table {
	return &Table{lapse: lapseIntervals * interval, beatSpan: interval * beatSpanPercent / 100, endpoints: make(map[string]*endpoint), wantedAt: make(map[string]time.Time)}
}

// Lapse is the time after which an entry that is still shown is that of a process that was alive.
func (t *Table) Lapse() time.Duration { return t.lapse }

// Wanted records a stream of a service that needs a proof.
func (t *Table) Wanted(now time.Time, service string) {
	if _, known := t.wantedAt[service]; known || len(t.wantedAt) < maxEndpoints {
		t.wantedAt[service] = now
	}
}

// Watch observes an endpoint before a stream needs it, so that one that states nothing is proven
// early.
func (t *Table) Watch(now time.Time, e Entry) {
	if t.endpoints[e.ID] == nil && len(t.endpoints) < maxWatched {
		t.add(now, e)
		t.Wanted(now, e.Service)
	}
}

// Unwatch forgets the endpoints of a service that no stream needs proven: another one states its
// process in time, so these probably do.
func (t *Table) Unwatch(service string) {
	maps.DeleteFunc(t.endpoints, func(_ string, e *endpoint) bool { return !e.needed && e.entry.Service == service })
}

// HandOver records that an endpoint gave no usable statement to a stream. The endpoint is left out
// until its process is proven.
func (t *Table) HandOver(now time.Time, e Entry) {
	known := t.endpoints[e.ID]
	if known == nil && len(t.endpoints) < maxEndpoints {
		known = t.add(now, e)
	}
	if known == nil || known.needed {
		return
	}
	known.needed = true
	t.Wanted(now, e.Service)
	if known.proven {
		t.report(now, known)
		return
	}
	known.since = now
	t.report(now, known)
}

// report adds a change to the present state of an endpoint.
func (t *Table) report(now time.Time, e *endpoint) {
	c := Change{Endpoint: e.entry.ID, Proven: e.proven, Needed: e.needed}
	if e.proven {
		c.Source, c.Took = e.source, now.Sub(e.since)
	}
	t.changes = append(t.changes, c)
}

func (t *Table) add(now time.Time, e Entry) *endpoint {
	added := &endpoint{entry: e, latestBorn: e.Born, sequence: -1, shownSince: now, since: now, openAt: now, renewAfter: renewAfter, addedAt: now, recheckAt: now.Add(recheckAfter), recheckAfter: 2 * recheckAfter}
	t.endpoints[e.ID] = added
	return added
}

// Forget drops an endpoint that states its process in time, or that is gone.
func (t *Table) Forget(id string) { delete(t.endpoints, id) }

// Knows reports whether an endpoint is in the table.
func (t *Table) Knows(id string) bool { return t.endpoints[id] != nil }

// Needed reports whether streams do not ask an endpoint by themselves.
func (t *Table) Needed(id string) bool {
	e := t.endpoints[id]
	return e != nil && e.needed
}

// Unproven reports whether an endpoint is left out for streams that need a proof.
func (t *Table) Unproven(id string) bool {
	e := t.endpoints[id]
	return e != nil && e.needed && !e.proven
}

// Proven returns the process of an endpoint that is proven; zero if it is not.
func (t *Table) Proven(id string) upstream.Identity {
	if e := t.endpoints[id]; e != nil && e.proven {
		return e.identity()
	}
	return upstream.Identity{}
}

// Expected returns the process that the directory shows for an endpoint of the table.
func (t *Table) Expected(id string) upstream.Identity {
	if e := t.endpoints[id]; e != nil {
		return e.identity()
	}
	return upstream.Identity{}
}

// Joined handles an entry of a process that the directory did not show before. If others of its
// service stated nothing in time, it is left out at once: its first stream would wait in vain.
func (t *Table) Joined(now time.Time, entry Entry) {
	if !t.Knows(entry.ID) && t.serviceNeeds(entry.Service) {
		t.HandOver(now, entry)
	}
}

// Heartbeat is a write of an endpoint's entry.
type Heartbeat struct {
	// Sequence is the count of the process's writes; NoSequence if it states none.
	Sequence int64
	// WrittenAfter is a time before the write. A slow directory tells it late.
	WrittenAfter time.Time
}

// Changed handles an entry that the directory told as a change.
func (t *Table) Changed(now time.Time, entry Entry, b Heartbeat) {
	if b.WrittenAfter.After(t.rowsAt) {
		t.rowsAt = b.WrittenAfter
	}
	e := t.endpoints[entry.ID]
	if e == nil {
		return
	}
	if !e.entry.sameProcess(entry) {
		t.replaced(now, e, entry)
		e.sequence = b.Sequence
		t.countBeat(now, e, b)
		return
	}
	e.entry = entry
	t.beat(now, e, b)
}

// serviceNeeds reports whether an endpoint of a service stated nothing to a stream.
func (t *Table) serviceNeeds(service string) bool {
	for _, e := range t.endpoints {
		if e.needed && e.entry.Service == service {
			return true
		}
	}
	return false
}

// Listed handles a whole listing, whose entries may be of any age.
func (t *Table) Listed(now time.Time, entries []Entry) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		if e := t.endpoints[entry.ID]; e != nil && !e.entry.sameProcess(entry) {
			t.replaced(now, e, entry)
			e.sequence = NoSequence
		}
	}
	for id := range t.endpoints {
		if !listed[id] {
			t.Forget(id)
		}
	}
}

// NoSequence stands for an entry without a sequence.
const NoSequence = -1

// replaced makes another process that of an endpoint's entry.
func (t *Table) replaced(now time.Time, e *endpoint, entry Entry) {
	moved := entry.Address != e.entry.Address
	e.entry, e.latestBorn = entry, max(e.latestBorn, entry.Born)
	e.shownSince, e.renewAfter = now, renewAfter
	t.setUnproven(now, e)
	h := e.held
	switch {
	case h == nil:
	case moved:
		e.held, e.openAt = nil, now
	case h.process == e.identity():
		t.prove(now, e, Connection)
	case h.process != upstream.Identity{} || h.other:
	case h.contradicts(entry):
	case h.stated != 0 && h.stated == entry.Born:
		t.prove(now, e, Stated)
	default:
		h.beats = 0
	}
}

// openedBy reports whether the connection was open at a time.
func (h *held) openedBy(at time.Time) bool { return !at.Before(h.openedAt) }

// beat counts a heartbeat of the process of an endpoint's entry.
func (t *Table) beat(now time.Time, e *endpoint, b Heartbeat) {
	sequence := b.Sequence
	if sequence == NoSequence {
		return
	}
	last := e.sequence
	if sequence < last {
		if e.entry.Born == 0 {
			// Without a start, counts that begin anew tell the next process.
			e.generation++
			e.sequence, e.shownSince = sequence, now
			t.setUnproven(now, e)
			if e.held != nil {
				e.held.beats = 0
			}
		}
		return
	}
	e.sequence = sequence
	if sequence != last {
		t.countBeat(now, e, b)
	}
}

// countBeat counts a write of the process of an endpoint's entry, and proves the process by it.
func (t *Table) countBeat(now time.Time, e *endpoint, b Heartbeat) {
	h := e.held
	if h == nil || b.Sequence == NoSequence || !t.trusts(now) || !t.open(e) {
		return
	}
	if h.beats == 0 {
		h.firstBeatAt = now
	}
	h.beats++
	if h.beats >= 2 && now.Sub(h.firstBeatAt) >= t.beatSpan && h.openedBy(b.WrittenAfter) {
		t.prove(now, e, Heartbeats)
	}
}

// open reports whether nothing is known of the process behind the held connection, and nothing tells
// that the process of the entry has ended.
func (t *Table) open(e *endpoint) bool {
	h := e.held
	superseded := e.entry.Born != 0 && e.entry.Born < e.latestBorn
	return h != nil && !superseded && h.process == upstream.Identity{} && !h.other && !h.contradicts(e.entry)
}

// contradicts reports whether the endpoint stated another process than an entry shows. One without a
// start can't be compared.
func (h *held) contradicts(entry Entry) bool {
	return h.stated != 0 && entry.Born != 0 && h.stated != entry.Born
}

func (t *Table) trusts(now time.Time) bool { return t.trusted && !now.Before(t.trustedFrom) }

// prove records that the held connection leads to the process of the entry.
func (t *Table) prove(now time.Time, e *endpoint, by Source) {
	e.held.process = e.identity()
	if e.proven {
		return
	}
	e.proven, e.source = true, by
	t.report(now, e)
}

func (t *Table) setUnproven(now time.Time, e *endpoint) {
	if !e.proven {
		return
	}
	e.proven, e.since = false, now
	t.report(now, e)
}

// Removed handles an entry that the directory no longer has.
func (t *Table) Removed(id string) {
	t.Forget(id)
}

// DirectoryLost records that the directory does not answer. What it shows says nothing then.
func (t *Table) DirectoryLost() { t.trusted = false }

// DirectoryRecovered records that the directory answers again, or for the first time.
func (t *Table) DirectoryRecovered(now time.Time) {
	if t.trusted {
		return
	}
	t.trusted = true
	if t.trustedFrom.IsZero() {
		t.trustedFrom = now
		return
	}
	t.doubt(now, recoveryGrace)
}

// Restored records that the directory came back as an older copy.
func (t *Table) Restored(now time.Time) { t.doubt(now, recoveryGrace) }

// doubt lets nothing of the directory count for a while.
func (t *Table) doubt(now time.Time, grace time.Duration) {
	if until := now.Add(grace); until.After(t.trustedFrom) {
		t.trustedFrom = until
	}
	for _, e := range t.endpoints {
		if e.held != nil {
			e.held.beats = 0
		}
	}
}

// Opened records a held connection that was opened at a time. If another connection proves its
// process, proven is set.
func (t *Table) Opened(now time.Time, id string, proven bool) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.opening, e.failures = false, 0
	t.connections++
	e.held = &held{number: t.connections, openedAt: now}
	if proven {
		t.prove(now, e, Connection)
		return
	}
	t.setUnproven(now, e)
}

// OpenFailed records that no connection was opened.
func (t *Table) OpenFailed(now time.Time, id string) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.opening = false
	e.failures++
	e.openAt = now.Add(redialPause)
	if e.failures > slowRedialAfter {
		e.openAt = now.Add(slowRedialPause)
	}
}

// Ended records that the held connection of an endpoint has ended.
func (t *Table) Ended(now time.Time, id string) {
	e := t.endpoints[id]
	if e == nil || e.held == nil {
		return
	}
	age := now.Sub(e.held.openedAt)
	// An endpoint that closes idle connections sooner gets the next one sooner.
	e.renewAfter = max(minRenewAfter, min(e.renewAfter, age/2))
	e.held, e.openAt = nil, now
	if age >= earlyEnd {
		e.earlyPause = 0
	} else {
		e.openAt = now.Add(e.earlyPause)
		e.earlyPause = min(max(redialPause, 2*e.earlyPause), maxEarlyPause)
	}
	t.setUnproven(now, e)
}

// Answered records the answer to a question about a held connection. It was asked on a connection
// that was opened later, so that both lead to the same process if the held one is still open.
// Answered returns true if the endpoint states its process in time for streams to ask by
// themselves; it is to be forgotten then.
func (t *Table) Answered(now time.Time, id string, connection int, p upstream.Process, took time.Duration) bool {
	e := t.endpoints[id]
	if e == nil || e.held == nil || e.held.number != connection {
		return false
	}
	h := e.held
	h.asking = false
	switch {
	case p.State == upstream.ProcessOfOther:
		h.other = true
	case p.State != upstream.ProcessStated:
	case h.process != upstream.Identity{}:
		return h.process == e.identity() && p.Born == e.entry.Born && took <= quickAnswer
	default:
		h.stated = p.Born
		if p.Born == e.entry.Born {
			t.prove(now, e, Stated)
			return took <= quickAnswer
		}
	}
	return false
}

// Tick returns what is to be done. It is called several times in maxTickGap.
func (t *Table) Tick(now time.Time) []Action {
	if !t.tickedAt.IsZero() && now.Sub(t.tickedAt) > maxTickGap {
		t.doubt(now, standstillGrace)
	}
	t.tickedAt = now
	var actions []Action
	for id, e := range t.endpoints {
		if now.Sub(t.wantedAt[e.entry.Service]) > forgetAfter || !e.needed && now.Sub(e.addedAt) > forgetAfter {
			t.Forget(id)
			actions = append(actions, Action{Kind: Close, Endpoint: id})
			continue
		}
		actions = append(actions, t.tickEndpoint(now, e)...)
	}
	return actions
}

// tickEndpoint returns what is to be done for an endpoint.
func (t *Table) tickEndpoint(now time.Time, e *endpoint) []Action {
	t.checkListed(now, e)
	var actions []Action
	if t.abandons(now, e) {
		e.held, e.openAt = nil, now
		actions = append(actions, Action{Kind: Close, Endpoint: e.entry.ID})
	}
	h := e.held
	if !e.opening && !now.Before(e.openAt) && (h == nil || e.needed && e.proven && now.Sub(h.openedAt) >= e.renewAfter) {
		e.opening = true
		actions = append(actions, Action{Kind: Open, Endpoint: e.entry.ID, Address: e.entry.Address})
	}
	if e.mayAsk(now) {
		e.held.asking, e.held.askedAt = true, now
		e.held.questions++
		if e.proven {
			e.recheckAt = now.Add(e.recheckAfter)
			e.recheckAfter = min(2*e.recheckAfter, maxRecheckAfter)
		}
		actions = append(actions, Action{Kind: Ask, Endpoint: e.entry.ID, Address: e.entry.Address, Connection: e.held.number})
	}
	return actions
}

// mayAsk reports whether the endpoint is to be asked about its held connection.
func (e *endpoint) mayAsk(now time.Time) bool {
	h := e.held
	if h == nil || !e.needed || h.asking || e.entry.Born == 0 {
		return false
	}
	if e.proven {
		return !now.Before(e.recheckAt)
	}
	return h.stated == 0 && h.questions < maxQuestions && now.Sub(h.askedAt) >= askAgainAfter
}

// checkListed proves the held connection of an endpoint whose entry stayed for so long that its
// process was alive after the connection began.
func (t *Table) checkListed(now time.Time, e *endpoint) {
	if e.proven || !t.open(e) || !t.trusts(now) {
		return
	}
	since := e.held.openedAt
	for _, at := range []time.Time{e.shownSince, t.trustedFrom} {
		if at.After(since) {
			since = at
		}
	}
	if t.rowsAt.Sub(since) >= t.lapse {
		t.prove(now, e, Listed)
	}
}

// abandons reports whether the held connection is of no use: it leads to another process than the
// entry shows, which has been so for long.
func (t *Table) abandons(now time.Time, e *endpoint) bool {
	return e.held != nil && !e.proven && !t.open(e) && now.Sub(e.since) >= t.lapse && now.Sub(e.held.openedAt) >= t.lapse
}

// Changes returns the changes since the last call.
func (t *Table) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
