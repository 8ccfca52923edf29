package placement

import (
	"math"
	"time"
)

const (
	// prefillChunkTokens is the usual number of tokens in a prefill chunk. A running
	// stream waits for one chunk between two of its tokens.
	prefillChunkTokens = 2048
	// decodeStepMS is the assumed time of an engine step without prefill, in
	// milliseconds.
	decodeStepMS = 7.0
	// lateRiskFrom is the ratio of expected to allowed time from which a request can be
	// late: engines become 2.5 times slower for short times.
	lateRiskFrom = 0.4
	// waitCost is the cost of an expected time to the first event that equals the
	// target.
	waitCost = 0.3
	// emptyPromptTime is the assumed time to the first event of an empty prompt.
	emptyPromptTime = 10 * time.Millisecond
	// occupancyCost is the additional cost of a plain endpoint with all slots in use
	// over an empty one. It spreads requests that have no other preference.
	occupancyCost = 0.2
	// streamOccupancyCost is the same for engines, which a larger batch slows down
	// little.
	streamOccupancyCost = 0.1
	// overloadCost is the cost per unit of load beyond an endpoint's slots or memory,
	// relative to their size.
	overloadCost = 4.0
	// zoneCost is the cost of another availability zone; it prefers the gateway's own
	// among equal endpoints.
	zoneCost = 0.02
	// zoneByteCost is the cost of each byte of a request body that is sent to another
	// availability zone.
	zoneByteCost = 0.08 / (16 << 10)
	// orderCost is the highest cost due to an endpoint's position. It separates strict
	// streams from long prompts at equal load, since all gateways order the endpoints
	// alike.
	orderCost = 0.2
	// heavyPrompt is the number of uncached tokens above which a prompt delays the
	// streams at the same engine for more than one prefill chunk.
	heavyPrompt = prefillChunkTokens
	// homeCachedProbability and secondHomeCachedProbability are the assumed
	// probabilities that a shared part of which this gateway knows no placement is
	// cached at its first and second home endpoint.
	homeCachedProbability       = 0.7
	secondHomeCachedProbability = 0.35
	// minPeerLoadAge is the lower bound of the age at which a peer's load expires.
	minPeerLoadAge = 1500 * time.Millisecond
	// defaultPlainTime is the assumed service time of a plain request until some were
	// observed.
	defaultPlainTime = 50 * time.Millisecond
	// rereadCost is the cost of the prefill of heavyPrompt tokens of shared parts, which
	// another endpoint may already have cached.
	rereadCost = 0.25
	// fetchCost is the cost of fetching heavyPrompt tokens of cached parts. A fetch
	// uses the network links of both engines, and memory that could cache other parts.
	fetchCost = 0.2
	// fetchSetupMS is the time before a fetch between engines begins, in milliseconds.
	fetchSetupMS = 5.0
	// minFetchTokens is the number of tokens below which a fetch saves nothing over
	// another prefill.
	minFetchTokens = 256
	// memoryReserve is the share of an engine's KV cache that is kept free for the
	// growth of running requests.
	memoryReserve = 0.1
)

// estimate returns the estimates for a request at an endpoint, and the cost.
func (f *Fleet) estimate(now time.Time, s *service, e *endpoint, w *Work, homes partHomes) (Choice, float64) {
	load, age := e.totalLoad(now)
	c := Choice{Endpoint: e.Endpoint, Load: load, LoadAge: age}
	cost := 0.0
	if w.Streaming {
		cost = s.streamCost(&c, e, w, homes)
	} else {
		cost = s.plainCost(&c, e, w)
	}
	c.LeavesZone = e.Zone != f.zone
	cost += f.zoneCostOf(e, w)
	if e.weight < 1 {
		cost += (1 - e.weight) * overloadCost / 2
	}
	return c, cost
}

// plainCost sets the estimates of a plain request and returns its cost.
func (s *service) plainCost(c *Choice, e *endpoint, w *Work) float64 {
	slots := max(e.Slots, 1)
	waiting := max(c.Load.Running+1-slots, 0)
	expected := s.plainMS * e.slowness * (1 + float64(waiting)/float64(slots))
	c.Expected = milliseconds(expected)
	c.Free = waiting == 0
	cost := expected / targetMS(w)
	cost += occupancyCost * float64(c.Load.Running) / float64(slots)
	if !c.Free {
		cost += overloadCost * float64(waiting) / float64(slots)
	}
	return cost
}

// streamCost sets the estimates of a stream and returns its cost.
func (s *service) streamCost(c *Choice, e *endpoint, w *Work, h partHomes) float64 {
	fetchMS := s.planFetch(c, e, w, h)
	speed := s.prefillSpeed()
	c.SpeedUnknown = speed.Weight < minKnownWeight
	rate := speed.Rate / e.slowness
	prefill := float64(c.Uncached)/rate + fetchMS
	wait := float64(c.Load.Prefill) / rate
	expected := wait + prefill + float64(emptyPromptTime.Milliseconds())*e.slowness
	c.Expected = milliseconds(expected)
	c.Wait = milliseconds(wait)
	slots := max(e.Slots, 1)
	memory := float64(c.Load.Memory+w.PromptTokens+w.OutputTokens) / max(float64(e.MemoryTokens)*(1-memoryReserve), 1)
	c.Free = c.Load.Running < slots && memory < 1
	cost := waitCost*expected/targetMS(w) + lateRisk(expected/targetMS(w))
	cost += streamOccupancyCost * float64(c.Load.Running) / float64(slots)
	// Reading shared parts again takes the engine's time from other requests.
	cost += rereadCost * max(float64(c.Uncached-w.ownTokens())/heavyPrompt, 0)
	cost += fetchCost * float64(c.Fetched) / heavyPrompt
	if !c.Free {
		excess := max(float64(c.Load.Running+1-slots)/float64(slots), memory-1)
		cost += overloadCost * (0.25 + excess)
	}
	before := s.eventPauseMS(e, rate, c.Load.Prefill)
	cost += lateRisk(before / maxPauseMS(w))
	after := s.eventPauseMS(e, rate, c.Load.Prefill+c.Uncached)
	strictest := s.strictestPauseMS
	addedRisk := lateRisk(after/strictest) - lateRisk(before/strictest)
	cost += c.Load.Tight * addedRisk
	// All gateways order the endpoints alike, so strict streams are placed from one end
	// of the order and long prompts from the other while there is capacity for that.
	strict := w.strictness(strictest)
	heavy := min(float64(c.Uncached)/heavyPrompt, 1)
	cost += orderCost * (strict*e.position + (1-strict)*heavy*(1-e.position))
	switch {
	case e.position < h.strictShare:
		cost += separationCost * (1 - strict) * heavy
	case strict >= minStrictness:
		cost += separationCost
	}
	return cost
}

// eventPauseMS estimates the time between two events of a stream, in milliseconds,
// while an endpoint reads the given number of prompt tokens in chunks. The rate is in
// tokens per millisecond.
func (s *service) eventPauseMS(e *endpoint, rate float64, prefill int) float64 {
	steps := max(e.TokensPerEvent, 1)
	read := min(prefill, steps*prefillChunkTokens)
	return float64(read)/rate + float64(steps)*decodeStepMS*e.slowness
}

// lateRisk returns the cost of possible lateness for the ratio of an expected to an
// allowed time. Engines become slower for short times, by a factor of 2 to 3, so the
// cost is positive well below a ratio of 1. It keeps rising above 1, so that the less
// late of two late endpoints is chosen.
func lateRisk(ratio float64) float64 {
	return max(ratio-lateRiskFrom, 0) / (1 - lateRiskFrom)
}

// strictness returns how short the allowed pauses of a stream are relative to the
// shortest of its service, from 0 to 1: the square of the ratio.
func (w *Work) strictness(strictest float64) float64 {
	if w.MaxPause <= 0 {
		return 0
	}
	ratio := min(strictest/maxPauseMS(w), 1)
	return ratio * ratio
}

// maxPauseMS returns the allowed pause in milliseconds; infinite for none.
func maxPauseMS(w *Work) float64 {
	if w.MaxPause <= 0 {
		return math.Inf(1)
	}
	return float64(w.MaxPause.Milliseconds())
}

// targetMS returns the target in milliseconds; 1000 if the request has none.
func targetMS(w *Work) float64 {
	if w.Target <= 0 {
		return 1000
	}
	return float64(w.Target.Milliseconds())
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
