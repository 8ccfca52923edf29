// Package selection chooses the endpoint for one attempt in three steps: a
// filter keeps the endpoints that may serve it, a scorer estimates the cost of
// each as a time, and a picker samples a few at random and takes the cheapest.
// The package keeps no state; the caller owns the candidates.
package selection

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// MaxCandidates bounds the candidates of one selection; those beyond it are ignored.
const MaxCandidates = 1024

// Load is the load that an endpoint last reported.
type Load struct {
	// At is when the report was received; zero means that there was none.
	At time.Time
	// Queued and Running count attempts at the endpoint; Limit is its concurrency
	// limit in attempts. A limit below 1 counts as 1.
	Queued, Running, Limit int
	// TierDelay is the expected queueing delay of a new attempt, by tier.
	TierDelay [catalog.TierCount]time.Duration
}

// Health is the router's own assessment of an endpoint, as package health computes it.
type Health struct {
	// Weight scales the endpoint's share of the requests, from 0 to 1.
	Weight float64
	// Ejected endpoints receive no attempts.
	Ejected bool
}

// Candidate is an endpoint as the router knows it. Call Prepare after setting
// ID, Region, AvailabilityZone, Models or Service; otherwise each selection
// computes the hashes again, which is slower.
type Candidate struct {
	// digest comes first so that the fields that rule out most endpoints share a
	// cache line.
	digest digest
	State  rpc.AgentState
	Health Health
	// Unreported counts this router's open attempts at the endpoint that were
	// sent after Load was received. Load already includes earlier ones.
	Unreported int
	Load       Load

	ID               string
	Region           string
	AvailabilityZone string
	// Models holds "name" or "name:version" entries of a model engine. A request
	// for the name alone matches any version.
	Models []string
	// Service is the name of the service behind the agent, empty for a model engine.
	Service string
	// Incarnation identifies the run of the agent process; it is copied to the Pick.
	Incarnation string
}

// Request describes the attempt that needs an endpoint. Exactly one of Model and
// Service is set.
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
	// Excluded lists the IDs of endpoints that were already tried.
	Excluded []string
	// NonIdempotent requests avoid endpoints of reduced health weight more
	// strongly, because a failure may end with an unknown outcome.
	NonIdempotent bool
}

// Pick is the chosen endpoint.
type Pick struct {
	// Index is the position in the slice of candidates.
	Index       int
	Endpoint    string
	Incarnation string
	// ExpectedWait is the estimated wait before the attempt starts.
	ExpectedWait time.Duration
	// Affinity states that the endpoint was chosen for its cached prefix.
	Affinity bool
}

// Options adjust a Selector. Zero values take the defaults.
type Options struct {
	// LoadHalfAge is the age at which a load value and the mean over the eligible
	// endpoints have equal weight; 2 s by default.
	LoadHalfAge time.Duration
	// ZoneLatency is the extra round-trip time to another availability zone of the
	// router's region; 3 ms by default.
	ZoneLatency time.Duration
	// RegionLatency is the extra round-trip time to another region; 40 ms by default.
	RegionLatency time.Duration
	// AssumedRunTime is how long an attempt is assumed to occupy a slot of an
	// endpoint; 2 s by default. It estimates the wait behind attempts that the
	// load value does not include yet.
	AssumedRunTime time.Duration
	// FullLoadCost is the extra cost of a fully occupied endpoint over an idle one,
	// because a larger batch slows every token; 10 ms by default.
	FullLoadCost time.Duration
	// TieBand is the difference in cost below which the choice is partly random;
	// 2 ms by default. It is less than ZoneLatency so that the randomness does not
	// send requests to another availability zone.
	TieBand time.Duration
	// AffinityGain is the time assumed saved by a cached prefix; 100 ms by default.
	AffinityGain time.Duration
	// AffinityLoadBound is the load, relative to the mean, up to which an endpoint
	// is chosen for its cached prefix; 1.25 by default.
	AffinityLoadBound float64
	// RetryAfter is the retry delay given with a NoEndpoint error; 1 s by default.
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
	set(&o.AssumedRunTime, 2*time.Second)
	set(&o.FullLoadCost, 10*time.Millisecond)
	set(&o.TieBand, 2*time.Millisecond)
	set(&o.AffinityGain, 100*time.Millisecond)
	set(&o.RetryAfter, time.Second)
	if o.AffinityLoadBound <= 1 {
		o.AffinityLoadBound = 1.25
	}
	return o
}

// Selector selects endpoints with fixed options. It is immutable and safe for
// concurrent use.
type Selector struct {
	options Options
}

// New returns a Selector.
func New(o Options) *Selector {
	return &Selector{options: o.withDefaults()}
}

var defaultSelector = New(Options{})

// Select calls Selector.Select with the default options.
func Select(now time.Time, rng *rand.Rand, r Request, candidates []Candidate) (Pick, error) {
	return defaultSelector.Select(now, rng, r, candidates)
}

// Select returns the endpoint for the next attempt of r. The error is a
// *resultcode.Error: UnknownModel or UnknownService when the models and services
// of all candidates are known and none serves the requested one, otherwise
// NoEndpoint.
func (s *Selector) Select(now time.Time, rng *rand.Rand, r Request, candidates []Candidate) (Pick, error) {
	candidates = candidates[:min(len(candidates), MaxCandidates)]
	r.Tier = min(max(r.Tier, 0), catalog.TierCount-1)
	var kept eligible
	f := newFilter(&r)
	f.apply(rng, candidates, &kept)
	if kept.total() == 0 {
		return Pick{}, s.noCandidateError(&r, candidates)
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

// noCandidateError returns the error for a request that no candidate may serve.
// It is NoEndpoint if Request.Known is set, without candidates, and while a
// candidate has not reported its models or service, since it may serve the
// requested one.
func (s *Selector) noCandidateError(r *Request, candidates []Candidate) error {
	known := r.Known || len(candidates) == 0
	f := newFilter(r)
	for i := range candidates {
		c := &candidates[i]
		unclear := len(c.Models) == 0 && c.Service == ""
		d := c.preparedDigest()
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
