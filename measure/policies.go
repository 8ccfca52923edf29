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

func learned() worker.Limiter { return concurrency.NewScheduler(concurrency.SchedulerOptions{}) }

// unlimited is more than the engine's slots and waiting list hold.
const unlimited = 1 << 16

// Policies returns the compared policies. "engine" passes each request on at
// once, so that the engine's own queue, by tier, decides. "fixed" has the
// agent's queue with as many slots as meet the target while no prompt is
// processed. "learned" is what the agent does.
func Policies() []Policy {
	return []Policy{
		{Name: "engine", New: func() worker.Limiter { return withoutPreemption{worker.FixedLimiter{Slots: unlimited}} }},
		{Name: "fixed 32", New: func() worker.Limiter { return worker.FixedLimiter{Slots: 32} }},
		{Name: "learned, no preemption", New: func() worker.Limiter { return withoutPreemption{learned()} }},
		{Name: "learned", New: learned},
	}
}
