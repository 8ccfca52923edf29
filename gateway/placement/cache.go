package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCachedParts bounds the parts that are remembered for one endpoint.
const maxCachedParts = 4096

// partCache models which shared parts an engine keeps. Like the engine, it drops
// the least recently used part when the memory is full.
type partCache struct {
	parts    *simplelru.LRU[uint64, cachedPart]
	tokens   int
	capacity int
}

type cachedPart struct {
	tokens int
	// readAt is when the engine is expected to have read the part.
	readAt time.Time
}

func newPartCache(capacity int) *partCache {
	c := &partCache{capacity: capacity}
	// The size is positive, which is all that NewLRU checks.
	c.parts, _ = simplelru.NewLRU[uint64, cachedPart](maxCachedParts, func(_ uint64, p cachedPart) { c.tokens -= p.tokens })
	return c
}

// state tells whether a part was sent there and whether it was read by now.
func (c *partCache) state(now time.Time, id uint64) (sent, read bool) {
	p, ok := c.parts.Peek(id)
	return ok, ok && !now.Before(p.readAt)
}

// use marks a part as needed now and returns whether it was not known before.
// Memory that running requests hold, inUse, is not available for parts.
func (c *partCache) use(p Part, readAt time.Time, inUse int) bool {
	if _, ok := c.parts.Get(p.ID); ok {
		return false
	}
	c.parts.Add(p.ID, cachedPart{tokens: p.Tokens, readAt: readAt})
	c.tokens += p.Tokens
	room := max(c.capacity-inUse, 0)
	for c.tokens > room && c.parts.Len() > 1 {
		c.parts.RemoveOldest()
	}
	return true
}

// Placement states that a shared part was sent to an endpoint.
type Placement struct {
	// Endpoint is the hash of the endpoint's id.
	Endpoint uint64
	Part     Part
	// At is when it was sent.
	At time.Time
}

const (
	// maxPlacements bounds the placements that are kept for the peers.
	maxPlacements = 256
	// peerReadTime is the assumed time from a peer's placement until the part
	// was read.
	peerReadTime = 300 * time.Millisecond
)

func (f *Fleet) notePlacement(p Placement) {
	if len(f.placements) >= maxPlacements {
		f.placements = f.placements[1:]
	}
	f.placements = append(f.placements, p)
}

// Placements returns this gateway's placements since a time.
func (f *Fleet) Placements(since time.Time) []Placement {
	for i, p := range f.placements {
		if !p.At.Before(since) {
			return f.placements[i:]
		}
	}
	return nil
}

// PeerPlacement notes that a peer has sent a shared part to an endpoint.
func (f *Fleet) PeerPlacement(now time.Time, endpoint uint64, p Part) {
	if e := f.byHash[endpoint]; e != nil {
		load, _ := e.load(now)
		e.cache.use(p, now.Add(peerReadTime), load.Memory)
	}
}

// CachedParts calls report for each shared part that an endpoint is believed to
// keep.
func (f *Fleet) CachedParts(report func(endpoint uint64, p Part)) {
	for _, e := range f.endpoints {
		for _, id := range e.cache.parts.Keys() {
			if part, ok := e.cache.parts.Peek(id); ok {
				report(e.hash, Part{ID: id, Tokens: part.tokens})
			}
		}
	}
}

// homes are the endpoints where a request's shared parts belong. All gateways
// compute the same homes without a message: rendezvous hashing of the last
// shared part and the endpoint's id.
type homes struct {
	first, second *endpoint
	// source is the endpoint that has read the most of the shared parts, as far
	// as is known; nil for none.
	source       *endpoint
	sourceTokens int
	// strictShare is the part of the endpoints that is kept for strict streams.
	strictShare float64
}

func (s *service) homes(now time.Time, w *Work, usable func(*endpoint) bool) homes {
	shared := w.shared()
	if len(shared) == 0 {
		return homes{}
	}
	key := shared[len(shared)-1].ID
	var h homes
	var firstRank, secondRank uint64
	for _, e := range s.members {
		if !usable(e) || e.leaving {
			continue
		}
		if !e.draining {
			rank := mix(key ^ e.hash)
			switch {
			case h.first == nil || rank > firstRank:
				h.second, secondRank = h.first, firstRank
				h.first, firstRank = e, rank
			case h.second == nil || rank > secondRank:
				h.second, secondRank = e, rank
			}
		}
		if read := e.readTokens(now, shared); read > h.sourceTokens {
			h.source, h.sourceTokens = e, read
		}
	}
	return h
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// readTokens returns the tokens of the leading shared parts that the endpoint
// has read. A part helps only if all parts before it are cached too.
func (e *endpoint) readTokens(now time.Time, shared []Part) int {
	sum := 0
	for _, p := range shared {
		if _, read := e.cache.state(now, p.ID); !read {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// sentTokens returns the expected tokens of the leading shared parts that the
// endpoint will have read before a request that is sent now.
func (e *endpoint) sentTokens(shared []Part, h homes) float64 {
	prior := 0.0
	switch {
	case h.source != nil:
		// Somebody is known to hold the parts; guesses are not needed.
	case e == h.first:
		prior = homeBelief
	case e == h.second:
		prior = secondBelief
	}
	sum := 0.0
	for _, p := range shared {
		belief := prior
		if sent, _ := e.cache.state(time.Time{}, p.ID); sent {
			belief = 1
		}
		if belief == 0 {
			break
		}
		sum += belief * float64(p.Tokens)
	}
	return sum
}

// plan decides what the endpoint reads itself and what it fetches. It returns
// the time of the fetch in milliseconds.
func (s *service) plan(c *Choice, e *endpoint, w *Work, h homes) float64 {
	known := e.sentTokens(w.shared(), h)
	c.Uncached = max(w.PromptTokens-int(known), 0)
	missing := float64(h.sourceTokens) - known
	if h.source == nil || h.source == e || e.FetchRate <= 0 || missing < minFetch {
		return 0
	}
	c.FetchFrom = h.source.Address
	c.Fetched = int(missing)
	c.Uncached -= c.Fetched
	return s.fetchTime(e, c.Fetched)
}

// fetchTime is the expected time of a fetch in milliseconds.
func (s *service) fetchTime(e *endpoint, tokens int) float64 {
	if tokens <= 0 || e.FetchRate <= 0 {
		return 0
	}
	return fetchSetup + float64(tokens)/e.FetchRate
}
