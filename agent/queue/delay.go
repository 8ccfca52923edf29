package queue

import (
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

const (
	// smoothingWeight is the weight of one sample in the moving averages of
	// startIntervalEstimator; 1/16 averages over about the last 16 starts.
	smoothingWeight = 1.0 / 16

	// minStartShare is the lower bound of a tier's estimated share of the starts.
	minStartShare = 1.0 / BatchStartPeriod
)

// startIntervalEstimator estimates the time between two starts while work waits.
// Intervals in which the queue was empty are left out, because they measure the
// demand and not the capacity.
type startIntervalEstimator struct {
	mean        float64 // seconds, exponentially weighted
	initialized bool
	lastStart   time.Time
	wasWaiting  bool
	// moreUrgentShare is, by tier, the smoothed share of the starts that went to
	// more urgent tiers.
	moreUrgentShare [catalog.TierCount]float64
}

func (e *startIntervalEstimator) observeStart(now time.Time, tier int, waiting bool) {
	if e.wasWaiting {
		sample := now.Sub(e.lastStart).Seconds()
		if !e.initialized {
			e.mean, e.initialized = sample, true
		}
		e.mean += smoothingWeight * (sample - e.mean)
		for t := range e.moreUrgentShare {
			share := 0.0
			if tier < t {
				share = 1
			}
			e.moreUrgentShare[t] += smoothingWeight * (share - e.moreUrgentShare[t])
		}
	}
	e.lastStart = now
	e.wasWaiting = waiting
}

// current returns the interval between starts in seconds. While work waits and
// nothing starts, it grows with the time since the last start.
func (e *startIntervalEstimator) current(now time.Time) float64 {
	if !e.initialized {
		return 0
	}
	if e.wasWaiting {
		return max(e.mean, now.Sub(e.lastStart).Seconds())
	}
	return e.mean
}

// ExpectedDelay estimates how long a new item of tier waits when no slot is
// free: the interval between starts, multiplied by the number of starts until the
// item's own. That number is at least the number of items of its tier and of more
// urgent ones, and at least the number of items of its tier divided by the share of
// the starts that does not go to more urgent tiers. The delay is zero until starts
// while work waited have been observed.
func (q *Queue) ExpectedDelay(now time.Time, tier int) time.Duration {
	own := float64(q.tiers[tier].len() + 1)
	ahead := own
	for t := range tier {
		ahead += float64(q.tiers[t].len())
	}
	share := max(1-q.startInterval.moreUrgentShare[tier], minStartShare)
	starts := max(ahead, own/share)
	return time.Duration(starts * q.startInterval.current(now) * float64(time.Second))
}

// DrainInterval returns the mean time between starts while work waits. It is
// zero until such starts have been observed.
func (q *Queue) DrainInterval(now time.Time) time.Duration {
	return time.Duration(q.startInterval.current(now) * float64(time.Second))
}
