package admission

import (
	"fmt"
	"testing"
	"time"
)

func sharesGate() *Gate {
	g := newGate()
	g.SetAccountShares(true)
	return g
}

// Guards against a class that gets nothing while another has the engines. Load pattern: chats
// of the highest rank of which half are late and long prompts of the lowest one.
func TestFloorKeepsAPartOfTheServiceForEachClass(t *testing.T) {
	g := sharesGate()
	now := start
	var chats, plans float64
	for i := range 20000 {
		now = now.Add(10 * time.Millisecond)
		if g.Decide(now, chat(0), waiting(time.Duration(100+900*(i%2))*time.Millisecond)).Admitted {
			chats += float64(chat(0).Prompt)
		}
		if i%5 == 0 && g.Decide(now, plan(2), busyChoice).Admitted {
			plans += float64(plan(2).Prompt)
		}
	}
	if share := plans / (chats + plans); share < 0.05 {
		t.Errorf("long prompts had %.4f of the admitted prompt tokens, want 0.05", share)
	}
}

// Guards against urgent requests that are refused for a floor or a share: long prompts come
// in every second 10 s, and an account of the urgent class is far above the level.
func TestNoClassWithPrecedenceIsRefusedForAFloorOrAShare(t *testing.T) {
	g := sharesGate()
	now := start
	served := now
	for i := range 5000 {
		now = now.Add(10 * time.Millisecond)
		less := plan(2)
		less.Account = fmt.Sprint(i % 8)
		if i/1000%2 == 0 && g.Decide(now, less, busyChoice).Admitted {
			served = now
		}
		urgent := chat(0)
		urgent.Account = fmt.Sprint(max(i%24-12, 0))
		d := g.Decide(now, urgent, waiting(time.Duration(100+900*(i%2))*time.Millisecond))
		if !d.Admitted && now.Sub(served) < recentWindow {
			t.Fatalf("request %d: %+v while less urgent work is served", i, d)
		}
	}
}

// Guards against requests of an added route that are refused because its history is short:
// the first prompt of each of 20 routes is large, so that it seemed to yield to all others.
func TestAddedRouteIsTreatedLikeItsSiblings(t *testing.T) {
	g := sharesGate()
	now := start
	offered, admitted := [2]float64{}, [2]float64{}
	for i := range 6000 {
		now = now.Add(10 * time.Millisecond)
		r, c := chat(1), waiting(time.Duration(i*37%700)*time.Millisecond)
		added := i >= 2000 && i%20 == 0
		which := 0
		if added {
			r.Route, which = fmt.Sprint("added", i/200), 1
			if i%200 == 0 {
				r.Prompt = r.Prompt * 5 / 2
			}
		} else {
			r.Prompt = r.Prompt * (5 + i%6) / 8
		}
		d := g.Decide(now, r, c)
		if i >= 2000 {
			offered[which]++
			if d.Admitted {
				admitted[which]++
			}
		}
	}
	first, added := admitted[0]/offered[0], admitted[1]/offered[1]
	t.Logf("admitted: first route %.3f, added route %.3f", first, added)
	if added < first-0.05 {
		t.Errorf("%.3f of the added route admitted, of the first %.3f", added, first)
	}
}

// Guards against a Retry-After that does not space out the account above the level, or exceeds
// the time in which its share covers its backlog.
func TestRetryAfterGrowsWithTheDistanceAboveTheLevel(t *testing.T) {
	x := sharesGate().shares
	const present = 300 * time.Millisecond
	within := Share{Standing: WithinShare, Level: 10, Demand: 5}
	if d := x.retryAfter(within, present); d != present {
		t.Errorf("%v within the share, want %v", d, present)
	}
	previous := present
	for _, factor := range []float64{3, 9, 25} {
		backlog := time.Duration((factor - 1) * float64(decayTime))
		d := x.retryAfter(Share{Standing: AboveShare, Level: 10, Demand: 10 * factor}, present)
		if d <= previous || d > backlog {
			t.Errorf("%v at %v times the level, want above %v, at most %v", d, factor, previous, backlog)
		}
		previous = d
	}
}

// Guards against demands of a silent peer that count on, and against ones that expire between
// two statements.
func TestDemandsOfASilentPeerExpire(t *testing.T) {
	g := sharesGate()
	k := RequestClass{Service: "pool", Route: "chat"}
	g.SetPeerDemands(start, "peer", []Demand{{Class: k, Account: "a", Offered: 9, Admitted: 3}})
	for _, c := range []struct{ age, maxAge time.Duration }{{MinDemandAge, 0}, {4 * time.Second, 4 * time.Second}} {
		g.ExpireDemands(start.Add(c.age), c.maxAge)
		if d := g.shares.class(k).demand(start.Add(c.age), "a"); d != 9 {
			t.Errorf("demand %v after %v, want 9", d, c.age)
		}
	}
	g.ExpireDemands(start.Add(4*time.Second+1), 4*time.Second)
	if n := len(g.shares.classes) + len(g.shares.peers); n != 0 {
		t.Errorf("%d classes and peers are left", n)
	}
}
