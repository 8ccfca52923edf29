package site

import (
	"strconv"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/standin"
)

// tickInterval is the interval between checks for expiry and preemption, as in
// package worker.
const tickInterval = 20 * time.Millisecond

// job is one attempt with its state at the agent.
type job struct {
	attempt    *attempt
	runRequest *rpc.RunRequest
	item       queue.Item
	// running is nil while the job waits.
	running       *queue.Running
	runID         uint64
	emittedTokens int
	firstTokenAt  time.Time
	lastTokenAt   time.Time
}

// endpoint simulates an agent with its engine. Its methods follow package worker.
type endpoint struct {
	sim            *simulation
	index          int
	id             string
	zone           int
	engine         *standin.EngineModel
	engineEventAt  time.Time
	limiter        worker.Limiter
	queue          *queue.Queue
	quarantine     *quarantine.Tracker
	state          rpc.AgentState
	jobs           map[string]*job
	running        map[uint64]*job
	runOrder       []uint64
	lastRunID      uint64
	reportLag      time.Duration
	laggingReports []report
}

// report is a message from an agent about itself.
type report struct {
	at    time.Time
	state rpc.AgentState
	load  selection.Load
}

func newEndpoint(s *simulation, index int) *endpoint {
	return &endpoint{
		sim: s, index: index, id: "agent-" + strconv.Itoa(index), zone: index % zones,
		engine: standin.NewEngineModel(s.scenario.Engine), limiter: s.policy.newLimiter(),
		queue: queue.New(queue.Options{}), quarantine: quarantine.NewTracker(),
		state: rpc.AgentState_AGENT_STATE_SERVING,
		jobs:  make(map[string]*job), running: make(map[uint64]*job),
	}
}

// submit admits, queues or refuses an attempt that arrived from a router.
func (e *endpoint) submit(a *attempt) {
	now := e.sim.now
	j := newJob(now, a)
	if err := e.admissionError(now, a, j); err != nil {
		e.refuse(j, err)
		return
	}
	displaced, err := e.queue.Push(now, j.item)
	if err != nil {
		e.refuse(j, resultcode.As(err))
		return
	}
	e.jobs[j.item.ID] = j
	e.refuseItems(displaced, resultcode.Displaced)
	a.deliver(e, frame{kind: frameAccepted, report: e.report(now)})
	e.startQueued()
}

func newJob(now time.Time, a *attempt) *job {
	c := a.request.class
	id := jobID(a.ticket)
	wait := max(c.WaitLimit-now.Sub(a.request.arrived), 0)
	deadline := a.request.arrived.Add(c.FirstToken)
	firstLeft := uint32(max(deadline.Sub(now).Milliseconds(), 1))
	if a.request.forwardedTokens > 0 {
		wait, deadline, firstLeft = drainLimit, time.Time{}, 0
	}
	account := a.request.account()
	return &job{
		attempt: a, emittedTokens: a.firstIndex,
		runRequest: &rpc.RunRequest{
			RequestId: id, ClientAccount: account, Class: c.Name, Tier: uint32(c.Tier),
			WaitLimitMs: uint32(wait.Milliseconds()), Idempotent: !c.NonIdempotent,
			FirstTokenLeftMs: firstLeft,
		},
		item: queue.Item{
			ID: id, Tier: c.Tier, Class: c.Name, Account: account, Arrived: now, WaitUntil: now.Add(wait),
			Deadline: deadline,
		},
	}
}

func (e *endpoint) admissionError(now time.Time, a *attempt, j *job) *resultcode.Error {
	if e.state != rpc.AgentState_AGENT_STATE_SERVING {
		return resultcode.New(resultcode.EndpointDown, "the endpoint is not up").WithRetryAfter(time.Second)
	}
	if e.sim.policy.choose == nil {
		e.quarantine.Merge(now, a.evidence)
		if e.quarantine.Status(now, a.request.fingerprint) == quarantine.Condemned {
			return resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints")
		}
	}
	if a.request.class.NonIdempotent && e.sim.startedNonIdempotent[a.request.id] {
		return resultcode.New(resultcode.OutcomeUnknown, "an earlier attempt ran").WithExecution(resultcode.Unknown)
	}
	return e.limiter.Admit(now, j.runRequest, e.queue, e.runningList())
}

// refuse ends j and sends a refusal to its router.
func (e *endpoint) refuse(j *job, err *resultcode.Error) {
	delete(e.jobs, j.item.ID)
	f := frame{kind: frameRefused, err: err, report: e.report(e.sim.now)}
	if r, ok := e.quarantine.Lookup(e.sim.now, j.attempt.request.fingerprint); ok {
		f.evidence = []quarantine.Record{r}
	}
	j.attempt.deliver(e, f)
}

func (e *endpoint) refuseItems(items []queue.Item, code resultcode.Code) {
	for _, it := range items {
		err := resultcode.New(code, "refused while waiting")
		if it.Preemptions > 0 {
			err = err.WithExecution(resultcode.Unknown)
		}
		e.refuse(e.jobs[it.ID], err)
	}
}

func (e *endpoint) runningList() []queue.Running {
	list := make([]queue.Running, 0, len(e.runOrder))
	for _, id := range e.runOrder {
		j := e.running[id]
		r := *j.running
		if j.attempt.request.class.NonIdempotent {
			r.Preemptions = queue.MaxPreemptions
		}
		list = append(list, r)
	}
	return list
}

// suspectOnProbation reports whether a running request that is suspected of
// crashing engines is on probation, so that no other request may start. While
// urgent requests wait, only urgent runs count.
func (e *endpoint) suspectOnProbation(now time.Time) bool {
	tier := catalog.TierBatch
	if e.queue.TierLen(catalog.TierUrgent) > 0 {
		tier = catalog.TierUrgent
	}
	return !e.quarantine.MayStart(now, quarantine.Fingerprint{}, e.runsUpToTier(tier))
}

func (e *endpoint) runsUpToTier(tier int) []quarantine.Run {
	list := make([]quarantine.Run, 0, len(e.runOrder))
	for _, id := range e.runOrder {
		j := e.running[id]
		if j.item.Tier <= tier {
			list = append(list, quarantine.Run{
				Fingerprint: j.attempt.request.fingerprint, Started: j.running.Started, FirstToken: j.firstTokenAt,
			})
		}
	}
	return list
}

func (e *endpoint) startQueued() {
	now := e.sim.now
	for e.queue.Len() > 0 && !e.suspectOnProbation(now) {
		it, ok := e.limiter.Next(now, e.queue, e.runningList())
		if !ok {
			break
		}
		e.startRun(e.jobs[it.ID], it)
	}
	e.scheduleEngine()
}

func (e *endpoint) startRun(j *job, it queue.Item) {
	now := e.sim.now
	req := j.attempt.request
	e.lastRunID++
	j.item, j.running, j.runID = it, &queue.Running{Item: it, Started: now}, e.lastRunID
	j.firstTokenAt, j.lastTokenAt = time.Time{}, time.Time{}
	e.running[j.runID] = j
	e.runOrder = append(e.runOrder, j.runID)
	e.limiter.Started(now, j.runRequest)
	if req.class.NonIdempotent {
		e.sim.startedNonIdempotent[req.id] = true
	}
	priority := it.Tier
	if e.sim.policy.newLimiterFunc == nil {
		priority = 0
	}
	err := e.engine.Add(now, standin.EngineRequest{
		ID: j.runID, Priority: priority, PromptTokens: req.class.Prompt + j.emittedTokens,
		First: j.emittedTokens, Tokens: req.output - j.emittedTokens,
	})
	if err != nil {
		e.endRun(j, resultcode.New(resultcode.EndpointOverloaded, "the engine is full"))
		e.refuse(j, resultcode.New(resultcode.EndpointOverloaded, "the engine is full"))
		return
	}
	j.attempt.deliver(e, frame{kind: frameStarted})
	if req.crash {
		e.sim.scheduleAfter(crashDelay, func() {
			if e.running[j.runID] == j {
				e.crash()
			}
		})
	}
}

// preempt cancels a stream and puts its request back into the queue.
func (e *endpoint) preempt(j *job) {
	now := e.sim.now
	e.engine.Cancel(now, j.runID)
	it := j.item
	it.Used = j.running.UsedAt(now)
	it.Preemptions++
	it.WaitUntil = now.Add(drainLimit)
	e.endRun(j, resultcode.New(resultcode.Displaced, "preempted"))
	e.sim.result.recordPreemption(it.Tier)
	displaced, err := e.queue.Push(now, it)
	if err != nil {
		e.refuse(j, resultcode.As(err).WithExecution(resultcode.Unknown))
	}
	e.refuseItems(displaced, resultcode.Displaced)
}

// tick refuses expired requests, starts queued ones and checks for preemption.
func (e *endpoint) tick() {
	now := e.sim.now
	e.refuseItems(e.queue.Expire(now), resultcode.DeadlineInQueue)
	e.startQueued()
	if e.queue.Len() == 0 {
		return
	}
	if id, ok := e.limiter.Preempt(now, e.queue, e.runningList()); ok {
		e.preempt(e.jobs[id])
		e.startQueued()
	}
}

func jobID(ticket uint64) string { return strconv.FormatUint(ticket, 10) }
