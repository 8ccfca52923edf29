package health

import (
	"math"
	"slices"
	"time"
)

const (
	// minPeers is the number of peers without which latencies are not judged: of
	// two endpoints it is not known which one is unusual.
	minPeers = 2
	// failingExcess is the failure rate above the median of the peers from which
	// a run of failures is the endpoint's own fault.
	failingExcess = 0.25
	// deviations is the distance from the median, in robust standard deviations,
	// up to which an endpoint of a group with a wide spread is not ejected.
	deviations = 3
	// madToSigma converts a median absolute deviation to a standard deviation.
	madToSigma = 1.4826
)

// group is a set of comparable endpoints.
type group struct {
	name        string
	members     []*endpoint
	evaluatedAt time.Time
}

func (t *Tracker) evaluateIfDue(now time.Time, g *group) {
	if now.Sub(g.evaluatedAt) >= evaluateEvery {
		t.evaluate(now, g)
	}
}

// evaluate compares the members of a group, sets their weights and ejects the
// worst ones as far as the cap allows.
func (t *Tracker) evaluate(now time.Time, g *group) {
	o := &t.options
	g.evaluatedAt = now
	for _, e := range g.members {
		e.advance(now, o)
		e.slowness = 0
	}
	threshold := g.compare(now, o, firstToken)
	threshold = max(threshold, g.compare(now, o, interToken))
	failures := newPeers(g.members, func(e *endpoint) (float64, bool) {
		return e.failures.rate(now, o.Window), e.state == closed
	})
	refusals := newPeers(g.members, func(e *endpoint) (float64, bool) {
		return e.refusals.rate(now, o.Window), e.state == closed
	})
	var bad []*endpoint
	for _, e := range g.members {
		if e.state != closed {
			continue
		}
		target := math.Exp(-e.slowness)
		excess := failures.excess(e.failures.rate(now, o.Window))
		target *= 1 - excess
		target *= 1 - refusals.excess(e.refusals.rate(now, o.Window))
		failing := excess > failingExcess && e.failing(now, o)
		if failing {
			target = minWeight
		}
		e.weigh(now, target, o)
		if failing || e.slowness > max(math.Log(o.EjectRatio), threshold) {
			bad = append(bad, e)
		}
	}
	t.applyCap(now, g, bad)
}

// applyCap ejects the worst endpoints while the group has room. When the group
// has shrunk, it lets the ejected ones that would return first come back early.
func (t *Tracker) applyCap(now time.Time, g *group, bad []*endpoint) {
	var out []*endpoint
	for _, e := range g.members {
		if e.state != closed {
			out = append(out, e)
		}
	}
	room := int(t.options.EjectedShare*float64(len(g.members))) - len(out)
	if room < 0 {
		slices.SortStableFunc(out, func(a, b *endpoint) int { return a.until.Compare(b.until) })
		for _, e := range out[:-room] {
			e.close(now)
		}
		return
	}
	slices.SortStableFunc(bad, func(a, b *endpoint) int {
		if a.target < b.target {
			return -1
		}
		return 1
	})
	for _, e := range bad[:min(room, len(bad))] {
		if e.failing(now, &t.options) {
			t.ejections.Failing++
		} else {
			t.ejections.Slow++
		}
		e.eject(now, &t.options)
	}
}

// Metrics to compare.
func firstToken(e *endpoint) *average { return &e.firstToken }
func interToken(e *endpoint) *average { return &e.interToken }

func sampled(now time.Time, o *Options, metric func(*endpoint) *average) func(*endpoint) (float64, bool) {
	return func(e *endpoint) (float64, bool) {
		a := metric(e)
		usable := e.state == closed && a.fresh(now, o.Window) && a.count >= o.MinSamples
		return a.value, usable
	}
}

// compare raises the slowness of members that are slower than SlowRatio times
// the median of their peers. It returns the slowness below which the spread
// among the members forbids an ejection; a loss of weight does no such harm.
func (g *group) compare(now time.Time, o *Options, metric func(*endpoint) *average) float64 {
	value := sampled(now, o, metric)
	p := newPeers(g.members, value)
	spread := deviations * madToSigma * p.deviation()
	if len(p.sorted) <= minPeers {
		return spread
	}
	for _, e := range g.members {
		v, ok := value(e)
		if !ok {
			continue
		}
		if slower := p.above(v); slower > math.Log(o.SlowRatio) {
			e.slowness = max(e.slowness, slower)
		}
	}
	return spread
}

// slowerThanPeers judges the first token of a trial.
func (g *group) slowerThanPeers(now time.Time, e *endpoint, d time.Duration, o *Options) bool {
	p := newPeers(g.members, sampled(now, o, firstToken))
	if len(p.sorted) < minPeers {
		return false
	}
	return math.Log(max(d.Seconds(), 1e-6))-median(p.sorted) > math.Log(o.EjectRatio)
}

// peers holds the sorted values of a group.
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

// above returns how far v, one of the values, is above the median of the others.
func (p peers) above(v float64) float64 {
	if len(p.sorted) < 2 {
		return 0
	}
	at, _ := slices.BinarySearch(p.sorted, v)
	return v - medianWithout(p.sorted, at)
}

// excess is above for rates: never negative, at most 1.
func (p peers) excess(rate float64) float64 {
	return min(max(p.above(rate), 0), 1)
}

// deviation is the median absolute deviation from the median.
func (p peers) deviation() float64 {
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

// medianWithout is the median of the values except the one at index skip.
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
