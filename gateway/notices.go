package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

const (
	// retrySpread is the time over which the retries of callers of one rank are spread
	// when all endpoints were full; those of the next rank follow after it.
	retrySpread = 500 * time.Millisecond
	// maxLeavingStated bounds the leaving endpoints in statements to peers, and
	// leavingStatedFor how long each is included: a few statements of the largest site.
	maxLeavingStated = 64
	leavingStatedFor = 15 * time.Second
)

// retryAfter returns the Retry-After while no endpoint of a service accepts work: the
// time until the first pause of a full endpoint ends, or a fixed time if none is
// paused. After a pause, callers of a lower priority, which have a higher rank, retry
// later, and the retries of one rank are spread.
func (d *dispatcher) retryAfter(now time.Time, service string, p routing.Priority) time.Duration {
	wait := d.pauses.UntilFirstEnd(now, func(endpoint uint64) bool { return d.fleet.ServiceOf(endpoint) == service })
	if wait <= 0 {
		return admission.NoEndpointRetryAfter
	}
	spread := time.Duration(d.rng.Int64N(int64(retrySpread)))
	return wait + time.Duration(max(p.Rank, 0))*retrySpread + spread
}

// applyNotice handles the notice in a response from an address to a request that was
// sent to endpoint i at sentAt. The notice applies to i, or, if n.OtherEndpoint is set,
// to the other endpoint that now has the address.
func (d *dispatcher) applyNotice(i registry.Incarnation, address string, sentAt time.Time, n relay.Notice) []registry.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.OtherEndpoint {
		var known bool
		if i, known = d.registry.IncarnationAt(address, i.ID); !known {
			return nil
		}
	}
	now := time.Now()
	if d.mayBeOfListed(i, address, sentAt) {
		d.applyWishes(now, sentAt, i, n)
	}
	if !n.Leaving {
		return nil
	}
	changes := d.markLeaving(now, i)
	if len(changes) > 0 {
		d.recentlyLeaving = append(d.recentlyLeaving, leavingEndpoint{i, now})
		d.recentlyLeaving = d.recentlyLeaving[max(len(d.recentlyLeaving)-maxLeavingStated, 0):]
	}
	return changes
}

// applyWishes records the pause and the limit in a notice of endpoint i. The mutex is held.
func (d *dispatcher) applyWishes(now, sentAt time.Time, i registry.Incarnation, n relay.Notice) {
	if n.Pause > 0 && d.pauses.SetPause(now, placement.Hash(i.ID), now.Add(n.Pause)) {
		d.onPause(i.ID, n.Pause)
	}
	d.observeLimit(now, sentAt, i, n)
}

// markLeaving stops assigning work to a leaving endpoint. A later process with the same
// id is not affected. The mutex is held.
func (d *dispatcher) markLeaving(now time.Time, i registry.Incarnation) []registry.Change {
	c, changed := d.registry.MarkLeaving(now, i)
	if !changed {
		return nil
	}
	changes := []registry.Change{c}
	d.applyChanges(now, changes)
	return changes
}

// leavingEndpoint is an incarnation of an endpoint that announced in a response that it
// is leaving.
type leavingEndpoint struct {
	registry.Incarnation
	at time.Time
}
