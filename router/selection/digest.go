package selection

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// inlineOffers is the number of offers (models with and without version, or the
// service) that are compared by hash. Endpoints with more are compared by name.
const inlineOffers = 4

// digest holds hashes of a candidate's names. Comparing them touches one cache
// line per endpoint, whereas comparing strings follows several pointers.
type digest struct {
	id uint64
	// mask has a bit set for each offer; one comparison rules out most endpoints.
	mask   uint64
	region uint64
	zone   uint64
	// offers holds each model with and without its version, or the service; all
	// zero when there are more than inlineOffers.
	offers [inlineOffers]uint64
}

// Prepare computes the hashes that Select compares.
func (c *Candidate) Prepare() {
	c.digest = c.computeDigest()
}

// preparedDigest returns the stored digest, or computes it if Prepare was not called.
func (c *Candidate) preparedDigest() digest {
	if c.digest.id != 0 {
		return c.digest
	}
	return c.computeDigest()
}

func (c *Candidate) idHash() uint64 {
	if c.digest.id != 0 {
		return c.digest.id
	}
	return c.computeDigest().id
}

func (c *Candidate) computeDigest() digest {
	d := digest{
		id:     max(xxhash.Sum64String(c.ID), 1),
		region: xxhash.Sum64String(c.Region),
		zone:   xxhash.Sum64String(c.AvailabilityZone),
	}
	n := 0
	add := func(hash uint64) {
		d.mask |= maskBit(hash)
		if n < inlineOffers {
			d.offers[n] = hash
		}
		n++
	}
	if c.Service != "" {
		add(offerHash(serviceOffer, c.Service))
	}
	for _, m := range c.Models {
		add(offerHash(modelOffer, m))
		if name, _, versioned := strings.Cut(m, ":"); versioned {
			add(offerHash(modelOffer, name))
		}
	}
	if n > inlineOffers {
		d.offers = [inlineOffers]uint64{}
	}
	return d
}

// Kinds of offers. They distinguish a service from a model of the same name.
const (
	modelOffer   = 0
	serviceOffer = 1
)

func maskBit(hash uint64) uint64 {
	return 1 << (hash % 64)
}

func offerHash(kind uint64, name string) uint64 {
	return max(mix64(xxhash.Sum64String(name)+kind), 1)
}

// mix64 is the finalizer of SplitMix64. It spreads the bits of its argument, so
// that the rendezvous orders of different prefixes are independent.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
