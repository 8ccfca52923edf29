package loadgen

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"
)

const maxRate = 100_000

// Rate is an arrival rate that varies over time. Arrivals are a Poisson process.
type Rate struct {
	// PerSecond is the mean rate outside bursts.
	PerSecond float64
	// Sine varies the rate smoothly; the zero value means no variation.
	Sine SineVariation
	// Bursts multiply the rate for a time. The factors of overlapping bursts are
	// multiplied.
	Bursts []Burst
}

// SineVariation multiplies the rate by 1 + Amplitude*sin(2*pi*elapsed/Period).
type SineVariation struct {
	Period time.Duration
	// Amplitude is between 0 and 1.
	Amplitude float64
}

// Burst multiplies the rate by Factor from Start until Start+Duration.
type Burst struct {
	Start, Duration time.Duration
	Factor          float64
}

func (r Rate) validate() error {
	invalid := r.Sine.Amplitude < 0 || r.Sine.Amplitude > 1 || r.Sine.Period < 0
	invalid = invalid || r.Sine.Amplitude > 0 && r.Sine.Period == 0
	for _, b := range r.Bursts {
		invalid = invalid || !(b.Factor >= 0)
	}
	if peak := r.peak(); invalid || !(r.PerSecond >= 0 && peak <= maxRate) {
		return errors.New("the rate is negative, too high or has an invalid sine variation or burst")
	}
	return nil
}

// At returns the rate per second at the given time since the start.
func (r Rate) At(elapsed time.Duration) float64 {
	rate := r.PerSecond
	if r.Sine.Amplitude > 0 {
		phase := elapsed.Seconds() / r.Sine.Period.Seconds()
		rate *= 1 + r.Sine.Amplitude*math.Sin(2*math.Pi*phase)
	}
	for _, b := range r.Bursts {
		if elapsed >= b.Start && elapsed < b.Start+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// peak returns an upper bound of At.
func (r Rate) peak() float64 {
	peak := r.PerSecond * (1 + r.Sine.Amplitude)
	for _, b := range r.Bursts {
		peak *= max(b.Factor, 1)
	}
	return peak
}

// poissonArrivals draws the arrival times of a Poisson process with a varying rate,
// by thinning a process with the peak rate.
type poissonArrivals struct {
	rate Rate
	peak float64
	rand *rand.Rand
	at   time.Duration
}

func newPoissonArrivals(rate Rate, r *rand.Rand) *poissonArrivals {
	return &poissonArrivals{rate: rate, peak: rate.peak(), rand: r}
}

// next returns the time of the next arrival, or a time not before end if there is
// none before it.
func (a *poissonArrivals) next(end time.Duration) time.Duration {
	for a.peak > 0 && a.at < end {
		gap := a.rand.ExpFloat64() / a.peak * float64(time.Second)
		a.at += time.Duration(min(gap, float64(MaxDuration)))
		if a.rand.Float64()*a.peak < a.rate.At(a.at) {
			return a.at
		}
	}
	return end
}
