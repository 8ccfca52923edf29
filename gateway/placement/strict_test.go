package placement

import (
	"testing"
	"time"
)

// strictFlow sends strict streams without shared parts for two seconds, each of which
// runs for half a second, and returns the fleet and the time at the end.
func strictFlow(t *testing.T, perSecond int) (*Fleet, time.Time) {
	t.Helper()
	f := newPool(18)
	now := start
	var running []*Flight
	for i := range 2 * perSecond {
		now = now.Add(time.Second / time.Duration(perSecond))
		w := chatWork()
		w.PromptTokens = 1400
		w.Parts = []Part{{ID: uint64(1000 + i), Tokens: w.PromptTokens}}
		flight := f.Send(now, w, choose(t, f, now, w))
		flight.Started(now.Add(70 * time.Millisecond))
		running = append(running, flight)
		if len(running) > perSecond/2 {
			running[0].End(now)
			running = running[1:]
		}
	}
	return f, now
}

// Guards against strict streams that spread over half of the endpoints, in a steady flow
// of strict streams and long prompts on slow engines. Every strict stream keeps long
// prompts away from its endpoint; too few endpoints are then left for the prompts, which
// wait beyond their targets.
func TestStrictStreamsAreGivenAsManyEndpointsAsTheyNeed(t *testing.T) {
	for _, perSecond := range []int{20, 60} {
		f, now := strictFlow(t, perSecond)
		// A stream reads 1,400 tokens in 500 ms; at half of 20 tokens/ms an endpoint
		// takes 3.6 of them.
		want := float64(perSecond) / 2 / 3.6 / 18
		if share := f.services[pool].strictShare(now); share < 0.8*want || share > 1.25*want {
			t.Errorf("%d streams a second: share %.2f of the endpoints, want about %.2f", perSecond, share, want)
		}
	}
}

// Guards against long prompts on the endpoints that are reserved for strict streams, and
// strict streams on the others, in a steady flow of both on slow engines. A long prompt
// goes to an endpoint outside the reserved share although those inside are idle, and a
// strict stream goes to one inside although those outside are idle.
func TestLongPromptsKeepOffTheEndpointsOfStrictStreams(t *testing.T) {
	f, now := strictFlow(t, 20)
	share := f.services[pool].strictShare(now)
	for _, e := range f.endpoints {
		e.ownLoad.Prefill = 0
	}
	for i := range 8 {
		plan := planWork(uint64(100 + i))
		c := choose(t, f, now, plan)
		if p := f.endpoints[c.Endpoint.ID].position; p < share {
			t.Errorf("a long prompt goes to position %.2f of the order; the first %.2f is reserved for strict streams", p, share)
		}
		f.Send(now, plan, c)
		if p := f.endpoints[choose(t, f, now, chatWork()).Endpoint.ID].position; p >= share {
			t.Errorf("a strict stream goes to position %.2f of the order, outside of the first %.2f", p, share)
		}
	}
}

// Guards against endpoints that are reserved although there are no strict streams.
func TestNothingIsReservedWithoutStrictStreams(t *testing.T) {
	f := newPool(18)
	for i := range 20 {
		w := planWork(uint64(100 + i))
		f.Send(start, w, choose(t, f, start, w))
	}
	if share := f.services[pool].strictShare(start); share != 0 {
		t.Fatalf("share %.2f, want none", share)
	}
}
