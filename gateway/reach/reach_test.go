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

// Load pattern: engines crash in a burst. A crashed engine has no load and would be
// the cheapest for every request until the directory drops it.
func TestCrashedEndpointIsLeftOutAfterOneFailure(t *testing.T) {
	table := newTable(10)
	table.Failed(start, 3)
	if !table.LeftOut(start.Add(firstPause/2-1), 3) {
		t.Fatal("tried again at once")
	}
	if table.LeftOut(start, 4) {
		t.Fatal("another endpoint is left out")
	}
	if table.LeftOut(start.Add(3*firstPause/2), 3) {
		t.Fatal("never tried again")
	}
}

// Guards against an endpoint that stays out of use after it came back, and one
// that is tried every second while it is gone for long.
func TestPauseGrowsWithFailuresAndEndsWithAnAnswer(t *testing.T) {
	table := newTable(2)
	now := start
	for range 6 {
		table.Failed(now, 1)
		now = now.Add(3 * longestPause / 2)
		if table.LeftOut(now, 1) {
			t.Fatal("left out for longer than the bound")
		}
	}
	table.Failed(now, 1)
	if !table.LeftOut(now.Add(longestPause/2-1), 1) {
		t.Fatal("the pause did not grow")
	}
	table.Answered(now.Add(time.Millisecond), 1)
	if table.LeftOut(now.Add(2*time.Millisecond), 1) {
		t.Fatal("left out after an answer")
	}
}

// Guards against many gateways that each find a crashed endpoint by themselves, and
// against one gateway whose own link is cut and that would empty the site.
func TestPeersAreBelievedWhenTwoAgree(t *testing.T) {
	table := newTable(10)
	table.Hear(start, "a", 3)
	table.Hear(start.Add(10*time.Millisecond), "a", 3)
	if table.LeftOut(start.Add(20*time.Millisecond), 3) {
		t.Fatal("one peer was enough")
	}
	table.Hear(start.Add(20*time.Millisecond), "b", 3)
	if !table.LeftOut(start.Add(30*time.Millisecond), 3) {
		t.Fatal("two peers were not believed")
	}
	table.Hear(start, "a", 5)
	table.Hear(start.Add(reportAge+time.Millisecond), "b", 5)
	if table.LeftOut(start.Add(reportAge+2*time.Millisecond), 5) {
		t.Fatal("an old report counted")
	}
	table.Answered(start, 6)
	table.Hear(start.Add(time.Millisecond), "a", 6)
	table.Hear(start.Add(time.Millisecond), "b", 6)
	if table.LeftOut(start.Add(2*time.Millisecond), 6) {
		t.Fatal("peers outweighed an own answer")
	}
}

// Guards against a gateway that cannot reach anything and tells that all endpoints
// are gone, and against reports that are passed on from peer to peer for ever.
func TestOnlyOwnAndCredibleFailuresAreStated(t *testing.T) {
	table := newTable(4)
	table.Hear(start, "a", 2)
	table.Hear(start, "b", 2)
	if r := table.Reports(start); len(r) != 0 {
		t.Fatalf("%v stated without an own failure", r)
	}
	table.Failed(start, 1)
	if r := table.Reports(start); len(r) != 1 || r[0] != 1 {
		t.Fatalf("%v stated, want 1", r)
	}
	if r := table.Reports(start.Add(reportAge + time.Millisecond)); len(r) != 0 {
		t.Fatalf("%v stated for too long", r)
	}
	for e := range uint64(4) {
		table.Failed(start.Add(10*time.Second), e)
	}
	if r := table.Reports(start.Add(10 * time.Second)); len(r) != 0 {
		t.Fatalf("%v stated by a gateway that reaches nothing", r)
	}
}

// Guards against a log that says nothing of an endpoint that gets no requests, or
// that repeats itself.
func TestChangesAreToldOnce(t *testing.T) {
	table := newTable(3)
	table.Failed(start, 1)
	table.Hear(start, "a", 2)
	table.Hear(start, "b", 2)
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
		t.Errorf("%v told twice", again)
	}
	table.Answered(start.Add(time.Millisecond), 1)
	if back := table.Changes(start.Add(time.Millisecond)); len(back) != 1 || back[0].LeftOut {
		t.Errorf("%v after an answer, want the return of one", back)
	}
}

// Guards against a table that grows with endpoints that left, and a restarted
// endpoint that keeps the pause of its predecessor.
func TestEndpointThatLeftIsForgotten(t *testing.T) {
	table := newTable(1)
	table.Failed(start, 0)
	table.Leave(0)
	table.Failed(start, 0)
	table.Hear(start, "a", 0)
	table.Answered(start, 0)
	table.Join(0)
	if table.LeftOut(start.Add(time.Millisecond), 0) {
		t.Fatal("the new endpoint is left out")
	}
}
