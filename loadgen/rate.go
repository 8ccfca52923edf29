package loadgen

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"
)

const maxRate = 100_000

// Rate is a rate of arrivals that varies over time. Arrivals are a Poisson
// process.
type Rate struct {
	// PerSecond is the mean rate without bursts.
	PerSecond float64
	// Swing varies the rate smoothly; the zero value means none.
	Swing Swing
	// Bursts multiply the rate for a time; overlapping ones multiply each other.
	Bursts []Burst
}

// Swing multiplies the rate by 1 + Amplitude*sin(2*pi*elapsed/Period).
type Swing struct {
	Period time.Duration
	// Amplitude is between 0 and 1.
	Amplitude float64
}

// Burst multiplies the rate by Factor from Start on for Duration.
type Burst struct {
	Start, Duration time.Duration
	Factor          float64
}

func (r Rate) validate() error {
	bad := r.Swing.Amplitude < 0 || r.Swing.Amplitude > 1 || r.Swing.Period < 0
	bad = bad || r.Swing.Amplitude > 0 && r.Swing.Period == 0
	for _, b := range r.Bursts {
		bad = bad || !(b.Factor >= 0)
	}
	if peak := r.peak(); bad || !(r.PerSecond >= 0 && peak <= maxRate) {
		return errors.New("the rate is negative, too high or has an invalid swing")
	}
	return nil
}

// At returns the rate per second at a time since the start.
func (r Rate) At(elapsed time.Duration) float64 {
	rate := r.PerSecond
	if r.Swing.Amplitude > 0 {
		phase := elapsed.Seconds() / r.Swing.Period.Seconds()
		rate *= 1 + r.Swing.Amplitude*math.Sin(2*math.Pi*phase)
	}
	for _, b := range r.Bursts {
		if elapsed >= b.Start && elapsed < b.Start+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// peak is an upper bound of At.
func (r Rate) peak() float64 {
	peak := r.PerSecond * (1 + r.Swing.Amplitude)
	for _, b := range r.Bursts {
		peak *= max(b.Factor, 1)
	}
	return peak
}

// arrivals draws the times of a Poisson process with a varying rate, by
// thinning a process with the peak rate.
type arrivals struct {
	rate Rate
	peak float64
	rand *rand.Rand
	at   time.Duration
}

func newArrivals(rate Rate, r *rand.Rand) *arrivals {
	return &arrivals{rate: rate, peak: rate.peak(), rand: r}
}

// next returns the time of the next arrival, or a time not before end when
// there is none.
func (a *arrivals) next(end time.Duration) time.Duration {
	for a.peak > 0 && a.at < end {
		gap := a.rand.ExpFloat64() / a.peak * float64(time.Second)
		a.at += time.Duration(min(gap, float64(MaxDuration)))
		if a.rand.Float64()*a.peak < a.rate.At(a.at) {
			return a.at
		}
	}
	return end
}
