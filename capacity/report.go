package capacity

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"
)

// Report holds the results of one run.
type Report struct {
	StartedAt time.Time `json:"at"`
	Cores     int       `json:"cores"`
	GoVersion string    `json:"go_version"`
	// Elapsed is the duration of the run in seconds.
	Elapsed      float64       `json:"took_s"`
	Series       []*Series     `json:"series"`
	Propagations []Propagation `json:"propagations"`
	Transfers    []Transfer    `json:"transfers"`
}

// Step is a named part of a run that can be selected on its own.
type Step struct {
	Name string
	run  func(log io.Writer, r *Report) error
}

// Steps returns the steps of a run in order.
func Steps() []Step {
	return []Step{
		{"static", appendSeries(func(io.Writer) ([]*Series, error) {
			return concatSeries(MeasureAccounts, MeasureVMListReads, MeasureSelections, MeasureHandshakes, MeasureClaims, func() ([]*Series, error) { return MeasureLeases(), nil })
		})},
		{"idle-router", appendSeries(MeasureIdleRouter)},
		{"probed-agent", appendSeries(MeasureProbedAgent)},
		{"streams", appendSeries(MeasureStreams)},
		{"requests", appendSeries(MeasureRequests)},
		{"ended", appendSeries(MeasureEnded)},
		{"propagation", func(log io.Writer, r *Report) error {
			p, series, err := MeasurePropagations(log)
			r.Propagations = p
			r.Series = append(r.Series, series...)
			return err
		}},
		{"transfer", func(_ io.Writer, r *Report) (err error) {
			r.Transfers, err = MeasureTransfers()
			return err
		}},
	}
}

func appendSeries(measure func(io.Writer) ([]*Series, error)) func(io.Writer, *Report) error {
	return func(log io.Writer, r *Report) error {
		series, err := measure(log)
		r.Series = append(r.Series, series...)
		return err
	}
}

func concatSeries(measures ...func() ([]*Series, error)) ([]*Series, error) {
	var all []*Series
	for _, measure := range measures {
		series, err := measure()
		if err != nil {
			return nil, err
		}
		all = append(all, series...)
	}
	return all, nil
}

// Run runs the steps for which want returns true and writes progress to log.
func Run(log io.Writer, want func(step string) bool) (*Report, error) {
	r := &Report{StartedAt: time.Now().UTC(), Cores: runtime.NumCPU(), GoVersion: runtime.Version()}
	for _, step := range Steps() {
		if !want(step.Name) {
			continue
		}
		fmt.Fprintf(log, "step %s\n", step.Name)
		if err := step.run(log, r); err != nil {
			return nil, fmt.Errorf("step %s: %w", step.Name, err)
		}
	}
	r.Elapsed = time.Since(r.StartedAt).Seconds()
	return r, nil
}

// WriteTable writes the report as aligned text for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%d cores, %s, %.0f s\n\n", r.Cores, r.GoVersion, r.Elapsed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "part\trole\tcost\tagainst\tat zero\tslope\t+-\tR2\tspread\tmedians")
	for _, s := range r.Series {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%.3f\t%.0f%%\t%s\n",
			s.Path, s.Role, s.Cost, s.Axis, s.Line.Intercept, s.Line.Slope, s.Line.SlopeError, s.Line.R2, 100*s.Spread, s.medians())
	}
	fmt.Fprintln(t, "\nprocesses\tstore\thalf\tall\treads\tmost reads/s\tpeer fetches\tpeer bytes")
	for _, p := range r.Propagations {
		fmt.Fprintf(t, "%d\t%s\t%.2f s\t%s\t%d\t%d\t%d\t%d\n",
			p.Processes, p.Store, p.HalfTime, p.fullTimeText(), p.Reads, p.PeakReads, p.PeerFetches, p.PeerBytes)
	}
	fmt.Fprintln(t, "\nlink\tway\tmedian\tleast\tmost\tbytes")
	for _, x := range r.Transfers {
		fmt.Fprintf(t, "%s\t%s\t%.1f ms\t%.1f ms\t%.1f ms\t%.0f\n", x.Link, x.Method, x.Median, x.Min, x.Max, x.Bytes)
	}
	return t.Flush()
}

func (s *Series) medians() string {
	text := ""
	for _, p := range s.Points {
		text += fmt.Sprintf("%g:%.4g ", p.X, Median(p.Values))
	}
	return text
}

func (p Propagation) fullTimeText() string {
	if p.FullTime == 0 {
		return "not within " + propagationTimeout.String()
	}
	return fmt.Sprintf("%.2f s", p.FullTime)
}
