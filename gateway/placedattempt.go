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
	// patienceFactor and minPatience bound from below how long an attempt may take
	// before the request is tried elsewhere: of plain calls, about 1 in 100 takes five
	// times the mean.
	patienceFactor = 5
	minPatience    = 50 * time.Millisecond
)

// ticket is an attempt in progress at an endpoint. It implements relay.Ticket.
type ticket struct {
	dispatcher *dispatcher
	request    crashes.Fingerprint
	target     time.Duration
	choice     placement.Choice
	// incarnation identifies the endpoint process that the request was sent to.
	incarnation registry.Incarnation
	flight      *placement.Flight
	sentAt      time.Time
	streaming   bool
	started     bool
}

// Choice implements relay.Ticket.
func (t *ticket) Choice() placement.Choice { return t.choice }

// AttemptTimeout implements relay.Ticket. It is the longest of patienceFactor times the
// expected service time, half of the target, so that a second endpoint can still meet
// it, and minPatience.
func (t *ticket) AttemptTimeout() time.Duration {
	return max(patienceFactor*t.choice.Expected, t.target/2, minPatience)
}

// HandleNotice implements relay.Ticket.
func (t *ticket) HandleNotice(n relay.Notice) {
	t.dispatcher.onEndpointChanges(t.dispatcher.applyNotice(t.incarnation, t.choice.Endpoint.Address, n))
}

// relativeTime returns the time since the send as a multiple of the expected time, with
// one second for a multiple of 1. This makes requests of different sizes comparable.
func (t *ticket) relativeTime(now time.Time) time.Duration {
	return time.Duration(t.flight.ElapsedRatio(now) * float64(time.Second))
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
	t.dispatcher.reach.RecordAnswer(now, placement.Hash(t.choice.Endpoint.ID))
	t.dispatcher.health.Record(now, health.Observation{
		Endpoint: t.choice.Endpoint.ID, Kind: health.FirstToken, Duration: t.relativeTime(now), Sent: t.sentAt,
	})
	t.flight.Started(now)
}

// Ended implements relay.Ticket.
func (t *ticket) Ended(r relay.AttemptResult) {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	t.flight.End(now)
	delete(d.inFlight, t)
	kinds := map[relay.AttemptResult]health.Kind{
		relay.ResultComplete:    health.Success,
		relay.ResultBroken:      health.Failure,
		relay.ResultServerError: health.Failure,
		relay.ResultUnreachable: health.Failure,
		relay.ResultReplaced:    health.Failure,
		relay.ResultRejected:    health.Refusal,
	}
	switch r {
	case relay.ResultUnreachable, relay.ResultReplaced:
		d.reach.RecordFailure(now, placement.Hash(t.choice.Endpoint.ID))
	case relay.ResultComplete:
		d.crashes.RecordSuccess(t.request)
	case relay.ResultBroken:
		d.crashes.RecordLocal(crashes.Observation{Request: t.request, EndpointHash: placement.Hash(t.choice.Endpoint.ID), At: now})
	}
	kind, counts := kinds[r]
	if counts {
		d.health.Record(now, health.Observation{Endpoint: t.choice.Endpoint.ID, Kind: kind, Sent: t.sentAt})
	}
}
