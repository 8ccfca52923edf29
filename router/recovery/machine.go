package recovery

import (
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

type phase int

const (
	// sending: the caller is to report AttemptSent, BudgetRefused or NoEndpoint.
	sending phase = iota
	running
	// concluding: the verdict or a further attempt depends on answers to Renounce.
	concluding
	over
)

// attempt is what is known about one attempt.
type attempt struct {
	id uint64
	// live attempts may still deliver the answer.
	live bool
	// execution is the evidence; Unknown until there is any.
	execution resultcode.Execution
	// delivered states that a chunk arrived, which proves that it was running.
	delivered bool
	started   bool
	// gap states that a chunk is missing; a Done is then not believed.
	gap      bool
	attaches int
	renounce renounceState
}

type renounceState int

const (
	notRenounced renounceState = iota
	renouncePending
	renounceOver
)

// Machine decides for one request. It is not safe for concurrent use.
type Machine struct {
	options  Options
	phase    phase
	attempts []attempt
	// winner is the ticket of the attempt whose chunks are forwarded.
	winner uint64
	// next is the index of the next chunk to forward.
	next     uint32
	toolCall bool
	// cause is why the last attempt was lost.
	cause *resultcode.Error
	// retryAfter is the shortest time that a refusal named.
	retryAfter time.Duration
	// resend states that evidence is collected in order to send again.
	resend bool
}

// New returns a Machine that waits for the first AttemptSent.
func New(o Options) *Machine {
	return &Machine{options: o.withDefaults()}
}

// Over reports whether the final answer was given.
func (m *Machine) Over() bool { return m.phase == over }

// NextIndex returns the index of the next chunk to forward.
func (m *Machine) NextIndex() uint32 { return m.next }

// MayHedge reports whether a second attempt may be sent while the first has
// delivered nothing. The caller reports it with AttemptSent.
func (m *Machine) MayHedge() bool {
	return m.options.Idempotent && m.phase == running && m.winner == 0 && m.next == 0 &&
		m.liveCount() == 1 && len(m.attempts) < m.options.MaxAttempts
}

// Next takes an event and returns what to do. After the final answer it
// returns None, or Drop for chunks and attempts.
func (m *Machine) Next(now time.Time, e Event) Action {
	if m.phase == over {
		return m.afterEnd(e)
	}
	switch e.Kind {
	case AttemptSent:
		return m.sent(e)
	case BudgetRefused, NoEndpoint:
		return m.notSent(e)
	case CallerCancelled:
		return m.fail(resultcode.New(resultcode.CallerCancelled, "caller closed the connection"))
	case DeadlinePassed:
		return m.fail(resultcode.New(resultcode.DeadlineExceeded, "answer not complete in time"))
	}
	a := m.find(e.Attempt)
	if a == nil {
		return m.afterEnd(e)
	}
	switch e.Kind {
	case Refused, AttachRefused:
		return m.refused(now, a, e)
	case RenounceAnswered, RenounceFailed:
		return m.renounced(now, a, e)
	case NotOpened:
		return m.notOpened(now, a)
	}
	if !a.live {
		return m.afterEnd(e)
	}
	return m.stream(now, a, e)
}

// afterEnd answers an event that can change nothing any more.
func (m *Machine) afterEnd(e Event) Action {
	if e.Kind == Chunk || e.Kind == AttemptSent {
		return Action{Kind: Drop}
	}
	return Action{}
}

func (m *Machine) sent(e Event) Action {
	if m.find(e.Attempt) != nil || m.phase != sending && !m.MayHedge() {
		return Action{Kind: Drop}
	}
	m.attempts = append(m.attempts, attempt{id: e.Attempt, live: true, execution: resultcode.Unknown})
	m.phase = running
	return Action{}
}

// notSent ends the request when the attempt of a Send action is not possible.
func (m *Machine) notSent(e Event) Action {
	if m.phase != sending {
		return Action{}
	}
	cause := m.cause
	if e.Kind == BudgetRefused && !isRefusal(cause) {
		cause = resultcode.New(resultcode.RetryBudgetSpent, "no further attempt")
		if m.cause != nil {
			cause.Err = m.cause
		}
	}
	if cause == nil {
		cause = e.Error
	}
	if cause == nil {
		cause = resultcode.New(resultcode.NoEndpoint, "no endpoint accepts the request")
	}
	return m.conclude(cause)
}

// isRefusal reports whether the last attempt was refused for lack of capacity. The
// caller is then told that reason: a refused redirect adds nothing to it.
func isRefusal(cause *resultcode.Error) bool {
	return cause != nil && cause.Code/1000 == 2
}

func (m *Machine) notOpened(now time.Time, a *attempt) Action {
	if a.started || a.attaches > 0 {
		return m.lost(now, a, resultcode.New(resultcode.ConnectionSilent, "attach failed"), true)
	}
	a.execution = resultcode.NotRun
	return m.lost(now, a, resultcode.New(resultcode.EndpointDown, "connection not opened"), true)
}

// refused takes the agent's word on the attempt. The answer to an Attach by an
// agent that does not know the attempt is no evidence: the Run may still be on
// its way, or an earlier incarnation may have run it.
func (m *Machine) refused(now time.Time, a *attempt, e Event) Action {
	cause := e.Error
	if cause == nil {
		cause = resultcode.New(resultcode.EndpointRefused, "refused without a reason")
	}
	believed := cause.Code != resultcode.DuplicateAttempt
	if e.Kind == AttachRefused && !endsAttempt(cause.Code) {
		believed = false
	}
	if believed {
		a.learn(e.Execution)
	}
	if cause.RetryAfter > 0 && (m.retryAfter == 0 || cause.RetryAfter < m.retryAfter) {
		m.retryAfter = cause.RetryAfter
	}
	if a.execution == resultcode.Ran && !m.options.Idempotent {
		return m.lost(now, a, cause, false)
	}
	retry := retriable(cause.Code, m.options.Idempotent) || e.Kind == AttachRefused && !believed
	return m.lost(now, a, cause, retry)
}

// learn records an agent's word about the attempt. An attempt that delivered a
// chunk cannot have been never run.
func (a *attempt) learn(x resultcode.Execution) {
	if x == resultcode.Ran || x == resultcode.NotRun && !a.delivered {
		a.execution = x
	}
}

func (m *Machine) renounced(now time.Time, a *attempt, e Event) Action {
	if a.renounce != renouncePending {
		return Action{}
	}
	a.renounce = renounceOver
	if e.Kind == RenounceAnswered && e.SameIncarnation {
		a.learn(e.Execution)
	}
	if m.phase != concluding || m.pending() {
		return Action{}
	}
	if m.resend {
		m.resend = false
		return m.retry(now, m.cause)
	}
	return m.conclude(m.cause)
}

// stream handles the events of an attempt that may still deliver.
func (m *Machine) stream(now time.Time, a *attempt, e Event) Action {
	switch e.Kind {
	case Started:
		a.started = true
		return Action{}
	case Chunk:
		return m.chunk(now, a, e)
	case Silent:
		return m.attach(now, a, resultcode.New(resultcode.ConnectionSilent, "no frame from the agent"))
	case Broken, AttachFailed:
		return m.attach(now, a, resultcode.New(resultcode.EndpointFailed, "stream broke"))
	case Done:
		if a.gap {
			return m.attach(now, a, resultcode.New(resultcode.StreamInterrupted, "chunk missing"))
		}
		a.execution = resultcode.Ran
		a.live = false
		m.phase = over
		return Action{Kind: Finish, Renounce: m.abandon(nil)}
	}
	return Action{}
}

func (m *Machine) chunk(now time.Time, a *attempt, e Event) Action {
	a.delivered, a.started = true, true
	a.execution = resultcode.Unknown
	if e.Index < m.next {
		return Action{Kind: Drop}
	}
	if e.Index > m.next {
		if a.gap {
			return Action{Kind: Drop}
		}
		a.gap = true
		return m.attach(now, a, resultcode.New(resultcode.StreamInterrupted, "chunk missing"))
	}
	a.gap, a.attaches = false, 0
	m.winner = a.id
	m.next++
	m.toolCall = m.toolCall || e.ToolCall
	return Action{Kind: Forward, Attempt: a.id, Renounce: m.abandon(a)}
}

// attach reads the stream of the attempt again, a bounded number of times.
func (m *Machine) attach(now time.Time, a *attempt, cause *resultcode.Error) Action {
	if a.attaches >= m.options.MaxAttaches {
		return m.lost(now, a, cause, true)
	}
	a.attaches++
	return Action{Kind: Attach, Attempt: a.id, From: m.next}
}

// lost takes an attempt out and decides how to go on.
func (m *Machine) lost(now time.Time, a *attempt, cause *resultcode.Error, retry bool) Action {
	if !a.live {
		return Action{}
	}
	a.live = false
	if m.winner == a.id {
		m.winner = 0
	}
	if m.liveCount() > 0 {
		return Action{Renounce: m.renounceUncertain()}
	}
	m.cause = cause
	if !retry {
		return m.conclude(cause)
	}
	return m.retry(now, cause)
}
