package router

import (
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// registerScrapeCallbacks registers the functions that read the current values of
// gauges, and the counts that other components keep, at each scrape.
func (r *Router) registerScrapeCallbacks(requests *requestObserver, budgets *tierBudgets) {
	m := r.metrics
	m.ObserveCatalog(r.catalog.Version, r.catalog.holder.ConfirmedAt)
	m.OpenRequests.Observe(func(set func(float64, telemetry.TierLabels)) {
		for tier := range requests.inDispatch {
			set(float64(requests.inDispatch[tier].Load()), telemetry.TierLabels{Tier: tier})
		}
	})
	m.Endpoints.Observe(func(set func(float64, telemetry.StateLabels)) {
		for state, n := range r.fleet.States() {
			set(float64(n), telemetry.StateLabels{State: string(state)})
		}
	})
	m.Ejections.Observe(func(set func(int64, telemetry.ReasonLabels)) {
		e := r.fleet.Ejections()
		set(int64(e.Slow), telemetry.ReasonLabels{Reason: "slow"})
		set(int64(e.Failing), telemetry.ReasonLabels{Reason: "failing"})
	})
	m.RetryBudget.Observe(func(set func(float64, telemetry.NoLabels)) {
		set(budgets.LeastLeft(), telemetry.NoLabels{})
	})
}

// countAdoption counts a catalog version that was adopted, by its source.
func (r *Router) countAdoption(s catalog.Source) {
	r.metrics.CatalogAdoptions.Add(1, telemetry.ReasonLabels{Reason: s.String()})
}

// CertificateReloaded counts a reload of the TLS files; err is nil for a
// successful one.
func (r *Router) CertificateReloaded(err error) { r.metrics.CertificateReloaded(err) }

// attemptMetrics counts attempts. It implements dispatch.Observer.
type attemptMetrics struct {
	metrics *telemetry.Router
}

// AttemptEnded counts an attempt by its kind and result code.
func (m *attemptMetrics) AttemptEnded(kind dispatch.AttemptKind, code resultcode.Code) {
	m.metrics.Attempts.Add(1, telemetry.AttemptLabels{Kind: string(kind), Code: code})
}

// Attached counts a try to read the stream of an attempt again on a new connection,
// by its success.
func (m *attemptMetrics) Attached(ok bool) {
	m.metrics.Attaches.Add(1, telemetry.OKLabels(ok))
}

// Silent counts a stream that had no frame for dispatch.SilenceTimeout.
func (m *attemptMetrics) Silent() { m.metrics.SilentStreams.Add(1, telemetry.NoLabels{}) }

// Renounced counts a Renounce call by its outcome.
func (m *attemptMetrics) Renounced(outcome string) {
	m.metrics.Renounces.Add(1, telemetry.ResultLabels{Outcome: outcome})
}

// fleetMetrics counts probes. It implements fleet.Observer.
type fleetMetrics struct {
	metrics *telemetry.Router
}

// Probed counts a probe.
func (m *fleetMetrics) Probed(ok bool) { m.metrics.Probes.Add(1, telemetry.OKLabels(ok)) }
