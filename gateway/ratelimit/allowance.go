package ratelimit

import (
	"math"
	"time"
)

const (
	// minRate and maxRate bound the rate in requests a second that is sent to an endpoint,
	// whatever limit it names: without a response, its end would never be noticed, and the
	// time to decide the slots grows with the rate.
	minRate = 0.1
	maxRate = 1000
	// carryTime and carryRequests are how long an unused slot can still be used: for
	// carryTime, and for as long as the limit takes for carryRequests. In any four seconds,
	// the endpoint then gets at most five times its limit, and carryRequests and one more.
	carryTime     = time.Second
	carryRequests = 2.0
)

// allowance is what this gateway may send to one endpoint. Times are site times.
//
// A limit of L requests a second divides the site time into slots of 1/L, each of which
// allows one request. A slot belongs to the gateway that has the best score, by rendezvous
// hashing of the slot and the gateways with their weights. Gateways that know the same
// peers agree on the owner without asking each other.
type allowance struct {
	// next is the first slot that is not decided yet, and won are the beginnings of the own
	// slots that are not used yet, oldest first.
	next int64
	won  []time.Duration
}

// reset begins a new limit at a site time.
func (a *allowance) reset(site time.Duration, rate float64) {
	*a = allowance{next: slotAt(site, rate) + 1}
}

// skip passes over a time that this gateway did not live through. Slots that it already has
// keep their age.
func (a *allowance) skip(skipped, site time.Duration, rate float64) {
	for i := range a.won {
		a.won[i] += skipped
	}
	a.next = slotAt(site, rate) + 1
}

// slotAt returns the slot of a site time.
func slotAt(site time.Duration, rate float64) int64 { return int64(math.Floor(site.Seconds() * rate)) }

// rate returns the requests a second that all gateways together send to the endpoint.
func (e *endpoint) rate() float64 { return min(max(e.perSecond, minRate), maxRate) }

// carry returns how long an unused slot can be used.
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
	return true, len(e.won) > 0
}

// Take uses the oldest own slot for one request to an endpoint.
func (t *Table) Take(now time.Time, id uint64) {
	e := t.endpoints[id]
	if e == nil || e.lifted {
		return
	}
	t.claim(now, e)
	if len(e.won) > 0 {
		e.won = e.won[1:]
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
	sum := own
	for peer := range t.peers {
		sum += e.peerWeight(peer)
	}
	return e.rate() * own / sum
}

// hasJoined reports whether this gateway and its peers know of each other.
func (t *Table) hasJoined(now time.Time) bool {
	return t.self == 0 || now.Sub(t.startedAt) >= max(minJoinTime, joinIntervals*t.interval)
}

// claim decides the slots that have begun since the last call, and drops those that can no
// longer be used.
func (t *Table) claim(now time.Time, e *endpoint) {
	site, rate := t.clock.since(now), e.rate()
	if !t.hasJoined(now) {
		e.reset(site, rate)
		return
	}
	oldest := site - e.carry()
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
		if slotScore(peer, e.id, slot, e.peerWeight(peer)) <= own {
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

// peerWeight returns the weight that a peer counts with.
func (e *endpoint) peerWeight(peer uint64) float64 {
	if w := e.peers[peer]; w != nil {
		return w.highest()
	}
	return unknownWeight
}
