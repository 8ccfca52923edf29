// Package burn reports how well the service meets its targets. A Recorder in
// each router counts requests in steps over six hours; its Snapshots merge
// across routers into a Report: attainment, error budget, burn rate, refusals,
// where the time went and the worst endpoints. Time is a parameter.
package burn

import (
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Sample is one request that ended.
type Sample struct {
	Profile string
	Class   string
	Tier    int
	// Target is the profile's target; without one the request does not count
	// towards attainment.
	Target catalog.Target
	// Code is 0 for a request that succeeded.
	Code      resultcode.Code
	Execution resultcode.Execution
	// Started is true when the request left the queue for an endpoint.
	Started bool
	// Queue is the time from receipt to the start; it counts when Started.
	Queue time.Duration
	// FirstToken is the time from receipt to the first token or to the head of a
	// service's response; zero means none.
	FirstToken time.Duration
	// Whole is the time from receipt to the end.
	Whole time.Duration
	// Tokens holds the times between tokens; nil means none.
	Tokens *Tokens
	// Endpoint is the last endpoint that the request was sent to; empty means
	// none.
	Endpoint string
}

// outcome says how a request counts towards attainment.
type outcome int

const (
	// excluded requests have no target, or failed by the caller's own doing.
	excluded outcome = iota
	met
	missed
)

// outcome applies the rules: codes 1000 to 1999 and a cancellation are the
// caller's doing and do not count; any other failure or refusal of a request
// with a target is a miss.
func (s *Sample) outcome() outcome {
	if s.Target == (catalog.Target{}) || callerFault(s.Code) {
		return excluded
	}
	if s.Code != 0 || !s.latencyMet() {
		return missed
	}
	return met
}

func (s *Sample) latencyMet() bool {
	if exceeds(s.FirstToken, s.Target.FirstTokenMS) || exceeds(s.Whole, s.Target.WholeMS) {
		return false
	}
	return s.Tokens.Met()
}

// TargetMet reports whether the request met its target. The second result is
// false for a request that does not count.
func (s *Sample) TargetMet() (isMet, counts bool) {
	o := s.outcome()
	return o == met, o != excluded
}

func exceeds(d time.Duration, limitMS int) bool {
	return limitMS > 0 && d > time.Duration(limitMS)*time.Millisecond
}

func callerFault(c resultcode.Code) bool {
	return c/1000 == 1 || c == resultcode.CallerCancelled
}

func endpointFault(c resultcode.Code) bool {
	return c/1000 == 3 && c != resultcode.CallerCancelled
}
