package recovery_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
)

// A fixed seed makes every run the same; flags of the command line override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// answerChunks is the number of chunks of every answer in the model.
const answerChunks = 4

// stage is the actual progress of an attempt, which the machine can only infer
// from events.
type stage int

const (
	dialing  stage = iota
	inFlight       // the Run may still reach the agent
	queued
	running
	finished
	ended // will not run, or the agent restarted
)

type modelAttempt struct {
	id              uint64
	stage           stage
	from            int
	produced        int
	delivered       int
	connected       bool
	renouncePending bool // a Renounce is unanswered
	tombstoned      bool // the agent recorded the Renounce and will not run it
	ran             bool
	agentLost       bool // the agent restarted and does not know the attempt
	abandoned       bool // another attempt replaced it
}

// model simulates the agents, the connections, the claim row and the caller of
// one Machine.
type model struct {
	t            *rapid.T
	m            *recovery.Machine
	o            recovery.Options
	attempts     []*modelAttempt
	output       int
	runs         int
	finalAnswers int
	attaches     int // without a forwarded chunk
	canSend      bool
	from         int
}

func (w *model) drawAttempt(ok func(*modelAttempt) bool) *modelAttempt {
	var fit []*modelAttempt
	for _, a := range w.attempts {
		if ok(a) {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		w.t.Skip("no attempt fits")
	}
	return rapid.SampledFrom(fit).Draw(w.t, "attempt")
}

// apply reports an event and carries out the action.
func (w *model) apply(e recovery.Event) recovery.Action {
	wasOver := w.m.Ended()
	action := w.m.Next(now, e)
	if wasOver && action.Kind != recovery.None && action.Kind != recovery.Drop {
		w.t.Fatalf("action %d after the final answer", action.Kind)
	}
	for _, id := range action.Renounce {
		w.attempts[id-1].renouncePending = true
	}
	switch action.Kind {
	case recovery.Send:
		if action.Restart {
			if !w.o.Buffered {
				w.t.Fatal("restart of an answer that the caller has in part")
			}
			w.output = 0
		}
		w.canSend, w.from = true, int(action.From)
		w.abandonExcept(0)
		if w.from != w.output {
			w.t.Fatalf("attempt from %d, the caller has %d", w.from, w.output)
		}
	case recovery.Attach:
		w.attach(w.attempts[action.Attempt-1], int(action.From))
	case recovery.Forward:
		if int(e.Index) != w.output {
			w.t.Fatalf("chunk %d forwarded, the caller has %d", e.Index, w.output)
		}
		w.abandonExcept(e.Attempt)
		w.output++
		w.attaches = 0
	case recovery.Finish, recovery.Fail:
		if action.Kind == recovery.Finish {
			w.abandonExcept(e.Attempt)
		}
		w.finalAnswer(action)
	}
	return action
}

// abandonExcept notes that only the attempt with this ticket may still deliver.
func (w *model) abandonExcept(id uint64) {
	for _, a := range w.attempts {
		if a.id == id && a.abandoned {
			w.t.Fatalf("answer taken from the abandoned attempt %d", id)
		}
		a.abandoned = a.abandoned || a.id != id
	}
}

func (w *model) finalAnswer(action recovery.Action) {
	w.finalAnswers++
	w.canSend = false
	if action.Kind == recovery.Finish {
		if w.output != answerChunks {
			w.t.Fatalf("finished with %d chunks", w.output)
		}
		return
	}
	for _, a := range w.attempts {
		mayRun := a.stage == dialing || a.stage == queued || a.stage == inFlight && !a.tombstoned
		if action.Error.Execution == resultcode.NotRun && (a.ran || mayRun) {
			w.t.Fatalf("not_run, attempt %d is at %d, ran %t", a.id, a.stage, a.ran)
		}
	}
	if action.Error.Execution == resultcode.Ran && w.runs != 1 {
		w.t.Fatalf("ran, but %d runs", w.runs)
	}
	if action.Error.RetryAfter == 0 && action.Error.Execution != resultcode.Ran && action.Error.Code >= 2000 {
		w.t.Fatalf("no Retry-After: %v", action.Error)
	}
}

func (w *model) attach(a *modelAttempt, from int) {
	if w.attaches++; w.attaches > 6 {
		w.t.Fatal("attaches without end")
	}
	e := recovery.Event{Kind: recovery.AttachFailed, Attempt: a.id}
	switch {
	case rapid.Bool().Draw(w.t, "attach fails"):
	case a.agentLost || a.stage == inFlight || a.stage == ended:
		e = refused(a.id, resultcode.AttemptNotFound, resultcode.NotRun)
		e.Kind = recovery.AttachRefused
	default:
		ended := a.stage == finished && a.delivered == a.produced
		a.connected, a.delivered = true, from
		if ended && rapid.Bool().Draw(w.t, "late done of the old connection") {
			w.apply(event(recovery.Done, a.id))
		}
		return
	}
	a.connected = false
	w.apply(e)
}

// start begins to run an attempt unless the claim row forbids it: with an
// idempotency key, one attempt at most runs.
func (w *model) start(a *modelAttempt) {
	a.stage = running
	if w.o.HasKey && !w.o.Idempotent && w.runs > 0 {
		a.stage = ended
		if a.connected {
			w.apply(refused(a.id, resultcode.KeyInProgress, resultcode.Unknown))
		}
		return
	}
	a.ran, a.produced = true, a.from
	w.runs++
	if !w.o.Idempotent && w.runs > 1 {
		w.t.Fatal("a non-idempotent request ran twice")
	}
	if a.connected {
		w.apply(event(recovery.Started, a.id))
	}
}

func (w *model) answerRenounce(a *modelAttempt) {
	a.renouncePending = false
	e := recovery.Event{Kind: recovery.RenounceAnswered, Attempt: a.id, SameIncarnation: !a.agentLost}
	switch {
	case rapid.Bool().Draw(w.t, "answer lost"):
		e.Kind = recovery.RenounceFailed
	case a.agentLost:
		e.Execution = resultcode.NotRun // the new incarnation does not know the attempt
	case a.stage == running:
		e.Execution = resultcode.Unknown
	case a.stage == finished:
		e.Execution = resultcode.Ran
	case !a.ran:
		e.Execution = resultcode.NotRun
		a.tombstoned = true
		if a.stage == queued {
			a.stage = ended
		}
	}
	w.apply(e)
}

// deliver reports the next frame, at times a repeated or a later chunk.
func (w *model) deliver(a *modelAttempt) {
	if a.delivered >= a.produced {
		if a.stage == finished {
			w.apply(event(recovery.Done, a.id))
		}
		return
	}
	i := a.delivered
	switch rapid.IntRange(0, 9).Draw(w.t, "order") {
	case 0:
		i = max(i-1, a.from)
	case 1:
		i = min(i+1, a.produced-1)
	}
	a.delivered = i + 1
	w.apply(recovery.Event{Kind: recovery.Chunk, Attempt: a.id, Index: uint32(i), Opaque: i == 2})
}

// advance moves an attempt to its next stage, or adds a chunk while it runs.
func (w *model) advance(a *modelAttempt) {
	switch a.stage {
	case dialing:
		a.stage = inFlight
	case inFlight:
		a.stage = queued
		if a.tombstoned || a.agentLost {
			a.stage = ended
		}
	case queued:
		w.start(a)
	case running:
		if a.produced++; a.produced == answerChunks {
			a.stage = finished
		}
	}
}

// injectFault makes an attempt or its stream fail.
func (w *model) injectFault(a *modelAttempt) {
	switch {
	case a.stage == dialing:
		a.stage, a.connected = ended, false
		w.apply(event(recovery.NotOpened, a.id))
	case a.stage == queued && rapid.Bool().Draw(w.t, "refuse"):
		a.stage = ended
		if a.connected {
			w.apply(refused(a.id, resultcode.QueueFull, resultcode.NotRun))
		}
	case a.stage > inFlight && rapid.IntRange(0, 2).Draw(w.t, "crash") == 0:
		a.stage, a.agentLost = ended, true
	case a.connected:
		kind := rapid.SampledFrom([]recovery.EventKind{recovery.Silent, recovery.Broken}).Draw(w.t, "stream")
		a.connected = kind == recovery.Silent
		w.apply(event(kind, a.id))
	}
}

func (w *model) send() {
	if !w.canSend && !w.m.MayHedge() {
		w.t.Skip("nothing to send")
	}
	requested := w.canSend
	w.canSend = false
	if requested && len(w.attempts) > 0 && rapid.IntRange(0, 9).Draw(w.t, "budget") == 0 {
		w.apply(event(recovery.BudgetRefused, 0))
		return
	}
	a := &modelAttempt{id: uint64(len(w.attempts) + 1), from: w.from, delivered: w.from, connected: true}
	w.attempts = append(w.attempts, a)
	if w.apply(event(recovery.AttemptSent, a.id)).Kind != recovery.None {
		w.t.Fatal("a requested attempt was dropped")
	}
}

func (w *model) actions() map[string]func(*rapid.T) {
	any := func(*modelAttempt) bool { return true }
	return map[string]func(*rapid.T){
		"send":    func(*rapid.T) { w.send() },
		"advance": func(*rapid.T) { w.advance(w.drawAttempt(any)) },
		"fault":   func(*rapid.T) { w.injectFault(w.drawAttempt(any)) },
		"deliver": func(*rapid.T) {
			w.deliver(w.drawAttempt(func(a *modelAttempt) bool { return a.connected }))
		},
		"renounce": func(*rapid.T) {
			w.answerRenounce(w.drawAttempt(func(a *modelAttempt) bool { return a.renouncePending }))
		},
		"give up": func(*rapid.T) {
			if rapid.IntRange(0, 15).Draw(w.t, "now") == 0 {
				w.apply(event(rapid.SampledFrom([]recovery.EventKind{
					recovery.DeadlinePassed, recovery.CallerCancelled}).Draw(w.t, "kind"), 0))
			}
		},
	}
}

// Guards against not_run for a request that ran or may still run, a second run
// of a non-idempotent request, a missing, second or late final answer, and
// chunks that are lost, repeated or taken from an abandoned attempt. The model
// draws random orders of progress, faults, frames and answers to Renounce.
func TestMachineAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := recovery.Options{
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			HasKey:     rapid.Bool().Draw(t, "key"),
			Text:       rapid.Bool().Draw(t, "text"),
			Buffered:   rapid.Bool().Draw(t, "buffered"),
		}
		w := &model{t: t, m: recovery.New(o), o: o, canSend: true}
		t.Repeat(w.actions())
		w.apply(event(recovery.DeadlinePassed, 0))
		if !w.m.Ended() || w.finalAnswers != 1 {
			t.Fatalf("%d final answers", w.finalAnswers)
		}
	})
}
