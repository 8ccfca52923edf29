package worker

import (
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Admission is what a limiter judges a new attempt by.
type Admission struct {
	Tier      int
	Class     string
	WaitLimit time.Duration
	Queue     *queue.Queue
	Occupancy concurrency.Occupancy
	Running   []queue.Running
}

// Limiter decides how much runs at the endpoint at a time. The worker
// serialises the calls.
type Limiter interface {
	// Admit refuses work that cannot meet its target or must yield to other work.
	Admit(now time.Time, a Admission) *resultcode.Error
	// Next takes the next item to start from the queue, if a slot is free for it.
	Next(now time.Time, q *queue.Queue, o concurrency.Occupancy) (queue.Item, bool)
	// HasSlot reports whether work of a tier could start now if nothing waits.
	HasSlot(now time.Time, tier int, o concurrency.Occupancy) bool
	// Preempt names the running item to stop for waiting work.
	Preempt(now time.Time, q *queue.Queue, o concurrency.Occupancy, running []queue.Running) (string, bool)
	// Started, FirstToken, Token and Ended observe the endpoint.
	Started(now time.Time, tier int, waited time.Duration)
	FirstToken(now time.Time, took, target time.Duration)
	Token(now time.Time, gap time.Duration)
	Ended(now time.Time, o concurrency.Outcome)
	// Describe fills the limit and the latencies of a load message.
	Describe(now time.Time, load *rpc.Load)
}

// FixedLimiter runs a fixed number of attempts, starts urgent work first and
// refuses nothing by itself. It is the plain variant that measurements compare
// the learned limit with.
type FixedLimiter struct {
	Slots int
}

// Admit accepts everything.
func (l FixedLimiter) Admit(time.Time, Admission) *resultcode.Error { return nil }

// Next starts an item while a slot is free.
func (l FixedLimiter) Next(now time.Time, q *queue.Queue, o concurrency.Occupancy) (queue.Item, bool) {
	if running(o) >= l.Slots {
		return queue.Item{}, false
	}
	return q.Pop(now)
}

// HasSlot reports whether a slot is free.
func (l FixedLimiter) HasSlot(_ time.Time, _ int, o concurrency.Occupancy) bool {
	return running(o) < l.Slots
}

// Preempt lets the queue choose when all slots are taken.
func (l FixedLimiter) Preempt(now time.Time, q *queue.Queue, o concurrency.Occupancy, list []queue.Running) (string, bool) {
	if running(o) < l.Slots {
		return "", false
	}
	return q.PreemptFor(now, 0, list)
}

func running(o concurrency.Occupancy) int {
	n := 0
	for _, count := range o.Running {
		n += count
	}
	return n
}

// Started does nothing.
func (l FixedLimiter) Started(time.Time, int, time.Duration) {}

// FirstToken does nothing.
func (l FixedLimiter) FirstToken(time.Time, time.Duration, time.Duration) {}

// Token does nothing.
func (l FixedLimiter) Token(time.Time, time.Duration) {}

// Ended does nothing.
func (l FixedLimiter) Ended(time.Time, concurrency.Outcome) {}

// Describe sets the limit.
func (l FixedLimiter) Describe(_ time.Time, load *rpc.Load) { load.Limit = uint32(l.Slots) }

// LearnedLimiter learns the limit from the endpoint's latencies.
type LearnedLimiter struct {
	limiter *concurrency.Limiter
}

// NewLearnedLimiter returns a LearnedLimiter.
func NewLearnedLimiter(opts concurrency.Options) *LearnedLimiter {
	return &LearnedLimiter{limiter: concurrency.New(opts)}
}

// Admit refuses work whose expected wait is too long.
func (l *LearnedLimiter) Admit(now time.Time, a Admission) *resultcode.Error {
	facts := concurrency.Facts{
		HasSlot:      a.Queue.TierLen(a.Tier) == 0 && l.limiter.HasSlot(now, a.Tier, a.Occupancy),
		Waiting:      a.Occupancy.Waiting,
		ClassWaiting: a.Queue.ClassLen(a.Tier, a.Class),
		Preemptible:  queue.Preemptible(now, l.limiter.Keep(), a.Running),
	}
	for tier := range catalog.TierCount {
		facts.ExpectedDelay[tier] = a.Queue.ExpectedDelay(now, tier)
	}
	return l.limiter.Admit(now, a.Tier, a.WaitLimit, facts)
}

// Next starts the item that the limiter has a slot for.
func (l *LearnedLimiter) Next(now time.Time, q *queue.Queue, o concurrency.Occupancy) (queue.Item, bool) {
	switch l.limiter.NextSlot(now, o) {
	case concurrency.SlotUrgent:
		return q.PopUrgent(now)
	case concurrency.SlotBelowUrgent:
		return q.PopBelowUrgent(now)
	}
	return queue.Item{}, false
}

// HasSlot reports whether work of a tier could start now if nothing waits.
func (l *LearnedLimiter) HasSlot(now time.Time, tier int, o concurrency.Occupancy) bool {
	return l.limiter.HasSlot(now, tier, o)
}

// Preempt lets the queue choose when the limiter has no slot for waiting work.
func (l *LearnedLimiter) Preempt(now time.Time, q *queue.Queue, o concurrency.Occupancy, list []queue.Running) (string, bool) {
	if l.limiter.NextSlot(now, o) != concurrency.SlotNone {
		return "", false
	}
	return q.PreemptFor(now, l.limiter.Keep(), list)
}

// Started records a start and the wait before it.
func (l *LearnedLimiter) Started(now time.Time, tier int, waited time.Duration) {
	l.limiter.ObserveStart(now)
	l.limiter.ObserveWait(now, tier, waited)
}

// FirstToken records a time to the first token.
func (l *LearnedLimiter) FirstToken(now time.Time, took, target time.Duration) {
	l.limiter.ObserveFirstToken(now, took, target)
}

// Token records a time between tokens.
func (l *LearnedLimiter) Token(now time.Time, gap time.Duration) {
	l.limiter.ObserveToken(now, gap)
}

// Ended records the end of a run.
func (l *LearnedLimiter) Ended(now time.Time, o concurrency.Outcome) {
	l.limiter.ObserveEnd(now, o)
}

// Describe fills the limit and the smoothed latencies.
func (l *LearnedLimiter) Describe(now time.Time, load *rpc.Load) {
	load.Limit = uint32(l.limiter.Limit(now))
	first, gap := l.limiter.Latency()
	load.FirstTokenMs = uint32(first.Milliseconds())
	load.InterTokenUs = uint32(gap.Microseconds())
}
