package measure

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// ClassResult counts how the requests of one class ended.
type ClassResult struct {
	Name    string
	Arrived int
	// OnTime counts complete answers whose first token came within its target, Met
	// those that also met the target between tokens.
	OnTime int
	Met    int
	// Completed counts complete answers.
	Completed int
	// Refused counts refusals by result code, on arrival and while waiting.
	Refused map[resultcode.Code]int
	// FirstToken holds the times from arrival to the first token, sorted.
	FirstToken []time.Duration
}

// Result is the outcome of one scenario under one policy.
type Result struct {
	Scenario string
	Policy   string
	Classes  []ClassResult
	// Tokens counts generated tokens, LateTokens those more than 44 ms after the
	// previous token of the same run.
	Tokens     int
	LateTokens int
	// Goodput counts the tokens of complete answers that met their targets.
	Goodput int
	// Preemptions counts streams cancelled for more urgent work,
	// ReprocessedTokens the tokens of prompt and partial answer that the engine
	// has to process again for them.
	Preemptions       int
	ReprocessedTokens int
	// MinLimit and MaxLimit are the bounds of the concurrency limit's range after
	// the first 30 s.
	MinLimit int
	MaxLimit int
}

// Percentile returns the p-th percentile of sorted values, or zero if there are
// none.
func Percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(p / 100 * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}

// Attainment returns the percentage of arrived requests that met all targets.
func (c ClassResult) Attainment() float64 {
	return percent(c.Met, c.Arrived)
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}

// RefusedCount returns the sum of Refused.
func (c ClassResult) RefusedCount() int {
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
