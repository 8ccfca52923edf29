package reach

import (
	"testing"
	"time"
)

var pausesStart = time.Unix(1_800_000_000, 0)

// Guards against requests to a full endpoint before the end of the pause that it asked
// for, and against a later response that shortens the pause.
func TestPauseHoldsForItsWholeTime(t *testing.T) {
	p := NewPauses()
	p.SetPause(pausesStart, 1, pausesStart.Add(3*time.Second))
	p.SetPause(pausesStart, 1, pausesStart.Add(time.Second))
	if !p.Paused(pausesStart.Add(3*time.Second-1), 1) || p.Paused(pausesStart.Add(3*time.Second), 1) {
		t.Error("the pause does not end exactly 3 s after it began")
	}
	if p.Paused(pausesStart, 2) {
		t.Error("another endpoint is paused")
	}
	all := func(uint64) bool { return true }
	if left := p.UntilFirstEnd(pausesStart.Add(time.Second), all); left != 2*time.Second {
		t.Errorf("%v until the first pause ends, want 2s", left)
	}
	if left := p.UntilFirstEnd(pausesStart, func(uint64) bool { return false }); left != 0 {
		t.Errorf("%v until a pause of no endpoint ends", left)
	}
	p.Leave(1)
	if p.Paused(pausesStart, 1) {
		t.Error("an endpoint that was removed is paused")
	}
}

// Guards against a peer's statement that pauses an endpoint which accepts requests of
// this gateway.
func TestPauseOfAPeerIsAHint(t *testing.T) {
	p := NewPauses()
	p.AddHint(pausesStart, 1, time.Hour)
	if p.Paused(pausesStart, 1) {
		t.Error("a hint pauses the endpoint")
	}
	if !p.Hinted(pausesStart, 1) || p.Hinted(pausesStart.Add(hintAge), 1) {
		t.Errorf("the hint does not end after %v", hintAge)
	}
}

// Guards against an endpoint that is left out as long as one peer repeats that it is
// full, although it would accept requests of this gateway.
func TestRepeatedHintLeavesTimeForOwnRequests(t *testing.T) {
	p := NewPauses()
	out := 0
	for now := pausesStart; now.Before(pausesStart.Add(30 * time.Second)); now = now.Add(100 * time.Millisecond) {
		p.AddHint(now, 1, time.Hour)
		if p.Hinted(now, 1) {
			out++
		}
	}
	if out < 90 || out > 110 {
		t.Fatalf("left out in %d of 300 steps, want a third", out)
	}
}
