package dispatch

import (
	"errors"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// handle processes one event of a stream and returns the next action.
func (f *inFlightRequest) handle(e streamEvent) recovery.Action {
	att := f.attempts[e.stream.ticket]
	if att.stream != e.stream {
		// The event is from an old connection; the attempt is now read on a newer one.
		return recovery.Action{}
	}
	if e.frame == nil {
		return f.streamEnded(att, e)
	}
	f.recordVersion(att, e.frame)
	f.reportAttach(e.stream, e.frame.GetRefused() == nil)
	now := time.Now()
	switch k := e.frame.GetKind().(type) {
	case *rpc.Frame_Accepted:
		f.opts.Fleet.Load(now, att.target, k.Accepted.GetLoad())
	case *rpc.Frame_Heartbeat:
		f.opts.Fleet.Load(now, att.target, k.Heartbeat.GetLoad())
	case *rpc.Frame_Started:
		return f.started(now, att, k.Started)
	case *rpc.Frame_Stated:
		f.stated(now, att, k.Stated)
	case *rpc.Frame_Head:
		att.head = k.Head
		f.observeFirstToken(now, att)
	case *rpc.Frame_Chunk:
		return f.chunk(now, att, k.Chunk)
	case *rpc.Frame_Done:
		return f.done(now, att, k.Done)
	case *rpc.Frame_Refused:
		return f.refused(now, att, e, k.Refused)
	}
	return recovery.Action{}
}

// recordVersion records the agent's catalog version, and that a newer catalog is needed
// if the agent refused the attempt because of a stale one.
func (f *inFlightRequest) recordVersion(att *attempt, frame *rpc.Frame) {
	version := frame.GetCatalogVersion()
	f.opts.Catalog.VersionSeen(version, att.target.Address)
	if r := frame.GetRefused(); r != nil && resultcode.Code(r.GetCode()) == resultcode.StaleCatalog {
		f.wantedVersion = max(f.wantedVersion, version)
	}
}

// streamEnded handles the end of a stream.
func (f *inFlightRequest) streamEnded(att *attempt, e streamEvent) recovery.Action {
	if att.ended {
		// The agent closes a stream after its last frame, and the router closes that
		// of an attempt that it abandoned. Neither is a failure of the endpoint.
		return recovery.Action{}
	}
	if f.finished {
		// Every chunk up to the finish reason has arrived; only the token usage is lost.
		att.ended = true
		f.reportAttemptEnd(att, 0)
		return f.advance(recovery.Event{Kind: recovery.Done, Attempt: att.ticket})
	}
	f.reportAttach(e.stream, false)
	if e.end == endSilent {
		f.opts.Observer.Silent()
	}
	f.opts.Fleet.Failed(time.Now(), att.target)
	action := f.advance(recovery.Event{Kind: streamEndEvent(e), Attempt: att.ticket})
	if action.Kind != recovery.Attach {
		f.reportAttemptEnd(att, streamEndCode(e.end))
	}
	return action
}

func streamEndEvent(e streamEvent) recovery.EventKind {
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

func (f *inFlightRequest) started(now time.Time, att *attempt, s *rpc.Started) recovery.Action {
	if att.startedAt.IsZero() {
		att.startedAt = now
		f.req.Trace.Started = true
		f.req.Trace.Queued += time.Duration(s.GetWaitedMs()) * time.Millisecond
	}
	return f.advance(recovery.Event{Kind: recovery.Started, Attempt: att.ticket})
}

func (f *inFlightRequest) observeFirstToken(now time.Time, att *attempt) {
	if att.firstTokenSeen {
		return
	}
	att.firstTokenSeen = true
	if !att.startedAt.IsZero() {
		f.opts.Fleet.FirstToken(now, att.target, now.Sub(att.startedAt))
	}
}

// chunk forwards a chunk if the state machine accepts it, and otherwise counts it as
// wasted.
func (f *inFlightRequest) chunk(now time.Time, att *attempt, chunk *rpc.Chunk) recovery.Action {
	if !f.continuesText(att, chunk) {
		return f.otherModel(att)
	}
	token := f.req.Chat == nil || chunk.HasToken()
	if token {
		f.observeFirstToken(now, att)
		f.observeInterToken(now, att)
	}
	action := f.advance(recovery.Event{
		Kind:    recovery.Chunk,
		Attempt: att.ticket,
		Index:   chunk.GetIndex(),
		Opaque:  chunk.GetOpaque() || !f.fitsText(chunk),

		Unproven: f.unproven(att, chunk),
	})
	if action.Kind != recovery.Forward {
		f.req.Trace.WastedTokens++
		return action
	}
	f.setLeader(att)
	if token {
		f.traceToken(now)
	}
	if err := f.forward(att, chunk); err != nil {
		return f.sinkFailed(err)
	}
	return action
}

// intervalsPerReport is the number of times between tokens that are averaged into one
// report to the fleet.
const intervalsPerReport = 8

// interTokenMeter measures the times between the tokens of one attempt.
type interTokenMeter struct {
	last time.Time
	// since is when the current report began, n the number of inter-token times since then.
	since time.Time
	n     int
}

func (f *inFlightRequest) observeInterToken(now time.Time, att *attempt) {
	if f.req.Chat == nil {
		return
	}
	m := &att.interToken
	if m.last.IsZero() {
		m.since = now
	} else {
		m.n++
	}
	m.last = now
	if m.n < intervalsPerReport {
		return
	}
	f.opts.Fleet.InterToken(now, att.target, now.Sub(m.since)/intervalsPerReport)
	m.since, m.n = now, 0
}

func (f *inFlightRequest) traceToken(now time.Time) {
	t := &f.req.Trace
	if t.FirstToken.IsZero() {
		t.FirstToken = now
		f.opts.Budget.FirstToken(f.latencyGroup(), now.Sub(f.firstSent))
	} else if t.InterTokenTimes != nil {
		t.InterTokenTimes.Add(now.Sub(t.LastToken))
	}
	t.LastToken = now
	t.Tokens++
}

// forward writes a chunk to the caller. The head of a service's response is sent with
// the first chunk, so that a call that fails before that can be retried.
func (f *inFlightRequest) forward(att *attempt, chunk *rpc.Chunk) error {
	if err := f.sendHead(att); err != nil {
		return err
	}
	f.addText(att, chunk)
	f.finished = f.finished || chunk.GetFinished()
	return f.sink.Chunk(chunk)
}

// fitsText reports whether the text with the chunk can still be continued at another
// endpoint.
func (f *inFlightRequest) fitsText(chunk *rpc.Chunk) bool {
	return !f.textTooLong && len(f.text)+len(chunk.GetText()) <= rpc.MaxTextSoFarBytes
}

// addText adds the text of a forwarded chunk to the text so far.
func (f *inFlightRequest) addText(att *attempt, chunk *rpc.Chunk) {
	if !f.fitsText(chunk) {
		f.text, f.textTooLong = nil, true
		return
	}
	if chunk.GetText() == "" {
		return
	}
	if len(f.text) == 0 {
		f.textFrom = att
	}
	if att == f.textFrom {
		f.textModel = att.model
	}
	f.text = append(f.text, chunk.GetText()...)
	f.textTokens++
}

func (f *inFlightRequest) sendHead(att *attempt) error {
	if f.headSent || att.head == nil {
		return nil
	}
	f.headSent = true
	return f.sink.Head(att.head)
}

// sinkFailed ends the request when its caller has disconnected or its answer is too
// large.
func (f *inFlightRequest) sinkFailed(err error) recovery.Action {
	action := f.advance(recovery.Event{Kind: recovery.CallerCancelled})
	var limitErr *resultcode.Error
	if errors.As(err, &limitErr) && action.Kind == recovery.Fail {
		action.Error = limitErr
	}
	return action
}

func (f *inFlightRequest) done(now time.Time, att *attempt, done *rpc.Done) recovery.Action {
	att.ended = true
	f.reportAttemptEnd(att, 0)
	f.opts.Fleet.Load(now, att.target, done.GetLoad())
	f.opts.Fleet.Succeeded(now, att.target)
	action := f.advance(recovery.Event{Kind: recovery.Done, Attempt: att.ticket})
	if action.Kind == recovery.Finish {
		f.req.Trace.Endpoint = att.target.Endpoint
		f.winner, f.usage = att, done
	}
	return action
}

// finish writes the end of a complete answer.
func (f *inFlightRequest) finish() *resultcode.Error {
	if f.winner != nil {
		if err := f.sendHead(f.winner); err != nil {
			return callerGoneError(err)
		}
	}
	if err := f.sink.Done(f.usage); err != nil {
		return callerGoneError(err)
	}
	return nil
}

func callerGoneError(err error) *resultcode.Error {
	return resultcode.Wrap(resultcode.CallerCancelled, err, "the caller closed the connection").
		WithExecution(resultcode.Ran)
}

func (f *inFlightRequest) refused(now time.Time, att *attempt, e streamEvent, r *rpc.Refused) recovery.Action {
	err := r.Err()
	att.ended = !e.stream.attached || err.EffectiveExecution() != resultcode.Unknown
	f.lastNotRun = err.EffectiveExecution() == resultcode.NotRun
	f.opts.Quarantine.Learn(now, r.GetEvidence())
	if f.opts.Quarantine.Condemned(now, f.req.BodyDigest) {
		err = condemnedError().WithExecution(err.EffectiveExecution())
	}
	f.opts.Fleet.Load(now, att.target, r.GetLoad())
	f.opts.Fleet.Refused(now, att.target, err.Code, r.GetAgent())
	f.reportAttemptEnd(att, err.Code)
	kind := recovery.Refused
	if e.stream.attached {
		kind = recovery.AttachRefused
	}
	return f.advance(recovery.Event{Kind: kind, Attempt: att.ticket, Error: err, Execution: err.EffectiveExecution()})
}

// discardAnswer discards a buffered answer because another attempt will produce it
// again.
func (f *inFlightRequest) discardAnswer() {
	f.req.Trace.WastedTokens += f.req.Trace.Tokens
	f.text, f.textTokens, f.textTooLong = nil, 0, false
	f.textFrom, f.textModel = nil, ""
	f.finished = false
	f.sink.Restart()
}
