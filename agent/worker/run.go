package worker

import (
	"context"
	"errors"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

var (
	errPreempted = errors.New("worker: preempted for more urgent work")
	errRenounced = errors.New("worker: given up by the router")
	errOrphaned  = errors.New("worker: no router reads the attempt")
)

// progress is what an attempt has emitted in all its runs, and the times of the
// current run's output.
type progress struct {
	// nextIndex is the index of the next chunk, text the text so far. The text is nil once
	// textTooLong is set.
	nextIndex uint32
	text      []byte
	// textTooLong is set when the text exceeded rpc.MaxTextSoFarBytes.
	textTooLong bool
	// tokens counts the chunks with text.
	tokens uint32
	// hasOutput is set when the current run has produced output.
	hasOutput bool
	// finished is set when the finish reason was emitted.
	finished bool
	// firstOutputAt is the time of the current run's first token or, for a plain
	// service, of its response head.
	firstOutputAt time.Time
	lastTokenAt   time.Time
}

// add updates the progress for a chunk that is in the attempt's replay buffer.
func (p *progress) add(c *rpc.Chunk) {
	p.nextIndex = c.GetIndex() + 1
	p.finished = p.finished || c.GetFinished()
	if !p.fitsText(c) {
		p.text, p.textTooLong = nil, true
		return
	}
	if c.GetText() == "" {
		return
	}
	p.text = append(p.text, c.GetText()...)
	p.tokens++
}

// fitsText reports whether another run could continue the text with the chunk.
func (p *progress) fitsText(c *rpc.Chunk) bool {
	return !p.textTooLong && len(p.text)+len(c.GetText()) <= rpc.MaxTextSoFarBytes
}

// startReady starts queued attempts while the limiter allows it and no suspect of a
// crash is on probation.
func (w *Worker) startReady(now time.Time) {
	for w.queue.Len() > 0 && !w.probationHoldsStarts(now) {
		it, ok := w.limiter.Next(now, w.queue, w.runningList())
		if !ok {
			return
		}
		if j, known := w.jobs[it.ID]; known {
			w.start(now, j, it)
		}
	}
}

// runningList returns the running attempts for the queue and the limiter. One that
// another run could not continue is listed with MaxPreemptions, so that it is not
// preempted.
func (w *Worker) runningList() []queue.Running {
	list := make([]queue.Running, 0, len(w.running))
	for _, j := range w.running {
		r := *j.running
		if !j.preemptible() {
			r.Preemptions = queue.MaxPreemptions
		}
		list = append(list, r)
	}
	return list
}

// preemptible reports whether another run could continue the attempt's response. A text goes on
// only at the model that wrote it, which the engine must have stated. The caller holds w.mu.
func (j *job) preemptible() bool {
	unstated := j.hasText && j.textModel == ""
	return j.req.GetIdempotent() && j.req.GetChat() != nil && !j.notResumable.Load() && !unstated
}

func (w *Worker) start(now time.Time, j *job, it queue.Item) {
	ctx, cancel := context.WithCancelCause(context.Background())
	if !j.attempt.Start(func() { cancel(errRenounced) }) {
		cancel(errRenounced)
		w.finish(now, j, resultcode.New(resultcode.AttemptRenounced, "the router gave the attempt up"))
		return
	}
	j.item = it
	j.cancel = cancel
	j.running = &queue.Running{Item: it, Started: now}
	j.interToken = w.opts.Observer.NewInterTokenRecorder()
	w.running[it.ID] = j
	waited := now.Sub(j.waitingSince)
	w.limiter.Started(now, j.req)
	w.opts.Observer.Waited(j.req, waited)
	started := &rpc.Started{WaitedMs: uint32(waited.Milliseconds())}
	w.appendFrame(j, &rpc.Frame{Kind: &rpc.Frame_Started{Started: started}})
	w.runs.Go(func() { w.run(ctx, j) })
}

// run executes one attempt at the endpoint and handles its end.
func (w *Worker) run(ctx context.Context, j *job) {
	ctx, cancel := context.WithDeadline(ctx, j.responseDeadline)
	defer cancel()
	err := w.runAtEndpoint(ctx, j)
	if err != nil && j.progress.finished {
		// The caller has everything up to the finish reason; only the usage is lost.
		// Another run would append text after the end of the answer.
		w.appendFrame(j, &rpc.Frame{Kind: &rpc.Frame_Done{Done: &rpc.Done{}}})
		err = nil
	}
	cause := context.Cause(ctx)
	crashed := cause == nil && w.endpointCrashed(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if crashed {
		w.recordCrash(now)
	}
	delete(w.running, j.item.ID)
	if err == nil {
		w.clearSuspect(now, j.req)
	}
	used := now.Sub(j.running.Started)
	w.opts.Observer.Ran(j.req, used, j.interToken)
	w.queue.Done(j.item, used)
	err = withCause(err, cause)
	if err != nil && j.item.Preemptions > 0 {
		err = err.WithExecution(resultcode.Unknown)
	}
	w.limiter.Ended(now, j.req, used, err)
	// A chunk that another run cannot continue may have arrived since the preemption.
	if err != nil && errors.Is(cause, errPreempted) && j.preemptible() {
		w.requeue(now, j, used)
	} else {
		w.finish(now, j, err)
	}
	w.startReady(now)
}

// withCause replaces the error of a run that the worker itself stopped by one that
// states the reason. A run that exceeded its deadline keeps its error.
func withCause(err *resultcode.Error, cause error) *resultcode.Error {
	if err == nil || cause == nil || errors.Is(cause, context.DeadlineExceeded) {
		return err
	}
	return resultcode.Wrap(resultcode.AttemptRenounced, cause, "the run was stopped").WithExecution(err.EffectiveExecution())
}

// runAtEndpoint runs the request at the endpoint; a non-idempotent one goes through
// the guard.
func (w *Worker) runAtEndpoint(ctx context.Context, j *job) *resultcode.Error {
	req := j.continuedRequest()
	emit := func(f *rpc.Frame) error { return w.emit(ctx, j, f) }
	if req.GetIdempotent() {
		return w.opts.Backend.Run(ctx, req, emit)
	}
	if w.opts.Guard == nil {
		return resultcode.New(resultcode.StoreUnavailable, "this agent has no record of what ran")
	}
	return w.opts.Guard.Run(ctx, req, emit, w.opts.Backend.Run)
}

// continuedRequest returns the request for the next run. After a preemption it
// contains what the earlier runs have emitted, so that the engine continues it.
func (j *job) continuedRequest() *rpc.RunRequest {
	chat := j.req.GetChat()
	if chat == nil || j.progress.nextIndex == chat.GetFirstIndex() {
		return j.req
	}
	return &rpc.RunRequest{
		Attempt:       j.req.GetAttempt(),
		RequestId:     j.req.GetRequestId(),
		ClientAccount: j.req.GetClientAccount(),
		Tier:          j.req.GetTier(),
		Idempotent:    j.req.GetIdempotent(),
		BodyDigest:    j.req.GetBodyDigest(),
		Work: &rpc.RunRequest_Chat{Chat: &rpc.ChatWork{
			Model:       chat.GetModel(),
			Body:        chat.GetBody(),
			FirstIndex:  j.progress.nextIndex,
			TextSoFar:   string(j.progress.text),
			TokensSoFar: j.progress.tokens,
			TextModel:   j.textModel,
		}},
	}
}

// emit appends a frame of the endpoint to the attempt's replay buffer and measures
// its latency.
func (w *Worker) emit(ctx context.Context, j *job, f *rpc.Frame) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	now := time.Now()
	w.observe(now, j, f)
	f.CatalogVersion = w.opts.Catalog.Version()
	if !j.req.GetIdempotent() {
		return w.emitRecorded(ctx, j, f)
	}
	if err := j.attempt.Append(ctx, f); err != nil {
		return err
	}
	if c := f.GetChunk(); c != nil && j.req.GetChat() != nil {
		j.progress.add(c)
	}
	return nil
}

// emitRecorded appends a frame of a non-idempotent request, whose response is also
// recorded by the guard. If no router frees buffer space within OrphanTimeout, the
// run continues without a reader, because stopping it would leave its outcome
// unknown.
func (w *Worker) emitRecorded(ctx context.Context, j *job, f *rpc.Frame) error {
	if j.discardFrames {
		return nil
	}
	appendCtx, cancel := context.WithTimeout(ctx, OrphanTimeout)
	defer cancel()
	if j.attempt.Append(appendCtx, f) != nil {
		j.discardFrames = true
	}
	return ctx.Err()
}

// observe reports the arrival of a frame to the limiter and the observer, and adds
// the load to a Done frame.
func (w *Worker) observe(now time.Time, j *job, f *rpc.Frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch k := f.GetKind().(type) {
	case *rpc.Frame_Chunk:
		w.observeChunk(now, j, k.Chunk)
	case *rpc.Frame_Head:
		w.observeFirstOutput(now, j)
	case *rpc.Frame_Stated:
		j.noteStated(k.Stated)
	case *rpc.Frame_Done:
		k.Done.Load = w.load(now)
	}
}

// noteStated records the model that the engine states. The text of an earlier run stays that of
// the model that wrote it.
func (j *job) noteStated(s *rpc.Stated) {
	if j.textModel == "" {
		j.textModel = s.GetModel()
	}
}

// observeFirstOutput measures the time to the run's first token or, for a plain
// service, to the head of its response.
func (w *Worker) observeFirstOutput(now time.Time, j *job) {
	if j.progress.hasOutput {
		return
	}
	j.progress.hasOutput = true
	j.progress.firstOutputAt = now
	d := now.Sub(j.running.Started)
	w.limiter.FirstToken(now, j.req, d)
	w.opts.Observer.FirstToken(j.req, d)
}

// observeChunk measures the time to the first token and between tokens. Chunks
// without a token, such as one with only the role, do not count.
func (w *Worker) observeChunk(now time.Time, j *job, c *rpc.Chunk) {
	if j.req.GetChat() == nil {
		w.observeFirstOutput(now, j)
		return
	}
	p := &j.progress
	if c.GetOpaque() || c.GetFinished() || !p.fitsText(c) {
		j.notResumable.Store(true)
	}
	j.hasText = j.hasText || c.GetText() != ""
	if !c.HasToken() {
		return
	}
	if p.hasOutput {
		gap := now.Sub(p.lastTokenAt)
		w.limiter.Token(now, gap)
		j.interToken.Add(gap)
	}
	w.observeFirstOutput(now, j)
	p.lastTokenAt = now
}

// requeue puts a preempted attempt back into the queue, where it keeps its time of
// arrival and so its place by age.
func (w *Worker) requeue(now time.Time, j *job, used time.Duration) {
	it := j.item
	it.Used += used
	it.Preemptions++
	it.WaitUntil = j.responseDeadline
	j.running = nil
	j.cancel = nil
	j.waitingSince = now
	j.progress.lastTokenAt = time.Time{}
	j.progress.hasOutput = false
	j.progress.firstOutputAt = time.Time{}
	j.attempt.Requeue()
	w.opts.Observer.Preempted(it.Tier)
	displaced, err := w.queue.Push(now, it)
	if err != nil {
		w.finish(now, j, resultcode.As(err).WithExecution(resultcode.Unknown))
		return
	}
	w.refuseDisplaced(now, displaced)
	if w.state == rpc.AgentState_AGENT_STATE_DOWN {
		w.refuseTexts(now)
	}
}

// Serve refuses expired attempts, cancels orphaned ones and preempts running ones
// every tickInterval until ctx ends.
func (w *Worker) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			w.tick(time.Now())
		}
	}
}

func (w *Worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, it := range w.queue.Expire(now) {
		w.opts.Observer.Expired(it.Tier)
		w.refuseWaiting(now, it, resultcode.New(resultcode.DeadlineInQueue, "waited %s", now.Sub(it.Arrived).Round(time.Millisecond)))
	}
	w.cancelOrphans(now)
	w.startReady(now)
	w.preempt(now)
}

// preempt cancels at most one running attempt so that a waiting one can start.
func (w *Worker) preempt(now time.Time) {
	if w.queue.Len() == 0 {
		return
	}
	id, ok := w.limiter.Preempt(now, w.queue, w.runningList())
	if !ok {
		return
	}
	j := w.running[id]
	if j == nil || j.cancel == nil {
		return
	}
	j.running.Cancelling = true
	j.cancel(errPreempted)
}

// isOrphan reports whether the attempt's last reader detached at least
// OrphanTimeout ago.
func (j *job) isOrphan(now time.Time) bool {
	since, unread := j.attempt.UnreadSince()
	return unread && now.Sub(since) >= OrphanTimeout
}

// cancelOrphans cancels idempotent attempts that no router reads any more.
func (w *Worker) cancelOrphans(now time.Time) {
	for _, j := range w.jobs {
		if !j.req.GetIdempotent() || !j.isOrphan(now) {
			continue
		}
		if !j.orphaned {
			j.orphaned = true
			w.opts.Observer.Orphaned(true)
		}
		if j.cancel != nil {
			j.cancel(errOrphaned)
			continue
		}
		if _, waiting := w.queue.Remove(j.item.ID); waiting {
			w.finish(now, j, resultcode.New(resultcode.AttemptRenounced, "no router reads the attempt"))
		}
	}
}
