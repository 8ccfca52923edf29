package placement

import (
	"math"
	"testing"
	"time"
)

var equalZones = [siteZones]int{zoneEngines, zoneEngines, zoneEngines}

// constant returns a constant demand of each zone relative to its capacity.
func constant(d ...float64) func(int, time.Duration) float64 {
	return func(zone int, _ time.Duration) float64 { return d[zone] }
}

// Guards against zones that exchange requests because of random differences of their
// waits. Load: Poisson arrivals of 0.5, 0.8 and 0.95 of the capacity in each of three zones
// for 20 s.
func TestFewRequestsLeaveEqualZones(t *testing.T) {
	for _, demand := range []float64{0.5, 0.8, 0.95} {
		s := newZoneSite(t, equalZones)
		s.run(20*time.Second, constant(demand, demand, demand), nil)
		left := (s.left[0] + s.left[1] + s.left[2]) / (s.sent[0] + s.sent[1] + s.sent[2])
		t.Logf("demand %.2f: %.4f left", demand, left)
		if left > 0.02 {
			t.Errorf("demand %.2f: %.3f of the requests left their zone, want at most 0.02", demand, left)
		}
	}
}

// Guards against a zone whose callers wait while others have capacity, and against zones
// that send and receive at the same time. Load: one zone at twice its capacity and two at
// half of theirs for 40 s; the first 5 s, in which queues build up, are not judged.
func TestOverloadedZoneSpills(t *testing.T) {
	s := newZoneSite(t, equalZones)
	s.run(5*time.Second, constant(2, 0.5, 0.5), nil)
	s.reset()
	var started, late [siteZones]float64
	both := 0
	s.run(35*time.Second, constant(2, 0.5, 0.5), func(at time.Duration) {
		if at%time.Second != time.Second-siteStep {
			return
		}
		for zone := range siteZones {
			started[zone] += s.started[zone]
			late[zone] += s.late[zone]
			if min(s.left[zone], s.received[zone]) > 0.02*s.sent[zone] {
				both++
			}
		}
		s.reset()
	})
	shares := []float64{late[0] / started[0], late[1] / started[1], late[2] / started[2]}
	worst, best := max(shares[0], shares[1], shares[2]), min(shares[0], shares[1], shares[2])
	t.Logf("late shares %.3f; %d zone-seconds with both directions", shares, both)
	if worst-best > 0.1 {
		t.Errorf("late shares %.3f differ by more than 0.1", shares)
	}
	if both > 0 {
		t.Errorf("in %d of 105 zone-seconds more than 0.02 of the requests left a zone that also received", both)
	}
}

// Guards against a share that lags behind the demand, or that overshoots it. Load: demand of
// 0.8 of the capacity on average, in two zones swinging by half with a period of 13 s in
// antiphase, for four periods.
func TestShareFollowsSwingingDemand(t *testing.T) {
	demand := func(zone int, at time.Duration) float64 {
		sign := [siteZones]float64{1, -1, 0}[zone]
		return 0.8 * (1 + 0.5*sign*math.Sin(2*math.Pi*at.Seconds()/13))
	}
	s := newZoneSite(t, equalZones)
	over, short := 0.0, 0.0
	s.run(52*time.Second, demand, func(at time.Duration) {
		if at%time.Second != 0 || at == 0 {
			return
		}
		// The share is the mean of the last second, and may follow what is needed by another
		// second: the excess over the capacity at some time in the last two seconds.
		least, most := 1.0, 0.0
		for back := time.Duration(0); back <= 2*time.Second; back += 50 * time.Millisecond {
			needed := max(0, 1-1/demand(0, at-back))
			least, most = min(least, needed), max(most, needed)
		}
		left := s.left[0] / s.sent[0]
		over, short = max(over, left-most), max(short, least-left)
		s.reset()
	})
	t.Logf("overshoot %.3f, shortfall %.3f", over, short)
	if over > 0.1 {
		t.Errorf("the share overshoots by %.3f, want at most 0.1", over)
	}
	if short > 0.1 {
		t.Errorf("the share is %.3f too small 1 s after the demand, want at most 0.1", short)
	}
}

// Guards against requests without an endpoint, or held back by the share, while the own
// zone has none of the service, and against the share of a restarted gateway being needed
// for that. Load: one request each at gateways that know of no load.
func TestAllRequestsLeaveAZoneWithoutEndpoints(t *testing.T) {
	s := newZoneSite(t, [siteZones]int{0, 2, 2})
	w := s.work
	if c := choose(t, s.newGateway(0), start, &w); !c.LeavesZone {
		t.Error("the request did not leave the zone without endpoints")
	}
	// Zone 1 is lost: its endpoints are left out, so only zone 2 is a destination.
	lost := s.newGateway(0)
	lost.SetLeftOut(func(_ time.Time, endpoint uint64) bool { return s.zoneOf[lost.Name(endpoint)] == 1 })
	for range 20 {
		c := choose(t, lost, start, &w)
		lost.Send(start, &w, c)
		if c.Endpoint.Zone != "zone-2" {
			t.Fatalf("a request went to %s, want zone-2", c.Endpoint.Zone)
		}
	}
}

// Guards against a share that defeats the affinity to cached parts: parts that are cached
// only in another zone are used where the saved prefill exceeds the price, and not where
// the price exceeds it.
func TestCachedPartsInAnotherZone(t *testing.T) {
	for _, price := range []float64{0, 1000} {
		s := newZoneSite(t, [siteZones]int{2, 2, 0})
		f := s.newGateway(0)
		f.SetZoneSpill(ZoneSpillOptions{Rand: s.rng, Price: price})
		w := planWork(100)
		w.BodyBytes = 4096
		for _, p := range w.SharedParts() {
			f.PeerPlacement(start, ProcessHash("engine-1-0", 0), p)
		}
		if c := choose(t, f, start.Add(time.Second), w); c.LeavesZone != (price == 0) {
			t.Errorf("price %v: the request went to %s", price, c.Endpoint.ID)
		}
	}
}

// Guards against a restarted gateway, or one whose statements are stale, that sends all
// requests away at once: the share moves by at most a tenth in 100 ms, and old knowledge
// lengthens the time that counts against it.
func TestShareMovesSlowlyAndAgeIsCounted(t *testing.T) {
	var z zoneShare
	z.move(start, 1)
	for i := range 10 {
		before := z.share
		z.move(start.Add(time.Duration(i+1)*100*time.Millisecond), 1)
		if z.share-before > 0.1+1e-9 {
			t.Fatalf("the share moved by %.3f in 100 ms", z.share-before)
		}
	}
	f := NewFleet("zone-0")
	f.PeerLoads(start, "peer", nil)
	if fresh, stale := f.unknownMS(start), f.unknownMS(start.Add(350*time.Millisecond)); fresh != 0 || stale < 349 {
		t.Errorf("unknown time %.0f ms when fresh and %.0f ms when 350 ms old, want 0 and 350", fresh, stale)
	}
}

// Guards against token counts of callers that overflow the price of an answer, which would
// make another zone cheaper than the own one.
func TestPriceOfHugeTokenCounts(t *testing.T) {
	f := newZoneSite(t, [siteZones]int{1, 1, 0}).newGateway(0)
	if price := f.zonePrice(&Work{OutputTokens: math.MaxInt / 10}, "zone-1"); price <= 0 {
		t.Errorf("the price is %v, want a positive one", price)
	}
}

// Guards against one slow connection that keeps requests from a zone for good, as no request
// that would measure the latency anew is sent there.
func TestLatencyOfAZoneIsForgotten(t *testing.T) {
	f := newZoneSite(t, [siteZones]int{1, 1, 0}).newGateway(0)
	f.Put(Endpoint{ID: "own", Service: pool, Address: "own", Zone: "zone-0"})
	f.Put(Endpoint{ID: "other", Service: pool, Address: "other", Zone: "zone-1"})
	f.Connected(start, "other", time.Second)
	later := start.Add(connectLifetime)
	f.Connected(later, "own", time.Millisecond)
	if ms := f.zoneLatencyMS("zone-1"); ms != 999 {
		t.Errorf("latency %v ms, want 999", ms)
	}
	f.RefreshZones(later)
	if ms := f.zoneLatencyMS("zone-1"); ms != 0 {
		t.Errorf("latency %v ms after %v without a connection, want 0", ms, connectLifetime)
	}
}
