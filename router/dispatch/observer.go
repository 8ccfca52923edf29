package dispatch

import (
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
)

// AttemptKind is the reason why an attempt was sent.
type AttemptKind string

// Kinds of attempts.
const (
	// FirstAttempt is the first attempt of a request.
	FirstAttempt AttemptKind = "first"
	// RetryAttempt follows a failure.
	RetryAttempt AttemptKind = "retry"
	// RedirectAttempt follows a refusal that proves that the request did not run.
	RedirectAttempt AttemptKind = "redirect"
	// HedgeAttempt runs in parallel with an attempt whose first token is late.
	HedgeAttempt AttemptKind = "hedge"
	// ResumeAttempt continues a broken stream at another endpoint.
	ResumeAttempt AttemptKind = "resume"
)

// RenounceFailed is the outcome of a renounce call that was not answered. The
// other outcomes are the values of resultcode.Execution.
const RenounceFailed = "failed"

// Observer is notified of attempts, for metrics. Its methods must not block and are
// called concurrently.
type Observer interface {
	// AttemptEnded is called once for each attempt. The code is 0 for a complete answer
	// and resultcode.AttemptRenounced for an attempt that the router abandoned.
	AttemptEnded(kind AttemptKind, code resultcode.Code)
	// Attached is called when reading an attempt on a new connection succeeded or
	// failed.
	Attached(ok bool)
	// Silent is called for a stream without a frame for SilenceTimeout.
	Silent()
	// Renounced is called for each renounce call, with a value of
	// resultcode.Execution or RenounceFailed.
	Renounced(outcome string)
}

type noObserver struct{}

func (noObserver) AttemptEnded(AttemptKind, resultcode.Code) {}
func (noObserver) Attached(bool)                             {}
func (noObserver) Silent()                                   {}
func (noObserver) Renounced(string)                          {}

// attemptKind returns the reason why the next attempt is sent.
func (f *inFlightRequest) attemptKind(a recovery.Action) AttemptKind {
	switch {
	case len(f.attempts) == 0:
		return FirstAttempt
	case a.From > 0:
		return ResumeAttempt
	case f.lastNotRun:
		return RedirectAttempt
	}
	return RetryAttempt
}

// reportAttemptEnd notifies the observer of the end of an attempt, once.
func (f *inFlightRequest) reportAttemptEnd(att *attempt, code resultcode.Code) {
	if att.reported {
		return
	}
	att.reported = true
	f.opts.Observer.AttemptEnded(att.kind, code)
}

// reportAttach notifies the observer of the first frame or the end of an attached
// stream, whichever comes first.
func (f *inFlightRequest) reportAttach(s *stream, ok bool) {
	if !s.attached || s.attachReported {
		return
	}
	s.attachReported = true
	f.opts.Observer.Attached(ok)
}

// streamEndCode is the result code of an attempt whose stream ended without a final
// frame.
func streamEndCode(end streamEnd) resultcode.Code {
	switch end {
	case endNotOpened:
		return resultcode.EndpointDown
	case endSilent:
		return resultcode.ConnectionSilent
	}
	return resultcode.StreamInterrupted
}
