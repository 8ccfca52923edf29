package health

import (
	"math"
	"time"
)

// breakerState is the state of an endpoint's circuit breaker.
type breakerState int

const (
	closed breakerState = iota
	open
	halfOpen
)

// latencySmoothing and rateSmoothing are the weights of the newest sample.
const (
	latencySmoothing = 0.25
	rateSmoothing    = 0.1
)

// average is a smoothed value of recent samples.
type average struct {
	value float64
	count int
	at    time.Time
}

func (a *average) add(now time.Time, sample, smoothing float64, window time.Duration) {
	if !a.fresh(now, window) {
		*a = average{}
	}
	a.count++
	a.value += max(smoothing, 1/float64(a.count)) * (sample - a.value)
	a.at = now
}

func (a *average) fresh(now time.Time, window time.Duration) bool {
	return a.count > 0 && now.Sub(a.at) <= window
}

// rate returns the value, or 0 when there is no recent sample.
func (a *average) rate(now time.Time, window time.Duration) float64 {
	if !a.fresh(now, window) {
		return 0
	}
	return a.value
}

// endpoint is what the router observed of one endpoint.
type endpoint struct {
	id    string
	group *group
	// firstToken and interToken are means of the logarithm of seconds, so that a
	// single long answer does not dominate.
	firstToken, interToken average
	// failures and refusals are shares of the attempts.
	failures, refusals average
	// failuresInRow counts failures since the last success.
	failuresInRow int

	state breakerState
	// until is the end of the open state; openTime is its length.
	until    time.Time
	openTime time.Duration
	// trialAt is when the trial was sent; zero when there is none.
	trialAt time.Time
	// returnedAt is when the trial of the last ejection was sent.
	returnedAt time.Time

	// weight moves towards target: down at once, up over RampTime.
	weight, target float64
	weighedAt      time.Time
	// slowness is the logarithm of the ratio to the median of the peers.
	slowness float64
}

func (e *endpoint) observe(now time.Time, o Observation, opts *Options) {
	sample := math.Log(max(o.Duration.Seconds(), 1e-6))
	switch o.Kind {
	case FirstToken:
		e.firstToken.add(now, sample, latencySmoothing, opts.Window)
	case FirstTokenPending:
		if !e.firstToken.fresh(now, opts.Window) || sample > e.firstToken.value {
			e.firstToken.add(now, sample, latencySmoothing, opts.Window)
		}
	case InterToken:
		e.interToken.add(now, sample, latencySmoothing, opts.Window)
	case Success:
		e.failuresInRow = 0
		e.failures.add(now, 0, rateSmoothing, opts.Window)
		e.refusals.add(now, 0, rateSmoothing, opts.Window)
	case Failure:
		if !e.failures.fresh(now, opts.Window) {
			e.failuresInRow = 0
		}
		e.failuresInRow++
		e.failures.add(now, 1, rateSmoothing, opts.Window)
	case Refusal:
		e.refusals.add(now, 1, rateSmoothing, opts.Window)
	}
}

// failing reports whether the recent failures are enough for an ejection.
func (e *endpoint) failing(now time.Time, opts *Options) bool {
	return e.failuresInRow >= opts.MaxFailures && e.failures.fresh(now, opts.Window)
}

// advance applies the passing of time to the circuit breaker.
func (e *endpoint) advance(now time.Time, opts *Options) {
	if e.state == open && !now.Before(e.until) {
		e.state = halfOpen
		e.trialAt = time.Time{}
	}
	if e.state == halfOpen && !e.trialAt.IsZero() && now.Sub(e.trialAt) >= opts.TrialTimeout {
		e.reopen(now, opts)
	}
}

func (e *endpoint) ejected() bool {
	return e.state == open || e.state == halfOpen && !e.trialAt.IsZero()
}

// eject opens the breaker of a closed endpoint. An ejection soon after the last
// one continues its back-off.
func (e *endpoint) eject(now time.Time, opts *Options) {
	if now.Sub(e.returnedAt) > opts.MaxOpenTime {
		e.openTime = 0
	}
	e.reopen(now, opts)
}

func (e *endpoint) reopen(now time.Time, opts *Options) {
	e.openTime = min(max(2*e.openTime, opts.OpenTime), opts.MaxOpenTime)
	e.state = open
	e.until = now.Add(e.openTime)
	e.trialAt = time.Time{}
}

// close lets an endpoint return with the smallest weight and without history.
func (e *endpoint) close(now time.Time) {
	returned := e.trialAt
	if returned.IsZero() {
		returned = now
	}
	e.state = closed
	e.returnedAt, e.trialAt = returned, time.Time{}
	e.firstToken, e.interToken = average{}, average{}
	e.failures, e.refusals = average{}, average{}
	e.failuresInRow = 0
	e.weight, e.target, e.weighedAt = minWeight, 1, now
}

// weigh moves the weight towards the target.
func (e *endpoint) weigh(now time.Time, target float64, opts *Options) {
	grown := e.weight + float64(now.Sub(e.weighedAt))/float64(opts.RampTime)
	e.target = max(target, minWeight)
	e.weight = min(e.target, grown)
	e.weighedAt = now
}
