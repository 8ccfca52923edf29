package concurrency

import (
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// DefaultQueueDelayTargets are the targets of the wait in the queue by tier.
var DefaultQueueDelayTargets = [catalog.TierCount]time.Duration{
	300 * time.Millisecond, time.Second, 10 * time.Second,
}

const (
	// delayInterval is how long the wait of a tier stays above its target before
	// new work of the lowest tier is refused; shorter bursts are tolerated.
	delayInterval = 2 * time.Second

	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// retrySpread is the largest random addition to Retry-After, as a fraction of
	// it, so that refused callers do not retry at the same time.
	retrySpread = 0.25
)

// delayControl detects a sustained queue delay of each tier, in the manner of
// CoDel.
type delayControl struct {
	targets [catalog.TierCount]time.Duration
	tiers   [catalog.TierCount]tierDelay
}

// tierDelay is the state of one tier's wait in the queue.
type tierDelay struct {
	above bool
	// aboveSince is when the wait went above the target.
	aboveSince time.Time
	// lastObserved is the time of the last observation.
	lastObserved time.Time
}

func (d *delayControl) observe(now time.Time, tier int, wait time.Duration) {
	t := &d.tiers[tier]
	t.lastObserved = now
	switch {
	case wait > d.targets[tier]:
		if !t.above {
			t.above, t.aboveSince = true, now
		}
	case !t.sustained(now, delayInterval) || wait <= d.targets[tier]/2:
		// A sustained excess ends at half the target, so that the refusals do
		// not alternate with single starts just below it.
		t.above = false
	}
}

func (t tierDelay) sustained(now time.Time, interval time.Duration) bool {
	return t.above && now.Sub(t.aboveSince) >= interval
}

// refuses reports whether new work of tier is refused. Batch work is refused
// while any tier's wait has been above its target for one delayInterval, standard
// work while the wait of standard or urgent work has been above it for two. Urgent
// work is never refused for the queue delay.
func (d *delayControl) refuses(now time.Time, tier int) bool {
	switch tier {
	case catalog.TierBatch:
		for _, t := range d.tiers {
			if t.sustained(now, delayInterval) {
				return true
			}
		}
	case catalog.TierStandard:
		urgent, standard := d.tiers[catalog.TierUrgent], d.tiers[catalog.TierStandard]
		return urgent.sustained(now, 2*delayInterval) || standard.sustained(now, 2*delayInterval)
	}
	return false
}

// ObserveWait records how long a request waited when it starts. For a requeued
// request the wait must count from when it was requeued; Scheduler does not record
// it.
func (l *Limiter) ObserveWait(now time.Time, tier int, wait time.Duration) {
	l.queueDelay.observe(now, tier, wait)
}

// QueueState describes the queue and the endpoint to Admit.
type QueueState struct {
	// HasSlot means that the request would start at once.
	HasSlot bool
	// Waiting is the number of waiting items by tier.
	Waiting [catalog.TierCount]int
	// ExpectedDelay is the expected wait of a new item by tier.
	ExpectedDelay [catalog.TierCount]time.Duration
	// ClassWaiting is the number of waiting items of the request's class in its
	// tier.
	ClassWaiting int
	// Preemptible is the number of streams that could be preempted for urgent
	// work.
	Preemptible int
}

// Admit returns nil if a request may enter the queue, otherwise a refusal with
// the execution not_run and a Retry-After: TargetOutOfReach if it is not
// expected to start within waitLimit, QueueDelayTooHigh if its tier is refused
// for the queue delay. An urgent request is refused only for urgent requests
// ahead of it: streams that could be preempted count as free slots, and the first
// one that waits is always admitted. Below urgent, a request is always admitted
// while no other of its class waits, so that every class progresses.
func (l *Limiter) Admit(now time.Time, tier int, waitLimit time.Duration, state QueueState) *resultcode.Error {
	l.observeStall(now, state)
	if state.HasSlot {
		return nil
	}
	if tier == catalog.TierUrgent && state.Waiting[tier] < max(state.Preemptible, 1) {
		return nil
	}
	if tier != catalog.TierUrgent && state.ClassWaiting == 0 {
		return nil
	}
	expected := state.ExpectedDelay[tier]
	if expected > waitLimit {
		return resultcode.New(resultcode.TargetOutOfReach, "the expected wait is %s, the limit %s",
			expected.Round(time.Millisecond), waitLimit).
			WithRetryAfter(l.retryAfter(expected - waitLimit))
	}
	if l.queueDelay.refuses(now, tier) {
		return resultcode.New(resultcode.QueueDelayTooHigh, "tier %d is refused, its expected wait is %s",
			tier, expected.Round(time.Millisecond)).
			WithRetryAfter(l.retryAfter(expected - l.opts.QueueDelayTargets[tier]/2))
	}
	return nil
}

// observeStall records the expected delay as the wait of a tier that has had no
// start for delayInterval, and a wait of zero for a tier without waiting work.
func (l *Limiter) observeStall(now time.Time, state QueueState) {
	for tier := range state.Waiting {
		if state.Waiting[tier] == 0 {
			l.queueDelay.observe(now, tier, 0)
			continue
		}
		if now.Sub(l.queueDelay.tiers[tier].lastObserved) >= delayInterval {
			l.queueDelay.observe(now, tier, state.ExpectedDelay[tier])
		}
	}
}

// retryAfter returns drain, the time until the queue is short enough to admit the
// request, between minRetryAfter and maxRetryAfter and with random jitter added.
func (l *Limiter) retryAfter(drain time.Duration) time.Duration {
	d := min(max(drain, minRetryAfter), maxRetryAfter)
	return d + time.Duration(retrySpread*l.rand.Float64()*float64(d))
}
