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
	// attemptTimeoutFactor and minAttemptTimeout bound from below how long an attempt may
	// take before the request is tried elsewhere: of plain calls, about 1 in 100 takes
	// five times the mean.
	attemptTimeoutFactor = 5
	minAttemptTimeout    = 50 * time.Millisecond
)

// placedAttempt is an attempt in progress at an endpoint. It implements
// relay.PlacedAttempt.
type placedAttempt struct {
	dispatcher *dispatcher
	// suspects are the request and the parts of its prompt, in that order.
	suspects []crashes.Suspect
	// trialOf is the condemned suspect that the request tries; nil for none.
	trialOf *crashes.Suspect
	target  time.Duration
	choice  placement.Choice
	// incarnation identifies the endpoint process that the request was sent to.
	incarnation registry.Incarnation
	// refusals is reach.Table.Refusals as the request was sent.
	refusals  int
	flight    *placement.Flight
	sentAt    time.Time
	streaming bool
	started   bool
	startedAt time.Time
	// account is the client account whose usage counts, usageWindow the usage window of
	// sentAt, and counted is set once the attempt has been counted.
	account     string
	usageWindow int64
	counted     bool
}

// Choice implements relay.PlacedAttempt.
func (a *placedAttempt) Choice() placement.Choice { return a.choice }

// AttemptTimeout implements relay.PlacedAttempt. It is the longest of
// attemptTimeoutFactor times the expected service time, half of the target, so that a
// second endpoint can still meet it, and minAttemptTimeout.
func (a *placedAttempt) AttemptTimeout() time.Duration {
	return max(attemptTimeoutFactor*a.choice.Expected, a.target/2, minAttemptTimeout)
}

// HandleNotice implements relay.PlacedAttempt.
func (a *placedAttempt) HandleNotice(n relay.Notice) {
	a.dispatcher.onEndpointChanges(a.dispatcher.applyNotice(a.incarnation, a.choice.Endpoint.Address, a.sentAt, n))
}

// relativeTime returns the time since the send as a multiple of the expected time, with
// one second for a multiple of 1. This makes requests of different sizes comparable.
func (a *placedAttempt) relativeTime(now time.Time) time.Duration {
	return time.Duration(a.flight.ElapsedRatio(now) * float64(time.Second))
}

// isCurrent reports whether the attempt was sent to the process that now has the endpoint's
// id. What becomes of an attempt says nothing about a later process: connections to a machine
// that went silent are given up seconds later. The dispatcher's mutex is held.
func (a *placedAttempt) isCurrent() bool {
	i, known := a.dispatcher.registry.Incarnation(a.incarnation.ID)
	return known && i == a.incarnation
}

// isOfEndedProcess reports whether a connection to the endpoint was refused since the request was
// sent, where the entry does not state the start of the process: it went to one that has ended. The
// dispatcher's mutex is held.
func (a *placedAttempt) isOfEndedProcess() bool {
	return a.incarnation.Born == 0 && a.refusals != a.dispatcher.reach.Refusals(placement.Hash(a.incarnation.ID))
}

// observe records an observation of the endpoint's health. The dispatcher's mutex is held.
func (a *placedAttempt) observe(now time.Time, kind health.Kind, took time.Duration) {
	if a.isCurrent() {
		a.dispatcher.health.Record(now, health.Observation{Endpoint: a.incarnation.ID, Kind: kind, Duration: took, Sent: a.sentAt})
	}
}

// Started implements relay.PlacedAttempt.
func (a *placedAttempt) Started() {
	if a.started {
		return
	}
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	now := time.Now()
	a.started, a.startedAt = true, now
	if a.isCurrent() {
		a.dispatcher.reach.RecordResponse(now, placement.Hash(a.incarnation.ID))
	}
	a.observe(now, health.FirstToken, a.relativeTime(now))
	a.flight.Started(now)
	a.dispatcher.countStarted(now, a)
}

// Ended implements relay.PlacedAttempt.
func (a *placedAttempt) Ended(r relay.AttemptResult) {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	a.flight.End(now)
	delete(d.inFlight, a)
	d.countEnded(now, a, r)
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
		if a.isCurrent() {
			d.reach.RecordFailure(now, placement.Hash(a.incarnation.ID))
		}
	case relay.ResultComplete:
		d.onSuspects(d.crashes.RecordSuccess(a.suspects))
	case relay.ResultBroken:
		d.recordBroken(now, a)
	}
	if a.trialOf != nil && (r == relay.ResultUnreachable || r == relay.ResultReplaced || r == relay.ResultRejected) {
		d.crashes.CancelTrial(*a.trialOf)
	}
	// An attempt that reached nobody tells of the address, not of the process before.
	reached := r != relay.ResultUnreachable
	if kind, counts := kinds[r]; counts && !(reached && a.isOfEndedProcess()) {
		a.observe(now, kind, 0)
	}
}
