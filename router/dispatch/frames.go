package dispatch

import (
	"errors"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// handle interprets one event of a stream.
func (f *flight) handle(e streamEvent) recovery.Action {
	c := f.calls[e.stream.ticket]
	if c.stream != e.stream {
		// The attempt is read on a newer connection.
		return recovery.Action{}
	}
	if e.frame == nil {
		return f.streamEnded(c, e)
	}
	f.noteVersion(c, e.frame)
	f.attachAnswered(e.stream, e.frame.GetRefused() == nil)
	now := time.Now()
	switch k := e.frame.GetKind().(type) {
	case *rpc.Frame_Accepted:
		f.opts.Fleet.Load(now, c.target, k.Accepted.GetLoad())
	case *rpc.Frame_Heartbeat:
		f.opts.Fleet.Load(now, c.target, k.Heartbeat.GetLoad())
	case *rpc.Frame_Started:
		return f.started(now, c, k.Started)
	case *rpc.Frame_Head:
		c.head = k.Head
		f.observeFirst(now, c)
	case *rpc.Frame_Chunk:
		return f.chunk(now, c, k.Chunk)
	case *rpc.Frame_Done:
		return f.done(now, c, k.Done)
	case *rpc.Frame_Refused:
		return f.refused(now, c, e, k.Refused)
	}
	return recovery.Action{}
}

// noteVersion compares the agent's catalog version with the one in force here.
func (f *flight) noteVersion(c *call, frame *rpc.Frame) {
	version := frame.GetCatalogVersion()
	f.opts.Catalog.Seen(version, c.target.Address)
	if r := frame.GetRefused(); r != nil && resultcode.Code(r.GetCode()) == resultcode.StaleCatalog {
		f.awaitVersion = max(f.awaitVersion, version)
	}
}

func (f *flight) streamEnded(c *call, e streamEvent) recovery.Action {
	if c.ended {
		// The agent closes a stream after its last frame, and the router closes the
		// one of an attempt that it gave up. Neither is a failure of the endpoint.
		return recovery.Action{}
	}
	if f.finished {
		// Every chunk up to the finish reason has arrived; only the usage is lost.
		c.ended = true
		f.attemptEnded(c, 0)
		return f.next(recovery.Event{Kind: recovery.Done, Attempt: c.ticket})
	}
	f.attachAnswered(e.stream, false)
	if e.end == endSilent {
		f.opts.Observer.Silent()
	}
	f.opts.Fleet.Failed(time.Now(), c.target)
	action := f.next(recovery.Event{Kind: endEvent(e), Attempt: c.ticket})
	if action.Kind != recovery.Attach {
		f.attemptEnded(c, endCode(e.end))
	}
	return action
}

func endEvent(e streamEvent) recovery.EventKind {
	switch {
	case e.stream.attached && e.end == endNotOpened:
		return recovery.AttachFailed
	case e.end == endNotOpened:
		return recovery.NotOpened
	case e.end == endSilent:
		return recovery.Silent
	}
	return recovery.Broken
}

func (f *flight) started(now time.Time, c *call, s *rpc.Started) recovery.Action {
	if c.startedAt.IsZero() {
		c.startedAt = now
		f.req.Trace.Started = true
		f.req.Trace.Queued += time.Duration(s.GetWaitedMs()) * time.Millisecond
	}
	return f.next(recovery.Event{Kind: recovery.Started, Attempt: c.ticket})
}

func (f *flight) observeFirst(now time.Time, c *call) {
	if c.first {
		return
	}
	c.first = true
	if !c.startedAt.IsZero() {
		f.opts.Fleet.FirstToken(now, c.target, now.Sub(c.startedAt))
	}
}

// chunk forwards a chunk if the machine allows it.
func (f *flight) chunk(now time.Time, c *call, chunk *rpc.Chunk) recovery.Action {
	token := f.req.Chat == nil || chunk.HasToken()
	if token {
		f.observeFirst(now, c)
		f.observePace(now, c)
	}
	action := f.next(recovery.Event{
		Kind:     recovery.Chunk,
		Attempt:  c.ticket,
		Index:    chunk.GetIndex(),
		ToolCall: chunk.GetOpaque(),
	})
	if action.Kind != recovery.Forward {
		f.req.Trace.WastedTokens++
		return action
	}
	f.lead(c)
	if token {
		f.traceToken(now)
	}
	if err := f.forward(c, chunk); err != nil {
		return f.sinkFailed(err)
	}
	return action
}

// paceTokens is the number of times between tokens that are reported together.
const paceTokens = 8

// pace collects times between tokens of one attempt.
type pace struct {
	last  time.Time
	since time.Time
	n     int
}

func (f *flight) observePace(now time.Time, c *call) {
	if f.req.Chat == nil {
		return
	}
	p := &c.pace
	if p.last.IsZero() {
		p.since = now
	} else {
		p.n++
	}
	p.last = now
	if p.n < paceTokens {
		return
	}
	f.opts.Fleet.InterToken(now, c.target, now.Sub(p.since)/paceTokens)
	p.since, p.n = now, 0
}

func (f *flight) traceToken(now time.Time) {
	t := &f.req.Trace
	if t.FirstToken.IsZero() {
		t.FirstToken = now
		f.opts.Budget.FirstToken(f.group(), now.Sub(f.firstSent))
	} else if t.Gaps != nil {
		t.Gaps.Add(now.Sub(t.LastToken))
	}
	t.LastToken = now
	t.Tokens++
}

// forward writes a chunk to the caller. The head of a service's answer goes out
// with the first chunk, so that a call that fails before it can be sent again.
func (f *flight) forward(c *call, chunk *rpc.Chunk) error {
	if err := f.sendHead(c); err != nil {
		return err
	}
	if chunk.GetText() != "" {
		f.text = append(f.text, chunk.GetText()...)
		f.tokens++
	}
	f.finished = f.finished || chunk.GetFinished()
	return f.sink.Chunk(chunk)
}

func (f *flight) sendHead(c *call) error {
	if f.headSent || c.head == nil {
		return nil
	}
	f.headSent = true
	return f.sink.Head(c.head)
}

// sinkFailed ends the request when its caller is gone or its answer too large.
func (f *flight) sinkFailed(err error) recovery.Action {
	action := f.next(recovery.Event{Kind: recovery.CallerCancelled})
	var bound *resultcode.Error
	if errors.As(err, &bound) && action.Kind == recovery.Fail {
		action.Error = bound
	}
	return action
}

func (f *flight) done(now time.Time, c *call, done *rpc.Done) recovery.Action {
	c.ended = true
	f.attemptEnded(c, 0)
	f.opts.Fleet.Load(now, c.target, done.GetLoad())
	f.opts.Fleet.Succeeded(now, c.target)
	action := f.next(recovery.Event{Kind: recovery.Done, Attempt: c.ticket})
	if action.Kind == recovery.Finish {
		f.req.Trace.Endpoint = c.target.Endpoint
		f.winner, f.usage = c, done
	}
	return action
}

// finish writes the end of a whole answer.
func (f *flight) finish() *resultcode.Error {
	if f.winner != nil {
		if err := f.sendHead(f.winner); err != nil {
			return callerGone(err)
		}
	}
	if err := f.sink.Done(f.usage); err != nil {
		return callerGone(err)
	}
	return nil
}

func callerGone(err error) *resultcode.Error {
	return resultcode.Wrap(resultcode.CallerCancelled, err, "the caller closed the connection").
		WithExecution(resultcode.Ran)
}

func (f *flight) refused(now time.Time, c *call, e streamEvent, r *rpc.Refused) recovery.Action {
	err := r.Err()
	c.ended = !e.stream.attached || err.Verdict() != resultcode.Unknown
	f.redirect = err.Verdict() == resultcode.NotRun
	f.opts.Quarantine.Learn(now, r.GetEvidence())
	if f.opts.Quarantine.Condemned(now, f.req.BodyDigest) {
		err = condemned().WithExecution(err.Verdict())
	}
	f.opts.Fleet.Load(now, c.target, r.GetLoad())
	f.opts.Fleet.Refused(now, c.target, err.Code, r.GetAgent())
	f.attemptEnded(c, err.Code)
	kind := recovery.Refused
	if e.stream.attached {
		kind = recovery.AttachRefused
	}
	return f.next(recovery.Event{Kind: kind, Attempt: c.ticket, Error: err, Execution: err.Verdict()})
}

// restart discards a buffered answer that another attempt produces again.
func (f *flight) restart() {
	f.req.Trace.WastedTokens += f.req.Trace.Tokens
	f.text, f.tokens = nil, 0
	f.finished = false
	f.sink.Restart()
}
