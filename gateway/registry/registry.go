// Package registry keeps the endpoints of every service as the platform's
// directory reports them. It decides when an endpoint that vanished from the
// directory is gone: entries can lapse while the directory itself is down, and
// those are kept until the endpoint had time to register again.
//
// A Registry is not safe for concurrent use; the time is a parameter.
package registry

import (
	"maps"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// ReturnGrace is how long after the return of the directory an entry that lapsed
// during the outage may still reappear. The platform states about two seconds.
const ReturnGrace = 2 * time.Second

// Entry is what the directory says of an endpoint.
type Entry struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	// Slots is the number of requests that run at the same time.
	Slots    int
	Draining bool
	// Leaving states that the endpoint itself said, in an answer, that it leaves. It
	// holds for this start of the endpoint, whatever the directory says.
	Leaving bool
	// Born is the time of the endpoint's start in Unix milliseconds, 0 if unknown.
	Born int64
}

// Incarnation identifies one start of an endpoint.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the identity of this start of the endpoint.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// States of entries in a Change.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	// StateRestarted entries have the id of an earlier start of an endpoint.
	StateRestarted = "restarted"
	// StateLapsed entries are missing and are kept for the grace.
	StateLapsed = "lapsed"
	StateGone   = "gone"
)

// Change is an added, replaced or removed entry.
type Change struct {
	Entry Entry
	State string
}

const (
	// maxDepartures bounds the starts of endpoints whose end is remembered; the oldest
	// are forgotten.
	maxDepartures = 4096
	// departureMemory is how long an entry of an older copy of the directory does not
	// bring an endpoint back that was seen to leave. The entry of one that is gone
	// lapses after three intervals of its writes, which is a few seconds.
	departureMemory = 30 * time.Second
)

// departure is what is remembered of the end of an endpoint.
type departure struct {
	at      time.Time
	leaving bool
}

// heldEntry is an entry of an older copy that is not believed yet.
type heldEntry struct {
	entry Entry
	until time.Time
}

type record struct {
	entry Entry
	// removeAt is when a lapsed entry is dropped; zero for present entries.
	removeAt time.Time
}

// Registry holds the current entries.
type Registry struct {
	records map[string]*record
	// graceEnd is the end of the grace after the last return of the directory.
	graceEnd time.Time
	down     bool
	// departures are the starts of endpoints that were seen to leave.
	departures *simplelru.LRU[Incarnation, departure]
	held       map[string]heldEntry
}

// New returns an empty Registry.
func New() *Registry {
	r := &Registry{records: make(map[string]*record), held: make(map[string]heldEntry)}
	// The size is positive, which is all that NewLRU checks.
	r.departures, _ = simplelru.NewLRU[Incarnation, departure](maxDepartures, nil)
	return r
}

// DirectoryLost notes that the directory does not answer.
func (r *Registry) DirectoryLost() { r.down = true }

// DirectoryBack notes that the directory answers. It must be called before the
// changes of the first answer are applied.
func (r *Registry) DirectoryBack(now time.Time) {
	if !r.down {
		return
	}
	r.down = false
	r.graceEnd = now.Add(ReturnGrace)
}

// Leave notes that an endpoint said in an answer that it leaves. It counts as
// draining until another one, or a later start of it, takes its place.
func (r *Registry) Leave(now time.Time, i Incarnation) (Change, bool) {
	r.departures.Add(i, departure{at: now, leaving: true})
	rec := r.records[i.ID]
	if rec == nil || rec.entry.Born != i.Born || rec.entry.Leaving {
		return Change{}, false
	}
	e := rec.entry
	return r.Put(e)
}

// Put adds or replaces an entry.
func (r *Registry) Put(e Entry) (Change, bool) {
	delete(r.held, e.ID)
	old := r.records[e.ID]
	if d, ok := r.departures.Peek(e.Incarnation()); ok && d.leaving {
		e.Leaving = true
	}
	e.Draining = e.Draining || e.Leaving
	r.records[e.ID] = &record{entry: e}
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

// Remove handles an entry that the directory no longer has. While the grace
// after an outage lasts, a ready endpoint stays usable until its end.
func (r *Registry) Remove(now time.Time, id string) (Change, bool) {
	delete(r.held, id)
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

// drop forgets an entry and remembers its end.
func (r *Registry) drop(now time.Time, e Entry) {
	delete(r.records, e.ID)
	d, _ := r.departures.Peek(e.Incarnation())
	d.at = now
	r.departures.Add(e.Incarnation(), d)
}

// Restore applies a whole listing of a directory that came back as an older copy.
// What endpoints wrote since the copy was made is written again within the grace:
// an endpoint whose entry is missing is kept until then, and an entry that shows
// an earlier state of an endpoint does not bring it back.
func (r *Registry) Restore(now time.Time, entries []Entry) []Change {
	r.down = false
	r.graceEnd = now.Add(ReturnGrace)
	var current []Entry
	for _, e := range entries {
		if r.outdated(now, e) {
			r.held[e.ID] = heldEntry{entry: e, until: now.Add(departureMemory)}
			if rec := r.records[e.ID]; rec != nil && rec.entry.Born == e.Born {
				current = append(current, rec.entry)
			}
			continue
		}
		current = append(current, e)
	}
	held := maps.Clone(r.held)
	changes := r.Replace(now, current)
	r.held = held
	return changes
}

// outdated reports whether an entry shows an endpoint as it was before something
// that is known.
func (r *Registry) outdated(now time.Time, e Entry) bool {
	if rec := r.records[e.ID]; rec != nil {
		return e.Born < rec.entry.Born || e.Born == rec.entry.Born && rec.entry.Draining && !e.Draining
	}
	d, known := r.departures.Peek(e.Incarnation())
	return known && now.Sub(d.at) < departureMemory
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

// Expire drops lapsed entries whose grace has ended.
func (r *Registry) Expire(now time.Time) []Change {
	var changes []Change
	for _, rec := range r.records {
		if rec.removeAt.IsZero() || now.Before(rec.removeAt) {
			continue
		}
		r.drop(now, rec.entry)
		changes = append(changes, Change{Entry: rec.entry, State: StateGone})
	}
	for _, h := range r.held {
		if now.Before(h.until) {
			continue
		}
		if c, ok := r.Put(h.entry); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// Incarnation returns the present start of an endpoint; false for an unknown one.
func (r *Registry) Incarnation(id string) (Incarnation, bool) {
	rec := r.records[id]
	if rec == nil {
		return Incarnation{}, false
	}
	return rec.entry.Incarnation(), true
}

// At returns the present start of the endpoint at an address, other than the one
// with the given id; false for none.
func (r *Registry) At(address, except string) (Incarnation, bool) {
	for id, rec := range r.records {
		if id != except && rec.entry.Address == address {
			return rec.entry.Incarnation(), true
		}
	}
	return Incarnation{}, false
}

// Entries calls f for each known entry.
func (r *Registry) Entries(f func(Entry)) {
	for _, rec := range r.records {
		f(rec.entry)
	}
}
