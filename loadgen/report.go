package loadgen

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiowind/pistachiowind/catalog"
)

const (
	// Histograms hold microseconds up to one hour with two significant figures.
	histogramMax     = int64(time.Hour / time.Microsecond)
	histogramFigures = 2

	// maxFailures limits ClassReport.Failures.
	maxFailures = 20
	// maxReasons limits the distinct reasons per class; further ones are counted as
	// "other".
	maxReasons = 50

	// interTokenShare is the fraction of a stream's gaps that must meet the target.
	interTokenShare = 0.95
)

// Report is the result of a run.
type Report struct {
	Elapsed time.Duration
	// Classes are in the order of Options.Classes.
	Classes []*ClassReport
}

// Refusal identifies a kind of refusal.
type Refusal struct {
	Status int
	// Code is the result code, zero if the answer has none.
	Code int
	// Execution is empty if the answer has none.
	Execution string
}

// ClassReport counts the requests of one class. Sent is the sum of Whole, Wrong
// and all counts in Refused and Incomplete.
type ClassReport struct {
	Name   string
	Target catalog.Target
	Sent   int
	// NotSent counts requests that were due while Options.MaxOpen requests were in
	// progress.
	NotSent int
	Whole   int
	Wrong   int
	Refused map[Refusal]int
	// Incomplete counts by reason. The reason of an error event includes its code
	// and execution.
	Incomplete map[string]int
	// Attained counts whole answers that met the target: for the first token, for
	// the whole answer, and for 95 in 100 of the times between tokens.
	Attained int
	// WithoutRetryAfter counts refusals with status 429 or 503 without Retry-After.
	WithoutRetryAfter int
	// Chunks of streamed text in whole answers, and in all others.
	TextChunks, WastedTextChunks int
	// MaxSendDelay is the longest SendDelay, which shows whether the generator kept
	// its schedule.
	MaxSendDelay time.Duration
	// Failures are the first wrong and incomplete results.
	Failures []Result

	// FirstToken covers all requests that received a first token or the headers of
	// an answer, InterToken all streams, WholeTime whole answers and RefusalTime
	// refusals. All are in microseconds.
	FirstToken, InterToken, WholeTime, RefusalTime *hdrhistogram.Histogram
}

func newReport(classes []Class) *Report {
	report := &Report{}
	for _, c := range classes {
		report.Classes = append(report.Classes, &ClassReport{
			Name:        c.Name,
			Target:      c.Target,
			Refused:     make(map[Refusal]int),
			Incomplete:  make(map[string]int),
			FirstToken:  newHistogram(),
			InterToken:  newHistogram(),
			WholeTime:   newHistogram(),
			RefusalTime: newHistogram(),
		})
	}
	return report
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramFigures)
}

// observe records a time; a time beyond the histogram's range is recorded as its
// maximum.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// Class returns the report of the class with the given name, or nil.
func (r *Report) Class(name string) *ClassReport {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Attainment returns the fraction of the sent requests that attained the target, 1
// if none was sent. A refused request has not attained it.
func (c *ClassReport) Attainment() float64 {
	if c.Sent == 0 {
		return 1
	}
	return float64(c.Attained) / float64(c.Sent)
}

// RefusedCount returns the sum of Refused.
func (c *ClassReport) RefusedCount() int {
	sum := 0
	for _, n := range c.Refused {
		sum += n
	}
	return sum
}

// IncompleteCount returns the sum of Incomplete.
func (c *ClassReport) IncompleteCount() int {
	sum := 0
	for _, n := range c.Incomplete {
		sum += n
	}
	return sum
}

func (c *ClassReport) add(r Result) {
	c.Sent++
	c.MaxSendDelay = max(c.MaxSendDelay, r.SendDelay)
	c.addTimes(r)
	switch r.Outcome {
	case Whole:
		c.Whole++
		if meetsTarget(r, c.Target) {
			c.Attained++
		}
		return
	case Refused:
		c.Refused[Refusal{r.Status, r.Code, r.Execution}]++
		if (r.Status == 429 || r.Status == 503) && !r.RetryAfter {
			c.WithoutRetryAfter++
		}
		return
	case Wrong:
		c.Wrong++
	case Incomplete:
		c.addIncomplete(r)
	}
	if len(c.Failures) < maxFailures {
		c.Failures = append(c.Failures, r)
	}
}

func (c *ClassReport) addIncomplete(r Result) {
	reason := r.Reason
	if r.Code != 0 || r.Execution != "" {
		reason = fmt.Sprintf("%s %d %s", r.Reason, r.Code, r.Execution)
	}
	if _, known := c.Incomplete[reason]; !known && len(c.Incomplete) >= maxReasons {
		reason = "other"
	}
	c.Incomplete[reason]++
}

func (c *ClassReport) addTimes(r Result) {
	if r.FirstToken > 0 {
		observe(c.FirstToken, r.FirstToken)
	}
	for _, gap := range r.Gaps {
		observe(c.InterToken, gap)
	}
	switch r.Outcome {
	case Whole:
		observe(c.WholeTime, r.TotalTime)
		c.TextChunks += r.TextChunks
	case Refused:
		observe(c.RefusalTime, r.TotalTime)
	default:
		c.WastedTextChunks += r.TextChunks
	}
}

func meetsTarget(r Result, target catalog.Target) bool {
	if !within(r.FirstToken, target.FirstTokenMS) || !within(r.TotalTime, target.WholeMS) {
		return false
	}
	late := 0
	for _, gap := range r.Gaps {
		if !within(gap, target.InterTokenMS) {
			late++
		}
	}
	return float64(late) <= (1-interTokenShare)*float64(len(r.Gaps))
}

// within reports whether d meets the target; a target of zero is always met.
func within(d time.Duration, targetMS int) bool {
	return targetMS == 0 || d <= time.Duration(targetMS)*time.Millisecond
}
