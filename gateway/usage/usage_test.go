package usage

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/oddvalue"
)

const testWindow = 5 * time.Second

// begin is the start of window 1000.
var begin = time.Unix(5000, 0)

func newTestLedger(name string) *Ledger {
	l := NewLedger(testWindow)
	l.Start(Source{name, uint64(begin.UnixMicro())}, begin)
	return l
}

// tell passes a statement of up to 256 entries on.
func tell(from, to *Ledger) {
	entries := from.Statement(256)
	if to != nil {
		to.Apply(from.self, from.Final(), entries)
	}
}

func checkTotals(t *testing.T, l *Ledger, w int64, want map[string]uint64) {
	t.Helper()
	if got := l.Totals(w); !maps.Equal(got, want) {
		t.Errorf("window %d has %v, want %v", w, got, want)
	}
}

// Guards against counts that are lost or added twice when a checkpoint is merged with the
// statements of the same source, in any order and more than once.
func TestCheckpointsAndStatementsAreNotAddedTwice(t *testing.T) {
	a, b, c := newTestLedger("a"), newTestLedger("b"), newTestLedger("c")
	truth := map[string]uint64{}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		account := fmt.Sprintf("account%d", rng.IntN(9))
		from := []*Ledger{a, b}[rng.IntN(2)]
		from.Count(1000, account)
		truth[account]++
		tell(a, b)
		rows, err := b.Encode()
		if err != nil || len(rows) != 1 {
			t.Fatalf("%d rows, error %v", len(rows), err)
		}
		for _, l := range []*Ledger{a, c} {
			if err := l.Merge(rows[0]); err != nil {
				t.Fatal(err)
			}
		}
		tell(b, c)
	}
	for _, l := range []*Ledger{a, b, c} {
		checkTotals(t, l, 1000, truth)
		if first, latest, ok := l.Windows(); first != 1000 || latest != 1000 || !ok {
			t.Errorf("windows %d to %d, %t", first, latest, ok)
		}
	}
	revision := c.Revision()
	rows, _ := b.Encode()
	if err := c.Merge(rows[0]); err != nil || c.Revision() != revision {
		t.Errorf("merging again: error %v, revision %d became %d", err, revision, c.Revision())
	}
	if c.Merge([]byte("no checkpoint")) == nil {
		t.Error("an invalid row was merged")
	}
}

// Guards against a report without the counts of a peer that was cut off for longer than a
// changed count is repeated, although it stated them final.
func TestWindowsWithMissedCountsAreNotComplete(t *testing.T) {
	a, b := newTestLedger("a"), newTestLedger("b")
	for n := range 100 {
		a.Count(1000, fmt.Sprintf("account%d", n))
	}
	for range 20 {
		tell(a, nil)
	}
	for _, l := range []*Ledger{a, b} {
		l.Advance(begin.Add(testWindow))
		l.Finalize(1000)
	}
	for n := 1; ; n++ {
		tell(a, b)
		counts := len(b.Totals(1000))
		if complete := b.Complete(1000); complete != (counts == 100) {
			t.Fatalf("complete is %t with %d of 100 counts", complete, counts)
		}
		if counts == 100 {
			break
		}
		if n == 10 {
			t.Fatalf("%d counts after %d statements", counts, n)
		}
	}
}

// Guards against counts that starve where more accounts change than a statement holds.
func TestCountsOfManyAccountsArriveWithinFewStatements(t *testing.T) {
	a, b := newTestLedger("a"), newTestLedger("b")
	for n := range 840 {
		a.Count(1000, fmt.Sprintf("account%d", n))
	}
	for range 4 {
		a.Count(1000, "account0")
		tell(a, b)
	}
	if got := len(b.Totals(1000)); got != 840 {
		t.Errorf("%d accounts arrived, want 840", got)
	}
}

// Guards against reports that lack the counts of a peer that is cut off for a moment, and
// against reports that wait for one that has drained.
func TestSilentSourcesAreAwaitedUnlessTheyLeft(t *testing.T) {
	for _, test := range []struct {
		name  string
		final int64
		// replaced is set if a later process states something at the same address.
		replaced bool
		// incomplete are the windows that are not complete.
		incomplete []int64
	}{
		{"silent", 999, false, []int64{1000, 1001}},
		{"drained", Closed, false, nil},
		{"restarted", 999, true, []int64{1000}},
	} {
		l := newTestLedger("l")
		peer := Source{"peer", uint64(begin.UnixMicro())}
		l.Apply(peer, test.final, []Entry{{1000, "", 1}, {1000, "x", 1}})
		l.Advance(begin.Add(testWindow))
		if test.replaced {
			l.Apply(Source{"peer", peer.Incarnation + 5e6}, Closed, nil)
		}
		l.Advance(begin.Add(4 * testWindow))
		l.Finalize(1003)
		var incomplete []int64
		for w := int64(999); w < 1004; w++ {
			if !l.Complete(w) {
				incomplete = append(incomplete, w)
			}
		}
		if fmt.Sprint(incomplete) != fmt.Sprint(test.incomplete) {
			t.Errorf("%s: incomplete %v, want %v", test.name, incomplete, test.incomplete)
		}
		checkTotals(t, l, 1000, map[string]uint64{"x": 1})
	}
}

// Guards against memory that grows with time, and with what peers state.
func TestLedgersAreBounded(t *testing.T) {
	l := newTestLedger("l")
	for n := range 2 * maxSources {
		l.Apply(Source{fmt.Sprint("peer", n), 1}, 0, []Entry{{1000, "x", 1}, {5000, "x", 1}, {900, "x", 1}})
	}
	for n := range 2 * maxAccounts {
		l.Count(1000, fmt.Sprint("account", n))
		l.Apply(Source{"peer0", 1}, 0, []Entry{{1000, fmt.Sprint("account", n), 1}})
	}
	if len(l.sources) != maxSources || l.entries > maxSources+2*maxAccounts || l.Dropped() == 0 {
		t.Errorf("%d sources, %d counts, %d dropped", len(l.sources), l.entries, l.Dropped())
	}
	l.Advance(begin.Add(keptWindows * testWindow))
	if len(l.sources) != 1 || l.entries != 0 || len(l.outbox.all)+len(l.outbox.queue)+len(l.outbox.known)+len(l.outbox.repeats) != 0 {
		t.Errorf("%d sources, %d counts and %v remain of windows that have left", len(l.sources), l.entries, l.outbox)
	}
}

// Guards against counts that change after they were stated final, which peers have reported.
func TestFinalWindowsDoNotChange(t *testing.T) {
	l := newTestLedger("l")
	l.Advance(begin.Add(testWindow))
	l.Finalize(1000)
	l.Count(1000, "x")
	checkTotals(t, l, 1000, map[string]uint64{})
	checkTotals(t, l, 1001, map[string]uint64{"x": 1})
}

// Guards against checkpoint rows that the store refuses: those of the largest site, and of a
// single source with the most accounts.
func TestCheckpointRowsAreBounded(t *testing.T) {
	l := newTestLedger("gateway")
	for n := range maxAccounts {
		l.Count(1000, fmt.Sprintf("client-account-%d", n))
	}
	l.Advance(begin.Add(7 * testWindow))
	for g := range 409 {
		for w := int64(1000); w < 1008; w++ {
			for n := range 20 {
				l.Apply(Source{fmt.Sprintf("10.0.0.%d:9000", g), 1}, w-1, []Entry{{w, fmt.Sprintf("client-account-%d", (g*7+n)%840), uint64(1 + n*100)}})
			}
		}
	}
	rows, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	merged := newTestLedger("other")
	merged.Advance(begin.Add(7 * testWindow))
	sum := 0
	for _, row := range rows {
		sum += len(row)
		if len(row) > maxRowBytes {
			t.Errorf("row of %d bytes", len(row))
		}
		if err := merged.Merge(row); err != nil {
			t.Fatal(err)
		}
	}
	for w := int64(1000); w < 1008; w++ {
		checkTotals(t, merged, w, l.Totals(w))
	}
	if sum > 1e6 || len(rows) > 100 {
		t.Errorf("%d rows with %d bytes exceed a transaction", len(rows), sum)
	}
	t.Logf("%d rows with %d bytes", len(rows), sum)
}

// Guards against counts that are never stated again on the largest site, where there is one
// statement in a window: a peer that missed the first statements would never have them.
func TestAllCountsAreStatedInRotation(t *testing.T) {
	a, b := newTestLedger("a"), newTestLedger("b")
	for n := range 3 * maxRefreshed {
		a.Count(1000, fmt.Sprintf("account%d", n))
	}
	for range statedRepeat {
		tell(a, nil)
	}
	for w := range 4 {
		now := begin.Add(time.Duration(w) * testWindow)
		a.Advance(now)
		b.Advance(now)
		tell(a, b)
	}
	if got := len(b.Totals(1000)); got != 3*maxRefreshed {
		t.Errorf("%d counts arrived, want %d", got, 3*maxRefreshed)
	}
}

// Guards against sums that wrap around since a malformed statement has a huge count: the
// counts of the other gateways would be subtracted from a report.
func TestHugeCountsAreIgnored(t *testing.T) {
	l := newTestLedger("l")
	l.Count(1000, "x")
	l.Apply(Source{"peer", 1}, 1000, []Entry{{1000, "", math.MaxUint64}, {1000, "x", math.MaxUint64}, {1000, "y", 2}})
	checkTotals(t, l, 1000, map[string]uint64{"x": 1, "y": 2})
	if l.Dropped() != 2 {
		t.Errorf("%d dropped, want 2", l.Dropped())
	}
	l.Advance(begin.Add(testWindow))
	l.Finalize(1000)
	if !l.Complete(1000) {
		t.Error("a huge sum keeps the window incomplete")
	}
}

// Guards against an odd row of counts that ends the gateways which read it, changes the counts
// of other sources, or keeps later rows from being merged.
func TestOddCheckpointHarmsNothing(t *testing.T) {
	a, b := newTestLedger("a"), newTestLedger("b")
	a.Count(1000, "acme")
	b.Count(1000, "acme")
	rows, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var sound wire.UsageCheckpoint
	if err := proto.Unmarshal(rows[0], &sound); err != nil {
		t.Fatal(err)
	}
	own, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, odd := range oddvalue.Message(&sound) {
		l := newTestLedger("c")
		_ = l.Merge(odd)
		l.Advance(begin.Add(time.Second))
		for _, row := range [][]byte{own[0], rows[0]} {
			if err := l.Merge(row); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		if n := l.Totals(1000)["acme"]; n < 2 {
			t.Errorf("%s: %d requests are counted, want 2 or more", name, n)
		}
		if _, err := l.Encode(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
