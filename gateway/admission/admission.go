// Package admission decides which requests are admitted and which are refused with
// a Retry-After, from the time that the best endpoint is expected to need.
package admission

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

const (
	// NoEndpointRetryAfter is the Retry-After while a service has no endpoint. An
	// endpoint needs some seconds to restart, but another may be added sooner.
	NoEndpointRetryAfter = time.Second
	// minRetryAfter spaces out the retries of callers refused for lack of capacity.
	minRetryAfter = 200 * time.Millisecond
	// urgentTargetFactor and standardTargetFactor are the expected times to the first
	// event, as multiples of the target, up to which a stream is admitted. A stream
	// that would be later takes engine time from those that can still meet their target.
	urgentTargetFactor   = 1.5
	standardTargetFactor = 1.0
)

// Reasons for a refusal.
const (
	OutOfTime         = "out_of_time"
	OutOfReach        = "target_out_of_reach"
	MoreUrgentRefused = "more_urgent_refused"
)

// Request holds the properties of a request on which its admission depends.
type Request struct {
	Service string
	// Route is the name of the route.
	Route string
	// Account is the client account; empty for anonymous routes, which count as one.
	Account   string
	Streaming bool
	Priority  routing.Priority
	// Prompt is the number of prompt tokens.
	Prompt int
	// Target is the time to the first event of a stream, or to the whole response.
	Target time.Duration
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// True for each attempt of an admitted request after the first. Only the
	// deadline can refuse it.
	IsRetry bool
}

// Choice is the best endpoint for a request, with its expected times.
type Choice = placement.Choice

// Decision is the result of an admission check.
type Decision struct {
	Admitted bool
	// Reason is OutOfTime, OutOfReach or MoreUrgentRefused; empty if admitted.
	Reason     string
	RetryAfter time.Duration
	// Share is the fraction of such requests that is refused in favor of more urgent
	// ones, from 0; 1 or more means all.
	Share float64
	// Account holds the inputs of the decision by shares of client accounts.
	Account Share
}

// checkDeadline refuses a request whose first event or plain response is not expected
// before its deadline.
func checkDeadline(r Request, c Choice) Decision {
	if c.Expected >= r.TimeLeft {
		return Decision{Reason: OutOfTime, RetryAfter: max(c.Expected-r.TimeLeft, minRetryAfter)}
	}
	return Decision{Admitted: true}
}

// checkLatency decides from the deadline and the latency target of a request alone;
// c is its best endpoint.
func checkLatency(r Request, c Choice) Decision {
	if decision := checkDeadline(r, c); !decision.Admitted {
		return decision
	}
	// No request is refused because of its target while the engine speed is a default
	// or comes from too few observations of the gateways.
	if !r.Streaming || r.IsRetry || r.Target <= 0 || c.SpeedUnknown {
		return Decision{Admitted: true}
	}
	factor := standardTargetFactor
	if r.Priority.Rank == 0 {
		factor = urgentTargetFactor
	}
	limit := time.Duration(factor * float64(r.Target))
	// A prompt that is late even without other work in front of it is not refused
	// for its size.
	if c.Expected <= limit || c.Wait <= r.Target/4 {
		return Decision{Admitted: true}
	}
	return Decision{Reason: OutOfReach, RetryAfter: max(c.Expected-limit, minRetryAfter)}
}
