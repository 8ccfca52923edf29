// Package demo runs a complete site in one process on loopback addresses: the
// stand-ins for the platform, two routers, four model engines and two plain
// services with their agents. Run sends mixed load while it slows one engine and
// changes one profile, and checks the promises to callers: no charge runs twice, the
// reported execution is true, no answer is wrong or incomplete, no urgent request is
// refused, and a catalog change is in force everywhere within MaxPropagation.
package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/agent"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/daemon"
	"github.com/pistachiowind/pistachiowind/httpserver"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/router"
	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	loopback     = "127.0.0.1:0"
	region       = "local"
	engineCount  = 4
	routerCount  = 2
	engineSlots  = 16
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Site is a running site. Its stand-ins are exported, so that a program can inject
// faults and inspect what actually ran.
type Site struct {
	Engines []*standin.Engine
	Ledger  *standin.Service
	Booking *standin.Service
	Table   *standin.Table
	VMs     *standin.VMList
	Routers []*router.Router
	Agents  []*agent.Agent

	tableURL   string
	objectsURL string
	vmListURL  string
	opts       SiteOptions
	log        io.Writer
	serveCtx   context.Context
	stop       context.CancelFunc
	servers    errgroup.Group
	closers    []func()
}

// SiteOptions configure a site. The zero value is the site of the demo.
type SiteOptions struct {
	// Engines and Routers are their numbers; zero means 4 and 2.
	Engines, Routers int
	// EngineModel sets the capacity and speed of the engines; zero Slots means 16.
	EngineModel standin.EngineModelOptions
	// Limits are the limits in the settings of each router.
	Limits settings.Limits
	// Log sets the log level and format of each process; the zero value means
	// warnings in the console format.
	Log settings.Log
	// EngineURLs are the base URLs of engines that run elsewhere; if set, they replace the
	// stand-in engines, and their agents offer the models that the engines list.
	EngineURLs []string
	// WrapEndpoint returns the handler that serves the named endpoint instead of the given
	// one; nil serves the endpoint unchanged.
	WrapEndpoint func(name string, endpoint http.Handler) http.Handler
}

func (o *SiteOptions) setDefaults() {
	if len(o.EngineURLs) == 0 {
		o.Engines = cmp.Or(o.Engines, engineCount)
	}
	o.Routers = cmp.Or(o.Routers, routerCount)
	o.EngineModel.Slots = cmp.Or(o.EngineModel.Slots, engineSlots)
	if o.Log == (settings.Log{}) {
		o.Log = settings.Log{Level: "warn", Format: "console"}
	}
	if o.WrapEndpoint == nil {
		o.WrapEndpoint = func(_ string, endpoint http.Handler) http.Handler { return endpoint }
	}
}

// Start starts the demo's site with the catalog that Catalog returns. The processes
// log to log.
func Start(ctx context.Context, log io.Writer) (*Site, error) {
	return StartSite(ctx, log, SiteOptions{})
}

// StartSite is like Start with options. It returns when the site is ready; the
// caller must call Close.
func StartSite(ctx context.Context, log io.Writer, opts SiteOptions) (*Site, error) {
	opts.setDefaults()
	s := &Site{opts: opts, log: log}
	s.serveCtx, s.stop = context.WithCancel(context.WithoutCancel(ctx))
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	store := catalog.NewStore(platform.NewTable(storage.Options{URL: s.tableURL}))
	first := catalog.Change{ID: "demo-first", By: "demo", Catalog: Catalog()}
	if _, err := store.Put(ctx, time.Now(), first); err != nil {
		return fmt.Errorf("write the first catalog: %w", err)
	}
	if err := s.startEndpoints(); err != nil {
		return err
	}
	if err := s.startRouters(); err != nil {
		return err
	}
	if err := s.writeVMList(); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

func (s *Site) startPlatform() error {
	s.Table = standin.NewTable(standin.TableOptions{})
	s.VMs = standin.NewVMList(standin.VMListOptions{})
	objects := standin.NewObjectStore(standin.ObjectStoreOptions{})
	s.closers = append(s.closers, s.Table.Close, s.VMs.Close, objects.Close)
	var err error
	if s.tableURL, err = s.serve("table", s.Table); err != nil {
		return err
	}
	if s.objectsURL, err = s.serve("objects", objects); err != nil {
		return err
	}
	s.vmListURL, err = s.serve("vmlist", s.VMs)
	return err
}

// serve serves a handler on a loopback address until Close, and returns its URL.
func (s *Site) serve(name string, handler http.Handler) (string, error) {
	server, err := httpserver.Listen(name, loopback, handler, nil)
	if err != nil {
		return "", err
	}
	s.servers.Go(func() error { return server.Serve(s.serveCtx) })
	return "http://" + server.Address(), nil
}

func (s *Site) startEndpoints() error {
	for i, url := range s.opts.EngineURLs {
		endpoint := settings.Endpoint{Kind: settings.KindEngine, URL: url}
		if err := s.startAgent(fmt.Sprintf("engine-%d", i+1), i, endpoint); err != nil {
			return err
		}
	}
	for i := range s.opts.Engines {
		engine := standin.NewEngine(standin.EngineOptions{Model: s.opts.EngineModel})
		s.Engines = append(s.Engines, engine)
		s.closers = append(s.closers, engine.Close)
		endpoint := settings.Endpoint{Kind: settings.KindEngine, Models: []string{standin.DefaultModel}}
		if err := s.startEndpoint(fmt.Sprintf("engine-%d", i+1), i, engine, endpoint); err != nil {
			return err
		}
	}
	s.Ledger = standin.NewLedger(standin.ServiceOptions{})
	s.Booking = standin.NewBooking(standin.ServiceOptions{})
	s.closers = append(s.closers, s.Ledger.Close, s.Booking.Close)
	ledger := settings.Endpoint{Kind: settings.KindService, Service: LedgerService}
	if err := s.startEndpoint("ledger-1", 0, s.Ledger, ledger); err != nil {
		return err
	}
	booking := settings.Endpoint{Kind: settings.KindService, Service: BookingService}
	return s.startEndpoint("booking-1", 1, s.Booking, booking)
}

// startEndpoint serves an endpoint and starts its agent.
func (s *Site) startEndpoint(name string, zone int, handler http.Handler, endpoint settings.Endpoint) error {
	url, err := s.serve(name, s.opts.WrapEndpoint(name, handler))
	if err != nil {
		return err
	}
	endpoint.URL = url
	return s.startAgent(name, zone, endpoint)
}

func (s *Site) startAgent(name string, zone int, endpoint settings.Endpoint) error {
	a, err := daemon.NewAgent(settings.Agent{
		Role:        settings.RoleAgent,
		Process:     s.process(name, zone),
		Listen:      settings.AgentListen{Peers: loopback, Admin: loopback},
		Endpoint:    endpoint,
		Concurrency: settings.Concurrency{Initial: engineSlots / 2, Min: 1, Max: engineSlots},
	}, s.log)
	if err != nil {
		return err
	}
	s.Agents = append(s.Agents, a)
	s.servers.Go(func() error { return a.Serve(s.serveCtx, s.serveCtx) })
	return nil
}

func (s *Site) startRouters() error {
	for i := range s.opts.Routers {
		r, err := daemon.NewRouter(settings.Router{
			Role:    settings.RoleRouter,
			Process: s.process(fmt.Sprintf("router-%d", i+1), i),
			Listen:  settings.RouterListen{Callers: loopback, Peers: loopback, Admin: loopback},
			Limits:  s.opts.Limits,
		}, s.log)
		if err != nil {
			return err
		}
		s.Routers = append(s.Routers, r)
		s.servers.Go(func() error { return r.Serve(s.serveCtx, s.serveCtx) })
	}
	return nil
}

func (s *Site) process(name string, zone int) settings.Process {
	return settings.Process{
		Name:             name,
		Region:           region,
		AvailabilityZone: zoneName(zone),
		Log:              s.opts.Log,
		Platform: settings.Platform{
			TableURL:   s.tableURL,
			ObjectsURL: s.objectsURL,
			VMListURL:  s.vmListURL,
		},
		Operators: []settings.Operator{{Name: "demo", KeyHash: catalog.HashKey(OperatorKey)}},
	}
}

func zoneName(i int) string { return fmt.Sprintf("local-%c", 'a'+i%2) }

func (s *Site) writeVMList() error {
	var list []standin.VM
	for _, a := range s.Agents {
		st := a.Status()
		list = append(list, standin.VM{
			Name: st.Name, Role: standin.RoleAgent, Address: a.PeersAddress(),
			Region: st.Region, AvailabilityZone: st.AvailabilityZone, State: standin.StateLive,
		})
	}
	for _, r := range s.Routers {
		st := r.Status()
		list = append(list, standin.VM{
			Name: st.Name, Role: standin.RoleRouter, Address: r.PeersAddress(),
			Region: st.Region, AvailabilityZone: st.AvailabilityZone, State: standin.StateLive,
		})
	}
	return s.VMs.Set(list)
}

// awaitReady waits until every agent is ready and every router is ready and knows an
// endpoint per agent.
func (s *Site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := s.checkReady()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("the site did not become ready: %w", err)
		}
	}
}

func (s *Site) checkReady() error {
	for _, a := range s.Agents {
		if err := a.Ready(); err != nil {
			return fmt.Errorf("agent %s: %w", a.Status().Name, err)
		}
	}
	for _, r := range s.Routers {
		if err := r.Ready(); err != nil {
			return fmt.Errorf("router %s: %w", r.Status().Name, err)
		}
		if open := r.ServingEndpoints(); open < len(s.Agents) {
			return fmt.Errorf("router %s: knows %d of %d serving endpoints", r.Status().Name, open, len(s.Agents))
		}
	}
	return nil
}

// CatalogVersions returns the catalog version in force in each router and agent.
func (s *Site) CatalogVersions() []uint64 {
	var versions []uint64
	for _, r := range s.Routers {
		versions = append(versions, r.CatalogVersion())
	}
	for _, a := range s.Agents {
		versions = append(versions, a.CatalogVersion())
	}
	return versions
}

// URLs returns the base URLs of the routers for callers.
func (s *Site) URLs() []string {
	var urls []string
	for _, r := range s.Routers {
		urls = append(urls, "http://"+r.CallersAddress())
	}
	return urls
}

// Close stops all processes without draining them.
func (s *Site) Close() error {
	s.stop()
	err := s.servers.Wait()
	for _, closer := range s.closers {
		closer()
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
