package health_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/router/health"
)

// A fixed seed makes runs reproducible; command-line flags override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// simulation drives a Tracker with the endpoints of one group in virtual time.
type simulation struct {
	tracker *health.Tracker
	now     time.Time
	ids     []string
	// latency and fails are the current behaviour of each endpoint.
	latency []time.Duration
	fails   []bool
}

func newSimulation(n int) *simulation {
	s := &simulation{tracker: health.New(health.Options{}), now: time.Unix(1_000_000, 0)}
	for i := range n {
		s.ids = append(s.ids, fmt.Sprintf("endpoint-%d", i))
		s.latency = append(s.latency, 100*time.Millisecond)
		s.fails = append(s.fails, false)
		s.tracker.Join(s.now, s.ids[i], "chat")
	}
	return s
}

// attempt sends one attempt to endpoint i unless it is ejected.
func (s *simulation) attempt(i int) {
	if _, out := s.tracker.Health(s.now, s.ids[i]); out {
		return
	}
	s.tracker.Sent(s.now, s.ids[i])
	o := health.Observation{Endpoint: s.ids[i], Sent: s.now, Kind: health.Failure}
	if !s.fails[i] {
		o.Kind, o.Duration = health.FirstToken, s.latency[i]
		s.tracker.Record(s.now, o)
		o.Kind = health.Success
	}
	s.tracker.Record(s.now, o)
}

// run sends an attempt to every endpoint every 200 ms.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(200 * time.Millisecond) {
		for i := range s.ids {
			s.attempt(i)
		}
	}
}

func (s *simulation) ejected() int {
	n := 0
	s.tracker.Each(s.now, func(_ string, _ float64, out bool) {
		if out {
			n++
		}
	})
	return n
}

func (s *simulation) weight(i int) float64 {
	w, _ := s.tracker.Health(s.now, s.ids[i])
	return w
}

// Guards against a slow endpoint that keeps its share of the requests, and against
// a return at full weight.
func TestSlowEndpoint(t *testing.T) {
	s := newSimulation(12)
	s.run(2 * time.Second)
	s.latency[3] = 220 * time.Millisecond
	s.run(2 * time.Second)
	if w := s.weight(3); w > 0.6 || w < 0.3 || s.ejected() != 0 {
		t.Errorf("2.2 times slower: weight %.2f, %d ejected", w, s.ejected())
	}
	s.latency[3] = 3 * time.Second
	s.run(2 * time.Second)
	if _, out := s.tracker.Health(s.now, s.ids[3]); !out || s.ejected() != 1 {
		t.Error("30 times slower: not ejected")
	}
	s.latency[3] = 100 * time.Millisecond
	s.run(6 * time.Second)
	if w := s.weight(3); w == 0 || w > 0.5 {
		t.Errorf("soon after the return: weight %.2f", w)
	}
	s.run(10 * time.Second)
	if w := s.weight(3); w < 1 {
		t.Errorf("after the ramp: weight %.2f", w)
	}
}

// Guards against an endpoint that stalls, never answers and is not ejected.
func TestStalledEndpoint(t *testing.T) {
	s := newSimulation(6)
	s.run(2 * time.Second)
	for range 8 {
		s.tracker.Record(s.now, health.Observation{
			Endpoint: s.ids[0], Kind: health.FirstTokenPending, Duration: 2 * time.Second, Sent: s.now})
	}
	s.now = s.now.Add(200 * time.Millisecond)
	if _, out := s.tracker.Health(s.now, s.ids[0]); !out {
		t.Error("not ejected")
	}
}

// Guards against ejections when all endpoints of a model slow down or fail, and
// against more ejections than the cap when half of them do.
func TestWholeAndHalfModel(t *testing.T) {
	for _, n := range []int{1, 2, 3, 12, 30} {
		for _, part := range []int{n, n / 2} {
			s := newSimulation(n)
			s.run(2 * time.Second)
			for i := range part {
				s.latency[i], s.fails[i] = 2*time.Second, i%2 == 0
			}
			allowed := int(0.3 * float64(n))
			if part == n {
				allowed = 0
				for i := range s.fails {
					s.fails[i] = n%2 == 0
				}
			}
			s.run(3 * time.Second)
			if got := s.ejected(); got > allowed {
				t.Errorf("%d of %d bad: %d ejected, at most %d", part, n, got, allowed)
			}
		}
	}
}

// Guards against a second attempt during the trial, and against an endpoint that
// stays ejected because its trial never ends.
func TestSingleTrial(t *testing.T) {
	s := newSimulation(6)
	s.fails[0] = true
	s.run(2 * time.Second)
	if s.ejected() != 1 {
		t.Fatal("failing endpoint not ejected")
	}
	s.now = s.now.Add(6 * time.Second)
	if w := s.weight(0); w == 0 || w == 1 {
		t.Errorf("weight %.2f before the trial", w)
	}
	s.tracker.Sent(s.now, s.ids[0])
	if s.ejected() != 1 {
		t.Error("second attempt admitted during the trial")
	}
	late := health.Observation{Endpoint: s.ids[0], Kind: health.Success, Sent: s.now.Add(-time.Minute)}
	s.tracker.Record(s.now, late)
	if s.ejected() != 1 {
		t.Error("an attempt from before the ejection ended the trial")
	}
	s.fails[0] = false
	s.run(2 * time.Minute)
	if w := s.weight(0); w < 1 {
		t.Errorf("weight %.2f after the lost trial", w)
	}
}

// Guards against ejections in a group whose normal latencies differ widely.
func TestWideSpread(t *testing.T) {
	s := newSimulation(12)
	for i := range s.latency {
		s.latency[i] = 50 * time.Millisecond << (i / 2)
	}
	s.run(3 * time.Second)
	if s.ejected() != 0 || s.weight(5) < 1 || s.weight(11) > 0.3 {
		t.Errorf("%d ejected, weights %.2f and %.2f", s.ejected(), s.weight(5), s.weight(11))
	}
}

// Guards against refusals that do not reduce an endpoint's weight, and against old
// ones that count for ever.
func TestRefusalsReduceWeight(t *testing.T) {
	s := newSimulation(6)
	s.run(time.Second)
	for range 10 {
		s.tracker.Record(s.now, health.Observation{Endpoint: s.ids[0], Kind: health.Refusal, Sent: s.now})
	}
	s.now = s.now.Add(time.Second)
	if w := s.weight(0); w > 0.6 {
		t.Errorf("weight %.2f", w)
	}
	s.now = s.now.Add(20 * time.Second)
	s.run(time.Second)
	if w := s.weight(0); w < 1 {
		t.Errorf("weight %.2f after the window", w)
	}
}

// Guards against more ejections than the cap under any mix of slow, failing and
// removed endpoints, and against an endpoint that does not return after it has
// recovered.
func TestCapAndReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 14).Draw(t, "endpoints"))
		any := func() int { return rapid.IntRange(0, len(s.ids)-1).Draw(t, "endpoint") }
		t.Repeat(map[string]func(*rapid.T){
			"slow": func(t *rapid.T) {
				s.latency[any()] = time.Duration(rapid.IntRange(20, 4000).Draw(t, "ms")) * time.Millisecond
			},
			"fails":                func(t *rapid.T) { i := any(); s.fails[i] = !s.fails[i] },
			"run":                  func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond) },
			"trial without result": func(t *rapid.T) { s.tracker.Sent(s.now, s.ids[any()]) },
			"leave": func(t *rapid.T) {
				last := len(s.ids) - 1
				if last < 1 {
					t.Skip()
				}
				s.tracker.Leave(s.now, s.ids[last])
				s.ids = s.ids[:last]
			},
			"": func(t *rapid.T) {
				if got, most := s.ejected(), int(0.3*float64(len(s.ids))); got > most {
					t.Fatalf("%d of %d ejected", got, len(s.ids))
				}
			},
		})
		for i := range s.ids {
			s.latency[i], s.fails[i] = 100*time.Millisecond, false
		}
		s.run(3 * time.Minute)
		for i := range s.ids {
			if w := s.weight(i); w < 1 {
				t.Fatalf("endpoint %d did not return: weight %.2f", i, w)
			}
		}
	})
}

// BenchmarkRecord measures the cost of an observation in a group of the planned size
// of a model and of a whole site.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{30, 600} {
		b.Run(fmt.Sprintf("group=%d", n), func(b *testing.B) {
			s := newSimulation(n)
			s.run(2 * time.Second)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				s.now = s.now.Add(time.Millisecond)
				s.attempt(i % n)
			}
		})
	}
}

// BenchmarkDetection reports the virtual time until one slowed endpoint of 12, each
// with 5 attempts/s, has lost 40% of its weight, and until it is ejected. Zero means
// not within 20 s.
func BenchmarkDetection(b *testing.B) {
	for _, factor := range []int{2, 3, 5, 10, 30} {
		b.Run(fmt.Sprintf("slowdown=%d", factor), func(b *testing.B) {
			var reduced, ejected time.Duration
			for b.Loop() {
				s := newSimulation(12)
				s.run(5 * time.Second)
				start := s.now
				s.latency[0] *= time.Duration(factor)
				reduced, ejected = 0, 0
				for ejected == 0 && s.now.Sub(start) < 20*time.Second {
					s.run(200 * time.Millisecond)
					if reduced == 0 && s.weight(0) < 0.6 {
						reduced = s.now.Sub(start)
					}
					if s.ejected() > 0 {
						ejected = s.now.Sub(start)
					}
				}
			}
			b.ReportMetric(float64(reduced.Milliseconds()), "ms-to-0.6")
			b.ReportMetric(float64(ejected.Milliseconds()), "ms-to-eject")
		})
	}
}
