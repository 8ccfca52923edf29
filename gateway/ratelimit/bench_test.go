package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// largest returns the Table of a gateway with 409 peers, all of which stated a demand for
// one endpoint with the given limit, at the time when it has joined.
func largest(perSecond float64) (*Table, time.Time) {
	const interval = 4900 * time.Millisecond
	table := New(start, "self")
	table.Observe(start, start, 1, named(perSecond))
	table.Statement(start, interval, 10)
	for i := range 409 {
		table.ApplyStatement(start, fmt.Sprint(i), 0, []Entry{{Endpoint: 1, PerSecond: perSecond, Wanted: 1}})
	}
	return table, start.Add(20 * time.Second)
}

func BenchmarkCheck(b *testing.B) {
	for name, c := range map[string]struct {
		perSecond float64
		step      time.Duration
	}{
		"same slot": {1, 0},
		"new slot":  {1, time.Second},
		"fast":      {1000, time.Second},
	} {
		b.Run(name, func(b *testing.B) {
			table, now := largest(c.perSecond)
			for b.Loop() {
				now = now.Add(c.step)
				table.Check(now, 1)
			}
		})
	}
}
