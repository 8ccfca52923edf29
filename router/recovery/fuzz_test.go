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
	machine      *recovery.Machine
	options      recovery.Options
	attempts     []*modelAttempt
	output       int
	runs         int
	finalAnswers int
	attaches     int // without a forwarded chunk
	canSend      bool
	from         int
}

func (m *model) drawAttempt(ok func(*modelAttempt) bool) *modelAttempt {
	var fit []*modelAttempt
	for _, a := range m.attempts {
		if ok(a) {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		m.t.Skip("no attempt fits")
	}
	return rapid.SampledFrom(fit).Draw(m.t, "attempt")
}

// apply reports an event and carries out the action.
func (m *model) apply(e recovery.Event) recovery.Action {
	wasOver := m.machine.Ended()
	action := m.machine.Next(now, e)
	if wasOver && action.Kind != recovery.None && action.Kind != recovery.Drop {
		m.t.Fatalf("action %d after the final answer", action.Kind)
	}
	for _, id := range action.Renounce {
		m.attempts[id-1].renouncePending = true
	}
	switch action.Kind {
	case recovery.Send:
		if action.Restart {
			if !m.options.Buffered {
				m.t.Fatal("restart of an answer that the caller has in part")
			}
			m.output = 0
		}
		m.canSend, m.from = true, int(action.From)
		m.abandonExcept(0)
		if m.from != m.output {
			m.t.Fatalf("attempt from %d, the caller has %d", m.from, m.output)
		}
	case recovery.Attach:
		m.attach(m.attempts[action.Attempt-1], int(action.From))
	case recovery.Forward:
		if int(e.Index) != m.output {
			m.t.Fatalf("chunk %d forwarded, the caller has %d", e.Index, m.output)
		}
		m.abandonExcept(e.Attempt)
		m.output++
		m.attaches = 0
	case recovery.Finish, recovery.Fail:
		if action.Kind == recovery.Finish {
			m.abandonExcept(e.Attempt)
		}
		m.finalAnswer(action)
	}
	return action
}

// abandonExcept notes that only the attempt with this ticket may still deliver.
func (m *model) abandonExcept(id uint64) {
	for _, a := range m.attempts {
		if a.id == id && a.abandoned {
			m.t.Fatalf("answer taken from the abandoned attempt %d", id)
		}
		a.abandoned = a.abandoned || a.id != id
	}
}

func (m *model) finalAnswer(action recovery.Action) {
	m.finalAnswers++
	m.canSend = false
	if action.Kind == recovery.Finish {
		if m.output != answerChunks {
			m.t.Fatalf("finished with %d chunks", m.output)
		}
		return
	}
	for _, a := range m.attempts {
		mayRun := a.stage == dialing || a.stage == queued || a.stage == inFlight && !a.tombstoned
		if action.Error.Execution == resultcode.NotRun && (a.ran || mayRun) {
			m.t.Fatalf("not_run, attempt %d is at %d, ran %t", a.id, a.stage, a.ran)
		}
	}
	if action.Error.Execution == resultcode.Ran && m.runs != 1 {
		m.t.Fatalf("ran, but %d runs", m.runs)
	}
	if action.Error.RetryAfter == 0 && action.Error.Execution != resultcode.Ran && action.Error.Code >= 2000 {
		m.t.Fatalf("no Retry-After: %v", action.Error)
	}
}

func (m *model) attach(a *modelAttempt, from int) {
	if m.attaches++; m.attaches > 6 {
		m.t.Fatal("attaches without end")
	}
	e := recovery.Event{Kind: recovery.AttachFailed, Attempt: a.id}
	switch {
	case rapid.Bool().Draw(m.t, "attach fails"):
	case a.agentLost || a.stage == inFlight || a.stage == ended:
		e = refused(a.id, resultcode.AttemptNotFound, resultcode.NotRun)
		e.Kind = recovery.AttachRefused
	default:
		ended := a.stage == finished && a.delivered == a.produced
		a.connected, a.delivered = true, from
		if ended && rapid.Bool().Draw(m.t, "late done of the old connection") {
			m.apply(event(recovery.Done, a.id))
		}
		return
	}
	a.connected = false
	m.apply(e)
}

// start begins to run an attempt unless the claim row forbids it: with an
// idempotency key, one attempt at most runs.
func (m *model) start(a *modelAttempt) {
	a.stage = running
	if m.options.HasKey && !m.options.Idempotent && m.runs > 0 {
		a.stage = ended
		if a.connected {
			m.apply(refused(a.id, resultcode.KeyInProgress, resultcode.Unknown))
		}
		return
	}
	a.ran, a.produced = true, a.from
	m.runs++
	if !m.options.Idempotent && m.runs > 1 {
		m.t.Fatal("a non-idempotent request ran twice")
	}
	if a.connected {
		m.apply(event(recovery.Started, a.id))
	}
}

func (m *model) answerRenounce(a *modelAttempt) {
	a.renouncePending = false
	e := recovery.Event{Kind: recovery.RenounceAnswered, Attempt: a.id, SameIncarnation: !a.agentLost}
	switch {
	case rapid.Bool().Draw(m.t, "answer lost"):
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
	m.apply(e)
}

// deliver reports the next frame, at times a repeated or a later chunk.
func (m *model) deliver(a *modelAttempt) {
	if a.delivered >= a.produced {
		if a.stage == finished {
			m.apply(event(recovery.Done, a.id))
		}
		return
	}
	i := a.delivered
	switch rapid.IntRange(0, 9).Draw(m.t, "order") {
	case 0:
		i = max(i-1, a.from)
	case 1:
		i = min(i+1, a.produced-1)
	}
	a.delivered = i + 1
	m.apply(recovery.Event{Kind: recovery.Chunk, Attempt: a.id, Index: uint32(i), Opaque: i == 2})
}

// advance moves an attempt to its next stage, or adds a chunk while it runs.
func (m *model) advance(a *modelAttempt) {
	switch a.stage {
	case dialing:
		a.stage = inFlight
	case inFlight:
		a.stage = queued
		if a.tombstoned || a.agentLost {
			a.stage = ended
		}
	case queued:
		m.start(a)
	case running:
		if a.produced++; a.produced == answerChunks {
			a.stage = finished
		}
	}
}

// injectFault makes an attempt or its stream fail.
func (m *model) injectFault(a *modelAttempt) {
	switch {
	case a.stage == dialing:
		a.stage, a.connected = ended, false
		m.apply(event(recovery.NotOpened, a.id))
	case a.stage == queued && rapid.Bool().Draw(m.t, "refuse"):
		a.stage = ended
		if a.connected {
			m.apply(refused(a.id, resultcode.QueueFull, resultcode.NotRun))
		}
	case a.stage > inFlight && rapid.IntRange(0, 2).Draw(m.t, "crash") == 0:
		a.stage, a.agentLost = ended, true
	case a.connected:
		kind := rapid.SampledFrom([]recovery.EventKind{recovery.Silent, recovery.Broken}).Draw(m.t, "stream")
		a.connected = kind == recovery.Silent
		m.apply(event(kind, a.id))
	}
}

func (m *model) send() {
	if !m.canSend && !m.machine.MayHedge() {
		m.t.Skip("nothing to send")
	}
	requested := m.canSend
	m.canSend = false
	if requested && len(m.attempts) > 0 && rapid.IntRange(0, 9).Draw(m.t, "budget") == 0 {
		m.apply(event(recovery.BudgetRefused, 0))
		return
	}
	a := &modelAttempt{id: uint64(len(m.attempts) + 1), from: m.from, delivered: m.from, connected: true}
	m.attempts = append(m.attempts, a)
	if m.apply(event(recovery.AttemptSent, a.id)).Kind != recovery.None {
		m.t.Fatal("a requested attempt was dropped")
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	any := func(*modelAttempt) bool { return true }
	return map[string]func(*rapid.T){
		"send":    func(*rapid.T) { m.send() },
		"advance": func(*rapid.T) { m.advance(m.drawAttempt(any)) },
		"fault":   func(*rapid.T) { m.injectFault(m.drawAttempt(any)) },
		"deliver": func(*rapid.T) {
			m.deliver(m.drawAttempt(func(a *modelAttempt) bool { return a.connected }))
		},
		"renounce": func(*rapid.T) {
			m.answerRenounce(m.drawAttempt(func(a *modelAttempt) bool { return a.renouncePending }))
		},
		"give up": func(*rapid.T) {
			if rapid.IntRange(0, 15).Draw(m.t, "now") == 0 {
				m.apply(event(rapid.SampledFrom([]recovery.EventKind{
					recovery.DeadlinePassed, recovery.CallerCancelled}).Draw(m.t, "kind"), 0))
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
		m := &model{t: t, machine: recovery.New(o), options: o, canSend: true}
		t.Repeat(m.actions())
		m.apply(event(recovery.DeadlinePassed, 0))
		if !m.machine.Ended() || m.finalAnswers != 1 {
			t.Fatalf("%d final answers", m.finalAnswers)
		}
	})
}
