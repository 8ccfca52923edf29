// Package capacity measures what the processes of a site cost: bytes per
// second, processor time, memory and goroutines against the number of
// endpoints, client accounts, models, open streams and processes. Each series
// is measured at four sizes or more, each size at least three times, and a
// straight line is fitted through the results; docs/CAPACITY.md works out the
// planned size from the slopes. The router and the agent under measurement run
// as processes of their own, so that their processor time and memory do not mix
// with those of the stand-ins. Command slopes runs everything.
package capacity

import (
	"math"
	"slices"
)

// Part states to which path of the system a cost belongs.
type Part string

// The control path exists without requests: catalog, probes, VM list, lease and
// claims of idle processes. The data path is requests and frames.
const (
	Control Part = "control"
	Data    Part = "data"
)

// Point is one size with the results of its repetitions.
type Point struct {
	X      float64   `json:"x"`
	Values []float64 `json:"values"`
}

// Series is one cost against one size.
type Series struct {
	Part Part   `json:"part"`
	Role string `json:"role"`
	// Cost names what was measured, with its unit.
	Cost string `json:"cost"`
	// Axis names the size.
	Axis   string  `json:"axis"`
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
	// Spread is the largest difference between repetitions of one size, as a
	// share of their median.
	Spread float64 `json:"spread"`
}

// Line is a least-squares fit.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of the slope.
	SlopeError float64 `json:"slope_error"`
	// R2 is the share of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Add appends a repetition of a size.
func (s *Series) Add(x, value float64) {
	for i := range s.Points {
		if s.Points[i].X == x {
			s.Points[i].Values = append(s.Points[i].Values, value)
			return
		}
	}
	s.Points = append(s.Points, Point{X: x, Values: []float64{value}})
}

// Finish computes the line and the spread.
func (s *Series) Finish() {
	var xs, ys []float64
	s.Spread = 0
	for _, p := range s.Points {
		for _, v := range p.Values {
			xs, ys = append(xs, p.X), append(ys, v)
		}
		if m := Median(p.Values); m != 0 {
			s.Spread = max(s.Spread, (slices.Max(p.Values)-slices.Min(p.Values))/math.Abs(m))
		}
	}
	s.Line = Fit(xs, ys)
}

// Fit returns the least-squares line through the points. With fewer than two
// different x the slope is zero.
func Fit(xs, ys []float64) Line {
	meanX, meanY := mean(xs), mean(ys)
	var sxx, sxy, syy float64
	for i := range xs {
		dx, dy := xs[i]-meanX, ys[i]-meanY
		sxx += dx * dx
		sxy += dx * dy
		syy += dy * dy
	}
	if sxx == 0 {
		return Line{Intercept: meanY}
	}
	l := Line{Slope: sxy / sxx}
	l.Intercept = meanY - l.Slope*meanX
	residual := max(syy-l.Slope*sxy, 0)
	if syy > 0 {
		l.R2 = 1 - residual/syy
	}
	if n := len(xs); n > 2 {
		l.SlopeError = math.Sqrt(residual / float64(n-2) / sxx)
	}
	return l
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Median returns the middle value; zero without values.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}
