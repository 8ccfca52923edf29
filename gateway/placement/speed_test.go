package placement

import (
	"testing"
	"time"
)

// readAt sends one long prompt to an engine with the given prefill speed, in tokens per
// millisecond, and records its first event and end.
func readAt(f *Fleet, now time.Time, w *Work, speed float64) {
	c, _ := f.Choose(now, w)
	flight := f.Send(now, w, c)
	took := float64(c.Load.Prefill+c.Uncached)/speed + float64(emptyPromptTime.Milliseconds())
	flight.Started(now.Add(milliseconds(took)))
	flight.End(now.Add(milliseconds(took)))
}

// Guards against a gateway that keeps the default speed for long: at a peak of long
// prompts at a cold site with fast engines, it then expects every prompt to be late, and
// refuses requests while the engines are idle.
func TestSpeedOfAColdSiteIsKnownAfterAFewPrompts(t *testing.T) {
	const speed = 56.0
	f := newPool(12)
	w := planWork(1)
	c := choose(t, f, start, w)
	if !c.SpeedUnknown {
		t.Fatal("the speed counts as known before any prompt was read")
	}
	for i := range 5 {
		readAt(f, start.Add(time.Duration(i)*time.Second), planWork(uint64(100+i)), speed)
	}
	c = choose(t, f, start.Add(6*time.Second), planWork(200))
	if c.SpeedUnknown {
		t.Fatal("the speed counts as unknown after five prompts")
	}
	want := float64(c.Uncached)/speed + float64(emptyPromptTime.Milliseconds())
	if got := float64(c.Expected.Milliseconds()); got > 1.25*want || got < 0.8*want {
		t.Fatalf("expected %.0f ms for a prompt that takes %.0f ms", got, want)
	}
}

// Guards against a gateway that ignores the speeds that others have observed, when each
// of many gateways has a few prompts, and against one that keeps them after they are not
// stated any more.
func TestSpeedIsSharedAmongGateways(t *testing.T) {
	const speed = 56.0
	f := newPool(12)
	for _, peer := range []string{"a", "b", "c"} {
		f.PeerSpeed(start, peer, pool, Speed{Rate: speed, Weight: 4})
	}
	c := choose(t, f, start, planWork(1))
	if c.SpeedUnknown {
		t.Fatal("a speed that peers have observed counts as unknown")
	}
	if got := float64(c.Uncached) / float64(c.Expected.Milliseconds()); got < 0.8*speed {
		t.Fatalf("%.0f tokens/ms expected, want about %.0f", got, speed)
	}
	f.PeerSpeed(start, "a", pool, Speed{Rate: -1, Weight: 4})
	f.PeerSpeed(start, "a", "unknown", Speed{Rate: speed, Weight: 4})
	f.ExpirePeerLoads(start.Add(minPeerSpeedAge+time.Second), 0)
	if c := choose(t, f, start.Add(minPeerSpeedAge+time.Second), planWork(2)); !c.SpeedUnknown {
		t.Fatal("the speeds of silent peers still count")
	}
}

// Guards against a speed estimate that falls with every prompt that waits behind
// requests which this gateway does not know of.
func TestUnknownWorkAtAnEngineIsNotTakenForASlowEngine(t *testing.T) {
	var s Speed
	for i := range 200 {
		rate := 50.0
		if i%3 == 0 {
			rate = 20
		}
		s.observe(rate)
	}
	if s.Rate < 38 {
		t.Fatalf("%.0f tokens/ms after one prompt in three had waited, want near 50", s.Rate)
	}
}

// Guards against requests that are sent elsewhere with a fetch of their shared part,
// although the engine that has it cached can meet the target, in a steady flow of
// requests with the same part.
func TestWorkGoesToItsCachedPartsRatherThanFetchingThem(t *testing.T) {
	f := newPool(12)
	f.PeerSpeed(start, "peer", pool, Speed{Rate: 50, Weight: 20})
	now := start
	first := choose(t, f, now, planWork(7))
	f.Send(now, planWork(7), first).Started(now.Add(200 * time.Millisecond))
	moved := 0
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		w := planWork(7)
		c := choose(t, f, now, w)
		moved += c.Fetched
		f.Send(now, w, c).Started(now.Add(c.Expected))
	}
	if moved > 0 {
		t.Fatalf("%d tokens were fetched although the engine that had them cached could meet the target", moved)
	}
}

// Guards against an engine that looks busy with a prompt that a peer stated after the
// prefill has surely ended, in bursts between the infrequent statements of many gateways.
func TestPromptsOfPeersAreReadBetweenStatements(t *testing.T) {
	f := newPool(1)
	f.PeerSpeed(start, "peer", pool, Speed{Rate: 50, Weight: 20})
	load := func(after time.Duration) Load {
		l, _ := f.endpoints["engine-0"].totalLoad(start.Add(after))
		return l
	}
	f.PeerLoads(start, "p", map[uint64]Load{Hash("engine-0"): {Running: 1, Prefill: 10_000, Memory: 10_000}})
	f.PeerLoads(start, "q", map[uint64]Load{Hash("engine-0"): {Running: 1, Prefill: 5_000, Memory: 5_000}})
	if n := load(0).Prefill; n != 15_000 {
		t.Fatalf("%d tokens to read, want 15,000", n)
	}
	if n := load(100 * time.Millisecond).Prefill; n < 8_000 || n > 12_000 {
		t.Fatalf("%d tokens to read after 100 ms, want about 10,000", n)
	}
	if l := load(301 * time.Millisecond); l.Prefill != 0 || l.Running != 2 {
		t.Fatalf("%d tokens to read and %d requests after 301 ms, want none and 2", l.Prefill, l.Running)
	}
	f.PeerLoads(start.Add(time.Second), "p", nil)
	f.PeerLoads(start.Add(time.Second), "q", nil)
	if l := load(time.Second); l != (Load{}) || len(f.endpoints["engine-0"].peerPrefill.prompts) != 0 {
		t.Fatalf("load %+v although no peer has requests", l)
	}
}
