package capacity

import (
	"sync"
	"sync/atomic"
)

// set is several costs that are measured together. It is safe for concurrent
// use.
type set struct {
	mu     sync.Mutex
	series []*Series
}

func newSet(part Part, role, axis string, costs []string) *set {
	s := &set{}
	for _, cost := range costs {
		s.series = append(s.series, &Series{Part: part, Role: role, Cost: cost, Axis: axis})
	}
	return s
}

// add records one repetition: a value for each cost, in their order.
func (s *set) add(x float64, values ...float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, v := range values {
		s.series[i].Add(x, v)
	}
}

func (s *set) finish() []*Series {
	for _, series := range s.series {
		series.Finish()
	}
	return s.series
}

// peerCounts counts what processes fetched from each other.
type peerCounts struct {
	fetches, fetchedBytes atomic.Int64
}
