package placement

import (
	"math"
	"time"
)

const (
	// chunkTokens is the usual size of a prefill chunk. A running stream waits
	// for one chunk between two of its tokens.
	chunkTokens = 2048
	// decodeStep is the assumed time of a step without prefill, in milliseconds.
	decodeStep = 7.0
	// riskFrom is the ratio of expected to allowed time from which being late is
	// possible: engines slow down 2.5 times for moments.
	riskFrom = 0.4
	// waitCost prices the wait for the first event relative to its target.
	waitCost = 0.3
	// startTime is the assumed time to the first event of an empty prompt.
	startTime = 10 * time.Millisecond
	// occupancyCost is the cost of a full endpoint relative to an empty one; it
	// spreads work that has no other preference.
	occupancyCost = 0.2
	// streamOccupancyCost is the same for engines, whose batches slow down little.
	streamOccupancyCost = 0.1
	// crowdingCost is the cost of work beyond an endpoint's slots or memory.
	crowdingCost = 4.0
	// zoneCost prefers the own availability zone among equals.
	zoneCost = 0.02
	// zoneByteCost is the cost of each byte of a request that crosses zones.
	zoneByteCost = 0.08 / (16 << 10)
	// orderCost separates tight streams from long prompts at equal load: all
	// gateways order the endpoints alike.
	orderCost = 0.2
	// heavyPrompt is the number of uncached prompt tokens from which a prompt
	// delays the streams beside it for more than one chunk.
	heavyPrompt = chunkTokens
	// homeBelief and secondBelief are the probabilities that a shared part that
	// this gateway has not placed itself is cached at its first and second home.
	homeBelief   = 0.7
	secondBelief = 0.35
	// minPeerLoadAge is the age up to which a peer's load counts at least.
	minPeerLoadAge = 1500 * time.Millisecond
	// plainTime is the assumed service time of a plain request.
	plainTime = 50 * time.Millisecond
	// rereadCost is the cost of reading heavyPrompt tokens of shared parts that
	// another endpoint holds already.
	rereadCost = 0.25
	// fetchCost is the cost of fetching heavyPrompt tokens of cached parts: it takes
	// the links of both engines, and memory that other parts could keep.
	fetchCost = 0.2
	// fetchSetup is the time before a fetch between engines begins, in
	// milliseconds.
	fetchSetup = 5.0
	// minFetch is the number of tokens below which reading again is as good.
	minFetch = 256
	// memoryReserve is the share of an engine's memory that stays free for the
	// growth of running requests.
	memoryReserve = 0.1
)

func (f *Fleet) estimate(now time.Time, s *service, e *endpoint, w *Work, homes homes) (Choice, float64) {
	load, age := e.load(now)
	c := Choice{Endpoint: e.Endpoint, Load: load, LoadAge: age}
	cost := 0.0
	if w.Streaming {
		cost = s.streamCost(&c, e, w, homes)
	} else {
		cost = s.plainCost(&c, e, w)
	}
	if e.Zone != f.zone {
		cost += zoneCost + zoneByteCost*float64(w.BodyBytes)
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
	speed := s.prefill()
	c.SpeedUnknown = speed.Weight < knownFrom
	rate := speed.Rate / e.slowness
	prefill := float64(c.Uncached)/rate + fetch
	wait := float64(c.Load.Prefill) / rate
	expected := wait + prefill + float64(startTime.Milliseconds())*e.slowness
	c.Expected = milliseconds(expected)
	c.Wait = milliseconds(wait)
	slots := max(e.Slots, 1)
	memory := float64(c.Load.Memory+w.PromptTokens+w.OutputTokens) / max(float64(e.MemoryTokens)*(1-memoryReserve), 1)
	c.Free = c.Load.Running < slots && memory < 1
	cost := waitCost*expected/targetMS(w) + lateRisk(expected/targetMS(w))
	cost += streamOccupancyCost * float64(c.Load.Running) / float64(slots)
	// What is read again takes the engine's time from other requests.
	cost += rereadCost * max(float64(c.Uncached-w.ownTokens())/heavyPrompt, 0)
	cost += fetchCost * float64(c.Fetched) / heavyPrompt
	if !c.Free {
		over := max(float64(c.Load.Running+1-slots)/float64(slots), memory-1)
		cost += crowdingCost * (0.25 + over)
	}
	before := s.pause(e, rate, c.Load.Prefill)
	cost += lateRisk(before / pauseMS(w))
	after := s.pause(e, rate, c.Load.Prefill+c.Uncached)
	strictest := s.strictestPause
	harm := lateRisk(after/strictest) - lateRisk(before/strictest)
	cost += c.Load.Tight * harm
	// All gateways order the endpoints alike: strict streams gather at one end of
	// the order and long prompts at the other while there is room for that.
	strict := w.strictness(strictest)
	heavy := min(float64(c.Uncached)/heavyPrompt, 1)
	cost += orderCost * (strict*e.position + (1-strict)*heavy*(1-e.position))
	switch {
	case e.position < h.strictShare:
		cost += apartCost * (1 - strict) * heavy
	case strict >= strictFrom:
		cost += apartCost
	}
	return cost
}

// pause estimates the time between two events of a stream, in milliseconds,
// while an endpoint reads the given number of prompt tokens in chunks.
func (s *service) pause(e *endpoint, rate float64, prefill int) float64 {
	steps := max(e.TokensPerEvent, 1)
	read := min(prefill, steps*chunkTokens)
	return float64(read)/rate + float64(steps)*decodeStep*e.slowness
}

// lateRisk is the risk that something takes longer than allowed, for the ratio
// of its expected to its allowed time. Engines slow down for moments, by a
// factor of 2 to 3, so the risk begins well below 1; above 1 it goes on rising,
// so that the less late of two late choices is taken.
func lateRisk(ratio float64) float64 {
	return max(ratio-riskFrom, 0) / (1 - riskFrom)
}

// strictness tells how strict the pauses of a stream are relative to the
// strictest of its service, from 0 to 1.
func (w *Work) strictness(strictest float64) float64 {
	if w.MaxPause <= 0 {
		return 0
	}
	ratio := min(strictest/pauseMS(w), 1)
	return ratio * ratio
}

func pauseMS(w *Work) float64 {
	if w.MaxPause <= 0 {
		return math.Inf(1)
	}
	return float64(w.MaxPause.Milliseconds())
}

func targetMS(w *Work) float64 {
	if w.Target <= 0 {
		return 1000
	}
	return float64(w.Target.Milliseconds())
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
