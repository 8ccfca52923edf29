package concurrency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/concurrency"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

func counts(r *rand.Rand, high int) [3]int {
	return [3]int{r.IntN(high + 1), r.IntN(high + 1), r.IntN(high + 1)}
}

// Guards against urgent work that cannot use the whole limit, lower tiers that use
// the headroom or start before urgent work, and lower tiers without any slot.
func TestSlotsAgainstOracle(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		limit := 2 + r.IntN(60)
		l := concurrency.New(concurrency.Options{Initial: limit})
		o := concurrency.Occupancy{Running: counts(r, limit), Waiting: counts(r, 1)}
		below := o.Running[1] + o.Running[2]
		urgentFits := o.Running[0]+max(0, below-l.ReservedBelowUrgent()) < limit
		lowerFits := o.Running[0]+max(0, below-l.ReservedBelowUrgent()) < limit-l.Headroom()
		lowerWaits := o.Waiting[1]+o.Waiting[2] > 0
		want := concurrency.SlotNone
		switch {
		case o.Waiting[0] > 0 && urgentFits:
			want = concurrency.SlotUrgent
		case lowerWaits && below < l.ReservedBelowUrgent():
			want = concurrency.SlotBelowUrgent
		case lowerWaits && o.Waiting[0] == 0 && lowerFits:
			want = concurrency.SlotBelowUrgent
		}
		if got := l.NextSlot(start, o); got != want {
			t.Fatalf("limit %d, %+v: slot %d, want %d", limit, o, got, want)
		}
		if l.Headroom() < 1 || l.ReservedBelowUrgent() < 1 || l.Headroom() >= limit {
			t.Fatalf("limit %d: headroom %d, reserved below urgent %d", limit, l.Headroom(), l.ReservedBelowUrgent())
		}
	}
}

// Guards against refusing an urgent request although a stream of a lower tier could
// be preempted for it, a class that is never admitted, and a refusal without a
// Retry-After.
func TestAdmitAgainstOracle(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 20000 {
		l := concurrency.New(concurrency.Options{})
		now := start
		for range r.IntN(20) {
			now = now.Add(time.Duration(r.IntN(1500)) * time.Millisecond)
			l.ObserveWait(now, r.IntN(3), time.Duration(r.IntN(20))*time.Second)
		}
		tier := r.IntN(3)
		f := concurrency.QueueState{
			HasSlot: r.IntN(5) == 0, Waiting: counts(r, 5), ClassWaiting: r.IntN(3), Preemptible: r.IntN(4),
		}
		for i, seconds := range counts(r, 20) {
			f.ExpectedDelay[i] = time.Duration(seconds) * time.Second
		}
		limit := time.Duration(r.IntN(20)) * time.Second
		refusal := l.Admit(now, tier, limit, f)
		late := f.ExpectedDelay[tier] > limit
		urgentFree := f.Waiting[0] == 0 || f.Waiting[0] < f.Preemptible
		free := f.HasSlot || tier == 0 && urgentFree || tier > 0 && f.ClassWaiting == 0
		switch {
		case refusal == nil && late && !free:
			t.Fatal("admitted a request that is not expected to start in time")
		case refusal == nil:
		case free:
			t.Fatalf("refused although it can start: %v", refusal)
		case tier == 0 && refusal.Code != resultcode.TargetOutOfReach:
			t.Fatalf("urgent request refused: %v", refusal)
		case refusal.RetryAfter < time.Second || refusal.EffectiveExecution() != resultcode.NotRun:
			t.Fatalf("refusal %v retries after %s", refusal, refusal.RetryAfter)
		}
	}
}

// Guards against refusing work for a short burst, refusing more than the lowest
// tier at first, never refusing standard work, and refusals that continue after
// the delay has fallen.
func TestQueueDelayControl(t *testing.T) {
	l := concurrency.New(concurrency.Options{})
	facts := concurrency.QueueState{Waiting: [3]int{0, 5, 5}, ClassWaiting: 1}
	facts.ExpectedDelay = [3]time.Duration{0, 2 * time.Second, 8 * time.Second}
	check := func(at, wait time.Duration, standard, batch bool) {
		t.Helper()
		now := start.Add(at)
		l.ObserveWait(now, 1, wait)
		for tier, want := range []bool{false, standard, batch} {
			got := l.Admit(now, tier, time.Minute, facts)
			if (got != nil) != want {
				t.Errorf("at %s: tier %d refused %v", at, tier, got)
			}
			if got != nil && got.Code != resultcode.QueueDelayTooHigh {
				t.Errorf("at %s: %v", at, got)
			}
		}
	}
	check(0, 1500*time.Millisecond, false, false)
	check(1900*time.Millisecond, 1500*time.Millisecond, false, false)
	check(2*time.Second, 1500*time.Millisecond, false, true)
	check(3*time.Second, 900*time.Millisecond, false, true)
	check(4*time.Second, 1500*time.Millisecond, true, true)
	check(5*time.Second, 500*time.Millisecond, false, false)
	check(6*time.Second, 1500*time.Millisecond, false, false)
	check(7*time.Second, 900*time.Millisecond, false, false)
	check(8*time.Second, 1500*time.Millisecond, false, false)

	// Without a start for an interval, the expected delay counts as the wait.
	l = concurrency.New(concurrency.Options{})
	facts.ExpectedDelay[2] = 12 * time.Second
	facts.Waiting[1] = 0
	l.Admit(start, 2, time.Minute, facts)
	got := l.Admit(start.Add(3*time.Second), 2, time.Minute, facts)
	if got == nil || got.RetryAfter < 7*time.Second || got.RetryAfter > 9*time.Second {
		t.Errorf("stalled: %v", got)
	}
}
