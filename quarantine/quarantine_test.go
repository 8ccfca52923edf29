package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func print(n int) quarantine.Fingerprint {
	return quarantine.Fingerprint{byte(n), byte(n >> 8)}
}

func runs(started time.Time, numbers ...int) []quarantine.Run {
	var out []quarantine.Run
	for _, n := range numbers {
		out = append(out, quarantine.Run{Fingerprint: print(n), Started: started})
	}
	return out
}

// Guards against a request that crashes each endpoint it runs at, against
// innocent requests condemned with it, and against a faulty endpoint that
// condemns whatever it runs.
func TestCrashesCondemnOnlyTheCause(t *testing.T) {
	table := quarantine.New()
	expect := func(at string, want ...quarantine.Verdict) {
		t.Helper()
		for i, verdict := range want {
			if got := table.Verdict(start, print(i+1)); got != verdict {
				t.Errorf("%s: request %d has verdict %d, want %d", at, i+1, got, verdict)
			}
		}
	}
	const clear, suspect, condemned = quarantine.Clear, quarantine.Suspect, quarantine.Condemned
	table.Crashed(start, "a", runs(start, 1, 2, 3))
	expect("first crash", suspect, suspect, suspect, clear)
	table.Crashed(start, "b", runs(start, 1, 2, 4))
	expect("second crash, none alone", suspect, suspect, suspect, suspect)
	table.Completed(print(2))
	expect("run to the end", suspect, clear, suspect, suspect)
	table.Crashed(start, "a", runs(start, 3))
	expect("same endpoint again", suspect, clear, suspect, suspect)
	if got := table.Crashed(start, "c", runs(start, 1, 1)); !slices.Equal(got, []quarantine.Fingerprint{print(1)}) {
		t.Errorf("condemned %v", got)
	}
	expect("alone at another endpoint", condemned, clear, suspect, suspect)
	table.Completed(print(1))
	expect("late completion", condemned)
}

// Guards against a condemnation without end and against evidence that is kept
// too long or lost with the exchange between processes.
func TestLifetimeAndMerge(t *testing.T) {
	table, peer := quarantine.New(), quarantine.New()
	table.Crashed(start, "a", runs(start, 1, 2))
	later := start.Add(10 * time.Minute)
	peer.Merge(later, table.Records(later))
	peer.Crashed(later, "b", runs(later, 1))
	for range 2 {
		peer.Merge(later, table.Records(later))
		table.Merge(later, peer.Records(later))
	}
	for _, x := range []*quarantine.Table{table, peer} {
		if x.Verdict(later, print(1)) != quarantine.Condemned || x.Verdict(later, print(2)) != quarantine.Suspect {
			t.Errorf("records after the exchange: %v", x.Records(later))
		}
		if got := x.Verdict(start.Add(quarantine.Lifetime), print(2)); got != quarantine.Clear {
			t.Errorf("verdict %d after the lifetime", got)
		}
		if x.Verdict(later.Add(quarantine.Lifetime-1), print(1)) != quarantine.Condemned {
			t.Error("lifetime does not count from the last crash")
		}
		if got := x.Records(later.Add(quarantine.Lifetime)); len(got) != 0 {
			t.Errorf("expired records %v", got)
		}
	}
	table.Merge(start, []quarantine.Record{{Fingerprint: print(9), Endpoints: []string{"a"}, Last: start.Add(time.Hour)}})
	if table.Verdict(start, print(9)) != quarantine.Suspect || table.Verdict(start.Add(quarantine.Lifetime), print(9)) != quarantine.Clear {
		t.Error("a record of a fast clock was dropped or kept too long")
	}
}

// Guards against an unbounded table and against suspects that push out a
// condemned fingerprint.
func TestBounds(t *testing.T) {
	table := quarantine.New()
	table.Crashed(start, "a", runs(start, 0))
	table.Crashed(start, "b", runs(start, 0))
	for n := 1; n < 3000; n++ {
		table.Crashed(start.Add(time.Duration(n)), "a", runs(start, n, n+1))
	}
	at := start.Add(time.Second)
	if got := len(table.Records(at)); got != quarantine.MaxSuspects+1 {
		t.Errorf("%d records", got)
	}
	if table.Verdict(at, print(0)) != quarantine.Condemned || table.Verdict(at, print(1)) != quarantine.Clear {
		t.Error("the oldest suspect was kept or the condemned fingerprint dropped")
	}
}

// Guards against two suspects or a suspect and new work starting together, which
// would leave the cause of a crash open, and against a probation without end.
func TestSuspectsStartApart(t *testing.T) {
	table := quarantine.New()
	table.Crashed(start, "a", runs(start, 1, 2))
	table.Crashed(start, "a", runs(start, 3))
	table.Crashed(start, "b", runs(start, 3))
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
		{"other work beside a suspect on probation", start.Add(quarantine.Probation - 1), 9, runs(start, 1), false},
		{"after the probation", start.Add(quarantine.Probation), 9, runs(start, 1), true},
		{"before the proof", start.Add(quarantine.ProofAfterFirst), 9, proved, false},
		{"after the proof", start.Add(quarantine.ProofAfterFirst + time.Millisecond), 9, proved, true},
		{"ordinary work", start, 9, runs(start, 8), true},
		{"condemned", start, 3, nil, false},
	}
	for _, c := range cases {
		if got := table.MayStart(c.at, print(c.request), c.running); got != c.want {
			t.Errorf("%s: may start %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against the condemnation of an innocent suspect: its endpoint crashes
// with work that started after it, or after it has proved itself.
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
		table := quarantine.New()
		table.Crashed(start, "a", runs(start, 1, 2))
		table.Crashed(later, "b", running)
		if table.Verdict(later, print(1)) == quarantine.Condemned {
			t.Errorf("%s: condemned", name)
		}
	}
}

// Guards against a request that is not found because other streams were running
// at the endpoint that it crashed.
func TestCrashBesideOlderStreamsCondemns(t *testing.T) {
	table := quarantine.New()
	table.Crashed(start, "a", runs(start, 1, 2))
	later := start.Add(time.Minute)
	running := append(runs(start.Add(time.Second), 7, 8), runs(later, 1)...)
	table.Crashed(later.Add(time.Millisecond), "b", running)
	for request, want := range map[int]quarantine.Verdict{1: quarantine.Condemned, 2: quarantine.Suspect, 7: quarantine.Suspect} {
		if got := table.Verdict(later, print(request)); got != want {
			t.Errorf("request %d has verdict %d, want %d", request, got, want)
		}
	}
}
