package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(n int) quarantine.Fingerprint {
	return quarantine.Fingerprint{byte(n), byte(n >> 8)}
}

func runs(started time.Time, numbers ...int) []quarantine.Run {
	var out []quarantine.Run
	for _, n := range numbers {
		out = append(out, quarantine.Run{Fingerprint: fingerprint(n), Started: started})
	}
	return out
}

// Guards against a request that crashes each endpoint at which it runs and is not
// condemned, against innocent requests that are condemned because they were running
// beside it, and against a faulty endpoint that crashes by itself and condemns the
// requests that it runs.
func TestCrashesCondemnOnlyTheCause(t *testing.T) {
	tracker := quarantine.NewTracker()
	expect := func(at string, want ...quarantine.Status) {
		t.Helper()
		for i, status := range want {
			if got := tracker.Status(start, fingerprint(i+1)); got != status {
				t.Errorf("%s: request %d has status %d, want %d", at, i+1, got, status)
			}
		}
	}
	const clear, suspect, condemned = quarantine.Clear, quarantine.Suspect, quarantine.Condemned
	tracker.Crashed(start, "a", runs(start, 1, 2, 3))
	expect("first crash", suspect, suspect, suspect, clear)
	tracker.Crashed(start, "b", runs(start, 1, 2, 4))
	expect("second crash, none alone", suspect, suspect, suspect, suspect)
	tracker.Completed(fingerprint(2))
	expect("run to the end", suspect, clear, suspect, suspect)
	tracker.Crashed(start, "a", runs(start, 3))
	expect("same endpoint again", suspect, clear, suspect, suspect)
	if got := tracker.Crashed(start, "c", runs(start, 1, 1)); !slices.Equal(got, []quarantine.Fingerprint{fingerprint(1)}) {
		t.Errorf("condemned %v", got)
	}
	expect("alone at another endpoint", condemned, clear, suspect, suspect)
	tracker.Completed(fingerprint(1))
	expect("late completion", condemned)
}

// Guards against evidence that is lost in the exchange between processes, and against
// records that do not expire after their lifetime, counted from the last crash: because
// of repeated merges, or because they come from a process with a fast clock.
func TestLifetimeAndMerge(t *testing.T) {
	tracker, peer := quarantine.NewTracker(), quarantine.NewTracker()
	tracker.Crashed(start, "a", runs(start, 1, 2))
	later := start.Add(10 * time.Minute)
	peer.Merge(later, tracker.Records(later))
	peer.Crashed(later, "b", runs(later, 1))
	for range 2 {
		peer.Merge(later, tracker.Records(later))
		tracker.Merge(later, peer.Records(later))
	}
	for _, x := range []*quarantine.Tracker{tracker, peer} {
		if x.Status(later, fingerprint(1)) != quarantine.Condemned || x.Status(later, fingerprint(2)) != quarantine.Suspect {
			t.Errorf("records after the exchange: %v", x.Records(later))
		}
		if got := x.Status(start.Add(quarantine.RecordTTL), fingerprint(2)); got != quarantine.Clear {
			t.Errorf("status %d after the lifetime", got)
		}
		if x.Status(later.Add(quarantine.RecordTTL-1), fingerprint(1)) != quarantine.Condemned {
			t.Error("lifetime does not count from the last crash")
		}
		if got := x.Records(later.Add(quarantine.RecordTTL)); len(got) != 0 {
			t.Errorf("expired records %v", got)
		}
	}
	tracker.Merge(start, []quarantine.Record{{Fingerprint: fingerprint(9), Endpoints: []string{"a"}, Last: start.Add(time.Hour)}})
	if tracker.Status(start, fingerprint(9)) != quarantine.Suspect || tracker.Status(start.Add(quarantine.RecordTTL), fingerprint(9)) != quarantine.Clear {
		t.Error("a record from a fast clock was dropped or kept too long")
	}
}

// Guards against an unbounded number of records, and against new suspects that evict a
// condemned fingerprint instead of the oldest suspects.
func TestBounds(t *testing.T) {
	tracker := quarantine.NewTracker()
	tracker.Crashed(start, "a", runs(start, 0))
	tracker.Crashed(start, "b", runs(start, 0))
	for n := 1; n < 3000; n++ {
		tracker.Crashed(start.Add(time.Duration(n)), "a", runs(start, n, n+1))
	}
	at := start.Add(time.Second)
	if got := len(tracker.Records(at)); got != quarantine.MaxSuspects+1 {
		t.Errorf("%d records", got)
	}
	if tracker.Status(at, fingerprint(0)) != quarantine.Condemned || tracker.Status(at, fingerprint(1)) != quarantine.Clear {
		t.Error("the oldest suspect was kept or the condemned fingerprint dropped")
	}
}

// Guards against a request, suspect or not, that starts beside a suspect on probation,
// so that the cause of a crash would be ambiguous, and against a probation without end.
func TestSuspectsStartApart(t *testing.T) {
	tracker := quarantine.NewTracker()
	tracker.Crashed(start, "a", runs(start, 1, 2))
	tracker.Crashed(start, "a", runs(start, 3))
	tracker.Crashed(start, "b", runs(start, 3))
	proved := runs(start, 1)
	proved[0].FirstToken = start.Add(time.Millisecond)
	cases := []struct {
		name    string
		at      time.Time
		request int
		running []quarantine.Run
		want    bool
	}{
		{"suspect at an empty endpoint", start, 1, nil, true},
		{"suspect beside running work", start, 1, runs(start, 9), true},
		{"suspect beside a suspect on probation", start, 1, runs(start, 2), false},
		{"other work beside a suspect on probation", start.Add(quarantine.MaxProbation - 1), 9, runs(start, 1), false},
		{"after the probation", start.Add(quarantine.MaxProbation), 9, runs(start, 1), true},
		{"before the proof", start.Add(quarantine.ProbationAfterFirstToken), 9, proved, false},
		{"after the proof", start.Add(quarantine.ProbationAfterFirstToken + time.Millisecond), 9, proved, true},
		{"ordinary work", start, 9, runs(start, 8), true},
		{"condemned", start, 3, nil, false},
	}
	for _, c := range cases {
		if got := tracker.MayStart(c.at, fingerprint(c.request), c.running); got != c.want {
			t.Errorf("%s: may start %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against an innocent suspect that is condemned by a crash that another request
// may have caused: one that started after it, another suspect on probation, or any
// request once its own probation has ended.
func TestCrashBesideSuspectDoesNotCondemnIt(t *testing.T) {
	later := start.Add(time.Second)
	proved := runs(start, 1)
	proved[0].FirstToken = start.Add(time.Millisecond)
	cases := map[string][]quarantine.Run{
		"work that started after it": append(runs(start, 1), runs(later, 7)...),
		"another suspect beside it":  runs(start, 1, 2),
		"proved before":              proved,
	}
	for name, running := range cases {
		tracker := quarantine.NewTracker()
		tracker.Crashed(start, "a", runs(start, 1, 2))
		tracker.Crashed(later, "b", running)
		if tracker.Status(later, fingerprint(1)) == quarantine.Condemned {
			t.Errorf("%s: condemned", name)
		}
	}
}

// Guards against a crash that is not attributed to the suspect on probation, which then
// stays undetected, because other streams were already running at the endpoint.
func TestCrashBesideOlderStreamsCondemns(t *testing.T) {
	tracker := quarantine.NewTracker()
	tracker.Crashed(start, "a", runs(start, 1, 2))
	later := start.Add(time.Minute)
	running := append(runs(start.Add(time.Second), 7, 8), runs(later, 1)...)
	tracker.Crashed(later.Add(time.Millisecond), "b", running)
	for request, want := range map[int]quarantine.Status{1: quarantine.Condemned, 2: quarantine.Suspect, 7: quarantine.Suspect} {
		if got := tracker.Status(later, fingerprint(request)); got != want {
			t.Errorf("request %d has status %d, want %d", request, got, want)
		}
	}
}
