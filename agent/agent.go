// Package agent is the sidecar process of one endpoint, an inference engine or a
// plain service. All requests to the endpoint pass through its agent, which is
// authoritative for what is queued, running and done there. New builds the parts;
// Serve runs them under one supervisor:
//
//	agent
//	├── peers server (intake)
//	├── admin server
//	├── worker (queue, concurrency, execution, claim)
//	├── endpoint monitor
//	├── claim saver
//	└── catalog updater
package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/agent/claim"
	"github.com/pistachiowind/pistachiowind/agent/endpoint"
	"github.com/pistachiowind/pistachiowind/agent/execution"
	"github.com/pistachiowind/pistachiowind/agent/gate"
	"github.com/pistachiowind/pistachiowind/agent/intake"
	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/httpbound"
	"github.com/pistachiowind/pistachiowind/httpserver"
	"github.com/pistachiowind/pistachiowind/lifecycle"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// DefaultDrainTimeout bounds the time that an agent waits for its open attempts
	// and unsaved claims before it stops.
	DefaultDrainTimeout = 5 * time.Minute

	// supervisorTimeout bounds the wait for a part to stop.
	supervisorTimeout = 5 * time.Second
)

// Options configure an Agent. Name, PeersAddress, AdminAddress, EndpointURL,
// Table and Log are required.
type Options struct {
	Name             string
	Region           string
	AvailabilityZone string
	PeersAddress     string
	AdminAddress     string

	// EndpointURL is the base URL of the endpoint.
	EndpointURL string
	// Service is the name of the plain service; empty means that the endpoint is an
	// inference engine.
	Service string
	// Models replaces the list that the engine reports, unless it is empty.
	Models []string

	Table *platform.Table
	// Objects holds the stored answers above claim.InlineBytes; it is required where
	// non-idempotent requests arrive.
	Objects *platform.ObjectStore

	Queue       queue.Options
	Concurrency Concurrency
	Execution   execution.Options

	// PeerTLS configures mutual TLS between processes; nil means none.
	PeerTLS *tls.Config
	// PeerTransport is the transport for calls to other processes: to agents about
	// their claims, and to routers for the catalog. It is required where such calls
	// occur.
	PeerTransport *http.Transport

	// DrainTimeout bounds the drain; zero means DefaultDrainTimeout.
	DrainTimeout time.Duration
	Operators    []settings.Operator
	Log          zerolog.Logger
	Version      string
}

// Concurrency bounds the learned concurrency limit. Zero values take the
// defaults of package concurrency.
type Concurrency struct {
	Initial, Min, Max int
}

// Agent is one agent process.
type Agent struct {
	opts        Options
	incarnation string
	worker      *worker.Worker
	monitor     *monitor
	ledger      *claim.Ledger
	orders      *gate.OrderServer
	catalog     *catalogView
	peers       *httpserver.Server
	admin       *httpserver.Server
	metrics     *telemetry.Agent
	peerClient  *http.Client
	states      *telemetry.StateLog
	supervisor  *suture.Supervisor
	drainAsked  *admin.DrainOnce
	draining    atomic.Bool
}

// New builds an agent and opens its listeners.
func New(opts Options) (*Agent, error) {
	if opts.DrainTimeout == 0 {
		opts.DrainTimeout = DefaultDrainTimeout
	}
	a := &Agent{
		opts:        opts,
		incarnation: opts.Name + "-" + uuid.NewString(),
	}
	a.drainAsked = admin.NewDrainOnce(func(operator string) {
		a.states.Report(telemetry.StateChange{Subject: "drain", State: "asked for", Cause: "operator " + operator})
	})
	provider, err := telemetry.New(a.telemetryOptions())
	if err != nil {
		return nil, fmt.Errorf("start telemetry: %w", err)
	}
	if a.metrics, err = telemetry.NewAgent(provider); err != nil {
		return nil, fmt.Errorf("start telemetry: %w", err)
	}
	a.initMetrics()
	peers, operators := http.NewServeMux(), http.NewServeMux()
	if err := a.listen(peers, operators); err != nil {
		return nil, err
	}
	a.initParts(a.metrics)
	a.registerPeers(peers, a.metrics)
	if err := a.registerAdmin(operators, provider.Handler()); err != nil {
		return nil, err
	}
	a.supervise()
	return a, nil
}

// initMetrics creates the state log, the peer client and the catalog view, and wraps
// the platform clients, so that all of them report to the metrics.
func (a *Agent) initMetrics() {
	a.states = telemetry.NewStateLog(a.opts.Log, a.metrics.StateChanged)
	a.opts.Table = a.opts.Table.WithObserver(a.metrics)
	if a.opts.Objects != nil {
		a.opts.Objects = a.opts.Objects.WithObserver(a.metrics)
	}
	bounded := httpbound.Transport{RoundTripper: a.opts.PeerTransport, Limit: rpc.MaxUnaryBytes}
	a.peerClient = &http.Client{Transport: a.metrics.CountPeerCalls(bounded)}
	a.catalog = newCatalogView(a.opts, a.incarnation, a.peerClient, func(s catalog.Source) {
		a.metrics.CatalogAdoptions.Add(1, telemetry.ReasonLabels{Reason: s.String()})
	})
}

func (a *Agent) telemetryOptions() telemetry.Options {
	return telemetry.Options{
		Role:             "agent",
		Name:             a.opts.Name,
		Region:           a.opts.Region,
		AvailabilityZone: a.opts.AvailabilityZone,
		Version:          a.opts.Version,
	}
}

// newBackend returns the client of the endpoint.
func (a *Agent) newBackend() endpoint.Backend {
	if a.opts.Service != "" {
		return endpoint.NewService(a.opts.EndpointURL)
	}
	engine := endpoint.NewEngine(a.opts.EndpointURL)
	engine.Configure(a.opts.Models)
	return engine
}

// Incarnation returns the unique name of this start of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// PeersAddress returns the listen address for routers and other agents.
func (a *Agent) PeersAddress() string { return a.peers.Address() }

// AdminAddress returns the listen address for operators.
func (a *Agent) AdminAddress() string { return a.admin.Address() }

// CatalogVersion returns the catalog version in force.
func (a *Agent) CatalogVersion() uint64 { return a.catalog.Version() }

// State returns the state that the agent reports to routers.
func (a *Agent) State() rpc.AgentState { return a.worker.State() }

// Load returns the agent's current load.
func (a *Agent) Load() *rpc.Load { return a.worker.Load(time.Now()) }

// Serve runs the agent until ctx ends or an operator asks for a drain, then drains
// it and stops it. The end of force ends the drain early.
func (a *Agent) Serve(ctx, force context.Context) error {
	return lifecycle.Process{
		Role:           "agent",
		Supervisor:     a.supervisor,
		States:         a.states,
		DrainRequested: a.drainAsked.Requested(),
		Drain:          a.drain,
	}.Serve(ctx, force)
}

// drain waits for the open attempts and then for the saving of the claims' outcomes,
// together at most DrainTimeout.
func (a *Agent) drain(force context.Context) {
	a.draining.Store(true)
	bound, cancel := context.WithTimeout(force, a.opts.DrainTimeout)
	defer cancel()
	if open := a.worker.Drain(bound); open > 0 {
		a.states.Report(telemetry.StateChange{
			Subject: "agent", State: "forced to stop", Warn: true,
			Cause: fmt.Sprintf("%d attempts were still open", open),
		})
	}
	if err := a.ledger.Flush(bound); err != nil {
		a.states.Report(telemetry.StateChange{Subject: "claims", State: "not saved", Warn: true, Cause: err.Error()})
	}
}

// supervise adds all parts to one supervisor, which restarts those that fail.
func (a *Agent) supervise() {
	a.supervisor = suture.New("agent "+a.opts.Name, suture.Spec{
		EventHook: a.metrics.SupervisorHook(a.opts.Log),
		Timeout:   supervisorTimeout,
	})
	a.supervisor.Add(a.worker)
	a.supervisor.Add(a.monitor)
	a.supervisor.Add(a.ledger)
	a.supervisor.Add(a.catalog.updater)
	a.supervisor.Add(a.peers)
	a.supervisor.Add(a.admin)
}

func (a *Agent) identity() intake.Identity {
	return intake.Identity{
		Incarnation:      a.incarnation,
		Service:          a.opts.Service,
		AvailabilityZone: a.opts.AvailabilityZone,
		Region:           a.opts.Region,
	}
}
