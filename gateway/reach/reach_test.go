package reach

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func newTable(n uint64) *Table {
	t := New(rand.New(rand.NewPCG(1, 2)))
	for e := range n {
		t.Join(e)
	}
	return t
}

// Guards against a crashed engine that is chosen for every request until the directory
// drops it, because it has no load: engines crash during a burst.
func TestCrashedEndpointIsLeftOutAfterOneFailure(t *testing.T) {
	table := newTable(10)
	table.RecordFailure(start, 3)
	if !table.LeftOut(start.Add(initialPause/2-1), 3) {
		t.Fatal("tried again at once")
	}
	if table.LeftOut(start, 4) {
		t.Fatal("another endpoint is left out")
	}
	if table.LeftOut(start.Add(3*initialPause/2), 3) {
		t.Fatal("never tried again")
	}
}

// Guards against an endpoint that is not used again after it came back, and against
// retries every second while an endpoint is down for long.
func TestPauseGrowsWithFailuresAndEndsWithAnAnswer(t *testing.T) {
	table := newTable(2)
	now := start
	for range 6 {
		table.RecordFailure(now, 1)
		now = now.Add(3 * maxPause / 2)
		if table.LeftOut(now, 1) {
			t.Fatal("left out for more than 1.5 times the maximum pause")
		}
	}
	table.RecordFailure(now, 1)
	if !table.LeftOut(now.Add(maxPause/2-1), 1) {
		t.Fatal("the pause did not grow")
	}
	table.RecordResponse(now.Add(time.Millisecond), 1)
	if table.LeftOut(now.Add(2*time.Millisecond), 1) {
		t.Fatal("left out after an answer")
	}
}

// Guards against a failed request at each of many gateways before all of them leave out a
// crashed endpoint, and against a single gateway without network that makes all others
// leave out every endpoint.
func TestReportsCountWhenTwoPeersAgree(t *testing.T) {
	table := newTable(10)
	table.AddPeerReport(start, "a", 3)
	table.AddPeerReport(start.Add(10*time.Millisecond), "a", 3)
	if table.LeftOut(start.Add(20*time.Millisecond), 3) {
		t.Fatal("left out after reports of one peer")
	}
	table.AddPeerReport(start.Add(20*time.Millisecond), "b", 3)
	if !table.LeftOut(start.Add(30*time.Millisecond), 3) {
		t.Fatal("not left out after reports of two peers")
	}
	table.AddPeerReport(start, "a", 5)
	table.AddPeerReport(start.Add(reportAge+time.Millisecond), "b", 5)
	if table.LeftOut(start.Add(reportAge+2*time.Millisecond), 5) {
		t.Fatal("an expired report counted")
	}
	table.RecordResponse(start, 6)
	table.AddPeerReport(start.Add(time.Millisecond), "a", 6)
	table.AddPeerReport(start.Add(time.Millisecond), "b", 6)
	if table.LeftOut(start.Add(2*time.Millisecond), 6) {
		t.Fatal("peers outweighed an own answer")
	}
}

// Guards against a gateway that is cut off and reports all endpoints as unreachable, and
// against reports that gateways pass on to each other endlessly.
func TestOnlyOwnAndCredibleFailuresAreStated(t *testing.T) {
	table := newTable(4)
	table.AddPeerReport(start, "a", 2)
	table.AddPeerReport(start, "b", 2)
	if r := table.FailuresToReport(start); len(r) != 0 {
		t.Fatalf("%v reported without an own failure", r)
	}
	table.RecordFailure(start, 1)
	if r := table.FailuresToReport(start); len(r) != 1 || r[0] != 1 {
		t.Fatalf("%v reported, want 1", r)
	}
	if r := table.FailuresToReport(start.Add(reportAge + time.Millisecond)); len(r) != 0 {
		t.Fatalf("%v reported after reportAge", r)
	}
	for e := range uint64(4) {
		table.RecordFailure(start.Add(10*time.Second), e)
	}
	if r := table.FailuresToReport(start.Add(10 * time.Second)); len(r) != 0 {
		t.Fatalf("%v reported by a gateway that reaches no endpoint", r)
	}
}

// Guards against a log without a line for an endpoint that gets no requests, and against
// repeated lines.
func TestChangesAreReturnedOnce(t *testing.T) {
	table := newTable(3)
	table.RecordFailure(start, 1)
	table.AddPeerReport(start, "a", 2)
	table.AddPeerReport(start, "b", 2)
	byPeers := make(map[uint64]bool)
	for _, c := range table.Changes(start) {
		if !c.LeftOut || c.Pause <= 0 {
			t.Errorf("change %+v, want one that leaves out", c)
		}
		byPeers[c.Endpoint] = c.ByPeers
	}
	if len(byPeers) != 2 || byPeers[1] || !byPeers[2] {
		t.Errorf("changes of %v, want 1 by itself and 2 by peers", byPeers)
	}
	if again := table.Changes(start); len(again) != 0 {
		t.Errorf("%v returned twice", again)
	}
	table.RecordResponse(start.Add(time.Millisecond), 1)
	if back := table.Changes(start.Add(time.Millisecond)); len(back) != 1 || back[0].LeftOut {
		t.Errorf("%v after an answer, want the return of one", back)
	}
}

// Guards against a table that keeps endpoints that have left, and against a restarted
// endpoint that takes over the pause of the previous one.
func TestEndpointThatLeftIsForgotten(t *testing.T) {
	table := newTable(1)
	table.RecordFailure(start, 0)
	table.Leave(0)
	table.RecordFailure(start, 0)
	table.AddPeerReport(start, "a", 0)
	table.RecordResponse(start, 0)
	table.Join(0)
	if table.LeftOut(start.Add(time.Millisecond), 0) {
		t.Fatal("the new endpoint is left out")
	}
}
