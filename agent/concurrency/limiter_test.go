package concurrency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine simulates a batching engine under permanent demand: the time between
// tokens is 10 ms plus 1 ms for each request in flight, with 10% noise, so that
// the mean reaches 44 ms at 34 requests, and the 95th percentile at about 27.
type engine struct {
	l          *concurrency.Limiter
	rand       *rand.Rand
	now        time.Time
	slowFactor float64
	streams    []stream
	// late counts the tokens above 44 ms.
	tokens, late int
}

type stream struct {
	next time.Time
	left int
	last time.Time
}

func newEngine() *engine {
	return &engine{l: concurrency.New(concurrency.Options{}), rand: rand.New(rand.NewPCG(1, 1)), now: start, slowFactor: 1}
}

func (e *engine) nextGap() time.Duration {
	mean := 10 + float64(len(e.streams))
	noise := 1 + 0.1*min(max(e.rand.NormFloat64(), -2), 2)
	return time.Duration(e.slowFactor * mean * noise * float64(time.Millisecond))
}

// run advances by d and returns the lowest and highest limit.
func (e *engine) run(d time.Duration) (low, high int) {
	low = 1 << 30
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(time.Millisecond) {
		limit := e.l.Limit(e.now)
		low, high = min(low, limit), max(high, limit)
		for len(e.streams) < limit {
			e.l.ObserveStart(e.now)
			e.streams = append(e.streams, stream{next: e.now.Add(e.nextGap()), last: e.now, left: 50 + e.rand.IntN(400)})
		}
		e.emit()
	}
	return low, high
}

func (e *engine) emit() {
	kept := e.streams[:0]
	for _, s := range e.streams {
		if e.now.Before(s.next) {
			kept = append(kept, s)
			continue
		}
		gap := e.now.Sub(s.last)
		e.l.ObserveToken(e.now, gap)
		e.tokens++
		if gap > concurrency.DefaultInterTokenTarget {
			e.late++
		}
		s.last, s.next, s.left = e.now, e.now.Add(e.nextGap()), s.left-1
		if s.left == 0 {
			e.l.ObserveEnd(e.now, concurrency.Completed)
			continue
		}
		kept = append(kept, s)
	}
	e.streams = kept
}

// Guards against a limit that stays low, misses the target, or oscillates.
func TestLimitSettlesBelowTheTarget(t *testing.T) {
	e := newEngine()
	e.run(30 * time.Second)
	e.tokens, e.late = 0, 0
	low, high := e.run(2 * time.Minute)
	t.Logf("limit %d to %d, %d of %d tokens late", low, high, e.late, e.tokens)
	if low < 22 || high > 30 || high-low > 4 {
		t.Errorf("limit %d to %d, want 22 to 30 within 4", low, high)
	}
	if 20*e.late > e.tokens {
		t.Errorf("%d of %d tokens late", e.late, e.tokens)
	}
}

// Guards against a limit that does not fall while the endpoint is slow, falls to
// the minimum in one step, or does not recover afterwards.
func TestLimitFollowsSlowPhase(t *testing.T) {
	e := newEngine()
	e.run(30 * time.Second)
	e.slowFactor = 2
	if low, _ := e.run(20 * time.Second); low < 6 {
		t.Errorf("limit fell to %d before the earlier requests had ended", low)
	}
	if low, high := e.run(10 * time.Second); high > 14 || low < 4 {
		t.Errorf("slow: limit %d to %d, want 4 to 14", low, high)
	}
	e.slowFactor = 1
	recovered := 0
	for ; recovered < 15 && e.l.Limit(e.now) < 22; recovered++ {
		e.run(time.Second)
	}
	t.Logf("limit %d after %d s", e.l.Limit(e.now), recovered)
	if low, high := e.run(10 * time.Second); low < 22 || high > 30 {
		t.Errorf("after: limit %d to %d, want 22 to 30", low, high)
	}
}

// Guards against holding an endpoint at the minimum limit that misses the target
// even with a single request, which loses throughput and gains nothing.
func TestUnattainableTargetDoesNotPinTheLimit(t *testing.T) {
	e := newEngine()
	e.slowFactor = 5
	e.run(80 * time.Second)
	if low, _ := e.run(10 * time.Second); low < 6 {
		t.Errorf("limit %d at an endpoint with 50 ms + 5 ms per request", low)
	}
	e.slowFactor = 1
	e.run(3 * time.Minute)
	if low, high := e.run(10 * time.Second); low < 22 || high > 30 {
		t.Errorf("after: limit %d to %d, want 22 to 30", low, high)
	}
}

// Guards against a limit that ignores late first tokens, overloads or crashes, that
// falls for one long prompt, or that falls again for requests that started before
// the last decrease.
func TestLimitFallsForLateFirstTokens(t *testing.T) {
	l := concurrency.New(concurrency.Options{Initial: 100})
	now := start
	late := func(n int) int {
		for range n {
			l.ObserveFirstToken(now, 3*time.Second, 2*time.Second)
		}
		return l.Limit(now)
	}
	l.Limit(now)
	now = now.Add(10 * time.Second)
	if got := late(2); got != 100 {
		t.Errorf("limit %d after two late first tokens", got)
	}
	if got := late(1); got != 90 {
		t.Errorf("limit %d after three late first tokens", got)
	}
	now = now.Add(2 * time.Second)
	if got := late(20); got != 90 {
		t.Errorf("limit %d after late first tokens of earlier starts", got)
	}
	now = now.Add(2 * time.Second)
	if got := late(3); got != 81 {
		t.Errorf("limit %d after late first tokens of later starts", got)
	}
	now = now.Add(2 * time.Second)
	for range 3 {
		l.ObserveEnd(now, concurrency.Overloaded)
	}
	if got := l.Limit(now); got != 72 {
		t.Errorf("limit %d after three overloads at once", got)
	}
	small := concurrency.New(concurrency.Options{Initial: 8})
	small.ObserveEnd(now, concurrency.Failed)
	if got := small.Limit(now); got != 8 {
		t.Errorf("limit %d after a crash", got)
	}
}

// Guards against a plain service, which has no tokens, keeping its initial limit.
func TestLimitGrowsWithoutTokens(t *testing.T) {
	l := concurrency.New(concurrency.Options{})
	for step := range 100 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for range l.Limit(now) {
			l.ObserveStart(now)
		}
		for range l.Limit(now) {
			l.ObserveFirstToken(now, 20*time.Millisecond, time.Second)
			l.ObserveEnd(now, concurrency.Completed)
		}
	}
	if got := l.Limit(start.Add(10 * time.Second)); got < 32 {
		t.Errorf("limit %d after 10 s within the target", got)
	}
}
