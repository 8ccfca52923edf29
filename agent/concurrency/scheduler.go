package concurrency

import (
	"cmp"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// DefaultFirstTokenTargets are, by tier, the targets of the time from the start at
// the endpoint to the first token; zero means that the tier has none. Of a
// caller's target of 1.5 s, 1 s leaves 0.5 s for the queue and the network.
var DefaultFirstTokenTargets = [catalog.TierCount]time.Duration{time.Second, time.Second, 0}

// SchedulerOptions configure a Scheduler. Zero values take the defaults.
type SchedulerOptions struct {
	Limiter Options
	// FirstTokenTargets are by tier; a negative value means that the tier has none.
	FirstTokenTargets [catalog.TierCount]time.Duration
}

// Scheduler applies a Limiter to a queue.Queue. It implements worker.Limiter and
// is single-threaded.
type Scheduler struct {
	limiter           *Limiter
	firstTokenTargets [catalog.TierCount]time.Duration
	running           [catalog.TierCount]int
	// meanRunTime is the mean time that successful requests run at the endpoint.
	meanRunTime movingAverage
	// pausedUntil is the time until which the endpoint asked for no requests.
	pausedUntil time.Time
}

// runTimeWeight is the weight of one answer in the mean run time.
const runTimeWeight = 0.05

// NewScheduler returns a Scheduler for an idle endpoint.
func NewScheduler(opts SchedulerOptions) *Scheduler {
	for tier := range opts.FirstTokenTargets {
		opts.FirstTokenTargets[tier] = cmp.Or(opts.FirstTokenTargets[tier], DefaultFirstTokenTargets[tier])
	}
	return &Scheduler{limiter: New(opts.Limiter), firstTokenTargets: opts.FirstTokenTargets}
}

// Admit returns nil if req may enter q, otherwise the refusal: TargetOutOfReach if the
// endpoint asked for no requests for longer than req can wait, or see Limiter.Admit.
func (s *Scheduler) Admit(now time.Time, req *rpc.RunRequest, q *queue.Queue, running []queue.Running) *resultcode.Error {
	tier := int(req.GetTier())
	waitLimit := time.Duration(req.GetWaitLimitMs()) * time.Millisecond
	if left := req.GetFirstTokenLeftMs(); left > 0 {
		waitLimit = min(waitLimit, time.Duration(left)*time.Millisecond)
	}
	pause := s.pausedUntil.Sub(now)
	if pause > waitLimit {
		return resultcode.New(resultcode.TargetOutOfReach, "the endpoint wants no requests for %s, the wait limit is %s",
			pause.Round(time.Millisecond), waitLimit).
			WithRetryAfter(pause)
	}
	state := QueueState{
		HasSlot:      pause <= 0 && s.limiter.HasSlot(now, tier, Occupancy{Running: s.running}),
		ClassWaiting: q.ClassLen(tier, req.GetClass()),
		Preemptible:  queue.Preemptible(now, s.limiter.ReservedBelowUrgent(), running),
	}
	ahead := 1
	for t := range state.Waiting {
		state.Waiting[t] = q.TierLen(t)
		ahead += q.TierLen(t)
		state.ExpectedDelay[t] = max(q.ExpectedDelay(now, t), s.drainTime(now, ahead), pause)
	}
	return s.limiter.Admit(now, tier, waitLimit, state)
}

// drainTime estimates how long the slots need for a number of requests of mean run
// time. An estimate from the interval between starts alone is too short while the
// limit grows, because such starts do not need an earlier request to end.
func (s *Scheduler) drainTime(now time.Time, requests int) time.Duration {
	return s.meanRunTime.duration() * time.Duration(requests) / time.Duration(s.limiter.Limit(now))
}

// Next takes the item to start now from q, if a slot is free for it. The wait of a
// requeued item is not recorded, because Arrived is the time of its first Push.
func (s *Scheduler) Next(now time.Time, q *queue.Queue, running []queue.Running) (queue.Item, bool) {
	it, ok := s.popForSlot(now, q, occupancy(q, running))
	if ok && it.Preemptions == 0 {
		s.limiter.ObserveWait(now, it.Tier, now.Sub(it.Arrived))
	}
	return it, ok
}

// popForSlot takes from q the next item that may use the free slot, if any.
func (s *Scheduler) popForSlot(now time.Time, q *queue.Queue, o Occupancy) (queue.Item, bool) {
	if s.isPaused(now) {
		return queue.Item{}, false
	}
	switch s.limiter.NextSlot(now, o) {
	case SlotUrgent:
		return q.PopUrgent(now)
	case SlotBelowUrgent:
		return q.PopBelowUrgent(now)
	default:
		return queue.Item{}, false
	}
}

// isPaused reports whether the endpoint asked for no requests for a time that has not
// ended.
func (s *Scheduler) isPaused(now time.Time) bool { return now.Before(s.pausedUntil) }

func occupancy(q *queue.Queue, running []queue.Running) Occupancy {
	var o Occupancy
	for _, r := range running {
		o.Running[r.Tier]++
	}
	for tier := range o.Waiting {
		o.Waiting[tier] = q.TierLen(tier)
	}
	return o
}

// Preempt returns the ID of the running item to cancel for waiting work, if no
// slot is free for it.
func (s *Scheduler) Preempt(now time.Time, q *queue.Queue, running []queue.Running) (string, bool) {
	if s.isPaused(now) || s.limiter.NextSlot(now, occupancy(q, running)) != SlotNone {
		return "", false
	}
	return q.PreemptFor(now, s.limiter.ReservedBelowUrgent(), running)
}

// Started records that req was passed to the endpoint.
func (s *Scheduler) Started(now time.Time, req *rpc.RunRequest) {
	s.running[req.GetTier()]++
	s.limiter.ObserveStart(now)
}

// FirstToken records the time from the start to the first token.
func (s *Scheduler) FirstToken(now time.Time, req *rpc.RunRequest, took time.Duration) {
	s.limiter.ObserveFirstToken(now, took, s.firstTokenTargets[req.GetTier()])
}

// Token records the time since the previous token of the same request.
func (s *Scheduler) Token(now time.Time, gap time.Duration) {
	s.limiter.ObserveToken(now, gap)
}

// Ended records that req ended at the endpoint after running for used. An endpoint that
// refused it and named a Retry-After gets no further work for that time.
func (s *Scheduler) Ended(now time.Time, req *rpc.RunRequest, used time.Duration, err *resultcode.Error) {
	if err == nil {
		s.meanRunTime.add(used, runTimeWeight)
	}
	s.running[req.GetTier()] = max(0, s.running[req.GetTier()]-1)
	s.limiter.ObserveEnd(now, outcomeOf(err))
	if err == nil || err.Code != resultcode.EndpointOverloaded {
		return
	}
	if until := now.Add(err.RetryAfter); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// EndpointDown ends a pause that the endpoint asked for. The learned limit and latencies stay:
// they follow what is observed of the next process.
func (s *Scheduler) EndpointDown() { s.pausedUntil = time.Time{} }

func outcomeOf(err *resultcode.Error) Outcome {
	if err == nil {
		return Completed
	}
	switch err.Code {
	case resultcode.EndpointOverloaded:
		return Overloaded
	case resultcode.EndpointFailed, resultcode.EndpointDown, resultcode.StreamInterrupted:
		return Failed
	default:
		return Cancelled
	}
}

// Limit returns the learned limit.
func (s *Scheduler) Limit(now time.Time) int { return s.limiter.Limit(now) }

// Describe sets the limit and the latencies in a load message.
func (s *Scheduler) Describe(now time.Time, load *rpc.Load) {
	first, inter := s.limiter.Latency()
	load.Limit = uint32(s.limiter.Limit(now))
	load.FirstTokenMs = uint32(first.Milliseconds())
	load.InterTokenUs = uint32(inter.Microseconds())
}
