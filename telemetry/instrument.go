package telemetry

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Definition describes one instrument for the generated page docs/metrics.md.
type Definition struct {
	// Name is the Prometheus name of the metric.
	Name string
	Kind Kind
	// Labels are the label names.
	Labels []string
	// MaxSeries limits the label combinations; further ones are recorded in one
	// series with the label overflow="true".
	MaxSeries int
	Help      string
}

// Kind is the type of an instrument.
type Kind string

const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Labels is a struct of label values. pairs returns all of them with their names,
// always in the same order.
type Labels interface {
	comparable
	pairs() []attribute.KeyValue
}

// series limits the label combinations of one instrument and caches their
// attribute sets, so that recording a value does not build them again.
type series[L Labels] struct {
	max      int
	mu       sync.RWMutex
	sets     map[L]metric.MeasurementOption
	overflow metric.MeasurementOption
}

func newSeries[L Labels](max int) *series[L] {
	overflow := attribute.NewSet(attribute.Bool("overflow", true))
	return &series[L]{
		max:      max,
		sets:     map[L]metric.MeasurementOption{},
		overflow: metric.WithAttributeSet(overflow),
	}
}

// option returns the cached attribute set of the labels, or the overflow set once
// the limit is reached.
func (s *series[L]) option(l L) metric.MeasurementOption {
	s.mu.RLock()
	option, ok := s.sets[l]
	s.mu.RUnlock()
	if ok {
		return option
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if option, ok := s.sets[l]; ok {
		return option
	}
	if len(s.sets) >= s.max {
		return s.overflow
	}
	option = metric.WithAttributeSet(attribute.NewSet(validPairs(l)...))
	s.sets[l] = option
	return option
}

// validPairs returns the pairs of l with invalid UTF-8 replaced, which would make a
// scrape fail.
func validPairs[L Labels](l L) []attribute.KeyValue {
	pairs := l.pairs()
	for i := range pairs {
		if pairs[i].Value.Type() != attribute.STRING {
			continue
		}
		text := strings.ToValidUTF8(pairs[i].Value.AsString(), "_")
		pairs[i].Value = attribute.StringValue(text)
	}
	return pairs
}

// Counter is a monotonic counter. A nil Counter records nothing.
type Counter[L Labels] struct {
	instrument metric.Int64Counter
	series     *series[L]
}

// Add increases the counter by n, which must not be negative.
func (c *Counter[L]) Add(n int64, l L) {
	if c == nil {
		return
	}
	c.instrument.Add(context.Background(), n, c.series.option(l))
}

// Duration is a histogram of durations in seconds. A nil Duration records nothing.
type Duration[L Labels] struct {
	instrument metric.Float64Histogram
	series     *series[L]
}

// Record adds one duration.
func (h *Duration[L]) Record(d time.Duration, l L) {
	if h == nil {
		return
	}
	h.instrument.Record(context.Background(), d.Seconds(), h.series.option(l))
}

// requestBounds are the bucket bounds of request phases in seconds. They include
// the planned first-token target of 1.5 s.
var requestBounds = []float64{.005, .01, .025, .05, .1, .25, .5, .75, 1, 1.5, 2.5, 5, 10, 30, 60, 120, 300, 600}

func newCounter[L Labels](p *Provider, name string, max int, help string) *Counter[L] {
	inner, err := p.meter.Int64Counter(name, metric.WithDescription(help))
	p.define(KindCounter, name+"_total", max, help, labelNames[L](), err)
	return &Counter[L]{inner, newSeries[L](max)}
}

func newDuration[L Labels](p *Provider, name string, bounds []float64, max int, help string) *Duration[L] {
	inner, err := p.meter.Float64Histogram(name,
		metric.WithDescription(help),
		metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(bounds...),
	)
	p.define(KindHistogram, name+"_seconds", max, help, labelNames[L](), err)
	return &Duration[L]{inner, newSeries[L](max)}
}

// define records the definition of an instrument and the error of its creation.
func (p *Provider) define(kind Kind, name string, max int, help string, labels []string, err error) {
	if err != nil {
		p.errs = append(p.errs, err)
	}
	p.defs = append(p.defs, Definition{namespace + "_" + name, kind, labels, max, help})
}

func labelNames[L Labels]() []string {
	var zero L
	pairs := zero.pairs()
	out := make([]string, len(pairs))
	for i := range pairs {
		out[i] = string(pairs[i].Key)
	}
	return out
}
