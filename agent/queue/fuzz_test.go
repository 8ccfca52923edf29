package queue_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/agent/queue"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// smallOptions has bounds that short runs reach often.
var smallOptions = queue.Options{Capacity: 32, MaxPerAccount: 8, BatchReserved: 4, MaxRequeued: 3}

const classes = 4

// TestMain fixes the seed, so that the result is the same on every run, and
// makes the action sequences long enough to reach the bounds.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "150", "rapid.nofailfile": "true", "rapid.shrinktime": "3s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// oracle is a reference model of the queue: a flat list of the waiting items, with
// counts of the starts that passed over a class or the batch tier.
type oracle struct {
	q       *queue.Queue
	now     time.Time
	rand    *rand.Rand
	serial  int
	waiting map[string]queue.Item
	started []queue.Item
	// passed counts, by tier and class, the starts of the tier since the class
	// last started or began to wait.
	passed      map[string]int
	batchPassed int
}

func classKey(it queue.Item) string { return fmt.Sprint(it.Tier, it.Class) }

func (m *oracle) count(match func(queue.Item) bool) int {
	n := 0
	for _, it := range m.waiting {
		if match(it) {
			n++
		}
	}
	return n
}

func (m *oracle) inTier(tier int) int {
	return m.count(func(it queue.Item) bool { return it.Tier == tier })
}

func (m *oracle) notRequeued(tier int) int {
	return m.count(func(it queue.Item) bool { return it.Tier == tier && it.Preemptions == 0 })
}

// removeWaiting fails the test if the item does not wait: each item leaves the
// queue exactly once.
func (m *oracle) removeWaiting(t *rapid.T, it queue.Item, how string) {
	if _, ok := m.waiting[it.ID]; !ok {
		t.Fatalf("%s: item %s does not wait", how, it.ID)
	}
	delete(m.waiting, it.ID)
}

func (m *oracle) expire(t *rapid.T) {
	for _, it := range m.q.Expire(m.now) {
		if it.WaitUntil.After(m.now) {
			t.Fatalf("item %s expired early", it.ID)
		}
		m.removeWaiting(t, it, "expire")
	}
	for _, it := range m.waiting {
		if !it.WaitUntil.After(m.now) {
			t.Fatalf("item %s waits past its limit", it.ID)
		}
	}
}

func (m *oracle) push(t *rapid.T, it queue.Item) {
	m.expire(t)
	displaced, err := m.q.Push(m.now, it)
	if err != nil {
		m.refused(t, it, err)
		return
	}
	for _, d := range displaced {
		if d.Tier <= it.Tier || d.Preemptions > 0 {
			t.Fatalf("tier %d item displaced for tier %d", d.Tier, it.Tier)
		}
		if d.Tier == 1 && m.notRequeued(2) > 0 {
			t.Fatal("standard item displaced while batch items wait")
		}
		m.removeWaiting(t, d, "displaced")
	}
	if m.count(func(o queue.Item) bool { return classKey(o) == classKey(it) }) == 0 {
		m.passed[classKey(it)] = 0
	}
	if it.Tier == 2 && m.inTier(2) == 0 {
		m.batchPassed = 0
	}
	if it.Arrived.IsZero() {
		it.Arrived = m.now
	}
	m.waiting[it.ID] = it
}

func (m *oracle) refused(t *rapid.T, it queue.Item, err error) {
	var refusal *resultcode.Error
	if !errors.As(err, &refusal) {
		t.Fatalf("refusal is %T", err)
	}
	if refusal.Code != resultcode.QueueFull || it.Preemptions > 0 {
		return
	}
	if it.Tier == 0 && m.notRequeued(1)+m.notRequeued(2) > 0 {
		t.Fatal("urgent item refused while lower tiers hold places")
	}
	if it.Tier == 2 && m.notRequeued(2) < smallOptions.BatchReserved && m.notRequeued(0) == 0 {
		t.Fatal("batch item refused although its places are free of urgent work")
	}
}

func (m *oracle) popped(t *rapid.T, it queue.Item) {
	m.removeWaiting(t, it, "pop")
	m.started = append(m.started, it)
	if it.Tier == 0 {
		return
	}
	if it.Tier == 1 && m.inTier(2) > 0 {
		m.batchPassed++
	}
	if it.Tier == 2 {
		m.batchPassed = 0
	}
	if m.batchPassed >= queue.BatchStartPeriod {
		t.Fatalf("batch tier passed over %d times", m.batchPassed)
	}
	m.passed[classKey(it)] = -1
	seen := map[string]bool{}
	for _, o := range append(m.started[len(m.started)-1:], values(m.waiting)...) {
		key := classKey(o)
		if o.Tier != it.Tier || seen[key] {
			continue
		}
		seen[key] = true
		m.passed[key]++
		if m.passed[key] > queue.ClassStartPeriod+classes-1 {
			t.Fatalf("class %s passed over %d times", key, m.passed[key])
		}
	}
}

func values(items map[string]queue.Item) []queue.Item {
	var out []queue.Item
	for _, it := range items {
		out = append(out, it)
	}
	return out
}

// drawItem uses a uniform source, because rapid prefers small numbers, which
// rarely fill the queue.
func (m *oracle) drawItem() queue.Item {
	m.serial++
	class := 1 + m.rand.IntN(classes)
	return queue.Item{
		ID:        fmt.Sprint(m.serial),
		Tier:      m.rand.IntN(3),
		Class:     fmt.Sprint("class", class),
		Account:   fmt.Sprint("account", m.rand.IntN(6)),
		Weight:    1 + m.rand.IntN(3),
		WaitUntil: m.now.Add(time.Duration(1+m.rand.IntN(200)) * time.Second),
		// Classes differ in their deadlines, so that some would starve without a
		// guaranteed minimum.
		Deadline: m.now.Add(time.Duration(class) * 100 * time.Second),
	}
}

func (m *oracle) requeue(t *rapid.T) {
	if len(m.started) == 0 {
		return
	}
	it := m.started[0]
	m.started = m.started[1:]
	used := time.Duration(rapid.IntRange(0, 30).Draw(t, "used")) * time.Second
	m.q.Done(it, used)
	if it.Tier == 0 || !rapid.Bool().Draw(t, "preempted") {
		return
	}
	it.Used += used
	it.Preemptions++
	m.push(t, it)
}

func (m *oracle) check(t *rapid.T) {
	if m.q.Len() != len(m.waiting) {
		t.Fatalf("length %d, oracle %d", m.q.Len(), len(m.waiting))
	}
	accounts := map[string]int{}
	requeued := 0
	for _, it := range m.waiting {
		if it.Preemptions > 0 {
			requeued++
			continue
		}
		key := fmt.Sprint(it.Tier, it.Account)
		accounts[key]++
		if accounts[key] > smallOptions.MaxPerAccount {
			t.Fatalf("account %s exceeds its bound", key)
		}
	}
	if requeued > smallOptions.MaxRequeued || len(m.waiting)-requeued > smallOptions.Capacity {
		t.Fatalf("bound exceeded: %d waiting, %d requeued", len(m.waiting), requeued)
	}
	for tier := range 3 {
		if m.q.TierLen(tier) != m.inTier(tier) {
			t.Fatalf("tier %d has length %d, oracle %d", tier, m.q.TierLen(tier), m.inTier(tier))
		}
	}
}

// Guards against lost or duplicated items, lower tiers that start before urgent
// work, exceeded bounds, and a class or tier that starves.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m := &oracle{
			q: queue.New(smallOptions), now: start, rand: rand.New(rand.NewPCG(seed, 0)),
			waiting: map[string]queue.Item{}, passed: map[string]int{},
		}
		pop := func(from func(time.Time) (queue.Item, bool), tiers ...int) func(*rapid.T) {
			return func(t *rapid.T) {
				m.expire(t)
				available := 0
				for _, tier := range tiers {
					available += m.inTier(tier)
				}
				it, ok := from(m.now)
				if ok != (available > 0) {
					t.Fatalf("pop returned %v with %d available", ok, available)
				}
				if !ok {
					return
				}
				if it.Tier > 0 && len(tiers) == 3 && m.inTier(0) > 0 {
					t.Fatal("lower tier started while urgent work waits")
				}
				m.popped(t, it)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) { m.push(t, m.drawItem()) },
			"burst": func(t *rapid.T) {
				for range m.rand.IntN(20) {
					m.push(t, m.drawItem())
				}
			},
			"pop":       pop(m.q.Pop, 0, 1, 2),
			"popUrgent": pop(m.q.PopUrgent, 0),
			"popBelow":  pop(m.q.PopBelowUrgent, 1, 2),
			"requeue":   m.requeue,
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, m.serial+1).Draw(t, "id"))
				_, waits := m.waiting[id]
				it, ok := m.q.Remove(id)
				if ok != waits {
					t.Fatalf("remove %s returned %v", id, ok)
				}
				if ok {
					m.removeWaiting(t, it, "remove")
				}
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
				m.expire(t)
			},
			"": m.check,
		})
	})
}
