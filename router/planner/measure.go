package planner

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

// forget drops the state of endpoints and models that no longer exist. An order
// in progress is kept until it has ended, so that loads stay bounded.
func (p *Planner) forget(now time.Time, in Input) {
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
	maps.DeleteFunc(p.changed, func(name string, at time.Time) bool {
		return !endpoints[name] && now.Sub(at) > p.o.MinChange
	})
	maps.DeleteFunc(p.changes, func(name string, c *change) bool {
		return !endpoints[name] && !c.confirmBy.IsZero()
	})
	maps.DeleteFunc(p.failures, func(k failureKey, f failure) bool {
		return !endpoints[k.endpoint] || !models[k.model] || now.Sub(f.until) > p.o.MaxBackoff
	})
}

// confirm ends changes that the endpoint reports, and those that it does not
// report in time.
func (p *Planner) confirm(now time.Time, in Input) {
	for i := range in.Endpoints {
		e := &in.Endpoints[i]
		c := p.changes[e.Name]
		if c == nil || c.confirmBy.IsZero() {
			continue
		}
		if slices.Contains(e.Models, c.order.Model.ID()) == c.order.Load {
			delete(p.changes, e.Name)
			delete(p.failures, keyOf(c.order))
			continue
		}
		if !now.Before(c.confirmBy) {
			p.failed(now, c)
		}
	}
}

// measure smooths the demand of each model.
func (p *Planner) measure(now time.Time, in Input) {
	present := p.present(now, in)
	weight := 1.0
	if !p.updated.IsZero() {
		weight = 1 - math.Exp(-now.Sub(p.updated).Seconds()/p.o.Smoothing.Seconds())
	}
	p.updated = now
	for id := range present {
		if _, known := p.demand[id]; !known {
			p.demand[id] = 0
		}
	}
	for id := range p.demand {
		p.demand[id] += weight * (present[id] - p.demand[id])
	}
}

// present divides the load of each endpoint between its models by their recent
// requests. Agents report one load for all models.
func (p *Planner) present(now time.Time, in Input) map[string]float64 {
	demand := map[string]float64{}
	for i := range in.Endpoints {
		e := &in.Endpoints[i]
		if !e.Serving || now.Sub(e.Load.At) > p.o.StaleAfter {
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

// survey is the state of one step.
type survey struct {
	p   *Planner
	now time.Time
	in  Input
	// models are in the order of their urgency.
	models []catalog.Model
	// serving counts the endpoints that serve a model and keep it.
	serving map[string]int
	// zones counts the endpoints that serve or will serve a model by zone.
	zones map[string]map[string]int
	// busy has the models and zones with an unconfirmed change.
	busy map[[2]string]bool
	// open counts the orders in progress: loads under true, unloads under false.
	open map[bool]int
}

func (p *Planner) survey(now time.Time, in Input) *survey {
	s := &survey{
		p: p, now: now, in: in,
		models:  slices.Clone(in.Models),
		serving: map[string]int{},
		zones:   map[string]map[string]int{},
		busy:    map[[2]string]bool{},
		open:    map[bool]int{},
	}
	slices.SortStableFunc(s.models, func(a, b catalog.Model) int { return a.Tier - b.Tier })
	for _, m := range s.models {
		s.zones[m.ID()] = map[string]int{}
	}
	for _, c := range p.changes {
		s.busy[[2]string{c.order.Model.ID(), c.zone}] = true
		if c.confirmBy.IsZero() {
			s.open[c.order.Load]++
		}
	}
	for i := range in.Endpoints {
		s.count(&in.Endpoints[i])
	}
	return s
}

func (s *survey) count(e *Endpoint) {
	if !e.Serving {
		return
	}
	c := s.p.changes[e.Name]
	for _, id := range e.Models {
		if c != nil && !c.order.Load && c.order.Model.ID() == id {
			continue
		}
		s.serving[id]++
		if zones := s.zones[id]; zones != nil {
			zones[e.AvailabilityZone]++
		}
	}
	if c != nil && c.order.Load && !slices.Contains(e.Models, c.order.Model.ID()) {
		if zones := s.zones[c.order.Model.ID()]; zones != nil {
			zones[e.AvailabilityZone]++
		}
	}
}

// planned counts the endpoints that serve or will serve a model.
func (s *survey) planned(id string) int {
	n := 0
	for _, count := range s.zones[id] {
		n += count
	}
	return n
}
