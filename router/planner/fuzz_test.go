package planner

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/router/selection"
)

const tick = 5 * time.Second

// TestMain fixes the seed so that the result is the same on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "3s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// simulation is a simulated fleet that checks each order against the limits. The
// planner sees the models of an endpoint up to 20 s late.
type simulation struct {
	t      *rapid.T
	now    time.Time
	begun  time.Time
	plan   *Planner
	o      PlanOptions
	models []catalog.Model
	demand map[string]int
	hosts  []*host
	ids    map[string]bool
}

type host struct {
	view    Endpoint
	base    []string
	models  []string
	seenAt  time.Time
	changed time.Time
	// order is in progress until due; unseen is the last executed order until view
	// shows its effect.
	order  *Order
	due    time.Time
	unseen *Order
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: start, demand: map[string]int{}, ids: map[string]bool{}}
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		m := catalog.Model{Name: fmt.Sprintf("m%d", i), MinEndpoints: rapid.IntRange(1, 3).Draw(t, "floor"), Tier: i % catalog.TierCount}
		s.models = append(s.models, m)
		s.demand[m.ID()] = rapid.IntRange(0, 40).Draw(t, "demand")
	}
	for i := range rapid.IntRange(2, 9).Draw(t, "endpoints") {
		base := []string{s.models[i%len(s.models)].ID()}
		h := &host{base: base, models: base, seenAt: start}
		h.view = Endpoint{Name: fmt.Sprintf("e%d", i), AvailabilityZone: fmt.Sprintf("z%d", i%3), Serving: true, Models: base}
		s.hosts = append(s.hosts, h)
	}
	s.plan = New(PlanOptions{MaxLoads: rapid.IntRange(1, 3).Draw(t, "loads")})
	s.o = s.plan.options
	s.takeOver(1)
	return s
}

// takeOver starts planning under a new lease, without the state of the former plan,
// whose open orders have ended.
func (s *simulation) takeOver(number uint64) {
	s.begun = s.now
	s.plan.Begin(s.now, number)
	for _, h := range s.hosts {
		h.order, h.unseen = nil, nil
		h.view.Models = h.models
	}
}

// serving counts the endpoints that serve a model and are not unloading it.
func (s *simulation) serving(id string) int {
	n := 0
	for _, h := range s.hosts {
		o := h.order
		if o == nil {
			o = h.unseen
		}
		leaving := o != nil && !o.Load && o.Model.ID() == id
		if h.view.Serving && slices.Contains(h.view.Models, id) && !leaving {
			n++
		}
	}
	return n
}

// check fails the test if an order breaks one of the limits.
func (s *simulation) check(h *host, o Order) {
	switch {
	case s.ids[o.ID]:
		s.t.Fatalf("order id %s was used twice", o.ID)
	case !h.view.Serving:
		s.t.Fatalf("%s is changed while it does not serve", o.Endpoint)
	case h.order != nil || h.unseen != nil:
		s.t.Fatalf("%s is changed twice at a time", o.Endpoint)
	case s.now.Sub(s.begun) < s.o.MinChange || s.now.Sub(h.changed) < s.o.MinChange:
		s.t.Fatalf("%s is changed again %v after the last change", o.Endpoint, s.now.Sub(h.changed))
	case !o.Load && s.serving(o.Model.ID()) <= max(o.Model.MinEndpoints, 1):
		s.t.Fatalf("%s loses %s, which %d endpoints serve; minimum %d", o.Endpoint, o.Model.ID(), s.serving(o.Model.ID()), o.Model.MinEndpoints)
	}
	loads := 1
	for _, other := range s.hosts {
		open := other.order
		if open != nil && open.Load {
			loads++
		}
		if open == nil {
			open = other.unseen
		}
		if open != nil && open.Model == o.Model && other.view.AvailabilityZone == h.view.AvailabilityZone {
			s.t.Fatalf("%s is changed twice at a time in zone %s", o.Model.ID(), h.view.AvailabilityZone)
		}
	}
	if o.Load && loads > s.o.MaxLoads {
		s.t.Fatalf("%d loads at a time, limit %d", loads, s.o.MaxLoads)
	}
}

// step advances the time by one tick, ends the orders that are due, and checks and
// starts the orders of one Planner step. It returns their number.
func (s *simulation) step(fails func() bool) int {
	s.now = s.now.Add(tick)
	for _, h := range s.hosts {
		if h.order != nil && !s.now.Before(h.due) {
			s.end(h, !fails())
		}
		if s.now.Sub(h.seenAt) >= 4*tick {
			h.seenAt, h.unseen = s.now, nil
			h.view.Models = h.models
		}
		h.view.Load = selection.Load{At: s.now, Running: s.load(h), Limit: 10}
	}
	in := Input{Models: s.models, Requests: map[string]float64{}}
	for _, h := range s.hosts {
		in.Endpoints = append(in.Endpoints, h.view)
	}
	for id, n := range s.demand {
		in.Requests[id] = float64(n)
	}
	orders := s.plan.Step(s.now, in)
	for _, o := range orders {
		h := s.hosts[slices.IndexFunc(s.hosts, func(h *host) bool { return h.view.Name == o.Endpoint })]
		s.check(h, o)
		s.ids[o.ID] = true
		h.order, h.due = &o, s.now.Add(3*tick)
	}
	return len(orders)
}

func (s *simulation) end(h *host, done bool) {
	o := *h.order
	h.order, h.changed = nil, s.now
	s.plan.Ended(s.now, o, done)
	if !done {
		return
	}
	h.unseen = &o
	if o.Load {
		h.models = append(slices.Clone(h.models), o.Model.ID())
	} else {
		h.models = slices.DeleteFunc(slices.Clone(h.models), func(id string) bool { return id == o.Model.ID() })
	}
}

// load divides the demand of each model equally between its endpoints.
func (s *simulation) load(h *host) int {
	n := 0
	for id, demand := range s.demand {
		if slices.Contains(h.models, id) {
			n += demand / max(s.serving(id), 1)
		}
	}
	return n
}

// crash takes a serving endpoint down, which loses its loaded models, or brings it up
// again.
func (s *simulation) crash(h *host) {
	h.view.Serving = !h.view.Serving
	if h.view.Serving {
		return
	}
	h.models, h.view.Models, h.unseen = h.base, h.base, nil
	if h.order != nil {
		s.end(h, false)
	}
}

// settle checks that under constant demand the orders cease, and that each model then
// has its minimum of endpoints and enough for its demand, as far as endpoints can hold
// further models.
func (s *simulation) settle() {
	for _, h := range s.hosts {
		h.view.Serving = true
	}
	last := 0
	for i := range int(4 * time.Hour / tick) {
		if s.step(func() bool { return false }) > 0 {
			last = i
		}
	}
	if last > int(3*time.Hour/tick) {
		s.t.Fatalf("still changing after %v of constant demand", time.Duration(last)*tick)
	}
	for _, m := range s.models {
		room := slices.ContainsFunc(s.hosts, func(h *host) bool {
			return len(h.models) < s.o.MaxModels && !slices.Contains(h.models, m.ID())
		})
		n := s.serving(m.ID())
		if n < m.MinEndpoints && room {
			s.t.Fatalf("%s has %d endpoints, floor %d", m.ID(), n, m.MinEndpoints)
		}
		if s.demand[m.ID()] > 10*n && room {
			s.t.Fatalf("%s has %d endpoints for a demand of %d", m.ID(), n, s.demand[m.ID()])
		}
	}
}

// Guards against an order that breaks the minimum number of endpoints of a model,
// takes its last endpoint, exceeds MaxLoads, changes an endpoint or a zone too soon or
// an endpoint that does not serve, and against a plan that never settles.
func TestPlanKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		fails := func() bool { return rapid.IntRange(0, 9).Draw(t, "failure") < 2 }
		number := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(*rapid.T) {
				for range 12 {
					s.step(fails)
				}
			},
			"demand": func(t *rapid.T) {
				m := rapid.SampledFrom(s.models).Draw(t, "model")
				s.demand[m.ID()] = rapid.IntRange(0, 60).Draw(t, "demand")
			},
			"crash or return": func(t *rapid.T) { s.crash(rapid.SampledFrom(s.hosts).Draw(t, "host")) },
			"take over": func(*rapid.T) {
				number++
				s.takeOver(number)
			},
		})
		s.settle()
	})
}
