package worker

import (
	"time"

	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Limiter decides how much runs at the endpoint at a time; concurrency.Scheduler
// is the one in use. The worker serialises the calls.
type Limiter interface {
	// Admit refuses work that cannot meet its target or must yield to other work.
	Admit(now time.Time, req *rpc.RunRequest, q *queue.Queue, running []queue.Running) *resultcode.Error
	// Next takes the next item to start from the queue, if a slot is free for it.
	Next(now time.Time, q *queue.Queue, running []queue.Running) (queue.Item, bool)
	// Preempt names the running item to stop for waiting work.
	Preempt(now time.Time, q *queue.Queue, running []queue.Running) (string, bool)
	// Started, FirstToken, Token and Ended observe the endpoint.
	Started(now time.Time, req *rpc.RunRequest)
	FirstToken(now time.Time, req *rpc.RunRequest, took time.Duration)
	Token(now time.Time, gap time.Duration)
	Ended(now time.Time, req *rpc.RunRequest, used time.Duration, err *resultcode.Error)
	// Limit is the current concurrency limit in attempts.
	Limit(now time.Time) int
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
func (l FixedLimiter) Admit(time.Time, *rpc.RunRequest, *queue.Queue, []queue.Running) *resultcode.Error {
	return nil
}

// Next starts an item while a slot is free.
func (l FixedLimiter) Next(now time.Time, q *queue.Queue, running []queue.Running) (queue.Item, bool) {
	if len(running) >= l.Slots {
		return queue.Item{}, false
	}
	return q.Pop(now)
}

// Preempt lets the queue choose when all slots are taken.
func (l FixedLimiter) Preempt(now time.Time, q *queue.Queue, running []queue.Running) (string, bool) {
	if len(running) < l.Slots {
		return "", false
	}
	return q.PreemptFor(now, 0, running)
}

// Started does nothing.
func (l FixedLimiter) Started(time.Time, *rpc.RunRequest) {}

// FirstToken does nothing.
func (l FixedLimiter) FirstToken(time.Time, *rpc.RunRequest, time.Duration) {}

// Token does nothing.
func (l FixedLimiter) Token(time.Time, time.Duration) {}

// Ended does nothing.
func (l FixedLimiter) Ended(time.Time, *rpc.RunRequest, time.Duration, *resultcode.Error) {}

// Limit returns Slots.
func (l FixedLimiter) Limit(time.Time) int { return l.Slots }

// Describe sets the limit.
func (l FixedLimiter) Describe(_ time.Time, load *rpc.Load) { load.Limit = uint32(l.Slots) }
