// Package measure simulates one agent in virtual time in front of a modelled
// engine and reports how the requests of each class ended. The scheduling
// decisions are made by the production code of the agent; only the clock, the
// engine and the demand are models. Runs with the same inputs give the same
// result.
package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/standin"
)

const (
	// tick is the interval between checks for expiry and preemption, as in package
	// worker.
	tick = 20 * time.Millisecond

	// drainLimit is the maximum simulated time after the last arrival.
	drainLimit = 10 * time.Minute

	// interTokenTarget is the time between tokens above which a token counts as
	// late.
	interTokenTarget = 44 * time.Millisecond

	// warmUp is the time at the start that MinLimit and MaxLimit leave out.
	warmUp = 30 * time.Second
)

// EngineOptions configures the modelled engine. It reaches 44 ms between tokens
// with 32 streams, and with 19 while it processes a prompt.
var EngineOptions = standin.EngineModelOptions{
	Slots:           64,
	StepBase:        12 * time.Millisecond,
	StepPerSequence: time.Millisecond,
	PrefillRate:     20_000,
	PrefillChunk:    256,
}

// Policy is a named Limiter, which decides which requests run.
type Policy struct {
	Name string
	New  func() worker.Limiter
}

// job is one request in the simulated agent.
type job struct {
	request
	runRequest *rpc.RunRequest
	item       queue.Item
	running    *queue.Running
	// runID identifies the current run at the engine.
	runID         uint64
	emittedTokens int
	firstTokenAt  time.Time
	lastTokenAt   time.Time
	runTokens     int
	// lateTokens counts the tokens that missed the class's InterToken target.
	lateTokens int
}

type simulation struct {
	start       time.Time
	end         time.Time
	now         time.Time
	limiter     worker.Limiter
	queue       *queue.Queue
	engine      *standin.EngineModel
	jobs        map[string]*job
	jobsByRunID map[uint64]*job
	lastRunID   uint64
	slowed      bool
	result      Result
	classes     map[string]*ClassResult
}

// Run simulates one scenario under one policy.
func Run(s Scenario, p Policy) Result {
	sim := newSimulation(s, p)
	for _, r := range drawRequests(&s) {
		sim.advance(&s, sim.start.Add(r.at))
		sim.submit(r)
	}
	sim.end = sim.start.Add(s.Length + drainLimit)
	for len(sim.jobs) > 0 && sim.now.Before(sim.end) {
		sim.advance(&s, sim.now.Add(tick))
	}
	sim.result.sort()
	return sim.result
}

func newSimulation(s Scenario, p Policy) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &simulation{
		start:       start,
		now:         start,
		limiter:     p.New(),
		queue:       queue.New(queue.Options{}),
		engine:      standin.NewEngineModel(EngineOptions),
		jobs:        make(map[string]*job),
		jobsByRunID: make(map[uint64]*job),
		result:      Result{Scenario: s.Name, Policy: p.Name},
		classes:     make(map[string]*ClassResult),
	}
	sim.result.Classes = make([]ClassResult, len(s.Classes))
	for i, class := range s.Classes {
		sim.result.Classes[i] = ClassResult{Name: class.Name, Refused: make(map[resultcode.Code]int)}
		sim.classes[class.Name] = &sim.result.Classes[i]
	}
	return sim
}

// drawRequests draws all requests in order of arrival. Each class has its own
// random source, so that a change of one class does not change the requests of
// the others.
func drawRequests(s *Scenario) []request {
	var all []request
	for i := range s.Classes {
		source := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		all = append(all, s.drawClass(&s.Classes[i], source)...)
	}
	slices.SortStableFunc(all, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	for i := range all {
		all[i].id = uint64(i)
	}
	return all
}

// advance handles engine events and ticks up to the time at.
func (sim *simulation) advance(s *Scenario, at time.Time) {
	for {
		next := sim.now.Truncate(tick).Add(tick)
		atTick := true
		if event := sim.engine.NextEvent(sim.now); !event.IsZero() && event.Before(next) {
			next, atTick = event, false
		}
		if next.After(at) {
			sim.now = at
			return
		}
		sim.now = next
		sim.updateEngineSpeed(s)
		for _, e := range sim.engine.Advance(sim.now) {
			sim.handleEvent(e)
		}
		if atTick {
			sim.tick()
		}
	}
}

func (sim *simulation) updateEngineSpeed(s *Scenario) {
	offset := sim.now.Sub(sim.start)
	slow := s.SlowTo > 0 && offset >= s.SlowFrom && offset < s.SlowTo
	if slow == sim.slowed {
		return
	}
	sim.slowed = slow
	factor := 1.0
	if slow {
		factor = s.SlowFactor
	}
	sim.engine.SetSlowFactor(sim.now, factor)
}

func (sim *simulation) submit(r request) {
	c := sim.classes[r.class.Name]
	c.Arrived++
	j := newJob(sim.now, r)
	if err := sim.limiter.Admit(sim.now, j.runRequest, sim.queue, sim.runningList()); err != nil {
		c.Refused[err.Code]++
		return
	}
	displaced, err := sim.queue.Push(sim.now, j.item)
	if err != nil {
		c.Refused[resultcode.As(err).Code]++
		return
	}
	sim.jobs[j.item.ID] = j
	sim.refuse(displaced, resultcode.Displaced)
	sim.startQueued()
}

func newJob(now time.Time, r request) *job {
	id := strconv.FormatUint(r.id, 10)
	account := fmt.Sprint("account-", r.account)
	return &job{
		request: r,
		runRequest: &rpc.RunRequest{
			RequestId:     id,
			ClientAccount: account,
			Class:         r.class.Name,
			Tier:          uint32(r.class.Tier),
			WaitLimitMs:   uint32(r.class.WaitLimit.Milliseconds()),
		},
		item: queue.Item{
			ID:        id,
			Tier:      r.class.Tier,
			Class:     r.class.Name,
			Account:   account,
			Arrived:   now,
			WaitUntil: now.Add(r.class.WaitLimit),
		},
	}
}

func (sim *simulation) refuse(items []queue.Item, code resultcode.Code) {
	for _, it := range items {
		sim.classes[it.Class].Refused[code]++
		delete(sim.jobs, it.ID)
	}
}

func (sim *simulation) runningList() []queue.Running {
	list := make([]queue.Running, 0, len(sim.jobsByRunID))
	for _, j := range sim.jobsByRunID {
		list = append(list, *j.running)
	}
	return list
}

func (sim *simulation) startQueued() {
	for {
		it, ok := sim.limiter.Next(sim.now, sim.queue, sim.runningList())
		if !ok {
			return
		}
		sim.startRun(sim.jobs[it.ID], it)
	}
}

func (sim *simulation) startRun(j *job, it queue.Item) {
	sim.lastRunID++
	j.item = it
	j.running = &queue.Running{Item: it, Started: sim.now}
	j.runID = sim.lastRunID
	j.runTokens = 0
	sim.jobsByRunID[j.runID] = j
	err := sim.engine.Add(sim.now, standin.EngineRequest{
		ID:           j.runID,
		Priority:     it.Tier,
		PromptTokens: j.prompt + j.emittedTokens,
		First:        j.emittedTokens,
		Tokens:       j.output - j.emittedTokens,
	})
	sim.limiter.Started(sim.now, j.runRequest)
	if err != nil {
		refusal := resultcode.Wrap(resultcode.EndpointOverloaded, err, "the engine is full")
		sim.endRun(j, refusal)
		sim.refuse([]queue.Item{it}, refusal.Code)
	}
}

// endRun removes j's run from the books after it left the engine. The error is
// nil for a complete answer.
func (sim *simulation) endRun(j *job, err *resultcode.Error) {
	used := sim.now.Sub(j.running.Started)
	delete(sim.jobsByRunID, j.runID)
	sim.queue.Done(j.item, used)
	sim.limiter.Ended(sim.now, j.runRequest, used, err)
}

func (sim *simulation) handleEvent(e standin.EngineEvent) {
	j := sim.jobsByRunID[e.ID]
	if j == nil {
		return
	}
	switch e.Kind {
	case standin.EventToken:
		sim.recordToken(j)
	case standin.EventDone:
		sim.complete(j)
	}
}

func (sim *simulation) recordToken(j *job) {
	j.emittedTokens++
	j.runTokens++
	sim.result.Tokens++
	if j.runTokens == 1 {
		sim.limiter.FirstToken(sim.now, j.runRequest, sim.now.Sub(j.running.Started))
	} else {
		gap := sim.now.Sub(j.lastTokenAt)
		sim.limiter.Token(sim.now, gap)
		if gap > interTokenTarget {
			sim.result.LateTokens++
		}
		if j.class.InterToken > 0 && gap > j.class.InterToken {
			j.lateTokens++
		}
	}
	j.lastTokenAt = sim.now
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = sim.now
		c := sim.classes[j.class.Name]
		c.FirstToken = append(c.FirstToken, sim.now.Sub(j.item.Arrived))
	}
}

// met reports whether a complete answer met the targets of its class.
func (j *job) met() bool {
	return j.firstTokenAt.Sub(j.item.Arrived) <= j.class.FirstToken && j.lateTokens*20 <= j.output
}

func (sim *simulation) complete(j *job) {
	sim.endRun(j, nil)
	delete(sim.jobs, j.item.ID)
	c := sim.classes[j.class.Name]
	c.Completed++
	if j.firstTokenAt.Sub(j.item.Arrived) <= j.class.FirstToken {
		c.OnTime++
	}
	if j.met() {
		c.Met++
		sim.result.Goodput += j.output
	}
	sim.startQueued()
}

func (sim *simulation) tick() {
	sim.refuse(sim.queue.Expire(sim.now), resultcode.DeadlineInQueue)
	sim.startQueued()
	if id, ok := sim.limiter.Preempt(sim.now, sim.queue, sim.runningList()); ok {
		sim.preempt(sim.jobs[id])
	}
	if limit := sim.limiter.Limit(sim.now); sim.now.Sub(sim.start) >= warmUp {
		sim.result.MaxLimit = max(sim.result.MaxLimit, limit)
		if sim.result.MinLimit == 0 || limit < sim.result.MinLimit {
			sim.result.MinLimit = limit
		}
	}
}

// preempt cancels a run and puts its request back into the queue.
func (sim *simulation) preempt(j *job) {
	sim.engine.Cancel(sim.now, j.runID)
	it := j.item
	it.Used = j.running.UsedAt(sim.now)
	it.Preemptions++
	it.WaitUntil = sim.now.Add(drainLimit)
	sim.endRun(j, resultcode.New(resultcode.Displaced, "preempted"))
	sim.result.Preemptions++
	sim.result.ReprocessedTokens += j.prompt + j.emittedTokens
	if _, err := sim.queue.Push(sim.now, it); err != nil {
		sim.refuse([]queue.Item{it}, resultcode.As(err).Code)
	}
	sim.startQueued()
}
