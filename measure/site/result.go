package site

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// ClassResult is what one class received.
type ClassResult struct {
	Name    string `json:"name"`
	Tier    int    `json:"tier"`
	Arrived int    `json:"arrived"`
	// Completed counts whole answers, OnTime those with the first token within
	// its target, Met those that met all targets.
	Completed int `json:"completed"`
	OnTime    int `json:"on_time"`
	Met       int `json:"met"`
	// Refused counts other ends by result code.
	Refused map[int]int `json:"refused,omitempty"`
	// Attainment is Met of Arrived in percent.
	Attainment float64 `json:"attainment_percent"`
	// WaitP50, WaitP99 and WaitMax are from arrival to the first token, in
	// seconds, over the served requests.
	WaitP50 float64 `json:"wait_p50_s"`
	WaitP99 float64 `json:"wait_p99_s"`
	WaitMax float64 `json:"wait_max_s"`
	// Bound is the stated bound of WaitMax in seconds.
	Bound float64 `json:"bound_s"`

	waits []time.Duration
}

// Result is the outcome of one run.
type Result struct {
	Workload string        `json:"workload"`
	Scenario string        `json:"scenario"`
	Policy   string        `json:"policy"`
	Seed     uint64        `json:"seed"`
	Classes  []ClassResult `json:"classes"`
	// UrgentWithin states that urgent load alone stays within capacity.
	UrgentWithin bool `json:"urgent_within_capacity"`
	// Goodput is the percentage of tokens of requests that met their targets in
	// what the engines give at full use; it may exceed 100 because full use serves
	// urgent classes first.
	Goodput float64 `json:"goodput_percent"`
	// Wasted is the percentage of generated tokens that were not part of a whole
	// answer at its caller.
	Wasted float64 `json:"wasted_percent"`
	// Crest is the attainment of all classes in the worst second, in percent.
	Crest float64 `json:"crest_percent"`
	// ShortP99 is the p99 wait of short requests in seconds, ShortRatio that over
	// their p50.
	ShortP99   float64 `json:"short_p99_s"`
	ShortRatio float64 `json:"short_p99_over_p50"`
	// WindowP99 is the p99 first token from 20 s to 40 s, in seconds, the phase
	// with slowed endpoints in the scenario "slowed".
	WindowP99 float64 `json:"window_p99_s"`
	// UrgentRefused and UrgentPreempted must be 0 while UrgentWithin.
	UrgentRefused   int `json:"urgent_refused"`
	UrgentPreempted int `json:"urgent_preempted"`
	Preemptions     int `json:"preemptions"`
	Hedges          int `json:"hedges"`
	Crashes         int `json:"crashes"`
	Generated       int `json:"generated_tokens"`
	// Unfinished counts requests without a final answer at the end of the run.
	Unfinished int `json:"unfinished"`
	// VirtualSeconds is the time from the first arrival to the end of the run.
	VirtualSeconds float64 `json:"virtual_s"`

	// Partial states that the run ended with the last arrival, so that Goodput
	// and Wasted leave out the streams in progress and are not judged.
	Partial bool `json:"partial,omitempty"`

	generated int
	delivered int
	good      int
	seconds   []second
	shorts    []time.Duration
	window    []time.Duration
	byName    map[string]*ClassResult
}

// second counts the requests that arrived in one second.
type second struct{ arrived, met int }

// crestMinimum is the number of arrivals from which a second counts for Crest.
const crestMinimum = 5

func newResult(w *Workload, sc *Scenario, p *Policy, seed uint64) *Result {
	r := &Result{
		Workload: w.Name, Scenario: sc.Name, Policy: p.Name, Seed: seed, UrgentWithin: sc.urgentWithin(w), Partial: sc.NoDrain,
		seconds: make([]second, int(sc.Length.Seconds())+1),
		byName:  make(map[string]*ClassResult), Classes: make([]ClassResult, len(w.Classes)),
	}
	for i, c := range w.Classes {
		r.Classes[i] = ClassResult{Name: c.Name, Tier: c.Tier, Bound: (c.WaitLimit + startToFirst).Seconds(), Refused: make(map[int]int)}
		r.byName[c.Name] = &r.Classes[i]
	}
	return r
}

func (r *Result) preempted(tier int) {
	r.Preemptions++
	if tier == 0 {
		r.UrgentPreempted++
	}
}

// met reports whether a whole answer met the targets of its class.
func (f *flight) met() bool {
	return f.first.Sub(f.arrived) <= f.class.FirstToken && f.late*20 <= f.output
}

// record takes the end of a request. Crash-causing requests count nowhere.
func (r *Result) record(f *flight, err *resultcode.Error, at time.Duration) {
	if f.crash {
		return
	}
	c := r.byName[f.class.Name]
	c.Arrived++
	s := &r.seconds[int(at.Seconds())]
	s.arrived++
	if err != nil {
		c.Refused[int(err.Code)]++
		if f.class.Tier == 0 && err.Code/1000 == 2 {
			r.UrgentRefused++
		}
		return
	}
	c.Completed++
	r.delivered += f.output
	wait := f.first.Sub(f.arrived)
	c.waits = append(c.waits, wait)
	if f.class.Short {
		r.shorts = append(r.shorts, wait)
	}
	if at >= 20*time.Second && at < 40*time.Second && f.class.Short {
		r.window = append(r.window, wait)
	}
	if wait <= f.class.FirstToken {
		c.OnTime++
	}
	if f.met() {
		c.Met++
		s.met++
		r.good += f.output
	}
}

// close computes the measures.
func (r *Result) close(full float64, all []arrival) {
	r.Goodput = 100 * float64(r.good) / max(full, 1)
	r.Generated = r.generated
	r.Wasted = percent(r.generated-r.delivered, r.generated)
	r.Unfinished = len(all)
	for i := range r.Classes {
		c := &r.Classes[i]
		c.Attainment = percent(c.Met, c.Arrived)
		c.WaitP50, c.WaitP99, c.WaitMax = quantile(c.waits, 0.5), quantile(c.waits, 0.99), quantile(c.waits, 1)
	}
	r.Crest = 100
	for _, s := range r.seconds {
		if s.arrived >= crestMinimum {
			r.Crest = min(r.Crest, percent(s.met, s.arrived))
		}
	}
	r.ShortP99 = quantile(r.shorts, 0.99)
	r.ShortRatio = r.ShortP99 / max(quantile(r.shorts, 0.5), 0.001)
	r.WindowP99 = quantile(r.window, 0.99)
	for _, c := range r.Classes {
		r.Unfinished -= c.Arrived
	}
	for i := range all {
		if all[i].crash {
			r.Unfinished--
		}
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// quantile returns the q-th quantile in seconds, zero without values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := min(int(q*float64(len(values))), len(values)-1)
	return values[i].Seconds()
}
