// Package membership decides which endpoints exist and accept work. It merges
// the lagging VM list, what the agents say about themselves, and what the router
// could not reach. The list adds and removes members; an agent's own word
// decides whether it accepts work; silence alone never empties the set.
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
	// Role of the VM list entries that become members; "agent" by default.
	Role string
	// Region of the router. The load values of other regions are refreshed less
	// often.
	Region string
	// MaxMembers bounds the set; 1,024 by default. Of the members that are missing
	// from the list, the one that was silent for the longest time is dropped for a
	// new one. Without such a member the new one is ignored.
	MaxMembers int
	// DropAfter is the silence after which a member that is missing from the list
	// is dropped; 30 s by default.
	DropAfter time.Duration
	// DropZoneAfter is the same for a member whose whole availability zone is
	// missing, because a cut is then more likely than a removal; 2 h by default.
	DropZoneAfter time.Duration
	// LeavingHold is how long the list's word "leaving" counts after the last
	// read that said so, because copies of the list may disagree, and how long it
	// is not applied to an incarnation that replaced a leaving one; 30 s by
	// default.
	LeavingHold time.Duration
	// SuspectAfter is the silence after which two failures in a row make a member
	// suspect; 2 s by default.
	SuspectAfter time.Duration
	// RampTime is the time to full weight of a member that joins or returns; 10 s
	// by default. RampJitter is the random delay before it, 2 s by default, so
	// that the routers do not return all at once.
	RampTime   time.Duration
	RampJitter time.Duration
	// ProbeRate is the number of probes per second; 5 by default.
	ProbeRate float64
	// JoinRate replaces it for JoinTime after the first list, so that a router
	// that starts knows 600 endpoints within seconds; 50 for 15 s by default.
	JoinRate float64
	JoinTime time.Duration
	// ProbeTimeout is when an unanswered probe may be repeated; 1 s by default.
	ProbeTimeout time.Duration
	// ProbeBackoff is the longest time between probes of a member that does not
	// answer; 30 s by default.
	ProbeBackoff time.Duration
	// StaleAfter is the age of a load value that is worth a probe; 2 s by default.
	StaleAfter time.Duration
	// OffersAfter is the time after which a member is asked again what it offers,
	// also when its load value is fresh; 10 s by default. Frames of requests carry
	// the load but not the offers.
	OffersAfter time.Duration
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
	set(&o.StaleAfter, 2*time.Second)
	set(&o.OffersAfter, 10*time.Second)
	if o.Role == "" {
		o.Role = "agent"
	}
	if o.MaxMembers <= 0 {
		o.MaxMembers = 1024
	}
	if o.ProbeRate <= 0 {
		o.ProbeRate = 5
	}
	if o.JoinRate <= 0 {
		o.JoinRate = 50
	}
	set(&o.JoinTime, 15*time.Second)
	return o
}

// EntryState is the state of a VM in the list.
type EntryState int

const (
	// Live VMs run, as far as the list knows.
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

// Report is an agent's own word: a probe answer, or the load of a frame or a
// refusal. Models and Service are taken only when Offers is set.
type Report struct {
	Name string
	// Incarnation of the speaker; empty stands for the last known one.
	Incarnation string
	State       rpc.AgentState
	// Load is taken when it is newer than the last one.
	Load    selection.Load
	Offers  bool
	Models  []string
	Service string
}

// member is one endpoint.
type member struct {
	entry  Entry
	listed bool
	// listLeavingAt is the last list read that said leaving, zero when none
	// counts. It concerns leavingIncarnation.
	listLeavingAt      time.Time
	leavingIncarnation string

	incarnation string
	// since is when the incarnation was first heard.
	since time.Time
	// replaced holds earlier incarnations, whose late words do not count.
	replaced [maxReplaced]string
	state    rpc.AgentState
	load     selection.Load
	models   []string
	service  string
	// joined is when the member was added, heard when it last spoke.
	joined time.Time
	heard  time.Time

	// failures counts failures to reach it since it was last heard.
	failures  int
	nextProbe time.Time
	// asked is when the last probe was sent.
	asked     time.Time
	rampStart time.Time
}

// joinBurst lets a caller that asks every 50 ms reach the default JoinRate.
const joinBurst = 4

// maxReplaced is the number of earlier incarnations that are remembered.
const maxReplaced = 4

// Set is the set of endpoints that a router knows. It is not safe for
// concurrent use.
type Set struct {
	options Options
	rng     *rand.Rand
	members map[string]*member
	probes  *rate.Limiter
	// firstList is when the first member was listed; zero before.
	firstList time.Time
	// staleTurn alternates between members with old load and the others.
	staleTurn bool
	version   uint64
}

// New returns an empty Set. The random numbers jitter ramps and probes.
func New(o Options, rng *rand.Rand) *Set {
	o = o.withDefaults()
	return &Set{
		options: o,
		rng:     rng,
		members: make(map[string]*member),
		probes:  rate.NewLimiter(rate.Limit(o.JoinRate), joinBurst),
	}
}

// Version changes with every event that changes the members, their states or
// offers, but not with load values. Weights and suspicion also change with time,
// so a caller that keeps the result of Members renews it every second as well.
func (s *Set) Version() uint64 { return s.version }

// List takes a successful read of the VM list. A failed read is not reported:
// the last known members remain.
func (s *Set) List(now time.Time, entries []Entry) {
	for _, m := range s.members {
		m.listed = false
	}
	for _, e := range entries {
		if e.Role == s.options.Role && e.Name != "" {
			s.listed(now, e)
		}
	}
	s.expire(now)
}

func (s *Set) listed(now time.Time, e Entry) {
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
		// Members that join together are probed in a random order, so that routers
		// that start together do not all know the same few endpoints first.
		if s.firstList.IsZero() {
			s.firstList = now
		}
		m = &member{joined: now, nextProbe: now.Add(-s.jitter(s.options.ProbeTimeout))}
		s.members[e.Name] = m
		s.version++
	}
	m.listed = true
	before := m.leaving()
	switch {
	case e.State == Leaving:
		// The list may still mean an incarnation that was replaced recently.
		if m.listLeavingAt.IsZero() || now.Sub(m.since) > s.options.LeavingHold {
			m.leavingIncarnation = m.incarnation
		}
		m.listLeavingAt = now
	case now.Sub(m.listLeavingAt) > s.options.LeavingHold:
		m.listLeavingAt = time.Time{}
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
		if w == nil || m.lastSign().Before(w.lastSign()) || m.lastSign().Equal(w.lastSign()) && name < worst {
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

func (m *member) lastSign() time.Time {
	if m.heard.After(m.joined) {
		return m.heard
	}
	return m.joined
}

// expire drops members that are missing from the list and silent.
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
		if now.Sub(m.lastSign()) > limit {
			delete(s.members, name)
			s.version++
		}
	}
}

func (m *member) zone() [2]string {
	return [2]string{m.entry.Region, m.entry.AvailabilityZone}
}
