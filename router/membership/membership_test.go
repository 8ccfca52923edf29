package membership_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/router/membership"
	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// A fixed seed makes every run the same; flags of the command line override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const (
	serving = rpc.AgentState_AGENT_STATE_SERVING
	leaving = rpc.AgentState_AGENT_STATE_LEAVING
	down    = rpc.AgentState_AGENT_STATE_DOWN
)

// world is a Set with n agents in three zones of two regions.
type world struct {
	set     *membership.Set
	now     time.Time
	entries []membership.Entry
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1_000_000, 0)}
	w.set = membership.New(membership.Options{Region: "r0"}, rand.New(rand.NewPCG(1, 2)))
	for i := range n {
		zone := i % 3
		w.entries = append(w.entries, membership.Entry{
			Name: fmt.Sprintf("vm-%03d", i), Role: "agent", Address: fmt.Sprintf("10.0.0.%d:1", i),
			Region: fmt.Sprintf("r%d", zone/2), AvailabilityZone: fmt.Sprintf("z%d", zone)})
	}
	w.set.List(w.now, w.entries)
	return w
}

func (w *world) hear(i int, incarnation string, state rpc.AgentState) {
	w.set.Heard(w.now, membership.Report{Name: w.entries[i].Name, Incarnation: incarnation, State: state,
		Offers: true, Models: []string{"chat"}, Load: selection.Load{At: w.now, Limit: 8}})
}

func (w *world) hearAll(state rpc.AgentState) {
	for i := range w.entries {
		w.hear(i, "a", state)
	}
}

func (w *world) unreachable(i, times int) {
	for range times {
		w.now = w.now.Add(2 * time.Second)
		w.set.Unreachable(w.now, w.entries[i].Name)
	}
}

// states returns the state of every member by name.
func (w *world) states() map[string]rpc.AgentState {
	all := map[string]rpc.AgentState{}
	for _, m := range w.set.Members(w.now) {
		all[m.Candidate.ID] = m.Candidate.State
	}
	return all
}

func (w *world) serving() int {
	n := 0
	for _, state := range w.states() {
		if state == serving {
			n++
		}
	}
	return n
}

// Guards against work for an endpoint that leaves, is gone, or never answered,
// whichever source says so. Each case ends with a state of member 0; -1 means
// that it is no member.
func TestSourcesOfState(t *testing.T) {
	listLeaving := func(w *world) {
		w.entries[0].State = membership.Leaving
		w.set.List(w.now, w.entries)
	}
	wait := func(w *world, d time.Duration) { w.now = w.now.Add(d) }
	vanish := func(w *world) { w.set.List(w.now, w.entries[1:]) }
	cases := []struct {
		name string
		do   func(*world)
		want rpc.AgentState
	}{
		{"own word over an older list", func(w *world) { w.hear(0, "a", leaving); w.set.List(w.now, w.entries) }, leaving},
		{"late word of the same incarnation", func(w *world) { w.hear(0, "a", leaving); w.hear(0, "a", serving) }, leaving},
		{"new incarnation", func(w *world) { w.hear(0, "a", leaving); w.hear(0, "b", serving) }, serving},
		{"late word of a replaced incarnation", func(w *world) { w.hear(0, "b", down); w.hear(0, "a", serving) }, down},
		{"word without incarnation", func(w *world) { w.hear(0, "a", leaving); w.hear(0, "", serving) }, leaving},
		{"list says leaving, agent still serves", func(w *world) { listLeaving(w); w.hear(0, "a", serving) }, leaving},
		{"list says leaving, new incarnation", func(w *world) { listLeaving(w); w.hear(0, "b", serving) }, serving},
		{"another copy of the list is older", func(w *world) {
			listLeaving(w)
			w.entries[0].State = membership.Live
			w.set.List(w.now, w.entries)
		}, leaving},
		{"list says leaving long after the restart", func(w *world) {
			listLeaving(w)
			w.hear(0, "b", serving)
			wait(w, 31*time.Second)
			w.set.List(w.now, w.entries)
		}, leaving},
		{"list takes leaving back", func(w *world) {
			listLeaving(w)
			wait(w, 31*time.Second)
			w.entries[0].State = membership.Live
			w.set.List(w.now, w.entries)
		}, serving},
		{"vanished, answers", func(w *world) {
			for range 10 {
				vanish(w)
				wait(w, 20*time.Second)
				w.hear(0, "a", serving)
			}
		}, serving},
		{"vanished, silent", func(w *world) { vanish(w); wait(w, 31*time.Second) }, -1},
		{"whole zone vanished for an hour", func(w *world) {
			w.set.List(w.now, append(w.entries[1:3:3], w.entries[4:]...))
			wait(w, time.Hour)
		}, serving},
		{"whole zone vanished for three hours", func(w *world) {
			w.set.List(w.now, append(w.entries[1:3:3], w.entries[4:]...))
			wait(w, 3*time.Hour)
		}, -1},
		{"address taken over", func(w *world) { w.entries[0].Address = "10.9.9.9:1"; w.set.List(w.now, w.entries) }, 0},
		{"one failure", func(w *world) { w.unreachable(0, 1); wait(w, time.Minute) }, serving},
		{"two failures", func(w *world) { w.unreachable(0, 2) }, down},
		{"two failures, answers again", func(w *world) { w.unreachable(0, 2); w.hear(0, "a", serving) }, serving},
		{"a failure long after two others", func(w *world) {
			w.unreachable(0, 2)
			w.hear(0, "a", serving)
			w.unreachable(0, 1)
			wait(w, time.Minute)
		}, serving},
		{"list not readable for an hour", func(w *world) { wait(w, time.Hour) }, serving},
	}
	for _, c := range cases {
		w := newWorld(6)
		w.hearAll(serving)
		c.do(w)
		got, known := w.states()[w.entries[0].Name]
		if !known {
			got = -1
		}
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if n := newWorld(6).serving(); n != 0 {
		t.Errorf("%d serve without a word", n)
	}
}

// Guards against full load at once on members that return.
func TestReturnIsRamped(t *testing.T) {
	w := newWorld(30)
	w.hearAll(serving)
	weights := map[float64]bool{}
	w.now = w.now.Add(5 * time.Second)
	for _, m := range w.set.Members(w.now) {
		weight := m.Candidate.Health.Weight
		if weight < 0.25 || weight > 0.55 {
			t.Errorf("%s: weight %.2f after 5 s", m.Candidate.ID, weight)
		}
		weights[weight] = true
	}
	if len(weights) < 20 {
		t.Errorf("only %d different ramps of 30", len(weights))
	}
	w.now = w.now.Add(8 * time.Second)
	w.unreachable(0, 2)
	w.hear(0, "a", serving)
	for i, m := range w.set.Members(w.now) {
		if weight := m.Candidate.Health.Weight; (weight < 1) != (i == 0) {
			t.Errorf("%s: weight %.2f", m.Candidate.ID, weight)
		}
	}
}

// Guards against probes above the budget, a second probe before the answer to
// the first, a member that is never probed, and a cut that stops the refresh of
// the others. Members of the other region are refreshed less often.
func TestProbes(t *testing.T) {
	w := newWorld(240)
	w.hearAll(serving)
	const cut = 200
	for i := range cut {
		w.unreachable(i, 2)
	}
	w.now = w.now.Add(time.Minute)
	count, probedAt := make([]int, 240), make([]time.Time, 240)
	total, fresh, failed, otherRegion := 0, 0, 0, 0
	for range 6000 {
		w.now = w.now.Add(10 * time.Millisecond)
		p, ok := w.set.NextProbe(w.now)
		if !ok {
			continue
		}
		total++
		i, _ := strconv.Atoi(p.Name[3:])
		if w.now.Sub(probedAt[i]) < 500*time.Millisecond {
			t.Fatalf("%s probed twice within 500 ms", p.Name)
		}
		probedAt[i] = w.now
		if count[i]++; count[i] == 1 && i < cut {
			failed++
		}
		switch {
		case i < cut:
			w.set.Unreachable(w.now, p.Name)
		case total%7 != 0: // every seventh answer is lost
			fresh++
			w.hear(i, "a", serving)
		}
		if i >= cut && i%3 == 2 {
			otherRegion++
		}
	}
	if total > 301 || total < 290 || fresh < 120 || failed < 140 {
		t.Errorf("%d probes, %d of serving members answered, %d failed members probed", total, fresh, failed)
	}
	if slices.Contains(count[cut:], 0) || otherRegion > total/2/6 {
		t.Errorf("serving members probed %v times, %d in the other region", count[cut:], otherRegion)
	}
}

// Guards against many probes of an endpoint that is gone for good.
func TestProbeBackoff(t *testing.T) {
	w := newWorld(1)
	probes := 0
	for end := w.now.Add(2 * time.Minute); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
		if p, ok := w.set.NextProbe(w.now); ok {
			probes++
			w.set.Unreachable(w.now, p.Name)
		}
	}
	if probes < 5 || probes > 14 {
		t.Errorf("%d probes in 2 min", probes)
	}
}

// Guards against memory that grows with the names that the list ever had.
func TestMembersAreBounded(t *testing.T) {
	w := newWorld(0)
	w.set = membership.New(membership.Options{MaxMembers: 4}, rand.New(rand.NewPCG(1, 2)))
	all := newWorld(9).entries
	for from := range 6 {
		w.set.List(w.now, all[from:from+3])
		states := w.states()
		if _, known := states[all[from+2].Name]; len(states) > 4 || !known {
			t.Fatalf("list of 3 from %d: %v", from, states)
		}
	}
	w.set.List(w.now, all)
	if n := len(w.states()); n != 4 {
		t.Errorf("%d members", n)
	}
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

// Guards against a set that a cut empties, and against work for a leaving
// endpoint under any order of events.
func TestNeverEmptyAndNeverLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 7).Draw(t, "members"))
		oracles := make([]oracle, len(w.entries))
		read := func(list []membership.Entry) {
			for i, e := range w.entries {
				oracles[i].listed = false
				if slices.Contains(list, e) {
					oracles[i].read(w.now, e)
				}
			}
			w.set.List(w.now, list)
		}
		read(w.entries)
		any := func(t *rapid.T) int { return rapid.IntRange(0, len(w.entries)-1).Draw(t, "member") }
		t.Repeat(map[string]func(*rapid.T){
			"word": func(t *rapid.T) {
				i, state := any(t), rapid.SampledFrom([]rpc.AgentState{serving, serving, leaving, down}).Draw(t, "state")
				o := &oracles[i]
				restart := rapid.IntRange(0, 3).Draw(t, "restart") == 0
				if o.incarnation == 0 || restart {
					if o.incarnation == 0 {
						o.leftIncarnation = 1
					}
					o.incarnation, o.since, o.word = o.incarnation+1, w.now, 0
				}
				if o.word != leaving {
					o.word = state
				}
				w.hear(i, fmt.Sprint(o.incarnation), state)
			},
			"list leaving": func(t *rapid.T) {
				i := any(t)
				w.entries[i].State = membership.Leaving
				read(w.entries)
				w.entries[i].State = membership.Live
			},
			"list": func(t *rapid.T) {
				read(w.entries[rapid.SampledFrom([]int{0, 1, len(w.entries)}).Draw(t, "from"):])
			},
			"cut": func(t *rapid.T) {
				for i := range w.entries {
					w.unreachable(i, 2)
				}
			},
			"": func(t *rapid.T) {
				states, kept := w.states(), false
				for i, e := range w.entries {
					o := &oracles[i]
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
				if kept && w.serving() == 0 {
					t.Fatalf("a cut emptied the set: %v", states)
				}
			},
		})
	})
}

// The work for a renewal of the candidates at the planned size.
func BenchmarkMembers(b *testing.B) {
	w := newWorld(600)
	w.hearAll(serving)
	b.ReportAllocs()
	for b.Loop() {
		w.set.Members(w.now)
	}
}

// The work for the choice of a probe at the planned size.
func BenchmarkNextProbe(b *testing.B) {
	w := newWorld(600)
	w.hearAll(serving)
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(200 * time.Millisecond)
		w.set.NextProbe(w.now)
	}
}
