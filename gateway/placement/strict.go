package placement

import "time"

const (
	// minStrictness is the strictness from which a stream counts as strict: its allowed
	// pauses are too short for the prefill of other prompts at the same engine.
	minStrictness = 0.7
	// strictPrefillShare is the share of the prefill speed of a reserved endpoint that
	// strict streams are planned to use; the rest is left for bursts.
	strictPrefillShare = 0.5
	// strictSlotShare is the share of the slots of a reserved endpoint that strict
	// streams are planned to use.
	strictSlotShare = 0.5
	// separationCost is the cost of a strict stream outside the reserved endpoints, and
	// of a long prompt on them. An expected time of half the target costs about as much,
	// so that requests use the other endpoints when their own ones are crowded.
	separationCost = 0.4
	// demandSmoothing is the weight of the newest strict stream in a moving average.
	demandSmoothing = 0.05
)

// strictDemand is the engine capacity that strict streams of a service need, as observed
// by this gateway.
type strictDemand struct {
	// running is the number of strict streams of this gateway, and tight that of all its
	// streams; both are weighted by strictness.
	running, tight float64
	// promptTokens is the typical number of tokens read for a strict stream, and
	// lifetimeMS how long it runs in milliseconds; both are zero until one has ended.
	promptTokens, lifetimeMS float64
}

// sent records the start of a stream.
func (d *strictDemand) sent(strictness float64) {
	d.tight += strictness
	if strictness >= minStrictness {
		d.running += strictness
	}
}

// ended records the end of a stream; read is the number of its prompt tokens that were
// not cached.
func (d *strictDemand) ended(strictness float64, read int, lifetime time.Duration) {
	d.tight -= strictness
	if strictness < minStrictness {
		return
	}
	d.running -= strictness
	ms := float64(lifetime) / float64(time.Millisecond)
	if d.lifetimeMS == 0 {
		d.promptTokens, d.lifetimeMS = float64(read), ms
		return
	}
	d.promptTokens += demandSmoothing * (float64(read) - d.promptTokens)
	d.lifetimeMS += demandSmoothing * (ms - d.lifetimeMS)
}

// strictShare returns the share of the endpoints, from position 0 on, that is reserved
// for strict streams. Peers state only the strictness-weighted number of all their
// streams, so the fraction of it that is strict is taken from the own streams.
func (s *service) strictShare(now time.Time) float64 {
	d := &s.strict
	if d.lifetimeMS <= 0 || d.tight <= 0.5 || len(s.members) == 0 {
		return 0
	}
	tight, slots := 0.0, 0
	for _, e := range s.members {
		load, _ := e.totalLoad(now)
		tight += load.Tight
		slots += e.Slots
	}
	strict := tight * min(d.running/d.tight, 1)
	perEndpoint := strictPrefillShare * s.prefillSpeed().Rate * d.lifetimeMS / max(d.promptTokens, 1)
	perEndpoint = max(min(perEndpoint, strictSlotShare*float64(slots)/float64(len(s.members))), 1)
	return min(strict/perEndpoint/float64(len(s.members)), 1)
}
