package gateway

import (
	"errors"
	"syscall"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
)

// An endpoint may start again under its id and address. Until its entry is known, requests
// reach the new process under the entry of the one before, and responses do not tell which of
// the two made them. What is kept under the id is therefore handled by these rules when the
// entry arrives:
//   - Results of attempts and cached parts under the entry before are not those of the new
//     process.
//   - Running requests that were sent later than the last sign that the process before ended
//     are load of the new process. Without a sign they may wait at a machine that went silent.
//   - A pause or a limit is kept, as the new process may have stated it, unless a sign that the
//     process before ended came later than the response.
//   - A crash is one of another process if a connection was refused before the request was sent.
//   - An entry without the start of its process never shows a restart. A refused connection counts
//     as the end of that process instead.
//   - That an endpoint leaves counts only for the process that the request was sent to: a
//     process announces it near its end, and it would hold for all of the next one.

// recordProcessEnd records a sign that the listed process of an endpoint ended at a time. An
// empty id is ignored. The mutex is held.
func (d *dispatcher) recordProcessEnd(id string, at time.Time) {
	if id != "" {
		d.reach.RecordEnd(at, placement.Hash(id))
	}
}

// connectionFailed records that a connection to an address failed. Only a refusal tells that
// the process there has ended: a connection also times out if packets are lost.
func (d *dispatcher) connectionFailed(address string, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.registry.Entries(func(e registry.Entry) {
		if e.Address != address {
			return
		}
		d.reach.RecordRefusal(now, placement.Hash(e.ID))
		if e.Born == 0 {
			d.forgetProcess(now, e)
		}
	})
}

// forgetProcess forgets what was true of the process of an endpoint that has ended, and whose next
// process the directory does not tell apart. That connections were refused stays known. The mutex
// is held.
func (d *dispatcher) forgetProcess(now time.Time, e registry.Entry) {
	endpoint := placement.Hash(e.ID)
	d.health.Leave(now, e.ID)
	d.pauses.Restart(endpoint, now)
	d.limits.Restart(endpoint, now)
	d.fleet.Remove(e.ID)
	d.putEndpoint(now, e)
	d.drainEndpoint(e)
}

// restartEndpoint replaces the process of an endpoint. The mutex is held.
func (d *dispatcher) restartEndpoint(now time.Time, e registry.Entry) {
	endpoint, since := placement.Hash(e.ID), d.reachableSince(now, e)
	d.health.Leave(now, e.ID)
	d.reach.Restart(endpoint, since)
	d.pauses.Restart(endpoint, since)
	d.limits.Restart(endpoint, since)
	d.fleet.Remove(e.ID)
	d.putEndpoint(now, e)
	if !since.IsZero() {
		d.moveRunning(now, e.ID, since)
	}
}

// moveRunning counts the running requests that were sent to an endpoint after a time as load of
// its current process. The mutex is held.
func (d *dispatcher) moveRunning(now time.Time, id string, since time.Time) {
	for a := range d.inFlight {
		if a.incarnation.ID == id && a.sentAt.After(since) {
			d.fleet.Move(now, a.flight)
		}
	}
}

// reachableSince returns the earliest time at which the process of an entry can have been
// reached under the entry before, which is still known; zero if no sign tells it. None was
// reached if the address is another one, or if the one before got no requests any more. The
// mutex is held.
func (d *dispatcher) reachableSince(now time.Time, e registry.Entry) time.Time {
	if d.fleet.Address(e.ID) != e.Address || d.fleet.IsDraining(e.ID) {
		return now
	}
	return d.reach.EndSeenAt(placement.Hash(e.ID))
}

// mayBeOfListed reports whether the listed process of an endpoint may have made a response
// from an address to a request that was sent at a time to process i of the endpoint. The mutex
// is held.
func (d *dispatcher) mayBeOfListed(i registry.Incarnation, address string, sentAt time.Time) bool {
	listed, known := d.registry.Incarnation(i.ID)
	if !known || listed == i {
		return true
	}
	return d.fleet.Address(i.ID) == address && sentAt.After(d.reach.ReachableSince(placement.Hash(i.ID)))
}
