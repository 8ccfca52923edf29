package gateway

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

// Guards against endpoints that crash one after the other on requests that differ but share
// a part of their prompts, as in the incident BUDGET, and against refusing sound requests
// that share the other parts with them.
func TestRequestsWithADeadlyPartStopReachingEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const until = 30 * time.Second
		site := newCrashSite(1, 12, 5)
		site.deadlyFrom(4*time.Second, 0.8)
		site.run(until)
		site.check(t, until)
	})
}

var crashSeeds = flag.Uint64("crashes.seeds", 1, "number of seeds of each scenario with parts that crash endpoints")

// crashScenario is a site with a part that crashes endpoints from 4 s on, and what else
// happens there.
type crashScenario struct {
	name      string
	endpoints int
	gateways  int
	// perSecond is the number of requests with the part, of the whole site.
	perSecond float64
	events    func(s *crashSite)
}

// eachFrom lets do happen to each gateway, one every second from a time on.
func eachFrom(from time.Duration, do func(g *crashGateway)) func(*crashSite) {
	return func(s *crashSite) {
		for i, g := range s.gateways {
			s.after(from+time.Duration(i)*time.Second, func() { do(g) })
		}
	}
}

// allAt lets do happen to all gateways at each of the given times.
func allAt(do func(g *crashGateway), times ...time.Duration) func(*crashSite) {
	return func(s *crashSite) {
		for _, at := range times {
			s.after(at, func() {
				for _, g := range s.gateways {
					do(g)
				}
			})
		}
	}
}

func restart(g *crashGateway) { g.stop(time.Second) }

var crashScenarios = []crashScenario{
	{name: "few requests with the part", endpoints: 12, gateways: 5, perSecond: 0.3},
	{name: "many requests with the part", endpoints: 40, gateways: 5, perSecond: 15},
	{name: "one gateway", endpoints: 12, gateways: 1, perSecond: 1},
	{name: "the part beside different ones", endpoints: 12, gateways: 5, perSecond: 1, events: func(s *crashSite) { s.mixed = true }},
	{name: "thirty gateways", endpoints: 53, gateways: 30, perSecond: 4},
	{name: "gateways join", endpoints: 12, gateways: 5, perSecond: 1, events: func(s *crashSite) {
		for i := range 10 {
			s.after(7*time.Second+time.Duration(i)*time.Second, s.add)
		}
	}},
	{name: "gateways restart", endpoints: 12, gateways: 6, perSecond: 1, events: eachFrom(5*time.Second, restart)},
	{name: "all gateways are killed at once", endpoints: 12, gateways: 5, perSecond: 1, events: allAt(restart, 12*time.Second)},
	{name: "all gateways are killed again and again", endpoints: 12, gateways: 5, perSecond: 1, events: allAt(restart, 7*time.Second, 11*time.Second, 15*time.Second, 25*time.Second)},
	{name: "all gateways are killed while the store is down", endpoints: 12, gateways: 5, perSecond: 1, events: func(s *crashSite) {
		allAt(restart, 12*time.Second)(s)
		s.after(11*time.Second, func() { s.store.down = true })
		s.after(14*time.Second, func() { s.store.down = false })
	}},
	{name: "gateways freeze", endpoints: 12, gateways: 6, perSecond: 1, events: eachFrom(5*time.Second, func(g *crashGateway) { g.freeze(5 * time.Second) })},
	{name: "gateways drain and come back", endpoints: 12, gateways: 6, perSecond: 1, events: eachFrom(5*time.Second, func(g *crashGateway) {
		g.draining = true
		g.site.after(3*time.Second, func() { g.stop(time.Second) })
		g.site.after(5*time.Second, func() { g.draining = false })
	})},
	{name: "two gateways are cut off from their peers", endpoints: 12, gateways: 5, perSecond: 1, events: func(s *crashSite) {
		for _, g := range s.gateways[2:4] {
			s.after(2*time.Second, func() { g.cut(20 * time.Second) })
		}
	}},
	{name: "all gateways are cut off from each other", endpoints: 12, gateways: 5, perSecond: 1, events: allAt(func(g *crashGateway) { g.cut(20 * time.Second) }, 2*time.Second)},
	{name: "gateways are cut off after the verdict and restart", endpoints: 12, gateways: 5, perSecond: 1, events: func(s *crashSite) {
		for _, g := range s.gateways[2:] {
			s.after(15*time.Second, func() { g.cut(15 * time.Second) })
			s.after(16*time.Second, func() { restart(g) })
		}
	}},
	{name: "statements are lost", endpoints: 12, gateways: 6, perSecond: 1, events: func(s *crashSite) {
		for _, g := range s.gateways {
			g.lost = 0.3
		}
	}},
}

// Guards against a sum over all gateways that exceeds what the platform allows although each
// gateway stops in time: while gateways join, restart, are killed together, freeze, drain or
// are cut off from each other. Guards as strictly against refusing sound requests that share
// parts with those at fault.
func TestDeadlyPartsOverAllGateways(t *testing.T) {
	const until = 40 * time.Second
	for _, c := range crashScenarios {
		for seed := uint64(1); seed <= *crashSeeds; seed++ {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					site := newCrashSite(seed, c.endpoints, c.gateways)
					site.deadlyFrom(4*time.Second, c.perSecond)
					if c.events != nil {
						c.events(site)
					}
					site.run(until)
					t.Logf("seed %d, %d calls of the store", seed, site.store.calls)
					site.check(t, until)
				})
			})
		}
	}
}

// Guards against a part of prompts whose requests come in bursts, several at once at different
// gateways every five seconds: the crashes of a burst count as one round.
func TestDeadlyPartInBursts(t *testing.T) {
	const until = 40 * time.Second
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newCrashSite(seed, 24, 5)
				site.deadlyPerS = func(at time.Duration) float64 {
					const first, every, length, perSecond = 4 * time.Second, 5 * time.Second, 100 * time.Millisecond, 50
					if at < first || (at-first)%every >= length {
						return 0
					}
					return perSecond / float64(len(site.gateways))
				}
				site.run(until)
				site.check(t, until)
			})
		})
	}
}

// Guards against statements that are too old to stop the requests in time at the largest
// site, where one gateway sends a regular one every 4.9 s.
func TestDeadlyPartAtFourHundredGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const until = 18 * time.Second
		site := newCrashSite(1, 60, 400)
		site.soundPerS /= 2
		site.deadlyFrom(3*time.Second, 3)
		site.run(until)
		t.Logf("%d calls of the store", site.store.calls)
		site.check(t, until)
	})
}

// Guards against parts that stay condemned although they are sound: all endpoints crash
// together three times while every request holds the part, so that nothing else could clear it.
func TestSoundPartComesBackAfterAnOutageOfAllEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newCrashSite(1, 6, 5)
		site.deadlyFrom(time.Hour, 0)
		for _, at := range []time.Duration{5000 * time.Millisecond, 5300 * time.Millisecond, 5600 * time.Millisecond} {
			for i := range site.endpoints {
				if i%3 == int(at/(300*time.Millisecond))%3 {
					site.after(at, func() { site.crash(site.endpoints[i]) })
				}
			}
		}
		site.run(25 * time.Second)
		for name, part := range map[string]uint64{"first": firstPart, "rare": rarePart} {
			if share, asked := site.soundShare(part, 14*time.Second, 24*time.Second); share < servedShare {
				t.Errorf("%.2f of %d requests with the %s part are served after the outage", share, asked, name)
			}
		}
		if i := slices.IndexFunc(site.gateways, func(g *crashGateway) bool {
			requests, parts := g.gateway.dispatcher.condemnedSuspects()
			return requests+parts > 0
		}); i >= 0 {
			t.Errorf("gateway %d still condemns something", i)
		}
	})
}

// Guards against verdicts and versions that the store loses as it comes back from an older
// copy, and against writes of all gateways at once: one writes them again, and the others
// see that.
func TestRowsAreWrittenAgainAfterTheStoreCameBackOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newCrashSite(1, 12, 5)
		site.deadlyFrom(2*time.Second, 2)
		site.run(9 * time.Second)
		kept := len(site.store.rows[suspectsKey].Value)
		if kept == 0 {
			t.Fatal("no suspects are kept after the crashes")
		}
		// Nothing that a gateway observes itself from here on causes a write.
		site.deadlyPerS = func(time.Duration) float64 { return 0 }
		site.run(10 * time.Second)
		clear(site.store.rows)
		before := site.store.calls
		for _, g := range site.gateways {
			g.gateway.EndpointsRestored(site.entries())
		}
		site.run(13 * time.Second)
		if len(site.store.rows[suspectsKey].Value) == 0 {
			t.Error("the suspects are not written again")
		}
		if calls := site.store.calls - before; calls > 4*len(site.gateways) {
			t.Errorf("%d calls of the store", calls)
		}
	})
}

// Guards against suspects that can't be at fault: the last part of a prompt, which belongs to
// the request, and the parts of an answer that had begun long before its endpoint crashed.
func TestSuspectsOfABrokenAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			begunFor time.Duration
			want     int
		}{{-1, 3}, {0, 3}, {beginTime - time.Millisecond, 3}, {beginTime, 1}} {
			d := twoEndpointDispatcher(t)
			work := &placement.Work{Service: "s", Streaming: true, Target: time.Second, Parts: []placement.Part{{ID: 1}, {ID: 2}, {ID: 3}}}
			attempt, refusal := d.Admit(work, relay.AdmissionRequest{Fingerprint: 9, TimeLeft: time.Minute})
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			if c.begunFor >= 0 {
				attempt.Started()
				time.Sleep(c.begunFor)
			}
			attempt.Ended(relay.ResultBroken)
			reported := d.crashes.Statement(time.Now(), 1).Crashes
			if len(reported) != 1 || len(reported[0].Suspects) != c.want || slices.Contains(reported[0].Suspects, crashes.Suspect{IsPart: true, ID: 3}) {
				t.Errorf("an answer that began %v before: %v, want %d suspects without the last part", c.begunFor, reported, c.want)
			}
		}
	})
}

// Guards against gateways that are cut off from each other and each let a deadly part crash
// as many endpoints as one may: what one has stored reaches the others.
func TestVerdictReachesGatewaysThatAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newCrashSite(1, 12, 3)
		site.deadlyPerS = func(time.Duration) float64 { return 0 }
		site.soundPerS, site.rarePerS = 0, 0
		site.run(3 * time.Second)
		for _, g := range site.gateways {
			g.cut(time.Hour)
		}
		site.run(12 * time.Second)
		suspects := []crashes.Suspect{{IsPart: true, ID: deadlyPart}}
		first := site.gateways[0].gateway.dispatcher
		for i := range 3 {
			first.mu.Lock()
			first.crashes.RecordLocal(crashes.Crash{Endpoint: uint64(i), At: time.Now(), Suspects: suspects})
			first.mu.Unlock()
			site.run(site.now() + time.Second)
		}
		site.run(site.now() + isolatedReadInterval + 2*siteRowsCheckInterval)
		for i, g := range site.gateways {
			if _, parts := g.gateway.dispatcher.condemnedSuspects(); parts != 1 {
				t.Errorf("gateway %d condemns %d parts", i, parts)
			}
		}
	})
}
