package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/proof"
	"github.com/pistachiowind/pistachiowind/gateway/ratelimit"
	"github.com/pistachiowind/pistachiowind/gateway/reach"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
	"github.com/pistachiowind/pistachiowind/gateway/versions"
	"github.com/pistachiowind/pistachiowind/router/budget"
	"github.com/pistachiowind/pistachiowind/router/health"
)

const (
	// earlyStatementTokens is the number of prompt tokens sent to endpoints since the
	// last statement to peers from which the next one is sent early: half a prefill
	// chunk. With a whole chunk, peers place requests by a more outdated load.
	earlyStatementTokens = 1024
	// healthRefreshInterval is how often the health of the endpoints is updated and
	// streaming requests still without a first event are reported to the health tracker.
	healthRefreshInterval = 200 * time.Millisecond
	// condemnedRetryAfter is the Retry-After of a request that is refused because it
	// crashed endpoints.
	condemnedRetryAfter = 30 * time.Second
)

// dispatcher decides, for one request at a time, on admission, endpoint and retries.
// It holds the state of endpoints and peers that these decisions need, guarded by mu.
// It implements relay.Placer.
type dispatcher struct {
	mu       sync.Mutex
	fleet    *placement.Fleet
	gate     *admission.Gate
	health   *health.Tracker
	registry *registry.Registry
	budgets  map[string]*budget.Budget
	inFlight map[*placedAttempt]struct{}
	table    *routing.Table
	// earlierTables are the configurations that were replaced lately, oldest first.
	earlierTables []earlierTable
	crashes       *crashes.Table
	reach         *reach.Table
	pauses        *reach.Pauses
	limits        *ratelimit.Table
	returns       returnTimes
	versions      *versions.Table
	// proofs tells which processes of endpoints that do not state them in time are proven, and
	// held holds the connections that prove them.
	proofs *proof.Table
	held   map[string]*upstream.Held
	// watched are the endpoints of the first listing until the configuration is known.
	watched []proof.Entry
	// usage counts requests for a duty; nil without it.
	usage *usageState
	// resumable holds the services with streams that may be resumed, and the longest timeout
	// of their routes.
	resumable map[string]time.Duration
	// proposed are changes of designated versions that are compared with the store first, by
	// service.
	proposed map[string]proposal
	// keepsRows is set if a keeper compares them with the store, and wakeKeeper wakes it.
	keepsRows  bool
	wakeKeeper chan struct{}
	// mixed is set while endpoints of several versions serve one of these services.
	mixed bool
	// storeVersionsAt is when a change of designated versions is to be written; zero if none
	// is.
	storeVersionsAt time.Time
	// contact is when this gateway last heard what its peers know of the site.
	contact contact
	// heardPeers holds the last statement of each peer, by address.
	heardPeers *simplelru.LRU[string, heardPeer]
	// aliasesStoredAt is when the row with the attempts that took a stream up here was last
	// written.
	aliasesStoredAt time.Time
	// alivePeers are the addresses of the peers with a recent statement. isolated is set while
	// this gateway has lost most of its peers.
	alivePeers []string
	isolated   bool
	// recentlyLeaving are the endpoints that recently announced in a response to this
	// gateway that they are leaving, oldest first.
	recentlyLeaving []leavingEndpoint
	rng             *rand.Rand
	settings        Settings
	// maxGatewaysSeen is the largest number of gateways, this one included, that were
	// alive at the same time.
	maxGatewaysSeen int
	// endpointsListed is set once the endpoints have been listed.
	endpointsListed bool
	// onEndpointChanges is called with the changes that an endpoint's response causes,
	// onPause when an endpoint asks for a pause, and onLimit when it changes the rate of
	// requests that it accepts, as it or a peer states.
	onEndpointChanges func([]registry.Change)
	onPause           func(endpoint string, d time.Duration)
	onLimit           func(endpoint string, r ratelimit.Report, byPeer bool)
	// onSuspects is called with the changes of suspects of crashing endpoints.
	onSuspects func([]crashes.Change)
	// onVersion is called with each change of the designated version of a service.
	onVersion func(versions.Change)
	// onLaterNamed is called with the first caller that names an attempt which did not begin its
	// stream.
	onLaterNamed func(attempt, resumes string)
	// onTrial is called with a request that is sent although its verdict condemns it.
	onTrial func(request string, v crashes.Verdict)
	// onStandstill is called when the process has stood still for a while.
	onStandstill func(time.Duration)
	// onProcess is called with what each endpoint that was asked for its process states.
	onProcess func(upstream.ProcessState)
	// onProof is called when the process of an endpoint becomes proven or unproven.
	onProof func(proof.Change)
	// onSpill is called when a service begins or ends to send requests to other zones.
	onSpill func(placement.SpillChange)
}

func newDispatcher(s Settings, rng *rand.Rand) *dispatcher {
	fleet := placement.NewFleet(s.AvailabilityZone)
	fleet.SetRule(s.PlacementRule, rng)
	gate := admission.NewGate(rng)
	gate.SetRule(s.AdmissionRule)
	gate.SetAccountShares(*s.features().AccountShares)
	reachable := reach.New(rng)
	pauses := reach.NewPauses()
	fleet.SetLeftOut(func(now time.Time, endpoint uint64) bool {
		return reachable.LeftOut(now, endpoint) || pauses.Hinted(now, endpoint)
	})
	fleet.SetPaused(pauses.Paused)
	limits := ratelimit.New(time.Now(), s.Listen.Peers)
	fleet.SetLimits(limits)
	// NewLRU fails only if the size is not positive.
	heardPeers, _ := simplelru.NewLRU[string, heardPeer](maxHeardPeers, nil)
	d := &dispatcher{
		fleet:             fleet,
		health:            health.New(health.Options{Window: 5 * time.Second, OpenTime: 2 * time.Second, MaxOpenTime: 8 * time.Second, RampTime: 3 * time.Second}),
		gate:              gate,
		registry:          registry.New(),
		budgets:           make(map[string]*budget.Budget),
		inFlight:          make(map[*placedAttempt]struct{}),
		crashes:           crashes.New(),
		reach:             reachable,
		pauses:            pauses,
		limits:            limits,
		returns:           make(returnTimes),
		versions:          versions.New(),
		proofs:            proof.New(s.heartbeatInterval()),
		held:              make(map[string]*upstream.Held),
		contact:           contact{hasPeers: len(otherPeers(s)) > 0},
		heardPeers:        heardPeers,
		usage:             newUsageState(s.Duties, time.Now()),
		wakeKeeper:        make(chan struct{}, 1),
		proposed:          make(map[string]proposal),
		rng:               rng,
		settings:          s,
		onEndpointChanges: func([]registry.Change) {},
		onPause:           func(string, time.Duration) {},
		onLimit:           func(string, ratelimit.Report, bool) {},
		onSuspects:        func([]crashes.Change) {},
		onVersion:         func(versions.Change) {},
		onLaterNamed:      func(string, string) {},
		onTrial:           func(string, crashes.Verdict) {},
		onStandstill:      func(time.Duration) {},
		onProcess:         func(upstream.ProcessState) {},
		onProof:           func(proof.Change) {},
		onSpill:           func(placement.SpillChange) {},
	}
	d.setZoneSpill(s, rng)
	return d
}

// Admit implements relay.Placer.
func (d *dispatcher) Admit(w *placement.Work, r relay.AdmissionRequest) (relay.PlacedAttempt, *relay.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.observeRunning(now)
	suspects := suspectsOf(w, r.Fingerprint)
	verdict := d.checkSuspects(now, suspects)
	switch {
	case verdict.Refused:
		return nil, refuseCondemned(verdict)
	case verdict.Pause > 0:
		return nil, &relay.Refusal{Reason: relay.CrashSuspect, RetryAfter: verdict.Pause, Pause: verdict.Pause}
	}
	if refusal := d.restrictVersion(now, w, r); refusal != nil {
		return nil, refusal
	}
	d.restrictProcess(now, w, r)
	request := admission.Request{
		Service:   w.Service,
		Route:     r.Route,
		Account:   r.Account,
		Streaming: w.Streaming,
		Priority:  r.Priority,
		Prompt:    w.PromptTokens,
		Target:    w.Target,
		TimeLeft:  r.TimeLeft,
		IsRetry:   r.IsRetry,
	}
	choice, found := d.choose(now, w, request)
	if !found {
		return nil, d.refuseUnplaced(now, w, r)
	}
	decision := d.gate.Decide(now, request, choice)
	if !decision.Admitted {
		return nil, &relay.Refusal{
			Reason: decision.Reason, RetryAfter: decision.RetryAfter, Choice: &choice, RefusedShare: decision.Share,
			AccountShare: decision.Account,
		}
	}
	a := &placedAttempt{
		dispatcher: d, suspects: suspects, target: w.Target, choice: choice,
		flight: d.fleet.Send(now, w, choice), sentAt: now, streaming: w.Streaming,
	}
	d.openUsage(a, now, r.Account)
	if verdict.Trial {
		d.crashes.BeginTrial(now, verdict.Suspect)
		a.trialOf = &verdict.Suspect
		d.onTrial(r.ID, verdict)
	}
	// Every endpoint of the fleet has an entry in the registry.
	a.incarnation, _ = d.registry.Incarnation(choice.Endpoint.ID)
	a.refusals = d.reach.Refusals(placement.Hash(choice.Endpoint.ID))
	d.limits.Take(now, placement.Hash(choice.Endpoint.ID))
	d.health.Sent(now, choice.Endpoint.ID)
	d.inFlight[a] = struct{}{}
	return a, nil
}

// needsEarlyStatement reports whether the peers should know before the next regular
// statement how much work was sent to endpoints since the last one, that the limit of an
// endpoint or the version of new streams has changed, or that an endpoint has crashed or a
// stream broken off, or that usage counts wait for it.
func (d *dispatcher) needsEarlyStatement() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.UnstatedPromptTokens() >= earlyStatementTokens || d.limits.HasUnstated() || d.crashes.HasUnstated() ||
		d.versions.HasUnstated() || d.hasUnstatedUsage(time.Now())
}

// expirePeerLoads drops the loads and demands of peers without a statement for maxAge.
func (d *dispatcher) expirePeerLoads(now time.Time, maxAge time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.ExpirePeerLoads(now, maxAge)
	d.gate.ExpireDemands(now, maxAge)
}

// reload applies new settings. Retry budgets start anew only if their limits changed.
func (d *dispatcher) reload(s Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.RetryRatio != d.settings.RetryRatio || s.RetryAllowance != d.settings.RetryAllowance {
		clear(d.budgets)
	}
	d.settings = s
	d.fleet.SetRule(s.PlacementRule, d.rng)
	d.gate.SetRule(s.AdmissionRule)
	d.gate.SetAccountShares(*s.features().AccountShares)
}

// refresh updates the health of the endpoints and drops lapsed registry entries whose
// grace has ended. It returns the changes of the registry.
func (d *dispatcher) refresh() []registry.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.observeRunning(now)
	for a := range d.inFlight {
		if a.started || !a.streaming {
			continue
		}
		a.observe(now, health.FirstTokenPending, a.relativeTime(now))
	}
	d.health.Each(now, d.fleet.SetHealth)
	d.fleet.RefreshZones(now)
	changes := d.registry.Expire(now)
	d.applyChanges(now, changes)
	d.askUnlisted(now)
	if d.mixed || len(d.proposed) > 0 {
		d.observeVersions(now)
	}
	return changes
}

// reachChange is a reach.Change with the endpoint's id.
type reachChange struct {
	reach.Change
	id string
}

// reachChanges returns the endpoints that since the last call were left out as
// unreachable, or are used again.
func (d *dispatcher) reachChanges() []reachChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []reachChange
	for _, c := range d.reach.Changes(time.Now()) {
		changes = append(changes, reachChange{c, d.fleet.Name(c.Endpoint)})
	}
	return changes
}

// pausedEndpoints returns the number of endpoints that are full and asked for a pause
// that has not ended.
func (d *dispatcher) pausedEndpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pauses.Len(time.Now())
}

// limitedEndpoints returns the number of endpoints that name a limit.
func (d *dispatcher) limitedEndpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Len()
}

// prefillSpeeds calls report with the estimated prefill speed of each service's
// engines.
func (d *dispatcher) prefillSpeeds(report func(service string, s placement.Speed)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Speeds(report)
}

// applyChanges applies changes of the registry to the fleet and to the state kept per
// endpoint. The mutex is held.
func (d *dispatcher) applyChanges(now time.Time, changes []registry.Change) {
	for _, c := range changes {
		switch c.State {
		case registry.StateGone:
			d.removeEndpoint(now, c.Entry)
		case registry.StateDraining:
			d.putEndpoint(now, c.Entry)
			d.drainEndpoint(c.Entry)
		case registry.StateRestarted:
			d.restartEndpoint(now, c.Entry)
			d.drainEndpoint(c.Entry)
		case registry.StateReady:
			d.putEndpoint(now, c.Entry)
		}
	}
	if len(changes) > 0 {
		d.observeVersions(now)
	}
}

// drainEndpoint stops assigning work to an endpoint that is draining or leaving.
func (d *dispatcher) drainEndpoint(e registry.Entry) {
	switch {
	case e.Leaving:
		d.fleet.Leave(e.ID)
	case e.Draining:
		d.fleet.Drain(e.ID)
	}
}

func (d *dispatcher) removeEndpoint(now time.Time, e registry.Entry) {
	endpoint := placement.Hash(e.ID)
	d.pauses.Leave(endpoint)
	d.limits.Leave(endpoint, processHash(e.Incarnation()))
	d.fleet.Remove(e.ID)
	d.health.Leave(now, e.ID)
	d.reach.Leave(endpoint)
}

func (d *dispatcher) putEndpoint(now time.Time, e registry.Entry) {
	description := placement.Endpoint{ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, Version: e.Version, VersionOutdated: e.Unlisted, Born: e.Born, Slots: e.Slots}
	if d.table != nil {
		if s := d.table.Service(e.Service); s != nil && s.Engine != nil {
			description.MemoryTokens = s.Engine.MemoryTokens
			description.TokensPerEvent = s.Engine.TokensPerEvent
			description.FetchRate = fetchRate(s.Engine)
		}
	}
	d.fleet.Put(description)
	d.fleet.SetUnproven(e.ID, d.proofs.Unproven(e.ID))
	d.limits.Join(placement.Hash(e.ID), processHash(e.Incarnation()))
	d.health.Join(now, e.ID, e.Service)
	d.reach.Join(placement.Hash(e.ID))
}

// fetchRate is the speed of a transfer between engines in tokens per millisecond; 0 if
// the size of a token is not configured.
func fetchRate(e *routing.Engine) float64 {
	if e.TokenBytes <= 0 {
		return 0
	}
	const bytesPerMSPerMbps = 125
	return e.LinkMbps * bytesPerMSPerMbps / float64(e.TokenBytes)
}

// adopt applies a configuration: it updates the capacities of all endpoints.
func (d *dispatcher) adopt(t *routing.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replaceTable(time.Now(), t)
	for name, pause := range t.StrictestPauses() {
		d.fleet.SetStrictestPause(name, pause)
	}
	d.setResumable(t.ResumableTimeouts())
	now := time.Now()
	d.registry.Entries(func(e registry.Entry) {
		d.putEndpoint(now, e)
		d.drainEndpoint(e)
	})
	d.observeVersions(now)
	d.watchListed(now)
}

// updateRegistry calls change with the registry, applies the changes that it returns
// and returns them.
func (d *dispatcher) updateRegistry(change func(now time.Time, r *registry.Registry) []registry.Change) []registry.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	changes := change(now, d.registry)
	d.applyChanges(now, changes)
	d.applyProofs()
	return changes
}
