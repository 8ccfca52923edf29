package planner

import (
	"cmp"
	"slices"

	"github.com/pistachiowind/pistachiowind/catalog"
)

// loadOrders returns the orders to load models: first models with fewer than their
// minimum of endpoints, then those whose demand is near their capacity, the most
// urgent tier first.
func (s *stepState) loadOrders() []Order {
	var orders []Order
	for _, wanted := range []func(catalog.Model) bool{s.belowMinimum, s.overloaded} {
		for _, m := range s.models {
			if s.inProgress[true] >= s.planner.options.MaxLoads {
				return orders
			}
			if !wanted(m) {
				continue
			}
			if e := s.loadTarget(m); e != nil {
				orders = append(orders, s.addOrder(e, m, true))
			}
		}
	}
	return orders
}

// addOrder creates an order and counts it in the state of this step.
func (s *stepState) addOrder(e *Endpoint, m catalog.Model, load bool) Order {
	o := s.planner.newOrder(e, m, load)
	s.pendingZones[[2]string{m.ID(), e.AvailabilityZone}] = true
	s.inProgress[load]++
	if load {
		s.zoneCounts[m.ID()][e.AvailabilityZone]++
	} else {
		s.zoneCounts[m.ID()][e.AvailabilityZone]--
		s.serving[m.ID()]--
	}
	return o
}

// belowMinimum reports whether a model has fewer endpoints than MinEndpoints, or none.
func (s *stepState) belowMinimum(m catalog.Model) bool {
	return s.plannedEndpoints(m.ID()) < max(m.MinEndpoints, 1)
}

// overloaded reports whether the demand for a model is near its capacity.
func (s *stepState) overloaded(m catalog.Model) bool {
	return s.planner.demand[m.ID()] > loadThreshold*s.capacity(m, nil)
}

// capacity is the number of requests of a model that its endpoints, except the one
// given as without, can run at a time. An endpoint that is loading the model counts as
// well, so that one burst does not cause several loads.
func (s *stepState) capacity(m catalog.Model, without *Endpoint) float64 {
	var sum float64
	for i := range s.in.Endpoints {
		e := &s.in.Endpoints[i]
		if e == without || !e.Serving || !s.willServe(e, m.ID()) {
			continue
		}
		sum += s.availableSlots(e, m.ID())
	}
	return sum
}

// willServe reports whether an endpoint will serve the model once its pending change,
// if any, is complete.
func (s *stepState) willServe(e *Endpoint, id string) bool {
	if c := s.planner.pending[e.Name]; c != nil && c.order.Model.ID() == id {
		return c.order.Load
	}
	return slices.Contains(e.Models, id)
}

// availableSlots is the part of an endpoint's concurrency limit that the demand of its
// other models leaves for a model, at least an equal share.
func (s *stepState) availableSlots(e *Endpoint, id string) float64 {
	limit := float64(e.Load.Limit)
	others, count := 0.0, 1
	for _, other := range e.Models {
		if other == id {
			continue
		}
		count++
		others += s.planner.demand[other] / float64(max(s.serving[other], 1))
	}
	return max(limit-others, limit/float64(count))
}

// loadTarget returns the endpoint to load a model at, or nil. It prefers a zone with
// fewer endpoints of the model, then an endpoint with fewer models, a shorter delay
// for the model's tier, and less load.
func (s *stepState) loadTarget(m catalog.Model) *Endpoint {
	var best *Endpoint
	zones := s.zoneCounts[m.ID()]
	for i := range s.in.Endpoints {
		e := &s.in.Endpoints[i]
		if slices.Contains(e.Models, m.ID()) || len(e.Models) >= s.planner.options.MaxModels || !s.changeable(e, m, true) {
			continue
		}
		if best == nil || compareTargets(e, best, zones, m.Tier) < 0 {
			best = e
		}
	}
	return best
}

// compareTargets returns a negative number if a is the better endpoint to load a model
// at, by the order that loadTarget describes. Ties are broken by name.
func compareTargets(a, b *Endpoint, zones map[string]int, tier int) int {
	return cmp.Or(
		cmp.Compare(zones[a.AvailabilityZone], zones[b.AvailabilityZone]),
		cmp.Compare(len(a.Models), len(b.Models)),
		cmp.Compare(a.Load.TierDelay[tier], b.Load.TierDelay[tier]),
		cmp.Compare(a.Load.Queued+a.Load.Running, b.Load.Queued+b.Load.Running),
		cmp.Compare(a.Name, b.Name),
	)
}

// changeable reports whether a model may be loaded or unloaded at an endpoint now.
func (s *stepState) changeable(e *Endpoint, m catalog.Model, load bool) bool {
	p := s.planner
	if !e.Serving || p.pending[e.Name] != nil || s.pendingZones[[2]string{m.ID(), e.AvailabilityZone}] {
		return false
	}
	if s.now.Sub(p.begunAt) < p.options.MinChange {
		return false
	}
	if at, ok := p.lastChange[e.Name]; ok && s.now.Sub(at) < p.options.MinChange {
		return false
	}
	f := p.failures[failureKey{endpoint: e.Name, model: m.ID(), load: load}]
	return !s.now.Before(f.until)
}

// unloadOrders returns the orders to unload models whose demand would leave half of
// the remaining capacity free. An endpoint keeps at least one model, because unloading
// its only one frees no capacity for another.
func (s *stepState) unloadOrders() []Order {
	var orders []Order
	for _, m := range slices.Backward(s.models) {
		if s.inProgress[false] >= s.planner.options.MaxLoads {
			return orders
		}
		if s.serving[m.ID()] <= max(m.MinEndpoints, 1) {
			continue
		}
		if e := s.unloadTarget(m); e != nil {
			orders = append(orders, s.addOrder(e, m, false))
		}
	}
	return orders
}

// unloadTarget returns an endpoint whose capacity the model does not need, or nil. It
// prefers a zone with more endpoints of the model, then an endpoint with more models.
func (s *stepState) unloadTarget(m catalog.Model) *Endpoint {
	var best *Endpoint
	zones := s.zoneCounts[m.ID()]
	for i := range s.in.Endpoints {
		e := &s.in.Endpoints[i]
		if !slices.Contains(e.Models, m.ID()) || len(e.Models) < 2 || !s.changeable(e, m, false) {
			continue
		}
		if s.planner.demand[m.ID()] >= unloadThreshold*s.capacity(m, e) {
			continue
		}
		if best == nil || compareTargets(best, e, zones, m.Tier) < 0 {
			best = e
		}
	}
	return best
}
