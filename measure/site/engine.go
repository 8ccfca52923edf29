package site

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/standin"
)

// scheduleEngine schedules a call of advanceEngine at the engine's next event. It
// replaces an earlier schedule.
func (e *endpoint) scheduleEngine() {
	next := e.engine.NextEvent(e.sim.now)
	if next.IsZero() || next.Equal(e.engineEventAt) {
		return
	}
	e.engineEventAt = next
	e.sim.scheduleAt(next, func() {
		if !e.engineEventAt.Equal(next) {
			return
		}
		e.engineEventAt = time.Time{}
		e.advanceEngine()
	})
}

func (e *endpoint) advanceEngine() {
	ended := false
	for _, event := range e.engine.Advance(e.sim.now) {
		j := e.running[event.ID]
		switch {
		case j == nil:
		case event.Kind == standin.EventToken:
			e.recordToken(j)
		case event.Kind == standin.EventDone:
			e.complete(j)
			ended = true
		}
	}
	if ended {
		e.startQueued()
		return
	}
	e.scheduleEngine()
}

func (e *endpoint) recordToken(j *job) {
	now := e.sim.now
	e.sim.result.generatedTokens++
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = now
		e.limiter.FirstToken(now, j.runRequest, now.Sub(j.running.Started))
	} else {
		e.limiter.Token(now, now.Sub(j.lastTokenAt))
	}
	j.lastTokenAt = now
	j.attempt.deliver(e, frame{kind: frameChunk, index: j.emittedTokens})
	j.emittedTokens++
}

func (e *endpoint) complete(j *job) {
	e.endRun(j, nil)
	delete(e.jobs, j.item.ID)
	e.quarantine.Completed(j.attempt.request.fingerprint)
	j.attempt.deliver(e, frame{kind: frameDone, report: e.report(e.sim.now)})
}

// endRun removes a run from the books after it left the engine. The error is nil
// for a complete answer.
func (e *endpoint) endRun(j *job, err *resultcode.Error) {
	now := e.sim.now
	used := now.Sub(j.running.Started)
	delete(e.running, j.runID)
	e.runOrder = slices.DeleteFunc(e.runOrder, func(id uint64) bool { return id == j.runID })
	e.queue.Done(j.item, used)
	e.limiter.Ended(now, j.runRequest, used, err)
	j.running = nil
}

// crash ends all runs. The agent survives and refuses work until the engine is up
// again after endpointRestartTime.
func (e *endpoint) crash() {
	now := e.sim.now
	if e.state != rpc.AgentState_AGENT_STATE_SERVING {
		return
	}
	e.state = rpc.AgentState_AGENT_STATE_DOWN
	e.engine.Reset()
	e.engineEventAt = time.Time{}
	e.quarantine.Crashed(now, e.id, e.runsUpToTier(catalog.TierBatch))
	e.sim.result.Crashes++
	for _, id := range slices.Clone(e.runOrder) {
		j := e.running[id]
		err := resultcode.New(resultcode.EndpointFailed, "the engine crashed").WithExecution(resultcode.Unknown)
		e.endRun(j, err)
		e.refuse(j, err)
	}
	e.sim.scheduleAfter(endpointRestartTime, func() {
		e.state = rpc.AgentState_AGENT_STATE_SERVING
		e.startQueued()
	})
}

// renounce gives an attempt up and returns whether it ran, as far as the agent
// knows.
func (e *endpoint) renounce(a *attempt, id string) resultcode.Execution {
	j := e.jobs[id]
	if j == nil {
		return resultcode.Unknown
	}
	if _, waiting := e.queue.Remove(id); waiting {
		delete(e.jobs, id)
		if j.item.Preemptions > 0 {
			return resultcode.Unknown
		}
		return resultcode.NotRun
	}
	if j.running != nil && !a.request.class.NonIdempotent {
		e.engine.Cancel(e.sim.now, j.runID)
		e.endRun(j, resultcode.New(resultcode.AttemptRenounced, "the router gave the attempt up"))
		delete(e.jobs, id)
		e.startQueued()
	}
	return resultcode.Unknown
}

// report returns the agent's state and load; while reportLag is set, the load is
// an older one with a current timestamp.
func (e *endpoint) report(now time.Time) report {
	load := &rpc.Load{}
	e.limiter.Describe(now, load)
	r := report{at: now, state: e.state, load: selection.Load{
		At: now, Queued: e.queue.Len(), Running: len(e.runOrder), Limit: int(load.Limit),
	}}
	busy := e.queue.Len() > 0 || len(e.runOrder) >= e.limiter.Limit(now)
	for tier := range r.load.TierDelay {
		if busy {
			r.load.TierDelay[tier] = e.queue.ExpectedDelay(now, tier)
		}
	}
	if e.reportLag == 0 {
		return r
	}
	e.laggingReports = append(e.laggingReports, r)
	for len(e.laggingReports) > 1 && now.Sub(e.laggingReports[1].at) >= e.reportLag {
		e.laggingReports = e.laggingReports[1:]
	}
	old := e.laggingReports[0].load
	old.At = now
	r.load = old
	return r
}
