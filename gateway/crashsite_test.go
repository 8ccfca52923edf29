package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

// The users' rule on parts of prompts that crash endpoints: from deadlyNotice after the
// deadlyCrashes-th crash, no more than deadlyExtra further requests with the part reach
// endpoints, summed over the gateways that neither started nor froze within deadlyNotice.
// Gateways that are cut off from their peers count. Other requests that share a part are
// served: the users ask for half as many as before, the site for servedShare of them.
const (
	deadlyNotice  = 3 * time.Second
	deadlyCrashes = 5
	deadlyExtra   = 3
	servedShare   = 0.9
)

const (
	// crashDowntime is how long an endpoint is down after a crash.
	crashDowntime = 3 * time.Second
	// directoryDelay is the time until gateways know a restarted endpoint.
	directoryDelay = 300 * time.Millisecond
	// minPrefill and prefillSpread determine the time until an endpoint begins an answer.
	minPrefill    = 60 * time.Millisecond
	prefillSpread = 300 * time.Millisecond
	// crashAnswerTime is the time that an endpoint takes for the rest of an answer.
	crashAnswerTime = 700 * time.Millisecond
)

// Parts of prompts: all requests share firstPart, and rarePart stands in all requests with
// deadlyPart and in few others.
const (
	firstPart  = 0xa
	rarePart   = 0xb
	deadlyPart = 0xdead
	// commonParts is the number of the other second parts.
	commonParts = 40
)

// crashRequest is one request of a caller.
type crashRequest struct {
	work        placement.Work
	fingerprint crashes.Fingerprint
	deadly      bool
	gateway     *crashGateway
	process     *Gateway
	attempt     relay.PlacedAttempt
	sentAt      time.Duration
	// counted is true if the rule counts the request for its gateway.
	counted bool
	begun   bool
	// begins is how long after its arrival the endpoint begins the answer; zero for a random
	// time.
	begins time.Duration
	// ended is called when the attempt ends without a whole answer, with the refusal if it was
	// not placed; nil for nothing.
	ended func(*relay.Refusal)
	// arrived and began are called when the request reaches an endpoint and when its answer
	// begins; nil for nothing.
	arrived, began func()
}

// crashEndpoint is an endpoint that crashes as it begins an answer to a deadly request.
type crashEndpoint struct {
	id   string
	born int64
	down bool
	// listed is the start of the process in the directory.
	listed  int64
	running []*crashRequest
}

// crashGateway is a gateway whose callers send requests that crash endpoints among others.
type crashGateway struct {
	*simGateway
	keeper  *rowKeeper
	checkAt time.Duration
	// draining gateways get no requests.
	draining bool
}

// soundCount counts sound requests that hold one part, by whether they began at the first
// attempt.
type soundCount struct{ asked, begun int }

// crashSite is a simulated site with requests that crash endpoints.
type crashSite struct {
	*simSite
	endpoints []*crashEndpoint
	gateways  []*crashGateway
	requests  uint64
	// soundPerS, rarePerS and deadlyPerS are the requests a second of each gateway: sound
	// ones with common parts and with rarePart, and those with the part at fault.
	soundPerS, rarePerS float64
	deadlyPerS          func(at time.Duration) float64
	// mixed lets requests with deadlyPart hold other parts than rarePart, too.
	mixed     bool
	store     *memoryRows
	added     func(*crashGateway)
	crashedAt []time.Duration
	// downtime is how long an endpoint is down after a crash, and entryDelay the time from its
	// start until its entry is in the directory.
	downtime, entryDelay time.Duration
	// deadlySent holds when the counted deadly requests that reached endpoints were sent.
	deadlySent []time.Duration
	// sound counts the sound requests by second of arrival and part.
	sound map[int]map[uint64]*soundCount
}

func newCrashSite(seed uint64, endpoints, gateways int) *crashSite {
	s := &crashSite{store: newMemoryRows(), downtime: crashDowntime, sound: make(map[int]map[uint64]*soundCount), soundPerS: 60 / float64(gateways), rarePerS: 2 / float64(gateways)}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, &crashEndpoint{id: fmt.Sprintf("e%d", i), born: 1, listed: 1})
	}
	s.simSite = newSimSite(seed, s.entries)
	byGateway := make(map[*simGateway]*crashGateway)
	s.serve = func(g *simGateway) { s.serveGateway(byGateway[g]) }
	s.added = func(g *crashGateway) { byGateway[g.simGateway] = g }
	for range gateways {
		s.add()
	}
	return s
}

func (s *crashSite) add() {
	g := &crashGateway{}
	s.gateways = append(s.gateways, g)
	var sim *simGateway
	booted := func(of *simGateway) {
		g.keeper = newRowKeeper(of.gateway, s.store, rand.New(rand.NewPCG(s.rng.Uint64(), 4)))
		g.checkAt = s.now() + time.Duration(s.rng.Int64N(int64(siteRowsCheckInterval)))
	}
	sim = s.join(nil)
	g.simGateway = sim
	sim.booted = func() { booted(sim) }
	booted(sim)
	s.added(g)
}

func (s *crashSite) entries() []registry.Entry {
	var entries []registry.Entry
	for _, e := range s.endpoints {
		entries = append(entries, registry.Entry{ID: e.id, Service: "s", Address: e.id, Zone: "z", Slots: 64, Born: e.listed})
	}
	return entries
}

// serveGateway sends the requests of one step.
func (s *crashSite) serveGateway(g *crashGateway) {
	if s.now() >= g.checkAt {
		g.checkAt = s.now() + siteRowsCheckInterval
		g.keeper.check(context.Background(), time.Now())
	}
	if g.draining {
		return
	}
	send := func(perSecond float64, deadly bool, second func() uint64) {
		for range poisson(s.rng, perSecond*simStep.Seconds()) {
			parts := []placement.Part{{ID: firstPart, Tokens: 2000}, {ID: second(), Tokens: 500}}
			if deadly {
				parts = append(parts, placement.Part{ID: deadlyPart, Tokens: 300})
			}
			s.requests++
			r := &crashRequest{deadly: deadly, gateway: g, fingerprint: crashes.Fingerprint(1_000_000 + s.requests)}
			r.work = placement.Work{
				Service: "s", Streaming: true, PromptTokens: 3000, OutputTokens: 50, Target: 5 * time.Second,
				Parts: append(parts, placement.Part{ID: 1<<40 + s.requests, Tokens: 200}),
			}
			s.send(r)
		}
	}
	common := func() uint64 { return 0x100 + s.rng.Uint64N(commonParts) }
	rare := func() uint64 { return rarePart }
	second := rare
	if s.mixed && s.rng.IntN(2) == 0 {
		second = common
	}
	send(s.soundPerS, false, common)
	send(s.rarePerS, false, rare)
	send(s.deadlyPerS(s.now()), true, second)
}

// send places a request and passes it to its endpoint.
func (s *crashSite) send(r *crashRequest) {
	r.sentAt, r.process = s.now(), r.gateway.gateway
	r.counted = r.sentAt >= r.gateway.troubledAt+deadlyNotice
	if !r.deadly && r.counted {
		s.countSound(r, func(c *soundCount) { c.asked++ })
	}
	s.place(r)
}

// place asks for an endpoint, as often as the gateway asks the relay to wait, and passes the
// request to it.
func (s *crashSite) place(r *crashRequest) {
	attempt, refusal := r.process.dispatcher.Admit(&r.work, relay.AdmissionRequest{Route: "r", Fingerprint: r.fingerprint, TimeLeft: 20 * time.Second})
	switch {
	case refusal != nil && refusal.Pause > 0:
		s.after(refusal.Pause, func() { r.gateway.whenRunning(r.process, func() { s.place(r) }) })
		return
	case refusal != nil:
		r.end(refusal)
		return
	}
	r.attempt = attempt
	id := attempt.Choice().Endpoint.ID
	e := s.endpoints[slices.IndexFunc(s.endpoints, func(e *crashEndpoint) bool { return e.id == id })]
	s.after(simDelay, func() { s.arrive(e, r) })
}

// end reports that an attempt ended without a whole answer.
func (r *crashRequest) end(refusal *relay.Refusal) {
	if r.ended != nil {
		r.ended(refusal)
	}
}

func (s *crashSite) countSound(r *crashRequest, count func(*soundCount)) {
	second := int(r.sentAt / time.Second)
	if s.sound[second] == nil {
		s.sound[second] = make(map[uint64]*soundCount)
	}
	for _, p := range r.work.Parts[:len(r.work.Parts)-1] {
		c := s.sound[second][p.ID]
		if c == nil {
			c = &soundCount{}
			s.sound[second][p.ID] = c
		}
		count(c)
	}
}

// arrive handles a request at its endpoint.
func (s *crashSite) arrive(e *crashEndpoint, r *crashRequest) {
	if e.down {
		r.gateway.whenRunning(r.process, func() {
			r.process.dispatcher.connectionFailed(e.id, syscall.ECONNREFUSED)
			r.attempt.Ended(relay.ResultUnreachable)
			r.end(nil)
		})
		return
	}
	if r.arrived != nil {
		r.arrived()
	}
	if r.deadly && r.counted {
		s.deadlySent = append(s.deadlySent, r.sentAt)
	}
	e.running = append(e.running, r)
	born, begins := e.born, r.begins
	if begins == 0 {
		begins = minPrefill + time.Duration(s.rng.Int64N(int64(prefillSpread)))
	}
	s.after(begins, func() {
		if !e.down && e.born == born {
			s.begin(e, r)
		}
	})
}

// begin begins the answer to a request.
func (s *crashSite) begin(e *crashEndpoint, r *crashRequest) {
	if r.deadly {
		s.crashedAt = append(s.crashedAt, s.now())
		s.crash(e)
		return
	}
	r.begun = true
	if r.began != nil {
		r.began()
	}
	if r.counted {
		s.countSound(r, func(c *soundCount) { c.begun++ })
	}
	r.gateway.whenRunning(r.process, r.attempt.Started)
	s.after(crashAnswerTime, func() {
		i := slices.Index(e.running, r)
		if i < 0 {
			return
		}
		e.running = slices.Delete(e.running, i, i+1)
		r.gateway.whenRunning(r.process, func() { r.attempt.Ended(relay.ResultComplete) })
	})
}

// crash ends an endpoint with all requests that it runs, and starts it again later.
func (s *crashSite) crash(e *crashEndpoint) {
	for _, r := range e.running {
		r.gateway.whenRunning(r.process, func() {
			r.attempt.Ended(relay.ResultBroken)
			r.end(nil)
		})
	}
	e.running, e.down = nil, true
	s.after(s.downtime, func() {
		e.down = false
		e.born++
		born := e.born
		if s.entryDelay == 0 {
			s.list(e, born)
			return
		}
		s.after(s.entryDelay, func() { s.list(e, born) })
	})
}

// list lists a process of an endpoint, of which the gateways hear a moment later.
func (s *crashSite) list(e *crashEndpoint, born int64) {
	e.listed = born
	s.after(directoryDelay, func() {
		for _, g := range s.gateways {
			if !g.down {
				g.readDirectory()
			}
		}
	})
}

// sentAfter returns the number of counted deadly requests that the rule forbids but for
// deadlyExtra.
func (s *crashSite) sentAfter() int {
	if len(s.crashedAt) < deadlyCrashes {
		return 0
	}
	from, n := s.crashedAt[deadlyCrashes-1]+deadlyNotice, 0
	for _, at := range s.deadlySent {
		if at > from {
			n++
		}
	}
	return n
}

// soundShare returns the share of the sound requests with a part, sent between two times,
// that began at the first attempt.
func (s *crashSite) soundShare(part uint64, from, to time.Duration) (share float64, asked int) {
	var sum soundCount
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		if c := s.sound[second][part]; c != nil {
			sum.asked += c.asked
			sum.begun += c.begun
		}
	}
	return float64(sum.begun) / max(float64(sum.asked), 1), sum.asked
}

// check reports what breaks the rule: deadly requests that reach endpoints late, and sound
// ones with a shared part that are not served.
func (s *crashSite) check(t *testing.T, until time.Duration) {
	t.Helper()
	if n := s.sentAfter(); n > deadlyExtra {
		t.Errorf("%d requests with the deadly part reached endpoints later than %v after the fifth crash; %d crashes in all", n, deadlyNotice, len(s.crashedAt))
	}
	if len(s.crashedAt) == 0 {
		t.Fatal("no endpoint crashed")
	}
	// The users' rule looks at the time after the fifth crash; the part is at fault for all to
	// see after the third.
	last := s.crashedAt[min(3, len(s.crashedAt))-1]
	for name, part := range map[string]uint64{"first": firstPart, "rare": rarePart} {
		share, asked := s.soundShare(part, last+2*deadlyNotice, until-2*time.Second)
		t.Logf("%s part: %.2f of %d sound requests served; %d crashes, %d late", name, share, asked, len(s.crashedAt), s.sentAfter())
		if share < servedShare {
			t.Errorf("%.2f of %d sound requests with the %s part were served, want %.2f", share, asked, name, servedShare)
		}
	}
}

// deadlyFrom returns a rate of deadly requests for the whole site, split among its gateways.
func (s *crashSite) deadlyFrom(from time.Duration, perSecond float64) {
	each := perSecond / float64(len(s.gateways))
	s.deadlyPerS = func(at time.Duration) float64 {
		if at < from {
			return 0
		}
		return each
	}
}
