// Package fleet is what the router knows of its endpoints. It feeds the VM list,
// probe answers and observations of requests to the decisions of package
// selection, and it sends the probes.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/platform"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/router/health"
	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// MaxMembers bounds the endpoints that a router knows.
const MaxMembers = selection.MaxCandidates

// healthAge is how old the health of the candidates may be at a selection.
const healthAge = 20 * time.Millisecond

// Options configure a Fleet. VMs or Agents is required.
type Options struct {
	Region           string
	AvailabilityZone string
	// VMs is the platform's VM list; nil means that only Agents are used.
	VMs *platform.VMList
	// Agents are fixed peer addresses, used besides the VM list.
	Agents []string
	// Client reaches the agents.
	Client *dispatch.Client
	// RouterAddress is where agents fetch the catalog from this router.
	RouterAddress string
	Catalog       Catalog
	Seed          uint64
}

// Catalog is the part of the catalog that probes carry.
type Catalog interface {
	Version() uint64
	Seen(version uint64, peer string)
}

// member is one agent and its endpoint.
type member struct {
	name    string
	address string
	index   int
	open    int
	listed  time.Time
	probed  time.Time
	probing bool
}

// Fleet knows the endpoints. It is safe for concurrent use; Serve polls the VM
// list and sends probes.
type Fleet struct {
	opts Options

	mu         sync.Mutex
	rng        *rand.Rand
	members    map[string]*member
	byIndex    []*member
	candidates []selection.Candidate
	listRead   time.Time
	health     *health.Tracker
	healthAt   time.Time
}

// New returns a Fleet that knows the fixed agents only.
func New(opts Options) *Fleet {
	f := &Fleet{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		members: make(map[string]*member),
		health:  health.New(health.Options{}),
	}
	now := time.Now()
	for _, address := range opts.Agents {
		f.add(now, platform.VM{Name: address, Address: address})
	}
	return f
}

func (f *Fleet) add(now time.Time, vm platform.VM) {
	if m, ok := f.members[vm.Address]; ok {
		m.listed = now
		return
	}
	if len(f.members) >= MaxMembers {
		return
	}
	m := &member{name: vm.Name, address: vm.Address, index: len(f.candidates), listed: now}
	f.members[vm.Address] = m
	f.byIndex = append(f.byIndex, m)
	f.candidates = append(f.candidates, selection.Candidate{
		ID:               vm.Address,
		Region:           vm.Region,
		AvailabilityZone: vm.AvailabilityZone,
		Health:           selection.Health{Weight: 1},
	})
}

// Select chooses the endpoint of an attempt and counts the attempt as open.
func (f *Fleet) Select(now time.Time, q dispatch.Query) (dispatch.Target, *resultcode.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshHealth(now)
	pick, err := selection.Select(now, f.rng, selection.Request{
		Model:            q.Model,
		Service:          q.Service,
		Tier:             q.Tier,
		Prefix:           q.Prefix,
		Region:           f.opts.Region,
		AvailabilityZone: f.opts.AvailabilityZone,
		Excluded:         q.Excluded,
		NonIdempotent:    q.NonIdempotent,
	}, f.candidates)
	if err != nil {
		return dispatch.Target{}, resultcode.As(err)
	}
	m := f.byIndex[pick.Index]
	m.open++
	f.candidates[pick.Index].Unreported++
	f.health.Sent(now, m.address)
	return dispatch.Target{Endpoint: m.name, Address: m.address, Incarnation: pick.Incarnation, Sent: now}, nil
}

// refreshHealth copies the judgement of the endpoints to the candidates. The copy
// takes time for each endpoint, so it is made at most once in healthAge.
func (f *Fleet) refreshHealth(now time.Time) {
	if now.Sub(f.healthAt) < healthAge {
		return
	}
	f.healthAt = now
	f.health.Each(now, func(id string, weight float64, ejected bool) {
		if m, ok := f.members[id]; ok {
			f.candidates[m.index].Health = selection.Health{Weight: weight, Ejected: ejected}
		}
	})
}

// Closed ends the attempt that Select counted.
func (f *Fleet) Closed(_ time.Time, t dispatch.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[t.Address]
	if !ok {
		return
	}
	m.open--
	c := &f.candidates[m.index]
	c.Unreported = max(c.Unreported-1, 0)
}

// Load records a load value that came with a frame.
func (f *Fleet) Load(now time.Time, t dispatch.Target, load *rpc.Load) {
	if load == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[t.Address]; ok {
		f.setLoad(now, m, load)
	}
}

func (f *Fleet) setLoad(now time.Time, m *member, load *rpc.Load) {
	c := &f.candidates[m.index]
	c.State = load.GetState()
	c.Unreported = 0
	c.Load = selection.Load{
		At:      now,
		Queued:  int(load.GetQueued()),
		Running: int(load.GetRunning()),
		Limit:   int(load.GetLimit()),
	}
	for tier, ms := range load.GetTierDelayMs() {
		if tier < catalog.TierCount {
			c.Load.TierDelay[tier] = time.Duration(ms) * time.Millisecond
		}
	}
}

// Refused records a refusal; agent is the incarnation that sent it.
func (f *Fleet) Refused(now time.Time, t dispatch.Target, code resultcode.Code, agent string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[t.Address]
	if !ok {
		return
	}
	c := &f.candidates[m.index]
	switch code {
	case resultcode.Leaving:
		c.State = rpc.AgentState_AGENT_STATE_LEAVING
	case resultcode.EndpointDown:
		c.State = rpc.AgentState_AGENT_STATE_DOWN
	case resultcode.WrongIncarnation:
		c.Incarnation = agent
		m.probed = time.Time{}
	}
}

// FirstToken records a latency of the endpoint itself.
func (f *Fleet) FirstToken(now time.Time, t dispatch.Target, d time.Duration) {
	f.record(now, t, health.FirstToken, d)
}

// FirstTokenPending records a time without a first token so far.
func (f *Fleet) FirstTokenPending(now time.Time, t dispatch.Target, d time.Duration) {
	f.record(now, t, health.FirstTokenPending, d)
}

// InterToken records a latency of the endpoint itself.
func (f *Fleet) InterToken(now time.Time, t dispatch.Target, d time.Duration) {
	f.record(now, t, health.InterToken, d)
}

func (f *Fleet) record(now time.Time, t dispatch.Target, kind health.Kind, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.Record(now, health.Observation{Endpoint: t.Address, Kind: kind, Duration: d, Sent: t.Sent})
}

// Failed records a failed connection, stream or endpoint. The endpoint receives
// nothing until a probe is answered again.
func (f *Fleet) Failed(now time.Time, t dispatch.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.Record(now, health.Observation{Endpoint: t.Address, Kind: health.Failure, Sent: t.Sent})
	if m, ok := f.members[t.Address]; ok {
		f.candidates[m.index].State = rpc.AgentState_AGENT_STATE_DOWN
		m.probed = time.Time{}
	}
}

// Succeeded records a whole answer.
func (f *Fleet) Succeeded(now time.Time, t dispatch.Target) {
	f.record(now, t, health.Success, 0)
}

// Models lists what serving endpoints offer, sorted.
func (f *Fleet) Models() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{}
	for i := range f.candidates {
		for _, m := range f.candidates[i].Models {
			seen[m] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Addresses lists the agents' addresses, for fetching the catalog.
func (f *Fleet) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]string, 0, len(f.members))
	for address := range f.members {
		list = append(list, address)
	}
	slices.Sort(list)
	return list
}

// Serving returns the number of endpoints that accept work.
func (f *Fleet) Serving() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for i := range f.candidates {
		if f.candidates[i].State == rpc.AgentState_AGENT_STATE_SERVING {
			n++
		}
	}
	return n
}
