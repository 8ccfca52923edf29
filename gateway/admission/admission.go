// Package admission decides who is served and who is told to come back, from the
// time that the best endpoint would need.
package admission

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
)

const (
	// NoEndpointRetryAfter is the advice while a service has no endpoint; one
	// that restarts needs some seconds, and another may be added sooner.
	NoEndpointRetryAfter = time.Second
	// minRetryAfter spaces out callers that are refused for lack of room.
	minRetryAfter = 200 * time.Millisecond
)

// Request is what the decision needs of a request.
type Request struct {
	Streaming bool
	Rank      int
	Target    time.Duration
	// TimeLeft until the request's deadline.
	TimeLeft time.Duration
	// Further attempts of an admitted request are judged by the deadline only.
	Further bool
}

// Verdict is the decision.
type Verdict struct {
	Admitted   bool
	Reason     string
	RetryAfter time.Duration
}

// Judge decides about a request for which c is the best endpoint.
func Judge(r Request, c placement.Choice) Verdict {
	if c.Expected >= r.TimeLeft {
		return Verdict{Reason: "out_of_time", RetryAfter: max(c.Expected-r.TimeLeft, minRetryAfter)}
	}
	return Verdict{Admitted: true}
}
