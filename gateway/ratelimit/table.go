package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEndpoints bounds the endpoints with a known limit; at the bound, the one confirmed
	// longest ago is dropped.
	maxEndpoints = 4096
	// maxPeers bounds the peers that share the limits; further ones get no share, and are
	// not known to the exchange of statements either.
	maxPeers = 1024
	// peerHoldTime is how long a silent peer keeps its share of each limit. It may be cut
	// off from this gateway and still send to the endpoints.
	peerHoldTime = 30 * time.Second
	// minJoinTime and joinIntervals, a number of statement intervals, are how long a
	// gateway that has started claims no share: until its peers have heard of it and it
	// has heard of them.
	minJoinTime   = 3 * time.Second
	joinIntervals = 3
	// spreadIntervals is the number of statement intervals after which all gateways know
	// what one stated, even if a statement is lost.
	spreadIntervals = 3
	// liftedStatedFor is how long peers are told that a limit was lifted: a few statements
	// of the largest site.
	liftedStatedFor = 15 * time.Second
	// leftKeptFor is how long the limit of a removed endpoint is kept: as long as the registry
	// remembers its departure.
	leftKeptFor = 30 * time.Second
)

// Table holds the limits of the endpoints, by the hash of their ids, and this gateway's
// share of each.
type Table struct {
	// self is the hash of the own address; zero if there are no peers.
	self      uint64
	startedAt time.Time
	clock     clock
	// interval is the time between two statements.
	interval time.Duration
	// spread is the time after which all gateways know a stated weight.
	spread time.Duration
	// peers holds when each peer last sent a statement, by the hash of its address.
	peers     map[uint64]time.Time
	endpoints map[uint64]*endpoint
	// unstated is set while a limit has changed since the last statement.
	unstated bool
}

// endpoint is an endpoint that names a limit, or did so until recently.
type endpoint struct {
	id        uint64
	perSecond float64
	lifted    bool
	// at is the latest time at which the limit, or its end, is known to have been in force.
	at time.Time
	// left is the process that had the endpoint's id when it was removed; zero while the
	// endpoint is known.
	left     uint64
	wanted   demand
	statedAt time.Time
	own      *recentWeights
	peers    map[uint64]*recentWeights
	allowance
}

// New returns an empty Table of the gateway at an address, which has started now; empty if
// it has no peers.
func New(now time.Time, address string) *Table {
	t := &Table{startedAt: now, peers: make(map[uint64]time.Time), endpoints: make(map[uint64]*endpoint)}
	t.clock.set(now, 0)
	if address != "" {
		t.self = xxhash.Sum64String(address)
	}
	return t
}

// Len returns the number of endpoints with a limit.
func (t *Table) Len() int {
	n := 0
	for _, e := range t.endpoints {
		if !e.lifted {
			n++
		}
	}
	return n
}

// Observe records what a response says. sentAt is when the request that it answers was
// sent, or zero if the response may answer another one. Observe reports whether the
// limit changes.
//
// Responses overtake each other, so a limit is lowered at once, but raised or lifted only
// by the response to a request that was sent after the limit was last confirmed.
func (t *Table) Observe(now, sentAt time.Time, id uint64, r Report) bool {
	e := t.endpoints[id]
	unlimited := e == nil || e.lifted
	switch {
	case r.State == Unreadable || r.State == Unlimited && unlimited:
		return false
	case r.State == Limited && (unlimited || r.PerSecond <= e.perSecond):
		return t.set(now, id, r, now)
	case !sentAt.After(e.at):
		return false
	}
	return t.set(now, id, r, sentAt)
}

// set records a limit, or that there is none, as of a time, and reports whether it changes.
func (t *Table) set(now time.Time, id uint64, r Report, at time.Time) bool {
	e := t.endpoints[id]
	if e == nil {
		t.makeRoom()
		e = &endpoint{id: id, lifted: true, own: newRecentWeights(now), peers: make(map[uint64]*recentWeights)}
		t.endpoints[id] = e
	}
	changed := e.lifted != (r.State == Unlimited) || e.perSecond != r.PerSecond
	e.lifted, e.perSecond, e.at = r.State == Unlimited, r.PerSecond, at
	if changed {
		t.unstated, e.statedAt = true, time.Time{}
		e.reset(t.clock.since(now), e.rate())
	}
	return changed
}

// makeRoom drops the endpoint that was confirmed longest ago if the table is full.
func (t *Table) makeRoom() {
	if len(t.endpoints) < maxEndpoints {
		return
	}
	var oldest *endpoint
	for _, e := range t.endpoints {
		if oldest == nil || e.at.Before(oldest.at) {
			oldest = e
		}
	}
	delete(t.endpoints, oldest.id)
}

// Restart handles the next process of an endpoint, which can have been reached since a time
// under the entry of the process before; zero if that is not known. A limit that was in force
// later may be its own and holds on.
func (t *Table) Restart(id uint64, since time.Time) {
	if e := t.endpoints[id]; e != nil && !e.at.After(since) {
		delete(t.endpoints, id)
	}
}

// Leave handles the removal of an endpoint whose process has the given hash. Its limit is kept
// for a while in case the process comes back.
func (t *Table) Leave(id, process uint64) {
	if e := t.endpoints[id]; e != nil {
		e.left = process
	}
}

// Join handles an endpoint whose process has the given hash. It forgets the limit of another
// process that left.
func (t *Table) Join(id, process uint64) {
	e := t.endpoints[id]
	switch {
	case e == nil:
	case e.left != 0 && e.left != process:
		delete(t.endpoints, id)
	default:
		e.left = 0
	}
}

// Want counts a request that would be sent to an endpoint if it had no limit.
func (t *Table) Want(now time.Time, id uint64) {
	if e := t.endpoints[id]; e != nil {
		e.wanted.count(now)
	}
}

// HasUnstated reports whether a limit has changed since the last statement.
func (t *Table) HasUnstated() bool { return t.unstated }

// Entry is what a statement to peers says about one endpoint.
type Entry struct {
	Endpoint uint64
	// PerSecond is the limit in requests a second; Lifted is set if there is none any more.
	PerSecond float64
	Lifted    bool
	// At is the site time at which the limit was last known to be in force.
	At time.Duration
	// Wanted is the number of requests a second that the gateway would send to the endpoint
	// without the limit.
	Wanted float64
}

// Statement returns the site time and up to n entries for the next statement; the interval
// is the time until the one after it. Beyond n endpoints, those that changed come first,
// then those that were stated longest ago.
func (t *Table) Statement(now time.Time, interval time.Duration, n int) (site time.Duration, entries []Entry) {
	t.interval = interval
	t.dropEnded(now)
	t.dropSilentPeers(now)
	due := make([]*endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		t.claim(now, e)
		due = append(due, e)
	}
	slices.SortFunc(due, func(a, b *endpoint) int { return a.statedAt.Compare(b.statedAt) })
	rounds := (len(due) + n - 1) / n
	t.spread = spreadIntervals * interval * time.Duration(max(rounds, 1))
	for _, e := range due[:min(len(due), n)] {
		weight := e.wanted.weight(now)
		e.own.add(now, weight, t.spread)
		e.statedAt = now
		entries = append(entries, Entry{
			Endpoint: e.id, PerSecond: e.perSecond, Lifted: e.lifted, At: t.clock.since(e.at), Wanted: weight,
		})
	}
	t.unstated = false
	return t.clock.since(now), entries
}

// dropEnded drops the endpoints whose peers had time to hear that the limit was lifted, and
// those that were removed long ago.
func (t *Table) dropEnded(now time.Time) {
	for id, e := range t.endpoints {
		age := now.Sub(e.at)
		if e.lifted && age >= liftedStatedFor || e.left != 0 && age >= leftKeptFor {
			delete(t.endpoints, id)
		}
	}
}

func (t *Table) dropSilentPeers(now time.Time) {
	for peer, at := range t.peers {
		if now.Sub(at) < peerHoldTime {
			continue
		}
		delete(t.peers, peer)
		for _, e := range t.endpoints {
			delete(e.peers, peer)
		}
	}
}

// ApplyStatement applies a peer's statement: its address, site time and entries. It returns
// the limits that change.
func (t *Table) ApplyStatement(now time.Time, sender string, site time.Duration, entries []Entry) []Entry {
	peer := xxhash.Sum64String(sender)
	if _, known := t.peers[peer]; !known && len(t.peers) >= maxPeers {
		return nil
	}
	t.peers[peer] = now
	t.followClock(now, site)
	var changes []Entry
	for _, stated := range entries {
		if !isRate(stated.PerSecond) || !isRate(stated.Wanted) {
			continue
		}
		e := t.endpoints[stated.Endpoint]
		at := t.clock.local(stated.At)
		if e == nil && !stated.Lifted || e != nil && at.After(e.at) {
			if t.set(now, stated.Endpoint, stated.Report(), at) {
				changes = append(changes, stated)
			}
			e = t.endpoints[stated.Endpoint]
		}
		if e == nil {
			continue
		}
		weights := e.peers[peer]
		if weights == nil {
			weights = newRecentWeights(now)
			e.peers[peer] = weights
		}
		weights.add(now, stated.Wanted, t.spread)
	}
	return changes
}

// isRate reports whether a number can be a number of requests a second.
func isRate(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }

// Report returns the limit of the entry.
func (s *Entry) Report() Report {
	if s.Lifted {
		return Report{State: Unlimited}
	}
	return Report{State: Limited, PerSecond: s.PerSecond}
}

// followClock sets the site time to that of a peer if it is later. The allowance of the
// skipped time was or will be used by peers, so this gateway claims none of it.
func (t *Table) followClock(now time.Time, site time.Duration) {
	if !t.clock.isBehind(now, site) {
		return
	}
	for _, e := range t.endpoints {
		t.claim(now, e)
	}
	skipped := site - t.clock.since(now)
	t.clock.set(now, site)
	for _, e := range t.endpoints {
		e.skip(skipped, site, e.rate())
	}
}
