package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/proof"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

const (
	// streamQuestionTimeout bounds the question for which a stream waits. An endpoint that states
	// its process does so in a few round trips; a slower one is asked without a caller.
	streamQuestionTimeout = 60 * time.Millisecond
	// unlistedPause is how long an unlisted endpoint gets no stream that may be resumed. The next
	// one asks it again: what it stated last may have been said by another process.
	unlistedPause = 3 * time.Second
	// proofPause is how often a stream that waits for a proof is placed again.
	proofPause = 25 * time.Millisecond
	// proofWaitDivisor gives the part of a caller's time that a stream waits for a proof.
	proofWaitDivisor = 4
	// unprovenRetryAfter is the Retry-After of a stream that waited in vain: about half of the time
	// that heartbeats take to prove a process.
	unprovenRetryAfter = time.Second
)

// AsksProcess implements relay.PlacedAttempt. An entry without a start can't be compared with an
// answer.
func (a *placedAttempt) AsksProcess() (timeout time.Duration, asks bool) {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return streamQuestionTimeout, a.incarnation.Born != 0 && !d.proofs.Needed(a.incarnation.ID)
}

// ExpectedProcess implements relay.PlacedAttempt.
func (a *placedAttempt) ExpectedProcess() upstream.Identity {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.proofs.Needed(a.choice.Endpoint.ID) {
		return upstream.Identity{}
	}
	return d.proofs.Proven(a.choice.Endpoint.ID)
}

// AcceptProcess implements relay.PlacedAttempt. An endpoint without a usable answer gets no
// stream that may be resumed until its process is proven.
func (a *placedAttempt) AcceptProcess(p upstream.Process) bool {
	accepted, changes := a.dispatcher.acceptProcess(a, p)
	a.dispatcher.onEndpointChanges(changes)
	return accepted
}

func (d *dispatcher) acceptProcess(a *placedAttempt, p upstream.Process) (bool, []registry.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if p.Asked {
		d.limits.Take(now, placement.Hash(a.choice.Endpoint.ID))
		d.onProcess(p.State)
	}
	switch p.State {
	case upstream.ProcessStated:
		return d.acceptStated(now, a, p)
	case upstream.ProcessProven:
		return d.acceptProven(a), nil
	case upstream.ProcessSilent, upstream.ProcessNoAnswer, upstream.ProcessNotAsked:
		d.handOver(now, a)
	}
	return false, nil
}

// handOver lets the process of an endpoint that did not state it in time be proved otherwise. The
// mutex is held.
func (d *dispatcher) handOver(now time.Time, a *placedAttempt) {
	e, known := d.registry.Entry(a.choice.Endpoint.ID)
	if !known || e.Unlisted || e.Address != a.choice.Endpoint.Address {
		return
	}
	d.observeHeld(now, e.ID)
	d.proofs.HandOver(now, proofEntry(e))
	d.applyProofs()
}

// acceptProven reports whether the process that evidence shows for an endpoint is the one in
// force, of the version at which the attempt was placed. The mutex is held.
func (d *dispatcher) acceptProven(a *placedAttempt) bool {
	e, known := d.registry.Entry(a.choice.Endpoint.ID)
	proven := d.proofs.Proven(e.ID)
	accepted := known && !e.Unlisted && e.Address == a.choice.Endpoint.Address && e.Version == a.choice.Endpoint.Version &&
		proven.Endpoint == e.ID && proven.Born == e.Born && proven.Version == e.Version && e.Incarnation() == a.incarnation
	if accepted {
		// The request goes to the listed process, whatever the gateway saw end.
		a.refusals = 0
	}
	return accepted
}

// acceptStated reports whether the process is of the version at which the attempt was placed.
// An answer on a kept connection says nothing of the process that has the address now, nor does
// one of an address at which the directory does not show the endpoint any more. The mutex is held.
func (d *dispatcher) acceptStated(now time.Time, a *placedAttempt, p upstream.Process) (bool, []registry.Change) {
	id := a.choice.Endpoint.ID
	e, known := d.registry.Entry(id)
	if !known {
		return false, nil
	}
	var changes []registry.Change
	if p.Asked && e.Incarnation() == a.incarnation && e.Address == a.choice.Endpoint.Address {
		if c, changed := d.registry.Observe(now, id, p.Born); changed {
			changes = []registry.Change{c}
			d.applyChanges(now, changes)
			e = c.Entry
		}
	}
	if e.Unlisted {
		d.putEndpoint(now, e)
		d.drainEndpoint(e)
	}
	a.incarnation = registry.Incarnation{ID: id, Born: p.Born}
	accepted := e.Born == p.Born && !e.Unlisted && e.Version == a.choice.Endpoint.Version
	if accepted {
		// The request goes to the listed process, whatever the gateway saw end.
		a.refusals = 0
	}
	if accepted && p.Asked {
		d.proofs.Unwatch(e.Service)
	}
	return accepted, changes
}

// askUnlisted lets unlisted endpoints that were not asked lately get streams that may be
// resumed, which ask them. The mutex is held.
func (d *dispatcher) askUnlisted(now time.Time) {
	d.registry.Unlisted(now.Add(-unlistedPause), func(e registry.Entry) { d.fleet.AllowVersion(e.ID) })
}

// restrictProcess lets streams that may be resumed be placed only at endpoints whose process is
// proven, or that can be asked. The mutex is held.
func (d *dispatcher) restrictProcess(now time.Time, w *placement.Work, r relay.AdmissionRequest) {
	w.Proven = r.Resumable
	if r.Resumable {
		d.proofs.Wanted(now, w.Service)
	}
}

// refuseUnplaced returns the refusal of a request that no endpoint of its service accepts. A
// stream for which some endpoint would be left if its process were proven waits for that. The
// mutex is held.
func (d *dispatcher) refuseUnplaced(now time.Time, w *placement.Work, r relay.AdmissionRequest) *relay.Refusal {
	if !w.Proven || !d.fleet.HasUnproven(w) {
		return d.refuseNoEndpoint(now, w, r)
	}
	refusal := &relay.Refusal{Reason: relay.VersionUnknown, RetryAfter: unprovenRetryAfter}
	if r.Paused < min((r.TimeLeft+r.Paused)/proofWaitDivisor, d.proofs.Lapse()) {
		refusal.Pause = proofPause
	}
	return refusal
}

// proofEntry returns what an entry of the directory says of a process.
func proofEntry(e registry.Entry) proof.Entry {
	return proof.Entry{ID: e.ID, Service: e.Service, Address: e.Address, Version: e.Version, Born: e.Born}
}

func proofEntries(entries []registry.Entry) []proof.Entry {
	list := make([]proof.Entry, 0, len(entries))
	for _, e := range entries {
		list = append(list, proofEntry(e))
	}
	return list
}

// listProofs handles a whole listing of the directory. Of the first one, endpoints of services with
// streams that may be resumed are observed before a stream needs them. The mutex is held.
func (d *dispatcher) listProofs(now time.Time, entries []registry.Entry) {
	list := proofEntries(entries)
	d.proofs.Listed(now, list)
	if !d.endpointsListed {
		// Not all gateways of a large site observe the same endpoints.
		d.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		d.watched = list
	}
	d.watchListed(now)
}

// watchListed observes the endpoints of the first listing, once the configuration tells which
// services have streams that may be resumed. The mutex is held.
func (d *dispatcher) watchListed(now time.Time) {
	if d.table == nil {
		return
	}
	for _, e := range d.watched {
		if _, ok := d.resumable[e.Service]; ok {
			d.proofs.Watch(now, e)
		}
	}
	d.watched = nil
}

// observeHeld tells the proofs if the connection that is held to an endpoint has ended. The mutex
// is held.
func (d *dispatcher) observeHeld(now time.Time, id string) {
	if h := d.held[id]; h != nil && !h.IsOpen() {
		d.closeHeld(id)
		d.proofs.Ended(now, id)
	}
}

// closeHeld closes the connection that is held to an endpoint. The mutex is held.
func (d *dispatcher) closeHeld(id string) {
	if h := d.held[id]; h != nil {
		h.Close()
		delete(d.held, id)
	}
}

// dropProof forgets an endpoint that states its process in time. The mutex is held.
func (d *dispatcher) dropProof(id string) {
	d.proofs.Forget(id)
	d.fleet.SetUnproven(id, false)
	d.closeHeld(id)
}

// applyProofs applies the changes of the proofs to the fleet and the connections. The mutex is
// held.
func (d *dispatcher) applyProofs() {
	for _, c := range d.proofs.Changes() {
		if h := d.held[c.Endpoint]; h != nil && c.Proven {
			if process := d.proofs.Proven(c.Endpoint); process != (upstream.Identity{}) {
				h.Prove(process)
			}
		}
		d.fleet.SetUnproven(c.Endpoint, d.proofs.Unproven(c.Endpoint))
		if c.Needed {
			d.onProof(c)
		}
	}
}
