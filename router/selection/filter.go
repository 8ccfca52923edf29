package selection

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// Localities in order of preference.
const (
	ownZone = iota
	ownRegion
	otherRegion
	localities
)

// eligible holds the indices of the candidates that passed the filter, by
// locality. It has a fixed size so that it stays on the stack.
type eligible struct {
	index [localities][MaxCandidates]uint16
	count [localities]int
}

func (e *eligible) add(locality, index int) {
	e.index[locality][e.count[locality]] = uint16(index)
	e.count[locality]++
}

func (e *eligible) of(locality int) []uint16 {
	return e.index[locality][:e.count[locality]]
}

func (e *eligible) total() int {
	return e.count[ownZone] + e.count[ownRegion] + e.count[otherRegion]
}

// filter decides which candidates may take the request.
type filter struct {
	request *Request
	region  uint64
	zone    uint64
	offer   uint64
	mask    uint64
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

// apply fills kept. An endpoint of reduced health weight is kept with the
// probability of its weight, so that its share falls in proportion. When that
// keeps nothing, the weights are ignored.
func (f *filter) apply(rng *rand.Rand, candidates []Candidate, kept *eligible) {
	thinned := false
	for i := range candidates {
		c := &candidates[i]
		if f.ruledOut(&c.digest) {
			continue
		}
		locality, ok := f.accepts(c)
		if !ok {
			continue
		}
		if c.Health.Weight < 1 && rng.Float64() >= f.share(c.Health.Weight) {
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

// share squares the weight for non-idempotent requests. It does not become
// zero: a service that has only such requests must be able to try an endpoint
// that returns.
func (f *filter) share(weight float64) float64 {
	if f.request.NonIdempotent {
		return weight * weight
	}
	return weight
}

func (f *filter) ruledOut(d *digest) bool {
	return d.id != 0 && d.mask&f.mask == 0
}

// accepts returns the candidate's locality when it may take the request.
func (f *filter) accepts(c *Candidate) (int, bool) {
	if c.State != rpc.AgentState_AGENT_STATE_SERVING || c.Health.Ejected {
		return 0, false
	}
	d := &c.digest
	if d.id == 0 {
		computed := c.compute()
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
