package measure

import (
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/agent/worker"
)

// withoutPreemption is a Limiter that never cancels a running stream.
type withoutPreemption struct{ worker.Limiter }

func (withoutPreemption) Preempt(time.Time, *queue.Queue, []queue.Running) (string, bool) {
	return "", false
}

func newLearnedLimiter() worker.Limiter {
	return concurrency.NewScheduler(concurrency.SchedulerOptions{})
}

// unlimitedSlots exceeds the engine's slots and waiting queue together.
const unlimitedSlots = 1 << 16

// Policies returns the compared policies. "engine" sends each request to the
// engine at once, so that the engine's own queue, ordered by tier, decides.
// "fixed 32" uses the agent's queue with the number of slots that meets the
// target between tokens while no prompt is processed. "learned" is the policy of
// the agent.
func Policies() []Policy {
	return []Policy{
		{Name: "engine", New: func() worker.Limiter { return withoutPreemption{worker.FixedLimiter{Slots: unlimitedSlots}} }},
		{Name: "fixed 32", New: func() worker.Limiter { return worker.FixedLimiter{Slots: 32} }},
		{Name: "learned, no preemption", New: func() worker.Limiter { return withoutPreemption{newLearnedLimiter()} }},
		{Name: "learned", New: newLearnedLimiter},
	}
}
