// Package admission decides who is served and who is told to come back, from the
// time that the best endpoint would need.
package admission

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

const (
	// NoEndpointRetryAfter is the advice while a service has no endpoint; one
	// that restarts needs some seconds, and another may be added sooner.
	NoEndpointRetryAfter = time.Second
	// minRetryAfter spaces out callers that are refused for lack of room.
	minRetryAfter = 200 * time.Millisecond
	// urgentSlack and standardSlack are the expected times to the first event,
	// relative to the target, up to which a stream is admitted. Work that would
	// be later takes the engines' time from work that can still be in time.
	urgentSlack   = 1.5
	standardSlack = 1.0
)

// Reasons of refusals.
const (
	OutOfTime         = "out_of_time"
	OutOfReach        = "target_out_of_reach"
	MoreUrgentRefused = "more_urgent_refused"
)

// Request is what the decision needs of a request.
type Request struct {
	Service string
	// Route is the name of the route.
	Route     string
	Streaming bool
	Priority  routing.Priority
	// Prompt is the number of prompt tokens.
	Prompt int
	Target time.Duration
	// TimeLeft until the request's deadline.
	TimeLeft time.Duration
	// Further attempts of an admitted request are judged by the deadline only.
	Further bool
}

// Choice is the best endpoint for a request.
type Choice = placement.Choice

// Verdict is the decision.
type Verdict struct {
	Admitted   bool
	Reason     string
	RetryAfter time.Duration
	// Share is the part of the work of this kind that made room for more urgent
	// work, from 0; 1 or more means all.
	Share float64
}

// judgeDeadline refuses what the best endpoint would begin too late.
func judgeDeadline(r Request, c Choice) Verdict {
	if c.Expected >= r.TimeLeft {
		return Verdict{Reason: OutOfTime, RetryAfter: max(c.Expected-r.TimeLeft, minRetryAfter)}
	}
	return Verdict{Admitted: true}
}

// Judge decides about a request for which c is the best endpoint.
func Judge(r Request, c Choice) Verdict {
	if v := judgeDeadline(r, c); !v.Admitted {
		return v
	}
	// A guess at the speed of engines that nobody has observed refuses nothing.
	if !r.Streaming || r.Further || r.Target <= 0 || c.SpeedUnknown {
		return Verdict{Admitted: true}
	}
	slack := standardSlack
	if r.Priority.Rank == 0 {
		slack = urgentSlack
	}
	limit := time.Duration(slack * float64(r.Target))
	// A prompt that is late even without others is not refused for its size.
	if c.Expected <= limit || c.Wait <= r.Target/4 {
		return Verdict{Admitted: true}
	}
	return Verdict{Reason: OutOfReach, RetryAfter: max(c.Expected-limit, minRetryAfter)}
}
