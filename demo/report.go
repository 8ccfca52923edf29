package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pistachiowind/pistachiowind/loadgen"
)

// Report is the result of the demo's scenario.
type Report struct {
	Classes []ClassResult `json:"classes"`
	// ChargesRunTwice counts idempotency keys that the ledger ran more than once.
	ChargesRunTwice int `json:"charges_run_twice"`
	// FalseNotRun counts charges that ran although not_run was reported to the caller.
	FalseNotRun int `json:"false_not_run"`
	// FalseRan counts charges that did not run although ran was reported to the
	// caller.
	FalseRan int `json:"false_ran"`
	// ChangeInForceMS is the time until the profile change was in force in every
	// process, in milliseconds.
	ChangeInForceMS int64 `json:"change_in_force_ms"`
	// Broken describes each promise that was not kept.
	Broken []string `json:"broken_promises"`
}

// ClassResult is the result of one request class.
type ClassResult struct {
	Name       string         `json:"name"`
	Sent       int            `json:"sent"`
	Whole      int            `json:"answered_whole"`
	NotRun     int            `json:"not_run"`
	Incomplete int            `json:"incomplete"`
	Wrong      int            `json:"wrong"`
	Refusals   map[string]int `json:"refusals,omitempty"`
	Attainment float64        `json:"attainment"`
	// The percentiles of the time to the first token and between tokens are in
	// milliseconds.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	InterTokenP95 float64 `json:"inter_token_p95_ms"`
	WastedTokens  int     `json:"wasted_tokens"`
}

func (s *Site) report(load *loadgen.Report, change propagationResult, charges *chargeLog) *Report {
	r := &Report{ChangeInForceMS: change.took.Milliseconds()}
	for _, c := range load.Classes {
		r.Classes = append(r.Classes, classResult(c))
	}
	r.countCharges(s.Ledger.RunsByKey(), charges)
	r.checkPromises(change)
	return r
}

func classResult(c *loadgen.ClassReport) ClassResult {
	result := ClassResult{
		Name:          c.Name,
		Sent:          c.Sent,
		Whole:         c.Whole,
		Incomplete:    c.IncompleteCount(),
		Wrong:         c.Wrong,
		Refusals:      map[string]int{},
		Attainment:    c.Attainment(),
		FirstTokenP50: milliseconds(c.FirstToken.ValueAtQuantile(50)),
		FirstTokenP95: milliseconds(c.FirstToken.ValueAtQuantile(95)),
		FirstTokenP99: milliseconds(c.FirstToken.ValueAtQuantile(99)),
		InterTokenP95: milliseconds(c.InterToken.ValueAtQuantile(95)),
		WastedTokens:  c.WastedTextChunks,
	}
	for refusal, n := range c.Refused {
		result.Refusals[fmt.Sprintf("%d %s", refusal.Code, refusal.Execution)] += n
		if refusal.Execution == "not_run" {
			result.NotRun += n
			continue
		}
		result.Incomplete += n
	}
	return result
}

// milliseconds converts microseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }

func (r *Report) countCharges(runs map[string]int, charges *chargeLog) {
	for _, n := range runs {
		if n > 1 {
			r.ChargesRunTwice++
		}
	}
	for _, key := range charges.notRun {
		if runs[key] > 0 {
			r.FalseNotRun++
		}
	}
	for _, key := range charges.ran {
		if runs[key] == 0 {
			r.FalseRan++
		}
	}
}

// checkPromises sets Broken to the promises that were not kept.
func (r *Report) checkPromises(change propagationResult) {
	r.Broken = []string{}
	reportIf := func(condition bool, format string, args ...any) {
		if condition {
			r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
		}
	}
	reportIf(r.ChargesRunTwice > 0, "%d charges ran twice", r.ChargesRunTwice)
	reportIf(r.FalseNotRun > 0, "%d charges ran that were reported as not run", r.FalseNotRun)
	reportIf(r.FalseRan > 0, "%d charges did not run that were reported as run", r.FalseRan)
	reportIf(change.err != nil, "profile change: %v", change.err)
	for _, c := range r.Classes {
		reportIf(c.Wrong > 0, "%s: %d wrong answers", c.Name, c.Wrong)
		reportIf(c.Incomplete > 0, "%s: %d answers incomplete or unknown", c.Name, c.Incomplete)
		reportIf(c.Sent == 0, "%s: nothing was sent", c.Name)
		reportIf(c.Name == ProfileUrgent && c.NotRun > 0, "%s: %d requests refused while lower tiers were served", c.Name, c.NotRun)
	}
}

// Err returns an error that wraps ErrPromiseBroken when a promise was broken.
func (r *Report) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %v", ErrPromiseBroken, r.Broken)
}

// WriteTable writes the report as text for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\twhole\tnot run\tincomplete\twrong\tattained\tfirst p50\tp95\tp99\tinter p95\twasted\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.0f ms\t%.0f ms\t%.0f ms\t%.1f ms\t%d\t\n",
			c.Name, c.Sent, c.Whole, c.NotRun, c.Incomplete, c.Wrong, 100*c.Attainment,
			c.FirstTokenP50, c.FirstTokenP95, c.FirstTokenP99, c.InterTokenP95, c.WastedTokens)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	inForce := time.Duration(r.ChangeInForceMS) * time.Millisecond
	fmt.Fprintf(w, "charges run twice: %d\nprofile change in force everywhere after: %s\n", r.ChargesRunTwice, inForce)
	for _, b := range r.Broken {
		fmt.Fprintf(w, "broken: %s\n", b)
	}
	if len(r.Broken) == 0 {
		fmt.Fprintln(w, "all promises held")
	}
	return nil
}
