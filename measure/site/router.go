package site

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/budget"
	"github.com/pistachiowind/pistachiowind/router/health"
	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	region = "ro-sud"
	zones  = 4
	// maxHealthAge and probeInterval are those of packages fleet and membership.
	maxHealthAge  = 20 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// evidenceInterval is the interval at which routers read the shared evidence of
	// crashes.
	evidenceInterval = 5 * time.Second
)

// siteRouter simulates one router. It follows packages fleet and dispatch.
type siteRouter struct {
	sim          *simulation
	zone         int
	rng          *rand.Rand
	endpoints    []selection.Candidate
	indexByID    map[string]int
	health       *health.Tracker
	healthReadAt time.Time
	budgets      [catalog.TierCount]*budget.Budget
	hedger       *budget.Hedger
	quarantine   *quarantine.Tracker
	// openAttempts counts this router's attempts in progress by endpoint.
	// roundRobinIndex is used by policy "round robin" only.
	openAttempts    []int
	roundRobinIndex int
}

func newRouter(s *simulation, number int) *siteRouter {
	r := &siteRouter{
		sim: s, zone: number % zones, rng: rand.New(rand.NewPCG(s.seed, uint64(1000+number))),
		health: health.New(health.Options{}), hedger: budget.NewHedger(budget.HedgeOptions{}),
		quarantine: quarantine.NewTracker(), openAttempts: make([]int, len(s.endpoints)),
		indexByID: make(map[string]int), roundRobinIndex: number,
	}
	for tier := range r.budgets {
		r.budgets[tier] = budget.New(budget.Options{})
	}
	per := len(s.endpoints) / s.scenario.Models
	for i, e := range s.endpoints {
		model := modelName(i / per)
		c := selection.Candidate{
			ID: e.id, Region: region, AvailabilityZone: strconv.Itoa(e.zone), Models: []string{model},
			State: rpc.AgentState_AGENT_STATE_SERVING, Health: selection.Health{Weight: 1},
		}
		c.Prepare()
		r.endpoints = append(r.endpoints, c)
		r.indexByID[e.id] = i
		r.health.Join(s.now, e.id, model)
	}
	return r
}

func modelName(model int) string { return "model-" + strconv.Itoa(model) }

// choose returns the index of the endpoint for the next attempt of req.
func (r *siteRouter) choose(req *request) (int, *resultcode.Error) {
	if r.sim.policy.choose != nil {
		return r.sim.policy.choose(r, req), nil
	}
	now := r.sim.now
	if now.Sub(r.healthReadAt) > maxHealthAge {
		r.healthReadAt = now
		r.health.Each(now, func(id string, weight float64, ejected bool) {
			r.endpoints[r.indexByID[id]].Health = selection.Health{Weight: weight, Ejected: ejected}
		})
	}
	q := selection.Request{
		Model: modelName(req.model), Known: true, Tier: req.class.Tier, Region: region,
		AvailabilityZone: strconv.Itoa(r.zone), Excluded: req.triedEndpoints, NonIdempotent: req.class.NonIdempotent,
	}
	pick, err := selection.Select(now, r.rng, q, r.endpoints)
	if err != nil && len(req.triedEndpoints) > 0 && !req.nextIsRedirect {
		req.triedEndpoints, q.Excluded = nil, nil
		pick, err = selection.Select(now, r.rng, q, r.endpoints)
	}
	if err != nil {
		return 0, resultcode.As(err)
	}
	r.health.Sent(now, pick.Endpoint)
	return pick.Index, nil
}

// applyReport stores state and load from an agent's report about itself.
func (r *siteRouter) applyReport(index int, m report) {
	if m.at.IsZero() {
		return
	}
	c := &r.endpoints[index]
	c.State = m.state
	c.Load = m.load
	c.Load.At = r.sim.now
	c.Unreported = 0
}

func (r *siteRouter) recordHealth(a *attempt, kind health.Kind, d time.Duration) {
	r.health.Record(r.sim.now, health.Observation{
		Endpoint: r.endpoints[a.endpoint].ID, Kind: kind, Duration: d, Sent: a.sentAt,
	})
}

// probe requests a report from the endpoint with the oldest load value.
func (r *siteRouter) probe() {
	oldest := 0
	for i := range r.endpoints {
		if r.endpoints[i].Load.At.Before(r.endpoints[oldest].Load.At) {
			oldest = i
		}
	}
	e := r.sim.endpoints[oldest]
	delay := r.sim.networkDelay(r.zone, e.zone)
	r.sim.scheduleAfter(delay, func() {
		answer := e.report(r.sim.now)
		r.sim.scheduleAfter(delay, func() { r.applyReport(oldest, answer) })
	})
}

// readEvidence merges the evidence that agents published in the table service.
func (r *siteRouter) readEvidence() {
	r.quarantine.Merge(r.sim.now, r.sim.publishedEvidence())
}

func hedgeGroup(req *request) string {
	return modelName(req.model) + "/" + strconv.Itoa(req.class.Tier)
}
