package measure

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// ClassResult is what one class received.
type ClassResult struct {
	Name    string
	Arrived int
	// OnTime counts whole answers whose first token came within the target, Met
	// those that also met the target between tokens.
	OnTime int
	Met    int
	// Completed counts whole answers.
	Completed int
	// Refused counts refusals before and after waiting, by result code.
	Refused map[resultcode.Code]int
	// FirstToken holds the times from arrival to the first token, sorted.
	FirstToken []time.Duration
}

// Result is the outcome of one scenario under one policy.
type Result struct {
	Scenario string
	Policy   string
	Classes  []ClassResult
	// Tokens counts generated tokens, Late those more than 44 ms after the
	// previous token of the same run.
	Tokens int
	Late   int
	// Goodput counts tokens of whole answers that met their targets.
	Goodput int
	// Preemptions counts streams cancelled for more urgent work, Reread the
	// prompt tokens that were processed again for them.
	Preemptions int
	Reread      int
	// LowLimit and HighLimit bound the concurrency limit after the first 30 s.
	LowLimit  int
	HighLimit int
}

// Percentile returns the p-th percentile of sorted values, zero if there are none.
func Percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(p / 100 * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}

// Attainment returns the part of the arrivals that met all targets, in percent.
func (c ClassResult) Attainment() float64 {
	return percent(c.Met, c.Arrived)
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}

// NotServed returns how many requests were refused.
func (c ClassResult) NotServed() int {
	n := 0
	for _, count := range c.Refused {
		n += count
	}
	return n
}

func (r *Result) sort() {
	for i := range r.Classes {
		slices.Sort(r.Classes[i].FirstToken)
	}
}
