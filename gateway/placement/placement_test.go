package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

const pool = "pool"

// newPool returns a fleet of n engines in two availability zones.
func newPool(n int) *Fleet {
	f := NewFleet("zone-0")
	for i := range n {
		f.Put(Endpoint{
			ID: fmt.Sprintf("engine-%d", i), Service: pool, Address: fmt.Sprintf("10.0.0.%d:1", i),
			Zone: fmt.Sprintf("zone-%d", i%2), Slots: 64, MemoryTokens: 250_000, TokensPerEvent: 3, FetchRate: 200,
		})
	}
	f.SetStrictestPause(pool, 250*time.Millisecond)
	return f
}

// chatWork returns a short prompt with strict pauses.
func chatWork() *Work {
	return &Work{
		Service: pool, Streaming: true, PromptTokens: 700, OutputTokens: 250,
		Parts:  []Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 600}},
		Target: 400 * time.Millisecond, MaxPause: 250 * time.Millisecond,
	}
}

// planWork returns a long prompt. Prompts with the same subject share their first two
// parts.
func planWork(subject uint64) *Work {
	return &Work{
		Service: pool, Streaming: true, PromptTokens: 9000, OutputTokens: 50,
		Parts:  []Part{{ID: 10, Tokens: 2500}, {ID: subject, Tokens: 3800}, {ID: subject << 32, Tokens: 2700}},
		Target: 2 * time.Second, MaxPause: time.Second,
	}
}

func choose(t *testing.T, f *Fleet, now time.Time, w *Work) Choice {
	t.Helper()
	c, ok := f.Choose(now, w)
	if !ok {
		t.Fatal("no endpoint was chosen")
	}
	return c
}

// Guards against chats on the engines that prefill long prompts, which would delay their
// tokens, when many long prompts and many chats arrive at once.
func TestChatsAndLongPromptsKeepApart(t *testing.T) {
	f := newPool(12)
	now := start
	chats := make(map[string]bool)
	for i := range 20 {
		now = now.Add(20 * time.Millisecond)
		w := chatWork()
		c := choose(t, f, now, w)
		f.Send(now, w, c).Started(now.Add(30 * time.Millisecond))
		chats[c.Endpoint.ID] = true
		p := planWork(uint64(100 + i))
		c = choose(t, f, now, p)
		f.Send(now, p, c)
	}
	beside := 0
	for id := range chats {
		if f.endpoints[id].ownLoad.Prefill >= 2*prefillChunkTokens {
			beside++
		}
	}
	if beside > 0 {
		t.Fatalf("%d of %d engines with chats have long prompts to read", beside, len(chats))
	}
}

// Guards against a burst that is not spread over the engines: it arrives within one
// report interval, so load reports of the engines would still show no load, and the
// gateway must count the requests that it has sent.
func TestBurstSpreadsByWhatWasSent(t *testing.T) {
	f := newPool(4)
	for i := range 40 {
		w := planWork(uint64(100 + i))
		f.Send(start, w, choose(t, f, start, w))
	}
	for id, e := range f.endpoints {
		if e.ownLoad.Running < 6 || e.ownLoad.Running > 14 {
			t.Errorf("%s has %d of 40 prompts, want about 10", id, e.ownLoad.Running)
		}
	}
}

// Guards against choosing the engine to which a peer has just sent much work, when
// several gateways receive the same burst.
func TestLoadOfPeersCounts(t *testing.T) {
	f := newPool(2)
	first := choose(t, f, start, chatWork())
	e := f.endpoints[first.Endpoint.ID]
	f.PeerLoads(start, "peer", map[uint64]Load{e.hash: {Running: 20, Prefill: 40_000, Memory: 90_000}})
	if c := choose(t, f, start, chatWork()); c.Endpoint.ID == first.Endpoint.ID {
		t.Fatal("the engine that a peer has loaded was chosen")
	}
	later := start.Add(minPeerLoadAge + time.Millisecond)
	f.ExpirePeerLoads(later, 0)
	if c := choose(t, f, later, chatWork()); c.Endpoint.ID != first.Endpoint.ID {
		t.Fatal("an expired statement still counted")
	}
}

// Guards against a burst that peers know of only after the next regular statement.
func TestSentPromptsCountAsUnstatedUntilTheNextStatement(t *testing.T) {
	f := newPool(2)
	w := planWork(5)
	c := choose(t, f, start, w)
	f.Send(start, w, c)
	if n := f.UnstatedPromptTokens(); n != c.Uncached {
		t.Fatalf("%d unstated prompt tokens, want the %d of the prompt", n, c.Uncached)
	}
	f.OwnLoads(func(uint64, Load) {})
	if n := f.UnstatedPromptTokens(); n != 0 {
		t.Fatalf("%d unstated prompt tokens after a statement", n)
	}
}

// Guards against a crash of the process when the last endpoint of a plain service
// is removed while peers still state load at it.
func TestLoadOfPeersAtAServiceThatIsGone(t *testing.T) {
	f := NewFleet("zone-0")
	f.Put(Endpoint{ID: "desk", Service: "ledger", Zone: "zone-0", Slots: 4})
	f.PeerLoads(start, "p", map[uint64]Load{Hash("desk"): {Running: 2}})
	f.PeerLoads(start, "q", map[uint64]Load{Hash("desk"): {Running: 1}})
	f.Remove("desk")
	f.PeerLoads(start.Add(time.Second), "p", nil)
	f.ExpirePeerLoads(start.Add(time.Minute), 0)
}

// Guards against loads that still count after a peer has replaced them or has stopped
// sending statements.
func TestLoadOfPeersIsReplacedAndForgotten(t *testing.T) {
	f := newPool(3)
	a, b := Hash("engine-0"), Hash("engine-1")
	total := func(now time.Time) (n int) {
		for _, e := range f.endpoints {
			load, _ := e.totalLoad(now)
			n += load.Running
		}
		return n
	}
	f.PeerLoads(start, "p", map[uint64]Load{a: {Running: 5}, b: {Running: 7}})
	f.PeerLoads(start, "q", map[uint64]Load{a: {Running: 1}, Hash("unknown"): {Running: 50}})
	f.PeerLoads(start, "p", map[uint64]Load{b: {Running: 3}})
	if n := total(start); n != 4 {
		t.Fatalf("%d requests of the peers, want 4", n)
	}
	slow := 5 * time.Second
	f.ExpirePeerLoads(start.Add(4*time.Second), slow)
	if n := total(start); n != 4 {
		t.Fatalf("%d requests before the next statement of a large site is due, want 4", n)
	}
	f.ExpirePeerLoads(start.Add(slow+time.Millisecond), slow)
	if n := total(start); n != 0 || len(f.statements) != 0 {
		t.Fatalf("%d requests and %d statements of silent peers, want none", n, len(f.statements))
	}
}

// Guards against shared parts that every engine reads again, when many requests have the
// same ones: one engine reads them, and the others fetch them from its cache.
func TestHotSubjectIsReadOnceAndFetched(t *testing.T) {
	f := newPool(6)
	w := planWork(77)
	c := choose(t, f, start, w)
	f.Send(start, w, c).Started(start.Add(300 * time.Millisecond))
	now := start.Add(time.Second)
	second := choose(t, f, now, planWork(77))
	if second.Uncached > 2700 {
		t.Fatalf("%d tokens are to be read, want the request's own 2,700 only", second.Uncached)
	}
	f.endpoints[c.Endpoint.ID].ownLoad.Prefill = 60_000
	elsewhere := choose(t, f, now, planWork(77))
	if elsewhere.Endpoint.ID == c.Endpoint.ID {
		t.Fatal("the engine with a long queue was chosen")
	}
	if elsewhere.FetchFrom != c.Endpoint.Address || elsewhere.Uncached > 2700 {
		t.Fatalf("fetch from %q and %d tokens to read, want a fetch from %q", elsewhere.FetchFrom, elsewhere.Uncached, c.Endpoint.Address)
	}
}

// Guards against a fetch from an engine that has not finished the prefill of the parts.
func TestNoFetchBeforeThePartsWereRead(t *testing.T) {
	f := newPool(6)
	w := planWork(77)
	c := choose(t, f, start, w)
	f.Send(start, w, c)
	f.endpoints[c.Endpoint.ID].ownLoad.Prefill = 500_000
	if second := choose(t, f, start.Add(time.Millisecond), planWork(77)); second.FetchFrom != "" {
		t.Fatalf("fetch from %q, which is still reading", second.FetchFrom)
	}
}

// Guards against gateways that choose different engines for the same shared parts before
// they have exchanged any placements.
func TestGatewaysAgreeOnHomes(t *testing.T) {
	a, b := newPool(12), newPool(12)
	differ := 0
	for i := range 200 {
		w := planWork(uint64(1000 + i))
		if choose(t, a, start, w).Endpoint.ID != choose(t, b, start, w).Endpoint.ID {
			differ++
		}
	}
	if differ > 0 {
		t.Fatalf("%d of 200 prompts were placed on different engines", differ)
	}
}

// Guards against the loss of an engine changing the home of shared parts whose home was
// another one.
func TestLossOfAnEngineMovesOnlyItsSubjects(t *testing.T) {
	f := newPool(12)
	before := make(map[uint64]string)
	for i := uint64(1000); i < 1200; i++ {
		before[i] = f.services[pool].homes(start, planWork(i), func(*endpoint) bool { return true }).first.ID
	}
	f.Remove("engine-3")
	for i, home := range before {
		now := f.services[pool].homes(start, planWork(i), func(*endpoint) bool { return true }).first.ID
		if home != "engine-3" && now != home {
			t.Fatalf("the home of subject %d moved from %s to %s", i, home, now)
		}
	}
}

// Guards against requests to an endpoint that is draining, was already tried, or is
// ejected while others are not.
func TestEndpointsThatTakeNothing(t *testing.T) {
	f := newPool(3)
	f.Drain("engine-0")
	f.SetHealth("engine-1", 0, true)
	for range 10 {
		if c := choose(t, f, start, chatWork()); c.Endpoint.ID != "engine-2" {
			t.Fatalf("%s was chosen", c.Endpoint.ID)
		}
	}
	w := chatWork()
	w.Excluded = []string{"engine-2"}
	if c := choose(t, f, start, w); c.Endpoint.ID != "engine-1" {
		t.Fatalf("%s was chosen, want the ejected engine rather than none", c.Endpoint.ID)
	}
	w.Excluded = []string{"engine-1", "engine-2"}
	if _, ok := f.Choose(start, w); ok {
		t.Fatal("an endpoint that is draining was chosen")
	}
}

// Guards against load that still counts after requests have ended, whatever the order
// of their events.
func TestLoadReturnsToZero(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	f := newPool(4)
	now := start
	var open []*Flight
	for range 2000 {
		now = now.Add(time.Duration(rng.IntN(30)) * time.Millisecond)
		switch rng.IntN(5) {
		case 0, 1:
			w := chatWork()
			if rng.IntN(2) == 0 {
				w = planWork(uint64(rng.IntN(20)))
			}
			if c, ok := f.Choose(now, w); ok {
				open = append(open, f.Send(now, w, c))
			}
		case 2:
			if len(open) > 0 {
				open[rng.IntN(len(open))].Started(now)
			}
		default:
			if len(open) > 0 {
				at := rng.IntN(len(open))
				open[at].End(now)
				open = append(open[:at], open[at+1:]...)
			}
		}
	}
	for _, flight := range open {
		flight.End(now)
		flight.End(now)
	}
	for id, e := range f.endpoints {
		if e.ownLoad.Running != 0 || e.ownLoad.Prefill != 0 || e.ownLoad.Memory != 0 || e.ownLoad.Tight > 1e-6 || e.ownLoad.Tight < -1e-6 {
			t.Errorf("%s still has load %+v", id, e.ownLoad)
		}
	}
}

// Guards against a slow engine that gets as many requests as the others.
func TestSlowEngineGetsLess(t *testing.T) {
	f := newPool(3)
	now := start
	count := make(map[string]int)
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		w := planWork(uint64(5000 + i))
		c := choose(t, f, now, w)
		flight := f.Send(now, w, c)
		took := c.Expected
		if c.Endpoint.ID == "engine-1" {
			took *= 5
		}
		flight.Started(now.Add(took))
		flight.End(now)
		if i >= 50 {
			count[c.Endpoint.ID]++
		}
	}
	if count["engine-1"] > 30 {
		t.Fatalf("the slow engine got %d of 150 prompts", count["engine-1"])
	}
}

// promptsPerEngine places 150 prompts one after the other and returns how many each engine got.
// The engine stuck starts none of them; callers cancel after five times the expected
// time.
func promptsPerEngine(t *testing.T, stuck string) map[string]int {
	t.Helper()
	f := newPool(3)
	now := start
	count := make(map[string]int)
	for i := range 150 {
		now = now.Add(50 * time.Millisecond)
		w := planWork(uint64(5000 + i))
		c := choose(t, f, now, w)
		count[c.Endpoint.ID]++
		flight := f.Send(now, w, c)
		if c.Endpoint.ID == stuck {
			flight.End(now.Add(5 * c.Expected))
			continue
		}
		flight.Started(now.Add(c.Expected))
		flight.End(now.Add(c.Expected))
	}
	return count
}

// Guards against a slow engine that looks as fast as the others because only its fast
// starts count: callers cancel requests at an engine that is too slow to start them.
func TestEngineThatCallersGiveUpOnGetsLess(t *testing.T) {
	favourite, most := "", 0
	for id, n := range promptsPerEngine(t, "") {
		if n > most {
			favourite, most = id, n
		}
	}
	if n := promptsPerEngine(t, favourite)[favourite]; n > most/2 {
		t.Fatalf("%s got %d of 150 prompts although callers cancelled there, and %d when it was fast", favourite, n, most)
	}
}

func plainWork() *Work { return &Work{Service: "ledger", Target: 300 * time.Millisecond} }

// Guards against calls that do not spread over all endpoints, those of other availability
// zones included, when many short calls reach a plain service with few slots.
func TestPlainCallsFillSlotsEvenly(t *testing.T) {
	f := NewFleet("zone-0")
	for i := range 4 {
		f.Put(Endpoint{ID: fmt.Sprintf("ledger-%d", i), Service: "ledger", Zone: fmt.Sprintf("zone-%d", i), Slots: 6})
	}
	for range 24 {
		w := plainWork()
		f.Send(start, w, choose(t, f, start, w))
	}
	for id, e := range f.endpoints {
		if e.ownLoad.Running != 6 {
			t.Errorf("%s has %d calls, want 6", id, e.ownLoad.Running)
		}
	}
}

// Guards against memory that grows with the service names in entries of other writers.
func TestServicesWithoutEndpointsAreForgotten(t *testing.T) {
	f := newPool(1)
	for i := range 1000 {
		f.Put(Endpoint{ID: "foreign", Service: fmt.Sprintf("service-%d", i)})
	}
	f.Remove("foreign")
	f.Remove("engine-0")
	if len(f.services) != 1 || f.services[pool] == nil {
		t.Fatalf("%d services are kept, want the configured one", len(f.services))
	}
}
