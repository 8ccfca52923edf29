package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// Of every plannedProcesses processes, plannedRouters are routers; the ratio
	// is the same at every size.
	plannedRouters   = 410
	plannedProcesses = 1010

	// routerProbeInterval is the interval of package fleet between two probes of
	// a router.
	routerProbeInterval = 200 * time.Millisecond
	// maxKnownRouters limits the routers in an agent's knownRouters cache.
	maxKnownRouters = 64

	idleReadsWindow = 6 * time.Second
	// settleTime is the longest regular poll interval, so that every process polls
	// once within it.
	settleTime = catalog.PollInterval + catalog.PollJitter
	// propagationTimeout ends the wait for a change. It exceeds the required limit
	// of 11 s for propagation.
	propagationTimeout  = 15 * time.Second
	versionPollInterval = 5 * time.Millisecond
)

// processCounts are the measured numbers of processes. Those of one inner slice
// are measured concurrently, which keeps the run short.
var processCounts = [][]int{{4, 100, 500}, {1010}}

// StoreState is the behaviour of the table service after it accepted a change.
type StoreState string

// States of the store. With StoreDownUnread, no process has read the change when
// the store goes down; with StoreDown and StoreHangs, one router has.
const (
	StoreUp         StoreState = "up"
	StoreDown       StoreState = "down (503), one router has the change"
	StoreHangs      StoreState = "hangs (calls time out), one router has the change"
	StoreDownUnread StoreState = "down (503), no process has the change"
)

// Propagation is the measurement of one catalog change.
type Propagation struct {
	Processes int        `json:"processes"`
	Store     StoreState `json:"store"`
	// HalfTime and FullTime are the seconds until the change was in force in half
	// of the processes and in all of them; zero if it never was.
	HalfTime float64 `json:"median_s"`
	FullTime float64 `json:"all_s"`
	// Reads counts reads from the table service from the acceptance of the change
	// until it was in force everywhere or propagationTimeout had passed.
	Reads int `json:"reads"`
	// PeakReads is the highest number of reads within one second.
	PeakReads int `json:"peak_reads_per_s"`
	// PeerFetches counts requests to peers for the catalog, PeerBytes the bytes of
	// the documents returned.
	PeerFetches int `json:"peer_fetches"`
	PeerBytes   int `json:"peer_bytes"`
}

// MeasurePropagations measures catalog changes with processes that consist only
// of the production catalog.Updater over the stand-in table; messages between peers
// are in-memory calls.
func MeasurePropagations(log io.Writer) ([]Propagation, []*Series, error) {
	idleReads := newSeriesGroup(Control, "router and agent", "processes", []string{"reads/s of the table service without a change"})
	var all []Propagation
	for _, sizes := range processCounts {
		fmt.Fprintf(log, "propagation to %d processes\n", sizes)
		results := make([][]Propagation, len(sizes))
		var group errgroup.Group
		for i, n := range sizes {
			group.Go(func() (err error) {
				results[i], err = measurePropagations(n, idleReads)
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return nil, nil, err
		}
		all = append(all, slices.Concat(results...)...)
	}
	return all, idleReads.finish(), nil
}

func measurePropagations(n int, idleReads *seriesGroup) ([]Propagation, error) {
	g, err := startProcessGroup(n)
	if err != nil {
		return nil, err
	}
	defer g.close()
	var results []Propagation
	for range repetitions {
		before := g.reads()
		time.Sleep(idleReadsWindow)
		idleReads.add(float64(n), float64(g.reads()-before)/idleReadsWindow.Seconds())
		for _, state := range []StoreState{StoreUp, StoreDown, StoreHangs} {
			p, err := g.measureChange(state)
			if err != nil {
				return nil, err
			}
			results = append(results, p)
		}
	}
	p, err := g.measureChange(StoreDownUnread)
	return append(results, p), err
}

// measureChange publishes a new version, brings the store into the given state
// and waits until the version is in force everywhere.
func (g *processGroup) measureChange(state StoreState) (Propagation, error) {
	base := g.processes[0].holder.Current().Version()
	next := Catalog(plannedAccounts)
	next.Profiles[1].Target.FirstTokenMS = 2000 + int(base)
	accepted, err := g.site.PutCatalog(catalog.Change{Base: base, Catalog: next})
	if err != nil {
		return Propagation{}, err
	}
	began := time.Now()
	if err := g.injectFault(state, began, accepted); err != nil {
		return Propagation{}, err
	}
	fetches, bytes := g.fetches.Load(), g.fetchedBytes.Load()
	p := g.watchPropagation(began, accepted.Version)
	p.Processes, p.Store = len(g.processes), state
	p.PeerFetches, p.PeerBytes = int(g.fetches.Load()-fetches), int(g.fetchedBytes.Load()-bytes)
	if err := g.site.Table.SetFaults(standin.TableFaults{}); err != nil {
		return Propagation{}, err
	}
	return p, g.settle(accepted.Version)
}

// injectFault brings the store into the given state right after a change was
// accepted.
func (g *processGroup) injectFault(state StoreState, now time.Time, accepted *catalog.Catalog) error {
	switch state {
	case StoreDown, StoreHangs:
		g.processes[0].holder.Adopt(now, accepted)
		return g.site.Table.SetFaults(standin.TableFaults{Down: state == StoreDown, Hang: state == StoreHangs})
	case StoreDownUnread:
		return g.site.Table.SetFaults(standin.TableFaults{Down: true})
	}
	return nil
}

func (g *processGroup) watchPropagation(began time.Time, version uint64) Propagation {
	var p Propagation
	start := g.reads()
	secondStart, readsAtSecond := began, start
	for {
		now := time.Now()
		if now.Sub(secondStart) >= time.Second {
			reads := g.reads()
			p.PeakReads = max(p.PeakReads, reads-readsAtSecond)
			secondStart, readsAtSecond = now, reads
		}
		inForce := g.inForce(version)
		if p.HalfTime == 0 && 2*inForce >= len(g.processes) {
			p.HalfTime = now.Sub(began).Seconds()
		}
		if inForce == len(g.processes) {
			p.FullTime = now.Sub(began).Seconds()
		}
		if p.FullTime > 0 || now.Sub(began) > propagationTimeout {
			p.Reads = g.reads() - start
			p.PeakReads = max(p.PeakReads, g.reads()-readsAtSecond)
			return p
		}
		time.Sleep(versionPollInterval)
	}
}

// settle waits until all processes have the version and their polls are spread
// over time again.
func (g *processGroup) settle(version uint64) error {
	err := await("all processes have the version", func() (bool, error) {
		return g.inForce(version) == len(g.processes), nil
	})
	time.Sleep(settleTime)
	return err
}

// processGroup is a number of catalogProcesses that share one table; the first
// ones are routers, the others agents.
type processGroup struct {
	site *Site
	// routers is the number of routers among processes.
	routers   int
	processes []*catalogProcess
	peerFetchCounts
	stop  context.CancelFunc
	group errgroup.Group
}

// catalogProcess distributes catalog versions as one process does, without the rest
// of the process.
type catalogProcess struct {
	address string
	holder  *catalog.Holder
	updater *catalog.Updater
	// knownRouters holds the routers that probed this agent; nil for a router.
	knownRouters *lru.Cache[string, struct{}]
}

func startProcessGroup(n int) (*processGroup, error) {
	site, err := StartSite(plannedAccounts, standin.EngineOptions{})
	if err != nil {
		return nil, err
	}
	g := &processGroup{site: site, routers: max(1, n*plannedRouters/plannedProcesses)}
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	client := (&TrafficCounter{}).Client(n)
	for i := range n {
		if err := g.addProcess(i, platform.NewTable(storage.Options{URL: site.TableURL, Client: client})); err != nil {
			g.close()
			return nil, err
		}
	}
	for i, p := range g.processes {
		g.group.Go(func() error { return p.updater.Serve(ctx) })
		if i < g.routers {
			g.group.Go(func() error { return g.probe(ctx, p, uint64(i)) })
		}
	}
	return g, g.settle(siteVersion)
}

func (g *processGroup) addProcess(i int, table *platform.Table) error {
	p := &catalogProcess{address: fmt.Sprint(i), holder: catalog.NewHolder()}
	peers := g.agentAddresses
	if i >= g.routers {
		known, err := lru.New[string, struct{}](maxKnownRouters)
		if err != nil {
			return err
		}
		p.knownRouters, peers = known, known.Keys
	}
	p.updater = catalog.NewUpdater(catalog.UpdaterOptions{
		Store: catalog.NewStore(table), Peers: g, Holder: p.holder, PeerList: peers, Seed: uint64(i) + 1,
	})
	g.processes = append(g.processes, p)
	return nil
}

func (g *processGroup) agentAddresses() []string {
	var list []string
	for _, p := range g.processes[g.routers:] {
		list = append(list, p.address)
	}
	return list
}

// probe exchanges catalog versions with the agents in turn, in a random order, as
// the probes of an idle router do.
func (g *processGroup) probe(ctx context.Context, router *catalogProcess, seed uint64) error {
	order := rand.New(rand.NewPCG(seed, seed)).Perm(len(g.processes) - g.routers)
	ticker := time.NewTicker(routerProbeInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		agent := g.processes[g.routers+order[i%len(order)]]
		agent.knownRouters.Add(router.address, struct{}{})
		agent.updater.VersionSeen(router.holder.Current().Version(), router.address)
		router.updater.VersionSeen(agent.holder.Current().Version(), agent.address)
	}
}

func (g *processGroup) inForce(version uint64) int {
	n := 0
	for _, p := range g.processes {
		if p.holder.Current().Version() >= version {
			n++
		}
	}
	return n
}

func (g *processGroup) reads() int { return g.site.Table.Counts()["catalog"].Reads }

func (g *processGroup) close() {
	g.stop()
	_ = g.group.Wait()
	g.site.Close()
}

var errNoPeer = errors.New("capacity: no such process")

// FetchCatalog implements catalog.PeerFetcher in memory.
func (g *processGroup) FetchCatalog(_ context.Context, peer string, have uint64) (uint64, []byte, error) {
	i := slices.IndexFunc(g.processes, func(p *catalogProcess) bool { return p.address == peer })
	if i < 0 {
		return 0, nil, errNoPeer
	}
	snapshot := catalog.SnapshotMessage(g.processes[i].holder, have)
	g.fetches.Add(1)
	g.fetchedBytes.Add(int64(len(snapshot.GetBody())))
	return snapshot.GetVersion(), snapshot.GetBody(), nil
}
