package site

import (
	"bytes"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 8 * vg.Length(1)
	// legendHeadroom is the height of the y axis relative to the highest bar, which
	// leaves room for the legend.
	legendHeadroom = 1.5
)

// Chart is a bar chart of one measure by scenario and policy.
type Chart struct {
	// File is the last part of the file name, without the extension.
	File  string
	title string
	value func(*Result) float64
}

// Charts returns the charts that are drawn for each workload.
func Charts() []Chart {
	return []Chart{
		{"urgent", "Urgent requests that met their targets, % (higher is better)", func(r *Result) float64 { return r.Classes[0].Attainment }},
		{"goodput", "Useful tokens, % of full use (higher is better)", func(r *Result) float64 { return r.Goodput }},
		{"crest", "Requests that met their targets in the worst second, % (higher is better)", func(r *Result) float64 { return r.WorstSecondAttainment }},
		{"short", "Wait of the slowest 1 in 100 short requests, s (lower is better)", func(r *Result) float64 { return r.ShortP99 }},
	}
}

// SVG draws the chart for the results of one workload and seed.
func (c Chart) SVG(results []*Result) ([]byte, error) {
	p := plot.New()
	p.Title.Text = results[0].Workload + ": " + c.title
	scenarios, policies := scenariosAndPolicies(results)
	highest := 0.1
	for i, policy := range policies {
		values := make(plotter.Values, len(scenarios))
		for j, scenario := range scenarios {
			if r := results[0].findResult(results, scenario, policy); r != nil {
				values[j] = c.value(r)
			}
			highest = max(highest, values[j])
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", c.File, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(scenarios...)
	p.Legend.Top = true
	p.Y.Min, p.Y.Max = 0, highest*legendHeadroom
	return render(p)
}

// scenariosAndPolicies lists the scenarios and policies in the order of the
// results.
func scenariosAndPolicies(results []*Result) (scenarios, policies []string) {
	seen := make(map[string]bool)
	for _, r := range results {
		if !seen["s/"+r.Scenario] {
			seen["s/"+r.Scenario] = true
			scenarios = append(scenarios, r.Scenario)
		}
		if !seen["p/"+r.Policy] {
			seen["p/"+r.Policy] = true
			policies = append(policies, r.Policy)
		}
	}
	return scenarios, policies
}

func render(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("render plot: %w", err)
	}
	return out.Bytes(), nil
}
