package burn

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

// Objective is the share of requests that must meet their target; the rest is the
// error budget.
const Objective = 0.95

// maxWorstEndpoints limits the endpoints that a report lists per window.
const maxWorstEndpoints = 10

// Source is the snapshot of one router, or the reason for its absence.
type Source struct {
	Router string
	// Snapshot is nil when the router could not be read.
	Snapshot *Snapshot
	// Err is the reason; it is used only without a snapshot.
	Err error
}

// MissingRouter is a router whose requests are not in the report, and why.
type MissingRouter struct {
	Router string `json:"router"`
	Reason string `json:"reason"`
}

// Report is the merged view over all routers that could be read.
type Report struct {
	MadeAt    time.Time `json:"made_at"`
	Objective float64   `json:"objective"`
	// Routers lists the routers whose requests are in the report.
	Routers []IncludedRouter `json:"routers"`
	Missing []MissingRouter  `json:"missing"`
	Windows []WindowReport   `json:"windows"`
	// StepSeconds is the length of one step of Series.
	StepSeconds int64         `json:"step_seconds"`
	Series      []ClassSeries `json:"series"`
}

// IncludedRouter is a router whose requests are in the report.
type IncludedRouter struct {
	Router string `json:"router"`
	// CoveredSeconds is the time since the router started, at most 6 h. Requests
	// before its start are lost.
	CoveredSeconds int64 `json:"covered_seconds"`
}

// WindowReport is the report of one window.
type WindowReport struct {
	Seconds   int64           `json:"seconds"`
	Classes   []ServiceLevel  `json:"classes"`
	Profiles  []ServiceLevel  `json:"profiles"`
	Endpoints []WorstEndpoint `json:"worst_endpoints"`
}

// ServiceLevel holds the figures of one class or profile in one window. Pointers are nil
// when no request counts towards attainment, which is not the same as zero.
type ServiceLevel struct {
	Profile string `json:"profile,omitempty"`
	Class   string `json:"class"`
	Tier    int    `json:"tier"`
	// Target is absent for a class, because its profiles may have different targets.
	Target catalog.Target `json:"target,omitzero"`
	Counts
	// Attainment is the share of counted requests that met their target.
	Attainment *float64 `json:"attainment"`
	// BudgetLeft is the share of the window's error budget that is left; negative
	// when the budget is overspent.
	BudgetLeft *float64 `json:"budget_left"`
	// BurnRate is the rate at which the error budget is spent; 1 spends exactly the
	// budget of the objective.
	BurnRate   *float64         `json:"burn_rate"`
	Failures   []NamedCodeCount `json:"failures"`
	Queue      Percentiles      `json:"queue"`
	FirstToken Percentiles      `json:"first_token"`
	InterToken Percentiles      `json:"inter_token"`
	Whole      Percentiles      `json:"whole"`
}

// NamedCodeCount is a CodeCount with the name of its result code.
type NamedCodeCount struct {
	CodeCount
	Name string `json:"name"`
}

// Percentiles holds the percentiles of a phase in milliseconds. Count 0 means that
// there is no data.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// WorstEndpoint is an endpoint with missed targets or failed requests.
type WorstEndpoint struct {
	EndpointCounts
	// BadShare is the share of requests that missed their target or failed.
	BadShare float64 `json:"bad_share"`
}

// NewReport merges the sources. A source without a usable snapshot is listed
// as missing and contributes nothing.
func NewReport(now time.Time, sources []Source) *Report {
	r := &Report{
		MadeAt:      now.UTC().Truncate(time.Millisecond),
		Objective:   Objective,
		Routers:     []IncludedRouter{},
		Missing:     []MissingRouter{},
		StepSeconds: int64(Step / time.Second),
	}
	sums := make([]*aggregate, len(Windows))
	for i := range sums {
		sums[i] = newAggregate()
	}
	var series seriesByClass
	for _, s := range sources {
		if err := checkSource(s); err != nil {
			r.Missing = append(r.Missing, MissingRouter{s.Router, err.Error()})
			continue
		}
		r.Routers = append(r.Routers, IncludedRouter{s.Router, s.Snapshot.CoveredSeconds})
		for i := range sums {
			sums[i].mergeWindow(&s.Snapshot.Windows[i])
		}
		series.merge(s.Snapshot.Series)
	}
	r.Series = series.sorted()
	for i, w := range Windows {
		r.Windows = append(r.Windows, newWindowReport(w, sums[i]))
	}
	slices.SortFunc(r.Routers, func(a, b IncludedRouter) int { return cmp.Compare(a.Router, b.Router) })
	slices.SortFunc(r.Missing, func(a, b MissingRouter) int { return cmp.Compare(a.Router, b.Router) })
	return r
}

// checkSource returns an error for a source without a snapshot that this version
// can merge.
func checkSource(s Source) error {
	if s.Snapshot == nil {
		if s.Err == nil {
			return errors.New("no snapshot")
		}
		return s.Err
	}
	if s.Snapshot.Format != SnapshotFormat {
		return fmt.Errorf("snapshot format %d, this version reads %d", s.Snapshot.Format, SnapshotFormat)
	}
	if s.Snapshot.StepSeconds != int64(Step/time.Second) || len(s.Snapshot.Windows) != len(Windows) {
		return errors.New("snapshot with other steps or windows")
	}
	for i, w := range Windows {
		if s.Snapshot.Windows[i].Seconds != int64(w/time.Second) {
			return errors.New("snapshot with other windows")
		}
	}
	return nil
}

func (g *aggregate) mergeWindow(w *Window) {
	for i := range w.Rows {
		g.row(w.Rows[i].Profile, w.Rows[i].Class).merge(&w.Rows[i])
	}
	for i := range w.Endpoints {
		g.endpoint(w.Endpoints[i].Name).merge(&w.Endpoints[i])
	}
}

func newWindowReport(length time.Duration, g *aggregate) WindowReport {
	w := WindowReport{
		Seconds:   int64(length / time.Second),
		Classes:   []ServiceLevel{},
		Profiles:  []ServiceLevel{},
		Endpoints: worstEndpoints(g),
	}
	classes := newAggregate()
	for _, row := range g.sortedRows() {
		w.Profiles = append(w.Profiles, newServiceLevel(&row))
		classes.row("", row.Class).merge(&row)
	}
	for _, row := range classes.sortedRows() {
		row.Target = catalog.Target{}
		w.Classes = append(w.Classes, newServiceLevel(&row))
	}
	return w
}

func newServiceLevel(r *Row) ServiceLevel {
	l := ServiceLevel{
		Profile:    r.Profile,
		Class:      r.Class,
		Tier:       r.Tier,
		Target:     r.Target,
		Counts:     r.Counts,
		Failures:   []NamedCodeCount{},
		Queue:      percentiles(&r.Queue),
		FirstToken: percentiles(&r.FirstToken),
		InterToken: percentiles(&r.InterToken),
		Whole:      percentiles(&r.Whole),
	}
	for _, c := range r.Codes {
		l.Failures = append(l.Failures, NamedCodeCount{c, c.Code.String()})
	}
	counted := r.Met + r.Missed
	if counted == 0 {
		return l
	}
	attainment := float64(r.Met) / float64(counted)
	rate := float64(r.Missed) / float64(counted) / (1 - Objective)
	left := 1 - rate
	l.Attainment = &attainment
	l.BurnRate = &rate
	l.BudgetLeft = &left
	return l
}

func percentiles(h *Histogram) Percentiles {
	return Percentiles{
		Count: h.Count(),
		P50:   milliseconds(h.Percentile(50)),
		P95:   milliseconds(h.Percentile(95)),
		P99:   milliseconds(h.Percentile(99)),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// worstEndpoints returns the endpoints with missed targets or failed requests, the
// highest share of them first.
func worstEndpoints(g *aggregate) []WorstEndpoint {
	out := []WorstEndpoint{}
	for _, e := range g.sortedEndpoints() {
		// A failed request with a target counts as missed as well, so the sum would
		// count it twice.
		bad := max(e.Missed, e.Failed)
		if bad == 0 {
			continue
		}
		out = append(out, WorstEndpoint{e, float64(bad) / float64(e.Requests)})
	}
	slices.SortStableFunc(out, func(a, b WorstEndpoint) int {
		return cmp.Or(cmp.Compare(b.BadShare, a.BadShare), cmp.Compare(b.Requests, a.Requests))
	})
	return out[:min(len(out), maxWorstEndpoints)]
}
