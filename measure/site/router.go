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
	// healthAge and probeInterval are those of package fleet and membership.
	healthAge     = 20 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// evidenceInterval is how often routers read the shared evidence.
	evidenceInterval = 5 * time.Second
)

// siteRouter is what one router knows and decides; it follows packages fleet and
// dispatch.
type siteRouter struct {
	site       *Site
	zone       int
	rng        *rand.Rand
	endpoints  []selection.Candidate
	index      map[string]int
	health     *health.Tracker
	healthAt   time.Time
	budgets    [catalog.TierCount]*budget.Budget
	hedger     *budget.Hedger
	quarantine *quarantine.Tracker
	// open counts this router's attempts by endpoint, turn the round robin.
	open []int
	turn int
}

func newRouter(s *Site, number int) *siteRouter {
	r := &siteRouter{
		site: s, zone: number % zones, rng: rand.New(rand.NewPCG(s.seed, uint64(1000+number))),
		health: health.New(health.Options{}), hedger: budget.NewHedger(budget.HedgeOptions{}),
		quarantine: quarantine.NewTracker(), open: make([]int, len(s.endpoints)),
		index: make(map[string]int), turn: number,
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
		r.index[e.id] = i
		r.health.Join(s.now, e.id, model)
	}
	return r
}

func modelName(model int) string { return "model-" + strconv.Itoa(model) }

// choose returns the endpoint of the next attempt of f.
func (r *siteRouter) choose(f *flight) (int, *resultcode.Error) {
	if r.site.policy.place != nil {
		return r.site.policy.place(r, f), nil
	}
	now := r.site.now
	if now.Sub(r.healthAt) > healthAge {
		r.healthAt = now
		r.health.Each(now, func(id string, weight float64, ejected bool) {
			r.endpoints[r.index[id]].Health = selection.Health{Weight: weight, Ejected: ejected}
		})
	}
	q := selection.Request{
		Model: modelName(f.model), Known: true, Tier: f.class.Tier, Region: region,
		AvailabilityZone: strconv.Itoa(r.zone), Excluded: f.tried, NonIdempotent: f.class.Once,
	}
	pick, err := selection.Select(now, r.rng, q, r.endpoints)
	if err != nil && len(f.tried) > 0 && !f.redirect {
		f.tried, q.Excluded = nil, nil
		pick, err = selection.Select(now, r.rng, q, r.endpoints)
	}
	if err != nil {
		return 0, resultcode.As(err)
	}
	r.health.Sent(now, pick.Endpoint)
	return pick.Index, nil
}

// heard takes an agent's report about itself.
func (r *siteRouter) heard(index int, m report) {
	if m.at.IsZero() {
		return
	}
	c := &r.endpoints[index]
	c.State = m.state
	c.Load = m.load
	c.Load.At = r.site.now
	c.Unreported = 0
}

func (r *siteRouter) observe(a *attempt, kind health.Kind, d time.Duration) {
	r.health.Record(r.site.now, health.Observation{
		Endpoint: r.endpoints[a.endpoint].ID, Kind: kind, Duration: d, Sent: a.sentAt,
	})
}

// probe asks the endpoint with the oldest load value.
func (r *siteRouter) probe() {
	oldest := 0
	for i := range r.endpoints {
		if r.endpoints[i].Load.At.Before(r.endpoints[oldest].Load.At) {
			oldest = i
		}
	}
	e := r.site.endpoints[oldest]
	delay := r.site.delay(r.zone, e.zone)
	r.site.after(delay, func() {
		answer := e.report(r.site.now)
		r.site.after(delay, func() { r.heard(oldest, answer) })
	})
}

// readEvidence takes what agents published in the table service.
func (r *siteRouter) readEvidence() {
	r.quarantine.Merge(r.site.now, r.site.evidence())
}

func group(f *flight) string { return modelName(f.model) + "/" + strconv.Itoa(f.class.Tier) }
