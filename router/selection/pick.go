package selection

import "math/rand/v2"

// choice is a scored candidate.
type choice struct {
	index int
	cost  float64
}

// picker draws two candidates at random from each locality and takes the
// cheapest. Few draws keep many routers with the same old load values from
// all choosing the same endpoint.
type picker struct {
	scorer *scorer
	rng    *rand.Rand
}

func (p picker) pick(kept *eligible) choice {
	best := choice{index: -1}
	for locality := range localities {
		members := kept.of(locality)
		switch len(members) {
		case 0:
		case 1:
			best = p.better(best, int(members[0]), locality)
		default:
			first := p.rng.IntN(len(members))
			second := p.rng.IntN(len(members) - 1)
			if second >= first {
				second++
			}
			best = p.better(best, int(members[first]), locality)
			best = p.better(best, int(members[second]), locality)
		}
	}
	return best
}

// better adds up to TieBand of noise, which makes near ties random.
func (p picker) better(best choice, index, locality int) choice {
	noise := p.rng.Float64() * float64(p.scorer.options.TieBand)
	cost := p.scorer.estimate(index, locality).cost + noise
	if best.index < 0 || cost < best.cost {
		return choice{index: index, cost: cost}
	}
	return best
}

// affinity chooses the endpoint that holds the request's prefix: rendezvous
// hashing with a bounded load over the endpoints of the own region. All routers
// of a region agree on the order, and the loss of an endpoint moves only its own
// prefixes.
type affinity struct {
	scorer *scorer
}

// ranked is a candidate with its rendezvous rank.
type ranked struct {
	index    int
	locality int
	rank     uint64
}

// pick returns the first of the two highest ranked endpoints that is within the
// load bound and costs at most AffinityGain more than the best choice.
func (a affinity) pick(kept *eligible, best choice) (int, bool) {
	first, second := a.rank(kept)
	for _, r := range [...]ranked{first, second} {
		if r.index < 0 {
			continue
		}
		e := a.scorer.estimate(r.index, r.locality)
		if !a.withinBound(e) {
			continue
		}
		if e.cost <= best.cost+float64(a.scorer.options.AffinityGain) {
			return r.index, true
		}
	}
	return 0, false
}

// withinBound compares with the mean, but allows one attempt anywhere: the mean
// of an idle site is near zero.
func (a affinity) withinBound(e estimate) bool {
	mean := a.scorer.meanOccupancy * e.limit
	return e.attempts <= max(mean, 1)*a.scorer.options.AffinityBound
}

func (a affinity) rank(kept *eligible) (first, second ranked) {
	first.index, second.index = -1, -1
	last := ownRegion
	if kept.count[ownZone]+kept.count[ownRegion] == 0 {
		last = otherRegion
	}
	for locality := ownZone; locality <= last; locality++ {
		for _, i := range kept.of(locality) {
			r := ranked{index: int(i), locality: locality, rank: mix(a.scorer.candidates[i].id() ^ a.scorer.prefix)}
			switch {
			case first.index < 0 || r.rank > first.rank:
				first, second = r, first
			case second.index < 0 || r.rank > second.rank:
				second = r
			}
		}
	}
	return first, second
}
