// Package planner decides which endpoints serve which models. The router that holds
// the placement lease follows the smoothed demand for the models of the catalog and
// orders endpoints to load and unload them. Planner makes the decisions, without
// I/O; Service competes for the lease and sends the orders.
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
	// MaxLoads bounds the loads of models in progress in the whole fleet; 2 by
	// default, because the store of the model weights is rate-limited. The same bound
	// applies separately to unloads.
	MaxLoads int
	// MaxModels bounds the models that an endpoint is ordered to hold; 2 by default.
	MaxModels int
	// MinChange is the least time between two changes of one endpoint, and from the
	// start of a lease to its first change; 2 min by default.
	MinChange time.Duration
	// Smoothing is the time constant of the exponential smoothing of the demand;
	// 1 min by default.
	Smoothing time.Duration
	// StaleAfter is the age above which a load value is ignored; 2 min by default,
	// because values are up to 2 min old in a site of the planned size.
	StaleAfter time.Duration
	// Backoff is the time until a failed order is retried; 30 s by default. It doubles
	// with each failure up to MaxBackoff, 10 min by default.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ConfirmAfter is the time after the end of an order within which the endpoint
	// must report the change; otherwise the order counts as failed. 1 min by default.
	ConfirmAfter time.Duration
}

const (
	// loadThreshold and unloadThreshold are ratios of demand to capacity: above the
	// first a model is loaded at a further endpoint, below the second it is unloaded
	// at one. The gap between them keeps a model from being loaded and unloaded in turn.
	loadThreshold   = 0.8
	unloadThreshold = 0.5
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

// Endpoint is the state of a model engine as the router knows it.
type Endpoint struct {
	Name             string
	AvailabilityZone string
	// Serving states that the endpoint accepts requests; one that is leaving, starting
	// or down does not.
	Serving bool
	// Models are the models that it reports, as "name" or "name:version".
	Models []string
	Load   selection.Load
}

// Input is the state of the site at a step.
type Input struct {
	Endpoints []Endpoint
	Models    []catalog.Model
	// Requests counts the recent requests of each model. The load of an endpoint is
	// divided between its models in this proportion, or equally without requests.
	Requests map[string]float64
}

// Order is an order to an endpoint to load or unload a model.
type Order struct {
	ID       string
	Endpoint string
	Model    catalog.Model
	// Load is true for loading the model, false for unloading it.
	Load bool
}

// pendingChange is an order whose effect the endpoint has not reported yet.
type pendingChange struct {
	order Order
	zone  string
	// confirmBy is when the endpoint must have reported the change. It is zero while
	// the order is in progress.
	confirmBy time.Time
}

// failure delays the next order with the same content.
type failure struct {
	count int
	until time.Time
}

type failureKey struct {
	endpoint string
	model    string
	load     bool
}

// Planner decides which orders to send. It is a state machine without I/O and not
// safe for concurrent use. Its maps are bounded by the endpoints and models of the
// input.
type Planner struct {
	options       PlanOptions
	fencingNumber uint64
	sequence      uint64
	// begunAt is when the lease was acquired. The former holder may have changed any
	// endpoint just before.
	begunAt         time.Time
	demandUpdatedAt time.Time
	// demand is the smoothed number of requests per model.
	demand map[string]float64
	// pending and lastChange have the unconfirmed change and the end of the last order
	// of each endpoint, by name.
	pending    map[string]*pendingChange
	lastChange map[string]time.Time
	failures   map[failureKey]failure
}

// New returns a Planner. Begin is called before the first Step.
func New(o PlanOptions) *Planner {
	return &Planner{options: o.withDefaults()}
}

// Begin discards all state and starts planning under a newly acquired lease with this
// fencing number.
func (p *Planner) Begin(now time.Time, number uint64) {
	*p = Planner{
		options:       p.options,
		fencingNumber: number,
		begunAt:       now,
		demand:        map[string]float64{},
		pending:       map[string]*pendingChange{},
		lastChange:    map[string]time.Time{},
		failures:      map[failureKey]failure{},
	}
}

// Step takes the current state of the site and returns the orders to send now. Each
// order is in progress until Ended is called for it.
func (p *Planner) Step(now time.Time, in Input) []Order {
	p.pruneState(now, in)
	p.confirm(now, in)
	p.updateDemand(now, in)
	s := p.newStepState(now, in)
	return append(s.loadOrders(), s.unloadOrders()...)
}

// Ended records the end of an order. If done is false, the order counts as failed, and
// one with the same content may be issued after the backoff, with a new ID.
func (p *Planner) Ended(now time.Time, o Order, done bool) {
	c := p.pending[o.Endpoint]
	if c == nil || c.order.ID != o.ID {
		return
	}
	p.lastChange[o.Endpoint] = now
	if done {
		c.confirmBy = now.Add(p.options.ConfirmAfter)
		return
	}
	p.recordFailure(now, c)
}

func (p *Planner) recordFailure(now time.Time, c *pendingChange) {
	delete(p.pending, c.order.Endpoint)
	key := keyOf(c.order)
	f := p.failures[key]
	f.until = now.Add(min(p.options.Backoff<<min(f.count, 10), p.options.MaxBackoff))
	f.count++
	p.failures[key] = f
}

func keyOf(o Order) failureKey {
	return failureKey{endpoint: o.Endpoint, model: o.Model.ID(), load: o.Load}
}

// newOrder creates an order. Its ID is a digest of the content, the fencing number and
// a sequence number; the agent recognises a repeated send of the same order by it.
func (p *Planner) newOrder(e *Endpoint, m catalog.Model, load bool) Order {
	p.sequence++
	content := fmt.Sprintf("%d\n%s\n%s\n%t\n%d", p.fencingNumber, e.Name, m.ID(), load, p.sequence)
	sum := sha256.Sum256([]byte(content))
	o := Order{ID: hex.EncodeToString(sum[:16]), Endpoint: e.Name, Model: m, Load: load}
	p.pending[e.Name] = &pendingChange{order: o, zone: e.AvailabilityZone}
	return o
}
