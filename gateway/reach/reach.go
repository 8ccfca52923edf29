// Package reach tracks which endpoints accept no connections, or have been replaced by
// another one at their address, so that a crashed endpoint, which has no load and looks
// idle, is not chosen again and again. A gateway acts on its own failed connection at
// once, and on reports of its peers when two of them agree. The endpoint is then left
// out of placement for a short time before it is tried again.
//
// The package also tracks which endpoints asked for no requests for a while; see Pauses.
//
// A Table is not safe for concurrent use; the time is a parameter.
package reach

import (
	"math/rand/v2"
	"time"
)

const (
	// initialPause is how long an endpoint is left out after the first failed connection.
	// The pause doubles with each further failure, up to maxPause. Each pause is
	// randomized to 0.5 to 1.5 times its value. A crashed endpoint is back after some
	// seconds, mostly as a new endpoint, which begins without this history.
	initialPause = time.Second
	maxPause     = 4 * time.Second
	// minReporters is the number of peers whose reports must agree. A single peer may
	// itself be cut off from the network.
	minReporters = 2
	// reportAge is how long a peer's report counts, and how long an own failure is
	// reported to peers.
	reportAge = 2 * time.Second
	// ownResponseAge is the age up to which a response to this gateway outweighs reports of
	// peers.
	ownResponseAge = time.Second
	// maxStatedShare is the share of endpoints with failed connections above which a
	// gateway reports none of them: it is more likely cut off itself.
	maxStatedShare = 0.5
	// maxReporters bounds the peers whose reports are kept for one endpoint.
	maxReporters = 4
)

// endpointState is the reachability of one endpoint.
type endpointState struct {
	// until is when the endpoint may be tried again, and failedAt the time of the last
	// failed connection of this gateway.
	until, failedAt time.Time
	// backoff is the latest pause before it was randomized; zero after a response.
	backoff time.Duration
	// answeredAt is when the endpoint last answered this gateway.
	answeredAt time.Time
	// byPeers is true if reports of peers, not an own failure, caused the current pause.
	byPeers bool
	// endSeenAt is the last time at which the endpoint's process seemed to end: a connection
	// was not accepted, or an attempt broke; zero for none. A response does not clear it.
	endSeenAt time.Time
	// reachableSince is the earliest time at which the process can have been reached under the
	// entry of the process before; zero if that is not known.
	reachableSince time.Time
	// refusals is the number of refused connections since the process was listed.
	refusals int
	// lastReported is whether the endpoint was left out at the last call of Changes.
	lastReported bool
	// peerReports holds the time of the latest report of each peer.
	peerReports map[string]time.Time
}

// Table holds the reachability of endpoints by the hash of their id.
type Table struct {
	rng    *rand.Rand
	states map[uint64]*endpointState
}

// New returns an empty Table. The random source spreads the retries of many gateways
// over time.
func New(rng *rand.Rand) *Table {
	return &Table{rng: rng, states: make(map[uint64]*endpointState)}
}

// Join adds an endpoint without history.
func (t *Table) Join(endpoint uint64) {
	if t.states[endpoint] == nil {
		t.states[endpoint] = &endpointState{}
	}
}

// Restart begins the history of the next process of an endpoint, which can have been reached
// since a time under the entry of the process before; zero if that is not known.
func (t *Table) Restart(endpoint uint64, since time.Time) {
	t.states[endpoint] = &endpointState{reachableSince: since}
}

// ReachableSince returns the time that Restart set; zero for none.
func (t *Table) ReachableSince(endpoint uint64) time.Time {
	if s := t.states[endpoint]; s != nil {
		return s.reachableSince
	}
	return time.Time{}
}

// RecordEnd records a sign that the process of the endpoint ended at a time. It may be wrong:
// connections are reset for other reasons as well.
func (t *Table) RecordEnd(at time.Time, endpoint uint64) {
	if s := t.states[endpoint]; s != nil && at.After(s.endSeenAt) {
		s.endSeenAt = at
	}
}

// RecordRefusal records that the machine of the endpoint refused a connection: nobody listens
// at the address, so that the process that did has ended.
func (t *Table) RecordRefusal(now time.Time, endpoint uint64) {
	if s := t.states[endpoint]; s != nil {
		t.RecordEnd(now, endpoint)
		s.refusals++
	}
}

// Refusals returns the number of refused connections since the process of the endpoint was
// listed. Requests between which it rises go to different processes.
func (t *Table) Refusals(endpoint uint64) int {
	if s := t.states[endpoint]; s != nil {
		return s.refusals
	}
	return 0
}

// EndSeenAt returns the time of the last sign that the process of the endpoint ended; zero for
// none.
func (t *Table) EndSeenAt(endpoint uint64) time.Time {
	if s := t.states[endpoint]; s != nil {
		return s.endSeenAt
	}
	return time.Time{}
}

// Leave removes an endpoint with its history.
func (t *Table) Leave(endpoint uint64) { delete(t.states, endpoint) }

// RecordFailure records that the endpoint did not accept a connection of this gateway, or that
// another endpoint answered at its address.
func (t *Table) RecordFailure(now time.Time, endpoint uint64) {
	s := t.states[endpoint]
	if s == nil {
		return
	}
	s.failedAt = now
	t.RecordEnd(now, endpoint)
	t.leaveOut(now, s, false)
}

// leaveOut begins a pause unless the endpoint is left out already.
func (t *Table) leaveOut(now time.Time, s *endpointState, byPeers bool) {
	if now.Before(s.until) {
		return
	}
	s.byPeers = byPeers
	s.backoff = min(max(2*s.backoff, initialPause), maxPause)
	s.until = now.Add(s.backoff/2 + time.Duration(t.rng.Int64N(int64(s.backoff))))
}

// RecordResponse records that the endpoint has answered this gateway, which ends its
// pause and clears the history of failures.
func (t *Table) RecordResponse(now time.Time, endpoint uint64) {
	s := t.states[endpoint]
	if s == nil {
		return
	}
	*s = endpointState{answeredAt: now, endSeenAt: s.endSeenAt, reachableSince: s.reachableSince, refusals: s.refusals, lastReported: s.lastReported}
}

// AddPeerReport records a peer's report that an endpoint accepted no connection.
func (t *Table) AddPeerReport(now time.Time, peer string, endpoint uint64) {
	s := t.states[endpoint]
	if s == nil || now.Sub(s.answeredAt) < ownResponseAge {
		return
	}
	if s.peerReports == nil {
		s.peerReports = make(map[string]time.Time)
	}
	if _, known := s.peerReports[peer]; known || len(s.peerReports) < maxReporters {
		s.peerReports[peer] = now
	}
	current := 0
	for other, at := range s.peerReports {
		if now.Sub(at) > reportAge {
			delete(s.peerReports, other)
			continue
		}
		current++
	}
	if current >= minReporters {
		t.leaveOut(now, s, true)
	}
}

// LeftOut reports whether an endpoint is in a pause and should get no request now.
func (t *Table) LeftOut(now time.Time, endpoint uint64) bool {
	s := t.states[endpoint]
	return s != nil && now.Before(s.until)
}

// FailuresToReport returns the endpoints to report to peers: those to which a connection of this
// gateway failed within reportAge. Reports of peers are not passed on.
func (t *Table) FailuresToReport(now time.Time) []uint64 {
	var failed []uint64
	for endpoint, s := range t.states {
		if !s.failedAt.IsZero() && now.Sub(s.failedAt) <= reportAge {
			failed = append(failed, endpoint)
		}
	}
	if float64(len(failed)) > maxStatedShare*float64(len(t.states)) {
		return nil
	}
	return failed
}

// Change states that an endpoint is left out from now on, or no longer.
type Change struct {
	Endpoint uint64
	LeftOut  bool
	// Pause is how long the endpoint is left out; ByPeers is true if reports of peers
	// caused it.
	Pause   time.Duration
	ByPeers bool
}

// Changes returns the endpoints that were left out, or are used again, since the last
// call.
func (t *Table) Changes(now time.Time) []Change {
	var changes []Change
	for endpoint, s := range t.states {
		if out := now.Before(s.until); out != s.lastReported {
			s.lastReported = out
			changes = append(changes, Change{Endpoint: endpoint, LeftOut: out, Pause: max(s.until.Sub(now), 0), ByPeers: s.byPeers})
		}
	}
	return changes
}
