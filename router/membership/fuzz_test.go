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

// oracle is what the rules make of the words about one agent.
type oracle struct {
	incarnation int
	since       time.Time
	word        rpc.AgentState
	listed      bool
	// leftAt is the last list read with leaving; it concerns leftIncarnation.
	leftAt          time.Time
	leftIncarnation int
}

func (o *oracle) read(now time.Time, e membership.Entry) {
	o.listed = true
	if e.State == membership.Leaving {
		if o.leftAt.IsZero() || now.Sub(o.since) > 30*time.Second {
			o.leftIncarnation = o.incarnation
		}
		o.leftAt = now
	} else if now.Sub(o.leftAt) > 30*time.Second {
		o.leftAt = time.Time{}
	}
}

func (o *oracle) serves() bool {
	return o.word == serving && (o.leftAt.IsZero() || o.leftIncarnation != o.incarnation)
}

// model holds a Set and the oracles of its agents.
type model struct {
	*world
	oracles []oracle
}

func (m *model) member(t *rapid.T) int {
	return rapid.IntRange(0, len(m.entries)-1).Draw(t, "member")
}

func (m *model) read(list []membership.Entry) {
	for i, e := range m.entries {
		m.oracles[i].listed = false
		if slices.Contains(list, e) {
			m.oracles[i].read(m.now, e)
		}
	}
	m.set.List(m.now, list)
}

// word lets an agent speak, at times a new incarnation of it.
func (m *model) word(t *rapid.T) {
	i := m.member(t)
	state := rapid.SampledFrom([]rpc.AgentState{serving, serving, leaving, down}).Draw(t, "state")
	o := &m.oracles[i]
	restart := rapid.IntRange(0, 3).Draw(t, "restart") == 0
	if o.incarnation == 0 {
		o.leftIncarnation = 1
	}
	if o.incarnation == 0 || restart {
		o.incarnation, o.since, o.word = o.incarnation+1, m.now, 0
	}
	if o.word != leaving {
		o.word = state
	}
	m.hear(i, fmt.Sprint(o.incarnation), state)
}

func (m *model) check(t *rapid.T) {
	states, kept := m.states(), false
	for i, e := range m.entries {
		o := &m.oracles[i]
		if _, known := states[e.Name]; !known {
			if o.listed {
				t.Fatalf("%s dropped although the list has it", e.Name)
			}
			*o = oracle{}
			continue
		}
		if states[e.Name] == serving && !o.serves() {
			t.Fatalf("%s gets work: %+v", e.Name, *o)
		}
		kept = kept || o.serves()
	}
	if kept && m.serving() == 0 {
		t.Fatalf("a cut emptied the set: %v", states)
	}
}

// Guards against a set that a cut empties, and against work for a leaving
// endpoint under any order of events.
func TestNeverEmptyAndNeverLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{world: newWorld(rapid.IntRange(1, 7).Draw(t, "members"))}
		m.oracles = make([]oracle, len(m.entries))
		m.read(m.entries)
		t.Repeat(map[string]func(*rapid.T){
			"word": m.word,
			"list leaving": func(t *rapid.T) {
				i := m.member(t)
				m.entries[i].State = membership.Leaving
				m.read(m.entries)
				m.entries[i].State = membership.Live
			},
			"list": func(t *rapid.T) {
				m.read(m.entries[rapid.SampledFrom([]int{0, 1, len(m.entries)}).Draw(t, "from"):])
			},
			"cut": func(t *rapid.T) {
				for i := range m.entries {
					m.unreachable(i, 2)
				}
			},
			"": m.check,
		})
	})
}
