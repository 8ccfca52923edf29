// Package health detects slow and failing endpoints (outlier detection) from what
// this router itself observes, before their load reports show it. Each endpoint is
// compared with the median of its peers, the endpoints of the same group. An
// outlier first loses weight, is then ejected, and returns through a single trial
// attempt and a slowly growing weight. At most 30% of a group are ejected.
package health

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Options adjust a Tracker. Zero values take the defaults.
type Options struct {
	// MaxEndpoints bounds the tracked endpoints; 1,024 by default. Beyond it the
	// least recently used one is forgotten.
	MaxEndpoints int
	// EjectedShare is the largest share of a group that may be ejected; 0.3 by default.
	EjectedShare float64
	// Window is the age above which observations no longer count; 10 s by default.
	Window time.Duration
	// MinSamples is the number of latencies needed to compare an endpoint; 4 by default.
	MinSamples int
	// SlowRatio is the latency relative to the median of the peers above which an
	// endpoint loses weight; 1.5 by default.
	SlowRatio float64
	// EjectRatio is the latency relative to the median of the peers above which an
	// endpoint is ejected; 4 by default.
	EjectRatio float64
	// MaxFailures is the number of failures in a row at which an endpoint is ejected;
	// 5 by default.
	MaxFailures int
	// OpenTime is the duration of the first ejection; 5 s by default. It doubles with
	// each failed trial up to MaxOpenTime, 60 s by default.
	OpenTime    time.Duration
	MaxOpenTime time.Duration
	// TrialTimeout is the time after which a trial without a result counts as failed;
	// 30 s by default.
	TrialTimeout time.Duration
	// RampTime is how long the weight takes to grow from 0 to 1; 10 s by default.
	RampTime time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.Window, 10*time.Second)
	setDefault(&o.OpenTime, 5*time.Second)
	setDefault(&o.MaxOpenTime, time.Minute)
	setDefault(&o.TrialTimeout, 30*time.Second)
	setDefault(&o.RampTime, 10*time.Second)
	if o.MaxEndpoints <= 0 {
		o.MaxEndpoints = 1024
	}
	if o.EjectedShare <= 0 {
		o.EjectedShare = 0.3
	}
	if o.MinSamples <= 0 {
		o.MinSamples = 4
	}
	if o.SlowRatio <= 1 {
		o.SlowRatio = 1.5
	}
	if o.EjectRatio <= 1 {
		o.EjectRatio = 4
	}
	if o.MaxFailures <= 0 {
		o.MaxFailures = 5
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

const (
	// minWeight is the least weight of an endpoint that is not ejected. It receives
	// enough attempts to be observed.
	minWeight = 0.05
	// trialWeight is the weight of an endpoint that waits for its trial. It makes the
	// trial likely within a few requests; only one attempt is sent.
	trialWeight = 0.5
	// evaluateInterval is the least time between two comparisons of a group, to bound
	// their cost.
	evaluateInterval = 100 * time.Millisecond
)

// Kind is the kind of an observation.
type Kind int

const (
	// FirstToken means that the first token came Duration after the start at the
	// endpoint.
	FirstToken Kind = iota + 1
	// FirstTokenPending means that Duration has passed without a first token. It
	// counts when it is longer than the endpoint's average, so that a stalled
	// endpoint is detected before its requests end.
	FirstTokenPending
	// InterToken means that Duration is the time between two tokens, or the mean of a
	// few such times.
	InterToken
	// Success means that the answer was complete.
	Success
	// Failure means that the connection did not open or the answer broke off.
	Failure
	// Refusal means that the endpoint refused the attempt for lack of capacity.
	Refusal
)

// Observation is a latency or outcome of an attempt at an endpoint.
type Observation struct {
	Endpoint string
	Kind     Kind
	Duration time.Duration
	// Sent is when the attempt was sent. Attempts sent before the trial that ended
	// the last ejection do not count.
	Sent time.Time
}

// Tracker computes the weights and ejections of the endpoints that one router knows.
// It is not safe for concurrent use.
type Tracker struct {
	options   Options
	endpoints *simplelru.LRU[string, *endpoint]
	groups    map[string]*group
	ejections Ejections
}

// Ejections counts the ejections of endpoints since the start, by cause. A failed
// trial after an ejection does not count again.
type Ejections struct {
	Slow, Failing uint64
}

// Ejections returns the counts so far.
func (t *Tracker) Ejections() Ejections { return t.ejections }

// New returns a Tracker without endpoints.
func New(o Options) *Tracker {
	t := &Tracker{options: o.withDefaults(), groups: make(map[string]*group)}
	// The size is positive, which is all that NewLRU checks.
	t.endpoints, _ = simplelru.NewLRU(t.options.MaxEndpoints, t.removeFromGroup)
	return t
}

// Join adds an endpoint to a group of comparable endpoints, usually those that
// serve the same model or service. An endpoint that was in another group starts
// without history.
func (t *Tracker) Join(now time.Time, id, groupName string) {
	if e, ok := t.endpoints.Get(id); ok {
		if e.group.name == groupName {
			return
		}
		t.endpoints.Remove(id)
	}
	g := t.groups[groupName]
	if g == nil {
		g = &group{name: groupName}
		t.groups[groupName] = g
	}
	e := &endpoint{id: id, group: g, weight: 1, target: 1, weightUpdatedAt: now}
	g.members = append(g.members, e)
	t.endpoints.Add(id, e)
}

// Leave removes an endpoint and evaluates the group that it was in.
func (t *Tracker) Leave(now time.Time, id string) {
	e, ok := t.endpoints.Peek(id)
	if !ok {
		return
	}
	t.endpoints.Remove(id)
	t.evaluate(now, e.group)
}

// removeFromGroup is called when an endpoint is removed from the LRU cache. It makes
// an evaluation of the group due at once, because the smaller group may allow fewer
// ejections.
func (t *Tracker) removeFromGroup(_ string, e *endpoint) {
	g := e.group
	for i, m := range g.members {
		if m == e {
			g.members = append(g.members[:i], g.members[i+1:]...)
			break
		}
	}
	g.evaluatedAt = time.Time{}
	if len(g.members) == 0 {
		delete(t.groups, g.name)
	}
}

// Sent records that an attempt is sent to the endpoint. The first one after an
// ejection is the trial, and the endpoint receives no other until its result.
func (t *Tracker) Sent(now time.Time, id string) {
	e, ok := t.endpoints.Get(id)
	if !ok {
		return
	}
	e.advance(now, &t.options)
	if e.state == halfOpen && e.trialSentAt.IsZero() {
		e.trialSentAt = now
	}
}

// Record records an observation. Unknown endpoints are ignored.
func (t *Tracker) Record(now time.Time, o Observation) {
	e, ok := t.endpoints.Get(o.Endpoint)
	if !ok {
		return
	}
	e.advance(now, &t.options)
	switch e.state {
	case closed:
		if !o.Sent.Before(e.lastTrialAt) {
			e.observe(now, o, &t.options)
		}
	case halfOpen:
		if !e.trialSentAt.IsZero() && !o.Sent.Before(e.trialSentAt) {
			t.handleTrialResult(now, e, o)
		}
	}
	t.evaluateIfDue(now, e.group)
}

// Health returns the weight of an endpoint, from 0 to 1, and whether it is ejected
// and receives no attempts. An unknown endpoint has weight 1.
func (t *Tracker) Health(now time.Time, id string) (weight float64, ejected bool) {
	e, ok := t.endpoints.Peek(id)
	if !ok {
		return 1, false
	}
	e.advance(now, &t.options)
	t.evaluateIfDue(now, e.group)
	switch {
	case e.ejected():
		return 0, true
	case e.state == halfOpen:
		return trialWeight, false
	default:
		return e.weight, false
	}
}

// Each calls f with the ID and the result of Health for every endpoint, so that a
// caller can refresh the candidates that it keeps. The endpoints of a group are
// compared at most every 100 ms, and at once when one of them leaves; ejections also
// end and trials begin between these comparisons.
func (t *Tracker) Each(now time.Time, f func(id string, weight float64, ejected bool)) {
	for _, g := range t.groups {
		for _, e := range g.members {
			weight, ejected := t.Health(now, e.id)
			f(e.id, weight, ejected)
		}
	}
}

func (t *Tracker) handleTrialResult(now time.Time, e *endpoint, o Observation) {
	switch o.Kind {
	case Failure:
		e.reopen(now, &t.options)
	case Refusal:
		// A refusal says nothing about the endpoint's speed or failures; the next
		// attempt is the trial.
		e.trialSentAt = time.Time{}
	case Success:
		e.close(now)
	case FirstToken, FirstTokenPending:
		switch slow := e.group.slowerThanPeers(now, e, o.Duration, &t.options); {
		case slow:
			e.reopen(now, &t.options)
		case o.Kind == FirstToken:
			e.close(now)
		}
	}
}
