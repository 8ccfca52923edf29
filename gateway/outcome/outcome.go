// Package outcome decides what follows an attempt at an endpoint: deliver its
// answer, try another endpoint, or tell the caller what is known. A refusal that
// promises "not run" is given only when no endpoint can have run the request.
package outcome

import "net/http"

// Kind is what one attempt showed.
type Kind int

const (
	// NotSent: no byte reached an endpoint.
	NotSent Kind = iota
	// NotRun: the endpoint stated that it did not run the request.
	NotRun
	// Unknown: the request was sent and no valid answer came back.
	Unknown
	// Failed: the endpoint answered with a failure of its own.
	Failed
	// Succeeded: the endpoint answered with success.
	Succeeded
)

// Action is what the gateway does next.
type Action int

const (
	// Deliver passes the endpoint's answer on unchanged.
	Deliver Action = iota
	// Retry sends the request to another endpoint.
	Retry
	// Refuse answers 503: the request has not run and will not run.
	Refuse
	// GiveUp answers 502: the request may have run.
	GiveUp
)

// State is what is known of a request after an attempt.
type State struct {
	// Repeatable requests may be sent again although they may have run.
	Repeatable bool
	// MayHaveRun states that an earlier attempt ended as Unknown or Failed.
	MayHaveRun bool
	// Sent is the number of endpoints that the request was sent to.
	Sent int
	// MaxAttempts bounds Sent.
	MaxAttempts int
	// Unsent is the number of attempts that reached no endpoint.
	Unsent int
	// MaxUnsent bounds Unsent.
	MaxUnsent int
	// TimeLeft states that another attempt can still succeed in time.
	TimeLeft bool
}

// Decide returns the action after an attempt. Retry also needs a token of the
// retry budget, unless nothing was sent; without one the caller asks again with
// TimeLeft set to false.
func Decide(k Kind, s State) Action {
	if k == Succeeded {
		return Deliver
	}
	safe := k == NotSent || k == NotRun
	if s.TimeLeft && (s.Repeatable || safe && !s.MayHaveRun) && s.room(k) {
		return Retry
	}
	switch {
	case k == Failed:
		return Deliver
	case safe && !s.MayHaveRun:
		return Refuse
	}
	return GiveUp
}

func (s State) room(k Kind) bool {
	if k == NotSent && s.Unsent >= s.MaxUnsent {
		return false
	}
	return s.Sent < s.MaxAttempts
}

// PromisesNotRun reports whether a status tells a caller that the request has
// not run.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
