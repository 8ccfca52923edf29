package queue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/agent/queue"
)

// randomRunning returns streams of all tiers with random use and preemptions.
func randomRunning(r *rand.Rand, now time.Time) []queue.Running {
	running := make([]queue.Running, r.IntN(12))
	for i := range running {
		it := queue.Item{ID: fmt.Sprint("r", i), Tier: r.IntN(3), Class: fmt.Sprint("class", r.IntN(3))}
		it.Deadline = now.Add(time.Duration(r.IntN(40)-20) * time.Second)
		if it.Preemptions = r.IntN(queue.MaxPreemptions + 2); it.Preemptions > 0 {
			it.Used = time.Duration(r.IntN(30)) * time.Second
		}
		started := now.Add(-time.Duration(r.IntN(10)) * time.Second)
		running[i] = queue.Running{Item: it, Started: started, Cancelling: r.IntN(6) == 0}
	}
	return running
}

func preemptible(now time.Time, r queue.Running) bool {
	ranLongEnough := r.Preemptions == 0 || now.Sub(r.Started) >= queue.MinRunAfterRestart
	return r.Tier > 0 && !r.Cancelling && r.Preemptions < queue.MaxPreemptions && ranLongEnough
}

// Guards against preempting an urgent stream; against preempting a stream for work
// of a lower tier or of its own class, too often, too soon after a restart, or
// below the number that must keep running; and against an urgent item that waits
// although a stream of a lower tier could be preempted.
func TestPreemptionAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 500 {
			checkPreemption(t, r)
		}
	})
}

func checkPreemption(t *rapid.T, r *rand.Rand) {
	q := queue.New(queue.Options{})
	var waiting []queue.Item
	lowest := r.IntN(3)
	for i := range r.IntN(4) {
		it := queue.Item{ID: fmt.Sprint(i), Tier: lowest + r.IntN(3-lowest), Class: fmt.Sprint("class", r.IntN(3))}
		it.Deadline = start.Add(time.Duration(r.IntN(40)) * time.Second)
		it.Arrived = start.Add(-time.Duration(r.IntN(30)) * 50 * time.Millisecond)
		waiting = append(waiting, it)
		if _, err := q.Push(it.Arrived, it); err != nil {
			t.Fatal(err)
		}
	}
	running := randomRunning(r, start)
	minBelowUrgent := r.IntN(4)
	id, ok := q.PreemptFor(start, minBelowUrgent, running)
	checkChoice(t, waiting, running, minBelowUrgent, id, ok)
}

// yields reports whether a stream may be preempted for an item below urgent.
func yields(r queue.Running, it queue.Item) bool {
	if r.Cancelling || r.Tier != it.Tier {
		return !r.Cancelling && r.Tier > it.Tier
	}
	delay := 5 * time.Second
	if r.UsedAt(start) >= queue.VeryLongAfter {
		delay = 20 * time.Second
	}
	return r.UsedAt(start) >= queue.LongAfter && r.Class != it.Class && it.Deadline.Before(r.Deadline.Add(delay))
}

// heads returns the first item of each class of tier that has waited for d.
func heads(waiting []queue.Item, tier int, d time.Duration) []queue.Item {
	return slices.DeleteFunc(slices.Clone(waiting), func(it queue.Item) bool {
		later := func(o queue.Item) bool {
			earlier := o.Deadline.Before(it.Deadline) || o.Deadline.Equal(it.Deadline) && o.Arrived.Before(it.Arrived)
			return o.Tier == tier && o.Class == it.Class && earlier
		}
		return it.Tier != tier || start.Sub(it.Arrived) < d || slices.ContainsFunc(waiting, later)
	})
}

// justified reports whether the victim may be preempted for a waiting item.
func justified(waiting []queue.Item, running []queue.Running, victim queue.Running) bool {
	cancelling := 0
	for _, r := range running {
		if r.Cancelling {
			cancelling++
		}
	}
	for tier := range 3 {
		ofTier := slices.DeleteFunc(slices.Clone(waiting), func(it queue.Item) bool { return it.Tier != tier })
		if len(ofTier) == 0 {
			continue
		}
		if tier == 0 {
			return len(ofTier) > cancelling && len(heads(waiting, 0, queue.PreemptUrgentAfter)) > 0
		}
		ready := heads(waiting, tier, queue.PreemptShortAfter)
		giveWay := func(r queue.Running) bool {
			return slices.ContainsFunc(ready, func(it queue.Item) bool { return yields(r, it) })
		}
		others := slices.DeleteFunc(slices.Clone(running), func(r queue.Running) bool { return !giveWay(r) })
		if len(ofTier) > cancelling && giveWay(victim) && len(others) > (len(running)-cancelling)/4 {
			return true
		}
	}
	return false
}

func checkChoice(t *rapid.T, waiting []queue.Item, running []queue.Running, minBelowUrgent int, id string, ok bool) {
	urgent, cancelling, belowUrgent := 0, 0, 0
	var candidates []queue.Running
	for _, it := range waiting {
		if it.Tier == 0 {
			urgent++
		}
	}
	for _, r := range running {
		switch {
		case r.Cancelling:
			cancelling++
		case r.Tier > 0:
			belowUrgent++
		}
		if preemptible(start, r) {
			candidates = append(candidates, r)
		}
	}
	if got, want := queue.Preemptible(start, minBelowUrgent, running), max(0, min(len(candidates), belowUrgent-minBelowUrgent)); got != want {
		t.Fatalf("%d preemptible, want %d", got, want)
	}
	if !ok {
		ready := len(heads(waiting, 0, queue.PreemptUrgentAfter)) > 0
		if ready && urgent > cancelling && len(candidates) > 0 && belowUrgent > minBelowUrgent {
			t.Fatal("urgent item waits behind a lower tier")
		}
		return
	}
	victim := running[slices.IndexFunc(running, func(r queue.Running) bool { return r.ID == id })]
	if !preemptible(start, victim) || belowUrgent <= minBelowUrgent || !justified(waiting, running, victim) {
		t.Fatalf("took %+v with %d below urgent, %d to stay, %v waiting", victim, belowUrgent, minBelowUrgent, waiting)
	}
	for _, r := range candidates {
		more := r.Tier > victim.Tier || r.Tier == victim.Tier && r.UsedAt(start) > victim.UsedAt(start)
		if urgent > 0 && more {
			t.Fatalf("took %+v before %+v", victim, r)
		}
	}
}

// simulatedEndpoint is an endpoint with a fixed number of slots that follows the
// queue's decisions.
type simulatedEndpoint struct {
	q              *queue.Queue
	slots          int
	minBelowUrgent int
	running        []queue.Running
	left           map[string]time.Duration
}

func (e *simulatedEndpoint) start(now time.Time, pop func(time.Time) (queue.Item, bool)) {
	if it, ok := pop(now); ok {
		e.running = append(e.running, queue.Running{Item: it, Started: now})
	}
}

// step removes completed streams, preempts, and fills the free slots.
func (e *simulatedEndpoint) step(t *testing.T, now time.Time) {
	e.running = slices.DeleteFunc(e.running, func(r queue.Running) bool {
		return now.Sub(r.Started) >= e.left[r.ID]
	})
	for len(e.running) >= e.slots {
		id, ok := e.q.PreemptFor(now, e.minBelowUrgent, e.running)
		if !ok {
			break
		}
		i := slices.IndexFunc(e.running, func(r queue.Running) bool { return r.ID == id })
		r := e.running[i]
		e.running = slices.Delete(e.running, i, i+1)
		e.left[id] -= now.Sub(r.Started)
		r.Used = r.UsedAt(now)
		r.Preemptions++
		push(t, e.q, now, r.Item)
	}
	for n := -1; n != len(e.running); {
		n = len(e.running)
		below := 0
		for _, r := range e.running {
			below += min(r.Tier, 1)
		}
		switch {
		case n-min(below, e.minBelowUrgent) < e.slots:
			e.start(now, e.q.Pop)
		case below < e.minBelowUrgent:
			e.start(now, e.q.PopBelowUrgent)
		}
	}
}

// Guards against long batch work of class history that never completes, because
// urgent work fills the endpoint and every run of the batch work is preempted.
func TestHistoryEndsUnderUrgentOverload(t *testing.T) {
	e := &simulatedEndpoint{q: queue.New(queue.Options{}), slots: 4, minBelowUrgent: 1, left: map[string]time.Duration{}}
	for i := range 4 {
		it := queue.Item{ID: fmt.Sprint("history", i), Tier: 2, Class: "history", WaitUntil: start.Add(time.Hour)}
		e.left[it.ID] = time.Minute
		push(t, e.q, start, it)
	}
	for step := range 2700 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		urgent := queue.Item{ID: fmt.Sprint("urgent", step), Account: fmt.Sprint(step % 50), WaitUntil: now.Add(1500 * time.Millisecond)}
		e.left[urgent.ID] = time.Second
		push(t, e.q, now, urgent)
		e.step(t, now)
		for _, it := range e.q.Expire(now) {
			if it.Tier > 0 {
				t.Fatalf("%s expired", it.ID)
			}
		}
	}
	waiting := e.q.TierLen(2)
	for _, r := range e.running {
		waiting += min(r.Tier, 1)
	}
	if waiting > 0 {
		t.Errorf("%d of 4 histories of 1 min have not ended after 4.5 min", waiting)
	}
}
