// Package telemetry provides the metrics, the logger and the build version of a
// process. Each process instance has its own registry, so that several instances
// can run in one program. Instruments are generic over a struct of label values,
// and each limits the number of its time series.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

const (
	namespace = "pistachiowind"
	// scrapeTimeout limits the time for one response of the metrics handler.
	scrapeTimeout = 10 * time.Second
	// maxScrapes limits concurrent scrapes; further ones get status 503.
	maxScrapes = 4
)

// Options describe the process instance. They are exported as labels of
// pistachiowind_build_info.
type Options struct {
	// Role is router, agent or gateway.
	Role string
	// Name is the instance's name from its settings.
	Name string
	// Region and AvailabilityZone are from the settings.
	Region           string
	AvailabilityZone string
	// Version is the build version; empty means Version().
	Version string
}

// Provider owns the registry and the meter provider of one process instance.
type Provider struct {
	registry *prometheus.Registry
	meters   *sdkmetric.MeterProvider
	meter    metric.Meter
	merged   *histogramProducer
	defs     []Definition
	errs     []error
}

// New returns a Provider with the Go runtime and process collectors registered and
// pistachiowind_build_info set.
func New(o Options) (*Provider, error) {
	if o.Version == "" {
		o.Version = Version()
	}
	registry := prometheus.NewRegistry()
	merged := &histogramProducer{}
	exporter, err := otelprom.New(
		otelprom.WithProducer(merged),
		otelprom.WithRegisterer(registry),
		otelprom.WithNamespace(namespace),
		otelprom.WithoutScopeInfo(),
		otelprom.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	meters := sdkmetric.NewMeterProvider(
		sdkmetric.WithReader(exporter),
		// The instruments limit their series themselves, see type series.
		sdkmetric.WithCardinalityLimit(0),
	)
	p := &Provider{registry: registry, meters: meters, meter: meters.Meter(namespace), merged: merged}
	err = errors.Join(
		registry.Register(collectors.NewGoCollector()),
		registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})),
	)
	if err != nil {
		return nil, fmt.Errorf("register collectors: %w", err)
	}
	build := newGauge[BuildLabels](p, "build_info", "", 1, "Always 1; the labels describe the instance.")
	build.Observe(func(set func(float64, BuildLabels)) { set(1, BuildLabels(o)) })
	return p, errors.Join(p.errs...)
}

// Handler serves the metrics in the Prometheus text format.
func (p *Provider) Handler() http.Handler {
	return promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxScrapes,
		Timeout:             scrapeTimeout,
	})
}

// Gatherer returns the registry for tests and reports.
func (p *Provider) Gatherer() prometheus.Gatherer { return p.registry }

// Definitions returns the instruments created so far, in creation order.
func (p *Provider) Definitions() []Definition {
	return append([]Definition(nil), p.defs...)
}

// Close shuts down the meter provider; values recorded later are dropped.
func (p *Provider) Close(ctx context.Context) error {
	return p.meters.Shutdown(ctx)
}
