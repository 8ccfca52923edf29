package capacity

import (
	"sync"
	"sync/atomic"
)

// seriesGroup is a group of series whose costs are measured together at the same
// sizes. It is safe for concurrent use.
type seriesGroup struct {
	mu     sync.Mutex
	series []*Series
}

func newSeriesGroup(part Path, role, axis string, costs []string) *seriesGroup {
	s := &seriesGroup{}
	for _, cost := range costs {
		s.series = append(s.series, &Series{Path: part, Role: role, Cost: cost, Axis: axis})
	}
	return s
}

// add records one repetition at size x, with one value per cost in the order of
// newSeriesGroup.
func (s *seriesGroup) add(x float64, values ...float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, v := range values {
		s.series[i].Add(x, v)
	}
}

func (s *seriesGroup) finish() []*Series {
	for _, series := range s.series {
		series.Finish()
	}
	return s.series
}

// peerFetchCounts counts the catalog fetches of processes from each other and
// their bytes.
type peerFetchCounts struct {
	fetches, fetchedBytes atomic.Int64
}
