package recovery_test

import (
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
)

var now = time.Unix(1_000_000, 0)

func refused(id uint64, code resultcode.Code, x resultcode.Execution) recovery.Event {
	e := resultcode.New(code, "test").WithRetryAfter(time.Duration(id) * time.Second)
	return recovery.Event{Kind: recovery.Refused, Attempt: id, Error: e, Execution: x}
}

func event(kind recovery.EventKind, id uint64) recovery.Event {
	return recovery.Event{Kind: kind, Attempt: id}
}

func renounced(id uint64, x resultcode.Execution) recovery.Event {
	return recovery.Event{Kind: recovery.RenounceAnswered, Attempt: id, Execution: x, SameIncarnation: true}
}

type events []recovery.Event

// endingCase is a case of TestEndings: the events after the first attempt was
// sent, and the last action.
type endingCase struct {
	name   string
	o      recovery.Options
	events events
	kind   recovery.ActionKind
	code   resultcode.Code
	x      resultcode.Execution
}

func endings() []endingCase {
	chunk, tool := event(recovery.Chunk, 1), recovery.Event{Kind: recovery.Chunk, Attempt: 1, Opaque: true}
	broken, silent, done := event(recovery.Broken, 1), event(recovery.Silent, 1), event(recovery.Done, 1)
	sent2, deadline := event(recovery.AttemptSent, 2), event(recovery.DeadlinePassed, 0)
	budget := event(recovery.BudgetRefused, 0)
	notFound := refused(1, resultcode.AttemptNotFound, resultcode.NotRun)
	notFound.Kind = recovery.AttachRefused
	chat := recovery.Options{Idempotent: true, Text: true}
	charge := recovery.Options{HasKey: true}
	return []endingCase{
		{"whole answer", chat, events{chunk, done}, recovery.Finish, 0, ""},
		{"silent stream", chat, events{chunk, silent}, recovery.Attach, 0, ""},
		{"refusal goes elsewhere", chat, events{refused(1, resultcode.QueueFull, resultcode.NotRun)}, recovery.Send, 0, ""},
		{"text continues elsewhere", chat, events{chunk, broken, notFound}, recovery.Send, 0, ""},
		{"tool calls do not", chat, events{tool, broken, notFound}, recovery.Fail, resultcode.StreamInterrupted, resultcode.Unknown},
		{"service bytes do not", recovery.Options{Idempotent: true}, events{chunk, broken, notFound}, recovery.Fail,
			resultcode.StreamInterrupted, resultcode.Unknown},
		{"late chunk of a lost attempt", chat, events{broken, notFound, sent2, chunk}, recovery.Drop, 0, ""},
		{"late done of a lost attempt", chat, events{broken, notFound, sent2, done}, recovery.None, 0, ""},
		{"key goes elsewhere", charge, events{broken, notFound}, recovery.Send, 0, ""},
		{"no key asks first", recovery.Options{}, events{broken, notFound}, recovery.Wait, 0, ""},
		{"no key, never run, goes elsewhere", recovery.Options{}, events{broken, notFound, renounced(1, resultcode.NotRun)}, recovery.Send, 0, ""},
		{"no key, may have run, ends", recovery.Options{}, events{broken, notFound, event(recovery.RenounceFailed, 1)},
			recovery.Fail, resultcode.OutcomeUnknown, resultcode.Unknown},
		{"request at fault", charge, events{refused(1, resultcode.IdempotencyKeyReused, resultcode.NotRun)},
			recovery.Fail, resultcode.IdempotencyKeyReused, resultcode.NotRun},
		{"store down", charge, events{refused(1, resultcode.StoreUnavailable, resultcode.NotRun)},
			recovery.Fail, resultcode.StoreUnavailable, resultcode.NotRun},
		{"answer lost after the run", charge, events{refused(1, resultcode.AnswerNotRetained, resultcode.Ran)},
			recovery.Fail, resultcode.AnswerNotRetained, resultcode.Ran},
		{"second refused, first uncertain", charge, events{broken, notFound, sent2, event(recovery.RenounceFailed, 1),
			refused(2, resultcode.StoreUnavailable, resultcode.NotRun)}, recovery.Fail, resultcode.OutcomeUnknown, resultcode.Unknown},
		{"second refused, first never run", charge, events{broken, notFound, sent2, renounced(1, resultcode.NotRun),
			refused(2, resultcode.StoreUnavailable, resultcode.NotRun)}, recovery.Fail, resultcode.StoreUnavailable, resultcode.NotRun},
		{"not_run after a chunk", charge, events{chunk, refused(1, resultcode.EndpointFailed, resultcode.NotRun)},
			recovery.Fail, resultcode.StreamInterrupted, resultcode.Unknown},
		{"one ran, another may have", chat, events{broken, notFound, sent2, renounced(1, resultcode.Ran), deadline},
			recovery.Fail, resultcode.DeadlineExceeded, resultcode.Unknown},
		{"budget refused after a refusal", chat, events{refused(1, resultcode.QueueFull, resultcode.NotRun), budget},
			recovery.Fail, resultcode.QueueFull, resultcode.NotRun},
		{"budget refused after a failure", chat, events{event(recovery.NotOpened, 1), budget},
			recovery.Fail, resultcode.RetryBudgetSpent, resultcode.NotRun},
		{"deadline in the agent's queue", charge, events{deadline}, recovery.Fail, resultcode.DeadlineExceeded, resultcode.Unknown},
		{"cancelled before the connection opened", charge, events{event(recovery.NotOpened, 1), event(recovery.CallerCancelled, 0)},
			recovery.Fail, resultcode.CallerCancelled, resultcode.NotRun},
		{"hedge still open", chat, events{sent2, refused(1, resultcode.QueueFull, resultcode.NotRun)}, recovery.None, 0, ""},
		{"nothing after the end", chat, events{deadline, broken, done}, recovery.None, 0, ""},
	}
}

// Guards against a wrong action after each way in which an attempt can end:
// sending again what may have run, and ending what could be continued.
func TestEndings(t *testing.T) {
	for _, c := range endings() {
		m := recovery.New(c.o)
		last := m.Next(now, event(recovery.AttemptSent, 1))
		for _, e := range c.events {
			last = m.Next(now, e)
		}
		if last.Kind != c.kind {
			t.Errorf("%s: action %d, want %d", c.name, last.Kind, c.kind)
			continue
		}
		if c.kind == recovery.Fail && (last.Error.Code != c.code || last.Error.Execution != c.x) {
			t.Errorf("%s: %v %s", c.name, last.Error, last.Error.Execution)
		}
	}
}

// Guards against a lost Retry-After, which makes clients repeat at once, and
// against a further attempt that cannot end in time.
func TestRetryAfterAndTimeLeft(t *testing.T) {
	m := recovery.New(recovery.Options{Idempotent: true, Deadline: now.Add(time.Second)})
	m.Next(now, event(recovery.AttemptSent, 2))
	m.Next(now, refused(2, resultcode.QueueFull, resultcode.NotRun))
	m.Next(now, event(recovery.AttemptSent, 3))
	got := m.Next(now.Add(950*time.Millisecond), refused(3, resultcode.QueueFull, resultcode.NotRun))
	if got.Kind != recovery.Fail || got.Error.RetryAfter != 2*time.Second {
		t.Errorf("%+v", got)
	}
}
