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
	// repetitions of each point.
	repetitions = 3

	// idleWindow spans several reads of the catalog (4 s) and of the VM list
	// (5 s), whose intervals vary.
	idleWindow = 12 * time.Second

	// probeWindow measures an agent; it answers many probes per second.
	probeWindow = 6 * time.Second
)

// endpointCounts are the endpoints known to an idle router.
var endpointCounts = []int{16, 75, 150, 300, 600}

// routerCounts are the routers that probe one agent once per second each.
var routerCounts = []int{10, 50, 100, 200, 400}

// window samples a subject at both ends of a time.
func window(s *Subject, d time.Duration) (from, to Sample, err error) {
	if from, err = s.Sample(); err != nil {
		return from, to, err
	}
	time.Sleep(d)
	to, err = s.Sample()
	return from, to, err
}

// IdleRouter measures the control path of a router without requests against
// the endpoints that it knows. The VM list holds these endpoints only.
func IdleRouter(log io.Writer) ([]*Series, error) {
	names := []string{
		"cores", "bytes/s in all", "bytes/s of probes", "bytes/s of the VM list", "bytes/s of catalog polls",
		"live heap and stacks, bytes", "goroutines", "largest resident memory, bytes", "bytes per scrape of metrics",
	}
	set := newSet(Control, "router", "endpoints known", names)
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
		// The repetitions run at the same time in processes of their own.
		var group errgroup.Group
		for i := range repetitions {
			group.Go(func() error { return idleRouter(site, fmt.Sprintf("router-%d", i), n, set) })
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
	}
	return set.finish(), nil
}

// joinTime is above the time in which a starting router probes faster; see
// membership.Options.
const joinTime = 18 * time.Second

func idleRouter(site *Site, name string, endpoints int, set *set) error {
	joined := time.Now().Add(joinTime)
	s, err := site.Subject(settings.RoleRouter, name, 0)
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
	time.Sleep(time.Until(joined))
	from, to, err := window(s, idleWindow)
	if err != nil {
		return err
	}
	scrape, err := scrapeBytes(s.Addresses.Admin)
	if err != nil {
		return err
	}
	wall := to.Usage.At.Sub(from.Usage.ResumeAt).Seconds()
	probes := float64(to.Peers.Minus(from.Peers).Bytes()) / wall
	vms := perCall(to.VMs) / fleet.ListInterval(endpoints).Seconds()
	polls := float64(to.Table.Minus(from.Table).Bytes()) / wall
	set.add(float64(endpoints), Cores(from.Usage, to.Usage), probes+vms+polls, probes, vms, polls,
		float64(to.Usage.Heap), float64(to.Usage.Goroutines), float64(to.Usage.MaxRSS), float64(scrape))
	return nil
}

// perCall is the size of one call. A window holds two or three reads of the VM
// list; their bytes per second are worked out from the bytes of one read and the
// interval at that size, so that the number in the window does not matter.
func perCall(t Traffic) float64 {
	return float64(t.Bytes()) / float64(max(t.Calls, 1))
}

func scrapeBytes(admin string) (int64, error) {
	wire := &Wire{}
	client := wire.Client(1)
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
	return wire.Traffic().Bytes(), err
}

// ProbedAgent measures the control path of an agent without requests against
// routers that probe it once per second, each over its own connection.
func ProbedAgent(log io.Writer) ([]*Series, error) {
	names := []string{
		"cores", "bytes/s of probes", "bytes/s of catalog polls",
		"live heap and stacks, bytes", "goroutines", "largest resident memory, bytes",
	}
	set := newSet(Control, "agent", "routers, each with one probe per second", names)
	site, err := StartSite(plannedAccounts, standin.EngineOptions{})
	if err != nil {
		return nil, err
	}
	defer site.Close()
	for _, n := range routerCounts {
		fmt.Fprintf(log, "agent, %d probing routers\n", n)
		var group errgroup.Group
		for i := range repetitions {
			group.Go(func() error { return probedAgent(site, fmt.Sprintf("agent-%d", i), n, set) })
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
	}
	return set.finish(), nil
}

func probedAgent(site *Site, name string, routers int, set *set) error {
	s, err := site.Subject(settings.RoleAgent, name, engineSlots)
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
	wire := &Wire{}
	var probers errgroup.Group
	for i := range routers {
		probers.Go(func() error { return probeEachSecond(ctx, wire, s.Addresses.Peers, i, routers) })
	}
	// Each prober has sent its first probe after a second.
	time.Sleep(1500 * time.Millisecond)
	before := wire.Traffic()
	from, to, err := window(s, probeWindow)
	probes := wire.Traffic().Minus(before)
	stop()
	if waitErr := probers.Wait(); err == nil {
		err = waitErr
	}
	wall := to.Usage.At.Sub(from.Usage.ResumeAt).Seconds()
	table := to.Table.Minus(from.Table)
	set.add(float64(routers), Cores(from.Usage, to.Usage), float64(probes.Bytes())/wall, float64(table.Bytes())/wall,
		float64(to.Usage.Heap), float64(to.Usage.Goroutines), float64(to.Usage.MaxRSS))
	return err
}

// probeEachSecond probes as one router of many, spread over the second.
func probeEachSecond(ctx context.Context, wire *Wire, address string, i, routers int) error {
	client := dispatch.NewClient(wire.Wrap(dispatch.NewTransport()))
	defer client.HTTPClient().CloseIdleConnections()
	unary := rpc.NewAgentProtobufClient(client.URL(address), client.HTTPClient())
	timer := time.NewTimer(time.Duration(i) * time.Second / time.Duration(routers))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		timer.Reset(time.Second)
		req := &rpc.ProbeRequest{CatalogVersion: siteVersion, RouterAddress: fmt.Sprintf("127.0.0.1:%d", 10_000+i)}
		if _, err := unary.Probe(ctx, req); err != nil && ctx.Err() == nil {
			return err
		}
	}
}
