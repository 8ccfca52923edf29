package demo_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/admin"
	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/loadgen"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// rarer lists the instruments that need a fault which this test does not cause.
var rarer = map[string]string{
	"pistachiowind_certificate_reloads_total":     "the demo runs without TLS",
	"pistachiowind_service_restarts_total":        "needs a supervised part that ends by a fault",
	"pistachiowind_router_attaches_total":         "needs a connection between router and agent that breaks while both live",
	"pistachiowind_router_silent_streams_total":   "needs a connection between router and agent without frames for 3 s",
	"pistachiowind_agent_displaced_total":         "needs a full queue of 512 requests",
	"pistachiowind_agent_expired_total":           "needs an overload that admission did not foresee",
	"pistachiowind_agent_preempted_total":         "needs an urgent burst while all slots hold low-tier work",
	"pistachiowind_agent_orphaned_attempts_total": "needs a router that is lost for 10 s",
	"pistachiowind_agent_replay_full_total":       "needs a router that reads more slowly than the engine generates",
	"pistachiowind_router_wasted_tokens_total":    "needs two attempts of one request that both generate",
	"pistachiowind_router_placement_orders_total": "needs a catalog with models; router/planner has a test",
}

// metricsOf reads the metrics of a process: for each name the sum over its
// series, of a histogram the count.
func metricsOf(t *testing.T, address string) map[string]float64 {
	t.Helper()
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	sums := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || !strings.HasPrefix(name, "pistachiowind_") {
			continue
		}
		if i := strings.LastIndex(lines.Text(), "} "); i >= 0 {
			name, value = lines.Text()[:strings.Index(lines.Text(), "{")], lines.Text()[i+2:]
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			t.Fatalf("line %q: %v", lines.Text(), err)
		}
		sums[strings.TrimSuffix(name, "_count")] += n
	}
	return sums
}

// siteMetrics adds up the metrics of all processes with the addresses.
func siteMetrics(t *testing.T, addresses []string) map[string]float64 {
	t.Helper()
	sums := map[string]float64{}
	for _, address := range addresses {
		for name, n := range metricsOf(t, address) {
			sums[name] += n
		}
	}
	return sums
}

func adminAddresses(site *demo.Site) []string {
	var list []string
	for _, r := range site.Routers {
		list = append(list, r.AdminAddress())
	}
	for _, a := range site.Agents {
		list = append(list, a.AdminAddress())
	}
	return list
}

// awaitMetrics waits until each named metric is above zero.
func awaitMetrics(t *testing.T, addresses []string, names ...string) {
	t.Helper()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(20 * time.Second); ; <-ticker.C {
		sums := siteMetrics(t, addresses)
		missing := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return sums[name] > 0 })
		if len(missing) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Errorf("not recorded: %v", missing)
			return
		}
	}
}

func startSite(t *testing.T) *demo.Site {
	t.Helper()
	site, err := demo.Start(t.Context(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = site.Close() })
	return site
}

// Guards against an instrument that is documented, used in an alarm, and never
// recorded. The faults run one after the other under load; each step waits for
// the metrics that it causes.
func TestInstrumentsAreRecorded(t *testing.T) {
	site := startSite(t)
	addresses := adminAddresses(site)
	load, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := loadgen.Run(load, loadgen.Options{
			Addresses: site.URLs(), Seed: 1, Duration: 3 * time.Minute, Classes: demo.Classes(),
		})
		ended <- err
	}()
	slowEngine(t, site, addresses)
	crashEngines(t, site, addresses)
	cancelStream(t, site)
	awaitMetrics(t, addresses, "pistachiowind_router_renounces_total", "pistachiowind_agent_renounced_total")
	changeProfile(t, site)
	stopStore(t, site, addresses)
	order(t, site)
	sendToOldIncarnation(t, site)
	drainBooking(t, site, addresses)
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	checkInstruments(t, site, addresses)
}

func checkInstruments(t *testing.T, site *demo.Site, addresses []string) {
	t.Helper()
	routers := siteMetrics(t, addresses[:len(site.Routers)])
	agents := siteMetrics(t, addresses[len(site.Routers):len(addresses)-1])
	check := func(sums map[string]float64, defs []telemetry.Definition) {
		t.Helper()
		for _, d := range defs {
			n, present := sums[d.Name]
			recorded := n > 0 || present && d.Kind == telemetry.KindGauge
			if !recorded && rarer[d.Name] == "" {
				t.Errorf("%s %s was not recorded", d.Kind, d.Name)
			}
		}
	}
	check(routers, definitions(t, func(p *telemetry.Provider) error { _, err := telemetry.NewRouter(p); return err }))
	check(agents, definitions(t, func(p *telemetry.Provider) error { _, err := telemetry.NewAgent(p); return err }))
}

func definitions(t *testing.T, create func(*telemetry.Provider) error) []telemetry.Definition {
	t.Helper()
	p, err := telemetry.New(telemetry.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := create(p); err != nil {
		t.Fatal(err)
	}
	return p.Definitions()
}

func setFaults(t *testing.T, e *standin.Engine, f standin.EngineFaults) {
	t.Helper()
	if err := e.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// slowEngine slows one engine until it is ejected.
func slowEngine(t *testing.T, site *demo.Site, addresses []string) {
	t.Helper()
	setFaults(t, site.Engines[0], standin.EngineFaults{SlowFactor: 20})
	awaitMetrics(t, addresses, "pistachiowind_router_ejections_total", "pistachiowind_router_target_missed_total")
	setFaults(t, site.Engines[0], standin.EngineFaults{})
}

// crashEngines sends a request that crashes engines until it is refused.
func crashEngines(t *testing.T, site *demo.Site, addresses []string) {
	t.Helper()
	const marker = "crash-the-engine"
	for _, e := range site.Engines {
		setFaults(t, e, standin.EngineFaults{CrashMarker: marker, RestartAfterMS: 100})
	}
	for range 20 {
		resp := post(t.Context(), t, site, chatBody(marker), nil)
		if resp != nil {
			resp.Body.Close()
		}
		if siteMetrics(t, addresses)["pistachiowind_agent_suspects_total"] > 0 {
			break
		}
	}
	awaitMetrics(t, addresses, "pistachiowind_agent_endpoint_crashes_total", "pistachiowind_agent_suspects_total")
	for _, e := range site.Engines {
		setFaults(t, e, standin.EngineFaults{})
	}
}

func chatBody(text string) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":200,"messages":[{"role":"user","content":%q}]}`,
		standin.DefaultModel, text)
}

func post(ctx context.Context, t *testing.T, site *demo.Site, body string, header http.Header) *http.Response {
	t.Helper()
	return postTo(ctx, t, site, "/v1/chat/completions", body, header)
}

func postTo(ctx context.Context, t *testing.T, site *demo.Site, path, body string, header http.Header) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, site.URLs()[0]+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+demo.InsuranceKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	return resp
}

// cancelStream closes a stream after its first bytes.
func cancelStream(t *testing.T, site *demo.Site) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	resp := post(ctx, t, site, chatBody("cancelled by its caller"), nil)
	if resp == nil {
		t.Fatal("the stream did not open")
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
}

func operator(t *testing.T, address string) *admin.Client {
	t.Helper()
	client, err := admin.NewClient(admin.ClientOptions{URL: "http://" + address, Key: demo.OperatorKey})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func changeProfile(t *testing.T, site *demo.Site) {
	t.Helper()
	client := operator(t, site.Routers[0].AdminAddress())
	at, err := client.Profile(t.Context(), demo.ProfileHistory)
	if err != nil {
		t.Fatal(err)
	}
	changed := at.Profile
	changed.Target.WholeMS++
	if _, err := client.PutProfile(t.Context(), &admin.PutProfile{Profile: changed, BaseVersion: at.Version}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(demo.MaxPropagation); slices.Min(site.CatalogVersions()) <= at.Version; {
		if time.Now().After(deadline) {
			t.Fatalf("versions %v after %s", site.CatalogVersions(), demo.MaxPropagation)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// stopStore stops the table service until agents have asked routers for the
// catalog instead, and charges have been refused.
func stopStore(t *testing.T, site *demo.Site, addresses []string) {
	t.Helper()
	if err := site.Table.SetFaults(standin.TableFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	// The last agent is drained before the final check, so it does not count.
	awaitMetrics(t, addresses[len(site.Routers):len(addresses)-1], "pistachiowind_peer_calls_total")
	if err := site.Table.SetFaults(standin.TableFaults{}); err != nil {
		t.Fatal(err)
	}
}

// order sends an order of a process that holds no lease.
func order(t *testing.T, site *demo.Site) {
	t.Helper()
	agent := rpc.NewAgentProtobufClient("http://"+site.Agents[0].PeersAddress(), http.DefaultClient)
	resp, err := agent.Order(t.Context(), &rpc.OrderRequest{Lease: "none", OrderId: "o1", FencingNumber: 1})
	if err != nil || resp.GetDone() {
		t.Fatalf("an order without a lease: %v, %v", resp, err)
	}
}

// sendToOldIncarnation sends a late copy of an attempt to an agent that has
// restarted.
func sendToOldIncarnation(t *testing.T, site *demo.Site) {
	t.Helper()
	var body bytes.Buffer
	if err := rpc.WriteMessage(&body, &rpc.RunRequest{Agent: "an earlier incarnation"}); err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+site.Agents[0].PeersAddress()+rpc.RunPath, "", &body)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
}

// drainBooking drains the only agent of a service, whose calls are then refused
// for lack of an endpoint. That agent's metrics are gone with it.
func drainBooking(t *testing.T, site *demo.Site, addresses []string) {
	t.Helper()
	booking := addresses[len(addresses)-1]
	if _, err := operator(t, booking).Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	header := http.Header{"Idempotency-Key": {"booking-1"}}
	deadline := time.Now().Add(10 * time.Second)
	for {
		resp := postTo(t.Context(), t, site, "/services/"+demo.BookingService+"/bookings", "{}", header)
		if resp == nil {
			t.Fatal("the router does not answer")
		}
		resp.Body.Close()
		if siteMetrics(t, addresses[:1])["pistachiowind_router_account_refused_total"] > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Error("calls of a service without an endpoint are not counted as refused for the account")
			return
		}
	}
}
