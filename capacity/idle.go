package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/router/fleet"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/settings"
	"github.com/pistachiowind/pistachiowind/standin"
)

const (
	// repetitions is the number of measurements at each size.
	repetitions = 3

	// idleWindow spans several polls of the catalog (about every 4 s) and of the
	// VM list (about every 5 s), whose intervals vary.
	idleWindow = 12 * time.Second

	// probeWindow is shorter than idleWindow because an agent answers many probes
	// per second.
	probeWindow = 6 * time.Second
)

// endpointCounts are the numbers of endpoints known to an idle router.
var endpointCounts = []int{16, 75, 150, 300, 600}

// routerCounts are the numbers of routers that probe one agent, each once per
// second.
var routerCounts = []int{10, 50, 100, 200, 400}

// sampleWindow samples a process at the start and at the end of a window of
// length d.
func sampleWindow(s *Process, d time.Duration) (from, to Sample, err error) {
	if from, err = s.Sample(); err != nil {
		return from, to, err
	}
	time.Sleep(d)
	to, err = s.Sample()
	return from, to, err
}

// MeasureIdleRouter measures the control path of a router without requests
// against the number of endpoints that it knows. The VM list holds only these
// endpoints.
func MeasureIdleRouter(log io.Writer) ([]*Series, error) {
	names := []string{
		"cores", "bytes/s in all", "bytes/s of probes", "bytes/s of the VM list", "bytes/s of catalog polls",
		"live heap and stacks, bytes", "goroutines", "largest resident memory, bytes", "bytes per scrape of metrics",
	}
	group := newSeriesGroup(Control, "router", "endpoints known", names)
	site, err := StartSite(plannedAccounts, standin.EngineOptions{})
	if err != nil {
		return nil, err
	}
	defer site.Close()
	for _, n := range endpointCounts {
		fmt.Fprintf(log, "idle router, %d endpoints\n", n)
		if err := site.AddAgents(n); err != nil {
			return nil, err
		}
		// The repetitions run concurrently, each in its own process.
		var runs errgroup.Group
		for i := range repetitions {
			runs.Go(func() error { return measureIdleRouter(site, fmt.Sprintf("router-%d", i), n, group) })
		}
		if err := runs.Wait(); err != nil {
			return nil, err
		}
	}
	return group.finish(), nil
}

// startupProbeTime is longer than the time after its start in which a router
// probes at a higher rate; see membership.Options.
const startupProbeTime = 18 * time.Second

func measureIdleRouter(site *Site, name string, endpoints int, group *seriesGroup) error {
	settled := time.Now().Add(startupProbeTime)
	s, err := site.StartProcess(settings.RoleRouter, name, 0)
	if err != nil {
		return err
	}
	defer s.Close()
	err = await(name+" knows its endpoints", func() (bool, error) {
		now, err := s.Sample()
		return now.Serving == endpoints && now.Version > 0, err
	})
	if err != nil {
		return err
	}
	time.Sleep(time.Until(settled))
	from, to, err := sampleWindow(s, idleWindow)
	if err != nil {
		return err
	}
	scrape, err := scrapeBytes(s.Addresses.Admin)
	if err != nil {
		return err
	}
	wall := to.Usage.At.Sub(from.Usage.GCDoneAt).Seconds()
	probes := float64(to.Peers.Minus(from.Peers).Bytes()) / wall
	vms := bytesPerCall(to.VMs) / fleet.ListInterval(endpoints).Seconds()
	polls := float64(to.Table.Minus(from.Table).Bytes()) / wall
	group.add(float64(endpoints), CoresUsed(from.Usage, to.Usage), probes+vms+polls, probes, vms, polls,
		float64(to.Usage.Heap), float64(to.Usage.Goroutines), float64(to.Usage.MaxRSS), float64(scrape))
	return nil
}

// bytesPerCall returns the mean bytes of one call. A window holds two or three
// reads of the VM list; their bytes per second are computed from the bytes of one
// read and the read interval at that size, so that the result does not depend on
// the number of reads that fall into the window.
func bytesPerCall(t Traffic) float64 {
	return float64(t.Bytes()) / float64(max(t.Calls, 1))
}

func scrapeBytes(admin string) (int64, error) {
	counter := &TrafficCounter{}
	client := counter.Client(1)
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + admin + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("scrape: status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return counter.Traffic().Bytes(), err
}

// MeasureProbedAgent measures the control path of an agent without requests
// against the number of routers that probe it, each once per second over its own
// connection.
func MeasureProbedAgent(log io.Writer) ([]*Series, error) {
	names := []string{
		"cores", "bytes/s of probes", "bytes/s of catalog polls",
		"live heap and stacks, bytes", "goroutines", "largest resident memory, bytes",
	}
	group := newSeriesGroup(Control, "agent", "routers, each with one probe per second", names)
	site, err := StartSite(plannedAccounts, standin.EngineOptions{})
	if err != nil {
		return nil, err
	}
	defer site.Close()
	for _, n := range routerCounts {
		fmt.Fprintf(log, "agent, %d probing routers\n", n)
		var runs errgroup.Group
		for i := range repetitions {
			runs.Go(func() error { return measureProbedAgent(site, fmt.Sprintf("agent-%d", i), n, group) })
		}
		if err := runs.Wait(); err != nil {
			return nil, err
		}
	}
	return group.finish(), nil
}

func measureProbedAgent(site *Site, name string, routers int, group *seriesGroup) error {
	s, err := site.StartProcess(settings.RoleAgent, name, engineSlots)
	if err != nil {
		return err
	}
	defer s.Close()
	err = await(name+" has the catalog", func() (bool, error) {
		now, err := s.Sample()
		return now.Version > 0, err
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	counter := &TrafficCounter{}
	var probers errgroup.Group
	for i := range routers {
		probers.Go(func() error { return probeEachSecond(ctx, counter, s.Addresses.Peers, i, routers) })
	}
	// The first probes are spread over one second.
	time.Sleep(1500 * time.Millisecond)
	before := counter.Traffic()
	from, to, err := sampleWindow(s, probeWindow)
	probes := counter.Traffic().Minus(before)
	stop()
	if waitErr := probers.Wait(); err == nil {
		err = waitErr
	}
	wall := to.Usage.At.Sub(from.Usage.GCDoneAt).Seconds()
	table := to.Table.Minus(from.Table)
	group.add(float64(routers), CoresUsed(from.Usage, to.Usage), float64(probes.Bytes())/wall, float64(table.Bytes())/wall,
		float64(to.Usage.Heap), float64(to.Usage.Goroutines), float64(to.Usage.MaxRSS))
	return err
}

// probeEachSecond probes the agent once per second as the router with the given
// index; the first probes of all routers are spread evenly over one second.
func probeEachSecond(ctx context.Context, counter *TrafficCounter, address string, index, routers int) error {
	client := dispatch.NewClient(counter.CountConnections(dispatch.NewTransport()))
	defer client.HTTPClient().CloseIdleConnections()
	unary := rpc.NewAgentProtobufClient(client.URL(address), client.HTTPClient())
	timer := time.NewTimer(time.Duration(index) * time.Second / time.Duration(routers))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		timer.Reset(time.Second)
		req := &rpc.ProbeRequest{CatalogVersion: siteVersion, RouterAddress: fmt.Sprintf("127.0.0.1:%d", 10_000+index)}
		if _, err := unary.Probe(ctx, req); err != nil && ctx.Err() == nil {
			return err
		}
	}
}
