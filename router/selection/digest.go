package selection

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// inlineOffers is the number of offers that are compared by hash alone. Engines
// with more models are compared by name.
const inlineOffers = 4

// digest holds hashes of a candidate's names. Comparing them touches one cache
// line per endpoint, where comparing the strings follows several pointers.
type digest struct {
	id uint64
	// mask has one bit set for each offer; it rules out most endpoints at once.
	mask   uint64
	region uint64
	zone   uint64
	// offers holds each model with and without its version, or the service; all
	// zero when there are more than inlineOffers.
	offers [inlineOffers]uint64
}

// Prepare computes the hashes that Select compares.
func (c *Candidate) Prepare() {
	c.digest = c.compute()
}

// prepared returns the stored digest, or computes it when there is none.
func (c *Candidate) prepared() digest {
	if c.digest.id != 0 {
		return c.digest
	}
	return c.compute()
}

func (c *Candidate) id() uint64 {
	if c.digest.id != 0 {
		return c.digest.id
	}
	return c.compute().id
}

func (c *Candidate) compute() digest {
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

// Kinds of offers. They keep a service apart from a model of the same name.
const (
	modelOffer   = 0
	serviceOffer = 1
)

func maskBit(hash uint64) uint64 {
	return 1 << (hash % 64)
}

func offerHash(kind uint64, name string) uint64 {
	return max(mix(xxhash.Sum64String(name)+kind), 1)
}

// mix is the finalizer of SplitMix64. It spreads the bits of its argument, so
// that the order of endpoints is independent between prefixes.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
