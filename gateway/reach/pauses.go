package reach

import "time"

const (
	// hintAge is how long a peer's statement that an endpoint is full counts. Own
	// requests then confirm it or not, for hintRest: an endpoint can turn one gateway
	// away.
	hintAge  = time.Second
	hintRest = 2 * time.Second
	// maxPauses bounds the endpoints that are remembered.
	maxPauses = 4096
)

// Pauses remembers the endpoints that asked for no requests for a while. What an
// endpoint told this gateway holds without exception; what it told a peer is a
// hint. A Pauses is not safe for concurrent use; the time is a parameter.
type Pauses struct {
	own   map[uint64]time.Time
	hints map[uint64]time.Time
}

// NewPauses returns an empty Pauses.
func NewPauses() *Pauses {
	return &Pauses{own: make(map[uint64]time.Time), hints: make(map[uint64]time.Time)}
}

// Asked notes that an endpoint told this gateway to send it nothing until a time, and
// reports whether a pause begins. An earlier, longer one stays.
func (p *Pauses) Asked(now time.Time, endpoint uint64, until time.Time) bool {
	p.expire(now)
	begins := p.own[endpoint].IsZero()
	if until.After(p.own[endpoint]) && (len(p.own) < maxPauses || !p.own[endpoint].IsZero()) {
		p.own[endpoint] = until
	}
	return begins
}

// Len returns the number of endpoints that paused this gateway.
func (p *Pauses) Len(now time.Time) int {
	p.expire(now)
	return len(p.own)
}

// Hear takes a peer's statement of the time for which the endpoint paused it.
func (p *Pauses) Hear(now time.Time, endpoint uint64, left time.Duration) {
	until, known := p.hints[endpoint]
	if known && now.Before(until.Add(hintRest)) || !known && len(p.hints) >= maxPauses {
		return
	}
	p.hints[endpoint] = now.Add(min(left, hintAge))
}

// Leave forgets an endpoint.
func (p *Pauses) Leave(endpoint uint64) {
	delete(p.own, endpoint)
	delete(p.hints, endpoint)
}

// Closed reports whether the endpoint wants no request of this gateway.
func (p *Pauses) Closed(now time.Time, endpoint uint64) bool {
	return now.Before(p.own[endpoint])
}

// Hinted reports whether a peer lately said that the endpoint is full.
func (p *Pauses) Hinted(now time.Time, endpoint uint64) bool {
	return now.Before(p.hints[endpoint])
}

// Earliest returns the time until the first pause of the endpoints that counts accepts
// ends; zero without such pauses.
func (p *Pauses) Earliest(now time.Time, counts func(endpoint uint64) bool) time.Duration {
	earliest := time.Duration(0)
	for endpoint, until := range p.own {
		if !counts(endpoint) {
			continue
		}
		if left := until.Sub(now); left > 0 && (earliest == 0 || left < earliest) {
			earliest = left
		}
	}
	return earliest
}

// Own calls report for each endpoint that paused this gateway.
func (p *Pauses) Own(now time.Time, report func(endpoint uint64, left time.Duration)) {
	p.expire(now)
	for endpoint, until := range p.own {
		report(endpoint, until.Sub(now))
	}
}

func (p *Pauses) expire(now time.Time) {
	for endpoint, until := range p.own {
		if !now.Before(until) {
			delete(p.own, endpoint)
		}
	}
	for endpoint, until := range p.hints {
		if !now.Before(until.Add(hintRest)) {
			delete(p.hints, endpoint)
		}
	}
}
