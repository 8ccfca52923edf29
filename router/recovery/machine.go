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
	// awaitingRenounces: the final answer or a further attempt depends on answers
	// to Renounce.
	awaitingRenounces
	// ended: the final answer was given.
	ended
)

// attempt is what is known about one attempt.
type attempt struct {
	id uint64
	// live attempts may still deliver the answer.
	live bool
	// execution is what the evidence shows; Unknown until there is any.
	execution resultcode.Execution
	// delivered states that a chunk arrived, which proves that the attempt ran.
	delivered bool
	started   bool
	// gap states that a chunk is missing; a Done does not end the answer then.
	gap bool
	// attaches counts the attaches since the last chunk that was forwarded.
	attaches int
	renounce renounceState
}

type renounceState int

const (
	notRenounced renounceState = iota
	renouncePending
	renounceOver
)

// Machine is the state machine that decides how one request goes on after each
// event of its attempts. It is not safe for concurrent use.
type Machine struct {
	options  Options
	phase    phase
	attempts []attempt
	// winner is the ticket of the attempt whose chunks are forwarded; 0 for none.
	winner uint64
	// nextIndex is the index of the next chunk to forward.
	nextIndex uint32
	opaque    bool
	// unproven states that the model that wrote the forwarded text is not known, so that no
	// other attempt continues it.
	unproven bool
	// cause is why the last attempt failed.
	cause *resultcode.Error
	// retryAfter is the shortest time that a refusal named.
	retryAfter time.Duration
	// retryAfterRenounce states that answers to Renounce are awaited in order to
	// send another attempt; otherwise the request fails after them.
	retryAfterRenounce bool
}

// New returns a Machine that waits for the first AttemptSent.
func New(o Options) *Machine {
	return &Machine{options: o.withDefaults()}
}

// Ended reports whether the final answer was given.
func (m *Machine) Ended() bool { return m.phase == ended }

// NextIndex returns the index of the next chunk to forward.
func (m *Machine) NextIndex() uint32 { return m.nextIndex }

// MayHedge reports whether a second attempt may be sent while the first has
// delivered nothing. The caller reports it with AttemptSent.
func (m *Machine) MayHedge() bool {
	return m.options.Idempotent && m.phase == running && m.winner == 0 && m.nextIndex == 0 &&
		m.liveCount() == 1 && len(m.attempts) < m.options.MaxAttempts
}

// Next takes an event and returns what to do. After the final answer it
// returns None, or Drop for chunks and attempts.
func (m *Machine) Next(now time.Time, e Event) Action {
	if m.phase == ended {
		return m.ignored(e)
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
		return m.ignored(e)
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
		return m.ignored(e)
	}
	return m.streamEvent(now, a, e)
}

// ignored returns the action for an event that has no effect: Drop for a chunk
// or a new attempt, otherwise None.
func (m *Machine) ignored(e Event) Action {
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
	if e.Kind == BudgetRefused && !isCapacityRefusal(cause) {
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
	return m.failAfterRenounce(cause)
}

// isCapacityRefusal reports whether the last attempt was refused for lack of
// capacity (codes 2000 to 2999). The caller then gets that code: that the retry
// budget did not allow a redirect adds nothing to it.
func isCapacityRefusal(cause *resultcode.Error) bool {
	return cause != nil && cause.Code/1000 == 2
}

func (m *Machine) notOpened(now time.Time, a *attempt) Action {
	if a.started || a.attaches > 0 {
		return m.attemptLost(now, a, resultcode.New(resultcode.ConnectionSilent, "attach failed"), true)
	}
	a.execution = resultcode.NotRun
	return m.attemptLost(now, a, resultcode.New(resultcode.EndpointDown, "connection not opened"), true)
}

// refused handles a Refused frame, the answer to a Run or an Attach. From an
// agent that does not know the attempt, the answer to an Attach does not show
// whether the attempt ran: the Run may still be on its way, or an earlier
// incarnation of the agent may have run it.
func (m *Machine) refused(now time.Time, a *attempt, e Event) Action {
	cause := e.Error
	if cause == nil {
		cause = resultcode.New(resultcode.EndpointRefused, "refused without a reason")
	}
	evidenceCounts := cause.Code != resultcode.DuplicateAttempt
	if e.Kind == AttachRefused && !endsAttempt(cause.Code) {
		evidenceCounts = false
	}
	if evidenceCounts {
		a.recordExecution(e.Execution)
	}
	if cause.RetryAfter > 0 && (m.retryAfter == 0 || cause.RetryAfter < m.retryAfter) {
		m.retryAfter = cause.RetryAfter
	}
	if a.execution == resultcode.Ran && !m.options.Idempotent {
		return m.attemptLost(now, a, cause, false)
	}
	retry := retriable(cause.Code, m.options.Idempotent) || e.Kind == AttachRefused && !evidenceCounts
	return m.attemptLost(now, a, cause, retry)
}

// recordExecution records whether the attempt ran according to the agent. NotRun
// is ignored for an attempt that delivered a chunk, since it did run.
func (a *attempt) recordExecution(x resultcode.Execution) {
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
		a.recordExecution(e.Execution)
	}
	if m.phase != awaitingRenounces || m.renouncesPending() {
		return Action{}
	}
	if m.retryAfterRenounce {
		m.retryAfterRenounce = false
		return m.retry(now, m.cause)
	}
	return m.failAfterRenounce(m.cause)
}

// streamEvent handles the events of an attempt that may still deliver chunks.
func (m *Machine) streamEvent(now time.Time, a *attempt, e Event) Action {
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
		m.phase = ended
		return Action{Kind: Finish, Renounce: m.abandonExcept(nil)}
	}
	return Action{}
}

func (m *Machine) chunk(now time.Time, a *attempt, e Event) Action {
	a.delivered, a.started = true, true
	a.execution = resultcode.Unknown
	if e.Index < m.nextIndex {
		return Action{Kind: Drop}
	}
	if e.Index > m.nextIndex {
		if a.gap {
			return Action{Kind: Drop}
		}
		a.gap = true
		return m.attach(now, a, resultcode.New(resultcode.StreamInterrupted, "chunk missing"))
	}
	a.gap, a.attaches = false, 0
	m.winner = a.id
	m.nextIndex++
	m.opaque, m.unproven = m.opaque || e.Opaque, e.Unproven
	return Action{Kind: Forward, Attempt: a.id, Renounce: m.abandonExcept(a)}
}

// attach reads the stream of the attempt again on a new connection. After
// MaxAttaches without a new chunk the attempt counts as lost.
func (m *Machine) attach(now time.Time, a *attempt, cause *resultcode.Error) Action {
	if a.attaches >= m.options.MaxAttaches {
		return m.attemptLost(now, a, cause, true)
	}
	a.attaches++
	return Action{Kind: Attach, Attempt: a.id, From: m.nextIndex}
}

// attemptLost marks an attempt that can no longer deliver the answer. While
// another attempt is live it only renounces the lost one; otherwise it retries
// or fails the request.
func (m *Machine) attemptLost(now time.Time, a *attempt, cause *resultcode.Error, retry bool) Action {
	if !a.live {
		return Action{}
	}
	a.live = false
	if m.winner == a.id {
		m.winner = 0
	}
	if m.liveCount() > 0 {
		return Action{Renounce: m.renounceUnknown()}
	}
	m.cause = cause
	if !retry {
		return m.failAfterRenounce(cause)
	}
	return m.retry(now, cause)
}
