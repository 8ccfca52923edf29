// Package registry keeps the endpoints of every service as the platform's
// directory reports them. It decides when an endpoint that vanished from the
// directory is gone: entries can lapse while the directory itself is down, and
// those are kept until the endpoint had time to register again.
//
// A Registry is not safe for concurrent use; the time is a parameter.
package registry

import (
	"time"
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
}

// New returns an empty Registry.
func New() *Registry { return &Registry{records: make(map[string]*record)} }

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

// Put adds or replaces an entry.
func (r *Registry) Put(e Entry) (Change, bool) {
	old := r.records[e.ID]
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
	rec := r.records[id]
	if rec == nil || !rec.removeAt.IsZero() {
		return Change{}, false
	}
	if now.Before(r.graceEnd) && !rec.entry.Draining {
		rec.removeAt = r.graceEnd
		return Change{Entry: rec.entry, State: StateLapsed}, true
	}
	delete(r.records, id)
	return Change{Entry: rec.entry, State: StateGone}, true
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
	for id, rec := range r.records {
		if rec.removeAt.IsZero() || now.Before(rec.removeAt) {
			continue
		}
		delete(r.records, id)
		changes = append(changes, Change{Entry: rec.entry, State: StateGone})
	}
	return changes
}

// Entries calls f for each known entry.
func (r *Registry) Entries(f func(Entry)) {
	for _, rec := range r.records {
		f(rec.entry)
	}
}
