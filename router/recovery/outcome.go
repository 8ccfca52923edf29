package recovery

import (
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// retry sends another attempt if the number of attempts, the deadline and the
// chunks forwarded so far allow it; otherwise it fails the request. Without an
// idempotency key, a non-idempotent request is sent again only after every
// earlier attempt is known not to have run.
func (m *Machine) retry(now time.Time, cause *resultcode.Error) Action {
	if len(m.attempts) >= m.options.MaxAttempts || m.tooLateToRetry(now) || !m.canDeliverRest() {
		return m.failAfterRenounce(cause)
	}
	if !m.options.Idempotent && !m.options.HasKey && m.combinedExecution() != resultcode.NotRun {
		return m.collectEvidence(cause, true)
	}
	m.phase = sending
	action := Action{
		Kind:         Send,
		KeepEndpoint: cause.Code == resultcode.StaleCatalog || cause.Code == resultcode.WrongIncarnation,
		Renounce:     m.renounceUnknown(),
	}
	if m.nextIndex > 0 && !m.textContinuable() {
		m.nextIndex, m.opaque, m.unproven, action.Restart = 0, false, false, true
	}
	action.From = m.nextIndex
	return action
}

func (m *Machine) tooLateToRetry(now time.Time) bool {
	d := m.options.Deadline
	return !d.IsZero() && d.Sub(now) < m.options.MinTimeLeft
}

// canDeliverRest reports whether another attempt can deliver the rest of the
// answer. An idempotency key does not help once chunks reached the caller: the
// recorded answer need not have the same chunks.
func (m *Machine) canDeliverRest() bool {
	return m.nextIndex == 0 || m.options.Buffered || m.textContinuable()
}

// textContinuable reports whether another engine can continue the text so far. Where the model
// that wrote it is not known, it cannot: what another version writes does not go on with it.
func (m *Machine) textContinuable() bool {
	return m.options.Idempotent && m.options.Text && !m.opaque && !m.unproven
}

// failAfterRenounce fails the request. For a non-idempotent one it first
// renounces the attempts that may not have run. This costs one round trip, but
// with not_run the caller can safely send a charge again.
func (m *Machine) failAfterRenounce(cause *resultcode.Error) Action {
	if m.options.Idempotent {
		return m.fail(cause)
	}
	return m.collectEvidence(cause, false)
}

// collectEvidence renounces the attempts whose execution is unknown and waits
// for the answers, after which the request is retried or fails. It fails at once
// when there is no such attempt and no answer is awaited.
func (m *Machine) collectEvidence(cause *resultcode.Error, retryAfterRenounce bool) Action {
	toRenounce := m.renounceUnknown()
	if len(toRenounce) == 0 && !m.renouncesPending() {
		return m.fail(cause)
	}
	m.phase, m.cause, m.retryAfterRenounce = awaitingRenounces, cause, retryAfterRenounce
	return Action{Kind: Wait, Renounce: toRenounce}
}

// fail ends the request at once, with the execution result that is known now.
func (m *Machine) fail(cause *resultcode.Error) Action {
	err := *cause
	err.Execution = m.combinedExecution()
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
	m.phase = ended
	return Action{Kind: Fail, Error: &err, Renounce: m.abandonExcept(nil)}
}

// combinedExecution combines the executions of all attempts. Ran means that the
// request ran exactly once: for an idempotent request every other attempt must
// not have run; with an idempotency key the claim row ensures it.
func (m *Machine) combinedExecution() resultcode.Execution {
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

// finalCode replaces the code by StreamInterrupted when the caller has part of
// the answer, and by OutcomeUnknown when a non-idempotent request may have run,
// because these matter more to the caller than the cause of the last failure.
func (m *Machine) finalCode(code resultcode.Code, x resultcode.Execution) resultcode.Code {
	switch code {
	case resultcode.DeadlineExceeded, resultcode.CallerCancelled, resultcode.KeyInProgress,
		resultcode.AnswerNotRetained, resultcode.AnswerTooLarge, resultcode.StreamInterrupted:
		return code
	}
	if m.nextIndex > 0 && !m.options.Buffered {
		return resultcode.StreamInterrupted
	}
	if x == resultcode.Unknown && !m.options.Idempotent {
		return resultcode.OutcomeUnknown
	}
	return code
}

// retriable reports whether another agent may accept a request that one agent
// refused with this code.
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

// canSucceedLater reports whether the same request may succeed later, so that
// Retry-After makes sense. It cannot when the request itself is the cause.
func canSucceedLater(code resultcode.Code) bool {
	return code >= 2000 && code != resultcode.RequestCondemned && code != resultcode.AnswerNotRetained
}

// endsAttempt reports whether a refusal of an Attach with this code is the
// recorded end of the attempt. Other codes concern the Attach only.
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

func (m *Machine) renouncesPending() bool {
	for i := range m.attempts {
		if m.attempts[i].renounce == renouncePending && m.attempts[i].execution == resultcode.Unknown {
			return true
		}
	}
	return false
}

// abandonExcept marks every attempt but keep as no longer live and returns the
// attempts to renounce; keep may be nil.
func (m *Machine) abandonExcept(keep *attempt) []uint64 {
	for i := range m.attempts {
		if a := &m.attempts[i]; a != keep {
			a.live = false
		}
	}
	return m.renounceUnknown()
}

// renounceUnknown returns the attempts that are no longer live and may still
// run, and marks them as renounced. It leaves out those that delivered a chunk,
// which are known to have started.
func (m *Machine) renounceUnknown() []uint64 {
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
