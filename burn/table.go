package burn

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// maxRecentlyStarted limits the routers listed as recently started.
const maxRecentlyStarted = 5

// WriteTable writes the report as plain-text tables for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "Service levels at %s, objective %.0f%%\n", r.MadeAt.Format(time.RFC3339), 100*r.Objective)
	r.writeRouters(&out)
	for i := range r.Windows {
		r.Windows[i].write(&out)
	}
	_, err := w.Write(out.Bytes())
	return err
}

func (r *Report) writeRouters(out *bytes.Buffer) {
	fmt.Fprintf(out, "Routers: %d read, %d missing\n", len(r.Routers), len(r.Missing))
	for _, m := range r.Missing {
		fmt.Fprintf(out, "  missing: %s: %s\n", m.Router, m.Reason)
	}
	recentlyStarted := r.recentlyStarted()
	for _, p := range recentlyStarted[:min(len(recentlyStarted), maxRecentlyStarted)] {
		fmt.Fprintf(out, "  started recently: %s covers the last %s only\n", p.Router, formatPeriod(p.CoveredSeconds))
	}
	if n := len(recentlyStarted) - maxRecentlyStarted; n > 0 {
		fmt.Fprintf(out, "  started recently: %d more\n", n)
	}
}

func (w *WindowReport) write(out *bytes.Buffer) {
	fmt.Fprintf(out, "\nLast %s\n", formatPeriod(w.Seconds))
	if len(w.Profiles) == 0 {
		fmt.Fprintln(out, "  no requests")
		return
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  CLASS\tPROFILE\tTIER\tREQUESTS\tATTAINMENT\tBUDGET LEFT\tBURN RATE\tRAN\tNOT RUN\tUNKNOWN")
	for _, l := range w.Classes {
		l.writeLevels(table, "(all)")
	}
	for _, l := range w.Profiles {
		l.writeLevels(table, l.Profile)
	}
	// Flush ends the column block, so that the next table has its own column widths.
	table.Flush()
	fmt.Fprintln(table, "  CLASS\tPROFILE\tQUEUE p50/p95/p99\tFIRST TOKEN\tBETWEEN TOKENS\tWHOLE")
	for _, l := range w.Profiles {
		fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%s\t%s\n", l.Class, l.Profile,
			l.Queue.format(), l.FirstToken.format(), l.InterToken.format(), l.Whole.format())
	}
	table.Flush()
	for _, l := range w.Profiles {
		for _, f := range l.Failures {
			fmt.Fprintf(out, "  failures of %s: %d x %d %s\n", l.Profile, f.Count, f.Code, f.Name)
		}
	}
	for _, e := range w.Endpoints {
		fmt.Fprintf(out, "  endpoint %s: %.1f%% bad; %d requests, %d missed, %d failed\n",
			e.Name, 100*e.BadShare, e.Requests, e.Missed, e.Failed)
	}
}

func (l *ServiceLevel) writeLevels(w io.Writer, profile string) {
	fmt.Fprintf(w, "  %s\t%s\t%d\t%d\t%s\t%s\t%s\t%d\t%d\t%d\n", l.Class, profile, l.Tier, l.Requests,
		formatPercent(l.Attainment), formatPercent(l.BudgetLeft), formatRate(l.BurnRate), l.Ran, l.NotRun, l.Unknown)
}
