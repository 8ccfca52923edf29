package admission

import "fmt"

// Rule decides who is refused for lack of room.
type Rule string

const (
	// YieldToUrgent refuses less urgent work while more urgent work would be late.
	YieldToUrgent Rule = "yield_to_urgent"
	// DeadlineOnly refuses what cannot meet its deadline, as a baseline for
	// measurements.
	DeadlineOnly Rule = "deadline_only"
)

// Check returns an error for a rule that does not exist; empty means YieldToUrgent.
func (r Rule) Check() error {
	switch r {
	case "", YieldToUrgent, DeadlineOnly:
		return nil
	}
	return fmt.Errorf("%q is not one of %s, %s", string(r), YieldToUrgent, DeadlineOnly)
}
