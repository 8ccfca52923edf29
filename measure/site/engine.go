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

// scheduleEngine asks for a call at the engine's next step.
func (e *endpoint) scheduleEngine() {
	next := e.engine.NextEvent(e.site.now)
	if next.IsZero() || next.Equal(e.engineAt) {
		return
	}
	e.engineAt = next
	e.site.at(next, func() {
		if !e.engineAt.Equal(next) {
			return
		}
		e.engineAt = time.Time{}
		e.advance()
	})
}

func (e *endpoint) advance() {
	ended := false
	for _, event := range e.engine.Advance(e.site.now) {
		j := e.running[event.ID]
		switch {
		case j == nil:
		case event.Kind == standin.EventToken:
			e.token(j)
		case event.Kind == standin.EventDone:
			e.finish(j)
			ended = true
		}
	}
	if ended {
		e.startReady()
		return
	}
	e.scheduleEngine()
}

func (e *endpoint) token(j *job) {
	now := e.site.now
	e.site.result.generated++
	if j.firstAt.IsZero() {
		j.firstAt = now
		e.limiter.FirstToken(now, j.wire, now.Sub(j.running.Started))
	} else {
		e.limiter.Token(now, now.Sub(j.lastToken))
	}
	j.lastToken = now
	j.attempt.send(e, frame{kind: frameChunk, index: j.emitted})
	j.emitted++
}

func (e *endpoint) finish(j *job) {
	e.leave(j, nil)
	delete(e.jobs, j.item.ID)
	e.quarantine.Completed(j.attempt.flight.fingerprint)
	j.attempt.send(e, frame{kind: frameDone, report: e.report(e.site.now)})
}

// leave takes a run from the engine's account.
func (e *endpoint) leave(j *job, err *resultcode.Error) {
	now := e.site.now
	used := now.Sub(j.running.Started)
	delete(e.running, j.runID)
	e.order = slices.DeleteFunc(e.order, func(id uint64) bool { return id == j.runID })
	e.queue.Done(j.item, used)
	e.limiter.Ended(now, j.wire, used, err)
	j.running = nil
}

// crash ends all runs; the agent survives and refuses work until the engine is up.
func (e *endpoint) crash() {
	now := e.site.now
	if e.state != rpc.AgentState_AGENT_STATE_SERVING {
		return
	}
	e.state = rpc.AgentState_AGENT_STATE_DOWN
	e.engine.Reset()
	e.engineAt = time.Time{}
	e.quarantine.Crashed(now, e.id, e.runsUpTo(catalog.TierBatch))
	e.site.result.Crashes++
	for _, id := range slices.Clone(e.order) {
		j := e.running[id]
		err := resultcode.New(resultcode.EndpointFailed, "the engine crashed").WithExecution(resultcode.Unknown)
		e.leave(j, err)
		e.refuse(j, err)
	}
	e.site.after(restartTime, func() {
		e.state = rpc.AgentState_AGENT_STATE_SERVING
		e.startReady()
	})
}

// renounce gives an attempt up and returns the agent's word about it.
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
	if j.running != nil && !a.flight.class.Once {
		e.engine.Cancel(e.site.now, j.runID)
		e.leave(j, resultcode.New(resultcode.AttemptRenounced, "the router gave the attempt up"))
		delete(e.jobs, id)
		e.startReady()
	}
	return resultcode.Unknown
}

// report returns the agent's load, or an older one while reports lag.
func (e *endpoint) report(now time.Time) report {
	load := &rpc.Load{}
	e.limiter.Describe(now, load)
	r := report{at: now, state: e.state, load: selection.Load{
		At: now, Queued: e.queue.Len(), Running: len(e.order), Limit: int(load.Limit),
	}}
	busy := e.queue.Len() > 0 || len(e.order) >= e.limiter.Limit(now)
	for tier := range r.load.TierDelay {
		if busy {
			r.load.TierDelay[tier] = e.queue.ExpectedDelay(now, tier)
		}
	}
	if e.lag == 0 {
		return r
	}
	e.reports = append(e.reports, r)
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.lag {
		e.reports = e.reports[1:]
	}
	old := e.reports[0].load
	old.At = now
	r.load = old
	return r
}
