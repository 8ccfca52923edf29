package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// clockPrecision is how far the estimate may be from true time.
const clockPrecision = 10 * time.Millisecond

// clockSite is a gateway that hears 28 peers each 350 ms. A third of all clocks jump.
type clockSite struct {
	clock *Clock
	rng   *rand.Rand
	// steady is the steady clock of the gateway, true time minus lag.
	now time.Time
	lag time.Duration
	// jump is how far the clocks of a third of the gateways are wrong.
	jump time.Duration
}

// hear handles a statement of each peer that was sent a delay ago.
func (s *clockSite) hear(delay time.Duration) {
	for n := range 28 {
		wall := s.now.Add(-delay - time.Duration(s.rng.IntN(3))*time.Millisecond)
		if n%3 == 0 {
			wall = wall.Add(s.jump)
		}
		s.clock.Observe(s.now.Add(-s.lag), fmt.Sprint(n), wall.UnixMilli())
	}
}

func (s *clockSite) check(t *testing.T, when string) {
	t.Helper()
	// The clock of the gateway itself is one of those that jump.
	got := s.clock.Now(s.now.Add(-s.lag), s.now.Add(s.jump))
	if wrong := got.Sub(s.now); wrong.Abs() > clockPrecision {
		t.Errorf("%s: the estimate is wrong by %s", when, wrong)
	}
}

// run hears all peers each 350 ms for d and checks the clock each time.
func (s *clockSite) run(t *testing.T, when string, d time.Duration) {
	t.Helper()
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(350 * time.Millisecond) {
		s.hear(time.Millisecond)
		s.check(t, when)
	}
}

// Guards against requests that are booked to wrong windows: where the clocks of a third of
// the gateways jump, where the VM was suspended for 5 s, and where the process was stopped
// and handles old datagrams first.
func TestTrueTimeIsRightWithinMilliseconds(t *testing.T) {
	s := &clockSite{clock: NewClock(begin), rng: rand.New(rand.NewPCG(1, 2)), now: begin}
	s.check(t, "alone")
	s.run(t, "all clocks right", 5*time.Second)
	for _, jump := range []time.Duration{2 * time.Second, -2 * time.Second, 0} {
		s.jump = jump
		s.run(t, fmt.Sprintf("a third wrong by %s", jump), 5*time.Second)
	}
	s.now, s.lag = s.now.Add(5*time.Second), 5*time.Second
	s.run(t, "after a suspension", 5*time.Second)
	s.now = s.now.Add(5 * time.Second)
	s.hear(5 * time.Second)
	s.check(t, "after old datagrams")
	s.hear(2 * time.Second)
	s.check(t, "after further old datagrams")
	s.run(t, "after a stop", time.Second)
}

// Guards against peers that take memory, or stop the clock, with what they state.
func TestClocksAreBounded(t *testing.T) {
	c := NewClock(begin)
	for n := range 2 * maxPeers {
		c.Observe(begin, fmt.Sprint(n), begin.UnixMilli())
		c.Observe(begin, "faulty", 1<<62)
	}
	if len(c.peers) != maxPeers || !c.Now(begin, begin).Equal(begin) {
		t.Errorf("%d peers, time %s", len(c.peers), c.Now(begin, begin))
	}
	alone := NewClock(begin)
	for _, stated := range []int64{0, -1, 1 << 62} {
		alone.Observe(begin, "faulty", stated)
	}
	if !alone.Now(begin, begin).Equal(begin) {
		t.Errorf("a faulty peer sets the time to %s", alone.Now(begin, begin))
	}
	later := begin.Add(time.Minute)
	if c.Now(later, later); len(c.peers) != 0 {
		t.Errorf("%d silent peers are kept", len(c.peers))
	}
}
