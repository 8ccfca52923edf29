// Package ratelimit keeps the rates that endpoints name: an endpoint in need states in
// its responses how many requests a second it accepts from all gateways together.
//
// The types of the package are not safe for concurrent use; the time is a parameter.
package ratelimit

// State is what a response says about a limit.
type State int

// The states. An unreadable limit changes nothing: the endpoint is in need, but by how
// much is not known.
const (
	Unlimited State = iota
	Limited
	Unreadable
)

// Report is what one response of an endpoint says about its limit.
type Report struct {
	State State
	// PerSecond is the number of requests a second that the endpoint accepts from all
	// gateways together; valid if State is Limited.
	PerSecond float64
}
