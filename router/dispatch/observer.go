package dispatch

import (
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
)

// AttemptKind is why an attempt was sent.
type AttemptKind string

// Kinds of attempts.
const (
	// FirstAttempt is the first one of a request.
	FirstAttempt AttemptKind = "first"
	// RetryAttempt follows a failure.
	RetryAttempt AttemptKind = "retry"
	// RedirectAttempt follows a refusal that proves that nothing ran.
	RedirectAttempt AttemptKind = "redirect"
	// HedgeAttempt runs beside an attempt that is late.
	HedgeAttempt AttemptKind = "hedge"
	// ResumeAttempt continues a broken stream at another endpoint.
	ResumeAttempt AttemptKind = "resume"
)

// RenounceFailed is the outcome of a renounce call that was not answered. The
// other outcomes are the verdicts of package resultcode.
const RenounceFailed = "failed"

// Observer is told of attempts, for metrics. Its methods must not block and are
// called by many goroutines.
type Observer interface {
	// AttemptEnded is called once for each attempt; the code is 0 for a whole
	// answer and resultcode.AttemptRenounced for one that the router gave up.
	AttemptEnded(kind AttemptKind, code resultcode.Code)
	// Attached is called when an attempt was read again on a new connection, or
	// could not be.
	Attached(ok bool)
	// Silent is called for a stream without a frame for SilenceTimeout.
	Silent()
	Renounced(outcome string)
}

type noObserver struct{}

func (noObserver) AttemptEnded(AttemptKind, resultcode.Code) {}
func (noObserver) Attached(bool)                             {}
func (noObserver) Silent()                                   {}
func (noObserver) Renounced(string)                          {}

// kind names why the next attempt is sent.
func (f *flight) kind(a recovery.Action) AttemptKind {
	switch {
	case len(f.calls) == 0:
		return FirstAttempt
	case a.From > 0:
		return ResumeAttempt
	case f.redirect:
		return RedirectAttempt
	}
	return RetryAttempt
}

// attemptEnded reports the end of an attempt once.
func (f *flight) attemptEnded(c *call, code resultcode.Code) {
	if c.reported {
		return
	}
	c.reported = true
	f.opts.Observer.AttemptEnded(c.kind, code)
}

// attachAnswered reports the first frame or the end of an attached stream.
func (f *flight) attachAnswered(s *stream, ok bool) {
	if !s.attached || s.answered {
		return
	}
	s.answered = true
	f.opts.Observer.Attached(ok)
}

// endCode is the result code of an attempt whose stream ended without a final
// frame.
func endCode(end streamEnd) resultcode.Code {
	switch end {
	case endNotOpened:
		return resultcode.EndpointDown
	case endSilent:
		return resultcode.ConnectionSilent
	}
	return resultcode.StreamInterrupted
}
