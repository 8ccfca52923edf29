// Package membership decides which endpoints exist and accept work. It merges
// the VM list, which lags, the reports of the agents about themselves, and the
// failures to reach an agent. The list adds and removes members; an agent's own
// report decides whether it accepts work; silence alone never empties the set.
package membership

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Options adjust a Set. Zero values take the defaults.
type Options struct {
	// Role is the role of the VM list entries that become members; "agent" by
	// default.
	Role string
	// Region is the region of the router. The load values of endpoints in other
	// regions are refreshed less often.
	Region string
	// MaxMembers limits the number of members; 1,024 by default. When the set is
	// full, a new member replaces the one that was silent for the longest time
	// among those that are missing from the list. Without such a member the new
	// one is ignored.
	MaxMembers int
	// DropAfter is the silence after which a member that is missing from the list
	// is dropped; 30 s by default.
	DropAfter time.Duration
	// DropZoneAfter is the same for a member whose whole availability zone is
	// missing from the list, because a network partition is then more likely than
	// a removal; 2 h by default.
	DropZoneAfter time.Duration
	// LeavingHold is how long the state Leaving of the list counts after the last
	// read that stated it, because copies of the list may disagree, and how long it
	// is not applied to an incarnation that replaced a leaving one; 30 s by
	// default.
	LeavingHold time.Duration
	// SuspectAfter is the silence after which two failures in a row make a member
	// suspect; 2 s by default.
	SuspectAfter time.Duration
	// RampTime is the time to full weight of a member that begins to serve or
	// serves again; 10 s by default. RampJitter is the longest random delay before
	// it, 2 s by default, so that the routers do not all return to the member at
	// the same time.
	RampTime   time.Duration
	RampJitter time.Duration
	// ProbeRate is the number of probes per second; 5 by default.
	ProbeRate float64
	// StartupProbeRate replaces ProbeRate for StartupTime after the first list, so
	// that a router that starts knows 600 endpoints within seconds; 50 per second
	// for 15 s by default.
	StartupProbeRate float64
	StartupTime      time.Duration
	// ProbeTimeout is the time after which an unanswered probe may be repeated;
	// 1 s by default.
	ProbeTimeout time.Duration
	// ProbeBackoff is the longest time between probes of a member that does not
	// answer; 30 s by default.
	ProbeBackoff time.Duration
	// LoadStaleAfter is the age at which a load value is refreshed by a probe; 2 s
	// by default.
	LoadStaleAfter time.Duration
	// OffersStaleAfter is the time after which a member is probed again for the
	// models or the service that it offers, also when its load value is fresh; 10 s
	// by default. Frames of requests carry the load but not the offers.
	OffersStaleAfter time.Duration
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&o.DropAfter, 30*time.Second)
	set(&o.DropZoneAfter, 2*time.Hour)
	set(&o.LeavingHold, 30*time.Second)
	set(&o.SuspectAfter, 2*time.Second)
	set(&o.RampTime, 10*time.Second)
	set(&o.RampJitter, 2*time.Second)
	set(&o.ProbeTimeout, time.Second)
	set(&o.ProbeBackoff, 30*time.Second)
	set(&o.LoadStaleAfter, 2*time.Second)
	set(&o.OffersStaleAfter, 10*time.Second)
	if o.Role == "" {
		o.Role = "agent"
	}
	if o.MaxMembers <= 0 {
		o.MaxMembers = 1024
	}
	if o.ProbeRate <= 0 {
		o.ProbeRate = 5
	}
	if o.StartupProbeRate <= 0 {
		o.StartupProbeRate = 50
	}
	set(&o.StartupTime, 15*time.Second)
	return o
}

// EntryState is the state of a VM in the list.
type EntryState int

const (
	// Live VMs run according to the list.
	Live EntryState = iota
	// Leaving VMs will be removed.
	Leaving
)

// Entry is one VM of the list.
type Entry struct {
	Name             string
	Role             string
	Address          string
	Region           string
	AvailabilityZone string
	State            EntryState
}

// Report is what an agent states about itself in a probe answer, or in the load
// of a frame or a refusal. Only a probe answer states what the agent offers.
type Report struct {
	Name string
	// Incarnation is the incarnation of the agent that sent the report; empty
	// stands for the last known one.
	Incarnation string
	State       rpc.AgentState
	// Load is used when it is newer than the last one.
	Load selection.Load
	// HasOffers states that Models and Service are set; otherwise they are ignored.
	HasOffers bool
	Models    []string
	Service   string
}

// member is one endpoint.
type member struct {
	entry  Entry
	listed bool
	// listedLeavingAt is the time of the last list read that stated Leaving, zero
	// when none counts. It concerns leavingIncarnation.
	listedLeavingAt    time.Time
	leavingIncarnation string

	incarnation string
	// incarnationSince is the time of the first report of the incarnation.
	incarnationSince time.Time
	// replaced holds earlier incarnations, whose late reports do not count.
	replaced [maxReplaced]string
	state    rpc.AgentState
	load     selection.Load
	models   []string
	service  string
	// addedAt is when the member was added, lastReportAt the time of its last report.
	addedAt      time.Time
	lastReportAt time.Time

	// failures counts the failures to reach the member since its last report.
	failures  int
	nextProbe time.Time
	// lastProbed is the time of the last probe.
	lastProbed time.Time
	rampStart  time.Time
}

// startupBurst is the burst of probes during startup. It lets a caller that asks
// every 50 ms reach the default StartupProbeRate.
const startupBurst = 4

// maxReplaced is the number of earlier incarnations that are remembered.
const maxReplaced = 4

// Set is the set of endpoints that a router knows. It is not safe for
// concurrent use.
type Set struct {
	options Options
	rng     *rand.Rand
	members map[string]*member
	probes  *rate.Limiter
	// firstList is the time of the first list with a member; zero before.
	firstList time.Time
	// loadTurn alternates between the refresh of load values and the other probes.
	loadTurn bool
	version  uint64
}

// New returns an empty Set. It uses rng for the jitter of ramps and probes.
func New(o Options, rng *rand.Rand) *Set {
	o = o.withDefaults()
	return &Set{
		options: o,
		rng:     rng,
		members: make(map[string]*member),
		probes:  rate.NewLimiter(rate.Limit(o.StartupProbeRate), startupBurst),
	}
}

// Version changes with every event that changes the members, their states or
// offers, but not with load values. Weights and whether a member is suspect also
// change with time, so a caller that keeps the result of Members should also
// renew it every second.
func (s *Set) Version() uint64 { return s.version }

// ApplyList applies a successful read of the VM list. A failed read is not applied:
// the last known members remain.
func (s *Set) ApplyList(now time.Time, entries []Entry) {
	for _, m := range s.members {
		m.listed = false
	}
	for _, e := range entries {
		if e.Role == s.options.Role && e.Name != "" {
			s.applyEntry(now, e)
		}
	}
	s.expire(now)
}

// applyEntry adds or updates the member of one VM of the list.
func (s *Set) applyEntry(now time.Time, e Entry) {
	m := s.members[e.Name]
	if m != nil && m.entry.Address != e.Address {
		// Another VM has taken over the name.
		delete(s.members, e.Name)
		m = nil
	}
	if m == nil {
		if len(s.members) >= s.options.MaxMembers && !s.evict() {
			return
		}
		if s.firstList.IsZero() {
			s.firstList = now
		}
		// Members that are added together are probed in a random order, so that
		// routers that start together do not all know the same few endpoints first.
		m = &member{addedAt: now, nextProbe: now.Add(-s.jitter(s.options.ProbeTimeout))}
		s.members[e.Name] = m
		s.version++
	}
	m.listed = true
	before := m.leaving()
	switch {
	case e.State == Leaving:
		// The list may still refer to an incarnation that was replaced recently.
		if m.listedLeavingAt.IsZero() || now.Sub(m.incarnationSince) > s.options.LeavingHold {
			m.leavingIncarnation = m.incarnation
		}
		m.listedLeavingAt = now
	case now.Sub(m.listedLeavingAt) > s.options.LeavingHold:
		m.listedLeavingAt = time.Time{}
	}
	if before != m.leaving() {
		s.version++
	}
	m.entry = e
}

// evict drops the member that was silent for the longest time among those that
// are missing from the list.
func (s *Set) evict() bool {
	var worst string
	for name, m := range s.members {
		if m.listed {
			continue
		}
		w := s.members[worst]
		if w == nil || m.lastReportOrAdded().Before(w.lastReportOrAdded()) || m.lastReportOrAdded().Equal(w.lastReportOrAdded()) && name < worst {
			worst = name
		}
	}
	if worst == "" {
		return false
	}
	delete(s.members, worst)
	s.version++
	return true
}

func (m *member) lastReportOrAdded() time.Time {
	if m.lastReportAt.After(m.addedAt) {
		return m.lastReportAt
	}
	return m.addedAt
}

// expire drops members that are missing from the list and silent for longer than
// DropAfter, or DropZoneAfter when their whole availability zone is missing.
func (s *Set) expire(now time.Time) {
	zones := map[[2]string]bool{}
	for _, m := range s.members {
		if m.listed {
			zones[m.zone()] = true
		}
	}
	for name, m := range s.members {
		if m.listed {
			continue
		}
		limit := s.options.DropZoneAfter
		if zones[m.zone()] {
			limit = s.options.DropAfter
		}
		if now.Sub(m.lastReportOrAdded()) > limit {
			delete(s.members, name)
			s.version++
		}
	}
}

func (m *member) zone() [2]string {
	return [2]string{m.entry.Region, m.entry.AvailabilityZone}
}
