package queue

import (
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

const (
	// rateWeight is the weight of one interval in the smoothed interval between
	// starts; 1/16 averages over about the last 16 starts.
	rateWeight = 1.0 / 16

	// minShare bounds the estimated share of starts of a tier from below.
	minShare = 1.0 / BatchStarts
)

// drainRate estimates the interval between starts while work waits. Intervals
// in which the queue was empty measure the demand and are left out.
type drainRate struct {
	interval float64 // seconds, smoothed
	known    bool
	last     time.Time
	waiting  bool
	// more holds by tier the smoothed share of starts of more urgent tiers.
	more [catalog.TierCount]float64
}

func (d *drainRate) started(now time.Time, tier int, waiting bool) {
	if d.waiting {
		sample := now.Sub(d.last).Seconds()
		if !d.known {
			d.interval, d.known = sample, true
		}
		d.interval += rateWeight * (sample - d.interval)
		for t := range d.more {
			share := 0.0
			if tier < t {
				share = 1
			}
			d.more[t] += rateWeight * (share - d.more[t])
		}
	}
	d.last = now
	d.waiting = waiting
}

// current returns the interval between starts in seconds. A stall raises it.
func (d *drainRate) current(now time.Time) float64 {
	if !d.known {
		return 0
	}
	if d.waiting {
		return max(d.interval, now.Sub(d.last).Seconds())
	}
	return d.interval
}

// ExpectedDelay estimates how long a new item of tier waits when no slot is
// free: the items ahead of it over the rate of starts that reach its tier. It
// is zero until starts from a waiting queue have been seen.
func (q *Queue) ExpectedDelay(now time.Time, tier int) time.Duration {
	own := float64(q.tiers[tier].len() + 1)
	ahead := own
	for t := range tier {
		ahead += float64(q.tiers[t].len())
	}
	share := max(1-q.pace.more[tier], minShare)
	starts := max(ahead, own/share)
	return time.Duration(starts * q.pace.current(now) * float64(time.Second))
}

// DrainInterval returns the mean time between starts while work waits, zero
// until it is known.
func (q *Queue) DrainInterval(now time.Time) time.Duration {
	return time.Duration(q.pace.current(now) * float64(time.Second))
}
