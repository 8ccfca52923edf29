package fleet

import (
	"time"

	"github.com/pistachiowind/pistachiowind/router/selection"
)

const (
	// maxViewAge is the age at which the candidates are rebuilt even without a change of
	// the members: ramp weights and suspicion of members change with time alone.
	maxViewAge = time.Second

	// maxHealthAge is the age above which the health of the candidates is updated before
	// a selection.
	maxHealthAge = 20 * time.Millisecond
)

// view holds the members as candidates for selection. It is cached between selections,
// because the cost of building it is proportional to the number of members.
type view struct {
	// version is that of the membership set at builtAt.
	version    uint64
	builtAt    time.Time
	healthAt   time.Time
	candidates []selection.Candidate
	addresses  []string
	// rampWeights are the weights from package membership, without the health weight.
	rampWeights []float64
	index       map[string]int
}

// find returns the candidate of an endpoint, or nil.
func (v *view) find(name string) *selection.Candidate {
	i, ok := v.index[name]
	if !ok {
		return nil
	}
	return &v.candidates[i]
}

// refreshLocked updates the view to the current members and their health. The caller
// holds f.mu.
func (f *Fleet) refreshLocked(now time.Time) {
	if f.view.index == nil || f.view.version != f.members.Version() || now.Sub(f.view.builtAt) > maxViewAge {
		f.rebuildLocked(now)
	}
	if now.Sub(f.view.healthAt) > maxHealthAge {
		f.updateHealth(now)
	}
}

// rebuildLocked rebuilds the view from the members, and adds them to and removes them
// from the health tracker. The caller holds f.mu.
func (f *Fleet) rebuildLocked(now time.Time) {
	old := f.view
	members := f.members.Members(now)
	f.view = view{version: f.members.Version(), builtAt: now, index: make(map[string]int, len(members))}
	for i, m := range members {
		c := m.Candidate
		if before := old.find(c.ID); before != nil {
			c.Unreported = before.Unreported
		}
		f.view.index[c.ID] = i
		f.view.candidates = append(f.view.candidates, c)
		f.view.addresses = append(f.view.addresses, m.Address)
		f.view.rampWeights = append(f.view.rampWeights, c.Health.Weight)
		if group := healthGroup(&c); group != "" {
			f.health.Join(now, c.ID, group)
		}
	}
	f.removeMissing(now, old)
}

// removeMissing removes endpoints that are no longer members from the health tracker.
func (f *Fleet) removeMissing(now time.Time, old view) {
	for name := range old.index {
		if _, ok := f.view.index[name]; !ok {
			f.health.Leave(now, name)
		}
	}
}

// updateHealth sets the health of each candidate; its weight is the product of the ramp
// weight and the weight from package health.
func (f *Fleet) updateHealth(now time.Time) {
	f.view.healthAt = now
	f.health.Each(now, func(id string, weight float64, ejected bool) {
		if i, ok := f.view.index[id]; ok {
			f.view.candidates[i].Health = selection.Health{Weight: weight * f.view.rampWeights[i], Ejected: ejected}
		}
	})
}

// healthGroup returns the group of endpoints whose health is compared: those with the
// same service or the same first model. It is empty while neither is known.
func healthGroup(c *selection.Candidate) string {
	if c.Service != "" {
		return "service/" + c.Service
	}
	if len(c.Models) > 0 {
		return "model/" + c.Models[0]
	}
	return ""
}
