package placement

import (
	"slices"
	"testing"
	"time"
)

// fakeLimits limits the endpoints whose hashes are keys; the value tells whether one allows
// a request.
type fakeLimits struct {
	allowed map[uint64]bool
	wanted  []uint64
}

func (l *fakeLimits) Check(_ time.Time, endpoint uint64) (limited, allowed bool) {
	allowed, limited = l.allowed[endpoint]
	return limited, allowed || !limited
}

func (l *fakeLimits) Want(_ time.Time, endpoint uint64) { l.wanted = append(l.wanted, endpoint) }

// hotSubject sends the request of a subject to a pool of engines and returns the engine
// that has then cached its parts, and a time at which it has read them.
func hotSubject(t *testing.T, f *Fleet) (Choice, time.Time) {
	t.Helper()
	w := planWork(77)
	c := choose(t, f, start, w)
	now := start.Add(c.Expected + time.Second)
	flight := f.Send(start, w, c)
	flight.Started(start.Add(c.Expected))
	flight.End(now)
	return c, now
}

// Guards against requests beyond the limit of the cheapest endpoint, and against an
// allowance that is not used: a request goes elsewhere only while the limit does not allow
// it, and counts as wanted where the endpoint is the cheapest one.
func TestWorkBeyondALimitGoesElsewhere(t *testing.T) {
	f := newPool(4)
	home, now := hotSubject(t, f)
	limits := &fakeLimits{allowed: map[uint64]bool{Hash(home.Endpoint.ID): false}}
	f.SetLimits(limits)
	w := planWork(77)
	if c := choose(t, f, now, w); c.Endpoint.ID == home.Endpoint.ID {
		t.Error("a request was sent beyond the limit")
	}
	if !slices.Equal(limits.wanted, []uint64{Hash(home.Endpoint.ID)}) {
		t.Errorf("wanted %v, want the cheapest endpoint once", limits.wanted)
	}
	limits.allowed[Hash(home.Endpoint.ID)] = true
	if c := choose(t, f, now, w); c.Endpoint.ID != home.Endpoint.ID {
		t.Error("the allowance of the cheapest endpoint was not used")
	}
}

// Guards against a choice beyond the limits of all endpoints.
func TestNoEndpointIsChosenBeyondAllLimits(t *testing.T) {
	f := newPool(3)
	limits := &fakeLimits{allowed: map[uint64]bool{}}
	for i := range 3 {
		limits.allowed[Hash([]string{"engine-0", "engine-1", "engine-2"}[i])] = false
	}
	f.SetLimits(limits)
	if c, found := f.Choose(start, planWork(1)); found {
		t.Errorf("%s was chosen", c.Endpoint.ID)
	}
	if len(limits.wanted) != 3 {
		t.Errorf("%d endpoints count as wanted, want each once", len(limits.wanted))
	}
}

// Guards against cached parts that are fetched from an endpoint which is leaving or names a
// limit: the fetch is a request to it.
func TestNoFetchFromALeavingOrLimitedEndpoint(t *testing.T) {
	for name, exclude := range map[string]func(*Fleet, Choice){
		"leaving": func(f *Fleet, c Choice) { f.Leave(c.Endpoint.ID) },
		"limited": func(f *Fleet, c Choice) {
			f.SetLimits(&fakeLimits{allowed: map[uint64]bool{Hash(c.Endpoint.ID): true}})
		},
	} {
		f := newPool(4)
		home, now := hotSubject(t, f)
		w := planWork(77)
		w.Excluded = []string{home.Endpoint.ID}
		if c := choose(t, f, now, w); c.FetchFrom != home.Endpoint.Address {
			t.Fatalf("%s: fetch from %q before, want %q", name, c.FetchFrom, home.Endpoint.Address)
		}
		exclude(f, home)
		if c := choose(t, f, now, w); c.FetchFrom != "" {
			t.Errorf("%s: fetch from %q", name, c.FetchFrom)
		}
	}
}
