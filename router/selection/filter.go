package selection

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// Localities of an endpoint relative to the router, in order of preference.
const (
	ownZone = iota
	ownRegion
	otherRegion
	localities
)

// eligible holds the indices of the candidates that passed the filter, by
// locality. It has a fixed size so that it is allocated on the stack.
type eligible struct {
	index [localities][MaxCandidates]uint16
	count [localities]int
}

func (e *eligible) add(locality, index int) {
	e.index[locality][e.count[locality]] = uint16(index)
	e.count[locality]++
}

func (e *eligible) inLocality(locality int) []uint16 {
	return e.index[locality][:e.count[locality]]
}

func (e *eligible) total() int {
	return e.count[ownZone] + e.count[ownRegion] + e.count[otherRegion]
}

// filter decides which candidates may serve the request.
type filter struct {
	request *Request
	// The other fields are hashes of the request, compared with those of digest.
	region uint64
	zone   uint64
	offer  uint64
	mask   uint64
}

func newFilter(r *Request) filter {
	f := filter{
		request: r,
		region:  xxhash.Sum64String(r.Region),
		zone:    xxhash.Sum64String(r.AvailabilityZone),
		offer:   offerHash(modelOffer, r.Model),
	}
	if r.Service != "" {
		f.offer = offerHash(serviceOffer, r.Service)
	}
	f.mask = maskBit(f.offer)
	return f
}

// apply adds the eligible candidates to kept. An endpoint of reduced health weight
// is kept with the probability that keepProbability returns, so that its share of
// the requests falls in proportion. If that leaves no endpoint, the weights are ignored.
func (f *filter) apply(rng *rand.Rand, candidates []Candidate, kept *eligible) {
	thinned := false
	for i := range candidates {
		c := &candidates[i]
		if f.maskExcludes(&c.digest) {
			continue
		}
		locality, ok := f.accepts(c)
		if !ok {
			continue
		}
		if c.Health.Weight < 1 && rng.Float64() >= f.keepProbability(c.Health.Weight) {
			thinned = true
			continue
		}
		kept.add(locality, i)
	}
	if kept.total() > 0 || !thinned {
		return
	}
	for i := range candidates {
		if locality, ok := f.accepts(&candidates[i]); ok {
			kept.add(locality, i)
		}
	}
}

// keepProbability returns the probability with which an endpoint of this health
// weight is kept: the weight, or its square for non-idempotent requests. Squaring
// never makes a positive weight zero, because a service that has only
// non-idempotent requests must be able to try a returning endpoint.
func (f *filter) keepProbability(weight float64) float64 {
	if f.request.NonIdempotent {
		return weight * weight
	}
	return weight
}

// maskExcludes reports whether the bit mask alone shows that an endpoint does not
// serve the requested model or service.
func (f *filter) maskExcludes(d *digest) bool {
	return d.id != 0 && d.mask&f.mask == 0
}

// accepts returns the candidate's locality and whether it may serve the request.
func (f *filter) accepts(c *Candidate) (int, bool) {
	if c.State != rpc.AgentState_AGENT_STATE_SERVING || c.Health.Ejected {
		return 0, false
	}
	d := &c.digest
	if d.id == 0 {
		computed := c.computeDigest()
		d = &computed
	}
	if !f.serves(d, c) {
		return 0, false
	}
	if len(f.request.Excluded) > 0 && slices.Contains(f.request.Excluded, c.ID) {
		return 0, false
	}
	return f.locality(d), true
}

func (f *filter) serves(d *digest, c *Candidate) bool {
	if d.offers[0] == 0 {
		return f.servesByName(c)
	}
	for _, offer := range d.offers {
		if offer == f.offer {
			return true
		}
	}
	return false
}

func (f *filter) servesByName(c *Candidate) bool {
	if f.request.Service != "" {
		return c.Service == f.request.Service
	}
	for _, m := range c.Models {
		name, _, _ := strings.Cut(m, ":")
		if m == f.request.Model || name == f.request.Model {
			return true
		}
	}
	return false
}

func (f *filter) locality(d *digest) int {
	switch {
	case d.region != f.region:
		return otherRegion
	case d.zone != f.zone:
		return ownRegion
	default:
		return ownZone
	}
}
