package burn

import (
	"fmt"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

// noData is shown where no request counts. It is not zero.
const noData = "-"

func percent(share *float64) string {
	if share == nil {
		return noData
	}
	return fmt.Sprintf("%.1f%%", 100**share)
}

func rate(r *float64) string {
	if r == nil {
		return noData
	}
	return fmt.Sprintf("%.2f", *r)
}

// triple shows the 50th, 95th and 99th percentile.
func (p Percentiles) triple() string {
	if p.Count == 0 {
		return noData
	}
	return short(p.P50) + " / " + short(p.P95) + " / " + short(p.P99)
}

// short shows milliseconds with three digits and a unit.
func short(ms float64) string {
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

func period(seconds int64) string {
	d := time.Duration(seconds) * time.Second
	if d >= time.Hour && d%time.Hour == 0 {
		return fmt.Sprintf("%d h", d/time.Hour)
	}
	if d >= time.Minute {
		return fmt.Sprintf("%d min", d/time.Minute)
	}
	return fmt.Sprintf("%d s", seconds)
}

func targetText(t catalog.Target) string {
	text := ""
	add := func(name string, ms int) {
		if ms == 0 {
			return
		}
		if text != "" {
			text += ", "
		}
		text += name + " " + short(float64(ms))
	}
	add("first token", t.FirstTokenMS)
	add("between tokens", t.InterTokenMS)
	add("whole", t.WholeMS)
	return text
}

// partial lists the routers that started within the longest window.
func (r *Report) partial() []Included {
	longest := int64(Windows[len(Windows)-1] / time.Second)
	var out []Included
	for _, i := range r.Routers {
		if i.CoveredSeconds < longest {
			out = append(out, i)
		}
	}
	return out
}
