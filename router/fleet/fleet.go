// Package fleet keeps what the router knows of its endpoints and selects among them.
// It reads the VM list, probes the agents, and passes the entries, probe responses and
// observations of attempts to packages membership, health and selection.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/router/health"
	"github.com/pistachiowind/pistachiowind/router/membership"
	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/storage"
)

// Options configure a Fleet. VMs or Agents is required.
type Options struct {
	Region           string
	AvailabilityZone string
	// VMs reads the platform's VM list; if nil, only Agents are used.
	VMs *storage.VMList
	// Agents are fixed addresses of agents, used in addition to the VM list.
	Agents []string
	// Client sends the probes.
	Client *dispatch.Client
	// RouterAddress is the address at which agents fetch the catalog from this router.
	RouterAddress string
	Catalog       Catalog
	// Observer is notified of probes; nil discards the notifications.
	Observer Observer
	// Seed seeds the random choices.
	Seed uint64
}

// Catalog provides the catalog version that probes carry and records the versions of
// the agents that answer.
type Catalog interface {
	Version() uint64
	VersionSeen(version uint64, peer string)
}

// Observer is notified of probes, for metrics. Its method must not block.
type Observer interface {
	Probed(ok bool)
}

// Fleet tracks the endpoints and selects among them. It is safe for concurrent use.
// Serve polls the VM list and sends probes.
type Fleet struct {
	opts Options

	mu      sync.Mutex
	rng     *rand.Rand
	members *membership.Set
	health  *health.Tracker
	view    view
	// nextListRead is when the VM list is to be read next.
	nextListRead time.Time
	// routers are the live routers of the VM list, nil before the first read.
	routers []storage.VM
	// selections counts the selected endpoints by model.
	selections map[string]uint64
}

// New returns a Fleet that knows only the fixed agents until Serve has read the VM
// list.
func New(opts Options) *Fleet {
	rng := rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	f := &Fleet{
		opts:    opts,
		rng:     rng,
		members: membership.New(membership.Options{Region: opts.Region}, rng),
		health:  health.New(health.Options{}),
	}
	f.members.ApplyList(time.Now(), f.fixedEntries())
	return f
}

func (f *Fleet) fixedEntries() []membership.Entry {
	var entries []membership.Entry
	for _, address := range f.opts.Agents {
		entries = append(entries, membership.Entry{
			Name:             address,
			Role:             string(storage.RoleAgent),
			Address:          address,
			Region:           f.opts.Region,
			AvailabilityZone: f.opts.AvailabilityZone,
		})
	}
	return entries
}

// Select selects the endpoint of an attempt and counts the attempt as open there.
func (f *Fleet) Select(now time.Time, q dispatch.Query) (dispatch.Target, *resultcode.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(now)
	pick, err := selection.Select(now, f.rng, selection.Request{
		Model:            q.Model,
		Service:          q.Service,
		Tier:             q.Tier,
		Prefix:           q.Prefix,
		Region:           f.opts.Region,
		AvailabilityZone: f.opts.AvailabilityZone,
		Excluded:         q.Excluded,
		NonIdempotent:    q.NonIdempotent,
	}, f.view.candidates)
	if err != nil {
		return dispatch.Target{}, resultcode.As(err)
	}
	f.view.candidates[pick.Index].Unreported++
	f.health.Sent(now, pick.Endpoint)
	f.countSelection(q.Model)
	return dispatch.Target{
		Endpoint:    pick.Endpoint,
		Address:     f.view.addresses[pick.Index],
		Incarnation: pick.Incarnation,
		Sent:        now,
	}, nil
}

// Closed records the end of an attempt that Select counted as open. An attempt sent
// before the last load value was received is not in the count any more.
func (f *Fleet) Closed(_ time.Time, t dispatch.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.view.find(t.Endpoint)
	if c != nil && t.Sent.After(c.Load.At) {
		c.Unreported = max(c.Unreported-1, 0)
	}
}

// Load records a load value that came with a frame. The frame was read on a
// connection to the incarnation that the attempt was sent to.
func (f *Fleet) Load(now time.Time, t dispatch.Target, load *rpc.Load) {
	if load == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordReport(now, membership.Report{
		Name:        t.Endpoint,
		Incarnation: t.Incarnation,
		State:       load.GetState(),
		Load:        loadValue(now, load),
	})
}

// recordReport records an agent's report. Its load replaces the count of unreported
// attempts. The report of an incarnation that was replaced is ignored. The caller holds f.mu.
func (f *Fleet) recordReport(now time.Time, r membership.Report) {
	if !f.members.ApplyReport(now, r) {
		return
	}
	if c := f.view.find(r.Name); c != nil {
		c.Load = r.Load
		c.Unreported = 0
	}
}

func loadValue(now time.Time, load *rpc.Load) selection.Load {
	value := selection.Load{
		At:      now,
		Queued:  int(load.GetQueued()),
		Running: int(load.GetRunning()),
		Limit:   int(load.GetLimit()),
	}
	for tier, ms := range load.GetTierDelayMs() {
		if tier < catalog.TierCount {
			value.TierDelay[tier] = time.Duration(ms) * time.Millisecond
		}
	}
	return value
}

// Stated records the model that the engine of an attempt states. The list of models that its agent
// reports may be that of the engine's process before.
func (f *Fleet) Stated(now time.Time, t dispatch.Target, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.members.WasReplaced(t.Endpoint, t.Incarnation) {
		f.members.ApplyStatedModel(now, t.Endpoint, model)
	}
}

// Refused records a refusal; agent is the incarnation of the agent that sent it. The
// dispatcher has already passed the state in the refusal's load to Load.
func (f *Fleet) Refused(now time.Time, t dispatch.Target, code resultcode.Code, agent string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case code == resultcode.WrongIncarnation:
		f.members.ApplyReport(now, membership.Report{
			Name:        t.Endpoint,
			Incarnation: agent,
			State:       rpc.AgentState_AGENT_STATE_STARTING,
		})
	case code/1000 == 2:
		f.recordLocked(now, t, health.Refusal, 0)
	}
}

// FirstToken records the time from the start at the endpoint to its first token.
func (f *Fleet) FirstToken(now time.Time, t dispatch.Target, d time.Duration) {
	f.record(now, t, health.FirstToken, d)
}

// FirstTokenPending records how long an attempt has run so far without a first token.
func (f *Fleet) FirstTokenPending(now time.Time, t dispatch.Target, d time.Duration) {
	f.record(now, t, health.FirstTokenPending, d)
}

// InterToken records the time between two tokens of the endpoint.
func (f *Fleet) InterToken(now time.Time, t dispatch.Target, d time.Duration) {
	f.record(now, t, health.InterToken, d)
}

// Succeeded records a complete answer.
func (f *Fleet) Succeeded(now time.Time, t dispatch.Target) {
	f.record(now, t, health.Success, 0)
}

// Failed records a failed connection, stream or endpoint.
func (f *Fleet) Failed(now time.Time, t dispatch.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.WasReplaced(t.Endpoint, t.Incarnation) {
		return
	}
	f.recordLocked(now, t, health.Failure, 0)
	f.members.RecordFailure(now, t.Endpoint)
}

func (f *Fleet) record(now time.Time, t dispatch.Target, kind health.Kind, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLocked(now, t, kind, d)
}

// recordLocked passes an observation to the health tracker. One of an incarnation that was
// replaced says nothing about the one that replaced it. The caller holds f.mu.
func (f *Fleet) recordLocked(now time.Time, t dispatch.Target, kind health.Kind, d time.Duration) {
	if f.members.WasReplaced(t.Endpoint, t.Incarnation) {
		return
	}
	f.health.Record(now, health.Observation{Endpoint: t.Endpoint, Kind: kind, Duration: d, Sent: t.Sent})
}

// Models returns the sorted names of the models that the endpoints serve.
func (f *Fleet) Models() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(time.Now())
	var names []string
	for i := range f.view.candidates {
		names = append(names, f.view.candidates[i].Models...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Addresses returns the sorted addresses of the agents, for fetching the catalog.
func (f *Fleet) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(time.Now())
	return slices.Sorted(slices.Values(f.view.addresses))
}

// State is the state of an endpoint as an operator sees it.
type State string

// States of endpoints. An ejected endpoint counts as Ejected only.
const (
	Serving  State = "serving"
	Starting State = "starting"
	Leaving  State = "leaving"
	Down     State = "down"
	Unknown  State = "unknown"
	Ejected  State = "ejected"
)

func stateOf(c *selection.Candidate) State {
	if c.Health.Ejected {
		return Ejected
	}
	switch c.State {
	case rpc.AgentState_AGENT_STATE_SERVING:
		return Serving
	case rpc.AgentState_AGENT_STATE_STARTING:
		return Starting
	case rpc.AgentState_AGENT_STATE_LEAVING:
		return Leaving
	case rpc.AgentState_AGENT_STATE_DOWN:
		return Down
	}
	return Unknown
}

// States counts the known endpoints by state. Every state is present.
func (f *Fleet) States() map[State]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(time.Now())
	counts := map[State]int{Serving: 0, Starting: 0, Leaving: 0, Down: 0, Unknown: 0, Ejected: 0}
	for i := range f.view.candidates {
		counts[stateOf(&f.view.candidates[i])]++
	}
	return counts
}

// Ejections returns the number of ejections since the start, by cause.
func (f *Fleet) Ejections() health.Ejections {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.health.Ejections()
}

// Known reports whether enough is known of the endpoints to select among them.
func (f *Fleet) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Known(time.Now())
}

// Serving returns the number of endpoints that report that they accept requests,
// including ejected ones, which States counts as Ejected.
func (f *Fleet) Serving() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(time.Now())
	n := 0
	for i := range f.view.candidates {
		if f.view.candidates[i].State == rpc.AgentState_AGENT_STATE_SERVING {
			n++
		}
	}
	return n
}
