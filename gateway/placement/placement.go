// Package placement decides where work goes. For each request it estimates, per
// endpoint, the time to the first event and the harm to the streams that already
// run there, and takes the cheapest endpoint.
//
// The true load of an endpoint is what the gateways have sent to it: its own
// reports are old when they arrive and every gateway reads the same ones. A
// Fleet therefore counts its own work and adds what its peers say of theirs.
//
// The package is single-threaded; the time is a parameter.
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultPrefillRate is the assumed prefill speed in prompt tokens per
	// millisecond until a service's own speed was observed. It is in the middle
	// of what engines of 70 billion parameters reach on 4 to 8 accelerators.
	defaultPrefillRate = 20.0
	// chunkTokens is the usual size of a prefill chunk. A running stream waits
	// for one chunk between two of its tokens.
	chunkTokens = 2048
	// tightFactor: a stream is tight when its longest allowed pause is below this
	// many times the pause that chunked prefill causes.
	tightFactor = 3.0
	// startTime is the assumed time to the first event of an empty prompt.
	startTime = 10 * time.Millisecond
	// harmWeight prices a millisecond of prefill beside a tight stream relative
	// to a millisecond of that stream's allowed pause.
	harmWeight = 0.3
	// occupancyCost is the cost of a full endpoint relative to an empty one; it
	// spreads work that has no other preference.
	occupancyCost = 0.2
	// crowdingCost is the cost of work beyond an endpoint's slots or memory.
	crowdingCost = 4.0
	// zoneCost prefers the own availability zone among equals.
	zoneCost = 0.02
	// orderCost separates tight streams from long prompts at equal load: all
	// gateways order the endpoints alike.
	orderCost = 0.05
	// heavyPrompt is the number of uncached prompt tokens from which a prompt
	// delays the streams beside it for more than one chunk.
	heavyPrompt = chunkTokens
	// homeBelief and secondBelief are the probabilities that a shared part that
	// this gateway has not placed itself is cached at its first and second home.
	homeBelief   = 0.7
	secondBelief = 0.35
	// peerLoadMaxAge is the age from which a peer's load no longer counts.
	peerLoadMaxAge = 1500 * time.Millisecond
	// plainTime is the assumed service time of a plain request.
	plainTime = 50 * time.Millisecond
	// rereadCost is the cost of reading heavyPrompt tokens of shared parts that
	// another endpoint holds already.
	rereadCost = 0.25
	// fetchSetup is the time before a fetch between engines begins, in
	// milliseconds.
	fetchSetup = 5.0
	// minFetch is the number of tokens below which reading again is as good.
	minFetch = 256
	// memoryReserve is the share of an engine's memory that stays free for the
	// growth of running requests.
	memoryReserve = 0.1
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Work describes a request to be placed.
type Work struct {
	Service string
	// Streaming is false for plain requests, which have no tokens.
	Streaming bool
	// PromptTokens and OutputTokens are the sizes that the caller stated.
	PromptTokens, OutputTokens int
	// Parts of the prompt in order. The last one belongs to the request alone.
	Parts []Part
	// Target is the time to the first event, MaxPause the longest pause after it.
	Target, MaxPause time.Duration
	Rank             int
	// Excluded lists the endpoints that were already tried.
	Excluded []string
}

// ownTokens is the size of the part that no other request shares.
func (w *Work) ownTokens() int {
	if len(w.Parts) == 0 {
		return w.PromptTokens
	}
	return w.Parts[len(w.Parts)-1].Tokens
}

func (w *Work) shared() []Part {
	if len(w.Parts) == 0 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

// Load is the work of one gateway at an endpoint.
type Load struct {
	// Running is the number of requests, waiting ones included.
	Running int
	// Tight is the number of streams whose pauses must stay short.
	Tight int
	// Prefill is the number of prompt tokens still to be read.
	Prefill int
	// Memory is the number of tokens of the running requests.
	Memory int
}

func (l *Load) add(o Load, sign int) {
	l.Running += sign * o.Running
	l.Tight += sign * o.Tight
	l.Prefill += sign * o.Prefill
	l.Memory += sign * o.Memory
}

// Endpoint is a possible destination.
type Endpoint struct {
	ID, Service, Address, Zone string
	Slots                      int
	// MemoryTokens is the engine's KV cache; 0 for plain services.
	MemoryTokens int
	// TokensPerEvent of a stream.
	TokensPerEvent int
	// FetchRate is the speed at which cached tokens are fetched from another
	// endpoint, in tokens per millisecond; 0 where that is not possible.
	FetchRate float64
}

type endpoint struct {
	Endpoint
	hash     uint64
	draining bool
	own      Load
	peers    map[string]peerLoad
	cache    *partCache
	// slowness is the smoothed ratio of observed to expected times.
	slowness float64
	seenAt   time.Time
	weight   float64
	ejected  bool
}

type peerLoad struct {
	load Load
	at   time.Time
}

// Fleet is the set of endpoints with what is known of their load.
type Fleet struct {
	zone      string
	endpoints map[string]*endpoint
	byHash    map[uint64]*endpoint
	services  map[string]*service
	// placements are the latest ones of this gateway, oldest first.
	placements []Placement
}

type service struct {
	members []*endpoint
	// prefillRate is the smoothed observed speed in tokens per millisecond.
	prefillRate float64
	plainTime   float64
}

// NewFleet returns an empty Fleet for a gateway in the given availability zone.
func NewFleet(zone string) *Fleet {
	return &Fleet{
		zone:      zone,
		endpoints: make(map[string]*endpoint),
		byHash:    make(map[uint64]*endpoint),
		services:  make(map[string]*service),
	}
}

// Put adds an endpoint or changes its description.
func (f *Fleet) Put(e Endpoint) {
	old := f.endpoints[e.ID]
	if old != nil && old.Service == e.Service {
		old.Endpoint = e
		old.draining = false
		return
	}
	f.Remove(e.ID)
	added := &endpoint{
		Endpoint: e,
		hash:     xxhash.Sum64String(e.ID),
		peers:    make(map[string]peerLoad),
		cache:    newPartCache(e.MemoryTokens),
		slowness: 1,
		weight:   1,
	}
	f.endpoints[e.ID] = added
	f.byHash[added.hash] = added
	s := f.services[e.Service]
	if s == nil {
		s = &service{prefillRate: defaultPrefillRate, plainTime: float64(plainTime.Milliseconds())}
		f.services[e.Service] = s
	}
	s.members = append(s.members, added)
}

// Drain keeps an endpoint known and gives it no more work.
func (f *Fleet) Drain(id string) {
	if e := f.endpoints[id]; e != nil {
		e.draining = true
	}
}

// Remove drops an endpoint.
func (f *Fleet) Remove(id string) {
	e := f.endpoints[id]
	if e == nil {
		return
	}
	delete(f.endpoints, id)
	delete(f.byHash, e.hash)
	s := f.services[e.Service]
	for i, m := range s.members {
		if m == e {
			s.members = append(s.members[:i], s.members[i+1:]...)
			break
		}
	}
}

// SetHealth sets the judgement of an endpoint: weight from 0 to 1, and whether
// it receives nothing.
func (f *Fleet) SetHealth(id string, weight float64, ejected bool) {
	if e := f.endpoints[id]; e != nil {
		e.weight, e.ejected = weight, ejected
	}
}

// PeerLoads replaces what a peer says of its work. The loads are by the hash of
// the endpoint's id; endpoints that are missing there have none of its work.
func (f *Fleet) PeerLoads(now time.Time, peer string, loads map[uint64]Load) {
	for _, e := range f.endpoints {
		if load, ok := loads[e.hash]; ok {
			e.peers[peer] = peerLoad{load: load, at: now}
			continue
		}
		delete(e.peers, peer)
	}
}

// OwnLoads calls report for each endpoint that has work of this gateway.
func (f *Fleet) OwnLoads(report func(endpoint uint64, l Load)) {
	for _, e := range f.endpoints {
		if e.own != (Load{}) {
			report(e.hash, e.own)
		}
	}
}

// Choice is the endpoint for a request with the estimates that decided it.
type Choice struct {
	Endpoint Endpoint
	// Expected is the estimated time to the first event or to the plain answer.
	Expected time.Duration
	// Uncached is the estimated number of prompt tokens to be read.
	Uncached int
	// FetchFrom is the address of an endpoint from which cached parts should be
	// fetched first; empty for none. Fetched is the expected number of tokens.
	FetchFrom string
	Fetched   int
	// Free states that the endpoint has a free slot and memory.
	Free bool
	// Load is the load that was assumed.
	Load Load
}

// Choose returns the cheapest endpoint of the service; false when no endpoint
// accepts work.
func (f *Fleet) Choose(now time.Time, w *Work) (Choice, bool) {
	s := f.services[w.Service]
	if s == nil {
		return Choice{}, false
	}
	best, found := f.cheapest(now, s, w, func(e *endpoint) bool { return !e.ejected })
	if !found {
		best, found = f.cheapest(now, s, w, func(*endpoint) bool { return true })
	}
	return best, found
}

func (f *Fleet) cheapest(now time.Time, s *service, w *Work, accept func(*endpoint) bool) (Choice, bool) {
	homes := s.homes(now, w)
	var best Choice
	bestCost := math.Inf(1)
	for _, e := range s.members {
		if e.draining || !accept(e) || contains(w.Excluded, e.ID) {
			continue
		}
		c, cost := f.estimate(now, s, e, w, homes)
		if cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

func contains(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

// load sums the own work and the recent statements of the peers.
func (e *endpoint) load(now time.Time) Load {
	sum := e.own
	for name, p := range e.peers {
		if now.Sub(p.at) > peerLoadMaxAge {
			delete(e.peers, name)
			continue
		}
		sum.add(p.load, 1)
	}
	return sum
}

func (f *Fleet) estimate(now time.Time, s *service, e *endpoint, w *Work, homes homes) (Choice, float64) {
	load := e.load(now)
	c := Choice{Endpoint: e.Endpoint, Load: load}
	cost := 0.0
	if w.Streaming {
		cost = s.streamCost(&c, e, w, homes)
	} else {
		cost = s.plainCost(&c, e, w)
	}
	if e.Zone != f.zone {
		cost += zoneCost
	}
	if e.weight < 1 {
		cost += (1 - e.weight) * crowdingCost / 2
	}
	return c, cost
}

func (s *service) plainCost(c *Choice, e *endpoint, w *Work) float64 {
	slots := max(e.Slots, 1)
	waiting := max(c.Load.Running+1-slots, 0)
	expected := s.plainTime * e.slowness * (1 + float64(waiting)/float64(slots))
	c.Expected = milliseconds(expected)
	c.Free = waiting == 0
	cost := expected / targetMS(w)
	cost += occupancyCost * float64(c.Load.Running) / float64(slots)
	if !c.Free {
		cost += crowdingCost * float64(waiting) / float64(slots)
	}
	return cost
}

func (s *service) streamCost(c *Choice, e *endpoint, w *Work, h homes) float64 {
	fetch := s.plan(c, e, w, h)
	rate := s.prefillRate / e.slowness
	prefill := float64(c.Uncached)/rate + fetch
	wait := float64(c.Load.Prefill) / rate
	expected := wait + prefill + float64(startTime.Milliseconds())*e.slowness
	c.Expected = milliseconds(expected)
	slots := max(e.Slots, 1)
	memory := float64(c.Load.Memory+w.PromptTokens+w.OutputTokens) / max(float64(e.MemoryTokens)*(1-memoryReserve), 1)
	c.Free = c.Load.Running < slots && memory < 1
	cost := expected / targetMS(w)
	cost += occupancyCost * float64(c.Load.Running) / float64(slots)
	// What is read again takes the engine's time from other requests.
	cost += rereadCost * max(float64(c.Uncached-w.ownTokens())/heavyPrompt, 0)
	if !c.Free {
		over := max(float64(c.Load.Running+1-slots)/float64(slots), memory-1)
		cost += crowdingCost * (0.25 + over)
	}
	position := float64(e.hash) / math.MaxUint64
	pausePerChunk := float64(max(e.TokensPerEvent, 1)) * chunkTokens / rate
	if w.tight(pausePerChunk) {
		// Prefill that waits there will delay this stream's events as well.
		cost += harmWeight * wait / pauseMS(w)
		cost += orderCost * position
	}
	if c.Uncached >= heavyPrompt {
		cost += harmWeight * float64(c.Load.Tight) * prefill / typicalTightPause
		cost += orderCost * (1 - position)
	}
	return cost
}

// typicalTightPause is the allowed pause, in milliseconds, that is assumed for
// the tight streams of other gateways, whose exact targets are not exchanged.
const typicalTightPause = 300.0

// tight reports whether prefill chunks between tokens threaten the pauses of w.
func (w *Work) tight(pausePerChunk float64) bool {
	return w.MaxPause > 0 && pauseMS(w) < tightFactor*pausePerChunk
}

func pauseMS(w *Work) float64 { return max(float64(w.MaxPause.Milliseconds()), 1) }

func targetMS(w *Work) float64 {
	if w.Target <= 0 {
		return 1000
	}
	return float64(w.Target.Milliseconds())
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
