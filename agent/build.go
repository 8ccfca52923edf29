package agent

import (
	"net/http"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/endpoint"
	"github.com/pistachiowind/pistachiowind/agent/intake"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/httpserver"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// build wires the worker and the monitor.
func (a *Agent) build(backend endpoint.Backend, metrics *telemetry.Agent) error {
	a.worker = worker.New(worker.Options{
		Backend:   backend,
		Guard:     a.guard(),
		Catalog:   a.catalog,
		Observer:  &attemptMetrics{metrics: metrics},
		Queue:     a.opts.Queue,
		Limiter:   a.limiter(),
		Execution: a.opts.Execution,
	})
	a.monitor = &monitor{
		backend: backend,
		worker:  a.worker,
		states:  a.states,
		up:      metrics.EndpointUp,
		crashes: metrics.EndpointCrashes,
		fixed:   a.opts.Models,
	}
	return nil
}

// listen opens the listeners for routers and operators.
func (a *Agent) listen(provider *telemetry.Provider) error {
	peers, err := httpserver.Listen("peers", a.opts.PeersAddress, a.peersHandler(), a.opts.PeerTLS)
	if err != nil {
		return err
	}
	a.peers = peers
	admin, err := httpserver.Listen("admin", a.opts.AdminAddress, a.adminHandler(provider), nil)
	if err != nil {
		_ = peers.Close()
		return err
	}
	a.admin = admin
	return nil
}

func (a *Agent) peersHandler() http.Handler {
	mux := http.NewServeMux()
	intake.NewStreams(a.incarnation, a.worker).Register(mux)
	unary := rpc.NewAgentServer(&intake.Unary{
		Identity: a.identity(),
		Worker:   a.worker,
		Claims:   a.claims(),
		Orders:   a.orders(),
		Catalog:  a.catalog,
		Models:   a.monitor.Models,
	})
	mux.Handle(unary.PathPrefix(), unary)
	return mux
}

// attemptMetrics counts what happens to attempts.
type attemptMetrics struct {
	metrics *telemetry.Agent
}

// Ended counts an attempt by its result code.
func (m *attemptMetrics) Ended(req *rpc.RunRequest, result *resultcode.Error) {
	labels := telemetry.TierCodeLabels{Tier: int(req.GetTier())}
	if result != nil {
		labels.Code = result.Code
	}
	m.metrics.Attempts.Add(1, labels)
}

// Waited records the time in the queue.
func (m *attemptMetrics) Waited(req *rpc.RunRequest, wait time.Duration) {
	m.metrics.Queue.Record(wait, telemetry.ClassLabels{Class: req.GetClass()})
}

// FirstToken records the endpoint's time to the first token.
func (m *attemptMetrics) FirstToken(req *rpc.RunRequest, d time.Duration) {
	m.metrics.EndpointFirst.Record(d, telemetry.ModelLabels{Model: req.GetChat().GetModel()})
}

// Displaced counts a displaced attempt.
func (m *attemptMetrics) Displaced(tier int) {
	m.metrics.Displaced.Add(1, telemetry.TierLabels{Tier: tier})
}

// Preempted counts a preempted attempt.
func (m *attemptMetrics) Preempted(tier int) {
	m.metrics.Preempted.Add(1, telemetry.TierLabels{Tier: tier})
}
