package placement

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCachedParts bounds the parts that are remembered for one endpoint.
const maxCachedParts = 4096

// partCache models which shared parts an engine keeps. Like the engine, it drops
// the least recently used part when the memory is full.
type partCache struct {
	parts    *simplelru.LRU[uint64, int]
	tokens   int
	capacity int
}

func newPartCache(capacity int) *partCache {
	c := &partCache{capacity: capacity}
	// The size is positive, which is all that NewLRU checks.
	c.parts, _ = simplelru.NewLRU[uint64, int](maxCachedParts, func(_ uint64, tokens int) { c.tokens -= tokens })
	return c
}

func (c *partCache) has(id uint64) bool { return c.parts.Contains(id) }

// use marks parts as read now; inUse is the memory that running requests hold.
func (c *partCache) use(parts []Part, inUse int) {
	for _, p := range parts {
		if _, ok := c.parts.Get(p.ID); ok {
			continue
		}
		c.parts.Add(p.ID, p.Tokens)
		c.tokens += p.Tokens
	}
	room := max(c.capacity-inUse, 0)
	for c.tokens > room && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}

// homes are the endpoints where a request's shared parts belong. All gateways
// compute the same homes without a message: rendezvous hashing of the last
// shared part and the endpoint's id.
type homes struct {
	first, second *endpoint
}

func (s *service) homes(w *Work) homes {
	shared := w.shared()
	if len(shared) == 0 {
		return homes{}
	}
	key := shared[len(shared)-1].ID
	var h homes
	var firstRank, secondRank uint64
	for _, e := range s.members {
		if e.draining || e.ejected {
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

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// cachedTokens returns the expected number of tokens of the shared parts that
// the endpoint need not read. A part helps only if all parts before it are
// cached too.
func (e *endpoint) cachedTokens(shared []Part, h homes) float64 {
	prior := 0.0
	switch e {
	case h.first:
		prior = homeBelief
	case h.second:
		prior = secondBelief
	}
	sum := 0.0
	for _, p := range shared {
		belief := prior
		if e.cache.has(p.ID) {
			belief = 1
		}
		if belief == 0 {
			break
		}
		sum += belief * float64(p.Tokens)
	}
	return sum
}
