package site

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// shortScenario is a short run of a small site without faults, which is cheap
// under the race detector.
func shortScenario() Scenario {
	return Scenario{Name: "short", Length: 8 * time.Second, Endpoints: 4, Routers: 3, Models: 1, Engine: presentEngine}
}

func policyNamed(t *testing.T, name string) Policy {
	t.Helper()
	for _, p := range Policies() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no policy %q", name)
	return Policy{}
}

// Guards against a result that depends on map iteration order or on the wall
// clock.
func TestRunIsDeterministic(t *testing.T) {
	sc := shortScenario()
	sc.SwingFrom, sc.CrashAt, sc.CrashingRequests = 2, 4*time.Second, true
	for range 2 {
		text, err := json.MarshalIndent(Run(Workloads()[1], sc, policyNamed(t, currentPolicy), 1), "", " ")
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, "short", text)
	}
}

// adverseLimiter refuses each tenth urgent request and preempts urgent streams.
type adverseLimiter struct {
	worker.FixedLimiter
	arrived int
}

func (l *adverseLimiter) Admit(_ time.Time, r *rpc.RunRequest, _ *queue.Queue, _ []queue.Running) *resultcode.Error {
	l.arrived++
	if r.GetTier() > 0 || l.arrived%10 > 0 {
		return nil
	}
	return resultcode.New(resultcode.QueueFull, "refused")
}

func (l *adverseLimiter) Preempt(_ time.Time, _ *queue.Queue, running []queue.Running) (string, bool) {
	for _, r := range running {
		if r.Tier == 0 && r.Preemptions == 0 {
			return r.ID, true
		}
	}
	return "", false
}

// firstEndpoint sends every request to the first endpoint.
func firstEndpoint(*siteRouter, *request) int { return 0 }

// Guards against a measure that does not show the fault that it should detect.
// Each case runs a policy with that fault and expects the goal to be missed.
func TestMeasuresShowBadPolicies(t *testing.T) {
	newPolicy := func(name string, newLimiter func() worker.Limiter, choose func(*siteRouter, *request) int) Policy {
		return Policy{Name: name, newLimiterFunc: newLimiter, choose: choose}
	}
	overloaded := newPolicy(currentPolicy, nil, firstEndpoint)
	crashing := shortScenario()
	crashing.CrashingRequests = true
	cases := []struct {
		goal     int
		scenario Scenario
		policy   Policy
	}{
		{0, shortScenario(), overloaded},
		{1, shortScenario(), newPolicy(currentPolicy, func() worker.Limiter { return &adverseLimiter{FixedLimiter: worker.FixedLimiter{Slots: 1}} }, fewestOpen)},
		{2, shortScenario(), overloaded},
		{3, shortScenario(), overloaded},
		{4, crashing, newPolicy(currentPolicy, nil, roundRobin)},
	}
	for _, c := range cases {
		r := Run(Workloads()[1], c.scenario, c.policy, 1)
		if goal := Goals([]*Result{r})[c.goal]; goal.Met {
			t.Errorf("the policy meets the goal %q", goal.Name)
		}
	}
	r := Run(Workloads()[1], shortScenario(), overloaded, 1)
	if r.WorstSecondAttainment > 50 {
		t.Errorf("the worst second of an overloaded endpoint has an attainment of %.0f%%", r.WorstSecondAttainment)
	}
	if r.ShortRatio < 1 || r.ShortP99 < firstTokenTarget.Seconds() {
		t.Errorf("short requests wait %.2f s in the queue of an overloaded endpoint", r.ShortP99)
	}
}

// Guards against wrong comparisons between runs: the wait of short requests with
// that of the best baseline, and slowed endpoints with steady ones.
func TestGoalsCompareRuns(t *testing.T) {
	result := func(scenario, policy string, p99 float64) *Result {
		return &Result{Workload: "w", Scenario: scenario, Policy: policy, ShortP99: p99, WindowP99: p99, Goodput: 100}
	}
	good := []*Result{
		result("together", "fewest", 2), result("together", "round robin", 9), result("together", currentPolicy, 0.19),
		result("steady", currentPolicy, 0.2), result("slowed", currentPolicy, 0.26),
	}
	for _, g := range Goals(good) {
		if !g.Met {
			t.Errorf("%s: %v", g.Name, g.Misses)
		}
	}
	good[2].ShortP99, good[4].WindowP99 = 0.2, 0.27
	goals := Goals(good)
	if goals[5].Met || goals[6].Met {
		t.Errorf("a wait of a tenth and a ratio of 1.35 are taken as met: %+v", goals)
	}
}

// Guards against requests that get no final answer.
func TestEveryRequestEnds(t *testing.T) {
	sc := shortScenario()
	sc.CrashAt, sc.CrashingRequests = 3*time.Second, true
	for _, w := range Workloads() {
		for _, p := range Policies() {
			if r := Run(w, sc, p, 2); r.Unfinished != 0 {
				t.Errorf("%s, %s: %d requests have no final answer", w.Name, p.Name, r.Unfinished)
			}
		}
	}
}
