package reach

import (
	"testing"
	"time"
)

var began = time.Unix(1_800_000_000, 0)

// Guards against requests to a full endpoint before the time that it named, and
// against a second answer that shortens it.
func TestPauseHoldsForItsWholeTime(t *testing.T) {
	p := NewPauses()
	p.Asked(began, 1, began.Add(3*time.Second))
	p.Asked(began, 1, began.Add(time.Second))
	if !p.Closed(began.Add(3*time.Second-1), 1) || p.Closed(began.Add(3*time.Second), 1) {
		t.Error("the pause does not end at its time")
	}
	if p.Closed(began, 2) {
		t.Error("another endpoint is closed")
	}
	all := func(uint64) bool { return true }
	if left := p.Earliest(began.Add(time.Second), all); left != 2*time.Second {
		t.Errorf("%v until the first pause ends, want 2s", left)
	}
	if left := p.Earliest(began, func(uint64) bool { return false }); left != 0 {
		t.Errorf("%v until a pause of no endpoint ends", left)
	}
	p.Leave(1)
	if p.Closed(began, 1) {
		t.Error("an endpoint that is gone is closed")
	}
}

// Guards against a peer's word that closes an endpoint which answers this gateway.
func TestPauseOfAPeerIsAHint(t *testing.T) {
	p := NewPauses()
	p.Hear(began, 1, time.Hour)
	if p.Closed(began, 1) {
		t.Error("a hint closes the endpoint")
	}
	if !p.Hinted(began, 1) || p.Hinted(began.Add(hintAge), 1) {
		t.Errorf("the hint does not end after %v", hintAge)
	}
}

// Guards against an endpoint that is left out for as long as one peer repeats that it
// is full, although it would answer this gateway.
func TestRepeatedHintLeavesTimeForOwnRequests(t *testing.T) {
	p := NewPauses()
	out := 0
	for now := began; now.Before(began.Add(30 * time.Second)); now = now.Add(100 * time.Millisecond) {
		p.Hear(now, 1, time.Hour)
		if p.Hinted(now, 1) {
			out++
		}
	}
	if out < 90 || out > 110 {
		t.Fatalf("left out in %d of 300 steps, want a third", out)
	}
}
