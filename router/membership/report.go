package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// suspectFailures is the number of failures in a row that make a silent member
// suspect; a single one is often a lost connection.
const suspectFailures = 2

// ApplyReport applies an agent's report about itself, which takes effect at once, and
// reports whether it did. A report of an incarnation that has been replaced is ignored,
// and an incarnation that reported leaving does not serve again.
func (s *Set) ApplyReport(now time.Time, r Report) bool {
	m := s.members[r.Name]
	if m == nil {
		return false
	}
	if r.Incarnation == "" {
		r.Incarnation = m.incarnation
	}
	if s.WasReplaced(r.Name, r.Incarnation) {
		return false
	}
	notServing := m.state != rpc.AgentState_AGENT_STATE_SERVING || s.suspect(now, m)
	if r.Incarnation != m.incarnation {
		m.startIncarnation(now, r.Incarnation)
		notServing = true
		s.version++
	}
	state := r.State
	if m.state == rpc.AgentState_AGENT_STATE_LEAVING {
		state = m.state
	}
	if state != m.state || notServing {
		s.version++
	}
	m.state = state
	m.lastReportAt, m.failures = now, 0
	m.nextProbe = now.Add(s.jitter(s.options.LoadStaleAfter))
	if limit := m.lastProbed.Add(s.options.OffersStaleAfter); limit.Before(m.nextProbe) {
		m.nextProbe = limit
	}
	if r.Load.At.After(m.load.At) {
		m.load = r.Load
	}
	if r.HasOffers && (m.service != r.Service || !slices.Equal(m.models, r.Models)) {
		m.models, m.service = slices.Clone(r.Models), r.Service
		s.version++
	}
	if notServing && state == rpc.AgentState_AGENT_STATE_SERVING {
		m.rampStart = now.Add(time.Duration(s.rng.Float64() * float64(s.options.RampJitter)))
	}
	return true
}

// ApplyStatedModel replaces the version of a model that a member offers by that which its engine
// states, and has the member probed for the rest of its offers. A member that offers several versions
// of the model keeps them.
func (s *Set) ApplyStatedModel(now time.Time, name, model string) {
	m := s.members[name]
	if m == nil || model == "" || slices.Contains(m.models, model) {
		return
	}
	m.nextProbe, m.lastProbed = now, time.Time{}
	offer := -1
	for i, offered := range m.models {
		if baseName(offered) != baseName(model) {
			continue
		}
		if offer >= 0 {
			return
		}
		offer = i
	}
	if offer < 0 {
		return
	}
	m.models = slices.Clone(m.models)
	m.models[offer] = model
	s.version++
}

// baseName returns the name of a model without its version.
func baseName(model string) string {
	name, _, _ := strings.Cut(model, ":")
	return name
}

// WasReplaced reports whether a member is known to have started again since an incarnation.
func (s *Set) WasReplaced(name, incarnation string) bool {
	m := s.members[name]
	return m != nil && incarnation != "" && slices.Contains(m.replaced[:], incarnation)
}

// startIncarnation resets the member for a new incarnation. The state Leaving of
// the list concerned the earlier one, unless none was known yet.
func (m *member) startIncarnation(now time.Time, incarnation string) {
	if m.incarnation != "" {
		copy(m.replaced[1:], m.replaced[:])
		m.replaced[0] = m.incarnation
	} else if !m.listedLeavingAt.IsZero() {
		m.leavingIncarnation = incarnation
	}
	m.incarnation, m.incarnationSince = incarnation, now
	m.state = rpc.AgentState_AGENT_STATE_UNSPECIFIED
	m.load.At = time.Time{}
}

// RecordFailure records that a probe of or a connection to the member failed. The
// member becomes suspect only after two failures and SuspectAfter without a
// report.
func (s *Set) RecordFailure(now time.Time, name string) {
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

// suspect reports whether the member is probably down: suspectFailures failures to
// reach it since its last report, which is longer ago than SuspectAfter.
func (s *Set) suspect(now time.Time, m *member) bool {
	return m.failures >= suspectFailures && now.Sub(m.lastReportAt) > s.options.SuspectAfter
}

// leaving reports whether the agent or the list states that this incarnation
// leaves.
func (m *member) leaving() bool {
	if m.state == rpc.AgentState_AGENT_STATE_LEAVING {
		return true
	}
	return !m.listedLeavingAt.IsZero() && m.leavingIncarnation == m.incarnation
}
