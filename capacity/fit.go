// Package capacity measures the resource use of the processes of a site: bytes
// per second, processor time, memory and goroutines as functions of the number of
// endpoints, client accounts, models, open streams and processes. Each series is
// measured at four or more sizes, each size at least three times, and a straight
// line is fitted to the results; docs/CAPACITY.md extrapolates the planned size
// from the slopes. The measured router and agent run as separate processes, so
// that their processor time and memory are not mixed with those of the stand-ins
// for the platform and the engine. Command slopes runs all measurements.
package capacity

import (
	"math"
	"slices"
)

// Path is the path of the system, control or data, that causes a cost.
type Path string

// The control path is active without requests: catalog, probes, VM list, lease
// and claims of idle processes. The data path carries requests and frames.
const (
	Control Path = "control"
	Data    Path = "data"
)

// Point holds the results of all repetitions at one size, X.
type Point struct {
	X      float64   `json:"x"`
	Values []float64 `json:"values"`
}

// Series holds the measurements of one cost as a function of one size.
type Series struct {
	Path Path   `json:"part"`
	Role string `json:"role"`
	// Cost names the measured quantity with its unit.
	Cost string `json:"cost"`
	// Axis names the quantity that X counts, such as endpoints.
	Axis   string  `json:"axis"`
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
	// Spread is the largest difference between repetitions of one size, as a
	// share of their median.
	Spread float64 `json:"spread"`
}

// Line is a straight line fitted by least squares.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of the slope.
	SlopeError float64 `json:"slope_error"`
	// R2 is the coefficient of determination, the share of the variance that the
	// line explains.
	R2 float64 `json:"r2"`
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Add records the value of one repetition at size x.
func (s *Series) Add(x, value float64) {
	for i := range s.Points {
		if s.Points[i].X == x {
			s.Points[i].Values = append(s.Points[i].Values, value)
			return
		}
	}
	s.Points = append(s.Points, Point{X: x, Values: []float64{value}})
}

// Finish computes Line and Spread from the recorded points.
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

// Median returns the median, or zero if there are no values.
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
