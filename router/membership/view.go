package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// minWeight is the weight of a member at the start of its ramp.
const minWeight = 0.1

// Member is an endpoint with its address and its candidate for selection. The
// candidate's health weight is below 1 only while a member that began to serve,
// or serves again, is ramped up; the caller multiplies it by the weight of its
// own health checks and fills in Unreported.
type Member struct {
	Address   string
	Candidate selection.Candidate
}

// Members returns all members, sorted by name. A suspect member is down, except
// when every member with the same offer that last reported serving is suspect:
// then the router itself is more likely to be disconnected, and all keep their
// last known state.
func (s *Set) Members(now time.Time) []Member {
	s.expire(now)
	reachable := map[string]bool{}
	for _, m := range s.members {
		if m.state == rpc.AgentState_AGENT_STATE_SERVING && !m.leaving() && !s.suspect(now, m) {
			for _, offer := range m.offers() {
				reachable[offer] = true
			}
		}
	}
	all := make([]Member, 0, len(s.members))
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		all = append(all, s.view(now, name, s.members[name], reachable))
	}
	return all
}

func (s *Set) view(now time.Time, name string, m *member, reachable map[string]bool) Member {
	state := m.state
	switch {
	case m.leaving():
		state = rpc.AgentState_AGENT_STATE_LEAVING
	case s.suspect(now, m) && replaceable(m, reachable):
		state = rpc.AgentState_AGENT_STATE_DOWN
	}
	c := selection.Candidate{
		ID:               name,
		Region:           m.entry.Region,
		AvailabilityZone: m.entry.AvailabilityZone,
		Models:           m.models,
		Service:          m.service,
		Incarnation:      m.incarnation,
		State:            state,
		Load:             m.load,
		Health:           selection.Health{Weight: s.rampWeight(now, m)},
	}
	c.Prepare()
	return Member{Address: m.entry.Address, Candidate: c}
}

// replaceable reports whether everything that the member offers is served by
// another member that is reachable.
func replaceable(m *member, reachable map[string]bool) bool {
	for _, offer := range m.offers() {
		if !reachable[offer] {
			return false
		}
	}
	return true
}

// offers returns the names of the models with and without their version, or the
// service.
func (m *member) offers() []string {
	if m.service != "" {
		return []string{"service " + m.service}
	}
	var offers []string
	for _, model := range m.models {
		offers = append(offers, model)
		if name, _, versioned := strings.Cut(model, ":"); versioned {
			offers = append(offers, name)
		}
	}
	return offers
}

// rampWeight returns the weight of the member in its ramp, minWeight to 1.
func (s *Set) rampWeight(now time.Time, m *member) float64 {
	ramped := float64(now.Sub(m.rampStart)) / float64(s.options.RampTime)
	return min(max(ramped, minWeight), 1)
}
