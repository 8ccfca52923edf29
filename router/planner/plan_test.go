package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/router/selection"
)

var start = time.Unix(1_800_000_000, 0)

func engine(name, zone string, open int, models ...string) Endpoint {
	return Endpoint{
		Name: name, AvailabilityZone: zone, Serving: true, Models: models,
		Load: selection.Load{At: start.Add(time.Hour), Running: open, Limit: 10},
	}
}

// content formats orders without their IDs: "+" or "-" for load or unload, model and
// endpoint.
func content(orders []Order) string {
	var text string
	for _, o := range orders {
		verb := "-"
		if o.Load {
			verb = "+"
		}
		text += verb + o.Model.ID() + "@" + o.Endpoint + " "
	}
	return text
}

// Guards against loading or unloading the wrong model, or at the wrong endpoint.
func TestPlan(t *testing.T) {
	urgent := catalog.Model{Name: "u", MinEndpoints: 1, Tier: 0}
	chat := catalog.Model{Name: "c", MinEndpoints: 1, Tier: 1}
	batch := catalog.Model{Name: "b", Version: "2", MinEndpoints: 1, Tier: 2}
	down := engine("e3", "z3", 0, "c")
	down.Serving = false
	cases := []struct {
		name      string
		models    []catalog.Model
		endpoints []Endpoint
		want      string
	}{
		{"the most urgent missing models first, two at a time", []catalog.Model{batch, chat, urgent},
			[]Endpoint{engine("e1", "z1", 0, "x"), engine("e2", "z2", 0, "x"), engine("e3", "z3", 0, "x")}, "+u@e1 +c@e2 "},
		{"a zone without the model first", []catalog.Model{chat},
			[]Endpoint{engine("e1", "z1", 9, "c"), engine("e2", "z1", 0, "x"), engine("e3", "z2", 5, "x")}, "+c@e3 "},
		{"no growth below the limit", []catalog.Model{chat}, []Endpoint{engine("e1", "z1", 8, "c"), engine("e2", "z2", 0, "x")}, ""},
		{"an endpoint that is down neither serves nor loads", []catalog.Model{chat},
			[]Endpoint{engine("e1", "z1", 0, "x", "y"), down, engine("e2", "z1", 0, "x")}, "+c@e2 "},
		{"an unneeded endpoint is unloaded in the zone that has more", []catalog.Model{chat},
			[]Endpoint{engine("e1", "z1", 0, "c", "x"), engine("e2", "z2", 0, "c", "x"), engine("e3", "z2", 0, "c", "x")}, "-c@e3 "},
		{"the minimum number of endpoints is kept", []catalog.Model{{Name: "c", MinEndpoints: 2}},
			[]Endpoint{engine("e1", "z1", 0, "c", "x"), engine("e2", "z2", 0, "c", "x")}, ""},
		{"the last model of an endpoint stays", []catalog.Model{chat}, []Endpoint{engine("e1", "z1", 0, "c"), engine("e2", "z2", 0, "c")}, ""},
		{"a full endpoint loads nothing", []catalog.Model{batch}, []Endpoint{engine("e1", "z1", 0, "x", "y")}, ""},
	}
	for _, k := range cases {
		p := New(PlanOptions{})
		p.Begin(start, 7)
		if got := p.Step(start.Add(time.Second), Input{Models: k.models, Endpoints: k.endpoints}); len(got) > 0 {
			t.Errorf("%s: orders %s directly after the lease was taken", k.name, content(got))
		}
		got := p.Step(start.Add(time.Hour), Input{Models: k.models, Endpoints: k.endpoints})
		if content(got) != k.want {
			t.Errorf("%s: orders %q, want %q", k.name, content(got), k.want)
		}
	}
}

// Guards against loading a model because of a short burst, and against attributing
// the demand of an endpoint to the wrong one of its models.
func TestDemandIsSmoothedAndDivided(t *testing.T) {
	models := []catalog.Model{{Name: "a", MinEndpoints: 1}, {Name: "b", MinEndpoints: 1}}
	p := New(PlanOptions{})
	p.Begin(start, 1)
	step := func(after time.Duration, open int) []Order {
		in := Input{
			Models:    models,
			Endpoints: []Endpoint{engine("e1", "z1", open, "a", "b"), engine("e2", "z2", 0, "x")},
			Requests:  map[string]float64{"a": 1, "b": 19},
		}
		return p.Step(start.Add(after), in)
	}
	step(time.Hour, 0)
	if got := step(time.Hour+5*time.Second, 20); len(got) > 0 {
		t.Fatalf("orders %s after 5 s of demand", content(got))
	}
	var got []Order
	for s := 10; s < 300 && len(got) == 0; s += 5 {
		got = step(time.Hour+time.Duration(s)*time.Second, 20)
	}
	if content(got) != "+b@e2 " {
		t.Fatalf("orders %q after 5 min of demand", content(got))
	}
}

// Guards against a failed order that is repeated at once or with its old ID, and
// against counting an order as executed that had no effect.
func TestFailedOrderIsRetried(t *testing.T) {
	in := Input{Models: []catalog.Model{{Name: "c", MinEndpoints: 1}}, Endpoints: []Endpoint{engine("e1", "z1", 0, "x")}}
	p := New(PlanOptions{MinChange: time.Second})
	p.Begin(start, 1)
	now := start.Add(time.Minute)
	first := p.Step(now, in)
	p.Ended(now, first[0], false)
	if got := p.Step(now.Add(29*time.Second), in); len(got) > 0 {
		t.Fatalf("repeated within the backoff: %s", content(got))
	}
	now = now.Add(30 * time.Second)
	second := p.Step(now, in)
	if len(second) != 1 || second[0].ID == first[0].ID {
		t.Fatalf("second try %+v after %+v", second, first)
	}
	p.Ended(now, second[0], true)
	// The endpoint does not report the model: the order fails after ConfirmAfter, with
	// twice the backoff.
	if got := p.Step(now.Add(time.Minute), in); len(got) > 0 {
		t.Fatalf("repeated without a backoff: %s", content(got))
	}
	if got := p.Step(now.Add(2*time.Minute), in); len(got) != 1 || got[0].ID == second[0].ID {
		t.Fatalf("third try %+v", got)
	}
}

// Guards against too few endpoints of a model because unloads in progress are not
// counted.
func TestUnloadsInProgressCountAgainstMinEndpoints(t *testing.T) {
	in := Input{
		Models:    []catalog.Model{{Name: "c", MinEndpoints: 2}},
		Endpoints: []Endpoint{engine("e1", "z1", 0, "c", "x"), engine("e2", "z2", 0, "c", "x"), engine("e3", "z3", 0, "c", "x")},
	}
	p := New(PlanOptions{})
	p.Begin(start, 1)
	if got := p.Step(start.Add(time.Hour), in); len(got) != 1 || got[0].Load {
		t.Fatalf("orders %q", content(got))
	}
	if got := p.Step(start.Add(time.Hour+tick), in); len(got) > 0 {
		t.Fatalf("orders %q below the minimum number of endpoints", content(got))
	}
}

// BenchmarkStep measures a step at the planned size of a site.
func BenchmarkStep(b *testing.B) {
	var in Input
	for i := range 20 {
		in.Models = append(in.Models, catalog.Model{Name: fmt.Sprintf("m%d", i), MinEndpoints: 2})
	}
	for i := range 600 {
		in.Endpoints = append(in.Endpoints, engine(fmt.Sprintf("e%d", i), fmt.Sprintf("z%d", i%8), 5, in.Models[i%20].Name))
	}
	p := New(PlanOptions{})
	p.Begin(start, 1)
	for b.Loop() {
		p.Step(start.Add(time.Hour), in)
	}
}
