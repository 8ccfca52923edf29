package placement

import "time"

const (
	// strictFrom is the strictness from which a stream's pauses do not stand prompts
	// that are read beside it.
	strictFrom = 0.7
	// strictLoad is the part of an endpoint's reading speed that strict streams take
	// on endpoints that are kept for them; the rest covers bursts.
	strictLoad = 0.5
	// strictSlots is the part of an endpoint's slots that they take.
	strictSlots = 0.5
	// apartCost is the cost of a strict stream outside of these endpoints, and of a
	// long prompt on them. An expected time of half of the target costs as much, so
	// that a crowd on one side spills over.
	apartCost = 0.4
	// demandSmoothing is the weight of the newest strict stream.
	demandSmoothing = 0.05
)

// strictDemand is what strict streams need, as far as this gateway has seen.
type strictDemand struct {
	// running is the number of own strict streams, tight that of all own streams,
	// weighted by their strictness.
	running, tight float64
	// prompt is the typical number of tokens that are read for one, and life how
	// long it runs in milliseconds; zero until one has ended.
	prompt, life float64
}

func (d *strictDemand) sent(strictness float64) {
	d.tight += strictness
	if strictness >= strictFrom {
		d.running += strictness
	}
}

func (d *strictDemand) ended(strictness float64, read int, life time.Duration) {
	d.tight -= strictness
	if strictness < strictFrom {
		return
	}
	d.running -= strictness
	ms := float64(life) / float64(time.Millisecond)
	if d.life == 0 {
		d.prompt, d.life = float64(read), ms
		return
	}
	d.prompt += demandSmoothing * (float64(read) - d.prompt)
	d.life += demandSmoothing * (ms - d.life)
}

// strictShare returns the part of the endpoints, from the start of the order, that
// is kept for strict streams. All streams of the service, weighted by strictness,
// are those of all gateways; the own ones tell how many of them are strict.
func (s *service) strictShare(now time.Time) float64 {
	d := &s.strict
	if d.life <= 0 || d.tight <= 0.5 || len(s.members) == 0 {
		return 0
	}
	tight, slots := 0.0, 0
	for _, e := range s.members {
		load, _ := e.load(now)
		tight += load.Tight
		slots += e.Slots
	}
	strict := tight * min(d.running/d.tight, 1)
	each := strictLoad * s.prefill().Rate * d.life / max(d.prompt, 1)
	each = max(min(each, strictSlots*float64(slots)/float64(len(s.members))), 1)
	return min(strict/each/float64(len(s.members)), 1)
}
