// Package crashes detects requests that crash the endpoints that run them. An
// attempt whose connection broke makes its request a suspect; the request is then
// said to have broken at that endpoint. A request that broke at three endpoints
// and never succeeded is condemned: it is sent to no further endpoint. Gateways
// share their observations, because the same request may come back at any of them.
//
// A Table is not safe for concurrent use. Its methods take the time as a
// parameter.
package crashes

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// condemnThreshold is the number of endpoints at which a request must break to be
	// condemned; the platform allows a request to crash three endpoints.
	condemnThreshold = 3
	// suspectTTL is how long a suspect is kept after it last broke. A caller that
	// repeats such a request does so within seconds or minutes.
	suspectTTL = 5 * time.Minute
	// maxSuspects bounds the table; the least recently observed suspect is evicted.
	maxSuspects = 4096
	// reportTTL is how long an observation is repeated in the datagrams to the peers,
	// so that the loss of one datagram does not lose it.
	reportTTL = 3 * time.Second
	// maxReports bounds the observations that are sent to the peers; the oldest is
	// dropped.
	maxReports = 256
)

// Fingerprint is a hash of what a request runs. It is the same whoever sends the
// request again.
type Fingerprint uint64

// Observation is an attempt at an endpoint whose connection broke.
type Observation struct {
	Request Fingerprint
	// EndpointHash is the hash of the endpoint's id.
	EndpointHash uint64
	// At is when the connection broke or, for an observation of a peer, when its
	// report was received.
	At time.Time
}

// suspect is a request that broke, with the hashes of the endpoints where it did.
type suspect struct {
	endpoints map[uint64]struct{}
	lastBroke time.Time
}

// Table holds the suspects and the observations to report to the peers.
type Table struct {
	suspects *simplelru.LRU[Fingerprint, *suspect]
	reports  []Observation
}

// New returns an empty Table.
func New() *Table {
	// NewLRU fails only if the size is not positive.
	suspects, _ := simplelru.NewLRU[Fingerprint, *suspect](maxSuspects, nil)
	return &Table{suspects: suspects}
}

// RecordLocal records an attempt of this gateway whose connection broke, and reports it
// to the peers.
func (t *Table) RecordLocal(o Observation) {
	t.Record(o)
	if len(t.reports) >= maxReports {
		t.reports = t.reports[1:]
	}
	t.reports = append(t.reports, o)
}

// Record records an observation, such as one that a peer reported, without reporting
// it to the peers.
func (t *Table) Record(o Observation) {
	s, ok := t.suspects.Get(o.Request)
	if !ok || o.At.Sub(s.lastBroke) > suspectTTL {
		s = &suspect{endpoints: make(map[uint64]struct{}, condemnThreshold)}
		t.suspects.Add(o.Request, s)
	}
	s.lastBroke = o.At
	if len(s.endpoints) < condemnThreshold {
		s.endpoints[o.EndpointHash] = struct{}{}
	}
}

// RecordSuccess removes a request from the suspects, because an endpoint ran it to its
// end.
func (t *Table) RecordSuccess(f Fingerprint) { t.suspects.Remove(f) }

// Condemned reports whether a request must not be sent to another endpoint.
func (t *Table) Condemned(now time.Time, f Fingerprint) bool {
	s, ok := t.suspects.Peek(f)
	return ok && len(s.endpoints) >= condemnThreshold && now.Sub(s.lastBroke) <= suspectTTL
}

// LocalObservations returns this gateway's observations of the last reportTTL, for the peers.
func (t *Table) LocalObservations(now time.Time) []Observation {
	for len(t.reports) > 0 && now.Sub(t.reports[0].At) > reportTTL {
		t.reports = t.reports[1:]
	}
	return t.reports
}
