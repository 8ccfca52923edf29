package telemetry

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
)

// interTokenBounds are the bucket bounds of inter-token times in seconds. They
// include the planned target of 44 ms.
var interTokenBounds = [...]float64{.002, .005, .01, .015, .02, .03, .044, .06, .08, .1, .15, .25, .5, 1, 3, 10}

// InterTokenCounts counts the inter-token times of one response in the buckets of an
// InterTokenDuration. Add takes no lock and allocates nothing, because it runs for
// each token. The zero value is empty. It is not safe for concurrent use.
type InterTokenCounts struct {
	counts [len(interTokenBounds) + 1]uint64
	count  uint64
	sum    float64
}

// Add counts one inter-token time.
func (c *InterTokenCounts) Add(d time.Duration) {
	seconds := d.Seconds()
	i := 0
	for i < len(interTokenBounds) && seconds > interTokenBounds[i] {
		i++
	}
	c.counts[i]++
	c.count++
	c.sum += seconds
}

func (c *InterTokenCounts) merge(o *InterTokenCounts) {
	for i, n := range o.counts {
		c.counts[i] += n
	}
	c.count += o.count
	c.sum += o.sum
}

// InterTokenDuration is a histogram of inter-token times to which the counts of a
// complete response are added at once. A nil InterTokenDuration records nothing.
type InterTokenDuration[L Labels] struct {
	name, help string
	start      time.Time
	max        int

	mu       sync.Mutex
	merged   map[L]*InterTokenCounts
	overflow InterTokenCounts
}

// Merge adds the counts of one response. Label combinations beyond the limit are
// counted in one overflow series.
func (h *InterTokenDuration[L]) Merge(c *InterTokenCounts, l L) {
	if h == nil || c.count == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.merged[l]
	if !ok && len(h.merged) >= h.max {
		h.overflow.merge(c)
		return
	}
	if !ok {
		known = &InterTokenCounts{}
		h.merged[l] = known
	}
	known.merge(c)
}

func (h *InterTokenDuration[L]) collect(now time.Time) metricdata.Metrics {
	h.mu.Lock()
	defer h.mu.Unlock()
	data := metricdata.Histogram[float64]{Temporality: metricdata.CumulativeTemporality}
	for l, c := range h.merged {
		data.DataPoints = append(data.DataPoints, h.point(now, c, attribute.NewSet(validPairs(l)...)))
	}
	if h.overflow.count > 0 {
		set := attribute.NewSet(attribute.Bool("overflow", true))
		data.DataPoints = append(data.DataPoints, h.point(now, &h.overflow, set))
	}
	return metricdata.Metrics{Name: h.name, Description: h.help, Unit: "s", Data: data}
}

func (h *InterTokenDuration[L]) point(now time.Time, c *InterTokenCounts, set attribute.Set) metricdata.HistogramDataPoint[float64] {
	return metricdata.HistogramDataPoint[float64]{
		Attributes:   set,
		StartTime:    h.start,
		Time:         now,
		Count:        c.count,
		Bounds:       interTokenBounds[:],
		BucketCounts: append([]uint64(nil), c.counts[:]...),
		Sum:          c.sum,
	}
}

func newInterTokenDuration[L Labels](p *Provider, name string, max int, help string) *InterTokenDuration[L] {
	h := &InterTokenDuration[L]{name: name, help: help, start: time.Now(), max: max, merged: map[L]*InterTokenCounts{}}
	p.define(KindHistogram, name+"_seconds", max, help, labelNames[L](), nil)
	p.merged.add(h.collect)
	return h
}

// histogramProducer passes the InterTokenDuration histograms to the exporter. They
// are not recorded through the meter, which takes one value at a time.
type histogramProducer struct {
	mu       sync.Mutex
	collects []func(time.Time) metricdata.Metrics
}

func (p *histogramProducer) add(collect func(time.Time) metricdata.Metrics) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collects = append(p.collects, collect)
}

// Produce implements metric.Producer of the OpenTelemetry SDK.
func (p *histogramProducer) Produce(context.Context) ([]metricdata.ScopeMetrics, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var scope metricdata.ScopeMetrics
	for _, collect := range p.collects {
		scope.Metrics = append(scope.Metrics, collect(now))
	}
	return []metricdata.ScopeMetrics{scope}, nil
}
