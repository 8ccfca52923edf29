package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/reach"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/router/budget"
	"github.com/pistachiowind/pistachiowind/router/health"
)

const (
	// newsTokens is the number of prompt tokens sent since the last statement from
	// which the next one is early: half a chunk of prefill. Trials with a whole one
	// earned 0.003 and 0.019 less on the grown sites.
	newsTokens = 1024
	// healthRefresh is how often the judgement of the endpoints is renewed, and
	// how often requests without a first event are reported to it.
	healthRefresh = 200 * time.Millisecond
	// fewGateways is the number of gateways assumed for the split of the retry
	// allowance while their number is not known.
	fewGateways = 8
	// allowanceShare is the part of the retry allowance that is handed out; the
	// rest covers gateways that start while others still run.
	allowanceShare = 0.7
	// condemnedRetryAfter is the advice for a request that crashes endpoints.
	condemnedRetryAfter = 30 * time.Second
	// ratioShare is the part of the retry ratio that is used.
	ratioShare = 0.9
)

// dispatcher serialises the decisions about requests. It implements
// relay.Placer.
type dispatcher struct {
	mu       sync.Mutex
	fleet    *placement.Fleet
	gate     *admission.Gate
	health   *health.Tracker
	registry *registry.Registry
	budgets  map[string]*budget.Budget
	flights  map[*ticket]struct{}
	table    *routing.Table
	crashes  *crashes.Table
	reach    *reach.Table
	pauses   *reach.Pauses
	// leaving are the endpoints that lately said that they leave, oldest first.
	leaving  []departed
	rng      *rand.Rand
	settings Settings
	// gateways is the largest number of gateways that were heard at a time.
	gateways int
	// listed states that the endpoints were read once.
	listed bool
	// changed takes the changes that answers of endpoints cause, and paused the pauses
	// that they begin.
	changed func([]registry.Change)
	paused  func(endpoint string, d time.Duration)
}

func newDispatcher(s Settings, rng *rand.Rand) *dispatcher {
	fleet := placement.NewFleet(s.AvailabilityZone)
	fleet.SetRule(s.PlacementRule, rng)
	gate := admission.NewGate(rng)
	gate.SetRule(s.AdmissionRule)
	reachable := reach.New(rng)
	pauses := reach.NewPauses()
	fleet.SetLeftOut(func(now time.Time, endpoint uint64) bool {
		return reachable.LeftOut(now, endpoint) || pauses.Hinted(now, endpoint)
	})
	fleet.SetClosed(pauses.Closed)
	return &dispatcher{
		fleet:    fleet,
		health:   health.New(health.Options{Window: 5 * time.Second, OpenTime: 2 * time.Second, MaxOpenTime: 8 * time.Second, RampTime: 3 * time.Second}),
		gate:     gate,
		registry: registry.New(),
		budgets:  make(map[string]*budget.Budget),
		flights:  make(map[*ticket]struct{}),
		crashes:  crashes.New(),
		reach:    reachable,
		pauses:   pauses,
		rng:      rng,
		settings: s,
		changed:  func([]registry.Change) {},
		paused:   func(string, time.Duration) {},
	}
}

// Admit implements relay.Placer.
func (d *dispatcher) Admit(w *placement.Work, q relay.Quest) (relay.Ticket, *relay.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.crashes.Condemned(now, q.Request) {
		return nil, &relay.Refusal{Reason: "condemned", RetryAfter: condemnedRetryAfter}
	}
	choice, found := d.fleet.Choose(now, w)
	if !found {
		return nil, &relay.Refusal{Reason: "no_endpoint", RetryAfter: d.returnTime(now, w.Service, q.Priority)}
	}
	verdict := d.gate.Decide(now, admission.Request{
		Service:   w.Service,
		Route:     q.Route,
		Streaming: w.Streaming,
		Priority:  q.Priority,
		Prompt:    w.PromptTokens,
		Target:    w.Target,
		TimeLeft:  q.TimeLeft,
		Further:   q.Further,
	}, choice)
	if !verdict.Admitted {
		return nil, &relay.Refusal{Reason: verdict.Reason, RetryAfter: verdict.RetryAfter, Choice: &choice, Share: verdict.Share}
	}
	t := &ticket{dispatcher: d, request: q.Request, target: w.Target, choice: choice, flight: d.fleet.Send(now, w, choice), sentAt: now, streaming: w.Streaming}
	// The fleet holds the entries of the registry only.
	t.incarnation, _ = d.registry.Incarnation(choice.Endpoint.ID)
	d.health.Sent(now, choice.Endpoint.ID)
	d.flights[t] = struct{}{}
	return t, nil
}

// FirstAttempt implements relay.Placer.
func (d *dispatcher) FirstAttempt(service, account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).First(account)
}

// AllowRetry implements relay.Placer.
func (d *dispatcher) AllowRetry(service, account string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Spend(account, budget.Retry)
}

func (d *dispatcher) budget(service string) *budget.Budget {
	b := d.budgets[service]
	if b == nil {
		account, total := d.bursts()
		b = budget.New(budget.Options{
			Fraction:     d.settings.RetryRatio * ratioShare,
			AccountBurst: account,
			TotalBurst:   total,
			RedirectCost: 1,
		})
		d.budgets[service] = b
	}
	return b
}

// bursts returns this gateway's part of the retry allowance, for one account and
// in total. An account gets half, so that one that fails leaves the others some.
func (d *dispatcher) bursts() (account, total int) {
	part := d.settings.RetryAllowance * allowanceShare / float64(max(d.gateways, fewGateways))
	total = max(int(part), 1)
	return max(total/2, 1), total
}

// setGateways notes how many gateways share the retry allowance. The number only
// rises: those that are not heard may be cut off and go on spending.
func (d *dispatcher) setGateways(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n <= max(d.gateways, fewGateways) {
		return
	}
	d.gateways = n
	for _, b := range d.budgets {
		b.Resize(d.bursts())
	}
}

// news reports whether the work at the endpoints has changed so much since the
// last statement that the peers should know.
func (d *dispatcher) news() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.Unstated() >= newsTokens
}

func (d *dispatcher) expirePeerLoads(now time.Time, maxAge time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.ExpirePeerLoads(now, maxAge)
}

// reload takes the retry limits of new settings if they differ.
func (d *dispatcher) reload(s Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.RetryRatio != d.settings.RetryRatio || s.RetryAllowance != d.settings.RetryAllowance {
		clear(d.budgets)
	}
	d.settings = s
	d.fleet.SetRule(s.PlacementRule, d.rng)
	d.gate.SetRule(s.AdmissionRule)
}

// refresh renews the judgement of the endpoints.
func (d *dispatcher) refresh() []registry.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for t := range d.flights {
		if t.started || !t.streaming {
			continue
		}
		d.health.Record(now, health.Observation{
			Endpoint: t.choice.Endpoint.ID, Kind: health.FirstTokenPending, Duration: t.relative(now), Sent: t.sentAt,
		})
	}
	d.health.Each(now, d.fleet.SetHealth)
	changes := d.registry.Expire(now)
	d.apply(now, changes)
	return changes
}

// leftOut is a change of what gets no requests for a while.
type leftOut struct {
	reach.Change
	id string
}

// reachChanges returns the endpoints that are left out, or used again, since the
// last call.
func (d *dispatcher) reachChanges() []leftOut {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []leftOut
	for _, c := range d.reach.Changes(time.Now()) {
		changes = append(changes, leftOut{c, d.fleet.Name(c.Endpoint)})
	}
	return changes
}

// pausedEndpoints returns the number of endpoints that want no requests for a while.
func (d *dispatcher) pausedEndpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pauses.Len(time.Now())
}

// speeds calls report with the prefill speed of each service's engines.
func (d *dispatcher) speeds(report func(service string, s placement.Speed)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Speeds(report)
}

// apply brings changes of the registry to the fleet.
func (d *dispatcher) apply(now time.Time, changes []registry.Change) {
	for _, c := range changes {
		switch c.State {
		case registry.StateGone:
			d.remove(now, c.Entry.ID)
		case registry.StateDraining:
			d.put(now, c.Entry)
			d.drain(c.Entry)
		case registry.StateRestarted:
			d.remove(now, c.Entry.ID)
			d.put(now, c.Entry)
			d.drain(c.Entry)
		case registry.StateReady:
			d.put(now, c.Entry)
		}
	}
}

// drain gives a draining endpoint no more work.
func (d *dispatcher) drain(e registry.Entry) {
	switch {
	case e.Leaving:
		d.fleet.Leave(e.ID)
	case e.Draining:
		d.fleet.Drain(e.ID)
	}
}

func (d *dispatcher) remove(now time.Time, id string) {
	d.pauses.Leave(placement.Hash(id))
	d.fleet.Remove(id)
	d.health.Leave(now, id)
	d.reach.Leave(placement.Hash(id))
}

func (d *dispatcher) put(now time.Time, e registry.Entry) {
	description := placement.Endpoint{ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, Slots: e.Slots}
	if d.table != nil {
		if s := d.table.Service(e.Service); s != nil && s.Engine != nil {
			description.MemoryTokens = s.Engine.MemoryTokens
			description.TokensPerEvent = s.Engine.TokensPerEvent
			description.FetchRate = fetchRate(s.Engine)
		}
	}
	d.fleet.Put(description)
	d.health.Join(now, e.ID, e.Service)
	d.reach.Join(placement.Hash(e.ID))
}

// fetchRate is the speed of a transfer between engines in tokens per millisecond.
func fetchRate(e *routing.Engine) float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	const bytesPerMSPerMbps = 125
	return e.LinkMbps * bytesPerMSPerMbps / float64(e.TokenBytes)
}

// adopt takes a configuration and describes the endpoints anew by it.
func (d *dispatcher) adopt(t *routing.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = t
	for name, pause := range t.StrictestPauses() {
		d.fleet.SetStrictestPause(name, pause)
	}
	now := time.Now()
	d.registry.Entries(func(e registry.Entry) {
		d.put(now, e)
		d.drain(e)
	})
}

// update changes the registry and applies what changed.
func (d *dispatcher) update(change func(now time.Time, r *registry.Registry) []registry.Change) []registry.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	changes := change(now, d.registry)
	d.apply(now, changes)
	return changes
}

func (d *dispatcher) pickService(r *routing.Route) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.Pick(d.rng)
}
