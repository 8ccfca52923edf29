package recovery

import (
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// retry sends another attempt if the rules allow it. Otherwise it concludes.
func (m *Machine) retry(now time.Time, cause *resultcode.Error) Action {
	if len(m.attempts) >= m.options.MaxAttempts || m.late(now) || !m.canContinue() {
		return m.conclude(cause)
	}
	if !m.options.Idempotent && !m.options.HasKey && m.verdict() != resultcode.NotRun {
		return m.collect(cause, true)
	}
	m.phase = sending
	action := Action{
		Kind:         Send,
		KeepEndpoint: cause.Code == resultcode.StaleCatalog || cause.Code == resultcode.WrongIncarnation,
		Renounce:     m.renounceUncertain(),
	}
	if m.next > 0 && !m.continuable() {
		m.next, m.toolCall, action.Restart = 0, false, true
	}
	action.From = m.next
	return action
}

func (m *Machine) late(now time.Time) bool {
	d := m.options.Deadline
	return !d.IsZero() && d.Sub(now) < m.options.MinTimeLeft
}

// canContinue reports whether another attempt can deliver the rest of the
// answer. A key does not help once chunks reached the caller: the recorded
// answer need not have the same chunks.
func (m *Machine) canContinue() bool {
	return m.next == 0 || m.options.Buffered || m.continuable()
}

// continuable reports whether an engine can continue the text so far.
func (m *Machine) continuable() bool {
	return m.options.Idempotent && m.options.Text && !m.toolCall
}

// conclude fails the request. A non-idempotent one first asks the agents that
// may not have run it, which costs one round trip, because not_run lets the
// caller send a charge again without doubt.
func (m *Machine) conclude(cause *resultcode.Error) Action {
	if m.options.Idempotent {
		return m.fail(cause)
	}
	return m.collect(cause, false)
}

// collect asks for the evidence that is missing. With none to be had it fails.
func (m *Machine) collect(cause *resultcode.Error, resend bool) Action {
	ask := m.renounceUncertain()
	if len(ask) == 0 && !m.pending() {
		return m.fail(cause)
	}
	m.phase, m.cause, m.resend = concluding, cause, resend
	return Action{Kind: Wait, Renounce: ask}
}

// fail ends the request at once with what is known now.
func (m *Machine) fail(cause *resultcode.Error) Action {
	err := *cause
	err.Execution = m.verdict()
	err.Code = m.finalCode(err.Code, err.Execution)
	if err.RetryAfter == 0 || retriable(cause.Code, m.options.Idempotent) && m.retryAfter > 0 {
		err.RetryAfter = m.retryAfter
	}
	if err.RetryAfter == 0 && canSucceedLater(err.Code) {
		err.RetryAfter = m.options.RetryAfter
	}
	if err.Execution == resultcode.Ran {
		err.RetryAfter = 0
	}
	m.phase = over
	return Action{Kind: Fail, Error: &err, Renounce: m.abandon(nil)}
}

// verdict combines the evidence of all attempts. Ran means once: with an
// idempotent request every other attempt must not have run, with a key the
// claim row sees to that.
func (m *Machine) verdict() resultcode.Execution {
	var ran, unknown int
	for i := range m.attempts {
		switch m.attempts[i].execution {
		case resultcode.Ran:
			ran++
		case resultcode.Unknown:
			unknown++
		}
	}
	switch {
	case ran == 0 && unknown == 0:
		return resultcode.NotRun
	case ran > 0 && !m.options.Idempotent:
		return resultcode.Ran
	case ran == 1 && unknown == 0:
		return resultcode.Ran
	default:
		return resultcode.Unknown
	}
}

// finalCode replaces a code that would not tell the caller what matters.
func (m *Machine) finalCode(code resultcode.Code, x resultcode.Execution) resultcode.Code {
	switch code {
	case resultcode.DeadlineExceeded, resultcode.CallerCancelled, resultcode.KeyInProgress,
		resultcode.AnswerNotRetained, resultcode.AnswerTooLarge, resultcode.StreamInterrupted:
		return code
	}
	if m.next > 0 && !m.options.Buffered {
		return resultcode.StreamInterrupted
	}
	if x == resultcode.Unknown && !m.options.Idempotent {
		return resultcode.OutcomeUnknown
	}
	return code
}

// retriable reports whether another agent may accept what one refused.
func retriable(code resultcode.Code, idempotent bool) bool {
	switch code {
	case resultcode.UnknownModel, resultcode.UnknownService:
		return true
	case resultcode.DeadlineInQueue, resultcode.RequestCondemned, resultcode.KeyInProgress,
		resultcode.DeadlineExceeded, resultcode.AnswerNotRetained, resultcode.AnswerTooLarge,
		resultcode.CallerCancelled, resultcode.StoreUnavailable, resultcode.InvalidCatalog:
		return false
	case resultcode.OutcomeUnknown:
		return idempotent
	}
	return code >= 2000
}

// canSucceedLater reports whether Retry-After makes sense: not for a request
// that is itself at fault.
func canSucceedLater(code resultcode.Code) bool {
	return code >= 2000 && code != resultcode.RequestCondemned && code != resultcode.AnswerNotRetained
}

// endsAttempt reports whether a refusal of an Attach with this code is the
// recorded end of the attempt. Other codes speak about the Attach only.
func endsAttempt(code resultcode.Code) bool {
	switch code {
	case resultcode.IdempotencyKeyReused,
		resultcode.QueueFull, resultcode.TargetOutOfReach, resultcode.Displaced,
		resultcode.AccountLimit, resultcode.DeadlineInQueue, resultcode.QueueDelayTooHigh,
		resultcode.ConcurrencyLimitHeld, resultcode.EndpointFailed, resultcode.OutcomeUnknown,
		resultcode.RequestCondemned, resultcode.EndpointRefused, resultcode.KeyInProgress,
		resultcode.DeadlineExceeded, resultcode.EndpointDown, resultcode.AnswerNotRetained,
		resultcode.AnswerTooLarge, resultcode.EndpointOverloaded, resultcode.StoreUnavailable,
		resultcode.AttemptRenounced:
		return true
	}
	return false
}

func (m *Machine) find(id uint64) *attempt {
	for i := range m.attempts {
		if m.attempts[i].id == id {
			return &m.attempts[i]
		}
	}
	return nil
}

func (m *Machine) liveCount() int {
	n := 0
	for i := range m.attempts {
		if m.attempts[i].live {
			n++
		}
	}
	return n
}

func (m *Machine) pending() bool {
	for i := range m.attempts {
		if m.attempts[i].renounce == renouncePending && m.attempts[i].execution == resultcode.Unknown {
			return true
		}
	}
	return false
}

// abandon takes every attempt but keep out and returns the ones to renounce.
func (m *Machine) abandon(keep *attempt) []uint64 {
	for i := range m.attempts {
		if a := &m.attempts[i]; a != keep {
			a.live = false
		}
	}
	return m.renounceUncertain()
}

// renounceUncertain returns the attempts that are not live and may still run.
func (m *Machine) renounceUncertain() []uint64 {
	var ids []uint64
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.live || a.delivered || a.execution != resultcode.Unknown || a.renounce != notRenounced {
			continue
		}
		a.renounce = renouncePending
		ids = append(ids, a.id)
	}
	return ids
}
