package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

// The users' rule on a request that crashes the endpoints which run it: from deadlyNotice after
// the repeatCrashes-th crash, it reaches endpoints in no more than repeatExtra tries of its
// caller.
const (
	repeatCrashes = 3
	repeatExtra   = 3
)

// repeater is a caller that sends the same request again and again.
type repeater struct {
	site *crashSite
	// fingerprint is that of the request, whose parts nobody else's has but the first.
	fingerprint crashes.Fingerprint
	deadly      bool
	begins      time.Duration
	// attempts is the number of attempts that a gateway makes of a try, and tries that of the
	// tries of the caller, pause apart, each at another gateway.
	attempts, tries int
	pause           time.Duration
	// asked is when the last ask began, served when its answer began, and refused whether a
	// gateway refused it as condemned.
	asked, served time.Duration
	refused       bool
	// reached holds when the tries were sent that reached endpoints.
	reached []time.Duration
}

// ask sends the request with all its tries.
func (c *repeater) ask() {
	c.asked, c.served = c.site.now(), 0
	c.try(c.site.rng.IntN(len(c.site.gateways)), 1)
}

func (c *repeater) try(gateway, n int) {
	sentAt := c.site.now()
	counted := false
	c.attempt(c.site.gateways[gateway], 1, nil, func() {
		if !counted {
			counted = true
			c.reached = append(c.reached, sentAt)
		}
	}, func() {
		if n < c.tries {
			c.site.after(c.pause, func() { c.try((gateway+1)%len(c.site.gateways), n+1) })
		}
	})
}

// attempt makes the nth attempt of a try.
func (c *repeater) attempt(g *crashGateway, n int, excluded []string, reached, failed func()) {
	r := &crashRequest{deadly: c.deadly, gateway: g, fingerprint: c.fingerprint, begins: c.begins}
	r.work = placement.Work{
		Service: "s", Streaming: true, PromptTokens: 400, OutputTokens: 50, Target: 5 * time.Second, Excluded: excluded,
		Parts: []placement.Part{{ID: firstPart, Tokens: 100}, {ID: 1<<50 + uint64(c.fingerprint), Tokens: 300}},
	}
	r.ended = func(refusal *relay.Refusal) {
		switch {
		case refusal != nil:
			c.refused = c.refused || refusal.Reason == relay.Condemned
			failed()
		case n < c.attempts:
			c.attempt(g, n+1, append(excluded, r.attempt.Choice().Endpoint.ID), reached, failed)
		default:
			failed()
		}
	}
	r.arrived = reached
	r.began = func() { c.served = c.site.now() }
	c.site.send(r)
}

// late returns the number of tries that reached endpoints although the rule forbids it but for
// repeatExtra.
func (c *repeater) late() int {
	if len(c.site.crashedAt) < repeatCrashes {
		return 0
	}
	n := 0
	for _, at := range c.reached {
		if at > c.site.crashedAt[repeatCrashes-1]+deadlyNotice {
			n++
		}
	}
	return n
}

// Guards against a request that crashes more endpoints than the platform allows because its
// caller repeats at once: the crashes of one ask then followed each other within the time in
// which endpoints may have failed together.
func TestRepeatedRequestStopsReachingEndpoints(t *testing.T) {
	type plan struct {
		gateways, attempts, tries int
		pause, every, begins      time.Duration
	}
	var plans []plan
	for _, attempts := range []int{1, 2, 3} {
		for _, tries := range []int{1, 2, 4, 8} {
			for _, pause := range []time.Duration{0, 35 * time.Millisecond, 400 * time.Millisecond} {
				for _, begins := range []time.Duration{10 * time.Millisecond, 0} {
					plans = append(plans, plan{5, attempts, tries, pause, 5 * time.Second, begins})
				}
			}
		}
	}
	plans = append(plans, plan{1, 2, 4, 0, 5 * time.Second, 0}, plan{1, 2, 4, 35 * time.Millisecond, 5 * time.Second, 10 * time.Millisecond},
		plan{30, 2, 4, 0, 5 * time.Second, 10 * time.Millisecond}, plan{100, 2, 8, 90 * time.Millisecond, 5 * time.Second, 0})
	plans = append(plans, plan{5, 2, 4, 35 * time.Millisecond, 2 * time.Second, 0}, plan{5, 2, 4, 35 * time.Millisecond, 20 * time.Second, 0})
	for seed, p := range plans {
		t.Run(fmt.Sprintf("%+v", p), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const asks = 6
				site := newCrashSite(uint64(seed), 12, p.gateways)
				site.soundPerS, site.rarePerS = 10/float64(p.gateways), 0
				site.deadlyPerS = func(time.Duration) float64 { return 0 }
				caller := &repeater{site: site, fingerprint: 7, deadly: true, begins: p.begins, attempts: p.attempts, tries: p.tries, pause: p.pause}
				for n := range asks {
					site.after(4*time.Second+time.Duration(n)*p.every, caller.ask)
				}
				site.run(5*time.Second + asks*p.every)
				if late := caller.late(); late > repeatExtra {
					t.Errorf("%d tries reached endpoints later than %v after the third crash; %d crashes in all", late, deadlyNotice, len(site.crashedAt))
				}
			})
		})
	}
}

// Guards against a request that crashes endpoints again and again because they start again in
// place before their entries are known: the crashes of the processes that are not listed yet
// then count as those of the processes before.
func TestRepeatedRequestStopsWhereEntriesAreLate(t *testing.T) {
	for _, endpoints := range []int{1, 2, 4} {
		for _, delay := range []time.Duration{1500 * time.Millisecond, 6 * time.Second, 30 * time.Second} {
			for _, every := range []time.Duration{400 * time.Millisecond, 2 * time.Second} {
				t.Run(fmt.Sprintf("%d endpoints, entries %v late, asked every %v", endpoints, delay, every), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						const asks = 10
						site := newCrashSite(uint64(endpoints), endpoints, 3)
						site.soundPerS, site.rarePerS = 5, 0
						site.deadlyPerS = func(time.Duration) float64 { return 0 }
						site.downtime, site.entryDelay = 200*time.Millisecond, delay
						caller := &repeater{site: site, fingerprint: 7, deadly: true, begins: 50 * time.Millisecond, attempts: 1, tries: 2, pause: 100 * time.Millisecond}
						for n := range asks {
							site.after(4*time.Second+time.Duration(n)*every, caller.ask)
						}
						site.run(5*time.Second + asks*every)
						if late := caller.late(); late > repeatExtra {
							t.Errorf("%d tries reached endpoints later than %v after the third crash; %d crashes in all", late, deadlyNotice, len(site.crashedAt))
						}
					})
				})
			}
		}
	}
}

// Guards against refusing an innocent request, or serving it late, because it stood in crashes
// of endpoints that failed together: callers repeat at once, so that their requests follow the
// failure from one endpoint to the next.
func TestEndpointsThatFailTogetherCondemnNoRepeatedRequest(t *testing.T) {
	for _, failing := range []int{2, 3, 6, 9} {
		for _, apart := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d endpoints, %v apart", failing, apart), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					site := newCrashSite(uint64(failing), 12, 5)
					site.rarePerS = 0
					site.deadlyPerS = func(time.Duration) float64 { return 0 }
					var callers []*repeater
					for i := range 200 {
						c := &repeater{site: site, fingerprint: crashes.Fingerprint(1000 + i), attempts: 2, tries: 4, pause: 35 * time.Millisecond}
						callers = append(callers, c)
						site.after(4*time.Second+time.Duration(i)*2*time.Millisecond, c.ask)
					}
					const failure = 4300 * time.Millisecond
					for i := range failing {
						site.after(failure+time.Duration(i)*apart, func() { site.crash(site.endpoints[i]) })
					}
					site.run(10 * time.Second)
					for _, c := range callers {
						switch {
						case c.refused:
							t.Errorf("request %d was refused as condemned", c.fingerprint)
						case c.served == 0:
							t.Errorf("request %d was not served", c.fingerprint)
						case c.served > failure+2*time.Second:
							t.Errorf("request %d was served %v after the failure", c.fingerprint, c.served-failure)
						}
					}
				})
			})
		}
	}
}
