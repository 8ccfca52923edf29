package site

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Policy decides on which endpoint and in which order requests run.
type Policy struct {
	Name string
	// newLimiterFunc returns the limiter of an agent; nil means that requests wait
	// in the engine only.
	newLimiterFunc func() worker.Limiter
	// choose returns the index of an endpoint; nil means package
	// router/selection with endpoint health, retry budgets, hedging and
	// quarantine.
	choose func(*siteRouter, *request) int
}

// unqueuedLimiter starts every request at once, so that none waits in the agent's
// queue, and never preempts.
type unqueuedLimiter struct{ worker.FixedLimiter }

func (unqueuedLimiter) Preempt(time.Time, *queue.Queue, []queue.Running) (string, bool) {
	return "", false
}

const (
	unlimitedSlots = 1 << 16
	// fixedSlots is the number of streams that meets the target between tokens
	// while no prompt is processed.
	fixedSlots = 32
)

func newLearnedLimiter() worker.Limiter {
	return concurrency.NewScheduler(concurrency.SchedulerOptions{})
}

// Policies returns the compared policies. "round robin" and "fewest" leave the
// order to the engine, first come first served; "fewest, queue" adds the agent's
// queue and limiter; "fixed" is package selection with a fixed limiter; "current"
// is what the production routers and agents do.
func Policies() []Policy {
	return []Policy{
		{Name: "round robin", choose: roundRobin},
		{Name: "fewest", choose: fewestOpen},
		{Name: "fewest, queue", choose: fewestOpen, newLimiterFunc: newLearnedLimiter},
		{Name: "fixed", newLimiterFunc: func() worker.Limiter { return worker.FixedLimiter{Slots: fixedSlots} }},
		{Name: "current", newLimiterFunc: newLearnedLimiter},
	}
}

func (p *Policy) newLimiter() worker.Limiter {
	if p.newLimiterFunc == nil {
		return unqueuedLimiter{worker.FixedLimiter{Slots: unlimitedSlots}}
	}
	return p.newLimiterFunc()
}

// usable reports whether a baseline policy may send req to an endpoint: the
// request has not been tried there, and its last report said that it serves.
func (r *siteRouter) usable(req *request, i int) bool {
	c := &r.endpoints[i]
	return c.State == rpc.AgentState_AGENT_STATE_SERVING && !slices.Contains(req.triedEndpoints, c.ID)
}

// roundRobin returns the next usable endpoint of the request's model.
func roundRobin(r *siteRouter, req *request) int {
	per := len(r.endpoints) / r.sim.scenario.Models
	for range per {
		r.roundRobinIndex++
		if i := req.model*per + r.roundRobinIndex%per; r.usable(req, i) {
			return i
		}
	}
	return req.model*per + r.roundRobinIndex%per
}

// fewestOpen returns the usable endpoint of the request's model at which this
// router has the fewest open attempts.
func fewestOpen(r *siteRouter, req *request) int {
	per := len(r.endpoints) / r.sim.scenario.Models
	start := r.rng.IntN(per)
	best := -1
	for k := range per {
		i := req.model*per + (start+k)%per
		if r.usable(req, i) && (best < 0 || r.openAttempts[i] < r.openAttempts[best]) {
			best = i
		}
	}
	return max(best, req.model*per)
}
