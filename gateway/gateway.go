// Package gateway is the reverse proxy that callers reach on a platform whose
// endpoints are called directly. Its supervisor tree:
//
//	gateway
//	├── callers       HTTP listener, package relay
//	├── ready         readiness listener
//	├── metrics       metrics listener
//	├── config        follows the operators' configuration
//	├── endpoints     follows the directory of endpoints
//	├── connections   closes idle connections to endpoints
//	├── processes     proves the processes of endpoints that do not state them in time
//	├── health        updates the health of the endpoints and logs its changes
//	├── peers         exchanges loads with other gateways over UDP
//	├── peer state    serves site state and cached parts to other gateways
//	├── ask peers     fetches the site state after a start without the store
//	├── site rows     keeps state of the site that outlasts all gateways in the store
//	├── cached parts  asks engines, once, which prompt parts they have cached
//	├── duty lease    competes for the lease on the duties
//	└── duties        makes the duties' calls to the platform while this gateway holds the lease
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiowind/pistachiowind/connend"
	"github.com/pistachiowind/pistachiowind/gateway/duty"
	"github.com/pistachiowind/pistachiowind/gateway/follow"
	"github.com/pistachiowind/pistachiowind/gateway/ratelimit"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// headerTimeout is the time allowed for the header of a request, and for the whole
	// request, to a listener other than the callers' one.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the upper bound for a caller's request header, whatever limit
	// the operators configure.
	maxHeaderBytes = 1 << 20
	// maxControlHeaderBytes bounds headers on the connections between gateways and on
	// the listeners other than the callers' one, where a header has only a few lines.
	maxControlHeaderBytes = 16 << 10
	// lameDuckPeriod is how long new connections are still accepted after SIGTERM:
	// the load balancer probes readiness once a second and takes an instance out of
	// rotation after two failures.
	lameDuckPeriod = 2500 * time.Millisecond
	// bodyMemoryFraction is the fraction of the memory limit that buffered request
	// bodies may use.
	bodyMemoryFraction = 0.3
	// coalesceDivisor divides the time within which a change must be in force. Changes
	// are coalesced for the quotient; calls and retries need the rest of the time.
	coalesceDivisor = 4
	// neverReachedDuration is the outage duration reported to peers for a store that
	// has not answered since the start.
	neverReachedDuration = 365 * 24 * time.Hour
	// killMargin is how long before SIGKILL the remaining connections are closed.
	killMargin = 300 * time.Millisecond
)

// Options holds the settings and dependencies of a Gateway.
type Options struct {
	Settings  Settings
	Protocol  relay.Protocol
	ReadyPath string
	// Config and Endpoints are the tables to follow; ConfigSink and EndpointSink
	// return sinks that decode their rows and pass them to the Gateway.
	Config, Endpoints        follow.Source
	ConfigSink, EndpointSink func(*Gateway) follow.Sink
	// Rows keeps rows of the gateways in the platform's store; nil means that nothing is kept
	// there.
	Rows RowStore
	// DutyStore and UsageClient are what the duties call; nil means that none are taken.
	DutyStore   DutyStore
	UsageClient duty.Client
	// PartLister lists the prompt parts that an engine has cached; nil means that engines
	// are not asked.
	PartLister PartLister
	Log        zerolog.Logger
	Rand       *rand.Rand
	// Metrics are the gateway's instruments; the zero value records nothing.
	Metrics telemetry.Gateway
	// MetricsHandler serves the metrics endpoint; nil for none.
	MetricsHandler http.Handler
}

// Gateway accepts callers' requests and forwards them to endpoints.
type Gateway struct {
	options    Options
	log        zerolog.Logger
	dispatcher *dispatcher
	table      atomic.Pointer[routing.Table]
	// storeVersion is the latest configuration version read from the store itself.
	storeVersion atomic.Int64
	// adoptMu serialises comparing a configuration with the one in force and
	// replacing it.
	adoptMu          sync.Mutex
	pool             *upstream.Pool
	callerServer     *http.Server
	callerConnLimits *connLimits
	draining         atomic.Bool
	// tableUp maps the name of each table of the store to whether its last call was
	// answered; storeLostAt is when the first of them failed, nil while the store
	// answers.
	tableUp     sync.Map
	storeLostAt atomic.Pointer[time.Time]
	// storeReached is set once the store has answered.
	storeReached atomic.Bool
	// peerCount is the number of peers with a recent statement.
	peerCount atomic.Int64
	// samplePeers returns up to n random addresses of peers with a recent
	// statement.
	samplePeers func(n int) []string
	// newerPeer is a peer with a newer configuration than the one in force here; nil
	// if none is known.
	newerPeer atomic.Pointer[newerConfigPeer]
	// fetchingConfig is set while the configuration of newerPeer is being fetched.
	fetchingConfig atomic.Bool
	// startedAt is when Serve opened the listeners.
	startedAt time.Time
	// storeStatus is shared by the followers of all tables of the store.
	storeStatus *follow.StoreStatus
	// directory follows the endpoints; nil before Serve. directoryUptime is when the store
	// answered calls for them, those of peers included.
	directory       *follow.Follower
	directoryUptime follow.Uptime
	// gracePeriod is the time from SIGTERM to SIGKILL in nanoseconds; Reload changes
	// it.
	gracePeriod atomic.Int64
	// stopsAt is when the connections that remain are closed; nil until the load balancer has
	// had the time to notice a stop.
	stopsAt atomic.Pointer[time.Time]
	// duties are the duties that this gateway may take; nil for none.
	duties *duties
}

// New returns a Gateway that does not listen yet; see Serve.
func New(o Options) *Gateway {
	g := &Gateway{options: o, log: o.Log, dispatcher: newDispatcher(o.Settings, o.Rand)}
	g.dispatcher.onEndpointChanges, g.dispatcher.onPause, g.dispatcher.onLimit = g.logEndpointChanges, g.logPause, g.logLimit
	g.dispatcher.onSuspects, g.dispatcher.onTrial, g.dispatcher.onVersion = g.logSuspects, g.logTrial, g.logVersion
	g.dispatcher.onSpill, g.dispatcher.onStandstill = g.logSpill, g.stoodStill
	g.dispatcher.onLaterNamed = g.logLaterNamed
	g.dispatcher.onProcess = func(s upstream.ProcessState) { o.Metrics.Processes.Add(1, telemetry.ResultLabels{Outcome: s.String()}) }
	g.dispatcher.onProof = g.proofChanged
	g.gracePeriod.Store(int64(o.Settings.GracePeriod()))
	g.storeStatus = follow.NewStoreStatus(rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())))
	g.pool = upstream.NewPool(upstream.Options{OnDial: func(address string, err error) {
		o.Metrics.Connections.Add(1, telemetry.OKLabels(err == nil))
		g.dispatcher.connectionFailed(address, err)
	}, OnConnected: g.dispatcher.onConnected()})
	g.samplePeers = func(int) []string { return nil }
	g.registerMetrics()
	g.callerConnLimits = newConnLimits(g.limits)
	g.callerServer = &http.Server{
		Handler: connend.Handler(relay.New(relay.Options{
			Protocol:      o.Protocol,
			Table:         g.table.Load,
			Placer:        g.dispatcher,
			Pool:          g.pool,
			Observer:      g,
			PickService:   g.dispatcher.pickService,
			ConnClosed:    connClosed,
			StopsAt:       g.connectionsCloseAt,
			MaxBodyMemory: int64(float64(o.Settings.MemoryMB) * bodyMemoryFraction * 1e6),
		})),
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      g.callerConnLimits.connStateChanged,
		ConnContext:    withConn,
	}
	return g
}

// coalesceDelay returns how long changes of a table are coalesced if they must be in
// force within boundMS milliseconds.
func coalesceDelay(boundMS float64) time.Duration {
	return time.Duration(boundMS * float64(time.Millisecond) / coalesceDivisor)
}

// limits returns the callers' limits of the configuration in force; zero values
// while none is known.
func (g *Gateway) limits() routing.Limits {
	if t := g.table.Load(); t != nil {
		return t.Limits
	}
	return routing.Limits{}
}

// Reload applies new settings. The grace period, the retry limits and the placement and
// admission rules change at once; other settings, such as addresses, stay as they were
// at the start.
func (g *Gateway) Reload(s Settings) {
	g.dispatcher.reload(s)
	g.gracePeriod.Store(int64(s.GracePeriod()))
	g.log.Info().Float64("grace_period_s", s.GracePeriodS).Float64("retry_ratio", s.RetryRatio).
		Float64("retry_allowance", s.RetryAllowance).Msg("settings reloaded")
}

// Ready reports whether the gateway can serve callers: it has a configuration and
// the endpoints, and is not draining.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.table.Load() != nil && g.dispatcher.isListed()
}

// isListed reports whether the endpoints have been listed at least once.
func (d *dispatcher) isListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpointsListed
}

func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(g.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// serviceFunc adapts a function to suture.Service.
type serviceFunc struct {
	name string
	run  func(context.Context) error
}

func (s serviceFunc) Serve(ctx context.Context) error { return s.run(ctx) }
func (s serviceFunc) String() string                  { return s.name }

// Serve runs until ctx ends, then drains and returns nil. It returns an error if the
// listener for callers or for readiness cannot be opened or fails, or if the supervisor
// ends.
func (g *Gateway) Serve(ctx context.Context) error {
	callers, err := net.Listen("tcp", g.options.Settings.Listen.Callers)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", g.options.Settings.Listen.Ready)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	g.startedAt = time.Now()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	supervisor := suture.New("gateway", suture.Spec{EventHook: func(e suture.Event) {
		g.log.Warn().Str("event", e.String()).Msg("supervised service ended")
	}})
	readyServer := newControlServer(g.readyHandler())
	defer readyServer.Close()
	for _, s := range g.services() {
		supervisor.Add(s)
	}
	ended := supervisor.ServeBackground(running)
	failed := make(chan error, 2)
	go func() { failed <- g.callerServer.Serve(callerListener{callers, g.callerConnLimits.headerStarted}) }()
	go func() { failed <- readyServer.Serve(ready) }()
	g.log.Info().Str("callers", g.options.Settings.Listen.Callers).Msg("started")
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	case err := <-ended:
		return err
	}
	g.drain()
	stop()
	<-ended
	g.log.Info().Msg("stopped")
	return nil
}

// newControlServer returns a server for a listener other than the callers' one.
func newControlServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		MaxHeaderBytes:    maxControlHeaderBytes,
	}
}

// services returns the supervised services that run beside the listeners for callers
// and readiness. Each has its own random source, as *rand.Rand is not safe for
// concurrent use.
func (g *Gateway) services() []serviceFunc {
	seed := func() *rand.Rand { return rand.New(rand.NewPCG(g.options.Rand.Uint64(), g.options.Rand.Uint64())) }
	g.directory = follow.New(follow.Options{
		Source: g.options.Endpoints, Sink: g.options.EndpointSink(g), Rand: seed(), Status: g.storeStatus, Uptime: &g.directoryUptime,
		CoalesceDelay: coalesceDelay(g.options.Settings.DrainTimeoutMS),
	})
	services := []serviceFunc{
		{"config", follow.New(follow.Options{
			Source: g.options.Config, Sink: g.options.ConfigSink(g), Rand: seed(), Status: g.storeStatus,
			CoalesceDelay: coalesceDelay(g.options.Settings.ConfigApplyMS),
		}).Serve},
		{"endpoints", g.directory.Serve},
		{"connections", g.pool.Sweep},
		{"processes", g.proveProcesses},
		{"health", g.refreshHealth},
	}
	if g.options.MetricsHandler != nil && g.options.Settings.Listen.Metrics != "" {
		services = append(services, serviceFunc{"metrics", g.serveMetrics})
	}
	if g.options.Settings.Listen.Peers != "" {
		exchange := newExchange(g, time.Now())
		rng := seed()
		g.samplePeers = func(n int) []string { return exchange.sample(rng, n) }
		services = append(services,
			serviceFunc{"peers", exchange.serve},
			serviceFunc{"peer state", g.servePeers},
			serviceFunc{"ask peers", g.askPeers})
	} else {
		g.storeStatus.SetGateways(1, true)
		g.dispatcher.startUsage(g.options.Settings.Name, time.Now())
	}
	if g.options.Rows != nil {
		services = append(services, serviceFunc{"site rows", newRowKeeper(g, g.options.Rows, seed()).serve})
	}
	if g.options.PartLister != nil {
		rng := seed()
		services = append(services, serviceFunc{"cached parts", func(ctx context.Context) error { return g.loadCachedParts(ctx, rng) }})
	}
	if g.dispatcher.usage != nil {
		ledger := usageLedger{g.dispatcher}
		g.duties = newDuties(g, ledger, ledger.TrueTime, seed())
	}
	return append(services, g.duties.services()...)
}

// connectionsCloseAt returns when a stop closes the connections that remain; zero if none is
// in progress, or only since a moment.
func (g *Gateway) connectionsCloseAt() time.Time {
	if at := g.stopsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// drain gives up the duties, fails the readiness checks, accepts requests until the load balancer has
// taken the gateway out of rotation, finishes the requests in progress and returns
// before the platform kills the process. Later requests, on connections from before, are
// refused unless their time ends before.
func (g *Gateway) drain() {
	began := time.Now()
	g.draining.Store(true)
	g.log.Info().Msg("draining")
	g.duties.release()
	g.callerServer.SetKeepAlivesEnabled(false)
	grace := time.Duration(g.gracePeriod.Load())
	time.Sleep(min(lameDuckPeriod, grace/3))
	stopsAt := began.Add(grace - killMargin)
	g.stopsAt.Store(&stopsAt)
	ctx, cancel := context.WithDeadline(context.Background(), stopsAt)
	defer cancel()
	if err := g.callerServer.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Msg("requests were still open at the end of the drain; their connections are closed")
		if err := g.callerServer.Close(); err != nil {
			g.log.Warn().Err(err).Msg("could not close the remaining connections")
		}
	}
}

// stoodStill lets the store be asked again after the process stood still: what the calls in
// progress will bring may be older than the standstill.
func (g *Gateway) stoodStill(gap time.Duration) {
	g.log.Warn().Int64("ms", ms(gap)).Msg("process stood still")
	g.storeStatus.Recheck(time.Now())
}

// refreshHealth updates and logs the health of the endpoints every
// healthRefreshInterval, and fetches the configuration of a peer that has a newer one.
func (g *Gateway) refreshHealth(ctx context.Context) error {
	ticker := time.NewTicker(healthRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.logEndpointChanges(g.dispatcher.refresh())
			g.logReachChanges(g.dispatcher.reachChanges())
			g.logUsage(g.dispatcher.usageChanges(time.Now()))
			g.fetchNewerConfig(ctx)
		}
	}
}

// storeLostFor returns how long the store has not answered: zero if it answers, and
// neverReachedDuration if it has not answered since the start.
func (g *Gateway) storeLostFor(now time.Time) time.Duration {
	if !g.storeReached.Load() {
		return neverReachedDuration
	}
	if lost := g.storeLostAt.Load(); lost != nil {
		return now.Sub(*lost)
	}
	return 0
}

// Undecodable logs a row that was skipped because it could not be decoded.
func (g *Gateway) Undecodable(table, key string, cause error) {
	g.log.Warn().Str("table", table).Str("key", key).Err(cause).Msg("row left out")
}

func (g *Gateway) logReachChanges(changes []reachChange) {
	for _, c := range changes {
		if !c.LeftOut {
			g.log.Info().Str("endpoint", c.id).Msg("endpoint is used again")
			continue
		}
		g.log.Info().Str("endpoint", c.id).Int64("pause_ms", ms(c.Pause)).Bool("by_peers", c.ByPeers).
			Msg("endpoint is not reached and is left out")
	}
}

func (g *Gateway) logPause(endpoint string, d time.Duration) {
	g.log.Info().Str("endpoint", endpoint).Int64("pause_ms", ms(d)).Msg("endpoint is full and wants no requests")
}

func (g *Gateway) logLimit(endpoint string, r ratelimit.Report, byPeer bool) {
	if r.State != ratelimit.Limited {
		g.log.Info().Str("endpoint", endpoint).Bool("by_peer", byPeer).Msg("endpoint names no limit any more")
		return
	}
	g.log.Info().Str("endpoint", endpoint).Float64("per_s", r.PerSecond).Bool("by_peer", byPeer).Msg("endpoint names a limit")
}

func (g *Gateway) logEndpointChanges(changes []registry.Change) {
	for _, c := range changes {
		g.log.Info().Str("endpoint", c.Entry.ID).Str("service", c.Entry.Service).Str("address", c.Entry.Address).
			Int64("born", c.Entry.Born).Str("version", c.Entry.Version).Str("state", c.State).Bool("leaving", c.Entry.Leaving).Bool("unlisted", c.Entry.Unlisted).Msg("endpoint changed")
	}
}
