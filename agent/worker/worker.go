// Package worker queues attempts and runs them at the endpoint. It carries out the
// decisions of packages queue, concurrency and claim: which attempt starts, which
// is displaced from the queue or preempted, and whether a non-idempotent request
// may run.
package worker

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/endpoint"
	"github.com/pistachiowind/pistachiowind/agent/execution"
	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	// OrphanTimeout is how long an idempotent attempt may run after its last
	// reader has detached before it is cancelled.
	OrphanTimeout = 10 * time.Second

	// tickInterval is how often the worker checks for expired and orphaned
	// attempts and for preemption.
	tickInterval = 20 * time.Millisecond
)

// Guard ensures that a non-idempotent request does not run twice.
type Guard interface {
	// Run calls run if the request may run now. Otherwise it emits the stored
	// response or returns the refusal.
	Run(ctx context.Context, req *rpc.RunRequest, emit endpoint.Emit, run endpoint.RunFunc) *resultcode.Error
}

// CatalogState is the part of the catalog that the worker needs.
type CatalogState interface {
	// Version returns the catalog version in force.
	Version() uint64
	// VersionSeen records that a router has this catalog version.
	VersionSeen(version uint64, peer string)
	// NoteRouter records the address of a router that has sent a request.
	NoteRouter(address string)
}

// Options configure a Worker. Backend, Catalog, Observer and Limiter are required;
// Guard is required where non-idempotent requests arrive. Without a Publisher the
// evidence of crashes is not shared.
type Options struct {
	Backend endpoint.Backend
	// Endpoint is the endpoint's name in the evidence of its crashes.
	Endpoint  string
	Publisher Publisher
	Guard     Guard
	Catalog   CatalogState
	Observer  Observer
	Queue     queue.Options
	Limiter   Limiter
	Execution execution.Options
}

// job is the worker's state of one queued or running attempt.
type job struct {
	item    queue.Item
	req     *rpc.RunRequest
	attempt *execution.Attempt
	// responseDeadline is when the response must be complete.
	responseDeadline time.Time
	// waitingSince is when the attempt was queued, or requeued after a
	// preemption.
	waitingSince time.Time
	// progress is what the attempt has emitted so far.
	progress progress
	// hasText is set once the response has text, and textModel is the model that the engine
	// stated to have written it; empty if it stated none.
	hasText   bool
	textModel string
	// running is set while the attempt runs at the endpoint, as is cancel, which
	// stops the run.
	running *queue.Running
	cancel  context.CancelCauseFunc
	// notResumable is set when the response holds more than text or is complete,
	// so that another run could not continue it. Such an attempt is not preempted.
	notResumable atomic.Bool
	// discardFrames is set when the replay buffer of a non-idempotent attempt
	// stayed full because no router reads it; the remaining frames are discarded.
	discardFrames bool
	// interToken records the times between tokens of the current run.
	interToken InterTokenRecorder
	// orphaned is set when the attempt was cancelled because no router reads it.
	orphaned bool
}

// Worker runs the attempts of one agent incarnation (one run of the agent
// process). It is safe for concurrent use. Serve must run while it is in use.
type Worker struct {
	opts  Options
	table *execution.Table

	mu      sync.Mutex
	queue   *queue.Queue
	limiter Limiter
	// jobs holds all queued and running attempts by item id, running the ones at
	// the endpoint.
	jobs    map[string]*job
	running map[string]*job
	state   rpc.AgentState
	// quarantine holds the evidence against requests that may have crashed
	// endpoints.
	quarantine *quarantine.Tracker
	// crashRecorded is set from a crash until the endpoint serves again, so that
	// a crash counts once.
	crashRecorded bool
	// drained is set while draining and closed when the last open attempt ends.
	drained chan struct{}
	runs    sync.WaitGroup
}

// New returns a Worker in state STARTING, which refuses attempts until SetState
// sets SERVING.
func New(opts Options) *Worker {
	return &Worker{
		opts:       opts,
		table:      execution.NewTable(opts.Execution),
		queue:      queue.New(opts.Queue),
		limiter:    opts.Limiter,
		jobs:       make(map[string]*job),
		running:    make(map[string]*job),
		state:      rpc.AgentState_AGENT_STATE_STARTING,
		quarantine: quarantine.NewTracker(),
	}
}

// Submit queues an attempt or refuses it. A refused request does not run; the
// refusal of a second copy has no effect on an attempt that was accepted before.
func (w *Worker) Submit(now time.Time, req *rpc.RunRequest) (*execution.Attempt, *resultcode.Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	attempt, err := w.submit(now, req)
	if err != nil {
		w.opts.Observer.Refused(req, err)
	}
	return attempt, err
}

// NoteRefusal counts an attempt that was refused before Submit.
func (w *Worker) NoteRefusal(req *rpc.RunRequest, err *resultcode.Error) {
	w.opts.Observer.Refused(req, err)
}

func (w *Worker) submit(now time.Time, req *rpc.RunRequest) (*execution.Attempt, *resultcode.Error) {
	if err := w.checkSubmit(now, req); err != nil {
		return nil, err
	}
	id := execution.ID{Router: req.GetAttempt().GetRouter(), Ticket: req.GetAttempt().GetTicket()}
	attempt, err := w.table.Accept(now, id)
	if err != nil {
		return nil, err
	}
	j := newJob(now, req, attempt)
	displaced, pushErr := w.queue.Push(now, j.item)
	if pushErr != nil {
		w.table.Renounce(now, id)
		return nil, resultcode.As(pushErr)
	}
	w.jobs[j.item.ID] = j
	w.appendFrame(j, &rpc.Frame{Kind: &rpc.Frame_Accepted{Accepted: &rpc.Accepted{Load: w.load(now)}}})
	w.refuseDisplaced(now, displaced)
	w.startReady(now)
	return attempt, nil
}

// checkSubmit returns the refusal of a request that must not enter the queue.
func (w *Worker) checkSubmit(now time.Time, req *rpc.RunRequest) *resultcode.Error {
	switch w.state {
	case rpc.AgentState_AGENT_STATE_SERVING:
	case rpc.AgentState_AGENT_STATE_LEAVING:
		return resultcode.New(resultcode.Leaving, "this agent is leaving")
	default:
		return resultcode.New(resultcode.EndpointDown, "the endpoint is not up").WithRetryAfter(time.Second)
	}
	if req.GetTier() >= catalog.TierCount {
		return resultcode.New(resultcode.MalformedBody, "tier %d does not exist", req.GetTier())
	}
	if err := w.checkEvidence(now, req); err != nil {
		return err
	}
	return w.limiter.Admit(now, req, w.queue, w.runningList())
}

func newJob(now time.Time, req *rpc.RunRequest, attempt *execution.Attempt) *job {
	waitLimit := time.Duration(req.GetWaitLimitMs()) * time.Millisecond
	timeLeft := time.Duration(req.GetTimeLeftMs()) * time.Millisecond
	j := &job{
		req:              req,
		attempt:          attempt,
		responseDeadline: now.Add(timeLeft),
		waitingSince:     now,
		progress: progress{
			nextIndex: req.GetChat().GetFirstIndex(),
			text:      []byte(req.GetChat().GetTextSoFar()),
			tokens:    req.GetChat().GetTokensSoFar(),
		},
		hasText:   req.GetChat().GetTextSoFar() != "",
		textModel: req.GetChat().GetTextModel(),
		item: queue.Item{
			ID:        itemID(attempt.ID()),
			Tier:      int(req.GetTier()),
			Class:     req.GetClass(),
			Account:   req.GetClientAccount(),
			Weight:    int(req.GetWeight()),
			Arrived:   now,
			WaitUntil: now.Add(min(waitLimit, timeLeft)),
		},
	}
	if left := req.GetFirstTokenLeftMs(); left > 0 {
		j.item.Deadline = now.Add(time.Duration(left) * time.Millisecond)
	}
	return j
}

func itemID(id execution.ID) string {
	return id.Router + "/" + strconv.FormatUint(id.Ticket, 10)
}

// appendFrame adds a control frame to the attempt's replay buffer.
func (w *Worker) appendFrame(j *job, f *rpc.Frame) {
	f.CatalogVersion = w.opts.Catalog.Version()
	j.attempt.AppendControl(f)
}

func (w *Worker) refuseDisplaced(now time.Time, items []queue.Item) {
	for _, it := range items {
		w.opts.Observer.Displaced(it.Tier)
		w.refuseWaiting(now, it, resultcode.New(resultcode.Displaced, "a more urgent request took the place"))
	}
}

// refuseWaiting ends an attempt that has been removed from the queue. One that was
// preempted has run in part, so its execution is unknown.
func (w *Worker) refuseWaiting(now time.Time, it queue.Item, err *resultcode.Error) {
	j, ok := w.jobs[it.ID]
	if !ok {
		return
	}
	if it.Preemptions > 0 {
		err = err.WithExecution(resultcode.Unknown)
	}
	if err.RetryAfter == 0 {
		err = err.WithRetryAfter(max(w.queue.ExpectedDelay(now, it.Tier), time.Second))
	}
	w.finish(now, j, err)
}

// refuseAllWaiting refuses every queued attempt, because the agent is leaving.
func (w *Worker) refuseAllWaiting(now time.Time) {
	for id := range w.jobs {
		if it, waiting := w.queue.Remove(id); waiting {
			w.refuseWaiting(now, it, resultcode.New(resultcode.Leaving, "this agent is leaving"))
		}
	}
}

// finish ends an attempt; if err is set, its last frame is a refusal.
func (w *Worker) finish(now time.Time, j *job, err *resultcode.Error) {
	delete(w.jobs, j.item.ID)
	if err != nil {
		j.attempt.SetExecution(err.EffectiveExecution())
		w.appendFrame(j, w.refusedFrame(now, j.req, err))
	} else {
		j.attempt.SetExecution(resultcode.Ran)
	}
	if !j.req.GetIdempotent() && j.isOrphan(now) {
		w.opts.Observer.Orphaned(false)
	}
	w.table.End(now, j.attempt)
	w.opts.Observer.Ended(j.req, err)
	if len(w.jobs) == 0 && w.drained != nil {
		close(w.drained)
		w.drained = nil
	}
}

func (w *Worker) refusedFrame(now time.Time, req *rpc.RunRequest, err *resultcode.Error) *rpc.Frame {
	return &rpc.Frame{Kind: &rpc.Frame_Refused{Refused: &rpc.Refused{
		Code:         uint32(err.Code),
		Message:      err.Detail(),
		Execution:    rpc.ExecutionOf(err.EffectiveExecution()),
		RetryAfterMs: uint32(err.RetryAfter.Milliseconds()),
		Load:         w.load(now),
		Evidence:     w.evidence(now, req),
	}}}
}

// Find returns the accepted attempt with this id, if it is still known.
func (w *Worker) Find(id execution.ID) (*execution.Attempt, bool) {
	return w.table.Get(id)
}

// Renounce gives an attempt up and returns what is known about its execution. An
// attempt that has not started will never run. A started idempotent attempt is
// cancelled at the endpoint; a non-idempotent one runs to its end, so that its
// outcome is recorded.
func (w *Worker) Renounce(now time.Time, id execution.ID) resultcode.Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	knownExecution, _ := w.table.Renounce(now, id)
	w.opts.Observer.Renounced(knownExecution)
	j, ok := w.jobs[itemID(id)]
	if !ok {
		return knownExecution
	}
	if _, waiting := w.queue.Remove(j.item.ID); waiting {
		w.finish(now, j, resultcode.New(resultcode.AttemptRenounced, "the router gave the attempt up").WithExecution(knownExecution))
		return knownExecution
	}
	if j.req.GetIdempotent() && j.cancel != nil {
		j.cancel(errRenounced)
	}
	return knownExecution
}

// CatalogVersion returns the catalog version in force.
func (w *Worker) CatalogVersion() uint64 { return w.opts.Catalog.Version() }

// NoteRouter records the address of a router that has sent a request.
func (w *Worker) NoteRouter(address string) {
	w.opts.Catalog.NoteRouter(address)
}

// CatalogVersionSeen records that a router has this catalog version.
func (w *Worker) CatalogVersionSeen(version uint64, router string) {
	w.opts.Catalog.VersionSeen(version, router)
}

// Load returns the current load.
func (w *Worker) Load(now time.Time) *rpc.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.load(now)
}

func (w *Worker) load(now time.Time) *rpc.Load {
	load := &rpc.Load{
		State:   w.state,
		Queued:  uint32(w.queue.Len()),
		Running: uint32(len(w.running)),
	}
	w.limiter.Describe(now, load)
	for tier := range catalog.TierCount {
		load.TierDelayMs = append(load.TierDelayMs, w.tierDelay(now, tier))
	}
	load.QueueDelayMs = load.TierDelayMs[catalog.TierCount-1]
	return load
}

// tierDelay returns the expected wait of a new attempt of a tier in milliseconds.
func (w *Worker) tierDelay(now time.Time, tier int) uint32 {
	if w.queue.Len() == 0 && len(w.running) < w.limiter.Limit(now) {
		return 0
	}
	return uint32(w.queue.ExpectedDelay(now, tier).Milliseconds())
}

// SetState sets the state that decides whether attempts are accepted. A Worker
// that is leaving stays in that state.
func (w *Worker) SetState(s rpc.AgentState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == rpc.AgentState_AGENT_STATE_SERVING {
		w.crashRecorded = false
	}
	if s == rpc.AgentState_AGENT_STATE_DOWN && w.state == rpc.AgentState_AGENT_STATE_SERVING {
		w.endpointDown(time.Now())
		w.opts.Observer.Crashed()
	}
	if w.state != rpc.AgentState_AGENT_STATE_LEAVING {
		w.state = s
	}
}

// endpointDown drops what holds only for the process of the endpoint that is down. The caller
// holds w.mu.
func (w *Worker) endpointDown(now time.Time) {
	w.limiter.EndpointDown()
	w.refuseTexts(now)
}

// refuseTexts refuses the queued attempts that go on with a text. A text goes on only at the
// version of the model that began it, which the next process may not serve; routers send these
// attempts to an endpoint that does. The caller holds w.mu.
func (w *Worker) refuseTexts(now time.Time) {
	for id, j := range w.jobs {
		// The progress of a running attempt belongs to its run.
		if w.running[id] != nil || len(j.progress.text) == 0 {
			continue
		}
		if it, waiting := w.queue.Remove(id); waiting {
			w.refuseWaiting(now, it, resultcode.New(resultcode.EndpointDown, "the endpoint went down before the text went on"))
		}
	}
}

// State returns the current state.
func (w *Worker) State() rpc.AgentState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// Drain refuses new and queued attempts, which routers then send elsewhere, and
// waits until the running ones have ended or ctx ends. It returns the number of
// attempts still open.
func (w *Worker) Drain(ctx context.Context) int {
	w.mu.Lock()
	w.state = rpc.AgentState_AGENT_STATE_LEAVING
	w.refuseAllWaiting(time.Now())
	if len(w.jobs) == 0 {
		w.mu.Unlock()
		return 0
	}
	drained := make(chan struct{})
	w.drained = drained
	w.mu.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.jobs)
}
