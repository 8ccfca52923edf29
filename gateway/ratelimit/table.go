package ratelimit

import "time"

// maxEndpoints bounds the endpoints with a known limit; the limits of further ones are
// not recorded.
const maxEndpoints = 4096

// Table holds the limits of the endpoints, by the hash of their ids.
type Table struct {
	endpoints map[uint64]*endpoint
}

// endpoint is an endpoint that names a limit.
type endpoint struct {
	perSecond float64
	// at is the latest time at which the limit is known to have been in force.
	at time.Time
}

// New returns an empty Table.
func New() *Table { return &Table{endpoints: make(map[uint64]*endpoint)} }

// Len returns the number of endpoints with a limit.
func (t *Table) Len() int { return len(t.endpoints) }

// Observe records what a response says. sentAt is when the request that it answers was
// sent, or zero if the response may answer another one. Observe reports whether the
// limit changes.
//
// Responses overtake each other, so a limit is lowered at once, but raised or lifted only
// by the response to a request that was sent after the limit was last confirmed.
func (t *Table) Observe(now, sentAt time.Time, id uint64, r Report) bool {
	e := t.endpoints[id]
	switch {
	case r.State == Unreadable || e == nil && (r.State == Unlimited || len(t.endpoints) >= maxEndpoints):
		return false
	case e == nil:
		t.endpoints[id] = &endpoint{perSecond: r.PerSecond, at: now}
		return true
	case r.State == Limited && r.PerSecond <= e.perSecond:
		changed := r.PerSecond != e.perSecond
		e.perSecond, e.at = r.PerSecond, now
		return changed
	case !sentAt.After(e.at):
		return false
	case r.State == Unlimited:
		delete(t.endpoints, id)
		return true
	}
	e.perSecond, e.at = r.PerSecond, sentAt
	return true
}

// Forget removes an endpoint that has restarted.
func (t *Table) Forget(id uint64) { delete(t.endpoints, id) }
