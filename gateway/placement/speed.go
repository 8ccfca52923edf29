package placement

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate is the prefill speed in prompt tokens per millisecond that
	// is assumed while none was observed. It is in the middle of what engines of 70
	// billion parameters reach on 4 to 8 accelerators.
	defaultPrefillRate = 20.0
	// minPrefillRate and maxPrefillRate bound one observation, in tokens per
	// millisecond: an outlier must not decide.
	minPrefillRate, maxPrefillRate = 1.0, 500.0
	// slowerWeight is the weight of an observation below the estimate relative to
	// one above it. Work of other gateways that is not known yet makes a prompt look
	// slower, never faster.
	slowerWeight = 0.3
	// speedMemory is the number of observations after which older ones fade.
	speedMemory = 60.0
	// knownFrom is the number of observations from which a speed may refuse work.
	knownFrom = 3.0
	// speedAge is how long a peer's estimate counts at least after it was last
	// stated.
	speedAge = 10 * time.Second
	// minPromptForRate is the number of tokens from which a first event tells
	// the prefill speed.
	minPromptForRate = 1000
)

// Speed is an estimate of the prefill speed of a service's engines.
type Speed struct {
	// Rate is in prompt tokens per millisecond.
	Rate float64
	// Weight is the number of observations behind it; older ones fade.
	Weight float64
}

// observe takes the speed of one prompt. The first observations count in full,
// so that a new process does not keep the default for long. The mean is
// geometric, as engines slow down by factors.
func (s *Speed) observe(rate float64) {
	rate = min(max(rate, minPrefillRate), maxPrefillRate)
	if s.Weight == 0 {
		s.Rate = rate
	}
	s.Weight = min(s.Weight+1, speedMemory)
	step := math.Log(rate/s.Rate) / s.Weight
	if step < 0 {
		step *= slowerWeight
	}
	s.Rate *= math.Exp(step)
}

// prefill is the speed that all gateways together have observed.
func (s *service) prefill() Speed {
	if s.combined.Weight == 0 {
		return Speed{Rate: defaultPrefillRate}
	}
	return s.combined
}

// combine renews the mean of the own estimate and those of the peers.
func (s *service) combine() {
	sum, weight := 0.0, 0.0
	add := func(e Speed) {
		if e.Weight > 0 && e.Rate > 0 {
			sum += e.Weight * math.Log(e.Rate)
			weight += e.Weight
		}
	}
	add(s.ownSpeed)
	for _, heard := range s.peerSpeeds {
		add(heard.Speed)
	}
	s.combined = Speed{Weight: weight}
	if weight > 0 {
		s.combined.Rate = math.Exp(sum / weight)
	}
}

type heardSpeed struct {
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
		if s.combined.Weight > 0 {
			report(name, s.combined)
		}
	}
}

// PeerSpeed takes a peer's estimate.
func (f *Fleet) PeerSpeed(now time.Time, peer, service string, speed Speed) {
	s := f.services[service]
	if s == nil || !(speed.Rate > 0) || !(speed.Weight > 0) {
		return
	}
	speed.Rate = min(max(speed.Rate, minPrefillRate), maxPrefillRate)
	speed.Weight = min(speed.Weight, speedMemory)
	s.peerSpeeds[peer] = heardSpeed{speed, now}
	s.combine()
}

// expirePeerSpeeds drops the estimates of peers that were silent for maxAge.
func (s *service) expirePeerSpeeds(now time.Time, maxAge time.Duration) {
	before := len(s.peerSpeeds)
	for peer, heard := range s.peerSpeeds {
		if now.Sub(heard.at) > maxAge {
			delete(s.peerSpeeds, peer)
		}
	}
	if len(s.peerSpeeds) != before {
		s.combine()
	}
}
