// Package gateway runs the role that callers reach on a platform whose endpoints
// are called directly. Its supervisor tree:
//
//	gateway
//	├── callers      HTTP listener, package relay
//	├── ready        readiness listener
//	├── metrics      metrics listener
//	├── config       follows the operators' configuration
//	├── endpoints    follows the directory of endpoints
//	├── connections  closes idle connections to endpoints
//	├── peers        exchanges loads with other gateways
//	├── peer state   answers gateways that start while the store is away
//	├── ask peers    asks them, after a start without the store
//	└── health       renews the judgement of the endpoints
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

	"github.com/pistachiowind/pistachiowind/gateway/follow"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// headerTimeout bounds the head of a request to the listeners that are not
	// for callers.
	headerTimeout = 10 * time.Second
	// maxHeadBytes bounds what is read of a head whatever operators allow.
	maxHeadBytes = 1 << 20
	// maxControlHeadBytes bounds heads on the connections between gateways and on
	// the listeners that are not for callers. Their heads have a few lines.
	maxControlHeadBytes = 16 << 10
	// leaveRotation is how long new connections are still accepted after SIGTERM:
	// the balancer asks once a second and needs two misses.
	leaveRotation = 2500 * time.Millisecond
	// bodyMemoryShare is the part of the memory limit that request bodies may take.
	bodyMemoryShare = 0.3
	// gatherPart divides the time within which a change must be in force: calls and
	// retries need the rest.
	gatherPart = 4
	// neverReached is stated for a store that has not answered since the start.
	neverReached = 365 * 24 * time.Hour
	// killMargin is how long before SIGKILL the last connections are closed.
	killMargin = 300 * time.Millisecond
)

// Options are what a Gateway consists of besides its settings.
type Options struct {
	Settings  Settings
	Protocol  relay.Protocol
	ReadyPath string
	// Config and Endpoints are the tables to follow; ConfigSink and EndpointSink
	// decode their rows for the Gateway.
	Config, Endpoints        follow.Source
	ConfigSink, EndpointSink func(*Gateway) follow.Sink
	// Parts asks engines what they keep; nil means that they are not asked.
	Parts PartLister
	Log   zerolog.Logger
	Rand  *rand.Rand
	// Metrics records; the zero value records nothing.
	Metrics telemetry.Gateway
	// MetricsHandler serves the metrics; nil for none.
	MetricsHandler http.Handler
}

// Gateway is the role.
type Gateway struct {
	o          Options
	log        zerolog.Logger
	dispatcher *dispatcher
	table      atomic.Pointer[routing.Table]
	// shown is the latest version of the configuration that the store has shown.
	shown atomic.Int64
	// adopting is held while a configuration is compared with the one in force.
	adopting sync.Mutex
	pool     *upstream.Pool
	callers  *http.Server
	conns    *connLimits
	draining atomic.Bool
	// stores holds the state of the way to each table of the store, and lostAt when
	// the first of them was lost.
	stores sync.Map
	lostAt atomic.Pointer[time.Time]
	// reached states that the store has answered since the start.
	reached atomic.Bool
	peers   atomic.Int64
	// somePeers draws peers that were heard recently.
	somePeers func(n int) []string
	// ahead is a peer whose configuration is newer.
	ahead atomic.Pointer[peerAhead]
	// fetching states that its configuration is being fetched.
	fetching atomic.Bool
	// startedAt is when the process began to serve.
	startedAt time.Time
	// outage is shared by the followers of the store's tables.
	outage *follow.StoreStatus
	// grace is the time from SIGTERM to SIGKILL in nanoseconds.
	grace atomic.Int64
}

// New returns a Gateway that does not listen yet.
func New(o Options) *Gateway {
	g := &Gateway{o: o, log: o.Log, dispatcher: newDispatcher(o.Settings, o.Rand)}
	g.dispatcher.changed, g.dispatcher.paused = g.logChanges, g.logPause
	g.grace.Store(int64(o.Settings.GracePeriod()))
	g.outage = follow.NewStoreStatus(rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())))
	g.pool = upstream.NewPool(upstream.Options{Dialed: func(_ string, err error) {
		o.Metrics.Connections.Add(1, telemetry.OKLabels(err == nil))
	}})
	g.somePeers = func(int) []string { return nil }
	g.watch()
	g.conns = newConnLimits(g.limits)
	g.callers = &http.Server{
		Handler: relay.New(relay.Options{
			Protocol:    o.Protocol,
			Table:       g.table.Load,
			Placer:      g.dispatcher,
			Pool:        g.pool,
			Observer:    g,
			PickService: g.dispatcher.pickService,
			ConnClosed:  connClosed,
			BodyMemory:  int64(float64(o.Settings.MemoryMB) * bodyMemoryShare * 1e6),
		}),
		MaxHeaderBytes: maxHeadBytes,
		ConnState:      g.conns.changed,
		ConnContext:    withConn,
	}
	return g
}

// gatherTime is the pause after changes of a table whose changes must be in force
// within the given number of milliseconds.
func gatherTime(boundMS float64) time.Duration {
	return time.Duration(boundMS * float64(time.Millisecond) / gatherPart)
}

// limits returns what the configuration in force allows callers; zero values
// while none is known.
func (g *Gateway) limits() routing.Limits {
	if t := g.table.Load(); t != nil {
		return t.Limits
	}
	return routing.Limits{}
}

// Reload takes new settings. Addresses stay as they were at the start; the grace
// period and the retry limits change at once.
func (g *Gateway) Reload(s Settings) {
	g.dispatcher.reload(s)
	g.grace.Store(int64(s.GracePeriod()))
	g.log.Info().Float64("grace_period_s", s.GracePeriodS).Float64("retry_ratio", s.RetryRatio).
		Float64("retry_allowance", s.RetryAllowance).Msg("settings reloaded")
}

// Ready reports whether the gateway can serve callers.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.table.Load() != nil && g.dispatcher.isListed()
}

func (d *dispatcher) isListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(g.o.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
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

// Serve runs until ctx ends, then drains and returns. The error is that of a
// listener that could not be opened, or of the supervisor.
func (g *Gateway) Serve(ctx context.Context) error {
	callers, err := net.Listen("tcp", g.o.Settings.Listen.Callers)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", g.o.Settings.Listen.Ready)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	g.startedAt = time.Now()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	supervisor := suture.New("gateway", suture.Spec{EventHook: func(e suture.Event) {
		g.log.Warn().Str("event", e.String()).Msg("supervised service ended")
	}})
	readyServer := &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, MaxHeaderBytes: maxControlHeadBytes}
	defer readyServer.Close()
	for _, s := range g.services() {
		supervisor.Add(s)
	}
	ended := supervisor.ServeBackground(running)
	failed := make(chan error, 2)
	go func() { failed <- g.callers.Serve(callerListener{callers, g.conns.headBegins}) }()
	go func() { failed <- readyServer.Serve(ready) }()
	g.log.Info().Str("callers", g.o.Settings.Listen.Callers).Msg("started")
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

// services returns what runs beside the listeners. Each has a random source of its
// own, as none is safe for concurrent use.
func (g *Gateway) services() []serviceFunc {
	seed := func() *rand.Rand { return rand.New(rand.NewPCG(g.o.Rand.Uint64(), g.o.Rand.Uint64())) }
	services := []serviceFunc{
		{"config", follow.New(follow.Options{
			Source: g.o.Config, Sink: g.o.ConfigSink(g), Rand: seed(), Status: g.outage,
			CoalesceDelay: gatherTime(g.o.Settings.ConfigApplyMS),
		}).Serve},
		{"endpoints", follow.New(follow.Options{
			Source: g.o.Endpoints, Sink: g.o.EndpointSink(g), Rand: seed(), Status: g.outage,
			CoalesceDelay: gatherTime(g.o.Settings.DrainTimeoutMS),
		}).Serve},
		{"connections", g.pool.Sweep},
		{"health", g.refreshHealth},
	}
	if g.o.MetricsHandler != nil && g.o.Settings.Listen.Metrics != "" {
		services = append(services, serviceFunc{"metrics", g.serveMetrics})
	}
	if g.o.Settings.Listen.Peers != "" {
		exchange := newExchange(g, time.Now())
		rng := seed()
		g.somePeers = func(n int) []string { return exchange.some(rng, n) }
		services = append(services,
			serviceFunc{"peers", exchange.serve},
			serviceFunc{"peer state", g.servePeers},
			serviceFunc{"ask peers", g.askPeers})
	}
	if g.o.Parts != nil {
		rng := seed()
		services = append(services, serviceFunc{"cached parts", func(ctx context.Context) error { return g.learnParts(ctx, rng) }})
	}
	return services
}

// drain takes the gateway out of rotation, finishes the requests in progress
// and returns before the platform kills the process.
func (g *Gateway) drain() {
	began := time.Now()
	g.draining.Store(true)
	g.log.Info().Msg("draining")
	g.callers.SetKeepAlivesEnabled(false)
	grace := time.Duration(g.grace.Load())
	time.Sleep(min(leaveRotation, grace/3))
	left := grace - killMargin - time.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := g.callers.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Msg("requests were still open at the end of the drain")
		if err := g.callers.Close(); err != nil {
			g.log.Warn().Err(err).Msg("close connections")
		}
	}
}

func (g *Gateway) refreshHealth(ctx context.Context) error {
	ticker := time.NewTicker(healthRefresh)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.logChanges(g.dispatcher.refresh())
			g.logReach(g.dispatcher.reachChanges())
			g.catchUp(ctx)
		}
	}
}

// storeLostFor returns how long the store has not been reached; zero if it is, and
// neverReached if it never was.
func (g *Gateway) storeLostFor(now time.Time) time.Duration {
	if !g.reached.Load() {
		return neverReached
	}
	if lost := g.lostAt.Load(); lost != nil {
		return now.Sub(*lost)
	}
	return 0
}

// Undecodable notes a row that was left out.
func (g *Gateway) Undecodable(table, key string, cause error) {
	g.log.Warn().Str("table", table).Str("key", key).Err(cause).Msg("row left out")
}

func (g *Gateway) logReach(changes []leftOut) {
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

func (g *Gateway) logChanges(changes []registry.Change) {
	for _, c := range changes {
		g.log.Info().Str("endpoint", c.Entry.ID).Str("service", c.Entry.Service).Str("address", c.Entry.Address).
			Int64("born", c.Entry.Born).Str("state", c.State).Bool("leaving", c.Entry.Leaving).Msg("endpoint changed")
	}
}
