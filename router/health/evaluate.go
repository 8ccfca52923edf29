package health

import (
	"math"
	"slices"
	"time"
)

const (
	// minPeers is the number of peers needed to compare latencies: of two endpoints
	// it is not known which one is the outlier.
	minPeers = 2
	// minFailureExcess is the excess of the failure rate over the median of the
	// peers above which a run of failures is attributed to the endpoint itself.
	minFailureExcess = 0.25
	// maxDeviations is the distance from the median, in robust standard deviations,
	// up to which an endpoint of a group with widely spread latencies is not ejected.
	maxDeviations = 3
	// madToSigma converts a median absolute deviation to the standard deviation of a
	// normal distribution.
	madToSigma = 1.4826
)

// group is a set of endpoints that are compared with each other.
type group struct {
	name        string
	members     []*endpoint
	evaluatedAt time.Time
}

func (t *Tracker) evaluateIfDue(now time.Time, g *group) {
	if now.Sub(g.evaluatedAt) >= evaluateInterval {
		t.evaluate(now, g)
	}
}

// evaluate compares the members of a group, sets their weights and ejects the
// worst ones as far as EjectedShare allows.
func (t *Tracker) evaluate(now time.Time, g *group) {
	o := &t.options
	g.evaluatedAt = now
	for _, e := range g.members {
		e.advance(now, o)
		e.slowness = 0
	}
	threshold := g.compareLatencies(now, o, firstToken)
	threshold = max(threshold, g.compareLatencies(now, o, interToken))
	failures := newPeers(g.members, func(e *endpoint) (float64, bool) {
		return e.failures.valueOrZero(now, o.Window), e.state == closed
	})
	refusals := newPeers(g.members, func(e *endpoint) (float64, bool) {
		return e.refusals.valueOrZero(now, o.Window), e.state == closed
	})
	var ejectable []*endpoint
	for _, e := range g.members {
		if e.state != closed {
			continue
		}
		target := math.Exp(-e.slowness)
		excess := failures.excessRate(e.failures.valueOrZero(now, o.Window))
		target *= 1 - excess
		target *= 1 - refusals.excessRate(e.refusals.valueOrZero(now, o.Window))
		failing := excess > minFailureExcess && e.hasFailureRun(now, o)
		if failing {
			target = minWeight
		}
		e.updateWeight(now, target, o)
		if failing || e.slowness > max(math.Log(o.EjectRatio), threshold) {
			ejectable = append(ejectable, e)
		}
	}
	t.ejectWithinCap(now, g, ejectable)
}

// ejectWithinCap ejects the worst of the given endpoints as far as EjectedShare
// allows. When the group has shrunk and more than that share is ejected, it readmits
// those early whose ejection would end first.
func (t *Tracker) ejectWithinCap(now time.Time, g *group, ejectable []*endpoint) {
	var ejected []*endpoint
	for _, e := range g.members {
		if e.state != closed {
			ejected = append(ejected, e)
		}
	}
	allowance := int(t.options.EjectedShare*float64(len(g.members))) - len(ejected)
	if allowance < 0 {
		slices.SortStableFunc(ejected, func(a, b *endpoint) int { return a.until.Compare(b.until) })
		for _, e := range ejected[:-allowance] {
			e.close(now)
		}
		return
	}
	slices.SortStableFunc(ejectable, func(a, b *endpoint) int {
		if a.target < b.target {
			return -1
		}
		return 1
	})
	for _, e := range ejectable[:min(allowance, len(ejectable))] {
		if e.hasFailureRun(now, &t.options) {
			t.ejections.Failing++
		} else {
			t.ejections.Slow++
		}
		e.eject(now, &t.options)
	}
}

// Latencies to compare.
func firstToken(e *endpoint) *smoothedAverage { return &e.firstToken }
func interToken(e *endpoint) *smoothedAverage { return &e.interToken }

// usableLatency returns a function that reads the latency average of an endpoint and
// reports whether it can be compared: its breaker is closed and it has at least
// MinSamples recent samples.
func usableLatency(now time.Time, o *Options, metric func(*endpoint) *smoothedAverage) func(*endpoint) (float64, bool) {
	return func(e *endpoint) (float64, bool) {
		a := metric(e)
		usable := e.state == closed && a.fresh(now, o.Window) && a.count >= o.MinSamples
		return a.value, usable
	}
}

// compareLatencies raises the slowness of members that are slower than SlowRatio times
// the median of their peers. It returns the slowness up to which the spread among
// the members rules out an ejection. It does not rule out a reduced weight, which
// does less harm.
func (g *group) compareLatencies(now time.Time, o *Options, metric func(*endpoint) *smoothedAverage) float64 {
	value := usableLatency(now, o, metric)
	p := newPeers(g.members, value)
	spread := maxDeviations * madToSigma * p.medianDeviation()
	if len(p.sorted) <= minPeers {
		return spread
	}
	for _, e := range g.members {
		v, ok := value(e)
		if !ok {
			continue
		}
		if slower := p.aboveMedian(v); slower > math.Log(o.SlowRatio) {
			e.slowness = max(e.slowness, slower)
		}
	}
	return spread
}

// slowerThanPeers reports whether the first-token time of a trial exceeds EjectRatio
// times the median of the peers; false with fewer than minPeers of them.
func (g *group) slowerThanPeers(now time.Time, e *endpoint, d time.Duration, o *Options) bool {
	p := newPeers(g.members, usableLatency(now, o, firstToken))
	if len(p.sorted) < minPeers {
		return false
	}
	return math.Log(max(d.Seconds(), 1e-6))-median(p.sorted) > math.Log(o.EjectRatio)
}

// peers holds the sorted values of a group's members.
type peers struct {
	sorted []float64
}

func newPeers(members []*endpoint, value func(*endpoint) (float64, bool)) peers {
	p := peers{sorted: make([]float64, 0, len(members))}
	for _, e := range members {
		if v, ok := value(e); ok {
			p.sorted = append(p.sorted, v)
		}
	}
	slices.Sort(p.sorted)
	return p
}

// aboveMedian returns how far v, which must be one of the values, is above the median
// of the others.
func (p peers) aboveMedian(v float64) float64 {
	if len(p.sorted) < 2 {
		return 0
	}
	at, _ := slices.BinarySearch(p.sorted, v)
	return v - medianWithout(p.sorted, at)
}

// excessRate is aboveMedian for rates, limited to the range from 0 to 1.
func (p peers) excessRate(rate float64) float64 {
	return min(max(p.aboveMedian(rate), 0), 1)
}

// medianDeviation is the median absolute deviation (MAD) of the values.
func (p peers) medianDeviation() float64 {
	if len(p.sorted) == 0 {
		return 0
	}
	middle := median(p.sorted)
	distances := make([]float64, len(p.sorted))
	for i, v := range p.sorted {
		distances[i] = math.Abs(v - middle)
	}
	slices.Sort(distances)
	return median(distances)
}

func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// medianWithout is the median of the values without the one at index skip.
func medianWithout(sorted []float64, skip int) float64 {
	at := func(i int) float64 {
		if i >= skip {
			i++
		}
		return sorted[i]
	}
	n := len(sorted) - 1
	return (at((n-1)/2) + at(n/2)) / 2
}
