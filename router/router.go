// Package router implements the router, the process on the entry VMs. It
// authenticates callers, selects endpoints, sends each request to one, retries
// where that is safe, and answers. New builds the components; Serve runs them
// under one supervisor:
//
//	router
//	├── callers server (ingress, dispatch, recovery, budget)
//	├── peers server
//	├── admin server
//	├── fleet (membership, health, selection)
//	├── quarantine reader
//	├── placement (planner)
//	└── catalog updater
package router

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/burn"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/httpserver"
	"github.com/pistachiowind/pistachiowind/lifecycle"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/router/fleet"
	"github.com/pistachiowind/pistachiowind/router/ingress"
	"github.com/pistachiowind/pistachiowind/router/planner"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/storage"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// DefaultDrainTimeout limits how long a draining router waits for open
	// requests.
	DefaultDrainTimeout = 5 * time.Minute

	// DefaultReadyGrace is how long a draining router still accepts requests, so
	// that the load balancer has time to notice that it is not ready.
	DefaultReadyGrace = 2 * time.Second

	supervisorTimeout = 5 * time.Second
)

// Options configure a Router. Name, the addresses, Table and Log are required,
// and so is one of VMs and Agents.
type Options struct {
	Name             string
	Region           string
	AvailabilityZone string
	CallersAddress   string
	PeersAddress     string
	AdminAddress     string

	Table *platform.Table
	VMs   *storage.VMList
	// Agents are fixed peer addresses of agents, used in addition to VMs.
	Agents []string

	// MaxOpen, MaxBodyBytes and BodyTimeout limit callers' requests as in
	// ingress.Options; zero means the defaults of package ingress.
	MaxOpen      int
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	// DrainTimeout limits the wait for open requests; zero means
	// DefaultDrainTimeout.
	DrainTimeout time.Duration
	// ReadyGrace is how long a draining router still accepts requests; zero means
	// DefaultReadyGrace, a negative value none.
	ReadyGrace time.Duration

	// Placement configures the placement of models.
	Placement planner.Tuning

	// PeerTLS configures mutual TLS between processes; nil means none.
	PeerTLS *tls.Config
	// PeerTransport carries the calls to agents and other routers; nil means
	// dispatch.NewTransport.
	PeerTransport *http.Transport

	Operators []settings.Operator
	Log       zerolog.Logger
	Version   string
}

// Router is one router process.
type Router struct {
	opts        Options
	incarnation string
	client      *dispatch.Client
	fleet       *fleet.Fleet
	catalog     *catalogView
	quarantine  *quarantineView
	placement   *planner.Service
	store       *catalog.Store
	ingress     *ingress.Server
	recorder    *burn.Recorder
	metrics     *telemetry.Router
	callers     *httpserver.Server
	peers       *httpserver.Server
	admin       *httpserver.Server
	states      *telemetry.StateLog
	supervisor  *suture.Supervisor
	draining    atomic.Bool
	drainOnce   *admin.DrainOnce
}

// New builds a router and opens its listeners.
func New(opts Options) (*Router, error) {
	if opts.DrainTimeout == 0 {
		opts.DrainTimeout = DefaultDrainTimeout
	}
	if opts.ReadyGrace == 0 {
		opts.ReadyGrace = DefaultReadyGrace
	}
	if opts.PeerTransport == nil {
		opts.PeerTransport = dispatch.NewTransport()
	}
	r := &Router{
		opts:        opts,
		incarnation: opts.Name + "-" + uuid.NewString(),
	}
	r.drainOnce = admin.NewDrainOnce(func(operator string) {
		r.states.Report(telemetry.StateChange{Subject: "drain", State: "asked for", Cause: "operator " + operator})
	})
	provider, err := r.startTelemetry()
	if err != nil {
		return nil, err
	}
	callers, peers, operators := http.NewServeMux(), http.NewServeMux(), http.NewServeMux()
	if err := r.listen(callers, peers, operators); err != nil {
		return nil, err
	}
	r.build()
	callers.Handle("/", r.ingress.Handler())
	r.registerPeers(peers)
	if err := r.registerAdmin(operators, provider.Handler()); err != nil {
		return nil, err
	}
	r.supervise()
	return r, nil
}

func (r *Router) startTelemetry() (*telemetry.Provider, error) {
	provider, err := telemetry.New(telemetry.Options{
		Role:             "router",
		Name:             r.opts.Name,
		Region:           r.opts.Region,
		AvailabilityZone: r.opts.AvailabilityZone,
		Version:          r.opts.Version,
	})
	if err != nil {
		return nil, fmt.Errorf("start telemetry: %w", err)
	}
	r.metrics, err = telemetry.NewRouter(provider)
	if err != nil {
		return nil, fmt.Errorf("start telemetry: %w", err)
	}
	r.states = telemetry.NewStateLog(r.opts.Log, r.metrics.StateChanged)
	r.opts.Table = r.opts.Table.WithObserver(r.metrics)
	if r.opts.VMs != nil {
		r.opts.VMs = r.opts.VMs.WithObserver(r.metrics).WithLeftOut(func(entry string, cause error) {
			r.opts.Log.Warn().Str("entry", entry).Err(cause).Msg("entry of the VM list left out")
		})
	}
	return provider, nil
}

func (r *Router) listen(callers, peers, operators http.Handler) error {
	var err error
	r.callers, err = httpserver.Listen("callers", r.opts.CallersAddress, callers, nil)
	if err != nil {
		return err
	}
	r.peers, err = httpserver.Listen("peers", r.opts.PeersAddress, peers, r.opts.PeerTLS)
	if err != nil {
		_ = r.callers.Close()
		return err
	}
	r.admin, err = httpserver.Listen("admin", r.opts.AdminAddress, operators, nil)
	if err != nil {
		_ = r.callers.Close()
		_ = r.peers.Close()
		return err
	}
	for _, s := range []*httpserver.Server{r.callers, r.peers, r.admin} {
		s.LogTo(r.opts.Log)
	}
	return nil
}

func (r *Router) build() {
	seed := xxhash.Sum64String(r.incarnation)
	r.client = dispatch.NewClient(r.opts.PeerTransport)
	r.client.WrapUnary(r.metrics.CountPeerCalls)
	r.recorder = burn.NewRecorder(r.opts.Name, time.Now())
	r.store = catalog.NewStore(r.opts.Table)
	r.catalog = newCatalogView(r.store, r.client, seed)
	r.fleet = fleet.New(fleet.Options{
		Region:           r.opts.Region,
		AvailabilityZone: r.opts.AvailabilityZone,
		VMs:              r.opts.VMs,
		Agents:           r.opts.Agents,
		Client:           r.client,
		RouterAddress:    r.peers.Address(),
		Catalog:          r.catalog,
		Observer:         &fleetMetrics{metrics: r.metrics},
		Seed:             seed,
	})
	r.catalog.start(r.fleet.Addresses, r.countAdoption)
	budgets := newTierBudgets()
	observer := &requestObserver{metrics: r.metrics, recorder: r.recorder}
	r.registerScrapeCallbacks(observer, budgets)
	r.quarantine = newQuarantineView(r.opts.Table, r.client, r.fleet.RouterAddresses, seed)
	r.placement = r.newPlacement()
	dispatcher := dispatch.New(dispatch.Options{
		Quarantine:    r.quarantine,
		Router:        r.incarnation,
		RouterAddress: r.peers.Address(),
		Client:        r.client,
		Fleet:         r.fleet,
		Budget:        budgets,
		Catalog:       r.catalog,
		Observer:      &attemptMetrics{metrics: r.metrics},
	})
	r.ingress = ingress.New(ingress.Options{
		Dispatcher:   dispatcher,
		Catalog:      r.catalog,
		Models:       r.fleet,
		Observer:     observer,
		MaxBodyBytes: r.opts.MaxBodyBytes,
		BodyTimeout:  r.opts.BodyTimeout,
		MaxOpen:      r.opts.MaxOpen,
	})
}

// peerService implements rpc.Router.
type peerService struct {
	*catalogView
	*quarantineView
}

func (r *Router) registerPeers(mux *http.ServeMux) {
	unary := rpc.NewRouterServer(peerService{r.catalog, r.quarantine})
	mux.Handle(unary.PathPrefix(), http.MaxBytesHandler(unary, rpc.MaxUnaryBytes))
}

func (r *Router) supervise() {
	r.supervisor = suture.New("router "+r.opts.Name, suture.Spec{
		EventHook: r.metrics.SupervisorHook(r.opts.Log),
		Timeout:   supervisorTimeout,
	})
	r.supervisor.Add(r.fleet)
	r.supervisor.Add(r.catalog.updater)
	r.supervisor.Add(r.quarantine)
	r.supervisor.Add(r.placement)
	r.supervisor.Add(r.callers)
	r.supervisor.Add(r.peers)
	r.supervisor.Add(r.admin)
}

// Incarnation identifies this run of the router process; it changes with each
// start.
func (r *Router) Incarnation() string { return r.incarnation }

// CallersAddress is the listen address for callers.
func (r *Router) CallersAddress() string { return r.callers.Address() }

// PeersAddress is the listen address for other processes of the system.
func (r *Router) PeersAddress() string { return r.peers.Address() }

// AdminAddress is the listen address for operators.
func (r *Router) AdminAddress() string { return r.admin.Address() }

// CatalogVersion is the catalog version in force.
func (r *Router) CatalogVersion() uint64 { return r.catalog.Version() }

// Recorder returns the recorder of the data that this router's burn report shows.
func (r *Router) Recorder() *burn.Recorder { return r.recorder }

// Serve runs the router until ctx ends or an operator requests a drain, drains
// it, and stops. The drain ends early when the context force ends.
func (r *Router) Serve(ctx, force context.Context) error {
	return lifecycle.Process{
		Role:           "router",
		Supervisor:     r.supervisor,
		States:         r.states,
		DrainRequested: r.drainOnce.Requested(),
		Drain:          r.drain,
	}.Serve(ctx, force)
}

// drain makes the router not ready, still accepts requests for ReadyGrace until
// the load balancer has noticed, then refuses new ones and waits for the open
// ones. At the same time it gives up the lease for the placement of models.
func (r *Router) drain(force context.Context) {
	r.draining.Store(true)
	placementLeft := make(chan struct{})
	go func() {
		r.placement.Leave(force)
		close(placementLeft)
	}()
	defer func() { <-placementLeft }()
	sleep(force, r.opts.ReadyGrace)
	drainCtx, cancel := context.WithTimeout(force, r.opts.DrainTimeout)
	defer cancel()
	if open := r.ingress.Drain(drainCtx); open > 0 {
		r.states.Report(telemetry.StateChange{
			Subject: "router", State: "forced to stop", Warn: true,
			Cause: fmt.Sprintf("%d requests were still open", open),
		})
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
