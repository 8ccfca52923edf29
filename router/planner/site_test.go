package planner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/agent"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router"
	"github.com/pistachiowind/pistachiowind/router/planner"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/standin"
	"github.com/pistachiowind/pistachiowind/storage"
)

const loopback = "127.0.0.1:0"

// testSite is a site with two engines in two availability zones and two routers.
type testSite struct {
	t       *testing.T
	table   storage.Options
	vms     storage.Options
	engines []*standin.Engine
	agents  []*agent.Agent
	routers []*router.Router
	stop    []context.CancelFunc
	ended   []chan struct{}
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(60 * time.Second); !ok(); <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatalf("not within 60 s: %s", what)
		}
	}
}

func newTestSite(t *testing.T) *testSite {
	s := &testSite{t: t}
	table := standin.NewTable(standin.TableOptions{})
	vms := standin.NewVMList(standin.VMListOptions{})
	s.table, s.vms = storage.Options{URL: s.serve(table)}, storage.Options{URL: s.serve(vms)}
	t.Cleanup(table.Close)
	t.Cleanup(vms.Close)
	first := catalog.Change{ID: "first", By: "op", Catalog: &catalog.Catalog{
		Profiles:       []catalog.Profile{{Name: "chat", Tier: 1, Idempotent: true}},
		ClientAccounts: []catalog.ClientAccount{{Name: "a", KeyHashes: []string{catalog.HashKey("k")}, DefaultProfile: "chat"}},
		Models:         []catalog.Model{{Name: "a", MinEndpoints: 1}, {Name: "b", MinEndpoints: 1}},
	}}
	if _, err := catalog.NewStore(platform.NewTable(s.table)).Put(t.Context(), time.Now(), first); err != nil {
		t.Fatal(err)
	}
	var list []standin.VM
	for i, model := range []string{"a", "b"} {
		list = append(list, s.addEngine(i, model))
	}
	for i := range 2 {
		list = append(list, s.addRouter(i))
	}
	if err := vms.Set(list); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *testSite) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	s.t.Cleanup(server.Close)
	return server.URL
}

// addEngine starts an engine that ignores fencing numbers, and its agent.
func (s *testSite) addEngine(i int, model string) standin.VM {
	e := standin.NewEngine(standin.EngineOptions{
		Model: standin.EngineModelOptions{Slots: 4}, Models: []string{model}, OrderDuration: 50 * time.Millisecond,
	})
	s.t.Cleanup(e.Close)
	zone := fmt.Sprintf("zone-%d", i)
	a, err := agent.New(agent.Options{
		Name: fmt.Sprintf("engine-%d", i), Region: "r", AvailabilityZone: zone, PeersAddress: loopback, AdminAddress: loopback,
		EndpointURL: s.serve(e), Table: platform.NewTable(s.table), Log: zerolog.Nop(),
		Concurrency: agent.Concurrency{Initial: 4, Min: 4, Max: 4},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.engines, s.agents = append(s.engines, e), append(s.agents, a)
	s.run(a.Serve)
	return standin.VM{Name: fmt.Sprintf("engine-%d", i), Role: standin.RoleAgent, Address: a.PeersAddress(),
		Region: "r", AvailabilityZone: zone, State: standin.StateLive}
}

func (s *testSite) addRouter(i int) standin.VM {
	r, err := router.New(router.Options{
		Name: fmt.Sprintf("router-%d", i), Region: "r", AvailabilityZone: "zone-0", CallersAddress: loopback,
		PeersAddress: loopback, AdminAddress: loopback, Table: platform.NewTable(s.table), VMs: storage.NewVMList(s.vms),
		ReadyGrace: -1, DrainTimeout: 5 * time.Second, Log: zerolog.Nop(),
		Placement: planner.Tuning{
			Interval: 100 * time.Millisecond, Retry: 200 * time.Millisecond,
			Plan: planner.PlanOptions{MinChange: time.Second, Smoothing: 500 * time.Millisecond},
		},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.routers = append(s.routers, r)
	cancel, ended := s.run(r.Serve)
	s.stop, s.ended = append(s.stop, cancel), append(s.ended, ended)
	return standin.VM{Name: fmt.Sprintf("router-%d", i), Role: standin.RoleRouter, Address: r.PeersAddress(),
		Region: "r", AvailabilityZone: "zone-0", State: standin.StateLive}
}

func (s *testSite) run(serve func(ctx, force context.Context) error) (context.CancelFunc, chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = serve(ctx, context.Background())
		close(ended)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-ended
	})
	return cancel, ended
}

// holder returns the index of the router whose metrics report that it holds the lease,
// or -1.
func (s *testSite) holder() int {
	for i, r := range s.routers {
		resp, err := http.Get("http://" + r.AdminAddress() + "/metrics")
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && strings.Contains(string(body), "\npistachiowind_router_lease_held 1") {
			return i
		}
	}
	return -1
}

// load keeps requests for a model open at each router until the test ends.
// Refused and broken requests are sent again.
func (s *testSite) load(model string, concurrency int) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2*concurrency)
	for _, r := range s.routers {
		for range concurrency {
			go func() {
				ticker := time.NewTicker(20 * time.Millisecond)
				defer ticker.Stop()
				for ; ctx.Err() == nil; <-ticker.C {
					_ = request(ctx, r.CallersAddress(), model)
				}
				ended <- struct{}{}
			}()
		}
	}
	s.t.Cleanup(func() {
		cancel()
		for range cap(ended) {
			<-ended
		}
	})
}

func request(ctx context.Context, address, model string) error {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":40}`, model)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against placement that does not follow the demand, a lease that no other
// router takes over, and an order of a former holder that reaches an engine which does
// not check fencing numbers itself.
func TestPlacementFollowsDemandAndFailsOver(t *testing.T) {
	s := newTestSite(t)
	await(t, "routers ready", func() bool { return s.routers[0].Ready() == nil && s.routers[1].Ready() == nil })
	await(t, "a holder", func() bool { return s.holder() >= 0 })
	first := s.holder()
	s.load("b", 4)
	await(t, "engine 0 loads b", func() bool { return slices.Contains(s.engines[0].Models(), "b") })
	await(t, "engine 0 runs requests", func() bool { return s.engines[0].Stats().Completed > 0 })
	s.stop[first]()
	<-s.ended[first]
	row, err := platform.NewTable(s.table).Get(t.Context(), lease.RowKey(lease.Placement))
	if err != nil || strings.Contains(string(row.Value), fmt.Sprintf("router-%d", first)) {
		t.Fatalf("the lease row after the holder has drained: %s, %v", row.Value, err)
	}
	await(t, "the other holder", func() bool { return s.holder() == 1-first })

	// The engine restarts without b.
	if err := s.engines[0].SetFaults(standin.EngineFaults{Down: standin.DownClose}); err != nil {
		t.Fatal(err)
	}
	await(t, "agent 0 down", func() bool { return s.agents[0].State() == rpc.AgentState_AGENT_STATE_DOWN })
	if err := s.engines[0].SetFaults(standin.EngineFaults{}); err != nil {
		t.Fatal(err)
	}
	await(t, "engine 0 loads b again", func() bool { return slices.Contains(s.engines[0].Models(), "b") })

	client := rpc.NewAgentProtobufClient("http://"+s.agents[0].PeersAddress(), http.DefaultClient)
	resp, err := client.Order(t.Context(), &rpc.OrderRequest{
		Lease: lease.Placement, FencingNumber: 1, OrderId: "late",
		Order: &rpc.OrderRequest_UnloadModel{UnloadModel: &rpc.UnloadModel{Model: "b"}},
	})
	if err != nil || resp.GetDone() || resp.GetCode() != uint32(resultcode.FencingNumberOld) {
		t.Fatalf("order of the former holder: %v, %v", resp, err)
	}
	checkOrders(t, s.engines)
}

// checkOrders checks the orders that the engines recorded: fencing numbers never
// decrease, and orders of both holders occur.
func checkOrders(t *testing.T, engines []*standin.Engine) {
	t.Helper()
	highest := uint64(0)
	for i, e := range engines {
		last := uint64(0)
		for _, o := range e.Orders() {
			if o.FencingNumber < last || o.FencingNumber == 0 || o.Status != http.StatusOK {
				t.Errorf("engine %d: order %s %s with number %d after %d", i, o.Path, o.Body, o.FencingNumber, last)
			}
			last = max(last, o.FencingNumber)
		}
		highest = max(highest, last)
	}
	if highest != 2 {
		t.Errorf("highest number at an engine is %d, want 2", highest)
	}
}
