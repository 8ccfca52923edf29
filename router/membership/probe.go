package membership

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// otherRegionAgeFactor scales the age of the load values of other regions. They
// are refreshed less often because those endpoints are used only when the
// router's own region is overloaded.
const otherRegionAgeFactor = 0.25

// Probe is a member to probe.
type Probe struct {
	Name    string
	Address string
	// Incarnation is the last known incarnation, empty for a member that never
	// answered.
	Incarnation string
}

// NextProbe returns the member to probe next, if one is due and ProbeRate allows
// it. Turns alternate between members whose state is unknown, failed or missing
// from the list, and serving members with the oldest load value, so that a large
// network partition does not stop the refresh of the other members. During
// startup, members of unknown state come first. The caller reports the answer or
// the failure of the probe to the Set.
func (s *Set) NextProbe(now time.Time) (Probe, bool) {
	if !s.startingUp(now) {
		s.probes.SetLimitAt(now, rate.Limit(s.options.ProbeRate))
		s.probes.SetBurstAt(now, 1)
	}
	if s.probes.TokensAt(now) < 1 {
		return Probe{}, false
	}
	forLoad := s.loadTurn && !s.startingUp(now)
	name, m := s.mostUrgent(now, forLoad)
	if m == nil {
		name, m = s.mostUrgent(now, !forLoad)
	}
	if m == nil {
		return Probe{}, false
	}
	s.loadTurn = !s.loadTurn
	s.probes.AllowN(now, 1)
	m.nextProbe = now.Add(s.jitter(s.options.ProbeTimeout))
	m.lastProbed = now
	return Probe{Name: name, Address: m.entry.Address, Incarnation: m.incarnation}, true
}

// startingUp reports whether StartupProbeRate applies.
func (s *Set) startingUp(now time.Time) bool {
	return s.firstList.IsZero() || now.Sub(s.firstList) < s.options.StartupTime
}

// Known reports whether enough is known about the members to send them work:
// every member has answered or failed a probe once, or StartupTime has passed
// since the first list.
func (s *Set) Known(now time.Time) bool {
	if s.firstList.IsZero() {
		return false
	}
	if !s.startingUp(now) {
		return true
	}
	for _, m := range s.members {
		if m.lastReportAt.IsZero() && m.failures == 0 {
			return false
		}
	}
	return true
}

// mostUrgent returns the member with the most urgent probe that is due, either
// among the members that are probed only for their load value or among the
// others; nil for none.
func (s *Set) mostUrgent(now time.Time, forLoad bool) (string, *member) {
	var bestName string
	var best *member
	var bestUrgency float64
	for name, m := range s.members {
		if now.Before(m.nextProbe) || s.probedForLoad(now, m) != forLoad {
			continue
		}
		urgency := s.urgency(now, m, forLoad)
		if urgency <= 0 {
			continue
		}
		if best == nil || urgency > bestUrgency || urgency == bestUrgency && name < bestName {
			bestName, best, bestUrgency = name, m, urgency
		}
	}
	return bestName, best
}

// probedForLoad reports whether a member is probed only to refresh its load value
// and offers: it is in the list, serves and is not suspect.
func (s *Set) probedForLoad(now time.Time, m *member) bool {
	return m.listed && m.state == rpc.AgentState_AGENT_STATE_SERVING && !s.suspect(now, m)
}

// urgency orders the members whose probe is due; 0 means that none is needed.
// Members without a usable state take turns, the one that has been due for the
// longest time first: ordered by silence, a few dead ones would take all probes.
// Load values are refreshed by age. Leaving members are probed rarely, only to
// notice that a new incarnation runs there.
func (s *Set) urgency(now time.Time, m *member, forLoad bool) float64 {
	if m.leaving() {
		silence := now.Sub(m.lastReportOrAdded()) - s.options.ProbeBackoff
		return max(silence.Seconds(), 0)
	}
	if !forLoad {
		return now.Sub(m.nextProbe).Seconds() + 1
	}
	age := now.Sub(m.load.At)
	if m.load.At.IsZero() {
		age = now.Sub(m.lastReportAt)
	}
	if age < s.options.LoadStaleAfter {
		if now.Sub(m.lastProbed) < s.options.OffersStaleAfter {
			return 0
		}
		age = s.options.LoadStaleAfter
	}
	if s.options.Region != "" && m.entry.Region != s.options.Region {
		return age.Seconds() * otherRegionAgeFactor
	}
	return age.Seconds()
}
