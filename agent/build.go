package agent

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/agent/execution"
	"github.com/pistachiowind/pistachiowind/agent/gate"
	"github.com/pistachiowind/pistachiowind/agent/intake"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/httpserver"
	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/peertls"
	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// initParts builds the worker, the claim ledger, the order gate and the monitor. The
// listeners must be open, because the ledger records the address for peers.
func (a *Agent) initParts(metrics *telemetry.Agent) {
	backend := a.newBackend()
	a.ledger = newLedger(a.opts, a.incarnation, a.peers.Address(), a.peerClient)
	a.worker = worker.New(worker.Options{
		Backend:   backend,
		Endpoint:  a.opts.Name,
		Publisher: &evidencePublisher{exchange: quarantine.NewExchange(a.opts.Table), log: a.opts.Log},
		Guard:     &worker.LedgerGuard{Ledger: &countedLedger{Ledger: a.ledger, outcomes: metrics.Claims}},
		Catalog:   a.catalog,
		Observer:  &attemptMetrics{metrics: metrics},
		Queue:     a.opts.Queue,
		Limiter:   a.newLimiter(),
		Execution: a.executionOptions(),
	})
	a.orders = gate.NewOrderServer(gate.Options{Table: a.opts.Table, Executor: backend, Lease: lease.Placement})
	a.monitor = &monitor{
		backend:          backend,
		worker:           a.worker,
		states:           a.states,
		configuredModels: a.opts.Models,
	}
	a.registerMetricCallbacks(metrics)
}

// executionOptions sets a default bound on open attempts that exceeds what the queue
// and the endpoint can hold, so that the bound never refuses urgent work because of
// other attempts.
func (a *Agent) executionOptions() execution.Options {
	opts := a.opts.Execution
	if opts.MaxOpen == 0 {
		opts.MaxOpen = execution.DefaultMaxOpen + 2*(a.opts.Concurrency.Max+a.opts.Queue.Capacity)
	}
	return opts
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

// openToAgents reports whether other agents may use a route. They ask about claims
// and fetch the catalog, but never send requests or orders.
func openToAgents(path string) bool {
	return strings.HasSuffix(path, "/ClaimStatus") || strings.HasSuffix(path, "/FetchCatalog")
}

// registerPeers adds the routes for routers and other agents to their listener.
func (a *Agent) registerPeers(mux *http.ServeMux, metrics *telemetry.Agent) {
	intake.NewStreams(a.incarnation, a.worker).Register(mux)
	unary := rpc.NewAgentServer(&intake.Unary{
		Identity: a.identity(),
		Worker:   a.worker,
		Claims:   a.ledger,
		Orders:   &countedOrders{orders: a.orders, outcomes: metrics.Orders},
		Catalog:  a.catalog,
		Models:   a.monitor.Models,
	})
	mux.Handle(unary.PathPrefix(), http.MaxBytesHandler(unary, rpc.MaxUnaryBytes))
}

// evidencePublisher writes the evidence of a crash of the endpoint to the table
// service in the background, in one goroutine per crash: crashes are rare, and one
// write covers all requests of a crash.
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
