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

// tickInterval is that of package worker.
const tickInterval = 20 * time.Millisecond

// job is one attempt at an agent.
type job struct {
	attempt *attempt
	wire    *rpc.RunRequest
	item    queue.Item
	// running is nil while the job waits.
	running   *queue.Running
	runID     uint64
	emitted   int
	firstAt   time.Time
	lastToken time.Time
}

// endpoint is an agent with its engine. Its methods follow package worker.
type endpoint struct {
	site       *Site
	index      int
	id         string
	zone       int
	engine     *standin.EngineModel
	engineAt   time.Time
	limiter    worker.Limiter
	queue      *queue.Queue
	quarantine *quarantine.Tracker
	state      rpc.AgentState
	jobs       map[string]*job
	running    map[uint64]*job
	order      []uint64
	runs       uint64
	lag        time.Duration
	reports    []report
}

// report is a message from an agent about itself.
type report struct {
	at    time.Time
	state rpc.AgentState
	load  selection.Load
}

func newEndpoint(s *Site, index int) *endpoint {
	return &endpoint{
		site: s, index: index, id: "agent-" + strconv.Itoa(index), zone: index % zones,
		engine: standin.NewEngineModel(s.scenario.Engine), limiter: s.policy.newLimiter(),
		queue: queue.New(queue.Options{}), quarantine: quarantine.NewTracker(),
		state: rpc.AgentState_AGENT_STATE_SERVING,
		jobs:  make(map[string]*job), running: make(map[uint64]*job),
	}
}

// submit takes an attempt that arrived from a router.
func (e *endpoint) submit(a *attempt) {
	now := e.site.now
	j := newJob(now, a)
	if err := e.refusal(now, a, j); err != nil {
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
	a.send(e, frame{kind: frameAccepted, report: e.report(now)})
	e.startReady()
}

func newJob(now time.Time, a *attempt) *job {
	c := a.flight.class
	id := jobID(a.ticket)
	wait := max(c.WaitLimit-now.Sub(a.flight.arrived), 0)
	deadline := a.flight.arrived.Add(c.FirstToken)
	firstLeft := uint32(max(deadline.Sub(now).Milliseconds(), 1))
	if a.flight.forwarded > 0 {
		wait, deadline, firstLeft = drainLimit, time.Time{}, 0
	}
	account := a.flight.account()
	return &job{
		attempt: a, emitted: a.from,
		wire: &rpc.RunRequest{
			RequestId: id, ClientAccount: account, Class: c.Name, Tier: uint32(c.Tier),
			WaitLimitMs: uint32(wait.Milliseconds()), Idempotent: !c.Once,
			FirstTokenLeftMs: firstLeft,
		},
		item: queue.Item{
			ID: id, Tier: c.Tier, Class: c.Name, Account: account, Arrived: now, WaitUntil: now.Add(wait),
			Deadline: deadline,
		},
	}
}

func (e *endpoint) refusal(now time.Time, a *attempt, j *job) *resultcode.Error {
	if e.state != rpc.AgentState_AGENT_STATE_SERVING {
		return resultcode.New(resultcode.EndpointDown, "the endpoint is not up").WithRetryAfter(time.Second)
	}
	if e.site.policy.place == nil {
		e.quarantine.Merge(now, a.evidence)
		if e.quarantine.Status(now, a.flight.fingerprint) == quarantine.Condemned {
			return resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints")
		}
	}
	if a.flight.class.Once && e.site.claimed[a.flight.id] {
		return resultcode.New(resultcode.OutcomeUnknown, "an earlier attempt ran").WithExecution(resultcode.Unknown)
	}
	return e.limiter.Admit(now, j.wire, e.queue, e.runningList())
}

// refuse ends j with a refusal frame.
func (e *endpoint) refuse(j *job, err *resultcode.Error) {
	delete(e.jobs, j.item.ID)
	f := frame{kind: frameRefused, err: err, report: e.report(e.site.now)}
	if r, ok := e.quarantine.Lookup(e.site.now, j.attempt.flight.fingerprint); ok {
		f.evidence = []quarantine.Record{r}
	}
	j.attempt.send(e, f)
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
	list := make([]queue.Running, 0, len(e.order))
	for _, id := range e.order {
		j := e.running[id]
		r := *j.running
		if j.attempt.flight.class.Once {
			r.Preemptions = queue.MaxPreemptions
		}
		list = append(list, r)
	}
	return list
}

// probation reports whether a suspect has to prove itself first.
func (e *endpoint) probation(now time.Time) bool {
	tier := catalog.TierBatch
	if e.queue.TierLen(catalog.TierUrgent) > 0 {
		tier = catalog.TierUrgent
	}
	return !e.quarantine.MayStart(now, quarantine.Fingerprint{}, e.runsUpTo(tier))
}

func (e *endpoint) runsUpTo(tier int) []quarantine.Run {
	list := make([]quarantine.Run, 0, len(e.order))
	for _, id := range e.order {
		j := e.running[id]
		if j.item.Tier <= tier {
			list = append(list, quarantine.Run{
				Fingerprint: j.attempt.flight.fingerprint, Started: j.running.Started, FirstToken: j.firstAt,
			})
		}
	}
	return list
}

func (e *endpoint) startReady() {
	now := e.site.now
	for e.queue.Len() > 0 && !e.probation(now) {
		it, ok := e.limiter.Next(now, e.queue, e.runningList())
		if !ok {
			break
		}
		e.begin(e.jobs[it.ID], it)
	}
	e.scheduleEngine()
}

func (e *endpoint) begin(j *job, it queue.Item) {
	now := e.site.now
	f := j.attempt.flight
	e.runs++
	j.item, j.running, j.runID = it, &queue.Running{Item: it, Started: now}, e.runs
	j.firstAt, j.lastToken = time.Time{}, time.Time{}
	e.running[j.runID] = j
	e.order = append(e.order, j.runID)
	e.limiter.Started(now, j.wire)
	if f.class.Once {
		e.site.claimed[f.id] = true
	}
	priority := it.Tier
	if e.site.policy.limiter == nil {
		priority = 0
	}
	err := e.engine.Add(now, standin.EngineRequest{
		ID: j.runID, Priority: priority, PromptTokens: f.class.Prompt + j.emitted,
		First: j.emitted, Tokens: f.output - j.emitted,
	})
	if err != nil {
		e.leave(j, resultcode.New(resultcode.EndpointOverloaded, "the engine is full"))
		e.refuse(j, resultcode.New(resultcode.EndpointOverloaded, "the engine is full"))
		return
	}
	j.attempt.send(e, frame{kind: frameStarted})
	if f.crash {
		e.site.after(crashAfter, func() {
			if e.running[j.runID] == j {
				e.crash()
			}
		})
	}
}

// preempt stops a stream and puts its request back to wait.
func (e *endpoint) preempt(j *job) {
	now := e.site.now
	e.engine.Cancel(now, j.runID)
	it := j.item
	it.Used = j.running.UsedAt(now)
	it.Preemptions++
	it.WaitUntil = now.Add(drainLimit)
	e.leave(j, resultcode.New(resultcode.Displaced, "preempted"))
	e.site.result.preempted(it.Tier)
	displaced, err := e.queue.Push(now, it)
	if err != nil {
		e.refuse(j, resultcode.As(err).WithExecution(resultcode.Unknown))
	}
	e.refuseItems(displaced, resultcode.Displaced)
}

// tick looks at expiry and preemption.
func (e *endpoint) tick() {
	now := e.site.now
	e.refuseItems(e.queue.Expire(now), resultcode.DeadlineInQueue)
	e.startReady()
	if e.queue.Len() == 0 {
		return
	}
	if id, ok := e.limiter.Preempt(now, e.queue, e.runningList()); ok {
		e.preempt(e.jobs[id])
		e.startReady()
	}
}

func jobID(ticket uint64) string { return strconv.FormatUint(ticket, 10) }
