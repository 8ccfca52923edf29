package ratelimit

import (
	"math"
	"time"
)

const (
	// minRate is the least rate in requests a second that is sent to an endpoint whatever
	// limit it names: without a response, its end would never be noticed.
	minRate = 0.1
	// carryTime and carryRequests are how long an unused allowance can still be used: for
	// carryTime, and for as long as the limit takes for carryRequests. In any four seconds,
	// the endpoint then gets at most five times its limit, and carryRequests and one more.
	carryTime     = time.Second
	carryRequests = 2.0
	// splitRequests is the mean allowance of a gateway in the carry time from which the limit
	// is split by weight. Below it, parts of a request would be lost, so that each slot goes
	// to one gateway as a whole.
	splitRequests = 2.0
	// minSplitShare is the least part of the mean that each gateway gets where a limit is
	// split, so that a quiet one has an allowance for its first request.
	minSplitShare = 0.5
	// shareRefresh is how often the share of a split limit is computed.
	shareRefresh = 100 * time.Millisecond
)

// allowance is what this gateway may send to one endpoint. Times are site times.
//
// A limit of L requests a second divides the site time into slots of 1/L, each of which
// allows one request. While there are few slots for each gateway, a slot belongs to the
// gateway that has the best score, by rendezvous hashing of the slot and the gateways with
// their weights. Gateways that know the same peers agree on the owner without asking each
// other. Otherwise each gateway gets a part of the limit as a token bucket.
type allowance struct {
	// next is the first slot that is not decided yet, and won are the beginnings of the own
	// slots that are not used yet, oldest first.
	next int64
	won  []time.Duration
	// tokens is the content of the bucket as of filledAt.
	tokens   float64
	filledAt time.Duration
	// share is the own part of a split limit as of shareAt.
	share   float64
	shareAt time.Time
}

// reset begins a new limit at a site time.
func (a *allowance) reset(site time.Duration, rate float64) {
	*a = allowance{next: slotAt(site, rate) + 1, filledAt: site}
}

// skip passes over a time that this gateway did not live through. Allowances that it
// already has keep their age.
func (a *allowance) skip(skipped, site time.Duration, rate float64) {
	for i := range a.won {
		a.won[i] += skipped
	}
	a.next, a.filledAt = slotAt(site, rate)+1, site
}

// slotAt returns the slot of a site time.
func slotAt(site time.Duration, rate float64) int64 { return int64(math.Floor(site.Seconds() * rate)) }

// rate returns the requests a second that all gateways together send to the endpoint.
func (e *endpoint) rate() float64 { return max(e.perSecond, minRate) }

// carry returns how long an unused allowance can be used.
func (e *endpoint) carry() time.Duration {
	return carryTime + time.Duration(carryRequests/e.rate()*float64(time.Second))
}

// Check reports whether an endpoint names a limit, and whether this gateway may send it a
// request now.
func (t *Table) Check(now time.Time, id uint64) (limited, allowed bool) {
	e := t.endpoints[id]
	if e == nil || e.lifted {
		return false, true
	}
	t.claim(now, e)
	return true, len(e.won) > 0 || e.tokens >= 1
}

// Take uses the allowance for one request to an endpoint.
func (t *Table) Take(now time.Time, id uint64) {
	e := t.endpoints[id]
	if e == nil || e.lifted {
		return
	}
	t.claim(now, e)
	switch {
	case len(e.won) > 0:
		e.won = e.won[1:]
	case e.tokens >= 1:
		e.tokens--
	}
}

// Share returns the requests a second that this gateway is expected to be allowed to send
// to an endpoint; zero if it names no limit.
func (t *Table) Share(id uint64) float64 {
	e := t.endpoints[id]
	if e == nil || e.lifted {
		return 0
	}
	own := e.own.lowest()
	_, peers := t.sumOfPeers(e)
	return e.rate() * own / (own + peers)
}

// hasJoined reports whether this gateway and its peers know of each other.
func (t *Table) hasJoined(now time.Time) bool {
	return t.self == 0 || now.Sub(t.startedAt) >= max(minJoinTime, joinIntervals*t.interval)
}

// claim brings the allowance for an endpoint up to the present.
func (t *Table) claim(now time.Time, e *endpoint) {
	site := t.clock.since(now)
	switch {
	case !t.hasJoined(now):
		e.reset(site, e.rate())
	case t.isSplit(e):
		e.won = nil
		e.next = slotAt(site, e.rate()) + 1
		t.fill(now, site, e)
	default:
		e.tokens, e.filledAt = 0, site
		t.draw(site, e)
	}
}

// isSplit reports whether the limit is split rather than drawn by slots.
func (t *Table) isSplit(e *endpoint) bool {
	return e.rate()*e.carry().Seconds() >= splitRequests*float64(len(t.peers)+1)
}

// draw decides the slots that have begun since the last call.
func (t *Table) draw(site time.Duration, e *endpoint) {
	rate, oldest := e.rate(), site-e.carry()
	for len(e.won) > 0 && e.won[0] <= oldest {
		e.won = e.won[1:]
	}
	last := slotAt(site, rate)
	for slot := max(e.next, slotAt(oldest, rate)+1); slot <= last; slot++ {
		if t.owns(e, slot) {
			e.won = append(e.won, time.Duration(float64(slot)/rate*float64(time.Second)))
		}
	}
	e.next = max(e.next, last+1)
}

// owns reports whether a slot belongs to this gateway.
func (t *Table) owns(e *endpoint, slot int64) bool {
	own := slotScore(t.self, e.id, slot, e.own.lowest())
	for peer := range t.peers {
		_, weight := e.peerWeights(peer)
		if slotScore(peer, e.id, slot, weight) <= own {
			return false
		}
	}
	return true
}

// slotScore returns the score of a gateway for a slot; the lowest wins. The probability to
// win is in proportion to the weight.
func slotScore(gateway, endpoint uint64, slot int64, weight float64) float64 {
	const fractionBits = 53
	x := mix(mix(gateway^mix(endpoint)) + uint64(slot))
	uniform := (float64(x>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -math.Log(uniform) / weight
}

// mix is the finalizer of splitmix64, with its increment.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// peerWeights returns the lowest and the highest recent weight of a peer.
func (e *endpoint) peerWeights(peer uint64) (low, high float64) {
	if w := e.peers[peer]; w != nil {
		return w.lowest(), w.highest()
	}
	return unknownWeight, unknownWeight
}

// sumOfPeers returns the sums of the lowest and of the highest recent weights of all peers.
func (t *Table) sumOfPeers(e *endpoint) (low, high float64) {
	for peer := range t.peers {
		l, h := e.peerWeights(peer)
		low, high = low+l, high+h
	}
	return low, high
}

// fill adds to the bucket what has accrued since the last call.
func (t *Table) fill(now time.Time, site time.Duration, e *endpoint) {
	if now.Sub(e.shareAt) >= shareRefresh {
		e.share, e.shareAt = t.splitShare(e), now
	}
	rate := e.rate() * e.share
	e.tokens = min(e.tokens+rate*(site-e.filledAt).Seconds(), rate*e.carry().Seconds())
	e.filledAt = site
}

// splitShare returns this gateway's part of a split limit. Each gateway counts with
// minSplitShare of the mean weight at least, the own one with that of the lowest weights
// and its peers with that of the highest.
func (t *Table) splitShare(e *endpoint) float64 {
	gateways := float64(len(t.peers) + 1)
	low, high := t.sumOfPeers(e)
	own := max(e.own.lowest(), minSplitShare*(e.own.lowest()+low)/gateways)
	least := minSplitShare * (e.own.highest() + high) / gateways
	sum := own
	for peer := range t.peers {
		_, weight := e.peerWeights(peer)
		sum += max(weight, least)
	}
	return own / sum
}
