package placement

import (
	"fmt"
	"math/rand/v2"
)

// Rule selects how to choose among the endpoints that accept a request.
type Rule string

// The rules. All but Cheapest are baselines for measurements.
const (
	// Cheapest chooses the endpoint with the lowest estimated cost.
	Cheapest Rule = "cheapest"
	// FewestInFlight chooses the endpoint with the fewest requests of this gateway, and
	// a random one among equals.
	FewestInFlight Rule = "fewest_in_flight"
	// Random chooses any endpoint with equal probability.
	Random Rule = "random"
)

// Check returns an error if the rule does not exist; empty means Cheapest.
func (r Rule) Check() error {
	switch r {
	case "", Cheapest, FewestInFlight, Random:
		return nil
	}
	return fmt.Errorf("%q is not one of %s, %s, %s", string(r), Cheapest, FewestInFlight, Random)
}

// SetRule sets the rule; rng is used by all rules except Cheapest.
func (f *Fleet) SetRule(r Rule, rng *rand.Rand) { f.rule, f.rng = r, rng }

// ruleCost returns the cost of an endpoint under the current rule; cost is the estimated
// one.
func (f *Fleet) ruleCost(e *endpoint, cost float64) float64 {
	switch f.rule {
	case Random:
		return f.rng.Float64()
	case FewestInFlight:
		return float64(e.ownLoad.Running) + f.rng.Float64()
	}
	return cost
}
