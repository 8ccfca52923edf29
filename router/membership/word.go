package membership

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// suspectFailures is the number of failures in a row that make a silent member
// suspect; a single one is often a lost connection.
const suspectFailures = 2

// Heard takes an agent's own word. It counts at once. A word of an incarnation
// that has been replaced is ignored, and an incarnation that said leaving does
// not serve again.
func (s *Set) Heard(now time.Time, r Report) {
	m := s.members[r.Name]
	if m == nil {
		return
	}
	if r.Incarnation == "" {
		r.Incarnation = m.incarnation
	}
	if r.Incarnation != "" && slices.Contains(m.replaced[:], r.Incarnation) {
		return
	}
	away := m.state != rpc.AgentState_AGENT_STATE_SERVING || s.suspect(now, m)
	if r.Incarnation != m.incarnation {
		m.replace(now, r.Incarnation)
		away = true
		s.version++
	}
	state := r.State
	if m.state == rpc.AgentState_AGENT_STATE_LEAVING {
		state = m.state
	}
	if state != m.state || away {
		s.version++
	}
	m.state = state
	m.heard, m.failures = now, 0
	m.nextProbe = now.Add(s.jitter(s.options.StaleAfter))
	if limit := m.asked.Add(s.options.OffersAfter); limit.Before(m.nextProbe) {
		m.nextProbe = limit
	}
	if r.Load.At.After(m.load.At) {
		m.load = r.Load
	}
	if r.Offers && (m.service != r.Service || !slices.Equal(m.models, r.Models)) {
		m.models, m.service = slices.Clone(r.Models), r.Service
		s.version++
	}
	if away && state == rpc.AgentState_AGENT_STATE_SERVING {
		m.rampStart = now.Add(time.Duration(s.rng.Float64() * float64(s.options.RampJitter)))
	}
}

// replace starts a new incarnation. The list's word "leaving" concerned the
// earlier one, unless none was known yet.
func (m *member) replace(now time.Time, incarnation string) {
	if m.incarnation != "" {
		copy(m.replaced[1:], m.replaced[:])
		m.replaced[0] = m.incarnation
	} else if !m.listLeavingAt.IsZero() {
		m.leavingIncarnation = incarnation
	}
	m.incarnation, m.since = incarnation, now
	m.state = rpc.AgentState_AGENT_STATE_UNSPECIFIED
	m.load.At = time.Time{}
}

// Unreachable notes that a probe or a connection to the member failed. It makes
// the member suspect only after two failures and SuspectAfter without a word.
func (s *Set) Unreachable(now time.Time, name string) {
	m := s.members[name]
	if m == nil {
		return
	}
	m.failures++
	s.version++
	backoff := s.options.ProbeTimeout << min(m.failures-1, 10)
	m.nextProbe = now.Add(s.jitter(min(backoff, s.options.ProbeBackoff)))
}

// jitter returns 0.5 to 1.5 times d.
func (s *Set) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + s.rng.Float64()) * float64(d))
}

func (s *Set) suspect(now time.Time, m *member) bool {
	return m.failures >= suspectFailures && now.Sub(m.heard) > s.options.SuspectAfter
}

// leaving reports whether the agent or the list says that this incarnation
// leaves.
func (m *member) leaving() bool {
	if m.state == rpc.AgentState_AGENT_STATE_LEAVING {
		return true
	}
	return !m.listLeavingAt.IsZero() && m.leavingIncarnation == m.incarnation
}
