package placement

import "time"

// Load is the work of one gateway at an endpoint.
type Load struct {
	// Running is the number of requests, waiting ones included.
	Running int
	// Tight is the number of streams, each weighted by how strict its pauses are
	// relative to the strictest of its service.
	Tight float64
	// Prefill is the number of prompt tokens still to be read.
	Prefill int
	// Memory is the number of tokens of the running requests.
	Memory int
}

func (l *Load) add(o Load, sign int) {
	l.Running += sign * o.Running
	l.Tight += float64(sign) * o.Tight
	l.Prefill += sign * o.Prefill
	l.Memory += sign * o.Memory
}

// statement is what a peer said last.
type statement struct {
	at time.Time
	// endpoints have load of the peer.
	endpoints []*endpoint
}

// setPeer replaces the load of a peer; an empty one removes it. The rate is the
// endpoint's prefill speed in tokens per millisecond.
func (e *endpoint) setPeer(now time.Time, peer string, l Load, rate float64) {
	e.backlog.set(now, peer, l.Prefill, e.own.Prefill, rate)
	l.Prefill = 0
	e.heard.add(e.peers[peer], -1)
	e.heard.add(l, 1)
	e.heardAt = now
	if l != (Load{}) {
		e.peers[peer] = l
		return
	}
	delete(e.peers, peer)
	if len(e.peers) == 0 {
		// Rounding must not add up.
		e.heard = Load{}
	}
}

// rate is the prefill speed of an endpoint in tokens per millisecond. Statements
// may name an endpoint that has left, with it the last of its service.
func (f *Fleet) rate(e *endpoint) float64 {
	if s := f.services[e.Service]; s != nil {
		return s.prefill().Rate / e.slowness
	}
	return defaultPrefillRate / e.slowness
}

// load sums the own work and that of the peers. It returns the time since the
// peers' part changed, too.
func (e *endpoint) load(now time.Time) (Load, time.Duration) {
	sum := e.own
	sum.add(e.heard, 1)
	sum.Prefill += e.backlog.left(now)
	if e.heardAt.IsZero() {
		return sum, 0
	}
	return sum, now.Sub(e.heardAt)
}

// PeerLoads replaces what a peer says of its work. The loads are by the hash of
// the endpoint's id; endpoints that are missing there have none of its work.
func (f *Fleet) PeerLoads(now time.Time, peer string, loads map[uint64]Load) {
	last := f.statements[peer]
	for _, e := range last.endpoints {
		if _, still := loads[e.hash]; !still {
			e.setPeer(now, peer, Load{}, f.rate(e))
		}
	}
	current := statement{at: now, endpoints: last.endpoints[:0]}
	for hash, load := range loads {
		if e := f.byHash[hash]; e != nil {
			e.setPeer(now, peer, load, f.rate(e))
			current.endpoints = append(current.endpoints, e)
		}
	}
	f.statements[peer] = current
}

// ExpirePeerLoads drops the loads of peers whose last statement is older than
// maxAge. The time between statements grows with the number of gateways.
func (f *Fleet) ExpirePeerLoads(now time.Time, maxAge time.Duration) {
	for _, s := range f.services {
		s.expirePeerSpeeds(now, max(maxAge, speedAge))
	}
	for peer, s := range f.statements {
		if now.Sub(s.at) <= max(maxAge, minPeerLoadAge) {
			continue
		}
		for _, e := range s.endpoints {
			e.setPeer(now, peer, Load{}, f.rate(e))
		}
		delete(f.statements, peer)
	}
}

// Unstated returns the prompt tokens sent to endpoints since the last OwnLoads.
func (f *Fleet) Unstated() int { return f.unstated }

// OwnLoads calls report for each endpoint that has work of this gateway.
func (f *Fleet) OwnLoads(report func(endpoint uint64, l Load)) {
	f.unstated = 0
	for _, e := range f.endpoints {
		if e.own != (Load{}) {
			report(e.hash, e.own)
		}
	}
}
