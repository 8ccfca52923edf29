package placement

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate is the prefill speed, in prompt tokens per millisecond, that is
	// assumed until one is observed. It is in the middle of the range that engines reach
	// with models of 70 billion parameters on 4 to 8 accelerators.
	defaultPrefillRate = 20.0
	// minPrefillRate and maxPrefillRate bound one observation, in tokens per
	// millisecond, so that an outlier does not dominate.
	minPrefillRate, maxPrefillRate = 1.0, 500.0
	// slowerWeight is the weight of an observation below the estimate relative to one
	// above it. Requests of other gateways that are not known here yet can only make a
	// prefill look slower, never faster.
	slowerWeight = 0.3
	// maxSpeedWeight is the number of observations beyond which older ones lose weight.
	maxSpeedWeight = 60.0
	// minKnownWeight is the number of observations from which a speed counts as known,
	// so that requests may be refused because of it.
	minKnownWeight = 3.0
	// minPeerSpeedAge is the lower bound of the age at which a peer's estimate expires.
	minPeerSpeedAge = 10 * time.Second
	// minPromptForSpeed is the number of uncached prompt tokens from which the time to
	// the first event shows the prefill speed.
	minPromptForSpeed = 1000
)

// Speed is an estimate of the prefill speed of the engines of a service.
type Speed struct {
	// Rate is in prompt tokens per millisecond.
	Rate float64
	// Weight is the number of observations behind the estimate; older ones lose weight.
	Weight float64
}

// observe adds the observed rate of one prompt, in tokens per millisecond. The first
// observations have equal weight, so that a new process does not keep the default for
// long. The mean is geometric, since engines become slower by a factor.
func (s *Speed) observe(rate float64) {
	rate = min(max(rate, minPrefillRate), maxPrefillRate)
	if s.Weight == 0 {
		s.Rate = rate
	}
	s.Weight = min(s.Weight+1, maxSpeedWeight)
	step := math.Log(rate/s.Rate) / s.Weight
	if step < 0 {
		step *= slowerWeight
	}
	s.Rate *= math.Exp(step)
}

// prefillSpeed returns the speed that all gateways together have observed, or the default.
func (s *service) prefillSpeed() Speed {
	if s.combinedSpeed.Weight == 0 {
		return Speed{Rate: defaultPrefillRate}
	}
	return s.combinedSpeed
}

// combineSpeeds recomputes the weighted mean of the own estimate and those of the peers.
func (s *service) combineSpeeds() {
	sum, weight := 0.0, 0.0
	add := func(e Speed) {
		if e.Weight > 0 && e.Rate > 0 {
			sum += e.Weight * math.Log(e.Rate)
			weight += e.Weight
		}
	}
	add(s.ownSpeed)
	for _, estimate := range s.peerSpeeds {
		add(estimate.Speed)
	}
	s.combinedSpeed = Speed{Weight: weight}
	if weight > 0 {
		s.combinedSpeed.Rate = math.Exp(sum / weight)
	}
}

// peerSpeed is the estimate that a peer stated at the given time.
type peerSpeed struct {
	Speed
	at time.Time
}

// OwnSpeeds calls report with this gateway's own estimate for each service.
func (f *Fleet) OwnSpeeds(report func(service string, s Speed)) {
	for name, s := range f.services {
		if s.ownSpeed.Weight > 0 {
			report(name, s.ownSpeed)
		}
	}
}

// Speeds calls report with the speed that is assumed for each service whose
// engines were observed.
func (f *Fleet) Speeds(report func(service string, s Speed)) {
	for name, s := range f.services {
		if s.combinedSpeed.Weight > 0 {
			report(name, s.combinedSpeed)
		}
	}
}

// PeerSpeed replaces the estimate that a peer stated for a service. Rates and weights
// that are not positive are ignored.
func (f *Fleet) PeerSpeed(now time.Time, peer, service string, speed Speed) {
	s := f.services[service]
	if s == nil || !(speed.Rate > 0) || !(speed.Weight > 0) {
		return
	}
	speed.Rate = min(max(speed.Rate, minPrefillRate), maxPrefillRate)
	speed.Weight = min(speed.Weight, maxSpeedWeight)
	s.peerSpeeds[peer] = peerSpeed{speed, now}
	s.combineSpeeds()
}

// expirePeerSpeeds drops the estimates that peers stated more than maxAge ago.
func (s *service) expirePeerSpeeds(now time.Time, maxAge time.Duration) {
	before := len(s.peerSpeeds)
	for peer, estimate := range s.peerSpeeds {
		if now.Sub(estimate.at) > maxAge {
			delete(s.peerSpeeds, peer)
		}
	}
	if len(s.peerSpeeds) != before {
		s.combineSpeeds()
	}
}
