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
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Parts of the prompt in order. The last one belongs to the request alone.
	Parts []Part
	// Target is the time to the first event, MaxPause the longest pause after it.
	Target, MaxPause time.Duration
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
	hash uint64
	// position is the place in the service's order by hash, from 0 to 1.
	position float64
	draining bool
	// leaving endpoints are no source of cached parts either.
	leaving bool
	own     Load
	// peers holds the loads that add up to heard; heardAt is when the latest of
	// them was stated.
	peers   map[string]Load
	heard   Load
	heardAt time.Time
	// backlog holds the peers' prompts; heard and peers have none of them.
	backlog backlog
	cache   *partCache
	// slowness is the smoothed ratio of observed to expected times.
	slowness float64
	seenAt   time.Time
	weight   float64
	ejected  bool
}

// Hash is how gateways name an endpoint to each other.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// LeftOut reports whether an endpoint, named by the hash of its id, should get
// no request although it is not ejected.
type LeftOut func(now time.Time, endpoint uint64) bool

// SetLeftOut sets the function that is asked for each candidate; nil means none
// is left out.
func (f *Fleet) SetLeftOut(leftOut LeftOut) { f.leftOut = leftOut }

// SetClosed sets the function that tells which endpoints get no request even if no
// other one accepts work; nil means none.
func (f *Fleet) SetClosed(closed LeftOut) { f.closed = closed }

// Fleet is the set of endpoints with what is known of their load.
type Fleet struct {
	zone      string
	endpoints map[string]*endpoint
	byHash    map[uint64]*endpoint
	services  map[string]*service
	// statements are the latest ones by peer.
	statements map[string]statement
	// unstated is the number of prompt tokens sent since the last OwnLoads.
	unstated int
	leftOut  LeftOut
	closed   LeftOut
	// rule is empty for Cheapest; rng is for the baselines.
	rule Rule
	rng  *rand.Rand
	// placements are the latest ones of this gateway, oldest first.
	placements []Placement
}

type service struct {
	members []*endpoint
	// ownSpeed is what this gateway observed, peerSpeeds what its peers state, and
	// combined their mean.
	ownSpeed   Speed
	peerSpeeds map[string]heardSpeed
	combined   Speed
	plainTime  float64
	// strictestPause is the shortest pause that a route of the service allows, in
	// milliseconds; infinite for none.
	strictestPause float64
	strict         strictDemand
}

// order keeps the members sorted by hash, so that all gateways see the same order.
func (s *service) order() {
	slices.SortFunc(s.members, func(a, b *endpoint) int { return cmp.Compare(a.hash, b.hash) })
	for i, e := range s.members {
		e.position = 0
		if len(s.members) > 1 {
			e.position = float64(i) / float64(len(s.members)-1)
		}
	}
}

// SetStrictestPause sets the shortest pause between events that a service's
// routes allow; zero for none.
func (f *Fleet) SetStrictestPause(name string, pause time.Duration) {
	s := f.service(name)
	s.strictestPause = math.Inf(1)
	if pause > 0 {
		s.strictestPause = float64(pause.Milliseconds())
	}
}

func (f *Fleet) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{
			peerSpeeds:     make(map[string]heardSpeed),
			plainTime:      float64(plainTime.Milliseconds()),
			strictestPause: math.Inf(1),
		}
		f.services[name] = s
	}
	return s
}

// NewFleet returns an empty Fleet for a gateway in the given availability zone.
func NewFleet(zone string) *Fleet {
	return &Fleet{
		zone:       zone,
		endpoints:  make(map[string]*endpoint),
		byHash:     make(map[uint64]*endpoint),
		services:   make(map[string]*service),
		statements: make(map[string]statement),
	}
}

// Put adds an endpoint or changes its description.
func (f *Fleet) Put(e Endpoint) {
	old := f.endpoints[e.ID]
	if old != nil && old.Service == e.Service {
		old.Endpoint = e
		old.draining, old.leaving = false, false
		return
	}
	f.Remove(e.ID)
	added := &endpoint{
		Endpoint: e,
		hash:     Hash(e.ID),
		peers:    make(map[string]Load),
		cache:    newPartCache(e.MemoryTokens),
		slowness: 1,
		weight:   1,
	}
	f.endpoints[e.ID] = added
	f.byHash[added.hash] = added
	s := f.service(e.Service)
	s.members = append(s.members, added)
	s.order()
}

// Name returns the id of the endpoint with a hash; empty for none.
func (f *Fleet) Name(hash uint64) string {
	if e := f.byHash[hash]; e != nil {
		return e.ID
	}
	return ""
}

// ServiceOf returns the service of the endpoint with a hash; empty for none.
func (f *Fleet) ServiceOf(hash uint64) string {
	if e := f.byHash[hash]; e != nil {
		return e.Service
	}
	return ""
}

// Drain keeps an endpoint known and gives it no more work.
func (f *Fleet) Drain(id string) {
	if e := f.endpoints[id]; e != nil {
		e.draining = true
	}
}

// Leave drains an endpoint from which nothing is fetched any more either.
func (f *Fleet) Leave(id string) {
	if e := f.endpoints[id]; e != nil {
		e.draining, e.leaving = true, true
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
	s.members = slices.DeleteFunc(s.members, func(m *endpoint) bool { return m == e })
	s.order()
	// Entries of other writers may name any service; only what the configuration
	// set is kept without endpoints.
	if len(s.members) == 0 && math.IsInf(s.strictestPause, 1) {
		delete(f.services, e.Service)
	}
}

// SetHealth sets the judgement of an endpoint: weight from 0 to 1, and whether
// it receives nothing.
func (f *Fleet) SetHealth(id string, weight float64, ejected bool) {
	if e := f.endpoints[id]; e != nil {
		e.weight, e.ejected = weight, ejected
	}
}

// Choice is the endpoint for a request with the estimates that decided it.
type Choice struct {
	Endpoint Endpoint
	// Expected is the estimated time to the first event or to the plain answer.
	Expected time.Duration
	// Wait is the part of Expected that is due to other requests.
	Wait time.Duration
	// Uncached is the estimated number of prompt tokens to be read.
	Uncached int
	// FetchFrom is the address of an endpoint from which cached parts should be
	// fetched first; empty for none. Fetched is the expected number of tokens.
	FetchFrom string
	Fetched   int
	// SpeedUnknown states that the speed behind the estimates is a guess.
	SpeedUnknown bool
	// Free states that the endpoint has a free slot and memory.
	Free bool
	// Load is the load that was assumed, and LoadAge the time since the peers' part
	// of it changed.
	Load    Load
	LoadAge time.Duration
}

// Choose returns the cheapest endpoint of the service; false when no endpoint
// accepts work.
func (f *Fleet) Choose(now time.Time, w *Work) (Choice, bool) {
	s := f.services[w.Service]
	if s == nil {
		return Choice{}, false
	}
	best, found := f.cheapest(now, s, w, func(e *endpoint) bool { return f.usable(now, e) })
	if !found {
		best, found = f.cheapest(now, s, w, func(*endpoint) bool { return true })
	}
	return best, found
}

// usable reports whether an endpoint works as far as is known.
func (f *Fleet) usable(now time.Time, e *endpoint) bool {
	return !e.ejected && (f.leftOut == nil || !f.leftOut(now, e.hash))
}

func (f *Fleet) cheapest(now time.Time, s *service, w *Work, accept func(*endpoint) bool) (Choice, bool) {
	homes := s.homes(now, w, func(e *endpoint) bool { return f.usable(now, e) })
	homes.strictShare = s.strictShare(now)
	var best Choice
	bestCost := math.Inf(1)
	for _, e := range s.members {
		if e.draining || f.closed != nil && f.closed(now, e.hash) || !accept(e) || contains(w.Excluded, e.ID) {
			continue
		}
		c, cost := f.estimate(now, s, e, w, homes)
		cost = f.ruled(e, cost)
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
