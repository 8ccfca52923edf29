package burn

import (
	"fmt"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

// noData stands for a figure without data, which differs from zero.
const noData = "-"

func formatPercent(share *float64) string {
	if share == nil {
		return noData
	}
	return fmt.Sprintf("%.1f%%", 100**share)
}

func formatRate(r *float64) string {
	if r == nil {
		return noData
	}
	return fmt.Sprintf("%.2f", *r)
}

// format returns the 50th, 95th and 99th percentile as "p50 / p95 / p99".
func (p Percentiles) format() string {
	if p.Count == 0 {
		return noData
	}
	return formatMillis(p.P50) + " / " + formatMillis(p.P95) + " / " + formatMillis(p.P99)
}

// formatMillis formats a duration in milliseconds with at most three significant
// digits below 1000 s and a unit, ms below 1 s and s from there on.
func formatMillis(ms float64) string {
	switch {
	case ms < 10:
		return fmt.Sprintf("%.1fms", ms)
	case ms < 1000:
		return fmt.Sprintf("%.0fms", ms)
	case ms < 10_000:
		return fmt.Sprintf("%.2fs", ms/1000)
	default:
		return fmt.Sprintf("%.0fs", ms/1000)
	}
}

func formatPeriod(seconds int64) string {
	d := time.Duration(seconds) * time.Second
	if d >= time.Hour && d%time.Hour == 0 {
		return fmt.Sprintf("%d h", d/time.Hour)
	}
	if d >= time.Minute {
		return fmt.Sprintf("%d min", d/time.Minute)
	}
	return fmt.Sprintf("%d s", seconds)
}

func formatTarget(t catalog.Target) string {
	text := ""
	add := func(name string, ms int) {
		if ms == 0 {
			return
		}
		if text != "" {
			text += ", "
		}
		text += name + " " + formatMillis(float64(ms))
	}
	add("first token", t.FirstTokenMS)
	add("between tokens", t.InterTokenMS)
	add("whole", t.WholeMS)
	return text
}

// recentlyStarted returns the routers that started within the longest window, so
// that their snapshots cover it only in part.
func (r *Report) recentlyStarted() []IncludedRouter {
	longest := int64(Windows[len(Windows)-1] / time.Second)
	var out []IncludedRouter
	for _, i := range r.Routers {
		if i.CoveredSeconds < longest {
			out = append(out, i)
		}
	}
	return out
}
