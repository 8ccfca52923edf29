package registry

import (
	"fmt"
	"slices"
	"strings"
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

// Guards against dropping live endpoints whose entries lapsed while the store was down,
// and against keeping dead ones for longer than the grace.
func TestEntryThatLapsedDuringOutageIsKeptForTheGrace(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	r.Put(entry("b", 1))
	r.DirectoryLost()
	r.DirectoryRecovered(start, time.Time{})
	expect(t, r.Replace(start, []Entry{entry("b", 1)}), "a lapsed")
	expect(t, r.Expire(start.Add(ReregistrationGrace-time.Millisecond)))
	expect(t, r.Expire(start.Add(ReregistrationGrace)), "a gone")
}

// Guards against an endpoint that has left and is kept for a grace of its own at a gateway
// which lost a single answer, or noticed the return of the directory later than others.
func TestGraceBeginsWhenTheDirectoryWasBack(t *testing.T) {
	for _, c := range []struct {
		answeringFor time.Duration
		want         []string
	}{
		{time.Hour, []string{"a gone"}},
		{ReregistrationGrace, []string{"a gone"}},
		{ReregistrationGrace / 2, []string{"a lapsed"}},
		{0, []string{"a lapsed"}},
	} {
		r := New()
		r.Put(entry("a", 1))
		r.DirectoryLost()
		r.DirectoryRecovered(start, start.Add(-c.answeringFor))
		expect(t, r.Replace(start, nil), c.want...)
		left := ReregistrationGrace - c.answeringFor
		if left <= 0 {
			continue
		}
		expect(t, r.Expire(start.Add(left-time.Millisecond)))
		expect(t, r.Expire(start.Add(left)), "a gone")
	}
}

// Guards against removing an endpoint that re-registered within the grace.
func TestLapsedEntryThatReturnsStays(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	r.DirectoryLost()
	r.DirectoryRecovered(start, time.Time{})
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

// Guards against work sent to an endpoint that was draining when its entry lapsed, and
// so has left.
func TestDrainingEntryThatLapsesIsGoneAtOnce(t *testing.T) {
	r := New()
	e := entry("a", 1)
	e.Draining = true
	r.Put(e)
	r.DirectoryLost()
	r.DirectoryRecovered(start, time.Time{})
	if c, _ := r.Remove(start, "a"); c.State != "gone" {
		t.Fatalf("state %s, want gone", c.State)
	}
}

// Guards against state of an earlier incarnation that is kept for an endpoint that
// restarted under the same id.
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

// Guards against using an endpoint again after it announced in a response that it is
// leaving, because the directory, an older copy of it or a peer still shows it as ready.
func TestEndpointThatSaidItLeavesStaysOut(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	c, _ := r.MarkLeaving(start, Incarnation{"a", 1})
	expect(t, []Change{c}, "a draining")
	if !c.Entry.Leaving {
		t.Error("the change does not say that the endpoint leaves")
	}
	if c, ok := r.Put(entry("a", 1)); ok {
		t.Fatalf("the directory's entry changed it to %v", c)
	}
	if c, ok := r.Remove(start, "a"); !ok || c.State != StateGone {
		t.Fatalf("removal: %v", c)
	}
	c, _ = r.Put(entry("a", 1))
	expect(t, []Change{c}, "a draining")
	expect(t, r.Restore(start.Add(time.Hour), []Entry{entry("a", 1)}))
	c, _ = r.Put(entry("a", 2))
	expect(t, []Change{c}, "a restarted")
	if c.Entry.Draining {
		t.Error("a later start of the endpoint is draining")
	}
}

// Guards against a notice from an earlier incarnation of an endpoint that takes the
// current one out of use.
func TestNoticeOfAnEarlierStartIsIgnored(t *testing.T) {
	r := New()
	r.Put(entry("a", 2))
	if c, ok := r.MarkLeaving(start, Incarnation{"a", 1}); ok {
		t.Fatalf("change %v", c)
	}
}

// Guards against a store that comes back from an older copy, by which endpoints in use
// whose entries it lost would be dropped, and endpoints that have left used again.
func TestOlderCopyOfTheDirectory(t *testing.T) {
	r := New()
	for _, id := range []string{"new", "left", "gone", "again"} {
		r.Put(entry(id, 1))
	}
	draining := entry("left", 1)
	draining.Draining = true
	r.Put(draining)
	r.Remove(start, "gone")
	r.Put(entry("again", 2))
	copied := []Entry{entry("left", 1), entry("gone", 1), entry("again", 1)}
	changes := r.Restore(start, copied)
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Entry.ID, b.Entry.ID) })
	expect(t, changes, "again lapsed", "new lapsed")
	expect(t, r.Expire(start.Add(ReregistrationGrace-1)))
	c, _ := r.Put(entry("new", 1))
	expect(t, []Change{c}, "new ready")
	c, _ = r.Put(entry("again", 2))
	expect(t, []Change{c}, "again ready")
	// The grace has ended, and the entries of endpoints that are gone have lapsed in the
	// store.
	r.Remove(start.Add(5*time.Second), "gone")
	expect(t, r.Expire(start.Add(departureTTL)), "left ready")
}

// Guards against an endpoint of an older copy that is never used again although it is
// alive: its entry had lapsed before the store's outage.
func TestEntryThatOutlivesTheMemoryOfItsEndIsUsed(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	r.Remove(start, "a")
	expect(t, r.Restore(start.Add(time.Second), []Entry{entry("a", 1)}))
	expect(t, r.Expire(start.Add(departureTTL)))
	expect(t, r.Expire(start.Add(time.Second+departureTTL)), "a ready")
}

// Guards against dropping endpoints too early when the directory comes back from an
// older copy twice in a row, as in two drills: the second time must start a new grace.
func TestSecondOlderCopyBeginsTheGraceAnew(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	expect(t, r.Restore(start, nil), "a lapsed")
	expect(t, r.Restore(start.Add(time.Second), []Entry{entry("a", 1)}), "a ready")
	expect(t, r.Restore(start.Add(1500*time.Millisecond), nil), "a lapsed")
	expect(t, r.Expire(start.Add(ReregistrationGrace)))
	expect(t, r.Expire(start.Add(1500*time.Millisecond+ReregistrationGrace)), "a gone")
}

// Guards against an endpoint that started again and is taken for the process that the directory
// still shows, and against what is known of the new one being dropped as the directory shows it.
func TestEndpointThatStartedAgainIsUnlistedUntilTheDirectoryShowsIt(t *testing.T) {
	r := New()
	old, restarted := entry("a", 1), entry("a", 2)
	old.Version, restarted.Version = "v1", "v2"
	r.Put(old)
	observe := func(born int64, want ...string) {
		t.Helper()
		c, changed := r.Observe(start, "a", born)
		if changed != (len(want) > 0) || changed && states([]Change{c})[0] != want[0] {
			t.Fatalf("change %v %v, want %v", c, changed, want)
		}
	}
	put := func(e Entry, unlisted bool, want ...string) {
		t.Helper()
		var changes []Change
		if c, changed := r.Put(e); changed {
			changes = append(changes, c)
		}
		expect(t, changes, want...)
		if got, _ := r.Entry("a"); got.Unlisted != unlisted {
			t.Fatalf("entry %+v, want unlisted %v", got, unlisted)
		}
	}
	observe(1)
	observe(2, "a restarted")
	observe(2)
	put(old, true)
	put(restarted, false, "a ready")
	// The old process's last write is performed late.
	put(old, false, "a restarted")
	observe(2, "a restarted")
	put(restarted, false, "a ready")
	// A faulty statement is corrected by the next one.
	observe(5, "a restarted")
	observe(2, "a restarted")
	put(restarted, false)
	if got, _ := r.Entry("a"); got != restarted {
		t.Errorf("entry %+v, want %+v", got, restarted)
	}
}

// Guards against an unlisted endpoint whose leaving, or whose entry at a peer, makes it count as
// listed with the version of the process before.
func TestUnlistedEndpointStaysUnlisted(t *testing.T) {
	r := New()
	r.Put(entry("a", 1))
	r.Observe(start, "a", 2)
	r.MarkLeaving(start, Incarnation{ID: "a", Born: 2})
	left, _ := r.Entry("a")
	if !left.Unlisted || !left.Draining {
		t.Errorf("entry %+v, want an unlisted one that is draining", left)
	}
	peer := New()
	peer.Put(left)
	if got, _ := peer.Entry("a"); !got.Unlisted || got.Born != 2 {
		t.Errorf("entry %+v at a peer, want an unlisted one", got)
	}
	c, _ := peer.Put(entry("a", 2))
	expect(t, []Change{c}, "a ready")
	if c.Entry.Unlisted {
		t.Error("the directory shows the process at a peer, and the endpoint is unlisted")
	}
}

// Guards against a directory that states further endpoints without end, which fill the memory
// of each gateway, and against one that then can neither change nor replace the known ones.
func TestEntriesWithoutEndAreBounded(t *testing.T) {
	r := New()
	left := 0
	for i := range 2 * maxEntries {
		if c, ok := r.Put(entry(fmt.Sprint("e-", i), 1)); !ok {
			t.Fatalf("entry %d: no change", i)
		} else if c.State == StateLeftOut {
			left++
		}
	}
	known := 0
	r.Entries(func(Entry) { known++ })
	if known != maxEntries || left != maxEntries {
		t.Errorf("%d entries are known and %d were left out, want %d of each", known, left, maxEntries)
	}
	restarted, _ := r.Put(entry("e-0", 2))
	gone, _ := r.Remove(start, "e-1")
	added, _ := r.Put(entry("new", 1))
	expect(t, []Change{restarted, gone, added}, "e-0 restarted", "e-1 gone", "new ready")
}
