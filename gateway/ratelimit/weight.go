package ratelimit

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant with which a gateway's demand for an endpoint is
	// averaged. Where callers move between gateways every few seconds, faster weights follow
	// too late, and the allowance goes to gateways that no longer need it.
	demandTime = 10 * time.Second
	// unknownWeight is the weight of a gateway whose demand is not known yet.
	unknownWeight = 1
	// minWeight is the weight of a gateway without demand. It only matters where no
	// gateway has any, so that the first request finds an allowance.
	minWeight = 0.01
	// weightTolerance is the factor by which the demand must differ from the stated weight
	// for another one to be stated. While weights change, part of a limit is not claimed.
	weightTolerance = 2
)

// demand is a decaying average of requests a second.
type demand struct {
	perSecond float64
	at        time.Time
	// stated is the weight that was stated last.
	stated float64
}

func (d *demand) rate(now time.Time) float64 {
	return d.perSecond * math.Exp(-float64(now.Sub(d.at))/float64(demandTime))
}

func (d *demand) count(now time.Time) {
	d.perSecond = d.rate(now) + 1/demandTime.Seconds()
	d.at = now
}

// weight returns the weight to state.
func (d *demand) weight(now time.Time) float64 {
	rate := max(d.rate(now), minWeight)
	if rate > d.stated*weightTolerance || rate < d.stated/weightTolerance {
		d.stated = rate
	}
	return d.stated
}

// recentWeights keeps the lowest and the highest weight that a gateway stated recently: in
// the last one to two spreads, the time after which all gateways know a weight. Each
// gateway counts itself with its lowest and its peers with their highest weight. A gateway
// then never claims more of a limit than its peers leave to it, even if they have not heard
// of its latest demand, nor it of theirs.
type recentWeights struct {
	low, high         float64
	lowOlder, hiOlder float64
	since             time.Time
}

func newRecentWeights(now time.Time) *recentWeights {
	return &recentWeights{low: unknownWeight, high: unknownWeight, lowOlder: unknownWeight, hiOlder: unknownWeight, since: now}
}

// add records a stated weight.
func (w *recentWeights) add(now time.Time, weight float64, spread time.Duration) {
	weight = max(weight, minWeight)
	if now.Sub(w.since) >= spread {
		w.lowOlder, w.hiOlder = w.low, w.high
		w.low, w.high, w.since = weight, weight, now
		return
	}
	w.low, w.high = min(w.low, weight), max(w.high, weight)
}

func (w *recentWeights) lowest() float64  { return min(w.low, w.lowOlder) }
func (w *recentWeights) highest() float64 { return max(w.high, w.hiOlder) }
