// Package concurrency decides how many requests run at an endpoint at once and
// which requests are admitted to its queue. The limit is learned from the time
// to the first token and the time between tokens as the agent sees them; the
// endpoint's own load report is not used, because it lags. The package is
// single-threaded: the caller serialises the calls and passes the current time.
package concurrency

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

const (
	// DefaultInitial is the limit before anything has been learned.
	DefaultInitial = 8
	// DefaultMin is the lowest limit; it leaves one slot besides the headroom for
	// urgent work.
	DefaultMin = 2
	// DefaultMax is the highest limit.
	DefaultMax = 256
	// DefaultInterTokenTarget is the target of the time between tokens.
	DefaultInterTokenTarget = 44 * time.Millisecond

	// headroomDivisor divides the limit to give the slots that only urgent work
	// uses.
	headroomDivisor = 8
	// belowUrgentDivisor divides the limit to give the slots on top of it that only
	// work below urgent uses, so that it progresses while urgent work takes the
	// whole limit.
	belowUrgentDivisor = 16
)

// Options configure a Limiter. Zero values take the defaults.
type Options struct {
	Initial int
	Min     int
	Max     int
	// InterTokenTarget is the time between tokens that 95 in 100 tokens meet.
	InterTokenTarget time.Duration
	// QueueDelayTargets are the targets of the wait by tier; see
	// DefaultQueueDelayTargets.
	QueueDelayTargets [catalog.TierCount]time.Duration
	// Seed seeds the random jitter of Retry-After.
	Seed uint64
}

// Limiter learns the limit of one endpoint and controls its queue delay.
type Limiter struct {
	opts  Options
	rand  *rand.Rand
	limit float64
	// ceiling is the limit at which the last decrease began, zero before the
	// first. Above fastGrowthCeilingShare of it growth is additive only.
	ceiling float64
	// growing means that the limit may have grown since the last decrease, so that
	// the next decrease sets the ceiling.
	growing           bool
	inFlight          int
	window            window
	recentFirstTokens firstTokens
	// relaxedTarget replaces the inter-token target, in seconds, until
	// relaxedUntil.
	relaxedTarget float64
	relaxedUntil  time.Time
	// lastDecrease is the time of the last decrease.
	lastDecrease time.Time
	// goodWindows counts the additive steps of growth since the last decrease or
	// the last window that kept the limit as it was.
	goodWindows int
	queueDelay  delayControl

	meanFirstToken movingAverage
	meanInterToken movingAverage
}

// New returns a Limiter at the initial limit.
func New(opts Options) *Limiter {
	opts.Initial = cmp.Or(opts.Initial, DefaultInitial)
	opts.Min = cmp.Or(opts.Min, DefaultMin)
	opts.Max = cmp.Or(opts.Max, DefaultMax)
	opts.InterTokenTarget = cmp.Or(opts.InterTokenTarget, DefaultInterTokenTarget)
	for tier := range opts.QueueDelayTargets {
		opts.QueueDelayTargets[tier] = cmp.Or(opts.QueueDelayTargets[tier], DefaultQueueDelayTargets[tier])
	}
	return &Limiter{
		opts:       opts,
		rand:       rand.New(rand.NewPCG(opts.Seed, 0)),
		limit:      float64(opts.Initial),
		growing:    true,
		queueDelay: delayControl{targets: opts.QueueDelayTargets},
	}
}

// Limit returns the number of requests that may run at the endpoint at once,
// without the slots of ReservedBelowUrgent.
func (l *Limiter) Limit(now time.Time) int {
	l.evaluate(now)
	return int(l.limit)
}

// Headroom returns how many slots of the limit are reserved for urgent work.
func (l *Limiter) Headroom() int {
	return max(1, int(l.limit)/headroomDivisor)
}

// ReservedBelowUrgent returns how many requests below urgent run on top of the
// limit. They are not counted against it, so urgent work always has the whole
// limit.
func (l *Limiter) ReservedBelowUrgent() int {
	return max(1, int(l.limit)/belowUrgentDivisor)
}

// Occupancy is the number of running and of waiting requests, by tier.
type Occupancy struct {
	Running [catalog.TierCount]int
	Waiting [catalog.TierCount]int
}

// Slot says which work may start next.
type Slot int

const (
	// SlotNone means that nothing may start.
	SlotNone Slot = iota
	// SlotUrgent is for urgent work: queue.PopUrgent.
	SlotUrgent
	// SlotBelowUrgent is for lower tiers: queue.PopBelowUrgent.
	SlotBelowUrgent
)

// NextSlot returns which of the waiting work may start now. The caller starts
// it and asks again until the answer is SlotNone. When urgent work waits and
// the answer is not SlotUrgent, queue.PreemptFor may free a slot.
func (l *Limiter) NextSlot(now time.Time, o Occupancy) Slot {
	limit := l.Limit(now)
	if o.Waiting[catalog.TierUrgent] > 0 && l.countAgainstLimit(o) < limit {
		return SlotUrgent
	}
	if o.Waiting[catalog.TierStandard]+o.Waiting[catalog.TierBatch] == 0 {
		return SlotNone
	}
	if o.belowUrgent() < l.ReservedBelowUrgent() {
		return SlotBelowUrgent
	}
	if l.countAgainstLimit(o) < limit-l.Headroom() {
		return SlotBelowUrgent
	}
	return SlotNone
}

// HasSlot reports whether a request of tier could start now, if nothing waits.
func (l *Limiter) HasSlot(now time.Time, tier int, o Occupancy) bool {
	o.Waiting = [catalog.TierCount]int{}
	o.Waiting[tier] = 1
	return l.NextSlot(now, o) != SlotNone
}

func (o Occupancy) belowUrgent() int {
	return o.Running[catalog.TierStandard] + o.Running[catalog.TierBatch]
}

// countAgainstLimit returns how many running requests count against the limit.
func (l *Limiter) countAgainstLimit(o Occupancy) int {
	below := o.belowUrgent()
	return o.Running[catalog.TierUrgent] + below - min(below, l.ReservedBelowUrgent())
}

// Latency returns the smoothed time to the first token and between tokens.
func (l *Limiter) Latency() (firstToken, interToken time.Duration) {
	return l.meanFirstToken.duration(), l.meanInterToken.duration()
}

// movingAverage is an exponentially weighted moving average of durations.
type movingAverage struct {
	seconds     float64
	initialized bool
}

func (m *movingAverage) add(d time.Duration, weight float64) {
	if !m.initialized {
		m.seconds, m.initialized = d.Seconds(), true
		return
	}
	m.seconds += weight * (d.Seconds() - m.seconds)
}

func (m movingAverage) duration() time.Duration {
	return time.Duration(m.seconds * float64(time.Second))
}
