package site

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Table renders the results as a Markdown table. Cells with several values list
// the classes in the order of the workload.
func Table(results []*Result) string {
	var b strings.Builder
	b.WriteString("| workload | scenario | policy | met % | goodput % | wasted % | worst second % | short p99 s | p99/p50 | slowed/steady p99 | urgent refused/preempted | refusals by code | longest wait s (bound) |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.1f | %.1f | %.0f | %.2f | %.1f | %s | %s | %s | %s |\n",
			r.Workload, r.Scenario, r.Policy, r.eachClass(attainmentCell), r.Goodput, r.Wasted, r.WorstSecondAttainment,
			r.ShortP99, r.ShortRatio, r.slowCell(results), r.urgentCell(), r.refusals(), r.eachClass(waitCell))
	}
	return b.String()
}

func attainmentCell(c ClassResult) string { return fmt.Sprintf("%.1f", c.Attainment) }

func waitCell(c ClassResult) string { return fmt.Sprintf("%.1f (%.1f)", c.WaitMax, c.Bound) }

func (r *Result) eachClass(cell func(ClassResult) string) string {
	var cells []string
	for _, c := range r.Classes {
		cells = append(cells, cell(c))
	}
	return strings.Join(cells, " / ")
}

func (r *Result) slowCell(results []*Result) string {
	if ratio := r.slowRatio(results); ratio > 0 {
		return fmt.Sprintf("%.2f", ratio)
	}
	return "-"
}

func (r *Result) urgentCell() string {
	cell := fmt.Sprintf("%d / %d", r.UrgentRefused, r.UrgentPreempted)
	if !r.UrgentWithinCapacity {
		cell += " (overload)"
	}
	return cell
}

func (r *Result) refusals() string {
	sum := make(map[int]int)
	for _, c := range r.Classes {
		for code, n := range c.Refused {
			sum[code] += n
		}
	}
	var cells []string
	for _, code := range slices.Sorted(maps.Keys(sum)) {
		cells = append(cells, fmt.Sprintf("%d: %d", code, sum[code]))
	}
	if len(cells) == 0 {
		return "none"
	}
	return strings.Join(cells, ", ")
}

// GoalTable renders the goals as a Markdown list that names each miss.
func GoalTable(goals []Goal) string {
	var b strings.Builder
	for _, g := range goals {
		outcome := "met"
		if !g.Met {
			outcome = "missed: " + strings.Join(g.Misses, "; ")
		}
		fmt.Fprintf(&b, "- %s: %s\n", g.Name, outcome)
	}
	return b.String()
}
