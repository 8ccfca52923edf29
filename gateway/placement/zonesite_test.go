package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	siteZones    = 3
	siteGateways = 29
	zoneEngines  = 18
	// statedEvery is the interval of a gateway's statements, so that what is known is up to
	// 350 ms old.
	statedEvery = 350 * time.Millisecond
	siteStep    = 5 * time.Millisecond
	sitePrompt  = 2000
	// zoneCapacity is the number of requests a second that the engines of a zone read.
	zoneCapacity = zoneEngines * defaultPrefillRate * 1000 / sitePrompt
)

// zoneSite simulates gateways and engines in three zones. Engines read prompts in order.
type zoneSite struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	gateways []*Fleet
	queues   map[string][]*siteRequest
	rates    map[string]float64
	zoneOf   map[string]int
	work     Work
	// sent, left and received count requests by zone since the last reset.
	sent, left, received, started, late [siteZones]float64
}

type siteRequest struct {
	flight *Flight
	zone   int
	sentAt time.Time
	unread float64
}

func newZoneSite(t *testing.T, engines [siteZones]int) *zoneSite {
	s := &zoneSite{
		t: t, rng: rand.New(rand.NewPCG(7, 9)), now: start, queues: make(map[string][]*siteRequest),
		rates: make(map[string]float64), zoneOf: make(map[string]int),
		work: Work{Service: pool, Streaming: true, PromptTokens: sitePrompt, OutputTokens: 50, BodyBytes: 4096, Target: time.Second},
	}
	for zone, n := range engines {
		for i := range n {
			id := fmt.Sprintf("engine-%d-%d", zone, i)
			s.zoneOf[id], s.rates[id] = zone, defaultPrefillRate
		}
	}
	for i := range siteGateways {
		s.gateways = append(s.gateways, s.newGateway(i))
	}
	return s
}

func (s *zoneSite) newGateway(i int) *Fleet {
	f := NewFleet(fmt.Sprint("zone-", i%siteZones))
	f.SetZoneSpill(ZoneSpillOptions{Rand: s.rng, Price: DefaultZonePrice})
	for id, zone := range s.zoneOf {
		f.Put(Endpoint{ID: id, Service: pool, Zone: fmt.Sprint("zone-", zone), Slots: 256, MemoryTokens: 2_000_000, TokensPerEvent: 1})
	}
	return f
}

// run simulates a duration; demand is a zone's demand relative to its capacity, a time
// after the start of the run.
func (s *zoneSite) run(d time.Duration, demand func(zone int, at time.Duration) float64, each func(at time.Duration)) {
	for at := time.Duration(0); at < d; at += siteStep {
		s.now = s.now.Add(siteStep)
		s.state(at)
		for zone := range siteZones {
			mean := demand(zone, at) * zoneCapacity * siteStep.Seconds()
			for p := s.rng.Float64(); p > math.Exp(-mean); p *= s.rng.Float64() {
				s.arrive(zone)
			}
		}
		s.read()
		if each != nil {
			each(at)
		}
	}
}

// state lets each gateway whose turn it is state its loads to all others.
func (s *zoneSite) state(at time.Duration) {
	for i, f := range s.gateways {
		offset := time.Duration(i) * statedEvery / siteGateways / siteStep * siteStep
		if (at+offset)%statedEvery != 0 {
			continue
		}
		loads := make(map[uint64]Load)
		f.OwnLoads(func(endpoint uint64, l Load) { loads[endpoint] = l })
		for j, peer := range s.gateways {
			if j != i {
				peer.PeerLoads(s.now, fmt.Sprint(i), loads)
				peer.ExpirePeerLoads(s.now, 2*statedEvery)
			}
		}
	}
}

func (s *zoneSite) arrive(zone int) {
	i := zone + siteZones*s.rng.IntN((siteGateways-zone+siteZones-1)/siteZones)
	f, w := s.gateways[i], s.work
	c := choose(s.t, f, s.now, &w)
	target := s.zoneOf[c.Endpoint.ID]
	s.sent[zone]++
	if target != zone {
		s.left[zone]++
		s.received[target]++
	}
	s.queues[c.Endpoint.ID] = append(s.queues[c.Endpoint.ID], &siteRequest{f.Send(s.now, &w, c), zone, s.now, float64(c.Uncached)})
}

// read lets each engine read for one step. A stream ends with its first event.
func (s *zoneSite) read() {
	for _, id := range slices.Sorted(maps.Keys(s.queues)) {
		queue := s.queues[id]
		tokens := s.rates[id] * siteStep.Seconds() * 1000
		for len(queue) > 0 && tokens >= queue[0].unread {
			r := queue[0]
			tokens -= r.unread
			queue = queue[1:]
			r.flight.Started(s.now)
			r.flight.End(s.now)
			s.started[r.zone]++
			if s.now.Sub(r.sentAt) > s.work.Target {
				s.late[r.zone]++
			}
		}
		if len(queue) > 0 {
			queue[0].unread -= tokens
		}
		s.queues[id] = queue
	}
}

func (s *zoneSite) reset() {
	s.sent, s.left, s.received, s.started, s.late = [siteZones]float64{}, [siteZones]float64{}, [siteZones]float64{}, [siteZones]float64{}, [siteZones]float64{}
}
