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

// answerChunks is the length of every answer in the model.
const answerChunks = 4

// place is where an attempt really is, which the machine can only infer.
type place int

const (
	dialing place = iota
	flying        // the Run may still reach the agent
	queued
	running
	finished
	ended // will not run, or the agent is lost
)

type modelAttempt struct {
	id        uint64
	place     place
	from      int
	produced  int
	delivered int
	connected bool
	renounced bool // a Renounce is unanswered
	forbidden bool // the agent has a tombstone
	ran       bool
	lost      bool // agent restarted
	abandoned bool // another attempt took its place
}

// model is the world around one machine.
type model struct {
	t        *rapid.T
	m        *recovery.Machine
	o        recovery.Options
	attempts []*modelAttempt
	output   int
	runs     int
	finals   int
	attaches int // without a forwarded chunk
	canSend  bool
	from     int
}

func (w *model) choose(ok func(*modelAttempt) bool) *modelAttempt {
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

// tell reports an event and carries out the action.
func (w *model) tell(e recovery.Event) recovery.Action {
	wasOver := w.m.Over()
	action := w.m.Next(now, e)
	if wasOver && action.Kind != recovery.None && action.Kind != recovery.Drop {
		w.t.Fatalf("action %d after the final answer", action.Kind)
	}
	for _, id := range action.Renounce {
		w.attempts[id-1].renounced = true
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
		w.final(action)
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

func (w *model) final(action recovery.Action) {
	w.finals++
	w.canSend = false
	if action.Kind == recovery.Finish {
		if w.output != answerChunks {
			w.t.Fatalf("finished with %d chunks", w.output)
		}
		return
	}
	for _, a := range w.attempts {
		mayRun := a.place == dialing || a.place == queued || a.place == flying && !a.forbidden
		if action.Error.Execution == resultcode.NotRun && (a.ran || mayRun) {
			w.t.Fatalf("not_run, attempt %d is at %d, ran %t", a.id, a.place, a.ran)
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
	case a.lost || a.place == flying || a.place == ended:
		e = refused(a.id, resultcode.AttemptNotFound, resultcode.NotRun)
		e.Kind = recovery.AttachRefused
	default:
		ended := a.place == finished && a.delivered == a.produced
		a.connected, a.delivered = true, from
		if ended && rapid.Bool().Draw(w.t, "late done of the old connection") {
			w.tell(event(recovery.Done, a.id))
		}
		return
	}
	a.connected = false
	w.tell(e)
}

// start applies the claim row: with a key, one attempt at most runs.
func (w *model) start(a *modelAttempt) {
	a.place = running
	if w.o.HasKey && !w.o.Idempotent && w.runs > 0 {
		a.place = ended
		if a.connected {
			w.tell(refused(a.id, resultcode.KeyInProgress, resultcode.Unknown))
		}
		return
	}
	a.ran, a.produced = true, a.from
	w.runs++
	if !w.o.Idempotent && w.runs > 1 {
		w.t.Fatal("a non-idempotent request ran twice")
	}
	if a.connected {
		w.tell(event(recovery.Started, a.id))
	}
}

func (w *model) answerRenounce(a *modelAttempt) {
	a.renounced = false
	e := recovery.Event{Kind: recovery.RenounceAnswered, Attempt: a.id, SameIncarnation: !a.lost}
	switch {
	case rapid.Bool().Draw(w.t, "answer lost"):
		e.Kind = recovery.RenounceFailed
	case a.lost:
		e.Execution = resultcode.NotRun // the new incarnation does not know
	case a.place == running:
		e.Execution = resultcode.Unknown
	case a.place == finished:
		e.Execution = resultcode.Ran
	case !a.ran:
		e.Execution = resultcode.NotRun
		a.forbidden = true
		if a.place == queued {
			a.place = ended
		}
	}
	w.tell(e)
}

// deliver passes on the next frame, at times a repeated or a later chunk.
func (w *model) deliver(a *modelAttempt) {
	if a.delivered >= a.produced {
		if a.place == finished {
			w.tell(event(recovery.Done, a.id))
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
	w.tell(recovery.Event{Kind: recovery.Chunk, Attempt: a.id, Index: uint32(i), ToolCall: i == 2})
}

// advance moves an attempt one step on its way.
func (w *model) advance(a *modelAttempt) {
	switch a.place {
	case dialing:
		a.place = flying
	case flying:
		a.place = queued
		if a.forbidden || a.lost {
			a.place = ended
		}
	case queued:
		w.start(a)
	case running:
		if a.produced++; a.produced == answerChunks {
			a.place = finished
		}
	}
}

// fault makes an attempt or its stream fail.
func (w *model) fault(a *modelAttempt) {
	switch {
	case a.place == dialing:
		a.place, a.connected = ended, false
		w.tell(event(recovery.NotOpened, a.id))
	case a.place == queued && rapid.Bool().Draw(w.t, "refuse"):
		a.place = ended
		if a.connected {
			w.tell(refused(a.id, resultcode.QueueFull, resultcode.NotRun))
		}
	case a.place > flying && rapid.IntRange(0, 2).Draw(w.t, "crash") == 0:
		a.place, a.lost = ended, true
	case a.connected:
		kind := rapid.SampledFrom([]recovery.EventKind{recovery.Silent, recovery.Broken}).Draw(w.t, "stream")
		a.connected = kind == recovery.Silent
		w.tell(event(kind, a.id))
	}
}

func (w *model) send() {
	if !w.canSend && !w.m.MayHedge() {
		w.t.Skip("nothing to send")
	}
	requested := w.canSend
	w.canSend = false
	if requested && len(w.attempts) > 0 && rapid.IntRange(0, 9).Draw(w.t, "budget") == 0 {
		w.tell(event(recovery.BudgetRefused, 0))
		return
	}
	a := &modelAttempt{id: uint64(len(w.attempts) + 1), from: w.from, delivered: w.from, connected: true}
	w.attempts = append(w.attempts, a)
	if w.tell(event(recovery.AttemptSent, a.id)).Kind != recovery.None {
		w.t.Fatal("a requested attempt was dropped")
	}
}

func (w *model) actions() map[string]func(*rapid.T) {
	any := func(*modelAttempt) bool { return true }
	return map[string]func(*rapid.T){
		"send":    func(*rapid.T) { w.send() },
		"advance": func(*rapid.T) { w.advance(w.choose(any)) },
		"fault":   func(*rapid.T) { w.fault(w.choose(any)) },
		"deliver": func(*rapid.T) {
			w.deliver(w.choose(func(a *modelAttempt) bool { return a.connected }))
		},
		"renounce": func(*rapid.T) {
			w.answerRenounce(w.choose(func(a *modelAttempt) bool { return a.renounced }))
		},
		"give up": func(*rapid.T) {
			if rapid.IntRange(0, 15).Draw(w.t, "now") == 0 {
				w.tell(event(rapid.SampledFrom([]recovery.EventKind{
					recovery.DeadlinePassed, recovery.CallerCancelled}).Draw(w.t, "kind"), 0))
			}
		},
	}
}

// Guards against not_run for a request that ran or may still run, a second run
// of a non-idempotent request, a missing, second or late final answer, and
// chunks that are lost, repeated or taken from an abandoned attempt.
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
		w.tell(event(recovery.DeadlinePassed, 0))
		if !w.m.Over() || w.finals != 1 {
			t.Fatalf("%d final answers", w.finals)
		}
	})
}
