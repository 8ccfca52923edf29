package selection

import "time"

// minMeanSamples bounds the work of computing the means: in a locality with more
// endpoints only every n-th is read, with n such that at least this many are.
const minMeanSamples = 64

// scorer estimates what an attempt would cost at a candidate, in nanoseconds.
// Load values are blended with the mean of the eligible endpoints: the older a
// value is, the less it says about its own endpoint.
type scorer struct {
	options    *Options
	now        time.Time
	tier       int
	prefix     uint64
	candidates []Candidate
	// meanDelay is the mean expected wait in nanoseconds, meanOccupancy the mean
	// number of attempts per slot.
	meanDelay     float64
	meanOccupancy float64
}

// estimate is the score of one candidate. Wait and cost are in nanoseconds.
type estimate struct {
	wait float64
	// attempts is the estimated number of attempts at the endpoint, limit its
	// concurrency limit.
	attempts float64
	limit    float64
	cost     float64
}

func newScorer(o *Options, now time.Time, r *Request, candidates []Candidate, kept *eligible) scorer {
	s := scorer{options: o, now: now, tier: r.Tier, prefix: r.Prefix, candidates: candidates}
	var delay, attempts, slots, values int64
	for locality := range localities {
		members := kept.inLocality(locality)
		step := max(len(members)/minMeanSamples, 1)
		for k := 0; k < len(members); k += step {
			load := &candidates[members[k]].Load
			if load.At.IsZero() {
				continue
			}
			values++
			delay += int64(load.TierDelay[r.Tier])
			attempts += int64(load.Queued + load.Running)
			slots += int64(max(load.Limit, 1))
		}
	}
	if values > 0 {
		s.meanDelay = float64(delay) / float64(values)
		s.meanOccupancy = float64(attempts) / float64(slots)
	}
	return s
}

// loadWeight is the weight of a load value in the estimate: 1 for a new one, one
// half at LoadHalfAge, 0 without a value.
func (s *scorer) loadWeight(at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	half := float64(s.options.LoadHalfAge)
	age := max(float64(s.now.Sub(at)), 0)
	return half / (half + age)
}

func (s *scorer) estimate(index, locality int) estimate {
	c := &s.candidates[index]
	weight := s.loadWeight(c.Load.At)
	limit := float64(max(c.Load.Limit, 1))
	reported := float64(c.Load.Queued + c.Load.Running)
	unreported := float64(c.Unreported)
	e := estimate{limit: limit}
	e.attempts = weight*reported + (1-weight)*s.meanOccupancy*limit + unreported
	e.wait = weight*float64(c.Load.TierDelay[s.tier]) + (1-weight)*s.meanDelay
	// Only unreported attempts beyond the free slots add to the wait.
	waiting := min(max(e.attempts+1-limit, 0), unreported)
	e.wait += waiting * float64(s.options.AssumedRunTime) / limit
	e.cost = e.wait + s.latency(locality) + e.attempts/limit*float64(s.options.FullLoadCost)
	return e
}

func (s *scorer) latency(locality int) float64 {
	switch locality {
	case ownZone:
		return 0
	case ownRegion:
		return float64(s.options.ZoneLatency)
	default:
		return float64(s.options.RegionLatency)
	}
}

func (s *scorer) result(index int, affinity bool) Pick {
	c := &s.candidates[index]
	return Pick{
		Index:        index,
		Endpoint:     c.ID,
		Incarnation:  c.Incarnation,
		ExpectedWait: time.Duration(s.estimate(index, ownZone).wait),
		Affinity:     affinity,
	}
}
