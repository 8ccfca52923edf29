package worker

import (
	"time"

	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Limiter decides which attempts enter the queue and how many run at the endpoint
// at a time. Agents use concurrency.Scheduler. The worker serialises the calls.
type Limiter interface {
	// Admit returns the refusal of a request that cannot meet its target or must
	// yield to other work, and nil for any other.
	Admit(now time.Time, req *rpc.RunRequest, q *queue.Queue, running []queue.Running) *resultcode.Error
	// Next removes and returns the next item to start, if a slot is free for it.
	Next(now time.Time, q *queue.Queue, running []queue.Running) (queue.Item, bool)
	// Preempt returns the ID of the running item to stop for a waiting one, if any.
	Preempt(now time.Time, q *queue.Queue, running []queue.Running) (string, bool)
	// Started, FirstToken, Token and Ended report the progress of runs at the
	// endpoint: the time from the start to the first token, the time between two
	// tokens, and the time of the whole run.
	Started(now time.Time, req *rpc.RunRequest)
	FirstToken(now time.Time, req *rpc.RunRequest, took time.Duration)
	Token(now time.Time, gap time.Duration)
	Ended(now time.Time, req *rpc.RunRequest, used time.Duration, err *resultcode.Error)
	// EndpointDown reports that the endpoint has crashed or fails its health checks. The one
	// that comes up again may be another process, for which what the endpoint asked for
	// before does not hold.
	EndpointDown()
	// Limit returns the current concurrency limit in attempts.
	Limit(now time.Time) int
	// Describe sets the limit and the latencies in a load message.
	Describe(now time.Time, load *rpc.Load)
}

// FixedLimiter runs up to a fixed number of attempts, starts urgent work first and
// refuses nothing by itself. It is the baseline to which package measure compares
// the learned concurrency limit.
type FixedLimiter struct {
	Slots int
}

// Admit accepts everything.
func (l FixedLimiter) Admit(time.Time, *rpc.RunRequest, *queue.Queue, []queue.Running) *resultcode.Error {
	return nil
}

// Next returns the first item of the queue while a slot is free.
func (l FixedLimiter) Next(now time.Time, q *queue.Queue, running []queue.Running) (queue.Item, bool) {
	if len(running) >= l.Slots {
		return queue.Item{}, false
	}
	return q.Pop(now)
}

// Preempt lets the queue choose a running item when all slots are in use.
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

// EndpointDown does nothing.
func (l FixedLimiter) EndpointDown() {}

// Limit returns Slots.
func (l FixedLimiter) Limit(time.Time) int { return l.Slots }

// Describe sets the limit; latencies are not measured.
func (l FixedLimiter) Describe(_ time.Time, load *rpc.Load) { load.Limit = uint32(l.Slots) }
