package fleet

import (
	"time"

	"github.com/pistachiowind/pistachiowind/router/selection"
)

const (
	// viewAge is how old the candidates may be. Weights and suspicion change with
	// time, also without an event.
	viewAge = time.Second

	// healthAge is how old the health of the candidates may be at a selection.
	healthAge = 20 * time.Millisecond
)

// view is the members as candidates of a selection. It is kept between
// selections, because building it takes time for each member.
type view struct {
	version    uint64
	builtAt    time.Time
	healthAt   time.Time
	candidates []selection.Candidate
	addresses  []string
	// ramps are the weights of membership, before the health weight.
	ramps []float64
	index map[string]int
}

// find returns the candidate of an endpoint, or nil.
func (v *view) find(name string) *selection.Candidate {
	i, ok := v.index[name]
	if !ok {
		return nil
	}
	return &v.candidates[i]
}

// refresh brings the view up to date with the members and their health.
func (f *Fleet) refresh(now time.Time) {
	if f.view.index == nil || f.view.version != f.set.Version() || now.Sub(f.view.builtAt) > viewAge {
		f.rebuild(now)
	}
	if now.Sub(f.view.healthAt) > healthAge {
		f.weigh(now)
	}
}

func (f *Fleet) rebuild(now time.Time) {
	old := f.view
	members := f.set.Members(now)
	f.view = view{version: f.set.Version(), builtAt: now, index: make(map[string]int, len(members))}
	for i, m := range members {
		c := m.Candidate
		if before := old.find(c.ID); before != nil {
			c.Unreported = before.Unreported
		}
		f.view.index[c.ID] = i
		f.view.candidates = append(f.view.candidates, c)
		f.view.addresses = append(f.view.addresses, m.Address)
		f.view.ramps = append(f.view.ramps, c.Health.Weight)
		if group := healthGroup(&c); group != "" {
			f.health.Join(now, c.ID, group)
		}
	}
	f.leaveMissing(now, old)
}

// leaveMissing forgets the health of endpoints that are no longer members.
func (f *Fleet) leaveMissing(now time.Time, old view) {
	for name := range old.index {
		if _, ok := f.view.index[name]; !ok {
			f.health.Leave(now, name)
		}
	}
}

// weigh combines the ramp of a member with the judgement of its health.
func (f *Fleet) weigh(now time.Time) {
	f.view.healthAt = now
	f.health.Each(now, func(id string, weight float64, ejected bool) {
		if i, ok := f.view.index[id]; ok {
			f.view.candidates[i].Health = selection.Health{Weight: weight * f.view.ramps[i], Ejected: ejected}
		}
	})
}

// healthGroup names the endpoints that are compared with each other: those that
// serve the same first model or service.
func healthGroup(c *selection.Candidate) string {
	if c.Service != "" {
		return "service/" + c.Service
	}
	if len(c.Models) > 0 {
		return "model/" + c.Models[0]
	}
	return ""
}
