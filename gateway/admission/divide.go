package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// shortHistory is the number of requests below which the mean prompt size of a class is not
// its typical one: as many as the moving average of sizes covers.
const shortHistory = 1 / sizeSmoothing

// SetAccountShares enables or disables fair shares of client accounts and floors of classes.
func (g *Gate) SetAccountShares(enabled bool) {
	switch {
	case !enabled:
		g.shares = nil
	case g.shares == nil:
		g.shares = &shares{
			demandTable: newDemandTable(), floors: newFloors(),
			rng: rand.New(rand.NewPCG(g.rng.Uint64(), g.rng.Uint64())),
		}
	}
}

// divide applies the floor of the class and the shares of its accounts to a decision. It
// changes no decision while less urgent work is served, since then all are admitted.
func (g *Gate) divide(now time.Time, k RequestClass, size float64, r Request, c Choice, decision Decision) Decision {
	prompt := float64(r.Prompt)
	displacesOthers := g.lessUrgentServed(now, k, size)
	s := shortage{room: decision.Admitted, idle: displacesOthers || c.Wait <= r.Target/idleWaitDivisor}
	if !s.room {
		s.yields = g.moreUrgentRefused(now, k, size) || g.shedShare(now, k, size) >= 1
		if g.othersServed(now, k) && g.shares.floors.isOwed(k, prompt) {
			decision, s.room = Decision{Admitted: true, Share: decision.Share}, true
		}
	}
	admitted, share := g.shares.apply(now, k, r.Account, s)
	switch {
	case !admitted && decision.Admitted:
		decision = Decision{Reason: OutOfReach, Share: decision.Share}
	case admitted:
		decision.Admitted, decision.Reason, decision.RetryAfter = true, "", 0
		g.shares.floors.countAdmitted(k, prompt)
	}
	decision.Account = share
	if !admitted {
		decision.RetryAfter = g.shares.retryAfter(share, decision.RetryAfter)
	}
	return decision
}

// othersServed reports whether this gateway recently admitted another class of the service. A
// class alone has all that is admitted, so that no floor is owed to it.
func (g *Gate) othersServed(now time.Time, k RequestClass) bool {
	for other, p := range g.own {
		if other != k && other.Service == k.Service && recent(now, p.LastAdmitted) {
			return true
		}
	}
	return false
}

// updateSize adds a prompt to the typical size of its class.
func (g *Gate) updateSize(k RequestClass, p *decayingPressure, prompt float64) {
	if g.shares == nil || p.requests > shortHistory {
		p.Size += sizeSmoothing * (prompt - p.Size)
		return
	}
	// The first prompts of a class differ from its typical one by a factor of up to two.
	// Without other classes, one large prompt made the class yield to all others of its
	// priority: of 358 requests on added routes 36 were served.
	p.firstPrompts += prompt
	p.Size = g.nearestSize(k, p.firstPrompts/p.requests)
}

// nearestSize returns the typical prompt size of the class with the same service and priority
// whose size is nearest to a mean of few prompts; the mean itself if they differ by
// largeWorkRatio or more, or if there is no such class.
func (g *Gate) nearestSize(k RequestClass, mean float64) float64 {
	nearest, distance := mean, math.Log(largeWorkRatio)
	consider := func(other RequestClass, size float64) {
		if other.Service != k.Service || other.Priority != k.Priority || size <= 0 || mean <= 0 {
			return
		}
		if d := math.Abs(math.Log(size / mean)); d < distance {
			nearest, distance = size, d
		}
	}
	for other, p := range g.own {
		if p.requests > shortHistory {
			consider(other, p.Size)
		}
	}
	for other, peers := range g.peerPressures {
		for _, p := range peers {
			if p.Offered > minOffered {
				consider(other, p.Size)
			}
		}
	}
	return nearest
}

// ReportDemands returns the demands to state to peers: the largest of the classes that are
// short of capacity. It returns none if shares are off.
func (g *Gate) ReportDemands(now time.Time) []Demand {
	if g.shares == nil {
		return nil
	}
	return g.shares.largest(now)
}

// SetPeerDemands replaces the demands that a peer stated.
func (g *Gate) SetPeerDemands(now time.Time, peer string, demands []Demand) {
	if g.shares != nil {
		g.shares.replacePeer(now, peer, demands)
	}
}

// ExpireDemands drops the demands of peers without a statement for maxAge or MinDemandAge,
// whichever is longer.
func (g *Gate) ExpireDemands(now time.Time, maxAge time.Duration) {
	if g.shares != nil {
		g.shares.expire(now, max(maxAge, MinDemandAge))
	}
}
