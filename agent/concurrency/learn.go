package concurrency

import "time"

const (
	// A window of gaps, the times between two tokens of a request, is evaluated once
	// it has lasted windowMinLength and has windowTokens tokens.
	windowMinLength = 500 * time.Millisecond
	windowTokens    = 50
	// windowMaxLength ends a window with fewer tokens; it is evaluated if it has
	// at least windowMinTokens.
	windowMaxLength = 4 * time.Second
	windowMinTokens = 10

	// allowedMissShare is the share of tokens that may miss the target: 5 in 100.
	allowedMissShare = 0.05
	// growthMargin is the fraction of the target that 95 in 100 gaps must not
	// exceed for the limit to grow. Between it and the target the limit stays as
	// it is, so that growth ends without an oscillation around the target.
	growthMargin = 0.9

	// fastGrowthMargin is the fraction of the target that 95 in 100 gaps must not
	// exceed for fast growth. From longer gaps, one step of fastGrowth can exceed
	// the target at once, and all streams then miss it until the limit has fallen.
	fastGrowthMargin = 0.6

	// firstTokenSamples is the number of first tokens that are evaluated together.
	firstTokenSamples = 20
	// firstTokenMisses of them above their target lower the limit: more than 10
	// in 100. A single long prompt does not lower it.
	firstTokenMisses = 3

	// fastGrowth is the factor by which a good window, one whose gaps let the limit
	// grow, raises the limit below the ceiling if its gaps are within
	// fastGrowthMargin.
	fastGrowth = 1.25
	// fastGrowthCeilingShare is the fraction of the ceiling up to which growth is
	// fast.
	fastGrowthCeilingShare = 0.9
	// slowGrowth is what any other good window adds to the limit, such as one near
	// or above the ceiling. The addition rises by slowGrowth after each
	// slowGrowthRun such windows in a row, so that a limit that fell during a slow
	// phase recovers soon after it.
	slowGrowth    = 0.5
	slowGrowthRun = 4

	// mildDecrease and strongDecrease bound the factor of one decrease, which is
	// the target divided by the mean gap. After an overload or late first tokens the
	// factor is mildDecrease.
	mildDecrease   = 0.9
	strongDecrease = 0.5
	// decreaseInterval is the minimum time between two decreases, so that the
	// effect of the first is observed before the next.
	decreaseInterval = time.Second

	// An endpoint that misses the target at the minimum limit gets a relaxed
	// target for relaxedTargetDuration: relaxedTargetFactor times its mean time
	// between tokens there. Holding it at the minimum costs throughput and does
	// not reach the target either. After relaxedTargetDuration the target applies
	// again, since the endpoint may have recovered.
	relaxedTargetFactor   = 2
	relaxedTargetDuration = 2 * time.Minute

	// Weights of one sample in the moving averages of the latencies.
	firstTokenWeight = 0.1
	interTokenWeight = 0.02
)

// Outcome is how a request ended at the endpoint.
type Outcome int

const (
	// Completed means that the answer is complete.
	Completed Outcome = iota
	// Cancelled means that the agent cancelled the request.
	Cancelled
	// Overloaded means that the endpoint refused the request because of its load.
	Overloaded
	// Failed means that the endpoint failed or crashed.
	Failed
)

// window counts the tokens since the last evaluation.
type window struct {
	start  time.Time
	tokens int
	// aboveFastGrowth counts the gaps above fastGrowthMargin of the target,
	// aboveGrowth those above growthMargin of it, aboveTarget those above it.
	aboveFastGrowth, aboveGrowth, aboveTarget int
	gapSum                                    time.Duration
	// peakInFlight is the highest number of requests in flight.
	peakInFlight int
}

// firstTokens is a ring buffer of the latest first tokens since the last decrease.
type firstTokens struct {
	missed [firstTokenSamples]bool
	count  int
	next   int
}

func (f *firstTokens) add(missed bool) {
	f.missed[f.next] = missed
	f.next = (f.next + 1) % firstTokenSamples
	f.count = min(f.count+1, firstTokenSamples)
}

func (f *firstTokens) misses() int {
	n := 0
	for _, missed := range f.missed[:f.count] {
		if missed {
			n++
		}
	}
	return n
}

// ObserveStart records that a request was passed to the endpoint.
func (l *Limiter) ObserveStart(now time.Time) {
	l.inFlight++
	l.window.peakInFlight = max(l.window.peakInFlight, l.inFlight)
	l.evaluate(now)
}

// ObserveFirstToken records the time from the start at the endpoint to the
// first token, or to the head of a plain service's answer. target is the part of
// the profile's target that remains for it. If target is zero or the request
// started before the last decrease, the time has no effect on the limit.
func (l *Limiter) ObserveFirstToken(now time.Time, took, target time.Duration) {
	l.meanFirstToken.add(took, firstTokenWeight)
	if target > 0 && now.Add(-took).After(l.lastDecrease) {
		l.recentFirstTokens.add(took > target)
	}
	l.evaluate(now)
}

// ObserveToken records the gap, which is the time since the previous token of the
// same request.
func (l *Limiter) ObserveToken(now time.Time, gap time.Duration) {
	l.meanInterToken.add(gap, interTokenWeight)
	target := l.target(now)
	l.window.tokens++
	l.window.gapSum += gap
	if gap.Seconds() > target {
		l.window.aboveTarget++
	}
	if gap.Seconds() > fastGrowthMargin*target {
		l.window.aboveFastGrowth++
	}
	if gap.Seconds() > growthMargin*target {
		l.window.aboveGrowth++
	}
	l.evaluate(now)
}

// ObserveEnd records that a request ended at the endpoint. An overload lowers the
// limit; a failure lowers it to the initial one if it is higher.
func (l *Limiter) ObserveEnd(now time.Time, outcome Outcome) {
	l.inFlight = max(0, l.inFlight-1)
	switch outcome {
	case Overloaded:
		l.decrease(now, mildDecrease)
	case Failed:
		l.limit = min(l.limit, float64(l.opts.Initial))
		l.startWindow(now)
	case Completed, Cancelled:
		l.evaluate(now)
	}
}

// target returns the target of the time between tokens that applies now, in
// seconds.
func (l *Limiter) target(now time.Time) float64 {
	if now.Before(l.relaxedUntil) {
		return l.relaxedTarget
	}
	return l.opts.InterTokenTarget.Seconds()
}

// evaluate adapts the limit if the first tokens miss their target or the window
// has enough samples, and then starts a new window.
func (l *Limiter) evaluate(now time.Time) {
	if l.window.start.IsZero() {
		l.startWindow(now)
		return
	}
	age := now.Sub(l.window.start)
	if l.recentFirstTokens.misses() >= firstTokenMisses {
		l.decrease(now, mildDecrease)
		return
	}
	if age < windowMinLength {
		return
	}
	if !l.window.hasEnoughSamples(age, l.recentFirstTokens.count) {
		if age >= windowMaxLength {
			l.startWindow(now)
		}
		return
	}
	l.evaluateWindow(now)
}

// hasEnoughSamples reports whether a window can be evaluated. An endpoint without
// tokens, a plain service, is evaluated by its first tokens alone.
func (w window) hasEnoughSamples(age time.Duration, firstTokens int) bool {
	if w.tokens == 0 {
		return firstTokens >= firstTokenSamples
	}
	return w.tokens >= windowTokens || age >= windowMaxLength && w.tokens >= windowMinTokens
}

// evaluateWindow compares the gaps of the window with the target, lowers, keeps or
// raises the limit, and starts a new window.
func (l *Limiter) evaluateWindow(now time.Time) {
	allowed := allowedMissShare * float64(l.window.tokens)
	mean := l.windowMeanGap()
	switch {
	case float64(l.window.aboveTarget) > allowed:
		l.relaxTarget(now, mean)
		l.decrease(now, l.target(now)/mean)
	case float64(l.window.aboveGrowth) > allowed:
		l.goodWindows = 0
		l.startWindow(now)
	default:
		l.grow(float64(l.window.aboveFastGrowth) <= allowed)
		l.startWindow(now)
	}
}

// relaxTarget relaxes the target for an endpoint that misses it at the minimum
// limit.
func (l *Limiter) relaxTarget(now time.Time, meanGap float64) {
	atMin := int(l.limit) <= l.opts.Min && l.inFlight <= l.opts.Min+l.ReservedBelowUrgent()
	if atMin && meanGap > l.opts.InterTokenTarget.Seconds() && !now.Before(l.relaxedUntil) {
		l.relaxedTarget = relaxedTargetFactor * meanGap
		l.relaxedUntil = now.Add(relaxedTargetDuration)
	}
}

// windowMeanGap returns the window's mean time between tokens in seconds.
func (l *Limiter) windowMeanGap() float64 {
	if l.window.tokens == 0 {
		return 0
	}
	return l.window.gapSum.Seconds() / float64(l.window.tokens)
}

// grow raises the limit if the requests in flight have used it. It does so by a
// factor only if fast is set, which means that the gaps are well below the target.
func (l *Limiter) grow(fast bool) {
	if l.window.peakInFlight < int(l.limit)-l.Headroom() {
		return
	}
	l.growing = true
	if fast && l.ceiling == 0 {
		l.limit *= fastGrowth
	} else if fastLimit := fastGrowthCeilingShare * l.ceiling; fast && l.limit < fastLimit {
		l.limit = min(l.limit*fastGrowth, fastLimit)
	} else {
		l.limit += slowGrowth * float64(1+l.goodWindows/slowGrowthRun)
		l.goodWindows++
	}
	l.limit = min(l.limit, float64(l.opts.Max))
}

// decrease lowers the limit by a factor, at most once in decreaseInterval and not
// while more requests run than the limit allows: those began under an older limit.
func (l *Limiter) decrease(now time.Time, factor float64) {
	draining := l.inFlight > int(l.limit)+l.ReservedBelowUrgent()
	if now.Sub(l.lastDecrease) < decreaseInterval || draining {
		l.startWindow(now)
		return
	}
	if l.growing {
		l.ceiling = l.limit
		l.growing = false
	}
	l.limit *= min(max(factor, strongDecrease), mildDecrease)
	l.limit = max(l.limit, float64(l.opts.Min))
	l.goodWindows = 0
	l.lastDecrease = now
	l.startWindow(now)
	l.recentFirstTokens = firstTokens{}
}

// startWindow discards the counts of the current window and starts a new one.
func (l *Limiter) startWindow(now time.Time) {
	l.window = window{start: now, peakInFlight: l.inFlight}
}
