package membership

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// otherRegionAge scales the age of load values of other regions, which are used
// only when the own region is overloaded.
const otherRegionAge = 0.25

// Probe is a member to probe.
type Probe struct {
	Name    string
	Address string
	// Incarnation is the last known one, empty for a member that never answered.
	Incarnation string
}

// NextProbe returns the member to probe next, if one is due and ProbeRate allows
// it. Turns alternate between members whose state is unknown, failed or missing
// from the list, and serving members with the oldest load value, so that a large
// cut does not stop the refresh of the rest. While the members join, those of
// unknown state come first. The caller reports Heard or Unreachable.
func (s *Set) NextProbe(now time.Time) (Probe, bool) {
	if !s.joining(now) {
		s.probes.SetLimitAt(now, rate.Limit(s.options.ProbeRate))
		s.probes.SetBurstAt(now, 1)
	}
	if s.probes.TokensAt(now) < 1 {
		return Probe{}, false
	}
	stale := s.staleTurn && !s.joining(now)
	name, m := s.due(now, stale)
	if m == nil {
		name, m = s.due(now, !stale)
	}
	if m == nil {
		return Probe{}, false
	}
	s.staleTurn = !s.staleTurn
	s.probes.AllowN(now, 1)
	m.nextProbe = now.Add(s.jitter(s.options.ProbeTimeout))
	m.asked = now
	return Probe{Name: name, Address: m.entry.Address, Incarnation: m.incarnation}, true
}

// joining reports whether JoinRate applies.
func (s *Set) joining(now time.Time) bool {
	return s.firstList.IsZero() || now.Sub(s.firstList) < s.options.JoinTime
}

// Known reports whether the set is good enough to place work: every member has
// answered or failed a probe once, or JoinTime has passed since the first list.
func (s *Set) Known(now time.Time) bool {
	if s.firstList.IsZero() {
		return false
	}
	if !s.joining(now) {
		return true
	}
	for _, m := range s.members {
		if m.heard.IsZero() && m.failures == 0 {
			return false
		}
	}
	return true
}

// due returns the most urgent member of one kind.
func (s *Set) due(now time.Time, stale bool) (string, *member) {
	var bestName string
	var best *member
	var bestUrgency float64
	for name, m := range s.members {
		if now.Before(m.nextProbe) || s.refreshed(now, m) != stale {
			continue
		}
		urgency := s.urgency(now, m, stale)
		if urgency <= 0 {
			continue
		}
		if best == nil || urgency > bestUrgency || urgency == bestUrgency && name < bestName {
			bestName, best, bestUrgency = name, m, urgency
		}
	}
	return bestName, best
}

// refreshed reports whether a member is probed only for its load value.
func (s *Set) refreshed(now time.Time, m *member) bool {
	return m.listed && m.state == rpc.AgentState_AGENT_STATE_SERVING && !s.suspect(now, m)
}

// urgency orders the members that are due; 0 means that a probe is not worth it.
// Members without a usable state take turns, the one that has been due for the
// longest time first: ordered by silence, a few dead ones would take all probes.
// Load values are renewed by age. Leaving members are probed rarely, only to
// notice that a new incarnation runs there.
func (s *Set) urgency(now time.Time, m *member, stale bool) float64 {
	if m.leaving() {
		silence := now.Sub(m.lastSign()) - s.options.ProbeBackoff
		return max(silence.Seconds(), 0)
	}
	if !stale {
		return now.Sub(m.nextProbe).Seconds() + 1
	}
	age := now.Sub(m.load.At)
	if m.load.At.IsZero() {
		age = now.Sub(m.heard)
	}
	if age < s.options.StaleAfter {
		if now.Sub(m.asked) < s.options.OffersAfter {
			return 0
		}
		age = s.options.StaleAfter
	}
	if s.options.Region != "" && m.entry.Region != s.options.Region {
		return age.Seconds() * otherRegionAge
	}
	return age.Seconds()
}
