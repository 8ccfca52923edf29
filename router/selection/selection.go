// Package selection chooses the endpoint of one attempt in three steps: a
// filter keeps the endpoints that may take it, a score estimates the time that
// each would cost, and a pick draws a few at random and takes the cheapest. The
// package keeps no state; the caller owns the candidates.
package selection

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// MaxCandidates bounds the candidates of one selection. Later ones are ignored.
const MaxCandidates = 1024

// Load is the last load value of an endpoint.
type Load struct {
	// At is when the value was received; zero means that none ever was.
	At time.Time
	// Queued, Running and Limit are numbers of attempts. A limit below 1 counts
	// as 1.
	Queued, Running, Limit int
	// TierDelay is the expected wait of a new attempt by tier.
	TierDelay [catalog.TierCount]time.Duration
}

// Health is the router's own judgement of an endpoint.
type Health struct {
	// Weight scales the share of the requests, from 0 to 1.
	Weight float64
	// Ejected endpoints receive nothing.
	Ejected bool
}

// Candidate is an endpoint as the router knows it. Prepare must be called after
// ID, Region, AvailabilityZone, Models or Service were set; a candidate that was
// not prepared is prepared on a copy at each selection, which is slower.
type Candidate struct {
	// digest comes first so that the fields that decide for most endpoints share
	// a cache line.
	digest digest
	State  rpc.AgentState
	Health Health
	// Unreported counts this router's open attempts at the endpoint that were
	// sent after the load value was received. Earlier ones are part of the value.
	Unreported int
	Load       Load

	ID               string
	Region           string
	AvailabilityZone string
	// Models holds "name" or "name:version" entries of a model engine. A request
	// for the bare name takes any version.
	Models []string
	// Service is the plain service beside the agent, empty for a model engine.
	Service string
	// Incarnation of the agent, passed through to the pick.
	Incarnation string
}

// Request describes what has to be placed. Exactly one of Model and Service is set.
type Request struct {
	Model   string
	Service string
	// Known states that the model or service exists whether or not an endpoint
	// currently serves it, for example because the catalog lists it.
	Known bool
	Tier  int
	// Prefix is a digest of the start of the prompt; zero means no affinity.
	Prefix uint64
	// Region and AvailabilityZone are the router's own.
	Region           string
	AvailabilityZone string
	// Excluded lists the ids of endpoints that were already tried.
	Excluded []string
	// NonIdempotent requests avoid endpoints of reduced health weight more
	// strongly, because a failure may end with an unknown outcome.
	NonIdempotent bool
}

// Pick is the chosen endpoint.
type Pick struct {
	// Index is the position in the candidates.
	Index       int
	Endpoint    string
	Incarnation string
	// ExpectedWait is the estimated wait before the attempt starts.
	ExpectedWait time.Duration
	// Affinity states that the endpoint was taken for its cached prefix.
	Affinity bool
}

// Options adjust a Selector. Zero values take the defaults.
type Options struct {
	// LoadHalfAge is the age at which a load value counts as much as the mean of
	// the endpoints; 2 s by default.
	LoadHalfAge time.Duration
	// ZoneLatency is the extra round trip to another availability zone of the
	// own region; 3 ms by default.
	ZoneLatency time.Duration
	// RegionLatency is the extra round trip to another region; 40 ms by default.
	RegionLatency time.Duration
	// RunTime is the assumed time of an attempt in one slot of an endpoint; 2 s
	// by default. It prices attempts that the load value does not include yet.
	RunTime time.Duration
	// FullCost is the cost of a fully occupied endpoint relative to an idle one,
	// because a larger batch slows every token; 10 ms by default.
	FullCost time.Duration
	// TieBand is the difference in cost below which the choice is partly random;
	// 2 ms by default, less than ZoneLatency so that it does not send work to
	// another availability zone.
	TieBand time.Duration
	// AffinityGain is the time that a cached prefix saves; 100 ms by default.
	AffinityGain time.Duration
	// AffinityBound is the load relative to the mean up to which an endpoint is
	// taken for its cached prefix; 1.25 by default.
	AffinityBound float64
	// RetryAfter is sent with NoEndpoint; 1 s by default.
	RetryAfter time.Duration
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&o.LoadHalfAge, 2*time.Second)
	set(&o.ZoneLatency, 3*time.Millisecond)
	set(&o.RegionLatency, 40*time.Millisecond)
	set(&o.RunTime, 2*time.Second)
	set(&o.FullCost, 10*time.Millisecond)
	set(&o.TieBand, 2*time.Millisecond)
	set(&o.AffinityGain, 100*time.Millisecond)
	set(&o.RetryAfter, time.Second)
	if o.AffinityBound <= 1 {
		o.AffinityBound = 1.25
	}
	return o
}

// Selector selects with fixed options. It is immutable.
type Selector struct {
	options Options
}

// New returns a Selector.
func New(o Options) *Selector {
	return &Selector{options: o.withDefaults()}
}

var defaultSelector = New(Options{})

// Select is Selector.Select with the default options.
func Select(now time.Time, rng *rand.Rand, r Request, candidates []Candidate) (Pick, error) {
	return defaultSelector.Select(now, rng, r, candidates)
}

// Select returns the endpoint for the next attempt of r. The error is a
// *resultcode.Error: UnknownModel or UnknownService when no candidate serves
// what was asked for and each candidate's offer is known, otherwise NoEndpoint.
func (s *Selector) Select(now time.Time, rng *rand.Rand, r Request, candidates []Candidate) (Pick, error) {
	candidates = candidates[:min(len(candidates), MaxCandidates)]
	r.Tier = min(max(r.Tier, 0), catalog.TierCount-1)
	var kept eligible
	f := newFilter(&r)
	f.apply(rng, candidates, &kept)
	if kept.total() == 0 {
		return Pick{}, s.refusal(&r, candidates)
	}
	sc := newScorer(&s.options, now, &r, candidates, &kept)
	best := picker{scorer: &sc, rng: rng}.pick(&kept)
	if r.Prefix != 0 {
		if i, ok := (affinity{scorer: &sc}).pick(&kept, best); ok {
			return sc.result(i, true), nil
		}
	}
	return sc.result(best.index, false), nil
}

func (s *Selector) refusal(r *Request, candidates []Candidate) error {
	known := r.Known || len(candidates) == 0
	f := newFilter(r)
	for i := range candidates {
		c := &candidates[i]
		unclear := len(c.Models) == 0 && c.Service == ""
		d := c.prepared()
		known = known || unclear || f.serves(&d, c)
	}
	if known {
		return resultcode.New(resultcode.NoEndpoint, "no endpoint accepts %s%s", r.Model, r.Service).
			WithRetryAfter(s.options.RetryAfter)
	}
	if r.Service != "" {
		return resultcode.New(resultcode.UnknownService, "service %q", r.Service)
	}
	return resultcode.New(resultcode.UnknownModel, "model %q", r.Model)
}
