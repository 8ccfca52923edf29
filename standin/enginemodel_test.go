package standin

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var modelStart = time.Unix(1_000_000, 0)

// blockHashes returns the cumulative block hashes of a prompt. Prompts of the same
// family share their prefix.
func blockHashes(family uint64, count int) []uint64 {
	list := make([]uint64, count)
	for i := range list {
		list[i] = family<<32 | uint64(i)
	}
	return list
}

// runUntilIdle advances the model until it is idle and returns all events.
func runUntilIdle(m *EngineModel, now time.Time) []EngineEvent {
	var events []EngineEvent
	for next := m.NextEvent(now); !next.IsZero(); next = m.NextEvent(next) {
		events = append(events, m.Advance(next)...)
	}
	return events
}

func eventTimes(events []EngineEvent, id uint64, kind EngineEventKind) []time.Duration {
	var times []time.Duration
	for _, e := range events {
		if e.ID == id && e.Kind == kind {
			times = append(times, e.At.Sub(modelStart))
		}
	}
	return times
}

// Guards against a step duration that differs from the documented formula, on which
// measurements and the router's thresholds rely.
func TestEngineModelPace(t *testing.T) {
	opts := EngineModelOptions{
		StepBase: 10 * time.Millisecond, StepPerSequence: time.Millisecond,
		PrefillRate: 10_000, PrefillChunk: 500, Slots: 100,
	}
	for _, batch := range []int{1, 50} {
		m := NewEngineModel(opts)
		for id := range batch {
			if err := m.Add(modelStart, EngineRequest{ID: uint64(id), PromptTokens: 10, Tokens: 4}); err != nil {
				t.Fatal(err)
			}
		}
		at := eventTimes(runUntilIdle(m, modelStart), 0, EventToken)
		// The first request starts a step alone; the others join at its end.
		joined := time.Duration(batch-1) * time.Millisecond
		want := 10*time.Millisecond + time.Millisecond + joined
		if gap := at[3] - at[2]; at[0] != 11*time.Millisecond || gap != want {
			t.Errorf("batch %d: first %v, gap %v; want 11ms, %v", batch, at[0], gap, want)
		}
	}
	m := NewEngineModel(opts)
	m.SetSlowFactor(modelStart, 3)
	if err := m.Add(modelStart, EngineRequest{ID: 1, PromptTokens: 1200, Tokens: 1}); err != nil {
		t.Fatal(err)
	}
	// Three prefill chunks, each with StepBase, at a third of the speed.
	want := 3 * (3*10*time.Millisecond + 120*time.Millisecond)
	if at := eventTimes(runUntilIdle(m, modelStart), 1, EventToken); at[0] != want {
		t.Errorf("slow long prompt: first token after %v, want %v", at[0], want)
	}
}

// Guards against a prefix cache that does not shorten the time to the first token or
// that grows beyond its limit.
func TestEngineModelPrefixCache(t *testing.T) {
	m := NewEngineModel(EngineModelOptions{CacheBlocks: 40, PrefillRate: 20_000})
	now := modelStart
	firstToken := func(id, family uint64) (time.Duration, int) {
		r := EngineRequest{ID: id, PromptTokens: 480, Blocks: blockHashes(family, 30), Tokens: 1}
		if err := m.Add(now, r); err != nil {
			t.Fatal(err)
		}
		e := runUntilIdle(m, now)[0]
		took := e.At.Sub(now)
		now = e.At
		return took, e.CachedTokens
	}
	cold, _ := firstToken(1, 1)
	warm, cached := firstToken(2, 1)
	if cold != 34*time.Millisecond || warm != 10*time.Millisecond+50*time.Microsecond || cached != 480 {
		t.Errorf("cold %v, warm %v with %d cached", cold, warm, cached)
	}
	firstToken(3, 2)
	if _, cached := firstToken(4, 1); cached != 160 {
		t.Errorf("after another prompt: %d cached, want the 10 oldest blocks' 160", cached)
	}
	if n := m.Load().CachedBlocks; n != 40 {
		t.Errorf("%d blocks cached, limit 40", n)
	}
}

// Guards against urgent requests that wait behind less urgent ones when no slot is
// free, with and without preemption.
func TestEngineModelPriority(t *testing.T) {
	for _, preempt := range []bool{false, true} {
		m := NewEngineModel(EngineModelOptions{Slots: 1, Preempt: preempt})
		for id, priority := range []int{2, 2, 0} {
			r := EngineRequest{ID: uint64(id), Priority: priority, PromptTokens: 1, Tokens: 10}
			if err := m.Add(modelStart, r); err != nil {
				t.Fatal(err)
			}
		}
		events := runUntilIdle(m, modelStart)
		done := make([]time.Duration, 3)
		for id := range done {
			done[id] = eventTimes(events, uint64(id), EventDone)[0]
		}
		preempted := len(eventTimes(events, 0, EventPreempted)) == 1
		if done[2] >= done[1] || (done[2] < done[0]) != preempt || preempted != preempt {
			t.Errorf("preempt %v: done at %v, preempted %v", preempt, done, preempted)
		}
	}
}

// tokenChecker checks the events of an EngineModel: it tracks the next token index
// and the end of each request in the engine.
type tokenChecker struct {
	next map[uint64]int
	end  map[uint64]int
}

func (c *tokenChecker) apply(t *rapid.T, events []EngineEvent) {
	for _, e := range events {
		want, known := c.next[e.ID]
		switch {
		case !known:
			t.Fatalf("event for %d, which is not in the engine", e.ID)
		case e.Kind == EventToken && e.Index != want:
			t.Fatalf("request %d: token %d, want %d", e.ID, e.Index, want)
		case e.Kind == EventToken:
			c.next[e.ID]++
		case e.Kind == EventDone && want != c.end[e.ID]:
			t.Fatalf("request %d done at %d, want %d", e.ID, want, c.end[e.ID])
		case e.Kind == EventDone:
			delete(c.next, e.ID)
		}
	}
}

// Guards against tokens that are lost, repeated or out of order due to cancellation,
// preemption or waiting, and against more running sequences than slots.
func TestEngineModelTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewEngineModel(EngineModelOptions{
			Slots: 3, WaitingLimit: 4, PrefillChunk: 32, CacheBlocks: 5, Preempt: rapid.Bool().Draw(t, "preempt"),
		})
		c := &tokenChecker{next: map[uint64]int{}, end: map[uint64]int{}}
		now, id := modelStart, uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id++
				r := EngineRequest{
					ID: id, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					PromptTokens: 100, Blocks: blockHashes(rapid.Uint64Range(0, 2).Draw(t, "family"), 6),
					First: rapid.IntRange(0, 3).Draw(t, "first"), Tokens: rapid.IntRange(1, 5).Draw(t, "tokens"),
				}
				if err := m.Add(now, r); err == nil {
					c.next[id], c.end[id] = r.First, r.First+r.Tokens
				} else if m.Load().Waiting < 4 {
					t.Fatal(err)
				}
			},
			"cancel": func(t *rapid.T) {
				victim := rapid.Uint64Range(1, id+1).Draw(t, "victim")
				c.apply(t, m.Advance(now))
				_, known := c.next[victim]
				if m.Cancel(now, victim) != known {
					t.Fatalf("cancel of %d, in the engine: %v", victim, known)
				}
				delete(c.next, victim)
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				c.apply(t, m.Advance(now))
			},
			"": func(t *rapid.T) {
				load := m.Load()
				if load.Running > 3 || load.CachedBlocks > 5 {
					t.Fatalf("load %+v is above the limits", load)
				}
			},
		})
		c.apply(t, runUntilIdle(m, now))
		if len(c.next) != 0 {
			t.Fatalf("never done: %v", c.next)
		}
	})
}

// BenchmarkEngineModelStep measures one step of a full batch of
// DefaultSlots (256) sequences.
func BenchmarkEngineModelStep(b *testing.B) {
	m := NewEngineModel(EngineModelOptions{})
	for id := range DefaultSlots {
		if err := m.Add(modelStart, EngineRequest{ID: uint64(id), PromptTokens: 1, Tokens: 1 << 40}); err != nil {
			b.Fatal(err)
		}
	}
	now := modelStart
	for b.Loop() {
		now = m.NextEvent(now)
		m.Advance(now)
	}
}
