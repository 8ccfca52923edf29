package burn

import (
	"cmp"
	"slices"
	"time"
)

// SnapshotFormat is the version of the JSON form. Routers of different versions run
// side by side during an upgrade; a reader ignores unknown fields and rejects
// another format.
const SnapshotFormat = 1

// MaxSnapshotBytes limits the size of the JSON form that a reader accepts.
const MaxSnapshotBytes = 16 << 20

// Snapshot holds the recorded figures of one router. Its JSON form is sent between
// processes.
type Snapshot struct {
	Format  int       `json:"format"`
	Router  string    `json:"router"`
	TakenAt time.Time `json:"taken_at"`
	// CoveredSeconds is the time since the router started, at most 6 h.
	CoveredSeconds int64 `json:"covered_seconds"`
	// StepSeconds is the length of one step of Series.
	StepSeconds int64         `json:"step_seconds"`
	Windows     []Window      `json:"windows"`
	Series      []ClassSeries `json:"series,omitempty"`
}

// Window holds the rows of one period.
type Window struct {
	Seconds   int64            `json:"seconds"`
	Rows      []Row            `json:"rows"`
	Endpoints []EndpointCounts `json:"endpoints,omitempty"`
}

// ClassSeries is the attainment of a class over time. Index 0 is the current step.
// Steps are indexed by age and not by clock time, because the routers' clocks may
// differ.
type ClassSeries struct {
	Class  string  `json:"class"`
	Tier   int     `json:"tier"`
	Met    []int64 `json:"met"`
	Missed []int64 `json:"missed"`
}

func (c *ClassSeries) add(age, met, missed int64) {
	if age < 0 || age >= longSteps {
		return
	}
	for int64(len(c.Met)) <= age {
		c.Met = append(c.Met, 0)
		c.Missed = append(c.Missed, 0)
	}
	c.Met[age] += met
	c.Missed[age] += missed
}

// seriesByClass holds one series per class, at most maxRows of them and Other.
type seriesByClass struct {
	classes []*ClassSeries
}

// findOrAdd returns the series of the class, or that of Other beyond maxRows.
func (s *seriesByClass) findOrAdd(name string, tier int) *ClassSeries {
	named := 0
	for _, c := range s.classes {
		if c.Class == name {
			return c
		}
		if c.Class != Other {
			named++
		}
	}
	if name != Other && named >= maxRows {
		return s.findOrAdd(Other, tier)
	}
	c := &ClassSeries{Class: name, Tier: tier, Met: []int64{}, Missed: []int64{}}
	s.classes = append(s.classes, c)
	return c
}

func (s *seriesByClass) merge(all []ClassSeries) {
	for _, c := range all {
		into := s.findOrAdd(c.Class, c.Tier)
		for age := range min(len(c.Met), len(c.Missed)) {
			into.add(int64(age), c.Met[age], c.Missed[age])
		}
	}
}

func (s *seriesByClass) sorted() []ClassSeries {
	out := make([]ClassSeries, 0, len(s.classes))
	for _, c := range s.classes {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b ClassSeries) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class))
	})
	return out
}
