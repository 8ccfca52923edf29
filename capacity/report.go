package capacity

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"
)

// Report is the result of one run.
type Report struct {
	At           time.Time     `json:"at"`
	Cores        int           `json:"cores"`
	GoVersion    string        `json:"go_version"`
	Took         float64       `json:"took_s"`
	Series       []*Series     `json:"series"`
	Propagations []Propagation `json:"propagations"`
	Transfers    []Transfer    `json:"transfers"`
}

// Step is one part of a run.
type Step struct {
	Name string
	run  func(log io.Writer, r *Report) error
}

// Steps lists the parts of a run in their order.
func Steps() []Step {
	return []Step{
		{"static", seriesOf(func(io.Writer) ([]*Series, error) {
			return joined(Accounts, VMListReads, Selections, Handshakes, Claims, func() ([]*Series, error) { return Leases(), nil })
		})},
		{"idle-router", seriesOf(IdleRouter)},
		{"probed-agent", seriesOf(ProbedAgent)},
		{"streams", seriesOf(Streams)},
		{"requests", seriesOf(Requests)},
		{"ended", seriesOf(Ended)},
		{"propagation", func(log io.Writer, r *Report) error {
			p, series, err := Propagations(log)
			r.Propagations = p
			r.Series = append(r.Series, series...)
			return err
		}},
		{"transfer", func(_ io.Writer, r *Report) (err error) {
			r.Transfers, err = Transfers()
			return err
		}},
	}
}

func seriesOf(measure func(io.Writer) ([]*Series, error)) func(io.Writer, *Report) error {
	return func(log io.Writer, r *Report) error {
		series, err := measure(log)
		r.Series = append(r.Series, series...)
		return err
	}
}

func joined(measures ...func() ([]*Series, error)) ([]*Series, error) {
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

// Run measures the steps for which want returns true. Progress goes to log.
func Run(log io.Writer, want func(step string) bool) (*Report, error) {
	r := &Report{At: time.Now().UTC(), Cores: runtime.NumCPU(), GoVersion: runtime.Version()}
	for _, step := range Steps() {
		if !want(step.Name) {
			continue
		}
		fmt.Fprintf(log, "step %s\n", step.Name)
		if err := step.run(log, r); err != nil {
			return nil, fmt.Errorf("step %s: %w", step.Name, err)
		}
	}
	r.Took = time.Since(r.At).Seconds()
	return r, nil
}

// WriteTable writes the report for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%d cores, %s, %.0f s\n\n", r.Cores, r.GoVersion, r.Took)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "part\trole\tcost\tagainst\tat zero\tslope\t+-\tR2\tspread\tmedians")
	for _, s := range r.Series {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%.3f\t%.0f%%\t%s\n",
			s.Part, s.Role, s.Cost, s.Axis, s.Line.Intercept, s.Line.Slope, s.Line.SlopeError, s.Line.R2, 100*s.Spread, s.medians())
	}
	fmt.Fprintln(t, "\nprocesses\tstore\thalf\tall\treads\tmost reads/s\tpeer fetches\tpeer bytes")
	for _, p := range r.Propagations {
		fmt.Fprintf(t, "%d\t%s\t%.2f s\t%s\t%d\t%d\t%d\t%d\n",
			p.Processes, p.Store, p.Median, p.inForce(), p.Reads, p.PeakReads, p.PeerFetches, p.PeerBytes)
	}
	fmt.Fprintln(t, "\nlink\tway\tmedian\tleast\tmost\tbytes")
	for _, x := range r.Transfers {
		fmt.Fprintf(t, "%s\t%s\t%.1f ms\t%.1f ms\t%.1f ms\t%.0f\n", x.Link, x.Way, x.Median, x.Least, x.Most, x.Bytes)
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

func (p Propagation) inForce() string {
	if p.All == 0 {
		return "not within " + propagationLimit.String()
	}
	return fmt.Sprintf("%.2f s", p.All)
}
