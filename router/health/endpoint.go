package health

import (
	"math"
	"time"
)

// breakerState is the state of an endpoint's circuit breaker. A half-open endpoint
// may receive a single trial attempt.
type breakerState int

const (
	closed breakerState = iota
	open
	halfOpen
)

// latencySmoothing and rateSmoothing are the weights of the newest sample in the
// exponential moving averages of latencies and rates.
const (
	latencySmoothing = 0.25
	rateSmoothing    = 0.1
)

// smoothedAverage is an exponential moving average. Its first samples have equal
// weight. After a window without samples it starts again.
type smoothedAverage struct {
	value float64
	count int
	at    time.Time
}

func (a *smoothedAverage) add(now time.Time, sample, smoothing float64, window time.Duration) {
	if !a.fresh(now, window) {
		*a = smoothedAverage{}
	}
	a.count++
	a.value += max(smoothing, 1/float64(a.count)) * (sample - a.value)
	a.at = now
}

func (a *smoothedAverage) fresh(now time.Time, window time.Duration) bool {
	return a.count > 0 && now.Sub(a.at) <= window
}

// valueOrZero returns the average, or 0 when there is no recent sample.
func (a *smoothedAverage) valueOrZero(now time.Time, window time.Duration) float64 {
	if !a.fresh(now, window) {
		return 0
	}
	return a.value
}

// endpoint is the state of one endpoint and what the router observed of it.
type endpoint struct {
	id    string
	group *group
	// firstToken and interToken are means of the logarithm of seconds, so that a
	// single long answer does not dominate.
	firstToken, interToken smoothedAverage
	// failures and refusals are rates, from 0 to 1: each sample is 0 or 1.
	failures, refusals smoothedAverage
	// failuresInRow counts failures since the last success.
	failuresInRow int

	state breakerState
	// until is the end of the open state, openTime its duration.
	until    time.Time
	openTime time.Duration
	// trialSentAt is when the trial was sent; zero when none is in progress.
	trialSentAt time.Time
	// lastTrialAt is when the trial that ended the last ejection was sent.
	lastTrialAt time.Time

	// weight follows target: down at once, up over RampTime.
	weight, target  float64
	weightUpdatedAt time.Time
	// slowness is the logarithm of the latency ratio to the median of the peers.
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

// hasFailureRun reports whether MaxFailures attempts have failed in a row, the last
// one recently.
func (e *endpoint) hasFailureRun(now time.Time, opts *Options) bool {
	return e.failuresInRow >= opts.MaxFailures && e.failures.fresh(now, opts.Window)
}

// advance applies the time-based transitions of the circuit breaker: the end of the
// open state and the timeout of a trial.
func (e *endpoint) advance(now time.Time, opts *Options) {
	if e.state == open && !now.Before(e.until) {
		e.state = halfOpen
		e.trialSentAt = time.Time{}
	}
	if e.state == halfOpen && !e.trialSentAt.IsZero() && now.Sub(e.trialSentAt) >= opts.TrialTimeout {
		e.reopen(now, opts)
	}
}

// ejected reports whether the endpoint receives no attempts. During a trial it
// receives no other.
func (e *endpoint) ejected() bool {
	return e.state == open || e.state == halfOpen && !e.trialSentAt.IsZero()
}

// eject opens the breaker of a closed endpoint. An ejection within MaxOpenTime of
// the last trial continues the exponential backoff.
func (e *endpoint) eject(now time.Time, opts *Options) {
	if now.Sub(e.lastTrialAt) > opts.MaxOpenTime {
		e.openTime = 0
	}
	e.reopen(now, opts)
}

// reopen opens the breaker for twice the last time, between OpenTime and
// MaxOpenTime.
func (e *endpoint) reopen(now time.Time, opts *Options) {
	e.openTime = min(max(2*e.openTime, opts.OpenTime), opts.MaxOpenTime)
	e.state = open
	e.until = now.Add(e.openTime)
	e.trialSentAt = time.Time{}
}

// close readmits an endpoint with the smallest weight and without history.
func (e *endpoint) close(now time.Time) {
	returned := e.trialSentAt
	if returned.IsZero() {
		returned = now
	}
	e.state = closed
	e.lastTrialAt, e.trialSentAt = returned, time.Time{}
	e.firstToken, e.interToken = smoothedAverage{}, smoothedAverage{}
	e.failures, e.refusals = smoothedAverage{}, smoothedAverage{}
	e.failuresInRow = 0
	e.weight, e.target, e.weightUpdatedAt = minWeight, 1, now
}

// updateWeight sets the target and moves the weight towards it.
func (e *endpoint) updateWeight(now time.Time, target float64, opts *Options) {
	grown := e.weight + float64(now.Sub(e.weightUpdatedAt))/float64(opts.RampTime)
	e.target = max(target, minWeight)
	e.weight = min(e.target, grown)
	e.weightUpdatedAt = now
}
