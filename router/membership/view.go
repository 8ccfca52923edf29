package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// minWeight is the weight at the start of a ramp.
const minWeight = 0.1

// Member is an endpoint with its address and its candidate for selection. The
// candidate's health weight is the ramp of a member that joined or returned; the
// caller multiplies it with its own judgement and fills in Unreported.
type Member struct {
	Address   string
	Candidate selection.Candidate
}

// Members returns all members by name. A suspect member is down, except when
// every member with the same offer that last said serving is suspect: then the
// router itself is more likely to be cut off, and all keep their last known state.
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
		Health:           selection.Health{Weight: s.weight(now, m)},
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

// offers returns the models with and without version, or the service.
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

func (s *Set) weight(now time.Time, m *member) float64 {
	grown := float64(now.Sub(m.rampStart)) / float64(s.options.RampTime)
	return min(max(grown, minWeight), 1)
}
