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

// notExercised lists the instruments that need a condition which the test does not
// cause, with that condition.
var notExercised = map[string]string{
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

// readMetrics scrapes the metrics of a process. It returns for each name the sum over
// its series; for a histogram, the sum of the counts under the histogram's name.
func readMetrics(t *testing.T, address string) map[string]float64 {
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

// sumMetrics adds up the metrics of the processes at the given addresses.
func sumMetrics(t *testing.T, addresses []string) map[string]float64 {
	t.Helper()
	sums := map[string]float64{}
	for _, address := range addresses {
		for name, n := range readMetrics(t, address) {
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
		sums := sumMetrics(t, addresses)
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

// Guards against an instrument that is documented and used in an alarm but never
// recorded. The faults are injected one after the other under load; the steps wait
// for the metrics that they cause.
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
	ejectSlowEngine(t, site, addresses)
	crashEngines(t, site, addresses)
	cancelStream(t, site)
	awaitMetrics(t, addresses, "pistachiowind_router_renounces_total", "pistachiowind_agent_renounced_total")
	changeProfile(t, site)
	stopTable(t, site, addresses)
	sendOrderWithoutLease(t, site)
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
	routers := sumMetrics(t, addresses[:len(site.Routers)])
	agents := sumMetrics(t, addresses[len(site.Routers):len(addresses)-1])
	check := func(sums map[string]float64, defs []telemetry.Definition) {
		t.Helper()
		for _, d := range defs {
			n, present := sums[d.Name]
			recorded := n > 0 || present && d.Kind == telemetry.KindGauge
			if !recorded && notExercised[d.Name] == "" {
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

// ejectSlowEngine slows one engine until a router ejects it.
func ejectSlowEngine(t *testing.T, site *demo.Site, addresses []string) {
	t.Helper()
	setFaults(t, site.Engines[0], standin.EngineFaults{SlowFactor: 20})
	awaitMetrics(t, addresses, "pistachiowind_router_ejections_total", "pistachiowind_router_target_missed_total")
	setFaults(t, site.Engines[0], standin.EngineFaults{})
}

// crashEngines repeats a request that crashes engines until an agent has decided on it
// as a suspect, so that it is refused.
func crashEngines(t *testing.T, site *demo.Site, addresses []string) {
	t.Helper()
	const marker = "crash-the-engine"
	for _, e := range site.Engines {
		setFaults(t, e, standin.EngineFaults{CrashMarker: marker, RestartAfterMS: 100})
	}
	for range 20 {
		resp := sendChat(t.Context(), t, site, chatBody(marker), nil)
		if resp != nil {
			resp.Body.Close()
		}
		if sumMetrics(t, addresses)["pistachiowind_agent_suspects_total"] > 0 {
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

func sendChat(ctx context.Context, t *testing.T, site *demo.Site, body string, header http.Header) *http.Response {
	t.Helper()
	return sendPost(ctx, t, site, "/v1/chat/completions", body, header)
}

func sendPost(ctx context.Context, t *testing.T, site *demo.Site, path, body string, header http.Header) *http.Response {
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

// cancelStream opens a stream and closes it after the first bytes.
func cancelStream(t *testing.T, site *demo.Site) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	resp := sendChat(ctx, t, site, chatBody("cancelled by its caller"), nil)
	if resp == nil {
		t.Fatal("the stream did not open")
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
}

func operatorClient(t *testing.T, address string) *admin.Client {
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
	client := operatorClient(t, site.Routers[0].AdminAddress())
	at, err := client.Profile(t.Context(), demo.ProfileHistory)
	if err != nil {
		t.Fatal(err)
	}
	changed := at.Profile
	changed.Target.WholeMS++
	if _, err := client.PutProfile(t.Context(), &admin.PutProfileRequest{Profile: changed, BaseVersion: at.Version}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(demo.MaxPropagation); slices.Min(site.CatalogVersions()) <= at.Version; {
		if time.Now().After(deadline) {
			t.Fatalf("versions %v after %s", site.CatalogVersions(), demo.MaxPropagation)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// stopTable takes the table service down until agents have asked routers for the
// catalog instead. Charges are refused in that time.
func stopTable(t *testing.T, site *demo.Site, addresses []string) {
	t.Helper()
	if err := site.Table.SetFaults(standin.TableFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	// The last agent is excluded: it is drained before the final check.
	awaitMetrics(t, addresses[len(site.Routers):len(addresses)-1], "pistachiowind_peer_calls_total")
	if err := site.Table.SetFaults(standin.TableFaults{}); err != nil {
		t.Fatal(err)
	}
}

// sendOrderWithoutLease sends an order as a process that holds no lease, and checks
// that it is not executed.
func sendOrderWithoutLease(t *testing.T, site *demo.Site) {
	t.Helper()
	agent := rpc.NewAgentProtobufClient("http://"+site.Agents[0].PeersAddress(), http.DefaultClient)
	resp, err := agent.Order(t.Context(), &rpc.OrderRequest{Lease: "none", OrderId: "o1", FencingNumber: 1})
	if err != nil || resp.GetDone() {
		t.Fatalf("an order without a lease: %v, %v", resp, err)
	}
}

// sendToOldIncarnation sends an attempt that is addressed to an earlier incarnation of
// an agent, as a late copy is after a restart.
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

// drainBooking drains the only agent of the booking service, so that calls of the
// service are refused for lack of an endpoint. The agent's metrics end with it.
func drainBooking(t *testing.T, site *demo.Site, addresses []string) {
	t.Helper()
	booking := addresses[len(addresses)-1]
	if _, err := operatorClient(t, booking).Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	header := http.Header{"Idempotency-Key": {"booking-1"}}
	deadline := time.Now().Add(10 * time.Second)
	for {
		resp := sendPost(t.Context(), t, site, "/services/"+demo.BookingService+"/bookings", "{}", header)
		if resp == nil {
			t.Fatal("the router does not answer")
		}
		resp.Body.Close()
		if sumMetrics(t, addresses[:1])["pistachiowind_router_account_refused_total"] > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Error("calls of a service without an endpoint are not counted as refused for the account")
			return
		}
	}
}
