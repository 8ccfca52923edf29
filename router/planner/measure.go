package planner

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

// pruneState deletes the state of endpoints and models that no longer exist. An order
// in progress is kept until it has ended, so that the bound on loads still holds.
func (p *Planner) pruneState(now time.Time, in Input) {
	endpoints := map[string]bool{}
	models := map[string]bool{}
	for i := range in.Endpoints {
		endpoints[in.Endpoints[i].Name] = true
		for _, id := range in.Endpoints[i].Models {
			models[id] = true
		}
	}
	for _, m := range in.Models {
		models[m.ID()] = true
	}
	maps.DeleteFunc(p.demand, func(id string, _ float64) bool { return !models[id] })
	maps.DeleteFunc(p.lastChange, func(name string, at time.Time) bool {
		return !endpoints[name] && now.Sub(at) > p.options.MinChange
	})
	maps.DeleteFunc(p.pending, func(name string, c *pendingChange) bool {
		return !endpoints[name] && !c.confirmBy.IsZero()
	})
	maps.DeleteFunc(p.failures, func(k failureKey, f failure) bool {
		return !endpoints[k.endpoint] || !models[k.model] || now.Sub(f.until) > p.options.MaxBackoff
	})
}

// confirm removes pending changes that the endpoint now reports, and records as failed
// those that it has not reported in time.
func (p *Planner) confirm(now time.Time, in Input) {
	for i := range in.Endpoints {
		e := &in.Endpoints[i]
		c := p.pending[e.Name]
		if c == nil || c.confirmBy.IsZero() {
			continue
		}
		if slices.Contains(e.Models, c.order.Model.ID()) == c.order.Load {
			delete(p.pending, e.Name)
			delete(p.failures, keyOf(c.order))
			continue
		}
		if !now.Before(c.confirmBy) {
			p.recordFailure(now, c)
		}
	}
}

// updateDemand updates the exponentially smoothed demand of each model.
func (p *Planner) updateDemand(now time.Time, in Input) {
	present := p.currentDemand(now, in)
	weight := 1.0
	if !p.demandUpdatedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(p.demandUpdatedAt).Seconds()/p.options.Smoothing.Seconds())
	}
	p.demandUpdatedAt = now
	for id := range present {
		if _, known := p.demand[id]; !known {
			p.demand[id] = 0
		}
	}
	for id := range p.demand {
		p.demand[id] += weight * (present[id] - p.demand[id])
	}
}

// currentDemand returns the demand of each model, in requests waiting or running. It
// divides the load of each endpoint between its models by their recent requests,
// because agents report one load for all models.
func (p *Planner) currentDemand(now time.Time, in Input) map[string]float64 {
	demand := map[string]float64{}
	for i := range in.Endpoints {
		e := &in.Endpoints[i]
		if !e.Serving || now.Sub(e.Load.At) > p.options.StaleAfter {
			continue
		}
		load := float64(e.Load.Queued + e.Load.Running)
		var total float64
		for _, id := range e.Models {
			total += in.requests(id)
		}
		for _, id := range e.Models {
			share := 1 / float64(len(e.Models))
			if total > 0 {
				share = in.requests(id) / total
			}
			demand[id] += load * share
		}
	}
	return demand
}

// requests counts the recent requests that name a model with or without its
// version.
func (in *Input) requests(id string) float64 {
	n := in.Requests[id]
	if name, _, versioned := strings.Cut(id, ":"); versioned {
		n += in.Requests[name]
	}
	return n
}

// stepState is the state that the decisions of one step share.
type stepState struct {
	planner *Planner
	now     time.Time
	in      Input
	// models are sorted by tier, the most urgent first.
	models []catalog.Model
	// serving counts the endpoints that serve a model and have no pending unload of it.
	serving map[string]int
	// zoneCounts counts, by model and availability zone, the endpoints that serve the
	// model and keep it or are loading it.
	zoneCounts map[string]map[string]int
	// pendingZones contains the pairs of model and availability zone with a pending
	// change.
	pendingZones map[[2]string]bool
	// inProgress counts the orders in progress: loads under true, unloads under false.
	inProgress map[bool]int
}

func (p *Planner) newStepState(now time.Time, in Input) *stepState {
	s := &stepState{
		planner: p, now: now, in: in,
		models:       slices.Clone(in.Models),
		serving:      map[string]int{},
		zoneCounts:   map[string]map[string]int{},
		pendingZones: map[[2]string]bool{},
		inProgress:   map[bool]int{},
	}
	slices.SortStableFunc(s.models, func(a, b catalog.Model) int { return a.Tier - b.Tier })
	for _, m := range s.models {
		s.zoneCounts[m.ID()] = map[string]int{}
	}
	for _, c := range p.pending {
		s.pendingZones[[2]string{c.order.Model.ID(), c.zone}] = true
		if c.confirmBy.IsZero() {
			s.inProgress[c.order.Load]++
		}
	}
	for i := range in.Endpoints {
		s.countEndpoint(&in.Endpoints[i])
	}
	return s
}

// countEndpoint adds an endpoint to serving and zoneCounts.
func (s *stepState) countEndpoint(e *Endpoint) {
	if !e.Serving {
		return
	}
	c := s.planner.pending[e.Name]
	for _, id := range e.Models {
		if c != nil && !c.order.Load && c.order.Model.ID() == id {
			continue
		}
		s.serving[id]++
		if zones := s.zoneCounts[id]; zones != nil {
			zones[e.AvailabilityZone]++
		}
	}
	if c != nil && c.order.Load && !slices.Contains(e.Models, c.order.Model.ID()) {
		if zones := s.zoneCounts[c.order.Model.ID()]; zones != nil {
			zones[e.AvailabilityZone]++
		}
	}
}

// plannedEndpoints counts the endpoints that serve a model and keep it or are loading
// it.
func (s *stepState) plannedEndpoints(id string) int {
	n := 0
	for _, count := range s.zoneCounts[id] {
		n += count
	}
	return n
}
