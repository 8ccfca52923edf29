// Package planner decides which endpoint serves which model. The holder of the
// placement lease follows the demand of the catalog's models slowly and orders
// endpoints to load and unload them. Planner is the decision, without I/O;
// Service competes for the lease and sends the orders.
package planner

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/router/selection"
)

// PlanOptions adjust a Planner. Zero values take the defaults.
type PlanOptions struct {
	// MaxLoads bounds the loads in progress in the whole fleet; 2 by default,
	// because the weight store is rate-limited. As many unloads may be in progress.
	MaxLoads int
	// MaxModels is the number of models at which an endpoint gets no further one;
	// 2 by default.
	MaxModels int
	// MinChange is the time between two changes of one endpoint, and the time from
	// taking the lease over to the first change; 2 min by default.
	MinChange time.Duration
	// Smoothing is the time constant of the demand; 1 min by default.
	Smoothing time.Duration
	// StaleAfter is the age above which a load value is not used; 2 min by default.
	// At the planned size a value is up to 2 min old.
	StaleAfter time.Duration
	// Backoff is the time until a failed order is tried again, doubled with each
	// failure up to MaxBackoff; 30 s and 10 min by default.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ConfirmAfter is the time from the end of an order until the endpoint must
	// report the change; otherwise the order counts as failed. 1 min by default.
	ConfirmAfter time.Duration
}

const (
	// growAbove and shrinkBelow bound the demand in relation to the capacity. The
	// gap keeps a model from being loaded and unloaded in turn.
	growAbove   = 0.8
	shrinkBelow = 0.5
)

func (o PlanOptions) withDefaults() PlanOptions {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	if o.MaxLoads <= 0 {
		o.MaxLoads = 2
	}
	if o.MaxModels <= 0 {
		o.MaxModels = 2
	}
	set(&o.MinChange, 2*time.Minute)
	set(&o.Smoothing, time.Minute)
	set(&o.StaleAfter, 2*time.Minute)
	set(&o.Backoff, 30*time.Second)
	set(&o.MaxBackoff, 10*time.Minute)
	set(&o.ConfirmAfter, time.Minute)
	return o
}

// Endpoint is a model engine as the router knows it.
type Endpoint struct {
	Name             string
	AvailabilityZone string
	// Serving states that it accepts work; leaving, starting and down ones do not.
	Serving bool
	// Models are the names that it reports, "name" or "name:version".
	Models []string
	Load   selection.Load
}

// Input is what a plan is made from.
type Input struct {
	Endpoints []Endpoint
	Models    []catalog.Model
	// Requests counts the recent requests of each model. It divides the load of an
	// endpoint between its models; equally when it is empty.
	Requests map[string]float64
}

// Order is an order to one endpoint.
type Order struct {
	ID       string
	Endpoint string
	Model    catalog.Model
	// Load states that the model is loaded, otherwise unloaded.
	Load bool
}

// change is an order that is not confirmed yet.
type change struct {
	order Order
	zone  string
	// confirmBy is set when the order was executed. Until then the order is in
	// progress.
	confirmBy time.Time
}

// failure delays the next order of the same content.
type failure struct {
	count int
	until time.Time
}

type failureKey struct {
	endpoint string
	model    string
	load     bool
}

// Planner makes the plan. It is a state machine without I/O and not safe for
// concurrent use. Its maps are bounded by the endpoints and models of the input.
type Planner struct {
	o        PlanOptions
	number   uint64
	sequence uint64
	// since is when the lease was taken. A former holder may have changed any
	// endpoint just before.
	since   time.Time
	updated time.Time
	// demand is the smoothed number of requests per model.
	demand   map[string]float64
	changes  map[string]*change
	changed  map[string]time.Time
	failures map[failureKey]failure
}

// New returns a Planner. Begin is called before the first Step.
func New(o PlanOptions) *Planner {
	return &Planner{o: o.withDefaults()}
}

// Begin starts the plan of a lease with its fencing number.
func (p *Planner) Begin(now time.Time, number uint64) {
	*p = Planner{
		o:        p.o,
		number:   number,
		since:    now,
		demand:   map[string]float64{},
		changes:  map[string]*change{},
		changed:  map[string]time.Time{},
		failures: map[failureKey]failure{},
	}
}

// Step takes the present state and returns the orders to send now. Each one is
// in progress until Ended is called for it.
func (p *Planner) Step(now time.Time, in Input) []Order {
	p.forget(now, in)
	p.confirm(now, in)
	p.measure(now, in)
	s := p.survey(now, in)
	return append(s.loads(), s.unloads()...)
}

// Ended reports the end of an order. The endpoint executed it if done is set;
// otherwise an order with the same content gets a new id after a backoff.
func (p *Planner) Ended(now time.Time, o Order, done bool) {
	c := p.changes[o.Endpoint]
	if c == nil || c.order.ID != o.ID {
		return
	}
	p.changed[o.Endpoint] = now
	if done {
		c.confirmBy = now.Add(p.o.ConfirmAfter)
		return
	}
	p.failed(now, c)
}

func (p *Planner) failed(now time.Time, c *change) {
	delete(p.changes, c.order.Endpoint)
	key := keyOf(c.order)
	f := p.failures[key]
	f.until = now.Add(min(p.o.Backoff<<min(f.count, 10), p.o.MaxBackoff))
	f.count++
	p.failures[key] = f
}

func keyOf(o Order) failureKey {
	return failureKey{endpoint: o.Endpoint, model: o.Model.ID(), load: o.Load}
}

// open makes an order. Its id is a digest, so that a repeated send is recognised
// by the agent's gate.
func (p *Planner) open(e *Endpoint, m catalog.Model, load bool) Order {
	p.sequence++
	content := fmt.Sprintf("%d\n%s\n%s\n%t\n%d", p.number, e.Name, m.ID(), load, p.sequence)
	sum := sha256.Sum256([]byte(content))
	o := Order{ID: hex.EncodeToString(sum[:16]), Endpoint: e.Name, Model: m, Load: load}
	p.changes[e.Name] = &change{order: o, zone: e.AvailabilityZone}
	return o
}
