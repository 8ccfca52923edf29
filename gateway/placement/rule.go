package placement

import (
	"fmt"
	"math/rand/v2"
)

// Rule chooses among the endpoints that accept work.
type Rule string

// The rules. All but Cheapest are baselines for measurements.
const (
	// Cheapest takes the endpoint of the lowest estimated cost.
	Cheapest Rule = "cheapest"
	// FewestInFlight takes an endpoint with the fewest requests of this gateway;
	// chance decides among equals.
	FewestInFlight Rule = "fewest_in_flight"
	// Random takes any endpoint.
	Random Rule = "random"
)

// Check returns an error for a rule that does not exist; empty means Cheapest.
func (r Rule) Check() error {
	switch r {
	case "", Cheapest, FewestInFlight, Random:
		return nil
	}
	return fmt.Errorf("%q is not one of %s, %s, %s", string(r), Cheapest, FewestInFlight, Random)
}

// SetRule changes the rule. Baselines draw from rng.
func (f *Fleet) SetRule(r Rule, rng *rand.Rand) { f.rule, f.rng = r, rng }

// ruled returns the cost of an endpoint under the rule in force; cost is the
// estimated one.
func (f *Fleet) ruled(e *endpoint, cost float64) float64 {
	switch f.rule {
	case Random:
		return f.rng.Float64()
	case FewestInFlight:
		return float64(e.own.Running) + f.rng.Float64()
	}
	return cost
}
