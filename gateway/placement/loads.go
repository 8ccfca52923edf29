package placement

import "time"

// Load is the load that requests put on an endpoint.
type Load struct {
	// Running is the number of requests, including those that wait at the endpoint.
	Running int
	// Tight is the number of streams, each weighted by its strictness: how short its
	// allowed pauses are relative to the shortest of its service, from 0 to 1.
	Tight float64
	// Prefill is the number of prompt tokens still to be read.
	Prefill int
	// Memory is the number of prompt and output tokens of the requests, which take up
	// the KV cache.
	Memory int
}

// add adds o, multiplied by sign.
func (l *Load) add(o Load, sign int) {
	l.Running += sign * o.Running
	l.Tight += float64(sign) * o.Tight
	l.Prefill += sign * o.Prefill
	l.Memory += sign * o.Memory
}

// statement records the latest load statement of a peer.
type statement struct {
	at time.Time
	// endpoints are those at which the peer has load.
	endpoints []*endpoint
}

// setPeerLoad replaces the load of a peer; an empty one removes it. The rate is the
// endpoint's prefill speed in tokens per millisecond.
func (e *endpoint) setPeerLoad(now time.Time, peer string, l Load, rate float64) {
	e.peerPrefill.set(now, peer, l.Prefill, e.ownLoad.Prefill, rate)
	l.Prefill = 0
	e.peerTotal.add(e.peerLoads[peer], -1)
	e.peerTotal.add(l, 1)
	e.peersUpdatedAt = now
	if l != (Load{}) {
		e.peerLoads[peer] = l
		return
	}
	delete(e.peerLoads, peer)
	if len(e.peerLoads) == 0 {
		// Reset, so that rounding errors do not accumulate.
		e.peerTotal = Load{}
	}
}

// prefillRate returns the prefill speed of an endpoint in tokens per millisecond. The
// service may be gone: a statement can still refer to its last endpoint after Remove.
func (f *Fleet) prefillRate(e *endpoint) float64 {
	if s := f.services[e.Service]; s != nil {
		return s.prefillSpeed().Rate / e.slowness
	}
	return defaultPrefillRate / e.slowness
}

// totalLoad returns the load from this gateway and all peers, and the time since a peer
// last updated its part; zero if none ever did.
func (e *endpoint) totalLoad(now time.Time) (Load, time.Duration) {
	sum := e.ownLoad
	sum.add(e.peerTotal, 1)
	sum.Prefill += e.peerPrefill.remaining(now)
	if e.peersUpdatedAt.IsZero() {
		return sum, 0
	}
	return sum, now.Sub(e.peersUpdatedAt)
}

// PeerLoads replaces the loads that a peer stated. The keys are the hashes of endpoint
// ids; the peer has no requests at an endpoint that is missing.
func (f *Fleet) PeerLoads(now time.Time, peer string, loads map[uint64]Load) {
	last := f.statements[peer]
	for _, e := range last.endpoints {
		if _, still := loads[e.hash]; !still {
			e.setPeerLoad(now, peer, Load{}, f.prefillRate(e))
		}
	}
	current := statement{at: now, endpoints: last.endpoints[:0]}
	for hash, load := range loads {
		if e := f.byHash[hash]; e != nil {
			e.setPeerLoad(now, peer, load, f.prefillRate(e))
			current.endpoints = append(current.endpoints, e)
		}
	}
	f.statements[peer] = current
}

// ExpirePeerLoads drops the loads and speeds of peers whose last statement is older than
// maxAge, but not before minPeerLoadAge and minPeerSpeedAge. The caller chooses maxAge,
// as the interval between statements grows with the number of gateways.
func (f *Fleet) ExpirePeerLoads(now time.Time, maxAge time.Duration) {
	for _, s := range f.services {
		s.expirePeerSpeeds(now, max(maxAge, minPeerSpeedAge))
	}
	for peer, s := range f.statements {
		if now.Sub(s.at) <= max(maxAge, minPeerLoadAge) {
			continue
		}
		for _, e := range s.endpoints {
			e.setPeerLoad(now, peer, Load{}, f.prefillRate(e))
		}
		delete(f.statements, peer)
	}
}

// UnstatedPromptTokens returns the number of prompt tokens sent to endpoints since the last
// OwnLoads, which peers do not know of yet.
func (f *Fleet) UnstatedPromptTokens() int { return f.unstatedPromptTokens }

// OwnLoads calls report with the load of this gateway for each endpoint that has any,
// and restarts the count of unstated prompt tokens.
func (f *Fleet) OwnLoads(report func(endpoint uint64, l Load)) {
	f.unstatedPromptTokens = 0
	for _, e := range f.endpoints {
		if e.ownLoad != (Load{}) {
			report(e.hash, e.ownLoad)
		}
	}
}
