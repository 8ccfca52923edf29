package reach

import "time"

const (
	// hintAge is the longest time for which a peer's statement that an endpoint is full
	// counts. For hintCooldown after that, further hints are ignored, so that requests of
	// this gateway show whether the endpoint accepts them: it may refuse only some gateways.
	hintAge      = time.Second
	hintCooldown = 2 * time.Second
	// maxPauses bounds the tracked endpoints, separately for pauses and hints.
	maxPauses = 4096
)

// Pauses tracks the endpoints that asked for no requests for a while. A pause that an
// endpoint asked of this gateway always holds; one that it asked of a peer is a hint.
// A Pauses is not safe for concurrent use; the time is a parameter.
type Pauses struct {
	// own holds the pauses, and hints the end of each hint, by the hash of the endpoint's id.
	own   map[uint64]pause
	hints map[uint64]time.Time
}

// pause is a pause that an endpoint asked of this gateway at a time.
type pause struct{ askedAt, until time.Time }

// NewPauses returns an empty Pauses.
func NewPauses() *Pauses {
	return &Pauses{own: make(map[uint64]pause), hints: make(map[uint64]time.Time)}
}

// SetPause records that an endpoint asked this gateway to send it nothing until a time, and
// reports whether the endpoint was not paused before. An ongoing pause is never shortened;
// a new one beyond maxPauses is not recorded.
func (p *Pauses) SetPause(now time.Time, endpoint uint64, until time.Time) bool {
	p.expire(now)
	current, paused := p.own[endpoint]
	if until.After(current.until) && (len(p.own) < maxPauses || paused) {
		p.own[endpoint] = pause{askedAt: now, until: until}
	}
	return !paused
}

// Len returns the number of endpoints that paused this gateway.
func (p *Pauses) Len(now time.Time) int {
	p.expire(now)
	return len(p.own)
}

// AddHint records a hint: a peer's statement that an endpoint asked it for a pause, of which
// the given time is left.
func (p *Pauses) AddHint(now time.Time, endpoint uint64, left time.Duration) {
	until, known := p.hints[endpoint]
	if known && now.Before(until.Add(hintCooldown)) || !known && len(p.hints) >= maxPauses {
		return
	}
	p.hints[endpoint] = now.Add(min(left, hintAge))
}

// Restart handles the next process of an endpoint, which can have been reached since a time
// under the entry of the process before; zero if that is not known. A pause that was asked for
// later may be its own and holds on.
func (p *Pauses) Restart(endpoint uint64, since time.Time) {
	delete(p.hints, endpoint)
	if !p.own[endpoint].askedAt.After(since) {
		delete(p.own, endpoint)
	}
}

// Leave removes an endpoint.
func (p *Pauses) Leave(endpoint uint64) {
	delete(p.own, endpoint)
	delete(p.hints, endpoint)
}

// Paused reports whether the endpoint asked this gateway for a pause that has not ended.
func (p *Pauses) Paused(now time.Time, endpoint uint64) bool {
	return now.Before(p.own[endpoint].until)
}

// Hinted reports whether a peer's hint that the endpoint is full still counts.
func (p *Pauses) Hinted(now time.Time, endpoint uint64) bool {
	return now.Before(p.hints[endpoint])
}

// UntilFirstEnd returns the time until the first of the pauses ends, among the endpoints for
// which counts is true; zero if there is none.
func (p *Pauses) UntilFirstEnd(now time.Time, counts func(endpoint uint64) bool) time.Duration {
	earliest := time.Duration(0)
	for endpoint, pause := range p.own {
		if !counts(endpoint) {
			continue
		}
		if left := pause.until.Sub(now); left > 0 && (earliest == 0 || left < earliest) {
			earliest = left
		}
	}
	return earliest
}

// ReportOwn calls report for each endpoint that paused this gateway, with the time left.
func (p *Pauses) ReportOwn(now time.Time, report func(endpoint uint64, left time.Duration)) {
	p.expire(now)
	for endpoint, pause := range p.own {
		report(endpoint, pause.until.Sub(now))
	}
}

// expire drops pauses that have ended, and hints whose cooldown has ended.
func (p *Pauses) expire(now time.Time) {
	for endpoint, pause := range p.own {
		if !now.Before(pause.until) {
			delete(p.own, endpoint)
		}
	}
	for endpoint, until := range p.hints {
		if !now.Before(until.Add(hintCooldown)) {
			delete(p.hints, endpoint)
		}
	}
}
