// Package outcome decides what follows an attempt at an endpoint: deliver its
// response, try another endpoint, or respond with an error that states what is
// known. The response states that the request did not run only if no endpoint can
// have run it.
package outcome

import "net/http"

// Kind is how one attempt ended, by whether the request may have run.
type Kind int

const (
	// NotSent: no byte reached an endpoint.
	NotSent Kind = iota
	// NotRun: the endpoint stated that it did not run the request.
	NotRun
	// Unknown: the request was sent and no valid response came back.
	Unknown
	// Failed: the endpoint responded with a 5xx status of its own.
	Failed
	// Succeeded: the endpoint responded with success.
	Succeeded
)

// Action is what the gateway does next.
type Action int

const (
	// Deliver passes the endpoint's response on unchanged.
	Deliver Action = iota
	// Retry sends the request to another endpoint.
	Retry
	// Refuse responds with 503: the request has not run and will not run.
	Refuse
	// ReportUnknown responds with 502, or 504 after the deadline: the request may have run.
	ReportUnknown
)

// State is what is known about a request after an attempt.
type State struct {
	// Repeatable states that the request may be sent again even if it may have run.
	Repeatable bool
	// MayHaveRun states that an attempt so far ended as Unknown or Failed.
	MayHaveRun bool
	// SentAttempts is the number of endpoints that the request was sent to.
	SentAttempts int
	// MaxAttempts bounds SentAttempts.
	MaxAttempts int
	// UnsentAttempts is the number of attempts that reached no endpoint.
	UnsentAttempts int
	// MaxUnsentAttempts bounds UnsentAttempts.
	MaxUnsentAttempts int
	// RetryAllowed states that another attempt can still succeed in time and the retry
	// budget, where it applies, has a token for it.
	RetryAllowed bool
}

// Decide returns the action after an attempt. Retry also needs a token of the retry
// budget, unless nothing was sent. If there is no token, the caller calls Decide
// again with RetryAllowed set to false.
func Decide(k Kind, s State) Action {
	if k == Succeeded {
		return Deliver
	}
	notRun := k == NotSent || k == NotRun
	if s.RetryAllowed && (s.Repeatable || notRun && !s.MayHaveRun) && s.attemptsRemain(k) {
		return Retry
	}
	switch {
	case k == Failed:
		return Deliver
	case notRun && !s.MayHaveRun:
		return Refuse
	}
	return ReportUnknown
}

// attemptsRemain reports whether the bounds of attempts allow another one.
func (s State) attemptsRemain(k Kind) bool {
	if k == NotSent && s.UnsentAttempts >= s.MaxUnsentAttempts {
		return false
	}
	return s.SentAttempts < s.MaxAttempts
}

// ImpliesNotRun reports whether a status tells a caller that its request has not
// run.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
