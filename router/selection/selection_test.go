package selection_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
)

var now = time.Unix(1_000_000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// idleEndpoints returns n idle serving endpoints in region "ro", spread over the
// given number of availability zones.
func idleEndpoints(n, zones int) []selection.Candidate {
	all := make([]selection.Candidate, n)
	for i := range all {
		id := fmt.Sprintf("endpoint-%03d", i)
		all[i] = selection.Candidate{
			ID: id, Region: "ro",
			AvailabilityZone: fmt.Sprintf("ro-%d", i%zones),
			Models:           []string{"chat:v1"}, Incarnation: "i-" + id,
			State:  rpc.AgentState_AGENT_STATE_SERVING,
			Load:   selection.Load{At: now, Limit: 8},
			Health: selection.Health{Weight: 1},
		}
	}
	return all
}

func chat() selection.Request {
	return selection.Request{Model: "chat", Region: "ro", AvailabilityZone: "ro-0"}
}

func prepare(all []selection.Candidate) {
	for i := range all {
		all[i].Prepare()
	}
}

// shares counts the picks by candidate over many selections.
func shares(t *testing.T, r selection.Request, all []selection.Candidate, rounds int) []int {
	t.Helper()
	rng, count := newRand(), make([]int, len(all))
	for range rounds {
		p, err := selection.Select(now, rng, r, all)
		if err != nil {
			t.Fatal(err)
		}
		count[p.Index]++
	}
	return count
}

// Guards against selecting an endpoint that cannot serve the request or must not
// receive it.
func TestFilterKeepsOut(t *testing.T) {
	cases := map[string]func(*selection.Candidate, *selection.Request){
		"leaving":       func(c *selection.Candidate, _ *selection.Request) { c.State = rpc.AgentState_AGENT_STATE_LEAVING },
		"down":          func(c *selection.Candidate, _ *selection.Request) { c.State = rpc.AgentState_AGENT_STATE_DOWN },
		"starting":      func(c *selection.Candidate, _ *selection.Request) { c.State = rpc.AgentState_AGENT_STATE_STARTING },
		"ejected":       func(c *selection.Candidate, _ *selection.Request) { c.Health.Ejected = true },
		"excluded":      func(c *selection.Candidate, r *selection.Request) { r.Excluded = []string{"x", c.ID} },
		"other model":   func(c *selection.Candidate, _ *selection.Request) { c.Models = []string{"chatter", "cha"} },
		"other version": func(_ *selection.Candidate, r *selection.Request) { r.Model = "chat:v2" },
	}
	for name, change := range cases {
		all, r := idleEndpoints(2, 1), chat()
		all[1].Models = append(all[1].Models, "chat:v2", "third")
		change(&all[0], &r)
		prepare(all)
		if got := shares(t, r, all, 50); got[0] != 0 {
			t.Errorf("%s: %d of 50 picks", name, got[0])
		}
	}
}

// Guards against a wrong result code: a model that is briefly without endpoints
// must not be reported as unknown, since clients do not retry a 404.
func TestRefusalCodes(t *testing.T) {
	down := idleEndpoints(1, 1)
	down[0].State = rpc.AgentState_AGENT_STATE_DOWN
	unclear := idleEndpoints(1, 1)
	unclear[0].Models = nil
	other := chat()
	other.Model = "none"
	known := other
	known.Known = true
	cases := []struct {
		name string
		r    selection.Request
		all  []selection.Candidate
		want resultcode.Code
	}{
		{"all down", chat(), down, resultcode.NoEndpoint},
		{"no candidates", chat(), nil, resultcode.NoEndpoint},
		{"offer not known yet", other, unclear, resultcode.NoEndpoint},
		{"listed in the catalog", known, idleEndpoints(1, 1), resultcode.NoEndpoint},
		{"unknown model", other, idleEndpoints(1, 1), resultcode.UnknownModel},
		{"unknown service", selection.Request{Service: "ledger"}, idleEndpoints(1, 1), resultcode.UnknownService},
	}
	for _, c := range cases {
		_, err := selection.Select(now, newRand(), c.r, c.all)
		var e *resultcode.Error
		if !errors.As(err, &e) || e.Code != c.want || e.EffectiveExecution() != resultcode.NotRun {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// Guards against a wrong order of two endpoints: the one at index 1 must always be
// chosen.
func TestScorePrefers(t *testing.T) {
	cases := map[string]func(all []selection.Candidate){
		"shorter wait": func(all []selection.Candidate) { all[0].Load.TierDelay[0] = 50 * time.Millisecond },
		"lower occupancy": func(all []selection.Candidate) {
			all[0].Load.Running = 7
			all[1].Load.Running = 4
		},
		"fewer own attempts": func(all []selection.Candidate) { all[0].Unreported = 8 },
		"own zone":           func(all []selection.Candidate) { all[0].AvailabilityZone = "ro-9" },
		"own region unless its extra wait exceeds the latency": func(all []selection.Candidate) {
			all[0].Region = "breizh"
			all[1].Load.TierDelay[0] = 20 * time.Millisecond
		},
		"other region when its shorter wait outweighs the latency": func(all []selection.Candidate) {
			all[1].Region = "breizh"
			all[0].Load.TierDelay[0] = 80 * time.Millisecond
		},
		"own region despite a better but outdated value of the other region": func(all []selection.Candidate) {
			all[0].Region = "breizh"
			all[0].Load.At = now.Add(-time.Hour)
			all[1].Load.TierDelay[0] = 60 * time.Millisecond
		},
	}
	for name, change := range cases {
		all := idleEndpoints(2, 1)
		change(all)
		prepare(all)
		if got := shares(t, chat(), all, 200); got[0] != 0 {
			t.Errorf("%s: %d of 200 picks went to the worse endpoint", name, got[0])
		}
	}
}

// Guards against a thundering herd: routers with the same load values, in which
// one endpoint is idle, must not all choose it.
func TestManyRoutersSpread(t *testing.T) {
	all := idleEndpoints(12, 1)
	for i := range all[1:] {
		all[i+1].Load.Running = 4
	}
	if got := shares(t, chat(), all, 4000); got[0] > 4000/4 {
		t.Errorf("the idle endpoint received %d of 4000 picks", got[0])
	}
	pair := idleEndpoints(2, 1)
	pair[1].Load.Running = 1
	if got := shares(t, chat(), pair, 1000); got[1] < 20 {
		t.Errorf("of two endpoints one attempt apart, the second received %d of 1000", got[1])
	}
	even := shares(t, chat(), idleEndpoints(12, 1), 12000)
	for i, n := range even {
		if n < 800 || n > 1200 {
			t.Errorf("equal endpoint %d received %d of 12000 picks", i, n)
		}
	}
}

// Guards against a reduced weight that does not reduce the share of requests, and
// against a request without an endpoint when all weights are 0.
func TestWeightReducesShare(t *testing.T) {
	all := idleEndpoints(4, 1)
	all[0].Health.Weight = 0.2
	got := shares(t, chat(), all, 4000)
	if got[0] < 100 || got[0] > 400 {
		t.Errorf("weight 0.2: %d of 4000", got[0])
	}
	r := chat()
	r.NonIdempotent = true
	if charged := shares(t, r, all, 4000); charged[0] == 0 || charged[0] >= got[0]/2 {
		t.Errorf("weight 0.2, non-idempotent: %d of 4000, idempotent %d", charged[0], got[0])
	}
	for i := range all {
		all[i].Health.Weight = 0
	}
	shares(t, chat(), all, 10)
}

// Guards against affinity that differs between routers, that overloads an
// endpoint, or that moves the prefixes of other endpoints when one leaves, which
// loses their prefix caches.
func TestPrefixAffinity(t *testing.T) {
	all, r := idleEndpoints(12, 4), chat()
	r.Prefix = 77
	rng := newRand()
	home, err := selection.Select(now, rng, r, all)
	if err != nil || !home.Affinity {
		t.Fatalf("%+v, %v", home, err)
	}
	r.AvailabilityZone = "ro-2"
	if got := shares(t, r, all, 100); got[home.Index] != 100 {
		t.Errorf("a router of another zone: %v", got)
	}
	all[home.Index].Load.Running = 3
	next := shares(t, r, all, 100)
	if next[home.Index] != 0 {
		t.Errorf("above the bound: %v", next)
	}
	moved := 0
	for prefix := uint64(1); prefix <= 1000; prefix++ {
		r.Prefix = prefix
		before, _ := selection.Select(now, rng, r, idleEndpoints(12, 4))
		after, _ := selection.Select(now, rng, r, idleEndpoints(11, 4))
		if before.Index != after.Index && before.Index != 11 {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of 1000 prefixes of other endpoints moved when one left", moved)
	}
}

func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{12, 600} {
		for _, models := range []int{1, 20} {
			all, r, rng := idleEndpoints(n, 4), chat(), newRand()
			for i := range all {
				all[i].Models = []string{fmt.Sprintf("model-%02d:v1", i%models)}
				all[i].Load.Running = i % 8
			}
			prepare(all)
			r.Model, r.Prefix = "model-00", 99
			b.Run(fmt.Sprintf("endpoints=%d/models=%d", n, models), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := selection.Select(now, rng, r, all); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
