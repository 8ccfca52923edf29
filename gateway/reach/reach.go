// Package reach remembers which endpoints accept no connections, or are replaced by
// another one at their address, so that a crashed endpoint, which looks idle, is
// not chosen again and again. A gateway
// believes its own failed connection at once and what its peers say when two of
// them agree. An endpoint is left out for a short time, then tried again.
//
// A Table is not safe for concurrent use; the time is a parameter.
package reach

import (
	"math/rand/v2"
	"time"
)

const (
	// firstPause is how long an endpoint is left out after a failed connection, and
	// longestPause the bound of its doubling. A crashed endpoint is back after some
	// seconds, mostly as a new one, which begins without this history.
	firstPause   = time.Second
	longestPause = 4 * time.Second
	// reporters is the number of peers that must agree. One alone may itself be cut
	// off.
	reporters = 2
	// reportAge is how long a report counts, and how long it is stated to peers.
	reportAge = 2 * time.Second
	// trustAge is the age up to which an own answer outweighs reports of peers.
	trustAge = time.Second
	// maxStatedShare is the share of endpoints that are out of reach from which a
	// gateway states none of them: it is more likely cut off itself.
	maxStatedShare = 0.5
	// maxReporters bounds the reports that are kept for one endpoint.
	maxReporters = 4
)

type state struct {
	// until is when the endpoint may be tried again; failedAt the last own failure.
	until, failedAt time.Time
	pause           time.Duration
	answeredAt      time.Time
	// byPeers states that peers, not an own failure, led to the present pause.
	byPeers bool
	// told is the state that Changes returned last.
	told bool
	// heard is when each peer last stated a failure.
	heard map[string]time.Time
}

// Table holds the endpoints by the hash of their id.
type Table struct {
	rng    *rand.Rand
	states map[uint64]*state
}

// New returns an empty Table. The random source spreads the new tries of many
// gateways.
func New(rng *rand.Rand) *Table {
	return &Table{rng: rng, states: make(map[uint64]*state)}
}

// Join adds an endpoint without history.
func (t *Table) Join(endpoint uint64) {
	if t.states[endpoint] == nil {
		t.states[endpoint] = &state{}
	}
}

// Leave forgets an endpoint.
func (t *Table) Leave(endpoint uint64) { delete(t.states, endpoint) }

// Failed notes that an own connection was not accepted, or that another endpoint
// answered at the address.
func (t *Table) Failed(now time.Time, endpoint uint64) {
	s := t.states[endpoint]
	if s == nil {
		return
	}
	s.failedAt = now
	t.leaveOut(now, s, false)
}

func (t *Table) leaveOut(now time.Time, s *state, byPeers bool) {
	if now.Before(s.until) {
		return
	}
	s.byPeers = byPeers
	s.pause = min(max(2*s.pause, firstPause), longestPause)
	s.until = now.Add(s.pause/2 + time.Duration(t.rng.Int64N(int64(s.pause))))
}

// Answered notes that the endpoint has answered this gateway.
func (t *Table) Answered(now time.Time, endpoint uint64) {
	s := t.states[endpoint]
	if s == nil {
		return
	}
	*s = state{answeredAt: now, told: s.told}
}

// Hear takes a peer's statement that an endpoint accepted no connection.
func (t *Table) Hear(now time.Time, peer string, endpoint uint64) {
	s := t.states[endpoint]
	if s == nil || now.Sub(s.answeredAt) < trustAge {
		return
	}
	if s.heard == nil {
		s.heard = make(map[string]time.Time)
	}
	if _, known := s.heard[peer]; known || len(s.heard) < maxReporters {
		s.heard[peer] = now
	}
	fresh := 0
	for other, at := range s.heard {
		if now.Sub(at) > reportAge {
			delete(s.heard, other)
			continue
		}
		fresh++
	}
	if fresh >= reporters {
		t.leaveOut(now, s, true)
	}
}

// LeftOut reports whether an endpoint should get no request now.
func (t *Table) LeftOut(now time.Time, endpoint uint64) bool {
	s := t.states[endpoint]
	return s != nil && now.Before(s.until)
}

// Reports returns the endpoints for the peers: those of which an own connection
// failed lately.
func (t *Table) Reports(now time.Time) []uint64 {
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

// Change tells that an endpoint is left out from now on, or no longer.
type Change struct {
	Endpoint uint64
	LeftOut  bool
	// Pause is how long it is left out; ByPeers states that peers said so.
	Pause   time.Duration
	ByPeers bool
}

// Changes returns what has changed since the last call.
func (t *Table) Changes(now time.Time) []Change {
	var changes []Change
	for endpoint, s := range t.states {
		if out := now.Before(s.until); out != s.told {
			s.told = out
			changes = append(changes, Change{Endpoint: endpoint, LeftOut: out, Pause: max(s.until.Sub(now), 0), ByPeers: s.byPeers})
		}
	}
	return changes
}
