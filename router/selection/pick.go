package selection

import "math/rand/v2"

// choice is a scored candidate.
type choice struct {
	index int
	cost  float64
}

// picker samples two candidates at random from each locality and takes the
// cheapest. Sampling few keeps many routers with the same outdated load values
// from all choosing the same endpoint.
type picker struct {
	scorer *scorer
	rng    *rand.Rand
}

func (p picker) pick(kept *eligible) choice {
	best := choice{index: -1}
	for locality := range localities {
		members := kept.inLocality(locality)
		switch len(members) {
		case 0:
		case 1:
			best = p.cheaper(best, int(members[0]), locality)
		default:
			first := p.rng.IntN(len(members))
			second := p.rng.IntN(len(members) - 1)
			if second >= first {
				second++
			}
			best = p.cheaper(best, int(members[first]), locality)
			best = p.cheaper(best, int(members[second]), locality)
		}
	}
	return best
}

// cheaper returns the cheaper of best and the candidate at index. It adds up to
// TieBand of noise to the cost, which makes near ties random.
func (p picker) cheaper(best choice, index, locality int) choice {
	noise := p.rng.Float64() * float64(p.scorer.options.TieBand)
	cost := p.scorer.estimate(index, locality).cost + noise
	if best.index < 0 || cost < best.cost {
		return choice{index: index, cost: cost}
	}
	return best
}

// affinity chooses the endpoint that is likely to have the request's prefix
// cached, by rendezvous hashing with bounded loads over the endpoints of the
// router's region. All routers of a region compute the same order, and the loss
// of an endpoint moves only its own prefixes.
type affinity struct {
	scorer *scorer
}

// ranked is a candidate with its rendezvous rank.
type ranked struct {
	index    int
	locality int
	rank     uint64
}

// pick returns the first of the two highest-ranked endpoints that is within the
// load bound and costs at most AffinityGain more than best; false if neither is.
func (a affinity) pick(kept *eligible, best choice) (int, bool) {
	first, second := a.topRanked(kept)
	for _, r := range [...]ranked{first, second} {
		if r.index < 0 {
			continue
		}
		e := a.scorer.estimate(r.index, r.locality)
		if !a.withinLoadBound(e) {
			continue
		}
		if e.cost <= best.cost+float64(a.scorer.options.AffinityGain) {
			return r.index, true
		}
	}
	return 0, false
}

// withinLoadBound compares the attempts at an endpoint with the mean. The mean
// counts as at least one attempt, because that of an idle site is near zero.
func (a affinity) withinLoadBound(e estimate) bool {
	mean := a.scorer.meanOccupancy * e.limit
	return e.attempts <= max(mean, 1)*a.scorer.options.AffinityLoadBound
}

// topRanked returns the two endpoints with the highest rendezvous ranks. Those of
// other regions count only when the router's region has none. An index of -1
// means that there is no such endpoint.
func (a affinity) topRanked(kept *eligible) (first, second ranked) {
	first.index, second.index = -1, -1
	last := ownRegion
	if kept.count[ownZone]+kept.count[ownRegion] == 0 {
		last = otherRegion
	}
	for locality := ownZone; locality <= last; locality++ {
		for _, i := range kept.inLocality(locality) {
			r := ranked{index: int(i), locality: locality, rank: mix64(a.scorer.candidates[i].idHash() ^ a.scorer.prefix)}
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
