package concurrency_test

import (
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
)

// Measures the call that is made for each token of each stream.
func BenchmarkObserveToken(b *testing.B) {
	l := concurrency.New(concurrency.Options{})
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.ObserveToken(now, 30*time.Millisecond)
	}
}
