package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCachedParts bounds the parts that are tracked for one endpoint.
const maxCachedParts = 4096

// partCache models which shared parts are in the KV cache of an engine. Like the
// engine, it evicts the least recently used part when the memory is full.
type partCache struct {
	parts *simplelru.LRU[uint64, cachedPart]
	// tokens is the sum over parts; capacity is the size of the KV cache in tokens.
	tokens   int
	capacity int
}

type cachedPart struct {
	tokens int
	// readAt is when the engine is expected to have finished the part's prefill.
	readAt time.Time
}

func newPartCache(capacity int) *partCache {
	c := &partCache{capacity: capacity}
	// The size is positive, which is all that NewLRU checks.
	c.parts, _ = simplelru.NewLRU[uint64, cachedPart](maxCachedParts, func(_ uint64, p cachedPart) { c.tokens -= p.tokens })
	return c
}

// lookup reports whether a part was sent to the engine, and whether its prefill should
// have finished by now. It doesn't mark the part as used.
func (c *partCache) lookup(now time.Time, id uint64) (sent, read bool) {
	p, ok := c.parts.Peek(id)
	return ok, ok && !now.Before(p.readAt)
}

// touch marks a part as the most recently used one and reports whether it is new. To
// make room for a new part it evicts others; inUse is the number of tokens that running
// requests hold, which are not available for cached parts.
func (c *partCache) touch(p Part, readAt time.Time, inUse int) bool {
	if _, ok := c.parts.Get(p.ID); ok {
		return false
	}
	c.parts.Add(p.ID, cachedPart{tokens: p.Tokens, readAt: readAt})
	c.tokens += p.Tokens
	available := max(c.capacity-inUse, 0)
	for c.tokens > available && c.parts.Len() > 1 {
		c.parts.RemoveOldest()
	}
	return true
}

// Placement records that a shared part was sent to an endpoint.
type Placement struct {
	// Process is the ProcessHash of the endpoint.
	Process uint64
	Part    Part
	// At is when the part was sent.
	At time.Time
}

const (
	// maxPlacements bounds the placements that are kept to be stated to peers.
	maxPlacements = 256
	// peerReadTime is the assumed time from a peer's placement to the end of the
	// part's prefill.
	peerReadTime = 300 * time.Millisecond
)

// recordPlacement adds a placement and drops the oldest one beyond maxPlacements.
func (f *Fleet) recordPlacement(p Placement) {
	if len(f.placements) >= maxPlacements {
		f.placements = f.placements[1:]
	}
	f.placements = append(f.placements, p)
}

// Placements returns the placements of this gateway at or after a time.
func (f *Fleet) Placements(since time.Time) []Placement {
	for i, p := range f.placements {
		if !p.At.Before(since) {
			return f.placements[i:]
		}
	}
	return nil
}

// PeerPlacement records that a peer has sent a shared part to the process of an endpoint with
// the given ProcessHash. One that is not the current process is ignored.
func (f *Fleet) PeerPlacement(now time.Time, process uint64, p Part) {
	if e := f.byProcess[process]; e != nil {
		load, _ := e.totalLoad(now)
		e.cache.touch(p, now.Add(peerReadTime), load.Memory)
	}
}

// CachedParts calls report for each shared part that an endpoint is expected to have
// in its KV cache, with the ProcessHash of the endpoint.
func (f *Fleet) CachedParts(report func(process uint64, p Part)) {
	for _, e := range f.endpoints {
		for _, id := range e.cache.parts.Keys() {
			if part, ok := e.cache.parts.Peek(id); ok {
				report(e.process, Part{ID: id, Tokens: part.tokens})
			}
		}
	}
}

// partHomes holds the endpoints that are preferred for a request because of its shared
// parts. first and second have the highest ranks in rendezvous hashing of the last
// shared part and the endpoint's id, so that all gateways compute the same ones without
// communication.
type partHomes struct {
	first, second *endpoint
	// source is the endpoint known to have the most tokens of the leading shared parts
	// in its cache, which are sourceTokens; nil for none.
	source       *endpoint
	sourceTokens int
	// strictShare is the share of the endpoints that is reserved for strict streams.
	strictShare float64
}

// homes returns the preferred endpoints for a request; source and strictShare are not set.
func (s *service) homes(now time.Time, w *Work, usable func(*endpoint) bool) partHomes {
	shared := w.SharedParts()
	if len(shared) == 0 {
		return partHomes{}
	}
	key := shared[len(shared)-1].ID
	var h partHomes
	var firstRank, secondRank uint64
	for _, e := range s.members {
		if !usable(e) || e.draining {
			continue
		}
		rank := mix(key ^ e.hash)
		switch {
		case h.first == nil || rank > firstRank:
			h.second, secondRank = h.first, firstRank
			h.first, firstRank = e, rank
		case h.second == nil || rank > secondRank:
			h.second, secondRank = e, rank
		}
	}
	return h
}

// isSource reports whether cached parts may be fetched from an endpoint. A fetch is a
// request to its source, so an endpoint that names a limit is none.
func (f *Fleet) isSource(now time.Time, e *endpoint) bool {
	limited, _ := f.checkLimit(now, e)
	return f.usable(now, e) && !e.leaving && !limited
}

// fetchSource returns the endpoint among those for which isSource is true that has the most
// tokens of the leading shared parts in its cache, and their number; nil for none.
func (s *service) fetchSource(now time.Time, w *Work, isSource func(*endpoint) bool) (source *endpoint, tokens int) {
	shared := w.SharedParts()
	if len(shared) == 0 {
		return nil, 0
	}
	for _, e := range s.members {
		if read := e.cachedTokens(now, shared); read > tokens && isSource(e) {
			source, tokens = e, read
		}
	}
	return source, tokens
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// cachedTokens returns the number of tokens in the leading shared parts that the
// endpoint has read. A cached part is usable only if all parts before it are cached too.
func (e *endpoint) cachedTokens(now time.Time, shared []Part) int {
	sum := 0
	for _, p := range shared {
		if _, read := e.cache.lookup(now, p.ID); !read {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// expectedCachedTokens returns the expected number of tokens in the leading shared parts
// that the endpoint will have read before a request that is sent now.
func (e *endpoint) expectedCachedTokens(shared []Part, h partHomes) float64 {
	defaultProbability := 0.0
	switch {
	case h.source != nil:
		// An endpoint is known to have read the parts; the default probabilities
		// are for parts that this gateway knows nothing about.
	case e == h.first:
		defaultProbability = homeCachedProbability
	case e == h.second:
		defaultProbability = secondHomeCachedProbability
	}
	sum := 0.0
	for _, p := range shared {
		probability := defaultProbability
		if sent, _ := e.cache.lookup(time.Time{}, p.ID); sent {
			probability = 1
		}
		if probability == 0 {
			break
		}
		sum += probability * float64(p.Tokens)
	}
	return sum
}

// planFetch sets how many tokens the endpoint must prefill and how many of them it
// fetches from the cache of another one instead. It returns the expected time of the
// fetch in milliseconds.
func (s *service) planFetch(c *Choice, e *endpoint, w *Work, h partHomes) float64 {
	cached := e.expectedCachedTokens(w.SharedParts(), h)
	c.Uncached = max(w.PromptTokens-int(cached), 0)
	missing := float64(h.sourceTokens) - cached
	if h.source == nil || h.source == e || e.FetchRate <= 0 || missing < minFetchTokens {
		return 0
	}
	c.FetchFrom = h.source.Address
	c.Fetched = int(missing)
	c.Uncached -= c.Fetched
	return s.fetchTimeMS(e, c.Fetched)
}

// fetchTimeMS returns the expected time of a fetch in milliseconds.
func (s *service) fetchTimeMS(e *endpoint, tokens int) float64 {
	if tokens <= 0 || e.FetchRate <= 0 {
		return 0
	}
	return fetchSetupMS + float64(tokens)/e.FetchRate
}
