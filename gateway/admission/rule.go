package admission

import "fmt"

// Rule selects which requests are refused for lack of capacity.
type Rule string

const (
	// YieldToUrgent refuses less urgent requests while more urgent ones would miss
	// their target.
	YieldToUrgent Rule = "yield_to_urgent"
	// DeadlineOnly refuses only requests that cannot meet their deadline. It is a
	// baseline for measurements.
	DeadlineOnly Rule = "deadline_only"
)

// Check returns an error if the rule does not exist; empty means YieldToUrgent.
func (r Rule) Check() error {
	switch r {
	case "", YieldToUrgent, DeadlineOnly:
		return nil
	}
	return fmt.Errorf("%q is not one of %s, %s", string(r), YieldToUrgent, DeadlineOnly)
}
