package agent

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/agent/gate"
	"github.com/pistachiowind/pistachiowind/agent/intake"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/httpserver"
	"github.com/pistachiowind/pistachiowind/peertls"
	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// build wires the worker, its record and the monitor. The listeners are open, so
// the addresses are known.
func (a *Agent) build(metrics *telemetry.Agent) {
	backend := a.backend()
	a.ledger = newLedger(a.opts, a.incarnation, a.peers.Address())
	a.worker = worker.New(worker.Options{
		Backend:   backend,
		Endpoint:  a.opts.Name,
		Publisher: &evidencePublisher{exchange: quarantine.NewExchange(a.opts.Table), log: a.opts.Log},
		Guard:     &worker.LedgerGuard{Ledger: a.ledger},
		Catalog:   a.catalog,
		Observer:  &attemptMetrics{metrics: metrics},
		Queue:     a.opts.Queue,
		Limiter:   a.limiter(),
		Execution: a.opts.Execution,
	})
	a.gate = gate.NewKeeper(gate.Options{Table: a.opts.Table, Executor: backend, Lease: PlacementLease})
	a.monitor = &monitor{
		backend: backend,
		worker:  a.worker,
		states:  a.states,
		up:      metrics.EndpointUp,
		crashes: metrics.EndpointCrashes,
		fixed:   a.opts.Models,
	}
}

// listen opens the listeners for routers and operators.
func (a *Agent) listen(peers, operators http.Handler) error {
	var err error
	a.peers, err = httpserver.Listen("peers", a.opts.PeersAddress, peertls.RequireRouter(openToAgents, peers), a.opts.PeerTLS)
	if err != nil {
		return err
	}
	a.admin, err = httpserver.Listen("admin", a.opts.AdminAddress, operators, nil)
	if err != nil {
		_ = a.peers.Close()
		return err
	}
	a.peers.LogTo(a.opts.Log)
	a.admin.LogTo(a.opts.Log)
	return nil
}

// openToAgents reports whether other agents may use a route: they ask about claims
// and fetch the catalog, but never send work or orders.
func openToAgents(path string) bool {
	return strings.HasSuffix(path, "/ClaimStatus") || strings.HasSuffix(path, "/FetchCatalog")
}

func (a *Agent) registerPeers(mux *http.ServeMux) {
	intake.NewStreams(a.incarnation, a.worker).Register(mux)
	unary := rpc.NewAgentServer(&intake.Unary{
		Identity: a.identity(),
		Worker:   a.worker,
		Claims:   a.ledger,
		Orders:   a.gate,
		Catalog:  a.catalog,
		Models:   a.monitor.Models,
	})
	mux.Handle(unary.PathPrefix(), unary)
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

// evidencePublisher writes evidence of a crash to the table service in the
// background. Crashes are rare, and one write covers all requests of a crash.
type evidencePublisher struct {
	exchange *quarantine.Exchange
	log      zerolog.Logger
}

// Publish implements worker.Publisher.
func (p *evidencePublisher) Publish(records []quarantine.Record) {
	go func() {
		err := p.exchange.Publish(context.Background(), time.Now(), records)
		if err != nil {
			p.log.Warn().Err(err).Int("records", len(records)).Msg("evidence of a crash was not shared")
		}
	}()
}
