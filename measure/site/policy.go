package site

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Policy is a way to place and order requests.
type Policy struct {
	Name string
	// limiter decides at an agent; nil leaves all waiting to the engine.
	limiter func() worker.Limiter
	// place chooses an endpoint; nil means router/selection with the health of
	// endpoints, budgets, hedging and quarantine.
	place func(*siteRouter, *flight) int
}

// passOn has no agent queue: it starts everything at once.
type passOn struct{ worker.FixedLimiter }

func (passOn) Preempt(time.Time, *queue.Queue, []queue.Running) (string, bool) { return "", false }

const (
	unlimited = 1 << 16
	// fixedSlots meets the target between tokens while no prompt is processed.
	fixedSlots = 32
)

func learned() worker.Limiter { return concurrency.NewScheduler(concurrency.SchedulerOptions{}) }

// Policies returns the compared policies. "round robin" and "fewest" leave the
// order to the engine, first come first served; "fewest, queue" adds the agent's
// queue and limiter; "fixed" is selection with a fixed limiter; "current" is what
// routers and agents do.
func Policies() []Policy {
	return []Policy{
		{Name: "round robin", place: roundRobin},
		{Name: "fewest", place: fewest},
		{Name: "fewest, queue", place: fewest, limiter: learned},
		{Name: "fixed", limiter: func() worker.Limiter { return worker.FixedLimiter{Slots: fixedSlots} }},
		{Name: "current", limiter: learned},
	}
}

func (p *Policy) newLimiter() worker.Limiter {
	if p.limiter == nil {
		return passOn{worker.FixedLimiter{Slots: unlimited}}
	}
	return p.limiter()
}

// usable reports whether a baseline sends to an endpoint: it was not tried, and
// its last report said that it serves.
func (r *siteRouter) usable(f *flight, i int) bool {
	c := &r.endpoints[i]
	return c.State == rpc.AgentState_AGENT_STATE_SERVING && !slices.Contains(f.tried, c.ID)
}

// roundRobin takes the next usable endpoint of the request's model.
func roundRobin(r *siteRouter, f *flight) int {
	per := len(r.endpoints) / r.site.scenario.Models
	for range per {
		r.turn++
		if i := f.model*per + r.turn%per; r.usable(f, i) {
			return i
		}
	}
	return f.model*per + r.turn%per
}

// fewest takes the usable endpoint with the fewest of this router's open attempts.
func fewest(r *siteRouter, f *flight) int {
	per := len(r.endpoints) / r.site.scenario.Models
	start := r.rng.IntN(per)
	best := -1
	for k := range per {
		i := f.model*per + (start+k)%per
		if r.usable(f, i) && (best < 0 || r.open[i] < r.open[best]) {
			best = i
		}
	}
	return max(best, f.model*per)
}
