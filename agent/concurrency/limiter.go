// Package concurrency decides how many requests run at an endpoint at once and
// which requests are admitted to its queue. The limit is learned from the time
// to the first token and the time between tokens as the agent sees them; the
// endpoint's own load report is not used, because it lags. The package is
// single-threaded: the caller serialises the calls and passes the time.
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
	// DefaultMin is the lowest limit; it leaves one slot besides the headroom.
	DefaultMin = 2
	// DefaultMax is the highest limit.
	DefaultMax = 256
	// DefaultInterToken is the target of the time between tokens.
	DefaultInterToken = 44 * time.Millisecond

	// headroomDivisor gives the part of the limit that only urgent work uses.
	headroomDivisor = 8
	// keepDivisor gives the slots on top of the limit that only work below
	// urgent uses, so that it progresses while urgent work takes the limit.
	keepDivisor = 16
)

// Options configure a Limiter. Zero values take the defaults.
type Options struct {
	Initial int
	Min     int
	Max     int
	// InterToken is met by 95 in 100 tokens.
	InterToken time.Duration
	// QueueDelay is the target of the wait by tier; see DefaultQueueDelay.
	QueueDelay [catalog.TierCount]time.Duration
	// Seed determines the spread of Retry-After.
	Seed uint64
}

// Limiter learns the limit of one endpoint and controls its queue delay.
type Limiter struct {
	opts  Options
	rand  *rand.Rand
	limit float64
	// ceiling is the limit at which the last decrease began, zero before the
	// first. Below it growth is multiplicative, above it additive.
	ceiling  float64
	growing  bool
	inFlight int
	window   window
	first    firstTokens
	// slowPace replaces the target, in seconds, until slowUntil.
	slowPace  float64
	slowUntil time.Time
	// decreased is the time of the last decrease.
	decreased   time.Time
	goodWindows int
	delay       delayControl

	firstToken smoothed
	interToken smoothed
}

// New returns a Limiter at the initial limit.
func New(opts Options) *Limiter {
	opts.Initial = cmp.Or(opts.Initial, DefaultInitial)
	opts.Min = cmp.Or(opts.Min, DefaultMin)
	opts.Max = cmp.Or(opts.Max, DefaultMax)
	opts.InterToken = cmp.Or(opts.InterToken, DefaultInterToken)
	for tier := range opts.QueueDelay {
		opts.QueueDelay[tier] = cmp.Or(opts.QueueDelay[tier], DefaultQueueDelay[tier])
	}
	return &Limiter{
		opts:    opts,
		rand:    rand.New(rand.NewPCG(opts.Seed, 0)),
		limit:   float64(opts.Initial),
		growing: true,
		delay:   delayControl{targets: opts.QueueDelay},
	}
}

// Limit returns the number of requests that may run at the endpoint at once,
// without the slots of Keep.
func (l *Limiter) Limit(now time.Time) int {
	l.judge(now)
	return int(l.limit)
}

// Headroom returns how many slots of the limit only urgent work uses.
func (l *Limiter) Headroom() int {
	return max(1, int(l.limit)/headroomDivisor)
}

// Keep returns how many requests below urgent run on top of the limit. They
// are not counted against it, so urgent work always has the whole limit.
func (l *Limiter) Keep() int {
	return max(1, int(l.limit)/keepDivisor)
}

// Occupancy is what runs and waits at the endpoint, by tier.
type Occupancy struct {
	Running [catalog.TierCount]int
	Waiting [catalog.TierCount]int
}

// Slot states which work may start next.
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
	if o.Waiting[catalog.TierUrgent] > 0 && l.counted(o) < limit {
		return SlotUrgent
	}
	if o.Waiting[catalog.TierStandard]+o.Waiting[catalog.TierBatch] == 0 {
		return SlotNone
	}
	if o.belowUrgent() < l.Keep() {
		return SlotBelowUrgent
	}
	if l.counted(o) < limit-l.Headroom() {
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

// counted returns the running requests that count against the limit.
func (l *Limiter) counted(o Occupancy) int {
	below := o.belowUrgent()
	return o.Running[catalog.TierUrgent] + below - min(below, l.Keep())
}

// Latency returns the smoothed time to the first token and between tokens.
func (l *Limiter) Latency() (firstToken, interToken time.Duration) {
	return l.firstToken.duration(), l.interToken.duration()
}

// smoothed is an exponentially weighted mean in seconds.
type smoothed struct {
	value float64
	known bool
}

func (s *smoothed) add(d time.Duration, weight float64) {
	if !s.known {
		s.value, s.known = d.Seconds(), true
		return
	}
	s.value += weight * (d.Seconds() - s.value)
}

func (s smoothed) duration() time.Duration {
	return time.Duration(s.value * float64(time.Second))
}
