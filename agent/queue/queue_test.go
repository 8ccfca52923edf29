package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/queue"
)

func push(t testing.TB, q *queue.Queue, now time.Time, it queue.Item) {
	t.Helper()
	if _, err := q.Push(now, it); err != nil {
		t.Fatalf("push %s: %v", it.ID, err)
	}
}

// Guards against starting work with a later deadline before work with an earlier
// one while all accounts are within their shares.
func TestEarliestDeadlineFirst(t *testing.T) {
	q := queue.New(queue.Options{})
	for i, seconds := range []int{9, 3, 7, 1, 5} {
		push(t, q, start, queue.Item{
			ID: fmt.Sprint(seconds), Tier: 1, Account: fmt.Sprint(i),
			Deadline: start.Add(time.Duration(seconds) * time.Second),
		})
	}
	for _, want := range []string{"1", "3", "5", "7", "9"} {
		if it, _ := q.Pop(start); it.ID != want {
			t.Errorf("popped %s, want %s", it.ID, want)
		}
	}
}

// Guards against a class with late deadlines that starts later than its guaranteed
// number of starts allows.
func TestClassStartsWithinBound(t *testing.T) {
	q := queue.New(queue.Options{})
	push(t, q, start, queue.Item{ID: "late", Tier: 2, Class: "history", WaitUntil: start.Add(time.Hour)})
	for i := range 2 * queue.ClassStartPeriod {
		push(t, q, start, queue.Item{ID: fmt.Sprint(i), Tier: 2, Class: "plain", Account: fmt.Sprint(i)})
	}
	for i := range queue.ClassStartPeriod + 1 {
		if it, _ := q.Pop(start); it.ID == "late" {
			return
		} else if i == queue.ClassStartPeriod {
			t.Errorf("%d starts passed the class over", i+1)
		}
	}
}

// Guards against standard work that fills the whole queue so that batch work is
// refused, and against urgent work that cannot displace batch work.
func TestBatchPlaces(t *testing.T) {
	q := queue.New(queue.Options{Capacity: 8, BatchReserved: 2})
	steps := []struct {
		tier, displacedTier int
		refused             bool
	}{
		{tier: 1}, {tier: 1}, {tier: 1}, {tier: 1}, {tier: 1}, {tier: 1}, {tier: 1, refused: true},
		{tier: 2}, {tier: 2}, {tier: 2, refused: true}, {tier: 1, refused: true},
		{tier: 0, displacedTier: 2}, {tier: 0, displacedTier: 2}, {tier: 0, displacedTier: 1},
	}
	for i, step := range steps {
		displaced, err := q.Push(start, queue.Item{ID: fmt.Sprint(i), Tier: step.tier, Account: fmt.Sprint(i)})
		if (err != nil) != step.refused {
			t.Errorf("step %d: error %v", i, err)
		}
		if step.displacedTier > 0 && (len(displaced) != 1 || displaced[0].Tier != step.displacedTier) {
			t.Errorf("step %d: displaced %v", i, displaced)
		}
	}
}

// backlog keeps one account per weight waiting and returns the starts of each.
func backlog(t *testing.T, weights []int, use []time.Duration, starts int) []int {
	q := queue.New(queue.Options{})
	counts := make([]int, len(weights))
	serial := 0
	add := func(account int) {
		serial++
		push(t, q, start, queue.Item{
			ID: fmt.Sprint(serial), Tier: 1, Class: "chat", Account: fmt.Sprint(account), Weight: weights[account],
			// The first account always has the earliest deadline.
			Deadline: start.Add(time.Duration(account) * time.Minute), WaitUntil: start.Add(time.Hour),
		})
	}
	for range 5 {
		for account := range weights {
			add(account)
		}
	}
	for range starts {
		it, _ := q.Pop(start)
		account := int(it.Account[0] - '0')
		counts[account]++
		q.Done(it, use[account])
		add(account)
	}
	return counts
}

// Guards against a large account, or one with early deadlines, taking more
// than its weighted share from accounts that wait.
func TestWeightedFairShare(t *testing.T) {
	second := []time.Duration{time.Second, time.Second, time.Second}
	got := backlog(t, []int{1, 1, 4}, second, 600)
	for account, want := range []int{100, 100, 400} {
		if got[account] < want-2 || got[account] > want+2 {
			t.Errorf("weights 1, 1, 4: starts %v, want 100, 100, 400", got)
		}
	}
}

// Guards against counting starts instead of run time, which would give an account
// with long streams most of the endpoint's time.
func TestFairShareCountsUse(t *testing.T) {
	got := backlog(t, []int{1, 1, 1}, []time.Duration{4 * time.Second, 2 * time.Second, time.Second}, 700)
	for account, want := range []int{100, 200, 400} {
		if got[account] < want-4 || got[account] > want+4 {
			t.Errorf("uses 4 s, 2 s, 1 s: starts %v, want 100, 200, 400", got)
		}
	}
}

// Guards against a preempted stream that starts again after work with a later
// deadline, or before the short work that it was preempted for.
func TestRequeuedKeepsPlaceByAge(t *testing.T) {
	q := queue.New(queue.Options{})
	item := func(id string, at int) queue.Item {
		return queue.Item{ID: id, Tier: 2, Account: id, Deadline: start.Add(time.Duration(at) * time.Second), WaitUntil: start.Add(time.Hour)}
	}
	requeued := item("requeued", 10)
	requeued.Preemptions, requeued.Used = 1, queue.LongAfter
	push(t, q, start, item("later", 16))
	push(t, q, start, item("short", 14))
	push(t, q, start, requeued)
	for _, want := range []string{"short", "requeued", "later"} {
		if it, _ := q.Pop(start); it.ID != want {
			t.Errorf("popped %s, want %s", it.ID, want)
		}
	}
}

// Guards against an estimate that ignores the tier or a stall of the endpoint, or
// that includes intervals in which no work waited.
func TestExpectedDelay(t *testing.T) {
	q := queue.New(queue.Options{})
	now := start
	for i := range 60 {
		push(t, q, now, queue.Item{ID: fmt.Sprint("u", i), Account: fmt.Sprint(i), WaitUntil: start.Add(time.Hour)})
		push(t, q, now, queue.Item{ID: fmt.Sprint("b", i), Tier: 2, Account: fmt.Sprint(i), WaitUntil: start.Add(time.Hour)})
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		q.Pop(now)
	}
	if got := q.ExpectedDelay(now, 0); got < 5*time.Second || got > 5200*time.Millisecond {
		t.Errorf("urgent delay %s with 50 ahead at 10 starts/s", got)
	}
	if got := q.ExpectedDelay(now, 2); got < 11*time.Second {
		t.Errorf("batch delay %s with 110 ahead at 10 starts/s", got)
	}
	if got := q.ExpectedDelay(now.Add(time.Second), 0); got < 50*time.Second {
		t.Errorf("urgent delay %s after 1 s without a start", got)
	}
	for q.Len() > 0 {
		now = now.Add(100 * time.Millisecond)
		q.Pop(now)
	}
	push(t, q, now.Add(time.Hour), queue.Item{ID: "x", WaitUntil: now.Add(2 * time.Hour)})
	q.Pop(now.Add(time.Hour))
	if got := q.ExpectedDelay(now.Add(time.Hour), 0); got > 200*time.Millisecond {
		t.Errorf("delay %s after an hour without demand", got)
	}
}

func fill(b *testing.B, q *queue.Queue, accounts, tier int) {
	for i := range queue.DefaultCapacity {
		push(b, q, start, benchItem(i, accounts, tier))
	}
}

func benchItem(i, accounts, tier int) queue.Item {
	return queue.Item{
		ID: fmt.Sprint(i), Tier: tier, Class: fmt.Sprint("class", i%8), Account: fmt.Sprint("account", i%accounts),
		WaitUntil: start.Add(time.Hour + time.Duration(i*7919%1000)*time.Millisecond),
	}
}

var accountCounts = []int{10, 100, 840}

// Measures one Push and one Pop on a full queue by number of accounts.
func BenchmarkPushPop(b *testing.B) {
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			q := queue.New(queue.Options{})
			fill(b, q, accounts, 2)
			b.ReportAllocs()
			for b.Loop() {
				it, _ := q.Pop(start)
				it.Deadline = it.Deadline.Add(time.Second)
				push(b, q, start, it)
			}
		})
	}
}

// Measures an urgent Push that displaces batch work, by number of accounts.
func BenchmarkDisplace(b *testing.B) {
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			q := queue.New(queue.Options{})
			fill(b, q, accounts, 2)
			urgent := benchItem(queue.DefaultCapacity, accounts, 0)
			b.ReportAllocs()
			for b.Loop() {
				displaced, err := q.Push(start, urgent)
				if err != nil || len(displaced) != 1 {
					b.Fatal(displaced, err)
				}
				q.Pop(start)
				push(b, q, start, displaced[0])
			}
		})
	}
}
