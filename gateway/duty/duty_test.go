package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a lease that counts as valid after a suspension, which the steady clock does
// not count, against a boot-time clock that holds the time back, and against a system without
// one.
func TestClockCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		boot, ok := time.Hour, true
		c := NewClock(func() (time.Duration, bool) { return boot, ok })
		began := c.Now()
		boot += 5 * time.Second
		if d := c.Now().Sub(began); d != 5*time.Second {
			t.Fatalf("elapsed %v after a suspension of 5 s", d)
		}
		time.Sleep(7 * time.Second)
		if d := c.Now().Sub(began); d != 7*time.Second {
			t.Fatalf("elapsed %v by a boot-time clock that stands still", d)
		}
		ok = false
		time.Sleep(time.Second)
		if d := c.Now().Sub(began); d != 8*time.Second {
			t.Fatalf("elapsed %v without a boot-time clock", d)
		}
	})
	if _, ok := SystemBootClock(); !ok {
		t.Fatal("no boot-time clock on this system")
	}
}

// Guards against a site on which no gateway or many compete for the lease, also a site of one.
func TestCandidates(t *testing.T) {
	for _, n := range []int{1, 2, 3, 29, 410} {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
		}
		candidates := 0
		for _, self := range all {
			if IsCandidate("usage", self, all) {
				candidates++
			}
		}
		if want := min(n, 3); candidates != want {
			t.Errorf("%d gateways: %d candidates, want %d", n, candidates, want)
		}
	}
	if !IsCandidate("usage", "10.0.0.1:7000", nil) {
		t.Error("a gateway alone is no candidate")
	}
}
