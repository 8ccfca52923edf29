package burn

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	// Plots are 340 px wide, the width of a phone, so that their text stays
	// readable there; 1 px is 0.75 pt.
	plotWidth  = 340 * vg.Length(0.75)
	plotHeight = 220 * vg.Length(0.75)
	// maxPlotted limits the classes in a plot to the most urgent ones.
	maxPlotted = 6
)

var objectiveColour = color.Gray{Y: 0x60}

// attainmentPlot draws the attainment by class over 6 h. A step without counted
// requests is drawn as a gap, not as zero.
func (r *Report) attainmentPlot() ([]byte, error) {
	p := newPlot()
	p.Title.Text = "Attainment in %"
	p.X.Label.Text = "hours ago"
	p.Y.Min, p.Y.Max = 0, 100
	for i, c := range r.Series[:min(len(r.Series), maxPlotted)] {
		if err := addAttainment(p, i, c, r.StepSeconds); err != nil {
			return nil, err
		}
	}
	objective := plotter.NewFunction(func(float64) float64 { return 100 * r.Objective })
	objective.Color = objectiveColour
	objective.Dashes = plotutil.Dashes(1)
	p.Add(objective)
	// The margin beyond 0 keeps the newest point and its label inside the plot.
	p.X.Min, p.X.Max = -6, 0.2
	p.X.Tick.Marker = plot.ConstantTicks(hourTicks())
	// The margin above 100 keeps a line at full attainment off the frame.
	p.Y.Min, p.Y.Max = 0, 105
	return renderSVG(p)
}

func hourTicks() []plot.Tick {
	var ticks []plot.Tick
	for h := range 7 {
		ticks = append(ticks, plot.Tick{Value: -float64(h), Label: fmt.Sprint(h)})
	}
	return ticks
}

func addAttainment(p *plot.Plot, i int, c ClassSeries, stepSeconds int64) error {
	segments := segments(c, stepSeconds)
	for _, points := range segments {
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return fmt.Errorf("plot class %s: %w", c.Class, err)
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		dots.Color = plotutil.Color(i)
		dots.Shape = plotutil.Shape(i)
		dots.Radius = vg.Points(2.5)
		p.Add(line, dots)
	}
	return nil
}

// segments returns the points of each uninterrupted run of steps with counted
// requests. X is the age in hours as a negative number, Y the attainment in
// percent.
func segments(c ClassSeries, stepSeconds int64) []plotter.XYs {
	var out []plotter.XYs
	var run plotter.XYs
	for age := range c.Met {
		counted := c.Met[age] + c.Missed[age]
		if counted == 0 {
			if run != nil {
				out = append(out, run)
			}
			run = nil
			continue
		}
		ago := time.Duration(int64(age)*stepSeconds) * time.Second
		run = append(run, plotter.XY{X: -ago.Hours(), Y: 100 * float64(c.Met[age]) / float64(counted)})
	}
	if run != nil {
		out = append(out, run)
	}
	return out
}

// phase is one part of a request's duration, or the whole of it.
type phase struct {
	name        string
	percentiles func(ServiceLevel) Percentiles
}

var phases = []phase{
	{"queue", func(l ServiceLevel) Percentiles { return l.Queue }},
	{"first token", func(l ServiceLevel) Percentiles { return l.FirstToken }},
	{"between tokens", func(l ServiceLevel) Percentiles { return l.InterToken }},
	{"whole", func(l ServiceLevel) Percentiles { return l.Whole }},
}

// phasePlot draws the p95 of each phase by class. The axis is logarithmic to base
// 10, because tokens take milliseconds and complete responses minutes; times below
// 1 ms are drawn as 1 ms.
func (w *WindowReport) phasePlot() ([]byte, error) {
	p := newPlot()
	p.Title.Text = fmt.Sprintf("p95 by phase in ms, last %s", formatPeriod(w.Seconds))
	lines := w.Classes[:min(len(w.Classes), maxPlotted)]
	highest := 1.0
	for i, ph := range phases {
		values := make(plotter.Values, len(lines))
		for j, l := range lines {
			values[j] = math.Log10(math.Max(ph.percentiles(l).P95, 1))
			highest = math.Max(highest, values[j])
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, fmt.Errorf("plot phases: %w", err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(phases)-1)/2)
		p.Add(bars)
	}
	var names []string
	for _, l := range lines {
		names = append(names, l.Class)
	}
	p.NominalX(names...)
	p.Y.Tick.Marker = plot.ConstantTicks(decadeTicks())
	p.Y.Min, p.Y.Max = 0, highest*headroomFactor
	p.X.Min, p.X.Max = -0.5, float64(len(lines))-0.5
	return renderSVG(p)
}

const (
	barWidth = vg.Length(6)
	// maxDecade is the exponent of 10 above the longest duration of a Histogram,
	// 3.6 million ms.
	maxDecade = 7
	// headroomFactor is the ratio of the plot's height to the highest bar.
	headroomFactor = 1.1
)

func decadeTicks() []plot.Tick {
	var ticks []plot.Tick
	for d := range maxDecade {
		ticks = append(ticks, plot.Tick{Value: float64(d), Label: fmt.Sprintf("%.0f", math.Pow10(d))})
	}
	return ticks
}

// legendItem explains a colour of a plot. Legends are HTML text, which wraps; the
// plot library would place them by the character widths of its own font.
type legendItem struct {
	Name   string
	Colour template.CSS
}

func newLegendItem(i int, name string) legendItem {
	r, g, b, _ := plotutil.Color(i).RGBA()
	const byteShift = 8
	return legendItem{name, template.CSS(fmt.Sprintf("#%02x%02x%02x", r>>byteShift, g>>byteShift, b>>byteShift))}
}

func (r *Report) attainmentLegend() []legendItem {
	var items []legendItem
	for i, c := range r.Series[:min(len(r.Series), maxPlotted)] {
		items = append(items, newLegendItem(i, c.Class))
	}
	return items
}

func phaseLegend() []legendItem {
	var items []legendItem
	for i, ph := range phases {
		items = append(items, newLegendItem(i, ph.name))
	}
	return items
}

// newPlot returns a plot with a sans-serif font, whose character widths match the
// fonts in the style sheet of the page.
func newPlot() *plot.Plot {
	p := plot.New()
	for _, style := range []*text.Style{
		&p.Title.TextStyle, &p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label,
	} {
		style.Font.Variant = "Sans"
	}
	return p
}

// renderSVG renders p without the XML header, so that it can be embedded in HTML.
func renderSVG(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("render plot: %w", err)
	}
	rendered := out.Bytes()
	start := bytes.Index(rendered, []byte("<svg"))
	if start < 0 {
		return nil, fmt.Errorf("render plot: no svg element")
	}
	return rendered[start:], nil
}
