// Package health finds slow and failing endpoints from what this router itself
// observes, before their load reports show it. Each endpoint is compared with
// the median of its peers, the endpoints of the same group. A bad one first
// loses weight, then is ejected, and returns through a single trial and a slowly
// growing weight. At most 30% of a group are ejected.
package health

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Options adjust a Tracker. Zero values take the defaults.
type Options struct {
	// MaxEndpoints bounds the endpoints; 1,024 by default. The least recently
	// used one is dropped.
	MaxEndpoints int
	// EjectedShare is the largest ejected share of a group; 0.3 by default.
	EjectedShare float64
	// Window is the age from which observations no longer count; 10 s by default.
	Window time.Duration
	// MinSamples is the number of latencies needed for a judgement; 4 by default.
	MinSamples int
	// SlowRatio to the median of the peers costs weight; 1.5 by default.
	SlowRatio float64
	// EjectRatio to the median of the peers ejects; 4 by default.
	EjectRatio float64
	// MaxFailures in a row eject; 5 by default.
	MaxFailures int
	// OpenTime of the first ejection; 5 s by default. It doubles with each failed
	// trial up to MaxOpenTime, 60 s by default.
	OpenTime    time.Duration
	MaxOpenTime time.Duration
	// TrialTimeout is the time after which a trial without result has failed;
	// 30 s by default.
	TrialTimeout time.Duration
	// RampTime is the time from weight 0 to weight 1; 10 s by default.
	RampTime time.Duration
}

func (o Options) withDefaults() Options {
	setDuration(&o.Window, 10*time.Second)
	setDuration(&o.OpenTime, 5*time.Second)
	setDuration(&o.MaxOpenTime, time.Minute)
	setDuration(&o.TrialTimeout, 30*time.Second)
	setDuration(&o.RampTime, 10*time.Second)
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

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

const (
	// minWeight keeps a bad endpoint that is not ejected under observation.
	minWeight = 0.05
	// trialWeight makes a trial likely within a few requests; there is only one.
	trialWeight = 0.5
	// evaluateEvery bounds the work of the comparison.
	evaluateEvery = 100 * time.Millisecond
)

// Kind names an observation.
type Kind int

const (
	// FirstToken took Duration from the start at the endpoint.
	FirstToken Kind = iota + 1
	// FirstTokenPending: Duration passed without a first token. It counts when it
	// is longer than the endpoint's average, so that a stalled endpoint is found
	// before its requests end.
	FirstTokenPending
	// InterToken is a time between tokens, or the mean of a few.
	InterToken
	// Success is a whole answer.
	Success
	// Failure is a connection that did not open, or an answer that broke.
	Failure
	// Refusal is a refusal for lack of capacity.
	Refusal
)

// Observation is what an attempt showed about its endpoint.
type Observation struct {
	Endpoint string
	Kind     Kind
	Duration time.Duration
	// Sent is when the attempt was sent. Attempts from before the last ejection
	// do not count.
	Sent time.Time
}

// Tracker judges the endpoints of one router. It is not safe for concurrent use.
type Tracker struct {
	options   Options
	endpoints *simplelru.LRU[string, *endpoint]
	groups    map[string]*group
	ejections Ejections
}

// Ejections counts the endpoints that were ejected since the start, by cause. A
// failed trial after an ejection does not count again.
type Ejections struct {
	Slow, Failing uint64
}

// Ejections returns the counts so far.
func (t *Tracker) Ejections() Ejections { return t.ejections }

// New returns a Tracker without endpoints.
func New(o Options) *Tracker {
	t := &Tracker{options: o.withDefaults(), groups: make(map[string]*group)}
	// The size is positive, which is all that NewLRU checks.
	t.endpoints, _ = simplelru.NewLRU(t.options.MaxEndpoints, t.dropped)
	return t
}

// Join adds an endpoint to the group whose endpoints are comparable, usually
// those that serve the same model or service. An endpoint that was in another
// group starts without history.
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
	e := &endpoint{id: id, group: g, weight: 1, target: 1, weighedAt: now}
	g.members = append(g.members, e)
	t.endpoints.Add(id, e)
}

// Leave removes an endpoint.
func (t *Tracker) Leave(now time.Time, id string) {
	e, ok := t.endpoints.Peek(id)
	if !ok {
		return
	}
	t.endpoints.Remove(id)
	t.evaluate(now, e.group)
}

// dropped removes an endpoint from its group. The evaluation is due at once,
// because the smaller group may allow fewer ejections.
func (t *Tracker) dropped(_ string, e *endpoint) {
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

// Sent notes that an attempt goes to the endpoint. After an ejection the first
// one is the trial, and the endpoint receives no other until its result.
func (t *Tracker) Sent(now time.Time, id string) {
	e, ok := t.endpoints.Get(id)
	if !ok {
		return
	}
	e.advance(now, &t.options)
	if e.state == halfOpen && e.trialAt.IsZero() {
		e.trialAt = now
	}
}

// Record takes an observation. Unknown endpoints are ignored.
func (t *Tracker) Record(now time.Time, o Observation) {
	e, ok := t.endpoints.Get(o.Endpoint)
	if !ok {
		return
	}
	e.advance(now, &t.options)
	switch e.state {
	case closed:
		if !o.Sent.Before(e.returnedAt) {
			e.observe(now, o, &t.options)
		}
	case halfOpen:
		if !e.trialAt.IsZero() && !o.Sent.Before(e.trialAt) {
			t.trialResult(now, e, o)
		}
	}
	t.evaluateIfDue(now, e.group)
}

// Health returns the share of an endpoint, from 0 to 1, and whether it receives
// nothing at all. An unknown endpoint has full weight.
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

// Each calls f with the id and the result of Health of every endpoint. A caller
// that keeps candidates refreshes them this way every 100 ms, which is how often
// the comparison runs.
func (t *Tracker) Each(now time.Time, f func(id string, weight float64, ejected bool)) {
	for _, g := range t.groups {
		for _, e := range g.members {
			weight, ejected := t.Health(now, e.id)
			f(e.id, weight, ejected)
		}
	}
}

func (t *Tracker) trialResult(now time.Time, e *endpoint, o Observation) {
	switch o.Kind {
	case Failure:
		e.reopen(now, &t.options)
	case Refusal:
		// The endpoint was not tested; the next attempt is the trial.
		e.trialAt = time.Time{}
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
