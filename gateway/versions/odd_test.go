package versions

import (
	"math"
	"testing"
	"time"
)

// Guards against designations of a faulty peer or writer that outlast all later ones, or that
// let no stream be taken up: those with a sequence, a deadline or a share out of range.
func TestDesignationsOutOfRangeAreNotFollowed(t *testing.T) {
	now := time.Unix(1000, 0)
	sound := func(sequence uint64, version string, change func(*Designations)) Designations {
		d := Designations{Service: "s", Sequence: sequence, MaxDeadline: time.Second, Spans: []Span{{From: now, Shares: []Share{{Version: version, Weight: 1}}}}}
		if change != nil {
			change(&d)
		}
		return d
	}
	for name, change := range map[string]func(*Designations){
		"last sequence":     func(d *Designations) { d.Sequence = math.MaxUint64 },
		"high sequence":     func(d *Designations) { d.Sequence = math.MaxUint64 - 1 },
		"endless deadline":  func(d *Designations) { d.MaxDeadline = math.MaxInt64 },
		"negative deadline": func(d *Designations) { d.MaxDeadline = -1 },
		"huge share":        func(d *Designations) { d.Spans[0].Shares[0].Weight = math.MaxInt64 },
	} {
		table := New()
		table.Record(sound(1, "v1", nil))
		table.Record(sound(2, "odd", change))
		table.Record(sound(3, "v3", nil))
		if version, known := table.Pick(now.Add(time.Second), "s", "a"); !known || version != "v3" {
			t.Errorf("%s: streams begin at %q after a later change, want v3", name, version)
		}
		if s := table.service("s"); s.maxDeadline != time.Second {
			t.Errorf("%s: the deadline is %v, want that of the callers", name, s.maxDeadline)
		}
	}
}
