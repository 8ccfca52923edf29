package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/router/membership"
	"github.com/pistachiowind/pistachiowind/router/selection"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	serving = rpc.AgentState_AGENT_STATE_SERVING
	leaving = rpc.AgentState_AGENT_STATE_LEAVING
	down    = rpc.AgentState_AGENT_STATE_DOWN
)

// fixture is a Set with n agents in three zones of two regions.
type fixture struct {
	set     *membership.Set
	now     time.Time
	entries []membership.Entry
}

func newFixture(n int) *fixture {
	w := &fixture{now: time.Unix(1_000_000, 0)}
	w.set = membership.New(membership.Options{Region: "r0"}, rand.New(rand.NewPCG(1, 2)))
	for i := range n {
		zone := i % 3
		w.entries = append(w.entries, membership.Entry{
			Name: fmt.Sprintf("vm-%03d", i), Role: "agent", Address: fmt.Sprintf("10.0.0.%d:1", i),
			Region: fmt.Sprintf("r%d", zone/2), AvailabilityZone: fmt.Sprintf("z%d", zone)})
	}
	w.set.ApplyList(w.now, w.entries)
	return w
}

func (w *fixture) report(i int, incarnation string, state rpc.AgentState) {
	w.set.ApplyReport(w.now, membership.Report{Name: w.entries[i].Name, Incarnation: incarnation, State: state,
		HasOffers: true, Models: []string{"chat"}, Load: selection.Load{At: w.now, Limit: 8}})
}

func (w *fixture) reportAll(state rpc.AgentState) {
	for i := range w.entries {
		w.report(i, "a", state)
	}
}

func (w *fixture) recordFailures(i, times int) {
	for range times {
		w.now = w.now.Add(2 * time.Second)
		w.set.RecordFailure(w.now, w.entries[i].Name)
	}
}

func (w *fixture) advance(d time.Duration) { w.now = w.now.Add(d) }

// listOnly applies a list with these members only.
func (w *fixture) listOnly(members ...int) {
	var entries []membership.Entry
	for _, i := range members {
		entries = append(entries, w.entries[i])
	}
	w.set.ApplyList(w.now, entries)
}

// listFirstAs applies a full list with this state of member 0.
func (w *fixture) listFirstAs(state membership.EntryState) {
	w.entries[0].State = state
	w.set.ApplyList(w.now, w.entries)
}

// states returns the state of every member by name.
func (w *fixture) states() map[string]rpc.AgentState {
	all := map[string]rpc.AgentState{}
	for _, m := range w.set.Members(w.now) {
		all[m.Candidate.ID] = m.Candidate.State
	}
	return all
}

func (w *fixture) serving() int {
	n := 0
	for _, state := range w.states() {
		if state == serving {
			n++
		}
	}
	return n
}

// stateCases are the cases of TestSourcesOfState: events, and the state of member
// 0 after them; -1 means that it is no longer a member.
var stateCases = []struct {
	name string
	do   func(*fixture)
	want rpc.AgentState
}{
	{"own report over an older list", func(w *fixture) { w.report(0, "a", leaving); w.listOnly(0, 1, 2, 3, 4, 5) }, leaving},
	{"late report of the same incarnation", func(w *fixture) { w.report(0, "a", leaving); w.report(0, "a", serving) }, leaving},
	{"new incarnation", func(w *fixture) { w.report(0, "a", leaving); w.report(0, "b", serving) }, serving},
	{"late report of a replaced incarnation", func(w *fixture) { w.report(0, "b", down); w.report(0, "a", serving) }, down},
	{"report without incarnation", func(w *fixture) { w.report(0, "a", leaving); w.report(0, "", serving) }, leaving},
	{"list says leaving, agent still serves", func(w *fixture) { w.listFirstAs(membership.Leaving); w.report(0, "a", serving) }, leaving},
	{"list says leaving, new incarnation", func(w *fixture) { w.listFirstAs(membership.Leaving); w.report(0, "b", serving) }, serving},
	{"another copy of the list is older", func(w *fixture) {
		w.listFirstAs(membership.Leaving)
		w.listFirstAs(membership.Live)
	}, leaving},
	{"list says leaving long after the restart", func(w *fixture) {
		w.listFirstAs(membership.Leaving)
		w.report(0, "b", serving)
		w.advance(31 * time.Second)
		w.listOnly(0, 1, 2, 3, 4, 5)
	}, leaving},
	{"list takes leaving back", func(w *fixture) {
		w.listFirstAs(membership.Leaving)
		w.advance(31 * time.Second)
		w.listFirstAs(membership.Live)
	}, serving},
	{"vanished, answers", func(w *fixture) {
		for range 10 {
			w.listOnly(1, 2, 3, 4, 5)
			w.advance(20 * time.Second)
			w.report(0, "a", serving)
		}
	}, serving},
	{"vanished, silent", func(w *fixture) { w.listOnly(1, 2, 3, 4, 5); w.advance(31 * time.Second) }, -1},
	{"whole zone vanished for an hour", func(w *fixture) {
		w.listOnly(1, 2, 4, 5)
		w.advance(time.Hour)
	}, serving},
	{"whole zone vanished for three hours", func(w *fixture) {
		w.listOnly(1, 2, 4, 5)
		w.advance(3 * time.Hour)
	}, -1},
	{"address taken over", func(w *fixture) { w.entries[0].Address = "10.9.9.9:1"; w.listOnly(0, 1, 2, 3, 4, 5) }, 0},
	{"one failure", func(w *fixture) { w.recordFailures(0, 1); w.advance(time.Minute) }, serving},
	{"two failures", func(w *fixture) { w.recordFailures(0, 2) }, down},
	{"two failures, answers again", func(w *fixture) { w.recordFailures(0, 2); w.report(0, "a", serving) }, serving},
	{"a failure long after two others", func(w *fixture) {
		w.recordFailures(0, 2)
		w.report(0, "a", serving)
		w.recordFailures(0, 1)
		w.advance(time.Minute)
	}, serving},
	{"list not readable for an hour", func(w *fixture) { w.advance(time.Hour) }, serving},
}

// Guards against work for an endpoint that leaves, is gone, or never answered,
// whether its own report, the list or a failure to reach it shows so.
func TestSourcesOfState(t *testing.T) {
	for _, c := range stateCases {
		w := newFixture(6)
		w.reportAll(serving)
		c.do(w)
		got, known := w.states()[w.entries[0].Name]
		if !known {
			got = -1
		}
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if n := newFixture(6).serving(); n != 0 {
		t.Errorf("%d members serve without a report", n)
	}
}

// Guards against full load at once on members that begin to serve or serve again.
func TestReturnIsRamped(t *testing.T) {
	w := newFixture(30)
	w.reportAll(serving)
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
	w.recordFailures(0, 2)
	w.report(0, "a", serving)
	for i, m := range w.set.Members(w.now) {
		if weight := m.Candidate.Health.Weight; (weight < 1) != (i == 0) {
			t.Errorf("%s: weight %.2f", m.Candidate.ID, weight)
		}
	}
}

// Guards against probes above ProbeRate, a second probe before the answer to the
// first, a member that is never probed, and a network partition that stops the
// refresh of the members on this side. Members of the other region are refreshed
// less often.
func TestProbes(t *testing.T) {
	w := newFixture(240)
	w.reportAll(serving)
	const unreachable = 200
	for i := range unreachable {
		w.recordFailures(i, 2)
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
		if count[i]++; count[i] == 1 && i < unreachable {
			failed++
		}
		switch {
		case i < unreachable:
			w.set.RecordFailure(w.now, p.Name)
		case total%7 != 0: // every seventh answer is lost
			fresh++
			w.report(i, "a", serving)
		}
		if i >= unreachable && i%3 == 2 {
			otherRegion++
		}
	}
	if total > 301 || total < 290 || fresh < 120 || failed < 140 {
		t.Errorf("%d probes, %d of serving members answered, %d failed members probed", total, fresh, failed)
	}
	if slices.Contains(count[unreachable:], 0) || otherRegion > total/2/6 {
		t.Errorf("serving members probed %v times, %d in the other region", count[unreachable:], otherRegion)
	}
}

// Guards against a model that was loaded by an order and stays unknown to the
// router, because frames of requests keep the load value of the endpoint fresh.
func TestOffersOfBusyMembersAreProbed(t *testing.T) {
	w := newFixture(3)
	w.reportAll(serving)
	probes := 0
	for range 600 {
		w.advance(100 * time.Millisecond)
		for _, e := range w.entries {
			w.set.ApplyReport(w.now, membership.Report{Name: e.Name, State: serving, Load: selection.Load{At: w.now}})
		}
		if _, ok := w.set.NextProbe(w.now); ok {
			probes++
		}
	}
	if probes < 15 || probes > 18 {
		t.Errorf("%d probes of 3 busy members in 60 s, want one each 10 s", probes)
	}
}

// Guards against frequent probes of an endpoint that is gone for good.
func TestProbeBackoff(t *testing.T) {
	w := newFixture(1)
	probes := 0
	for end := w.now.Add(2 * time.Minute); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
		if p, ok := w.set.NextProbe(w.now); ok {
			probes++
			w.set.RecordFailure(w.now, p.Name)
		}
	}
	if probes < 5 || probes > 14 {
		t.Errorf("%d probes in 2 min", probes)
	}
}

// Guards against memory use that grows with the number of names that were ever in
// the list.
func TestMembersAreBounded(t *testing.T) {
	w := newFixture(0)
	w.set = membership.New(membership.Options{MaxMembers: 4}, rand.New(rand.NewPCG(1, 2)))
	all := newFixture(9).entries
	for from := range 6 {
		w.set.ApplyList(w.now, all[from:from+3])
		states := w.states()
		if _, known := states[all[from+2].Name]; len(states) > 4 || !known {
			t.Fatalf("list of 3 from %d: %v", from, states)
		}
	}
	w.set.ApplyList(w.now, all)
	if n := len(w.states()); n != 4 {
		t.Errorf("%d members", n)
	}
}

// Measures a renewal of the candidates at the planned size of 600 endpoints.
func BenchmarkMembers(b *testing.B) {
	w := newFixture(600)
	w.reportAll(serving)
	b.ReportAllocs()
	for b.Loop() {
		w.set.Members(w.now)
	}
}

// Measures the choice of a probe at the planned size of 600 endpoints.
func BenchmarkNextProbe(b *testing.B) {
	w := newFixture(600)
	w.reportAll(serving)
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(200 * time.Millisecond)
		w.set.NextProbe(w.now)
	}
}

// Guards against a router that is ready before it knows the endpoints, one that
// is never ready because some do not answer, and probes above ProbeRate after
// StartupTime.
func TestStartupAtThePlannedSize(t *testing.T) {
	w := newFixture(600)
	start := w.now
	if w.set.Known(w.now) {
		t.Error("known before any probe")
	}
	index := map[string]int{}
	for i, e := range w.entries {
		index[e.Name] = i
	}
	probe := func(until time.Time) int {
		n := 0
		for ; w.now.Before(until); w.now = w.now.Add(50 * time.Millisecond) {
			for p, ok := w.set.NextProbe(w.now); ok; p, ok = w.set.NextProbe(w.now) {
				n++
				if i := index[p.Name]; i%50 == 0 {
					w.set.RecordFailure(w.now, p.Name)
				} else {
					w.report(i, "a", serving)
				}
			}
		}
		return n
	}
	probe(start.Add(14 * time.Second))
	if !w.set.Known(w.now) {
		t.Error("not known after 14 s")
	}
	probe(start.Add(15 * time.Second))
	if n := probe(start.Add(75 * time.Second)); n > 5*60+1 {
		t.Errorf("%d probes in a minute after the start", n)
	}
}
