package registry

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func entry(id string, born int64) Entry {
	return Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 4, Born: born}
}

func states(changes []Change) []string {
	var out []string
	for _, c := range changes {
		out = append(out, c.Entry.ID+" "+c.State)
	}
	return out
}

func expect(t *testing.T, got []Change, want ...string) {
	t.Helper()
	s := states(got)
	if len(s) != len(want) {
		t.Fatalf("changes %v, want %v", s, want)
	}
	for i := range s {
		if s[i] != want[i] {
			t.Fatalf("changes %v, want %v", s, want)
		}
	}
}

// Guards against losing live endpoints whose entries lapsed while the store was
// down, and against keeping dead ones for longer than the grace.
func TestEntryThatLapsedDuringOutageIsKeptForTheGrace(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	r.Put(entry("b", 1))
	r.DirectoryLost()
	r.DirectoryBack(start)
	expect(t, r.Replace(start, []Entry{entry("b", 1)}), "a lapsed")
	expect(t, r.Expire(start.Add(ReturnGrace-time.Millisecond)))
	expect(t, r.Expire(start.Add(ReturnGrace)), "a gone")
}

// Guards against removing an endpoint that registered again within the grace.
func TestLapsedEntryThatReturnsStays(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	r.DirectoryLost()
	r.DirectoryBack(start)
	r.Remove(start, "a")
	if _, changed := r.Put(entry("a", 1)); !changed {
		t.Fatal("the return of a lapsed entry was not reported")
	}
	expect(t, r.Expire(start.Add(time.Minute)))
}

// Guards against work sent to an endpoint that left while the store was up.
func TestEntryRemovedInCalmTimeIsGoneAtOnce(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	c, ok := r.Remove(start, "a")
	if !ok || c.State != "gone" {
		t.Fatalf("%v %v, want gone", c.State, ok)
	}
}

// Guards against work sent to an endpoint that was draining when its entry
// lapsed: it has left.
func TestDrainingEntryThatLapsesIsGoneAtOnce(t *testing.T) {
	r := New()
	e := entry("a", 1)
	e.Draining = true
	r.Put(e)
	r.DirectoryLost()
	r.DirectoryBack(start)
	if c, _ := r.Remove(start, "a"); c.State != "gone" {
		t.Fatalf("state %s, want gone", c.State)
	}
}

// Guards against state of an earlier incarnation that is kept for one that was
// born again under the same id.
func TestSameIDBornAgainIsReported(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	if c, ok := r.Put(entry("a", 2)); !ok || c.State != "restarted" {
		t.Fatalf("%v %v, want restarted", c.State, ok)
	}
	if _, ok := r.Put(entry("a", 2)); ok {
		t.Fatal("an unchanged entry was reported as a change")
	}
}
