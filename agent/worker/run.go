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

// progress is what a running attempt has emitted.
type progress struct {
	next uint32
	text []byte
	// tokens counts the chunks with text.
	tokens uint32
	first  bool
	// finished is set when the finish reason was emitted.
	finished bool
	// firstAt is the time of the first token of the current run.
	firstAt time.Time
	last    time.Time
}

// add counts a chunk that is in the attempt's buffer.
func (p *progress) add(c *rpc.Chunk) {
	p.next = c.GetIndex() + 1
	p.finished = p.finished || c.GetFinished()
	if c.GetText() == "" {
		return
	}
	p.text = append(p.text, c.GetText()...)
	p.tokens++
}

// startReady starts waiting attempts while the concurrency limit allows it.
func (w *Worker) startReady(now time.Time) {
	for w.queue.Len() > 0 && !w.probation(now) {
		it, ok := w.limiter.Next(now, w.queue, w.runningList())
		if !ok {
			return
		}
		if j, known := w.jobs[it.ID]; known {
			w.start(now, j, it)
		}
	}
}

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

// preemptible reports whether another run could continue the attempt.
func (j *job) preemptible() bool {
	return j.req.GetIdempotent() && j.req.GetChat() != nil && !j.pinned.Load()
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
	j.gaps = w.opts.Observer.Gaps()
	w.running[it.ID] = j
	waited := now.Sub(j.waitingSince)
	w.limiter.Started(now, j.req)
	w.opts.Observer.Waited(j.req, waited)
	started := &rpc.Started{WaitedMs: uint32(waited.Milliseconds())}
	w.append(j, &rpc.Frame{Kind: &rpc.Frame_Started{Started: started}})
	w.runs.Go(func() { w.run(ctx, j) })
}

// run passes one attempt to the endpoint and handles its end.
func (w *Worker) run(ctx context.Context, j *job) {
	ctx, cancel := context.WithDeadline(ctx, j.until)
	defer cancel()
	err := w.pass(ctx, j)
	if err != nil && j.progress.finished {
		// The caller has everything up to the finish reason; only the usage is lost.
		// Another run would add text behind it.
		w.append(j, &rpc.Frame{Kind: &rpc.Frame_Done{Done: &rpc.Done{}}})
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
		w.proved(now, j.req)
	}
	used := now.Sub(j.running.Started)
	w.opts.Observer.Ran(j.req, used, j.gaps)
	w.queue.Done(j.item, used)
	err = withCause(err, cause)
	w.limiter.Ended(now, j.req, used, err)
	if err != nil && errors.Is(cause, errPreempted) {
		w.requeue(now, j, used)
	} else {
		w.finish(now, j, err)
	}
	w.startReady(now)
}

// withCause names why the worker itself stopped a run.
func withCause(err *resultcode.Error, cause error) *resultcode.Error {
	if err == nil || cause == nil || errors.Is(cause, context.DeadlineExceeded) {
		return err
	}
	return resultcode.Wrap(resultcode.AttemptRenounced, cause, "the run was stopped").WithExecution(err.Verdict())
}

// pass runs the request, through the guard if it must not run twice.
func (w *Worker) pass(ctx context.Context, j *job) *resultcode.Error {
	req := j.continued()
	emit := func(f *rpc.Frame) error { return w.emit(ctx, j, f) }
	if req.GetIdempotent() {
		return w.opts.Backend.Run(ctx, req, emit)
	}
	if w.opts.Guard == nil {
		return resultcode.New(resultcode.StoreUnavailable, "this agent has no record of what ran")
	}
	return w.opts.Guard.Run(ctx, req, emit, w.opts.Backend.Run)
}

// continued returns the request with what a preempted run has emitted.
func (j *job) continued() *rpc.RunRequest {
	chat := j.req.GetChat()
	if chat == nil || j.progress.next == chat.GetFirstIndex() {
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
			FirstIndex:  j.progress.next,
			TextSoFar:   string(j.progress.text),
			TokensSoFar: j.progress.tokens,
		}},
	}
}

// emit passes a frame to the attempt's reader and learns from its time.
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

// emitRecorded passes on a frame of a request whose answer is recorded. When no
// router makes room for it in time, the run goes on without a reader, because
// stopping it would leave its outcome unknown.
func (w *Worker) emitRecorded(ctx context.Context, j *job, f *rpc.Frame) error {
	if j.unread {
		return nil
	}
	bound, cancel := context.WithTimeout(ctx, OrphanTimeout)
	defer cancel()
	if j.attempt.Append(bound, f) != nil {
		j.unread = true
	}
	return ctx.Err()
}

// observe learns from the time of a frame.
func (w *Worker) observe(now time.Time, j *job, f *rpc.Frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch k := f.GetKind().(type) {
	case *rpc.Frame_Chunk:
		w.observeChunk(now, j, k.Chunk)
	case *rpc.Frame_Head:
		w.observeFirst(now, j)
	case *rpc.Frame_Done:
		k.Done.Load = w.load(now)
	}
}

func (w *Worker) observeFirst(now time.Time, j *job) {
	if j.progress.first {
		return
	}
	j.progress.first = true
	j.progress.firstAt = now
	d := now.Sub(j.running.Started)
	w.limiter.FirstToken(now, j.req, d)
	w.opts.Observer.FirstToken(j.req, d)
}

func (w *Worker) observeChunk(now time.Time, j *job, c *rpc.Chunk) {
	if j.req.GetChat() == nil {
		w.observeFirst(now, j)
		return
	}
	p := &j.progress
	if c.GetOpaque() || c.GetFinished() {
		j.pinned.Store(true)
	}
	if !c.HasToken() {
		return
	}
	if p.first {
		gap := now.Sub(p.last)
		w.limiter.Token(now, gap)
		j.gaps.Add(gap)
	}
	w.observeFirst(now, j)
	p.last = now
}

// requeue puts a preempted attempt back to wait with its place by age.
func (w *Worker) requeue(now time.Time, j *job, used time.Duration) {
	it := j.item
	it.Used += used
	it.Preemptions++
	it.WaitUntil = j.until
	j.running = nil
	j.cancel = nil
	j.waitingSince = now
	j.progress.last = time.Time{}
	j.progress.first = false
	j.progress.firstAt = time.Time{}
	j.attempt.Requeue()
	w.opts.Observer.Preempted(it.Tier)
	displaced, err := w.queue.Push(now, it)
	if err != nil {
		w.finish(now, j, resultcode.As(err).WithExecution(resultcode.Unknown))
		return
	}
	w.refuseDisplaced(now, displaced)
}

// Serve looks at expiry, orphans and preemption until ctx ends.
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

// orphan reports whether no router has read the attempt for OrphanTimeout.
func (j *job) orphan(now time.Time) bool {
	since, unread := j.attempt.UnreadSince()
	return unread && now.Sub(since) >= OrphanTimeout
}

// cancelOrphans gives up idempotent attempts whose router is gone.
func (w *Worker) cancelOrphans(now time.Time) {
	for _, j := range w.jobs {
		if !j.req.GetIdempotent() || !j.orphan(now) {
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
