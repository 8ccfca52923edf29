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
	// unknownRoute is the route label of requests that match no route.
	unknownRoute = "none"
	// statePaused is the state label of endpoints that are full and asked for no
	// requests.
	statePaused = "paused"
	// stateLimited is the state label of endpoints that name the rate of requests that
	// they accept.
	stateLimited = "limited"
	// kindRequest and kindPart are the class labels of suspects of crashing endpoints.
	kindRequest = "request"
	kindPart    = "part"
)

// Finished implements relay.Observer: it records the metrics of a request and logs it.
func (g *Gateway) Finished(r relay.Record) {
	m := &g.options.Metrics
	route := r.Route
	if route == "" {
		route = unknownRoute
	}
	m.Requests.Add(1, telemetry.RouteLabels{Route: route, Result: r.Result})
	m.Whole.Record(r.Total, telemetry.ClassLabels{Class: route})
	if r.TimeToFirstByte > 0 {
		m.FirstByte.Record(r.TimeToFirstByte, telemetry.ClassLabels{Class: route})
	}
	if r.Refusal != nil && r.Refusal.AccountShare.Standing != "" {
		m.ShareRefusals.Add(1, telemetry.ResultLabels{Outcome: r.Refusal.AccountShare.Standing})
	}
	for _, a := range r.Attempts {
		m.Attempts.Add(1, telemetry.ResultLabels{Outcome: a.Result})
	}
	g.countZoneTraffic(r)
	logRecord(g.log, r)
}

// registerMetrics registers the callbacks that read the state of the gateway at each
// scrape.
func (g *Gateway) registerMetrics() {
	m := &g.options.Metrics
	g.observeUsage()
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
		set(float64(g.dispatcher.limitedEndpoints()), telemetry.StateLabels{State: stateLimited})
	})
	m.StoreEra.Observe(func(set func(float64, telemetry.NoLabels)) {
		set(float64(g.storeStatus.Era()), telemetry.NoLabels{})
	})
	m.Peers.Observe(func(set func(float64, telemetry.NoLabels)) {
		set(float64(g.peerCount.Load()), telemetry.NoLabels{})
	})
	m.Condemned.Observe(func(set func(float64, telemetry.ClassLabels)) {
		requests, parts := g.dispatcher.condemnedSuspects()
		set(float64(requests), telemetry.ClassLabels{Class: kindRequest})
		set(float64(parts), telemetry.ClassLabels{Class: kindPart})
	})
	m.PrefillRate.Observe(func(set func(float64, telemetry.ClassLabels)) {
		g.dispatcher.prefillSpeeds(func(service string, s placement.Speed) {
			set(s.Rate, telemetry.ClassLabels{Class: service})
		})
	})
	m.ZoneShare.Observe(func(set func(float64, telemetry.ClassLabels)) {
		g.dispatcher.zoneShares(func(service string, share float64) {
			set(share, telemetry.ClassLabels{Class: service})
		})
	})
	m.StoreUp.Observe(func(set func(float64, telemetry.ReasonLabels)) {
		g.tableUp.Range(func(table, up any) bool {
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
	mux.Handle("/metrics", g.options.MetricsHandler)
	server := newControlServer(mux)
	server.Addr = g.options.Settings.Listen.Metrics
	stop := context.AfterFunc(ctx, func() {
		// The error is ignored: the listener ends with the process anyway.
		_ = server.Close()
	})
	defer stop()
	return server.ListenAndServe()
}
