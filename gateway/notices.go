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
	// returnSpread is the time over which callers of one rank come back when all
	// endpoints were full; the next rank follows after it.
	returnSpread = 500 * time.Millisecond
	// maxLeavingTold bounds the leaving endpoints that are told to peers, and
	// leavingTold how long: some statements of the largest site.
	maxLeavingTold = 64
	leavingTold    = 15 * time.Second
)

// returnTime is the advice while no endpoint of a service accepts work: when the
// first of those that are full wants requests again, or a fixed time without such.
// Callers of a lower rank come back later, and those of one rank spread.
func (d *dispatcher) returnTime(now time.Time, service string, p routing.Priority) time.Duration {
	wait := d.pauses.Earliest(now, func(endpoint uint64) bool { return d.fleet.ServiceOf(endpoint) == service })
	if wait <= 0 {
		return admission.NoEndpointRetryAfter
	}
	spread := time.Duration(d.rng.Int64N(int64(returnSpread)))
	return wait + time.Duration(max(p.Rank, 0))*returnSpread + spread
}

// noticed takes what the endpoint at an address said of itself in an answer to a
// request for the given start of an endpoint.
func (d *dispatcher) noticed(i registry.Incarnation, address string, n relay.Notice) []registry.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.Other {
		var known bool
		if i, known = d.registry.IncarnationAt(address, i.ID); !known {
			return nil
		}
	}
	now := time.Now()
	if n.Pause > 0 && d.pauses.Asked(now, placement.Hash(i.ID), now.Add(n.Pause)) {
		d.paused(i.ID, n.Pause)
	}
	if !n.Leaving {
		return nil
	}
	changes := d.leave(now, i)
	if len(changes) > 0 {
		d.leaving = append(d.leaving, departed{i, now})
		d.leaving = d.leaving[max(len(d.leaving)-maxLeavingTold, 0):]
	}
	return changes
}

// leave gives no more work to a start of an endpoint that is leaving. The mutex is
// held.
func (d *dispatcher) leave(now time.Time, i registry.Incarnation) []registry.Change {
	c, changed := d.registry.MarkLeaving(now, i)
	if !changed {
		return nil
	}
	changes := []registry.Change{c}
	d.apply(now, changes)
	return changes
}

// departed is a start of an endpoint that said that it leaves.
type departed struct {
	registry.Incarnation
	at time.Time
}
