package membership_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/router/membership"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// A fixed seed makes every run the same; flags of the command line override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// oracle computes the expected state of one agent from its reports and the list.
type oracle struct {
	incarnation      int
	incarnationSince time.Time
	reported         rpc.AgentState
	listed           bool
	// listedLeavingAt is the last list read that stated Leaving; it concerns
	// leavingIncarnation.
	listedLeavingAt    time.Time
	leavingIncarnation int
}

func (o *oracle) readEntry(now time.Time, e membership.Entry) {
	o.listed = true
	if e.State == membership.Leaving {
		if o.listedLeavingAt.IsZero() || now.Sub(o.incarnationSince) > 30*time.Second {
			o.leavingIncarnation = o.incarnation
		}
		o.listedLeavingAt = now
	} else if now.Sub(o.listedLeavingAt) > 30*time.Second {
		o.listedLeavingAt = time.Time{}
	}
}

func (o *oracle) mayServe() bool {
	return o.reported == serving && (o.listedLeavingAt.IsZero() || o.leavingIncarnation != o.incarnation)
}

// model holds a Set and the oracles of its agents.
type model struct {
	*fixture
	oracles []oracle
}

func (m *model) drawMember(t *rapid.T) int {
	return rapid.IntRange(0, len(m.entries)-1).Draw(t, "member")
}

func (m *model) readList(list []membership.Entry) {
	for i, e := range m.entries {
		m.oracles[i].listed = false
		if slices.Contains(list, e) {
			m.oracles[i].readEntry(m.now, e)
		}
	}
	m.set.ApplyList(m.now, list)
}

// reportDrawn makes a drawn agent report a drawn state, at times as a new
// incarnation.
func (m *model) reportDrawn(t *rapid.T) {
	i := m.drawMember(t)
	state := rapid.SampledFrom([]rpc.AgentState{serving, serving, leaving, down}).Draw(t, "state")
	o := &m.oracles[i]
	restart := rapid.IntRange(0, 3).Draw(t, "restart") == 0
	if o.incarnation == 0 {
		o.leavingIncarnation = 1
	}
	if o.incarnation == 0 || restart {
		o.incarnation, o.incarnationSince, o.reported = o.incarnation+1, m.now, 0
	}
	if o.reported != leaving {
		o.reported = state
	}
	m.report(i, fmt.Sprint(o.incarnation), state)
}

func (m *model) check(t *rapid.T) {
	states, kept := m.states(), false
	for i, e := range m.entries {
		o := &m.oracles[i]
		if _, known := states[e.Name]; !known {
			if o.listed {
				t.Fatalf("%s was dropped although it is in the list", e.Name)
			}
			*o = oracle{}
			continue
		}
		if states[e.Name] == serving && !o.mayServe() {
			t.Fatalf("%s is serving, but must get no work: %+v", e.Name, *o)
		}
		kept = kept || o.mayServe()
	}
	if kept && m.serving() == 0 {
		t.Fatalf("no member is serving although some should: %v", states)
	}
}

// Guards against a set that has no serving member because the router could not
// reach any agent, and against work for a leaving endpoint, under any order of
// reports, list reads and failures.
func TestNeverEmptyAndNeverLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{fixture: newFixture(rapid.IntRange(1, 7).Draw(t, "members"))}
		m.oracles = make([]oracle, len(m.entries))
		m.readList(m.entries)
		t.Repeat(map[string]func(*rapid.T){
			"report": m.reportDrawn,
			"list leaving": func(t *rapid.T) {
				i := m.drawMember(t)
				m.entries[i].State = membership.Leaving
				m.readList(m.entries)
				m.entries[i].State = membership.Live
			},
			"list": func(t *rapid.T) {
				m.readList(m.entries[rapid.SampledFrom([]int{0, 1, len(m.entries)}).Draw(t, "from"):])
			},
			"all unreachable": func(t *rapid.T) {
				for i := range m.entries {
					m.recordFailures(i, 2)
				}
			},
			"": m.check,
		})
	})
}
