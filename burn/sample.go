// Package burn reports how well requests meet the latency targets of their
// profiles. A Recorder in each router counts requests in time steps over six
// hours. The Snapshots of all routers are merged into a Report: attainment, error
// budget, burn rate, refusals, latency by phase and the worst endpoints. The
// package reads no clock; callers pass the time.
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
	// Target is the latency target of the profile; without one the request does not
	// count towards attainment.
	Target catalog.Target
	// Code is 0 for a request that succeeded.
	Code      resultcode.Code
	Execution resultcode.Execution
	// Started is true when the request left the queue for an endpoint.
	Started bool
	// Queue is the time from receipt to the start; it is recorded when Started.
	Queue time.Duration
	// FirstToken is the time from receipt to the first token or to the header of a
	// service's response; zero means that there was none.
	FirstToken time.Duration
	// Whole is the time from receipt to the end of the response.
	Whole time.Duration
	// InterToken holds the inter-token times; nil means none.
	InterToken *InterTokenTimes
	// Endpoint is the endpoint of the last attempt; empty means none.
	Endpoint string
}

// outcome states how a request counts towards attainment.
type outcome int

const (
	// excluded requests have no target or failed because of the caller.
	excluded outcome = iota
	met
	missed
)

// targetOutcome classifies the request. Codes 1000 to 1999 and a cancellation are
// caused by the caller and do not count; any other failure or refusal of a request
// with a target is a miss.
func (s *Sample) targetOutcome() outcome {
	if s.Target == (catalog.Target{}) || causedByCaller(s.Code) {
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
	return s.InterToken.Met()
}

// TargetMet reports whether the request met its target. counts is false for a
// request that does not count towards attainment.
func (s *Sample) TargetMet() (isMet, counts bool) {
	o := s.targetOutcome()
	return o == met, o != excluded
}

func exceeds(d time.Duration, limitMS int) bool {
	return limitMS > 0 && d > time.Duration(limitMS)*time.Millisecond
}

func causedByCaller(c resultcode.Code) bool {
	return c/1000 == 1 || c == resultcode.CallerCancelled
}

func causedByEndpoint(c resultcode.Code) bool {
	return c/1000 == 3 && c != resultcode.CallerCancelled
}
