package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/router/health"
)

const (
	// patienceFactor and minPatience: of plain calls, about 1 in 100 takes five
	// times the mean.
	patienceFactor = 5
	minPatience    = 50 * time.Millisecond
)

// ticket is an attempt under way. It implements relay.Ticket.
type ticket struct {
	dispatcher *dispatcher
	request    crashes.Fingerprint
	target     time.Duration
	choice     placement.Choice
	// incarnation is the start of the endpoint that the request was sent to.
	incarnation registry.Incarnation
	flight      *placement.Flight
	sentAt      time.Time
	streaming   bool
	started     bool
}

// Choice implements relay.Ticket.
func (t *ticket) Choice() placement.Choice { return t.choice }

// Patience implements relay.Ticket: some times the expected service time, and at
// least half of the target, so that a second endpoint can still meet it.
func (t *ticket) Patience() time.Duration {
	return max(patienceFactor*t.choice.Expected, t.target/2, minPatience)
}

// Noticed implements relay.Ticket.
func (t *ticket) Noticed(n relay.Notice) {
	t.dispatcher.changed(t.dispatcher.noticed(t.incarnation, t.choice.Endpoint.Address, n))
}

// relative is the time since the send in units of what was expected, as a
// duration: requests of different sizes become comparable.
func (t *ticket) relative(now time.Time) time.Duration {
	return time.Duration(t.flight.Ratio(now) * float64(time.Second))
}

// Started implements relay.Ticket.
func (t *ticket) Started() {
	if t.started {
		return
	}
	t.dispatcher.mu.Lock()
	defer t.dispatcher.mu.Unlock()
	t.started = true
	now := time.Now()
	t.dispatcher.reach.Answered(now, placement.Hash(t.choice.Endpoint.ID))
	t.dispatcher.health.Record(now, health.Observation{
		Endpoint: t.choice.Endpoint.ID, Kind: health.FirstToken, Duration: t.relative(now), Sent: t.sentAt,
	})
	t.flight.Started(now)
}

// Ended implements relay.Ticket.
func (t *ticket) Ended(r relay.Result) {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	t.flight.End(now)
	delete(d.flights, t)
	kinds := map[relay.Result]health.Kind{
		relay.Whole:       health.Success,
		relay.Broken:      health.Failure,
		relay.Erring:      health.Failure,
		relay.Unreachable: health.Failure,
		relay.Replaced:    health.Failure,
		relay.Rejected:    health.Refusal,
	}
	switch r {
	case relay.Unreachable, relay.Replaced:
		d.reach.Failed(now, placement.Hash(t.choice.Endpoint.ID))
	case relay.Whole:
		d.crashes.Succeeded(t.request)
	case relay.Broken:
		d.crashes.Broke(crashes.Observation{Request: t.request, Endpoint: placement.Hash(t.choice.Endpoint.ID), At: now})
	}
	kind, counts := kinds[r]
	if counts {
		d.health.Record(now, health.Observation{Endpoint: t.choice.Endpoint.ID, Kind: kind, Sent: t.sentAt})
	}
}
