package site

import (
	"fmt"
	"slices"
)

// Goal is a required property of the current policy and whether the runs met it.
type Goal struct {
	Name string `json:"name"`
	Met  bool   `json:"met"`
	// Misses describes each run that missed the goal.
	Misses []string `json:"misses,omitempty"`
}

const (
	currentPolicy = "current"
	// Limits of the goals: percentages, and ratios for the last two.
	minUrgentAttainment = 99.0
	minGoodput          = 95.0
	maxWasted           = 2.0
	maxShortRatio       = 0.1
	maxSlowRatio        = 1.3
)

// baselines are the policies with which the wait of short requests is compared.
var baselines = []string{"round robin", "fewest", "fewest, queue"}

// Goals checks the results of the current policy. A comparison between two runs
// is skipped if the other run is missing from the results.
func Goals(results []*Result) []Goal {
	goals := []Goal{
		{Name: "urgent attainment at least 99% while urgent load is within capacity"},
		{Name: "no urgent request refused or preempted while urgent load is within capacity"},
		{Name: "slowest served request of each class within its bound"},
		{Name: "goodput at least 95% of full use"},
		{Name: "wasted tokens under 2%"},
		{Name: "p99 wait of short requests under a tenth of the best baseline's, all together"},
		{Name: "p99 first token with slowed endpoints at most 1.3 times that without"},
	}
	for _, r := range results {
		if r.Policy != currentPolicy {
			continue
		}
		checks := []string{
			r.missUrgent(), r.missRefused(), r.missBound(),
			missIf(!r.Partial && r.Goodput < minGoodput, "%.1f%%", r.Goodput),
			missIf(!r.Partial && r.Wasted >= maxWasted, "%.1f%%", r.Wasted),
			r.missShort(results), r.missSlow(results),
		}
		for i, miss := range checks {
			if miss != "" {
				goals[i].Misses = append(goals[i].Misses, fmt.Sprintf("%s/%s seed %d: %s", r.Workload, r.Scenario, r.Seed, miss))
			}
		}
	}
	for i := range goals {
		goals[i].Met = len(goals[i].Misses) == 0
	}
	return goals
}

func missIf(missed bool, format string, args ...any) string {
	if !missed {
		return ""
	}
	return fmt.Sprintf(format, args...)
}

func (r *Result) missUrgent() string {
	for _, c := range r.Classes {
		if r.UrgentWithinCapacity && c.Tier == 0 && c.Attainment < minUrgentAttainment {
			return fmt.Sprintf("%s %.1f%%", c.Name, c.Attainment)
		}
	}
	return ""
}

func (r *Result) missRefused() string {
	missed := r.UrgentWithinCapacity && r.UrgentRefused+r.UrgentPreempted > 0
	return missIf(missed, "%d refused, %d preempted", r.UrgentRefused, r.UrgentPreempted)
}

func (r *Result) missBound() string {
	for _, c := range r.Classes {
		if c.Arrived > 0 && (c.Completed == 0 || c.WaitMax > c.Bound) {
			return fmt.Sprintf("%s %.2f s of %.1f s, %d served", c.Name, c.WaitMax, c.Bound, c.Completed)
		}
	}
	return ""
}

// findResult returns the result of the same workload and seed for another scenario
// or policy, or nil.
func (r *Result) findResult(results []*Result, scenario, policy string) *Result {
	i := slices.IndexFunc(results, func(o *Result) bool {
		return o.Workload == r.Workload && o.Seed == r.Seed && o.Scenario == scenario && o.Policy == policy
	})
	if i < 0 {
		return nil
	}
	return results[i]
}

func (r *Result) missShort(results []*Result) string {
	if r.Scenario != "together" {
		return ""
	}
	best := -1.0
	for _, name := range baselines {
		if o := r.findResult(results, r.Scenario, name); o != nil && (best < 0 || o.ShortP99 < best) {
			best = o.ShortP99
		}
	}
	return missIf(best >= 0 && r.ShortP99 >= maxShortRatio*best, "%.2f s against %.2f s", r.ShortP99, best)
}

func (r *Result) missSlow(results []*Result) string {
	ratio := r.slowRatio(results)
	return missIf(ratio > maxSlowRatio, "%.2f times", ratio)
}

// slowRatio returns the p99 time to the first token with slowed endpoints divided
// by that without, or zero for other scenarios.
func (r *Result) slowRatio(results []*Result) float64 {
	steady := r.findResult(results, "steady", r.Policy)
	if r.Scenario != "slowed" || steady == nil {
		return 0
	}
	return r.WindowP99 / max(steady.WindowP99, 0.001)
}
