package site

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// ClassResult counts how the requests of one class ended.
type ClassResult struct {
	Name    string `json:"name"`
	Tier    int    `json:"tier"`
	Arrived int    `json:"arrived"`
	// Completed counts complete answers, OnTime those with the first token within
	// its target, Met those that met all targets.
	Completed int `json:"completed"`
	OnTime    int `json:"on_time"`
	Met       int `json:"met"`
	// Refused counts the requests that did not complete, by result code.
	Refused map[int]int `json:"refused,omitempty"`
	// Attainment is the percentage of Arrived that is in Met.
	Attainment float64 `json:"attainment_percent"`
	// WaitP50, WaitP99 and WaitMax are the times from arrival to the first token
	// of the completed requests, in seconds.
	WaitP50 float64 `json:"wait_p50_s"`
	WaitP99 float64 `json:"wait_p99_s"`
	WaitMax float64 `json:"wait_max_s"`
	// Bound is the promised upper bound of WaitMax in seconds: the wait limit of
	// the class plus startToFirstTokenTarget.
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
	// UrgentWithinCapacity states that urgent load alone stays within capacity.
	UrgentWithinCapacity bool `json:"urgent_within_capacity"`
	// Goodput is the number of tokens of requests that met their targets, as a
	// percentage of what the engines generate at full use. It may exceed 100
	// because full use serves urgent classes first.
	Goodput float64 `json:"goodput_percent"`
	// Wasted is the percentage of generated tokens that were not part of a
	// complete answer received by its caller.
	Wasted float64 `json:"wasted_percent"`
	// WorstSecondAttainment is the attainment of all classes together in the worst
	// second of arrival, in percent.
	WorstSecondAttainment float64 `json:"crest_percent"`
	// ShortP99 is the p99 wait of the requests of Short classes in seconds,
	// ShortRatio the ratio of it to their p50.
	ShortP99   float64 `json:"short_p99_s"`
	ShortRatio float64 `json:"short_p99_over_p50"`
	// WindowP99 is the p99 wait in seconds of the requests of Short classes that
	// arrived between 20 s and 40 s, the phase with slowed endpoints in the scenario
	// "slowed".
	WindowP99 float64 `json:"window_p99_s"`
	// UrgentRefused and UrgentPreempted must be 0 if UrgentWithinCapacity.
	UrgentRefused   int `json:"urgent_refused"`
	UrgentPreempted int `json:"urgent_preempted"`
	Preemptions     int `json:"preemptions"`
	Hedges          int `json:"hedges"`
	Crashes         int `json:"crashes"`
	GeneratedTokens int `json:"generated_tokens"`
	// Unfinished counts requests without a final answer at the end of the run.
	Unfinished int `json:"unfinished"`
	// VirtualSeconds is the time from the first arrival to the end of the run.
	VirtualSeconds float64 `json:"virtual_s"`

	// Partial states that the run ended with the last arrival, so that Goodput
	// and Wasted leave out the streams in progress and Goals does not check them.
	Partial bool `json:"partial,omitempty"`

	generatedTokens int
	deliveredTokens int
	goodTokens      int
	perSecond       []secondCount
	shortWaits      []time.Duration
	windowWaits     []time.Duration
	classByName     map[string]*ClassResult
}

// secondCount counts the requests that arrived in one second, and those of them
// that met their targets.
type secondCount struct{ arrived, met int }

// minSecondArrivals is the number of arrivals from which a second counts for
// WorstSecondAttainment.
const minSecondArrivals = 5

func newResult(w *Workload, sc *Scenario, p *Policy, seed uint64) *Result {
	r := &Result{
		Workload: w.Name, Scenario: sc.Name, Policy: p.Name, Seed: seed, UrgentWithinCapacity: sc.urgentWithinCapacity(w), Partial: sc.NoDrain,
		perSecond:   make([]secondCount, int(sc.Length.Seconds())+1),
		classByName: make(map[string]*ClassResult), Classes: make([]ClassResult, len(w.Classes)),
	}
	for i, c := range w.Classes {
		r.Classes[i] = ClassResult{Name: c.Name, Tier: c.Tier, Bound: (c.WaitLimit + startToFirstTokenTarget).Seconds(), Refused: make(map[int]int)}
		r.classByName[c.Name] = &r.Classes[i]
	}
	return r
}

func (r *Result) recordPreemption(tier int) {
	r.Preemptions++
	if tier == 0 {
		r.UrgentPreempted++
	}
}

// met reports whether a complete answer met the targets of its class.
func (req *request) met() bool {
	return req.firstTokenAt.Sub(req.arrived) <= req.class.FirstToken && req.lateTokens*20 <= req.output
}

// record counts the final answer of a request that arrived at the offset at.
// Requests that crash engines are not counted.
func (r *Result) record(req *request, err *resultcode.Error, at time.Duration) {
	if req.crash {
		return
	}
	c := r.classByName[req.class.Name]
	c.Arrived++
	s := &r.perSecond[int(at.Seconds())]
	s.arrived++
	if err != nil {
		c.Refused[int(err.Code)]++
		if req.class.Tier == 0 && err.Code/1000 == 2 {
			r.UrgentRefused++
		}
		return
	}
	c.Completed++
	r.deliveredTokens += req.output
	wait := req.firstTokenAt.Sub(req.arrived)
	c.waits = append(c.waits, wait)
	if req.class.Short {
		r.shortWaits = append(r.shortWaits, wait)
	}
	if at >= 20*time.Second && at < 40*time.Second && req.class.Short {
		r.windowWaits = append(r.windowWaits, wait)
	}
	if wait <= req.class.FirstToken {
		c.OnTime++
	}
	if req.met() {
		c.Met++
		s.met++
		r.goodTokens += req.output
	}
}

// computeMeasures computes the derived fields from the recorded requests; full is
// the number of tokens generated at full use.
func (r *Result) computeMeasures(full float64, all []arrival) {
	r.Goodput = 100 * float64(r.goodTokens) / max(full, 1)
	r.GeneratedTokens = r.generatedTokens
	r.Wasted = percent(r.generatedTokens-r.deliveredTokens, r.generatedTokens)
	r.Unfinished = len(all)
	for i := range r.Classes {
		c := &r.Classes[i]
		c.Attainment = percent(c.Met, c.Arrived)
		c.WaitP50, c.WaitP99, c.WaitMax = quantile(c.waits, 0.5), quantile(c.waits, 0.99), quantile(c.waits, 1)
	}
	r.WorstSecondAttainment = 100
	for _, s := range r.perSecond {
		if s.arrived >= minSecondArrivals {
			r.WorstSecondAttainment = min(r.WorstSecondAttainment, percent(s.met, s.arrived))
		}
	}
	r.ShortP99 = quantile(r.shortWaits, 0.99)
	r.ShortRatio = r.ShortP99 / max(quantile(r.shortWaits, 0.5), 0.001)
	r.WindowP99 = quantile(r.windowWaits, 0.99)
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

// quantile sorts values and returns their q-th quantile in seconds, or zero if
// there are none.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := min(int(q*float64(len(values))), len(values)-1)
	return values[i].Seconds()
}
