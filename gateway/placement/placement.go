// Package placement chooses the endpoint for each request. For every endpoint of the
// service it estimates the time to the first event and the delay that the request
// would cause to the streams that already run there, combines them into a cost, and
// chooses the endpoint with the lowest cost.
//
// The load of an endpoint is computed from what the gateways have sent to it. Load
// reports of the endpoints themselves are not used: they are old when they arrive, and
// all gateways would read the same report and choose the same endpoint. A Fleet counts
// the requests of its own gateway and adds the loads that its peers state.
//
// In comments, an engine reads prompt tokens when it prefills them.
//
// The types of the package are not safe for concurrent use; the time is a parameter.
package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a segment of a prompt. Requests that begin with the same parts can share
// their KV cache entries.
type Part struct {
	ID     uint64
	Tokens int
}

// Work describes a request to be placed.
type Work struct {
	Service string
	// Streaming is false for plain requests, which have no tokens.
	Streaming bool
	// PromptTokens and OutputTokens are the numbers of tokens that the caller stated.
	PromptTokens, OutputTokens int
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Parts are the segments of the prompt in order. The last one is specific to the
	// request and is never shared.
	Parts []Part
	// Target is the time to the first event, or to a plain response; MaxPause is the
	// longest pause between later events. Zero means none.
	Target, MaxPause time.Duration
	// OnlyVersion restricts the endpoints to those whose software has Version.
	OnlyVersion bool
	Version     string
	// Proven leaves out the endpoints whose process is not proven.
	Proven bool
	// Excluded lists the ids of the endpoints that were already tried.
	Excluded []string
}

// ownTokens is the number of tokens in the part that no other request shares.
func (w *Work) ownTokens() int {
	if len(w.Parts) == 0 {
		return w.PromptTokens
	}
	return w.Parts[len(w.Parts)-1].Tokens
}

// fits reports whether the version and the process of an endpoint are allowed.
func (w *Work) fits(e *endpoint) bool {
	if w.Proven && e.unproven {
		return false
	}
	return !w.OnlyVersion || e.Version == w.Version && !e.VersionOutdated
}

// SharedParts returns the parts that other requests may share: all but the last.
func (w *Work) SharedParts() []Part {
	if len(w.Parts) == 0 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

// Endpoint describes an endpoint that requests can be sent to.
type Endpoint struct {
	ID, Service, Address, Zone string
	// Version is the version of the endpoint's software; empty if unknown.
	Version string
	// VersionOutdated states that Version is that of a process that has ended.
	VersionOutdated bool
	// Born is the start of the endpoint's process in Unix milliseconds; 0 if unknown.
	Born int64
	// Slots is the number of requests that run at the same time.
	Slots int
	// MemoryTokens is the size of the engine's KV cache in tokens; 0 for plain services.
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// FetchRate is the speed at which KV cache entries are fetched from another
	// endpoint, in tokens per millisecond; 0 where that is not possible.
	FetchRate float64
}

// endpoint is an Endpoint with its estimated load, cache contents and speed.
type endpoint struct {
	Endpoint
	hash uint64
	// process is the ProcessHash.
	process uint64
	// position is the rank among the service's endpoints ordered by hash, from 0 to 1.
	position float64
	// draining endpoints get no new requests.
	draining bool
	// leaving endpoints are no source of cached parts either.
	leaving bool
	// unproven is set while nothing shows which process is behind the endpoint's address.
	unproven bool
	ownLoad  Load
	// peerLoads holds the load by peer, and peerTotal their sum; peersUpdatedAt is
	// when one of them was last replaced.
	peerLoads      map[string]Load
	peerTotal      Load
	peersUpdatedAt time.Time
	// peerPrefill holds the unread prompt tokens of the peers. Load.Prefill is zero in
	// peerLoads and peerTotal.
	peerPrefill prefillBacklog
	cache       *partCache
	// slowness is the smoothed ratio of observed to expected times, decayed towards 1
	// up to slownessAt.
	slowness   float64
	slownessAt time.Time
	// weight and ejected are the latest values of SetHealth.
	weight  float64
	ejected bool
}

// Hash returns the hash of an endpoint's id, by which gateways name the endpoint to
// each other.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// ProcessHash returns the hash of one process of an endpoint, by which gateways name it to
// each other where what they say is not true of the next process with the same id. Born is
// Endpoint.Born.
func ProcessHash(id string, born int64) uint64 {
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(id)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(born)))
	return h.Sum64()
}

// EndpointFilter reports whether a condition holds for an endpoint, given by the hash
// of its id.
type EndpointFilter func(now time.Time, endpoint uint64) bool

// SetLeftOut sets the filter for endpoints that get a request only if no other
// endpoint accepts it, like ejected ones; nil means none.
func (f *Fleet) SetLeftOut(isLeftOut EndpointFilter) { f.isLeftOut = isLeftOut }

// SetPaused sets the filter for endpoints that get no request even if no other
// endpoint accepts it; nil means none.
func (f *Fleet) SetPaused(isPaused EndpointFilter) { f.isPaused = isPaused }

// Limits holds the rates of requests that endpoints accept. An endpoint is given by the
// hash of its id.
type Limits interface {
	// Check reports whether the endpoint names a limit, and whether it allows a request of
	// this gateway now.
	Check(now time.Time, endpoint uint64) (limited, allowed bool)
	// Want counts a request that would be sent to the endpoint without its limit.
	Want(now time.Time, endpoint uint64)
}

// SetLimits sets the limits of the endpoints; nil means none. An endpoint whose limit does
// not allow a request gets none, even if no other endpoint accepts it.
func (f *Fleet) SetLimits(l Limits) { f.limits = l }

// Fleet holds the endpoints of all services with their estimated load, speed and cache
// contents, as known to one gateway.
type Fleet struct {
	// zone is the availability zone of the gateway.
	zone      string
	endpoints map[string]*endpoint
	byHash    map[uint64]*endpoint
	byProcess map[uint64]*endpoint
	services  map[string]*service
	// statements holds the latest load statement of each peer.
	statements map[string]statement
	// unstatedPromptTokens is the number of prompt tokens sent to endpoints since the
	// last OwnLoads.
	unstatedPromptTokens int
	// isLeftOut holds for endpoints to avoid, isPaused for those that get no request at
	// all; nil means none.
	isLeftOut EndpointFilter
	isPaused  EndpointFilter
	// limits is nil for none; limitedCosts are the costs of the limited endpoints in the
	// last choice.
	limits       Limits
	limitedCosts []limitedCost
	// rule is empty for Cheapest; rng is used by the other rules only.
	rule Rule
	rng  *rand.Rand
	// placements holds the latest placements of this gateway, oldest first.
	placements []Placement
	// spill is nil while the zone is chosen by a constant cost.
	spill *zoneSpill
}

// service holds the endpoints of a service with estimates that apply to all of them.
type service struct {
	members []*endpoint
	// ownSpeed is the prefill speed that this gateway observed, peerSpeeds what its
	// peers state, and combinedSpeed the mean of all.
	ownSpeed      Speed
	peerSpeeds    map[string]peerSpeed
	combinedSpeed Speed
	// plainMS is the observed service time of a plain request in milliseconds, on an
	// endpoint of slowness 1.
	plainMS float64
	// strictestPauseMS is the shortest pause that a route of the service allows, in
	// milliseconds; infinite for none.
	strictestPauseMS float64
	strict           strictDemand
	// spill is unused while the zone is chosen by a constant cost.
	spill zoneShare
}

// sortMembers sorts the members by hash, so that all gateways use the same order, and
// sets their positions.
func (s *service) sortMembers() {
	slices.SortFunc(s.members, func(a, b *endpoint) int { return cmp.Compare(a.hash, b.hash) })
	for i, e := range s.members {
		e.position = 0
		if len(s.members) > 1 {
			e.position = float64(i) / float64(len(s.members)-1)
		}
	}
}

// SetStrictestPause sets the shortest MaxPause of a service's routes; zero means that
// none of them limits the pauses.
func (f *Fleet) SetStrictestPause(name string, pause time.Duration) {
	s := f.service(name)
	s.strictestPauseMS = math.Inf(1)
	if pause > 0 {
		s.strictestPauseMS = float64(pause.Milliseconds())
	}
}

// service returns a service, which it adds if it is not known.
func (f *Fleet) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{
			peerSpeeds:       make(map[string]peerSpeed),
			plainMS:          float64(defaultPlainTime.Milliseconds()),
			strictestPauseMS: math.Inf(1),
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
		byProcess:  make(map[uint64]*endpoint),
		services:   make(map[string]*service),
		statements: make(map[string]statement),
	}
}

// Put adds an endpoint or replaces its description. Another process of the endpoint begins
// without load and cached parts. The endpoint is neither draining nor leaving afterwards.
func (f *Fleet) Put(e Endpoint) {
	old := f.endpoints[e.ID]
	if old != nil && old.Service == e.Service && old.Born == e.Born {
		old.Endpoint = e
		old.draining, old.leaving = false, false
		return
	}
	f.Remove(e.ID)
	added := &endpoint{
		Endpoint:  e,
		hash:      Hash(e.ID),
		process:   ProcessHash(e.ID, e.Born),
		peerLoads: make(map[string]Load),
		cache:     newPartCache(e.MemoryTokens),
		slowness:  1,
		weight:    1,
	}
	f.endpoints[e.ID] = added
	f.byHash[added.hash] = added
	f.byProcess[added.process] = added
	s := f.service(e.Service)
	s.members = append(s.members, added)
	s.sortMembers()
}

// AllowVersion lets an endpoint whose version is outdated get requests of that version until it
// is put again.
func (f *Fleet) AllowVersion(id string) {
	if e := f.endpoints[id]; e != nil {
		e.VersionOutdated = false
	}
}

// SetUnproven sets whether nothing shows which process is behind an endpoint's address.
func (f *Fleet) SetUnproven(id string, unproven bool) {
	if e := f.endpoints[id]; e != nil {
		e.unproven = unproven
	}
}

// HasUnproven reports whether the work would fit an endpoint of its service if its process were
// proven.
func (f *Fleet) HasUnproven(w *Work) bool {
	s := f.services[w.Service]
	return s != nil && slices.ContainsFunc(s.members, func(e *endpoint) bool {
		return e.unproven && !e.draining && (!w.OnlyVersion || e.Version == w.Version)
	})
}

// Name returns the id of the endpoint with the given hash; empty for none.
func (f *Fleet) Name(hash uint64) string {
	if e := f.byHash[hash]; e != nil {
		return e.ID
	}
	return ""
}

// Process returns the ProcessHash of the endpoint with the given hash; zero for none.
func (f *Fleet) Process(hash uint64) uint64 {
	if e := f.byHash[hash]; e != nil {
		return e.process
	}
	return 0
}

// ProcessName returns the id of the endpoint whose current process has the given ProcessHash;
// empty for none.
func (f *Fleet) ProcessName(process uint64) string {
	if e := f.byProcess[process]; e != nil {
		return e.ID
	}
	return ""
}

// Address returns the address of an endpoint; empty for an unknown one.
func (f *Fleet) Address(id string) string {
	if e := f.endpoints[id]; e != nil {
		return e.Address
	}
	return ""
}

// IsDraining reports whether an endpoint is draining or leaving.
func (f *Fleet) IsDraining(id string) bool {
	e := f.endpoints[id]
	return e != nil && e.draining
}

// ServiceOf returns the service of the endpoint with the given hash; empty for none.
func (f *Fleet) ServiceOf(hash uint64) string {
	if e := f.byHash[hash]; e != nil {
		return e.Service
	}
	return ""
}

// EachOf calls visit with the hash of each endpoint of a service.
func (f *Fleet) EachOf(service string, visit func(endpoint uint64)) {
	if s := f.services[service]; s != nil {
		for _, e := range s.members {
			visit(e.hash)
		}
	}
}

// Drain excludes an endpoint from new requests but keeps it as a source of cached
// parts.
func (f *Fleet) Drain(id string) {
	if e := f.endpoints[id]; e != nil {
		e.draining = true
	}
}

// Leave drains an endpoint and excludes it as a source of cached parts, too.
func (f *Fleet) Leave(id string) {
	if e := f.endpoints[id]; e != nil {
		e.draining, e.leaving = true, true
	}
}

// Remove deletes an endpoint.
func (f *Fleet) Remove(id string) {
	e := f.endpoints[id]
	if e == nil {
		return
	}
	delete(f.endpoints, id)
	delete(f.byHash, e.hash)
	delete(f.byProcess, e.process)
	s := f.services[e.Service]
	s.members = slices.DeleteFunc(s.members, func(m *endpoint) bool { return m == e })
	s.sortMembers()
	// Entries in the directory come from several writers and may name any service. To
	// bound the memory, a service without endpoints is kept only if the configuration
	// set its strictest pause.
	if len(s.members) == 0 && math.IsInf(s.strictestPauseMS, 1) {
		delete(f.services, e.Service)
	}
}

// SetHealth sets the weight of an endpoint, from 0 to 1, and whether it is ejected.
// A lower weight adds to the cost. An ejected endpoint gets a request only if no other
// endpoint accepts it.
func (f *Fleet) SetHealth(id string, weight float64, ejected bool) {
	if e := f.endpoints[id]; e != nil {
		e.weight, e.ejected = weight, ejected
	}
}

// Choice is the endpoint chosen for a request, with the estimates behind the choice.
type Choice struct {
	Endpoint Endpoint
	// Expected is the estimated time to the first event or to the plain response.
	Expected time.Duration
	// Wait is the part of Expected that is due to other requests; zero for a plain request.
	Wait time.Duration
	// Uncached is the estimated number of prompt tokens that the engine must prefill;
	// zero for a plain request.
	Uncached int
	// FetchFrom is the address of an endpoint from which the KV cache entries of shared
	// parts should be fetched first; empty for none. Fetched is the expected number of
	// tokens in them.
	FetchFrom string
	Fetched   int
	// LeavesZone is true if the endpoint is in another availability zone.
	LeavesZone bool
	// SpeedUnknown is true while the estimates rest on a default or on too few
	// observations of the prefill speed.
	SpeedUnknown bool
	// Free is true if the endpoint has a free slot and enough KV cache.
	Free bool
	// Load is the load behind the estimates, and LoadAge the time since a peer last
	// updated its part of it; zero if none ever did.
	Load    Load
	LoadAge time.Duration
}

// Choose returns the endpoint with the lowest cost; false if no endpoint of the service
// accepts the request. Ejected and left-out endpoints are considered only if no other
// one accepts it.
func (f *Fleet) Choose(now time.Time, w *Work) (Choice, bool) {
	s := f.services[w.Service]
	if s == nil {
		return Choice{}, false
	}
	var best Choice
	var found bool
	if f.spill != nil {
		best, found = f.chooseZone(now, s, w)
	} else {
		best, found = f.cheapest(now, s, w, func(e *endpoint) bool { return f.usable(now, e) })
	}
	if !found {
		best, found = f.cheapest(now, s, w, func(*endpoint) bool { return true })
	}
	for _, l := range f.limitedCosts {
		f.limits.Want(now, l.endpoint)
	}
	return best, found
}

// limitedCost is the cost of a request at an endpoint that names a limit.
type limitedCost struct {
	endpoint uint64
	cost     float64
}

// checkLimit reports whether an endpoint names a limit and whether it allows a request.
func (f *Fleet) checkLimit(now time.Time, e *endpoint) (limited, allowed bool) {
	if f.limits == nil {
		return false, true
	}
	return f.limits.Check(now, e.hash)
}

// usable reports whether an endpoint is neither ejected nor left out.
func (f *Fleet) usable(now time.Time, e *endpoint) bool {
	return !e.ejected && (f.isLeftOut == nil || !f.isLeftOut(now, e.hash))
}

// cheapest returns the endpoint with the lowest cost among those for which accept is
// true; false if there is none. Draining, paused and excluded ones are skipped, and those
// of another version than the work allows or whose limit allows no request. It sets limitedCosts to the limited endpoints that are
// cheaper than all others, whether or not they allow the request.
func (f *Fleet) cheapest(now time.Time, s *service, w *Work, accept func(*endpoint) bool) (Choice, bool) {
	// Each zone has homes of its own while requests leave it by share.
	homes := s.homes(now, w, func(e *endpoint) bool { return f.usable(now, e) && (f.spill == nil || accept(e)) })
	homes.source, homes.sourceTokens = s.fetchSource(now, w, func(e *endpoint) bool { return f.isSource(now, e) })
	homes.strictShare = s.strictShare(now)
	var best Choice
	bestCost, cheapestUnlimited := math.Inf(1), math.Inf(1)
	f.limitedCosts = f.limitedCosts[:0]
	for _, e := range s.members {
		if e.draining || f.isPaused != nil && f.isPaused(now, e.hash) || !accept(e) || contains(w.Excluded, e.ID) || !w.fits(e) {
			continue
		}
		c, cost := f.estimate(now, s, e, w, homes)
		cost = f.ruleCost(e, cost)
		limited, allowed := f.checkLimit(now, e)
		if limited {
			f.limitedCosts = append(f.limitedCosts, limitedCost{e.hash, cost})
		} else {
			cheapestUnlimited = min(cheapestUnlimited, cost)
		}
		if allowed && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	f.limitedCosts = slices.DeleteFunc(f.limitedCosts, func(l limitedCost) bool { return l.cost > cheapestUnlimited })
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
