package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// Gauge is an observable gauge, whose values are read at each scrape. A nil Gauge
// is never read.
type Gauge[L Labels] struct {
	instrument metric.Float64ObservableGauge
	meter      metric.Meter
	series     *series[L]
}

// Observe registers the function that reports the values at each scrape. It must be
// called once, and read must not wait for other processes.
func (g *Gauge[L]) Observe(read func(set func(value float64, l L))) {
	if g == nil {
		return
	}
	// RegisterCallback fails only for an instrument of another meter.
	_, _ = g.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		read(func(value float64, l L) { o.ObserveFloat64(g.instrument, value, g.series.option(l)) })
		return nil
	}, g.instrument)
}

// ObservedCounter is a monotonic counter that another package maintains and that is
// read at each scrape. A nil ObservedCounter is never read.
type ObservedCounter[L Labels] struct {
	instrument metric.Int64ObservableCounter
	meter      metric.Meter
	series     *series[L]
}

// Observe registers the function that reports the counts at each scrape. It must be
// called once, and read must not wait for other processes.
func (c *ObservedCounter[L]) Observe(read func(set func(value int64, l L))) {
	if c == nil {
		return
	}
	// RegisterCallback fails only for an instrument of another meter.
	_, _ = c.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		read(func(value int64, l L) { o.ObserveInt64(c.instrument, value, c.series.option(l)) })
		return nil
	}, c.instrument)
}

func newGauge[L Labels](p *Provider, name, unit string, max int, help string) *Gauge[L] {
	inner, err := p.meter.Float64ObservableGauge(name, metric.WithDescription(help), metric.WithUnit(unit))
	if unit == "s" {
		name += "_seconds"
	}
	p.define(KindGauge, name, max, help, labelNames[L](), err)
	return &Gauge[L]{inner, p.meter, newSeries[L](max)}
}

func newObservedCounter[L Labels](p *Provider, name string, max int, help string) *ObservedCounter[L] {
	inner, err := p.meter.Int64ObservableCounter(name, metric.WithDescription(help))
	p.define(KindCounter, name+"_total", max, help, labelNames[L](), err)
	return &ObservedCounter[L]{inner, p.meter, newSeries[L](max)}
}
