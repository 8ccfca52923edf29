package concurrency

import "time"

const (
	// windowLength and windowTokens are both reached before a window is judged.
	windowLength = 500 * time.Millisecond
	windowTokens = 50
	// windowLimit ends a window with fewer tokens; it is judged if it has at
	// least windowMinTokens.
	windowLimit     = 4 * time.Second
	windowMinTokens = 10

	// missShare is the share of tokens that may miss the target: 5 in 100.
	missShare = 0.05
	// growMargin is the part of the target that 95 in 100 tokens must keep for
	// the limit to grow. Between it and the target the limit stays, which is
	// what ends the growth without a swing around the target.
	growMargin = 0.9

	// fastMargin is the part of the target that 95 in 100 tokens must keep for
	// fast growth. A step of fastGrowth from a slower pace can pass the target at
	// once, and all streams then miss it until the limit has fallen.
	fastMargin = 0.6

	// firstTokenSamples is the number of first tokens that are judged together.
	firstTokenSamples = 20
	// firstTokenMisses of them above the target mean that it is missed: more
	// than 10 in 100. A single long prompt does not lower the limit.
	firstTokenMisses = 3

	// fastGrowth is the factor per good window below the ceiling.
	fastGrowth = 1.25
	// ceilingShare is the part of the ceiling up to which growth is fast.
	ceilingShare = 0.9
	// slowGrowth is the addition per good window near and above the ceiling. It
	// rises by as much again after each slowGrowthRun good windows in a row, so
	// that a limit that fell during a slow phase recovers soon after it.
	slowGrowth    = 0.5
	slowGrowthRun = 4

	// mildDecrease and strongDecrease bound the factor of one decrease, which
	// is the target over the mean time between tokens.
	mildDecrease   = 0.9
	strongDecrease = 0.5
	// settle is the wait after a decrease before the next one, so that the
	// effect of the first can be seen.
	settle = time.Second

	// An endpoint that misses the target at the minimum limit is judged by
	// slowTarget times its pace there for slowFor: holding it at the minimum
	// costs throughput and does not reach the target either. After slowFor the
	// target applies again, since the endpoint may have recovered.
	slowTarget = 2
	slowFor    = 2 * time.Minute

	firstTokenWeight = 0.1
	interTokenWeight = 0.02
)

// Outcome is how a request ended at the endpoint.
type Outcome int

const (
	// Completed includes every whole answer.
	Completed Outcome = iota
	// Cancelled means that the agent cancelled the request.
	Cancelled
	// Overloaded means that the endpoint refused the request for its load.
	Overloaded
	// Failed means that the endpoint failed or crashed.
	Failed
)

// window counts the tokens since the last judgement.
type window struct {
	start  time.Time
	tokens int
	// far counts gaps above fastMargin of the target, near those above growMargin
	// of it, over those above it.
	far, near, over int
	sum             time.Duration
	// peak is the highest number in flight.
	peak int
}

// firstTokens holds the latest first tokens since the last decrease.
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
	l.window.peak = max(l.window.peak, l.inFlight)
	l.judge(now)
}

// ObserveFirstToken records the time from the start at the endpoint to the
// first token, or to the head of a plain service's answer. target is what the
// profile leaves for it; zero means that it is not judged. A request that
// started before the last decrease is not judged either.
func (l *Limiter) ObserveFirstToken(now time.Time, took, target time.Duration) {
	l.firstToken.add(took, firstTokenWeight)
	if target > 0 && now.Add(-took).After(l.decreased) {
		l.first.add(took > target)
	}
	l.judge(now)
}

// ObserveToken records the time since the previous token of the same request.
func (l *Limiter) ObserveToken(now time.Time, gap time.Duration) {
	l.interToken.add(gap, interTokenWeight)
	target := l.target(now)
	l.window.tokens++
	l.window.sum += gap
	if gap.Seconds() > target {
		l.window.over++
	}
	if gap.Seconds() > fastMargin*target {
		l.window.far++
	}
	if gap.Seconds() > growMargin*target {
		l.window.near++
	}
	l.judge(now)
}

// ObserveEnd records that a request left the endpoint. An overload lowers the
// limit; a failure returns it to the initial one if it is higher.
func (l *Limiter) ObserveEnd(now time.Time, outcome Outcome) {
	l.inFlight = max(0, l.inFlight-1)
	switch outcome {
	case Overloaded:
		l.decrease(now, mildDecrease)
	case Failed:
		l.limit = min(l.limit, float64(l.opts.Initial))
		l.restart(now)
	case Completed, Cancelled:
		l.judge(now)
	}
}

// target returns the time between tokens in use, in seconds.
func (l *Limiter) target(now time.Time) float64 {
	if now.Before(l.slowUntil) {
		return l.slowPace
	}
	return l.opts.InterToken.Seconds()
}

// judge ends a window that is long enough and adapts the limit.
func (l *Limiter) judge(now time.Time) {
	if l.window.start.IsZero() {
		l.restart(now)
		return
	}
	age := now.Sub(l.window.start)
	if l.first.misses() >= firstTokenMisses {
		l.decrease(now, mildDecrease)
		return
	}
	if age < windowLength {
		return
	}
	if !l.window.enough(age, l.first.count) {
		if age >= windowLimit {
			l.restart(now)
		}
		return
	}
	l.judgeWindow(now)
}

// enough reports whether a window can be judged. An endpoint without tokens, a
// plain service, is judged by its first tokens alone.
func (w window) enough(age time.Duration, firstTokens int) bool {
	if w.tokens == 0 {
		return firstTokens >= firstTokenSamples
	}
	return w.tokens >= windowTokens || age >= windowLimit && w.tokens >= windowMinTokens
}

func (l *Limiter) judgeWindow(now time.Time) {
	allowed := missShare * float64(l.window.tokens)
	mean := l.meanPace()
	switch {
	case float64(l.window.over) > allowed:
		l.relax(now, mean)
		l.decrease(now, l.target(now)/mean)
	case float64(l.window.near) > allowed:
		l.goodWindows = 0
		l.restart(now)
	default:
		l.grow(float64(l.window.far) <= allowed)
		l.restart(now)
	}
}

// relax takes a pace above the target at the minimum limit as the endpoint's own.
func (l *Limiter) relax(now time.Time, mean float64) {
	atMin := int(l.limit) <= l.opts.Min && l.inFlight <= l.opts.Min+l.Keep()
	if atMin && mean > l.opts.InterToken.Seconds() && !now.Before(l.slowUntil) {
		l.slowPace = slowTarget * mean
		l.slowUntil = now.Add(slowFor)
	}
}

// meanPace returns the window's mean time between tokens in seconds.
func (l *Limiter) meanPace() float64 {
	if l.window.tokens == 0 {
		return 0
	}
	return l.window.sum.Seconds() / float64(l.window.tokens)
}

// grow raises the limit if the requests in flight have used it, by a factor
// only when the pace is far from the target.
func (l *Limiter) grow(far bool) {
	if l.window.peak < int(l.limit)-l.Headroom() {
		return
	}
	l.growing = true
	if far && l.ceiling == 0 {
		l.limit *= fastGrowth
	} else if fast := ceilingShare * l.ceiling; far && l.limit < fast {
		l.limit = min(l.limit*fastGrowth, fast)
	} else {
		l.limit += slowGrowth * float64(1+l.goodWindows/slowGrowthRun)
		l.goodWindows++
	}
	l.limit = min(l.limit, float64(l.opts.Max))
}

// decrease lowers the limit by a factor, at most once in settle and not while
// more requests run than the limit allows: those began under an older limit.
func (l *Limiter) decrease(now time.Time, factor float64) {
	draining := l.inFlight > int(l.limit)+l.Keep()
	if now.Sub(l.decreased) < settle || draining {
		l.restart(now)
		return
	}
	if l.growing {
		l.ceiling = l.limit
		l.growing = false
	}
	l.limit *= min(max(factor, strongDecrease), mildDecrease)
	l.limit = max(l.limit, float64(l.opts.Min))
	l.goodWindows = 0
	l.decreased = now
	l.restart(now)
	l.first = firstTokens{}
}

func (l *Limiter) restart(now time.Time) {
	l.window = window{start: now, peak: l.inFlight}
}
