// Package registry holds the endpoints of every service as the platform's directory
// lists them. It decides when an endpoint that is missing from the directory counts as
// gone: entries can lapse while the directory itself is down, and those are kept until
// the endpoint had time to register again.
//
// A Registry is not safe for concurrent use; the time is a parameter.
package registry

import (
	"maps"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// ReregistrationGrace is how long after the directory answers again an entry that lapsed
// during the outage may still reappear. The platform specifies about two seconds.
const ReregistrationGrace = 2 * time.Second

// Entry is the directory's entry of an endpoint. Gateways send entries to each other as
// JSON.
type Entry struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Draining endpoints take no new work.
	Draining bool
	// Leaving states that the endpoint itself announced, in a response, that it is
	// leaving. It holds for this incarnation, whatever the directory says.
	Leaving bool
	// Born is the start time of the endpoint in Unix milliseconds; 0 if unknown.
	Born int64
	// Version is the version of the endpoint's software; empty if unknown.
	Version string
	// Unlisted states that the endpoint itself stated Born, and the directory shows another
	// process. Version and the other fields are then those of that process.
	Unlisted bool `json:",omitempty"`
}

// Incarnation identifies one run of an endpoint, from its start to its end. An endpoint
// that restarts under the same id has a new incarnation.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the incarnation of the endpoint that the entry describes.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// States of entries in a Change.
const (
	// StateReady entries take work.
	StateReady = "ready"
	// StateDraining entries take no new work.
	StateDraining = "draining"
	// StateRestarted entries replace one of another incarnation with the same id.
	StateRestarted = "restarted"
	// StateLapsed entries are missing from the directory and kept during the grace.
	StateLapsed = "lapsed"
	// StateGone entries were removed.
	StateGone = "gone"
	// StateLeftOut entries were not added, since maxEntries others are known. They are added
	// when the directory states them again after others have gone.
	StateLeftOut = "left_out"
)

// Change is an added, replaced, lapsed or removed entry with its new state.
type Change struct {
	Entry Entry
	State string
}

const (
	// maxEntries bounds the entries, since a faulty directory or writer may state further
	// ones without end. It is several times the endpoints of the largest planned site.
	maxEntries = 8192
	// maxDepartures bounds the remembered departures; the oldest are forgotten.
	maxDepartures = 4096
	// departureTTL is how long an entry from an older copy of the directory does not
	// bring back an endpoint that was seen to leave. The entry of an endpoint that is
	// gone lapses after three of its write intervals, which is a few seconds.
	departureTTL = 30 * time.Second
)

// departure records that an incarnation was removed or announced that it is leaving.
type departure struct {
	at time.Time
	// leaving states that the endpoint announced it in a response.
	leaving bool
}

// deferredEntry is an entry from an older copy of the directory that contradicts newer
// information and is not applied yet.
type deferredEntry struct {
	entry Entry
	// until is when it is applied unless the directory has replaced or removed it.
	until time.Time
}

// record is an entry with the state of its removal.
type record struct {
	entry Entry
	// listed is the start of the process that the directory shows. It differs from that of
	// entry while an endpoint that started again has not registered yet.
	listed int64
	// observedAt is when the endpoint last stated its process.
	observedAt time.Time
	// removeAt is when a lapsed entry is dropped; zero for entries in the directory.
	removeAt time.Time
}

// Registry holds the current entries.
type Registry struct {
	records map[string]*record
	// graceEnd is the end of the grace after the directory's last outage.
	graceEnd time.Time
	// down states that the directory does not answer.
	down bool
	// departures holds the departures of recent incarnations.
	departures *simplelru.LRU[Incarnation, departure]
	deferred   map[string]deferredEntry
}

// New returns an empty Registry.
func New() *Registry {
	r := &Registry{records: make(map[string]*record), deferred: make(map[string]deferredEntry)}
	// The size is positive, which is all that NewLRU checks.
	r.departures, _ = simplelru.NewLRU[Incarnation, departure](maxDepartures, nil)
	return r
}

// DirectoryLost records that the directory does not answer.
func (r *Registry) DirectoryLost() { r.down = true }

// DirectoryRecovered records that the directory answers again. It must be called before the
// changes of the first answer are applied. The grace begins when the directory was back:
// answeringSince is the time since which it is known to answer, this gateway or others, or
// zero if that is not known. A single answer that was lost is no outage of the directory, and
// then no entry has lapsed by one.
func (r *Registry) DirectoryRecovered(now, answeringSince time.Time) {
	if !r.down {
		return
	}
	r.down = false
	back := now
	if !answeringSince.IsZero() && answeringSince.Before(now) {
		back = answeringSince
	}
	r.graceEnd = back.Add(ReregistrationGrace)
}

// MarkLeaving records that an endpoint announced in a response that it is leaving. The
// endpoint counts as draining until another one, or a later incarnation of it, takes
// its place. MarkLeaving returns false if this changes no entry.
func (r *Registry) MarkLeaving(now time.Time, i Incarnation) (Change, bool) {
	r.departures.Add(i, departure{at: now, leaving: true})
	rec := r.records[i.ID]
	if rec == nil || rec.entry.Born != i.Born || rec.entry.Leaving {
		return Change{}, false
	}
	delete(r.deferred, i.ID)
	rec.entry.Leaving, rec.entry.Draining = true, true
	return Change{Entry: rec.entry, State: StateDraining}, true
}

// Observe records the start of its process, in Unix milliseconds, that an endpoint stated. An
// endpoint that started again under its id, and whose entry still shows the process before, is
// unlisted until the directory shows another process than that, or the endpoint states the
// listed one again. Observe returns false if this changes no entry.
func (r *Registry) Observe(now time.Time, id string, born int64) (Change, bool) {
	rec := r.records[id]
	if rec == nil {
		return Change{}, false
	}
	rec.observedAt = now
	if rec.entry.Born == born {
		return Change{}, false
	}
	e := rec.entry
	e.Born, e.Unlisted, e.Leaving = born, born != rec.listed, false
	if d, ok := r.departures.Peek(e.Incarnation()); ok && d.leaving {
		e.Leaving, e.Draining = true, true
	}
	rec.entry = e
	return Change{Entry: e, State: StateRestarted}, true
}

// Put adds or replaces an entry; it returns false if nothing changed. The entry of an
// incarnation that announced its leaving counts as draining. Beyond maxEntries a further one
// is not added.
func (r *Registry) Put(e Entry) (Change, bool) {
	delete(r.deferred, e.ID)
	old := r.records[e.ID]
	if old == nil && len(r.records) >= maxEntries {
		return Change{Entry: e, State: StateLeftOut}, true
	}
	listed := e.Born
	switch {
	case e.Unlisted:
		// A peer does not tell which process the directory shows.
		listed = 0
	case old != nil && old.entry.Unlisted && old.listed == e.Born:
		e.Born, e.Unlisted = old.entry.Born, true
	}
	if d, ok := r.departures.Peek(e.Incarnation()); ok && d.leaving {
		e.Leaving = true
	}
	e.Draining = e.Draining || e.Leaving
	rec := &record{entry: e, listed: listed}
	if old != nil {
		rec.observedAt = old.observedAt
	}
	r.records[e.ID] = rec
	state := StateReady
	if e.Draining {
		state = StateDraining
	}
	switch {
	case old == nil:
	case old.entry.Born != e.Born:
		state = StateRestarted
	case old.entry == e && old.removeAt.IsZero():
		return Change{}, false
	}
	return Change{Entry: e, State: state}, true
}

// Remove handles an entry that the directory no longer has; it returns false if nothing
// changed. During the grace after an outage, a ready endpoint is kept until the grace
// ends.
func (r *Registry) Remove(now time.Time, id string) (Change, bool) {
	delete(r.deferred, id)
	rec := r.records[id]
	if rec == nil || !rec.removeAt.IsZero() {
		return Change{}, false
	}
	if now.Before(r.graceEnd) && !rec.entry.Draining {
		rec.removeAt = r.graceEnd
		return Change{Entry: rec.entry, State: StateLapsed}, true
	}
	r.drop(now, rec.entry)
	return Change{Entry: rec.entry, State: StateGone}, true
}

// drop removes an entry and records its departure.
func (r *Registry) drop(now time.Time, e Entry) {
	delete(r.records, e.ID)
	d, _ := r.departures.Peek(e.Incarnation())
	d.at = now
	r.departures.Add(e.Incarnation(), d)
}

// Restore applies a whole listing of a directory that came back as an older copy.
// Endpoints write again within the grace what they wrote since the copy was made: an
// endpoint whose entry is missing is kept until the grace ends, and an entry that shows
// an earlier state of an endpoint does not bring it back.
func (r *Registry) Restore(now time.Time, entries []Entry) []Change {
	r.down = false
	r.graceEnd = now.Add(ReregistrationGrace)
	var current []Entry
	for _, e := range entries {
		if r.outdated(now, e) {
			r.deferred[e.ID] = deferredEntry{entry: e, until: now.Add(departureTTL)}
			if rec := r.records[e.ID]; rec != nil && rec.entry.Born == e.Born {
				current = append(current, rec.entry)
			}
			continue
		}
		current = append(current, e)
	}
	deferred := maps.Clone(r.deferred)
	changes := r.Replace(now, current)
	r.deferred = deferred
	return changes
}

// outdated reports whether newer information about the endpoint is known than the
// entry shows: a later incarnation, that it is draining, or its recent departure.
func (r *Registry) outdated(now time.Time, e Entry) bool {
	if rec := r.records[e.ID]; rec != nil {
		if rec.entry.Unlisted {
			// What else is known of the endpoint is that of the process before.
			return false
		}
		return e.Born < rec.entry.Born || e.Born == rec.entry.Born && rec.entry.Draining && !e.Draining
	}
	d, known := r.departures.Peek(e.Incarnation())
	return known && now.Sub(d.at) < departureTTL
}

// Replace applies a whole listing of the directory.
func (r *Registry) Replace(now time.Time, entries []Entry) []Change {
	var changes []Change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		if c, ok := r.Put(e); ok {
			changes = append(changes, c)
		}
	}
	for id := range r.records {
		if listed[id] {
			continue
		}
		if c, ok := r.Remove(now, id); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// Expire drops lapsed entries whose grace has ended and applies deferred entries whose
// time has come.
func (r *Registry) Expire(now time.Time) []Change {
	var changes []Change
	for _, rec := range r.records {
		if rec.removeAt.IsZero() || now.Before(rec.removeAt) {
			continue
		}
		r.drop(now, rec.entry)
		changes = append(changes, Change{Entry: rec.entry, State: StateGone})
	}
	for _, d := range r.deferred {
		if now.Before(d.until) {
			continue
		}
		if c, ok := r.Put(d.entry); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// Incarnation returns the current incarnation of an endpoint; false for an unknown one.
func (r *Registry) Incarnation(id string) (Incarnation, bool) {
	rec := r.records[id]
	if rec == nil {
		return Incarnation{}, false
	}
	return rec.entry.Incarnation(), true
}

// Entry returns the entry of an endpoint; false for an unknown one.
func (r *Registry) Entry(id string) (Entry, bool) {
	rec := r.records[id]
	if rec == nil {
		return Entry{}, false
	}
	return rec.entry, true
}

// IncarnationAt returns the incarnation of the endpoint at an address, leaving out the
// endpoint with the id except; false if there is none.
func (r *Registry) IncarnationAt(address, except string) (Incarnation, bool) {
	for id, rec := range r.records {
		if id != except && rec.entry.Address == address {
			return rec.entry.Incarnation(), true
		}
	}
	return Incarnation{}, false
}

// Unlisted calls f for each unlisted endpoint that last stated its process before a time.
func (r *Registry) Unlisted(before time.Time, f func(Entry)) {
	for _, rec := range r.records {
		if rec.entry.Unlisted && rec.observedAt.Before(before) {
			f(rec.entry)
		}
	}
}

// Entries calls f for each known entry.
func (r *Registry) Entries(f func(Entry)) {
	for _, rec := range r.records {
		f(rec.entry)
	}
}
