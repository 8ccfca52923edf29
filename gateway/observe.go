package gateway

import (
	"context"
	"net/http"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// unknownRoute is the label of requests without a route.
	unknownRoute = "none"
	// statePaused is the label of endpoints that are full and want no requests.
	statePaused = "paused"
)

// Finished implements relay.Observer.
func (g *Gateway) Finished(r relay.Record) {
	m := &g.o.Metrics
	route := r.Route
	if route == "" {
		route = unknownRoute
	}
	m.Requests.Add(1, telemetry.RouteLabels{Route: route, Result: r.Result})
	m.Whole.Record(r.Total, telemetry.ClassLabels{Class: route})
	if r.FirstEvent > 0 {
		m.FirstByte.Record(r.FirstEvent, telemetry.ClassLabels{Class: route})
	}
	for _, a := range r.Attempts {
		m.Attempts.Add(1, telemetry.ResultLabels{Outcome: a.Result})
	}
	logRecord(g.log, r)
}

// watch reads the state of the gateway at each scrape.
func (g *Gateway) watch() {
	m := &g.o.Metrics
	m.ConfigVersion.Observe(func(set func(float64, telemetry.NoLabels)) {
		if t := g.table.Load(); t != nil {
			set(float64(t.Version), telemetry.NoLabels{})
		}
	})
	m.Endpoints.Observe(func(set func(float64, telemetry.StateLabels)) {
		entries, _ := g.dispatcher.entries()
		draining := countDraining(entries)
		set(float64(len(entries)-draining), telemetry.StateLabels{State: registry.StateReady})
		set(float64(draining), telemetry.StateLabels{State: registry.StateDraining})
		set(float64(g.dispatcher.pausedEndpoints()), telemetry.StateLabels{State: statePaused})
	})
	m.StoreEra.Observe(func(set func(float64, telemetry.NoLabels)) {
		set(float64(g.outage.Era()), telemetry.NoLabels{})
	})
	m.Peers.Observe(func(set func(float64, telemetry.NoLabels)) {
		set(float64(g.peers.Load()), telemetry.NoLabels{})
	})
	m.PrefillRate.Observe(func(set func(float64, telemetry.ClassLabels)) {
		g.dispatcher.speeds(func(service string, s placement.Speed) {
			set(s.Rate, telemetry.ClassLabels{Class: service})
		})
	})
	m.StoreUp.Observe(func(set func(float64, telemetry.ReasonLabels)) {
		g.stores.Range(func(table, up any) bool {
			name, _ := table.(string)
			value := 0.0
			if up == true {
				value = 1
			}
			set(value, telemetry.ReasonLabels{Reason: name})
			return true
		})
	})
}

func countDraining(entries []registry.Entry) int {
	n := 0
	for _, e := range entries {
		if e.Draining {
			n++
		}
	}
	return n
}

// serveMetrics serves the metrics until ctx ends.
func (g *Gateway) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", g.o.MetricsHandler)
	server := &http.Server{Addr: g.o.Settings.Listen.Metrics, Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, MaxHeaderBytes: maxControlHeadBytes}
	stop := context.AfterFunc(ctx, func() {
		// The listener ends with the process; its error tells nothing more.
		_ = server.Close()
	})
	defer stop()
	return server.ListenAndServe()
}
