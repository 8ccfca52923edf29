package planner

import (
	"cmp"
	"slices"

	"github.com/pistachiowind/pistachiowind/catalog"
)

// loads returns the orders to load models: first those below their floor, then
// those whose demand is near their capacity, the most urgent tier first.
func (s *survey) loads() []Order {
	var orders []Order
	for _, wanted := range []func(catalog.Model) bool{s.belowFloor, s.overloaded} {
		for _, m := range s.models {
			if s.open[true] >= s.p.o.MaxLoads {
				return orders
			}
			if !wanted(m) {
				continue
			}
			if e := s.loadTarget(m); e != nil {
				orders = append(orders, s.order(e, m, true))
			}
		}
	}
	return orders
}

func (s *survey) order(e *Endpoint, m catalog.Model, load bool) Order {
	o := s.p.open(e, m, load)
	s.busy[[2]string{m.ID(), e.AvailabilityZone}] = true
	s.open[load]++
	if load {
		s.zones[m.ID()][e.AvailabilityZone]++
	} else {
		s.zones[m.ID()][e.AvailabilityZone]--
		s.serving[m.ID()]--
	}
	return o
}

func (s *survey) belowFloor(m catalog.Model) bool {
	return s.planned(m.ID()) < max(m.MinEndpoints, 1)
}

func (s *survey) overloaded(m catalog.Model) bool {
	return s.p.demand[m.ID()] > growAbove*s.capacity(m, nil)
}

// capacity is the number of requests of a model that its endpoints run at a
// time. An endpoint that loads the model counts as well, so that one burst does
// not cause several loads.
func (s *survey) capacity(m catalog.Model, without *Endpoint) float64 {
	var sum float64
	for i := range s.in.Endpoints {
		e := &s.in.Endpoints[i]
		if e == without || !e.Serving || !s.will(e, m.ID()) {
			continue
		}
		sum += s.room(e, m.ID())
	}
	return sum
}

// will reports whether an endpoint serves the model once its change has ended.
func (s *survey) will(e *Endpoint, id string) bool {
	if c := s.p.changes[e.Name]; c != nil && c.order.Model.ID() == id {
		return c.order.Load
	}
	return slices.Contains(e.Models, id)
}

// room is what the other models of an endpoint leave of its limit, at least an
// equal share.
func (s *survey) room(e *Endpoint, id string) float64 {
	limit := float64(e.Load.Limit)
	others, count := 0.0, 1
	for _, other := range e.Models {
		if other == id {
			continue
		}
		count++
		others += s.p.demand[other] / float64(max(s.serving[other], 1))
	}
	return max(limit-others, limit/float64(count))
}

// loadTarget returns the endpoint to load a model at, or nil. A zone with fewer
// endpoints of the model comes first, then an endpoint with fewer models, a
// shorter delay of the model's tier, and less load.
func (s *survey) loadTarget(m catalog.Model) *Endpoint {
	var best *Endpoint
	zones := s.zones[m.ID()]
	for i := range s.in.Endpoints {
		e := &s.in.Endpoints[i]
		if slices.Contains(e.Models, m.ID()) || len(e.Models) >= s.p.o.MaxModels || !s.changeable(e, m, true) {
			continue
		}
		if best == nil || compareTargets(e, best, zones, m.Tier) < 0 {
			best = e
		}
	}
	return best
}

func compareTargets(a, b *Endpoint, zones map[string]int, tier int) int {
	return cmp.Or(
		cmp.Compare(zones[a.AvailabilityZone], zones[b.AvailabilityZone]),
		cmp.Compare(len(a.Models), len(b.Models)),
		cmp.Compare(a.Load.TierDelay[tier], b.Load.TierDelay[tier]),
		cmp.Compare(a.Load.Queued+a.Load.Running, b.Load.Queued+b.Load.Running),
		cmp.Compare(a.Name, b.Name),
	)
}

// changeable reports whether an endpoint may be changed now.
func (s *survey) changeable(e *Endpoint, m catalog.Model, load bool) bool {
	p := s.p
	if !e.Serving || p.changes[e.Name] != nil || s.busy[[2]string{m.ID(), e.AvailabilityZone}] {
		return false
	}
	if s.now.Sub(p.since) < p.o.MinChange {
		return false
	}
	if at, ok := p.changed[e.Name]; ok && s.now.Sub(at) < p.o.MinChange {
		return false
	}
	f := p.failures[failureKey{endpoint: e.Name, model: m.ID(), load: load}]
	return !s.now.Before(f.until)
}

// unloads returns the orders to unload models whose demand would leave half of
// the remaining capacity free. An endpoint keeps at least one model: without
// another one, an unload makes no room.
func (s *survey) unloads() []Order {
	var orders []Order
	for _, m := range slices.Backward(s.models) {
		if s.open[false] >= s.p.o.MaxLoads {
			return orders
		}
		if s.serving[m.ID()] <= max(m.MinEndpoints, 1) {
			continue
		}
		if e := s.unloadTarget(m); e != nil {
			orders = append(orders, s.order(e, m, false))
		}
	}
	return orders
}

// unloadTarget returns an endpoint that the model can do without, or nil. A zone
// with more endpoints of the model comes first, then an endpoint with more models.
func (s *survey) unloadTarget(m catalog.Model) *Endpoint {
	var best *Endpoint
	zones := s.zones[m.ID()]
	for i := range s.in.Endpoints {
		e := &s.in.Endpoints[i]
		if !slices.Contains(e.Models, m.ID()) || len(e.Models) < 2 || !s.changeable(e, m, false) {
			continue
		}
		if s.p.demand[m.ID()] >= shrinkBelow*s.capacity(m, e) {
			continue
		}
		if best == nil || compareTargets(best, e, zones, m.Tier) < 0 {
			best = e
		}
	}
	return best
}
