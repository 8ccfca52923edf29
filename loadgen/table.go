package loadgen

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// WriteTable writes one line per class, then the refusals, incomplete answers and
// first wrong answers. Latencies are the 50th, 95th and 99th percentiles.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tSENT\tWHOLE\tATTAINED\tREFUSED\tINCOMPLETE\tWRONG\tNOT SENT\tFIRST TOKEN\tINTER TOKEN\tWHOLE ANSWER")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n",
			c.Name, c.Sent, c.Whole, 100*c.Attainment(), c.RefusedCount(), c.IncompleteCount(), c.Wrong, c.NotSent,
			percentiles(c.FirstToken), percentiles(c.InterToken), percentiles(c.WholeTime))
	}
	for _, c := range r.Classes {
		c.writeDetails(t)
	}
	return t.Flush()
}

func percentiles(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	at := func(p float64) time.Duration {
		d := time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
		return d.Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%v/%v/%v", at(50), at(95), at(99))
}

// writeDetails ignores write errors; Flush reports them.
func (c *ClassReport) writeDetails(w io.Writer) {
	refusals := slices.SortedFunc(maps.Keys(c.Refused), func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Execution, b.Execution))
	})
	for _, k := range refusals {
		fmt.Fprintf(w, "%s: refused %d x %s\n", c.Name, c.Refused[k], k)
	}
	if n := c.RefusalTime.TotalCount(); n > 0 {
		fmt.Fprintf(w, "%s: refused after %s, %d without Retry-After\n", c.Name, percentiles(c.RefusalTime), c.WithoutRetryAfter)
	}
	for _, reason := range slices.Sorted(maps.Keys(c.Incomplete)) {
		fmt.Fprintf(w, "%s: incomplete %d x %s\n", c.Name, c.Incomplete[reason], reason)
	}
	for _, f := range c.Failures {
		if f.Outcome == Wrong {
			fmt.Fprintf(w, "%s: wrong: %s\n", c.Name, f.Reason)
		}
	}
}

// String returns the result code with its name, or the HTTP status if there is no
// code.
func (k Refusal) String() string {
	if k.Code == 0 {
		return fmt.Sprintf("HTTP %d without a code", k.Status)
	}
	code := resultcode.Code(k.Code)
	return fmt.Sprintf("%d %s, execution %s", k.Code, code, cmp.Or(k.Execution, "not stated"))
}
