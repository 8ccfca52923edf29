// Package crashes finds requests that crash the endpoints that run them. Each
// attempt whose connection broke makes its request a suspect at that endpoint; a
// request that broke at three endpoints and never succeeded is condemned, and no
// further endpoint is given it. Gateways tell each other of suspects, because the
// same request may come back at any of them.
//
// A Table is not safe for concurrent use; the time is a parameter.
package crashes

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// condemnedFrom is the number of endpoints that broke: the platform allows a
	// request to crash three.
	condemnedFrom = 3
	// lifetime is how long a suspect is remembered after it last broke. A caller
	// that repeats such a request does so within seconds or minutes.
	lifetime = 5 * time.Minute
	// maxSuspects bounds the table; the least recently seen is dropped.
	maxSuspects = 4096
	// reportFor is how long an observation is part of the statements to peers, so
	// that a lost datagram does not lose it.
	reportFor = 3 * time.Second
	// maxReports bounds the observations that wait for the peers.
	maxReports = 256
)

// Fingerprint identifies what a request runs, whoever sends it again.
type Fingerprint uint64

// Observation is a request that broke at an endpoint.
type Observation struct {
	Request Fingerprint
	// Endpoint is the hash of the endpoint's id.
	Endpoint uint64
	At       time.Time
}

type suspect struct {
	endpoints map[uint64]struct{}
	last      time.Time
}

// Table holds the suspects.
type Table struct {
	suspects *simplelru.LRU[Fingerprint, *suspect]
	reports  []Observation
}

// New returns an empty Table.
func New() *Table {
	// The size is positive, which is all that NewLRU checks.
	suspects, _ := simplelru.NewLRU[Fingerprint, *suspect](maxSuspects, nil)
	return &Table{suspects: suspects}
}

// Broke notes an own attempt whose connection broke.
func (t *Table) Broke(o Observation) {
	t.Hear(o)
	if len(t.reports) >= maxReports {
		t.reports = t.reports[1:]
	}
	t.reports = append(t.reports, o)
}

// Hear notes an observation of a peer.
func (t *Table) Hear(o Observation) {
	s, ok := t.suspects.Get(o.Request)
	if !ok || o.At.Sub(s.last) > lifetime {
		s = &suspect{endpoints: make(map[uint64]struct{}, condemnedFrom)}
		t.suspects.Add(o.Request, s)
	}
	s.last = o.At
	if len(s.endpoints) < condemnedFrom {
		s.endpoints[o.Endpoint] = struct{}{}
	}
}

// Succeeded clears a request: an endpoint ran it to its end.
func (t *Table) Succeeded(f Fingerprint) { t.suspects.Remove(f) }

// Condemned reports whether a request must not be given to another endpoint.
func (t *Table) Condemned(now time.Time, f Fingerprint) bool {
	s, ok := t.suspects.Peek(f)
	return ok && len(s.endpoints) >= condemnedFrom && now.Sub(s.last) <= lifetime
}

// Reports returns the own observations for the peers.
func (t *Table) Reports(now time.Time) []Observation {
	for len(t.reports) > 0 && now.Sub(t.reports[0].At) > reportFor {
		t.reports = t.reports[1:]
	}
	return t.reports
}
