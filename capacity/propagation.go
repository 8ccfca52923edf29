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
	// plannedRouters of plannedProcesses are routers, at every size.
	plannedRouters   = 410
	plannedProcesses = 1010

	// routerProbeInterval spaces the probes of a router, as in package fleet.
	routerProbeInterval = 200 * time.Millisecond
	// knownRouters bounds the routers that an agent remembers.
	knownRouters = 64

	idleReadsWindow = 6 * time.Second
	// settleTime is one poll of each process at its usual interval.
	settleTime = catalog.PollInterval + catalog.PollJitter
	// propagationLimit ends the wait for a change: the limit of 11 s and some.
	propagationLimit = 15 * time.Second
	versionPoll      = 5 * time.Millisecond
)

// processCounts are the sizes. Those of one group are measured at the same
// time, which keeps the run short.
var processCounts = [][]int{{4, 100, 500}, {1010}}

// StoreState is what the table service does once a change was accepted.
type StoreState string

// States of the store. With StoreLost, no process has read the change when the
// store goes down; with StoreDown and StoreHangs, one router has.
const (
	StoreUp    StoreState = "up"
	StoreDown  StoreState = "down (503), one router has the change"
	StoreHangs StoreState = "hangs (calls time out), one router has the change"
	StoreLost  StoreState = "down (503), no process has the change"
)

// Propagation is one change of the catalog.
type Propagation struct {
	Processes int        `json:"processes"`
	Store     StoreState `json:"store"`
	// Median and All are seconds until the change was in force in half of the
	// processes and in all of them; zero if it was not.
	Median float64 `json:"median_s"`
	All    float64 `json:"all_s"`
	// Reads counts calls of the table service from the acceptance until then.
	Reads int `json:"reads"`
	// PeakReads is the most reads within one second.
	PeakReads int `json:"peak_reads_per_s"`
	// PeerFetches counts questions to peers, and PeerBytes their documents.
	PeerFetches int `json:"peer_fetches"`
	PeerBytes   int `json:"peer_bytes"`
}

// Propagations measures changes with light processes: the real Distributor over
// the table's stand-in, with peer messages in memory.
func Propagations(log io.Writer) ([]Propagation, []*Series, error) {
	set := newSet(Control, "router and agent", "processes", []string{"reads/s of the table service without a change"})
	var all []Propagation
	for _, sizes := range processCounts {
		fmt.Fprintf(log, "propagation to %d processes\n", sizes)
		results := make([][]Propagation, len(sizes))
		var group errgroup.Group
		for i, n := range sizes {
			group.Go(func() (err error) {
				results[i], err = propagationsTo(n, set)
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return nil, nil, err
		}
		all = append(all, slices.Concat(results...)...)
	}
	return all, set.finish(), nil
}

func propagationsTo(n int, set *set) ([]Propagation, error) {
	s, err := startSwarm(n)
	if err != nil {
		return nil, err
	}
	defer s.close()
	var results []Propagation
	for range repetitions {
		before := s.reads()
		time.Sleep(idleReadsWindow)
		set.add(float64(n), float64(s.reads()-before)/idleReadsWindow.Seconds())
		for _, state := range []StoreState{StoreUp, StoreDown, StoreHangs} {
			p, err := s.change(state)
			if err != nil {
				return nil, err
			}
			results = append(results, p)
		}
	}
	p, err := s.change(StoreLost)
	return append(results, p), err
}

// change puts a new version and watches until it is in force everywhere.
func (s *swarm) change(state StoreState) (Propagation, error) {
	base := s.light[0].holder.Current().Version()
	next := Catalog(plannedAccounts)
	next.Profiles[1].Target.FirstTokenMS = 2000 + int(base)
	accepted, err := s.site.Put(catalog.Change{Base: base, Catalog: next})
	if err != nil {
		return Propagation{}, err
	}
	began := time.Now()
	if err := s.fail(state, began, accepted); err != nil {
		return Propagation{}, err
	}
	fetches, bytes := s.fetches.Load(), s.fetchedBytes.Load()
	p := s.watch(began, accepted.Version)
	p.Processes, p.Store = len(s.light), state
	p.PeerFetches, p.PeerBytes = int(s.fetches.Load()-fetches), int(s.fetchedBytes.Load()-bytes)
	if err := s.site.Table.SetFaults(standin.TableFaults{}); err != nil {
		return Propagation{}, err
	}
	return p, s.settle(accepted.Version)
}

// fail brings the store into the state right after a change was accepted.
func (s *swarm) fail(state StoreState, now time.Time, accepted *catalog.Catalog) error {
	switch state {
	case StoreDown, StoreHangs:
		s.light[0].holder.Adopt(now, accepted)
		return s.site.Table.SetFaults(standin.TableFaults{Down: state == StoreDown, Hang: state == StoreHangs})
	case StoreLost:
		return s.site.Table.SetFaults(standin.TableFaults{Down: true})
	}
	return nil
}

func (s *swarm) watch(began time.Time, version uint64) Propagation {
	var p Propagation
	start := s.reads()
	second, readsThen := began, start
	for {
		now := time.Now()
		if now.Sub(second) >= time.Second {
			reads := s.reads()
			p.PeakReads = max(p.PeakReads, reads-readsThen)
			second, readsThen = now, reads
		}
		have := s.inForce(version)
		if p.Median == 0 && 2*have >= len(s.light) {
			p.Median = now.Sub(began).Seconds()
		}
		if have == len(s.light) {
			p.All = now.Sub(began).Seconds()
		}
		if p.All > 0 || now.Sub(began) > propagationLimit {
			p.Reads = s.reads() - start
			p.PeakReads = max(p.PeakReads, s.reads()-readsThen)
			return p
		}
		time.Sleep(versionPoll)
	}
}

// settle waits until all have the version and poll at their own times again.
func (s *swarm) settle(version uint64) error {
	err := await("all processes have the version", func() (bool, error) {
		return s.inForce(version) == len(s.light), nil
	})
	time.Sleep(settleTime)
	return err
}

// swarm is many light processes over one table.
type swarm struct {
	site    *Site
	routers int
	light   []*light
	peerCounts
	stop  context.CancelFunc
	group errgroup.Group
}

// light is the catalog's part of one process.
type light struct {
	address     string
	holder      *catalog.Holder
	distributor *catalog.Updater
	// routers are those that an agent has heard of.
	routers *lru.Cache[string, struct{}]
}

func startSwarm(n int) (*swarm, error) {
	site, err := StartSite(plannedAccounts, standin.EngineOptions{})
	if err != nil {
		return nil, err
	}
	s := &swarm{site: site, routers: max(1, n*plannedRouters/plannedProcesses)}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	client := (&Wire{}).Client(n)
	for i := range n {
		if err := s.add(i, platform.NewTable(storage.Options{URL: site.TableURL, Client: client})); err != nil {
			s.close()
			return nil, err
		}
	}
	for i, l := range s.light {
		s.group.Go(func() error { return l.distributor.Serve(ctx) })
		if i < s.routers {
			s.group.Go(func() error { return s.probe(ctx, l, uint64(i)) })
		}
	}
	return s, s.settle(siteVersion)
}

func (s *swarm) add(i int, table *platform.Table) error {
	l := &light{address: fmt.Sprint(i), holder: catalog.NewHolder()}
	peers := s.agentAddresses
	if i >= s.routers {
		known, err := lru.New[string, struct{}](knownRouters)
		if err != nil {
			return err
		}
		l.routers, peers = known, known.Keys
	}
	l.distributor = catalog.NewUpdater(catalog.UpdaterOptions{
		Store: catalog.NewStore(table), Peers: s, Holder: l.holder, PeerList: peers, Seed: uint64(i) + 1,
	})
	s.light = append(s.light, l)
	return nil
}

func (s *swarm) agentAddresses() []string {
	var list []string
	for _, l := range s.light[s.routers:] {
		list = append(list, l.address)
	}
	return list
}

// probe exchanges versions with one agent after the other, as the probes of a
// router without requests do.
func (s *swarm) probe(ctx context.Context, router *light, seed uint64) error {
	order := rand.New(rand.NewPCG(seed, seed)).Perm(len(s.light) - s.routers)
	ticker := time.NewTicker(routerProbeInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		agent := s.light[s.routers+order[i%len(order)]]
		agent.routers.Add(router.address, struct{}{})
		agent.distributor.VersionSeen(router.holder.Current().Version(), router.address)
		router.distributor.VersionSeen(agent.holder.Current().Version(), agent.address)
	}
}

func (s *swarm) inForce(version uint64) int {
	n := 0
	for _, l := range s.light {
		if l.holder.Current().Version() >= version {
			n++
		}
	}
	return n
}

func (s *swarm) reads() int { return s.site.Table.Counts()["catalog"].Reads }

func (s *swarm) close() {
	s.stop()
	_ = s.group.Wait()
	s.site.Close()
}

var errNoPeer = errors.New("capacity: no such process")

// FetchCatalog implements catalog.PeerFetcher in memory.
func (s *swarm) FetchCatalog(_ context.Context, peer string, have uint64) (uint64, []byte, error) {
	i := slices.IndexFunc(s.light, func(l *light) bool { return l.address == peer })
	if i < 0 {
		return 0, nil, errNoPeer
	}
	snapshot := catalog.SnapshotMessage(s.light[i].holder, have)
	s.fetches.Add(1)
	s.fetchedBytes.Add(int64(len(snapshot.GetBody())))
	return snapshot.GetVersion(), snapshot.GetBody(), nil
}
