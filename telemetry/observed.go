package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// Gauge is a current value that is read at each scrape. A nil Gauge is never
// read.
type Gauge[L Labels] struct {
	inner  metric.Float64ObservableGauge
	meter  metric.Meter
	series *series[L]
}

// Observe sets the function that reports the values at each scrape. It is called
// once, and read must return without waiting for other processes.
func (g *Gauge[L]) Observe(read func(set func(value float64, l L))) {
	if g == nil {
		return
	}
	// Registration fails only for an instrument of another meter.
	_, _ = g.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		read(func(value float64, l L) { o.ObserveFloat64(g.inner, value, g.series.option(l)) })
		return nil
	}, g.inner)
}

// ObservedCounter is a rising count that another package keeps. It is read at
// each scrape. A nil ObservedCounter is never read.
type ObservedCounter[L Labels] struct {
	inner  metric.Int64ObservableCounter
	meter  metric.Meter
	series *series[L]
}

// Observe sets the function that reports the counts at each scrape. It is called
// once, and read must return without waiting for other processes.
func (c *ObservedCounter[L]) Observe(read func(set func(value int64, l L))) {
	if c == nil {
		return
	}
	// Registration fails only for an instrument of another meter.
	_, _ = c.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		read(func(value int64, l L) { o.ObserveInt64(c.inner, value, c.series.option(l)) })
		return nil
	}, c.inner)
}

func newGauge[L Labels](p *Provider, name, unit string, max int, help string) *Gauge[L] {
	inner, err := p.meter.Float64ObservableGauge(name, metric.WithDescription(help), metric.WithUnit(unit))
	if unit == "s" {
		name += "_seconds"
	}
	p.define(KindGauge, name, max, help, names[L](), err)
	return &Gauge[L]{inner, p.meter, newSeries[L](max)}
}

func newObservedCounter[L Labels](p *Provider, name string, max int, help string) *ObservedCounter[L] {
	inner, err := p.meter.Int64ObservableCounter(name, metric.WithDescription(help))
	p.define(KindCounter, name+"_total", max, help, names[L](), err)
	return &ObservedCounter[L]{inner, p.meter, newSeries[L](max)}
}
