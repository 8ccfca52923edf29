package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func named(perSecond float64) Report { return Report{State: Limited, PerSecond: perSecond} }

// limitOf returns the known limit of an endpoint; negative for none.
func limitOf(t *Table, id uint64) float64 {
	if e := t.endpoints[id]; e != nil && !e.lifted {
		return e.perSecond
	}
	return -1
}

// Guards against a limit that is raised or lifted by a response that the endpoint made
// before it named the limit, and against a limit that is never raised or lifted.
func TestLimitIsLiftedOnlyByALaterResponse(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type response struct {
		sent, received int
		report         Report
		want           float64
	}
	for name, responses := range map[string][]response{
		"made before":        {{0, 100, named(2), 2}, {50, 110, Report{}, 2}},
		"made after":         {{0, 100, named(2), 2}, {101, 110, Report{}, -1}},
		"raised too early":   {{0, 100, named(2), 2}, {50, 110, named(8), 2}},
		"raised":             {{0, 100, named(2), 2}, {101, 110, named(8), 8}},
		"lowered":            {{0, 100, named(2), 2}, {50, 110, named(1), 1}},
		"confirmed meantime": {{0, 100, named(2), 2}, {50, 120, named(2), 2}, {110, 130, Report{}, 2}},
		"unreadable":         {{0, 100, named(2), 2}, {101, 110, Report{State: Unreadable}, 2}},
		"named again":        {{0, 100, named(2), 2}, {101, 110, Report{}, -1}, {105, 120, named(2), 2}},
	} {
		table := New(start, "")
		for i, r := range responses {
			table.Observe(at(r.received), at(r.sent), 1, r.report)
			if got := limitOf(table, 1); got != r.want {
				t.Errorf("%s: limit %v after response %d, want %v", name, got, i, r.want)
			}
		}
	}
	table := New(start, "")
	table.Observe(at(100), at(0), 1, named(2))
	table.Observe(at(200), time.Time{}, 1, Report{})
	if limitOf(table, 1) != 2 {
		t.Error("a response that may answer another request has lifted the limit")
	}
}

// Guards against a peer that restores or lifts a limit by what it knew earlier than this
// gateway, and against peers that never hear that a limit was lifted.
func TestLatestKnowledgeOfALimitWins(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a, b := New(start, "10.0.0.1:9"), New(start, "10.0.0.2:9")
	exchange := func(ms int, from, to *Table, address string) {
		site, entries := from.Statement(at(ms), 60*time.Millisecond, 10)
		to.ApplyStatement(at(ms), address, site, entries)
	}
	a.Observe(at(100), at(90), 1, named(2))
	if !a.HasUnstated() {
		t.Error("a new limit is not stated early")
	}
	exchange(110, a, b, "10.0.0.1:9")
	if limitOf(b, 1) != 2 {
		t.Fatal("the peer does not know the limit")
	}
	b.Observe(at(220), at(200), 1, Report{})
	exchange(230, a, b, "10.0.0.1:9")
	if limitOf(b, 1) != -1 {
		t.Error("an earlier statement has restored the limit")
	}
	exchange(240, b, a, "10.0.0.2:9")
	if limitOf(a, 1) != -1 {
		t.Error("the peer does not know that the limit was lifted")
	}
}

// Guards against a table that grows without a bound, and against a limit that is not
// recorded because the table is full.
func TestTableIsBounded(t *testing.T) {
	table := New(start, "")
	for i := range maxEndpoints + 10 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		table.Observe(now, now, uint64(i), named(1))
		if limited, _ := table.Check(now, uint64(i)); !limited {
			t.Fatalf("limit %d is not known", i)
		}
	}
	if n := len(table.endpoints); n > maxEndpoints {
		t.Errorf("%d endpoints, want %d at most", n, maxEndpoints)
	}
	for i := range maxPeers + 10 {
		table.ApplyStatement(start, fmt.Sprint(i), 0, nil)
	}
	if n := len(table.peers); n > maxPeers {
		t.Errorf("%d peers, want %d at most", n, maxPeers)
	}
}

// Guards against a faulty peer whose numbers make every comparison false, so that a limit is
// never kept or never used.
func TestEntriesOfAFaultyPeerAreIgnored(t *testing.T) {
	for _, entry := range []Entry{
		{Endpoint: 1, PerSecond: math.NaN()}, {Endpoint: 1, PerSecond: math.Inf(1)}, {Endpoint: 1, PerSecond: -1},
		{Endpoint: 1, PerSecond: 1, Wanted: math.NaN()}, {Endpoint: 1, PerSecond: 1, Wanted: math.Inf(1)},
	} {
		table := New(start, "10.0.0.1:9")
		table.ApplyStatement(start, "10.0.0.2:9", 0, []Entry{entry})
		if limited, _ := table.Check(start, 1); limited {
			t.Errorf("%+v was applied", entry)
		}
	}
}

// Guards against an absurd limit whose slots take the processor's time and memory.
func TestAbsurdLimitIsBounded(t *testing.T) {
	table := New(start, "")
	table.Observe(start, start, 1, named(1e15))
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Second) {
		table.Check(now, 1)
		if n := len(table.endpoints[1].won); n > 2*maxRate {
			t.Fatalf("%d slots are kept", n)
		}
	}
}

// Guards against a faulty peer whose site time skips years, after which no gateway would
// claim anything.
func TestAbsurdSiteTimeIsIgnored(t *testing.T) {
	table := New(start, "10.0.0.1:9")
	table.ApplyStatement(start, "10.0.0.2:9", maxSiteTime, nil)
	if site := table.clock.since(start); site != 0 {
		t.Errorf("site time %s", site)
	}
}

// Guards against gateways that began at different times and draw different slots at the same
// moment, and against a gateway that claims the slots of a time that it skips.
func TestGatewaysShareTheSiteTime(t *testing.T) {
	now := start.Add(20 * time.Second)
	first, second := New(start, "10.0.0.1:9"), New(start.Add(15*time.Second), "10.0.0.2:9")
	for _, table := range []*Table{first, second} {
		table.Observe(now, now, 1, named(2))
	}
	site, entries := first.Statement(now, time.Second, 10)
	second.ApplyStatement(now, "10.0.0.1:9", site, entries)
	if got, want := second.clock.since(now), first.clock.since(now); got != want {
		t.Errorf("site time %s, want %s", got, want)
	}
	if e := second.endpoints[1]; len(e.won) > 0 {
		t.Errorf("the skipped time yields %d slots", len(e.won))
	}
	if e := second.endpoints[1]; e.next <= slotAt(site, 2) {
		t.Errorf("the next slot is %d, want one after %d", e.next, slotAt(site, 2))
	}
}

// Guards against an allowance that two gateways claim: whatever their demands are and
// however they change and however late the statements are, a slot belongs to one gateway at most, as long as statements
// arrive within the spread.
func TestNoAllowanceIsClaimedTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const interval = 60 * time.Millisecond
		perSecond := rapid.Float64Range(0.1, 20).Draw(rt, "limit")
		n := rapid.IntRange(2, 8).Draw(rt, "gateways")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		var tables []*Table
		for i := range n {
			tables = append(tables, New(start, fmt.Sprint(i)))
			tables[i].Observe(start, start, 1, named(perSecond))
		}
		claimed := make(map[int64]int)
		var inFlight []func(now time.Time) bool
		demands := make([]float64, n)
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(interval) {
			for i, table := range tables {
				if rng.Float64() < 0.01 {
					demands[i] = rng.Float64() * 30
				}
				if rng.Float64() < demands[i]*interval.Seconds() {
					table.Want(now, 1)
				}
				site, entries := table.Statement(now, interval, 10)
				for j, peer := range tables {
					arrival := now.Add(time.Duration(rng.Int64N(int64(2 * interval))))
					inFlight = append(inFlight, func(now time.Time) bool {
						arrived := !now.Before(arrival)
						if arrived && j != i {
							peer.ApplyStatement(now, fmt.Sprint(i), site, entries)
						}
						return arrived
					})
				}
			}
			inFlight = slices.DeleteFunc(inFlight, func(arrived func(time.Time) bool) bool { return arrived(now) })
			for _, table := range tables {
				table.Check(now, 1)
				e := table.endpoints[1]
				for _, slot := range e.won {
					claimed[int64(slot.Seconds()*perSecond+0.5)]++
				}
				e.won = nil
			}
		}
		for slot, times := range claimed {
			if times > 1 {
				rt.Fatalf("slot %d was claimed %d times", slot, times)
			}
		}
	})
}
