// Package queue decides which of the work waiting at one endpoint starts next,
// which is displaced when the queue is full, and which running stream is
// preempted. It is single-threaded: the caller serialises the calls and passes
// the time.
//
// Order of starts: an urgent item always starts before any other. Below urgent,
// the batch tier receives one of BatchStarts starts while it waits, and a class
// at least one of ClassStarts starts of its tier. Inside a tier the account
// that is not above its weighted share and has the earliest deadline is next.
// PopBelowUrgent fills the slots that the concurrency limit keeps for lower
// tiers, so that these progress while urgent work takes every shared slot.
package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

const (
	// DefaultCapacity bounds the waiting items that are not requeued.
	DefaultCapacity = 512
	// DefaultPerAccount bounds such items of one client account in one tier.
	DefaultPerAccount = 64
	// DefaultBatchPlaces is the part of the capacity that standard work leaves
	// to batch work, so that batch work can enter a busy queue.
	DefaultBatchPlaces = 32
	// DefaultRequeued bounds the waiting requeued items, which are held on top
	// of the capacity because their text so far would otherwise be lost.
	DefaultRequeued = 64

	// BatchStarts bounds the wait of the batch tier: while it waits, one of
	// BatchStarts starts below urgent is its own.
	BatchStarts = 8

	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Options configure a Queue. Zero values take the defaults above.
type Options struct {
	Capacity    int
	PerAccount  int
	BatchPlaces int
	Requeued    int
}

// Queue is the waiting work of one endpoint.
type Queue struct {
	opts     Options
	tiers    [catalog.TierCount]*tierQueue
	byID     map[string]*entry
	expired  []Item
	serial   uint64
	requeued int
	// batchPassed counts standard starts since the batch tier last started or
	// began to wait.
	batchPassed int
	pace        drainRate
}

// New returns an empty Queue.
func New(opts Options) *Queue {
	opts.Capacity = cmp.Or(opts.Capacity, DefaultCapacity)
	opts.PerAccount = cmp.Or(opts.PerAccount, DefaultPerAccount)
	opts.BatchPlaces = cmp.Or(opts.BatchPlaces, DefaultBatchPlaces)
	opts.Requeued = cmp.Or(opts.Requeued, DefaultRequeued)
	q := &Queue{opts: opts, byID: map[string]*entry{}}
	for i := range q.tiers {
		q.tiers[i] = newTierQueue()
	}
	return q
}

// Push adds it. Items displaced to make room are returned; they have a higher
// tier number than it. A refusal is a *resultcode.Error: AccountLimit,
// QueueFull, DeadlineInQueue, DuplicateAttempt, or Internal for an invalid
// tier. A requeued item keeps its place by age, takes no fresh item's place,
// and its refusal states an unknown execution.
func (q *Queue) Push(now time.Time, it Item) ([]Item, error) {
	q.collect(now)
	it = it.withDefaults(now)
	if err := q.check(now, it); err != nil {
		return nil, err
	}
	displaced, err := q.makeRoom(now, it)
	if err != nil {
		return nil, err
	}
	q.insert(now, it)
	return displaced, nil
}

// check returns the refusal that does not depend on the queue's total length.
func (q *Queue) check(now time.Time, it Item) error {
	if it.Tier < 0 || it.Tier >= catalog.TierCount {
		return resultcode.New(resultcode.Internal, "tier %d does not exist", it.Tier)
	}
	if _, ok := q.byID[it.ID]; ok {
		return resultcode.New(resultcode.DuplicateAttempt, "item %s waits already", it.ID)
	}
	if len(q.expired) >= q.opts.Capacity+q.opts.Requeued {
		return q.refusal(now, it, resultcode.QueueFull, "%d expired items are not collected", len(q.expired))
	}
	if !it.WaitUntil.After(now) {
		return resultcode.New(resultcode.DeadlineInQueue, "the wait limit has passed").
			WithExecution(it.execution())
	}
	if it.requeued() {
		return nil
	}
	if a, ok := q.tiers[it.Tier].accounts[it.Account]; ok && a.fresh >= q.opts.PerAccount {
		return q.refusal(now, it, resultcode.AccountLimit, "the client account has %d items waiting in tier %d", a.fresh, it.Tier)
	}
	return nil
}

// makeRoom displaces an item of the lowest tier when it has no place.
func (q *Queue) makeRoom(now time.Time, it Item) ([]Item, error) {
	if it.requeued() {
		if q.requeued >= q.opts.Requeued {
			return nil, q.refusal(now, it, resultcode.QueueFull, "%d requeued items wait", q.requeued)
		}
		return nil, nil
	}
	if q.hasPlace(it.Tier) {
		return nil, nil
	}
	for tier := catalog.TierBatch; tier > it.Tier; tier-- {
		t := q.tiers[tier]
		if t.fresh == 0 {
			continue
		}
		if it.Tier != catalog.TierUrgent && t.fresh <= q.opts.BatchPlaces {
			break
		}
		victim := t.surplus()
		q.remove(victim)
		return []Item{victim.Item}, nil
	}
	return nil, q.refusal(now, it, resultcode.QueueFull, "%d items wait", q.fresh())
}

// hasPlace reports whether a fresh item of tier fits without displacement.
func (q *Queue) hasPlace(tier int) bool {
	if q.fresh() >= q.opts.Capacity {
		return false
	}
	kept := max(0, q.opts.BatchPlaces-q.tiers[catalog.TierBatch].fresh)
	return tier != catalog.TierStandard || q.fresh()+kept < q.opts.Capacity
}

func (q *Queue) fresh() int {
	n := 0
	for _, t := range q.tiers {
		n += t.fresh
	}
	return n
}

func (q *Queue) refusal(now time.Time, it Item, code resultcode.Code, format string, args ...any) error {
	after := min(max(q.ExpectedDelay(now, it.Tier), minRetryAfter), maxRetryAfter)
	return resultcode.New(code, format, args...).
		WithExecution(it.execution()).
		WithRetryAfter(after)
}

// execution is what a refusal may state about the item.
func (it Item) execution() resultcode.Execution {
	if it.requeued() {
		return resultcode.Unknown
	}
	return resultcode.NotRun
}

func (q *Queue) insert(now time.Time, it Item) {
	q.serial++
	e := newEntry(now, it, q.serial)
	if q.Len() == 0 {
		q.pace.waiting = false
	}
	if it.Tier == catalog.TierBatch && q.tiers[it.Tier].len() == 0 {
		q.batchPassed = 0
	}
	q.tiers[it.Tier].add(e)
	q.byID[it.ID] = e
	if it.requeued() {
		q.requeued++
	}
}

func (q *Queue) remove(e *entry) {
	q.tiers[e.Tier].remove(e)
	q.forget(e)
}

func (q *Queue) forget(e *entry) {
	delete(q.byID, e.ID)
	if e.requeued() {
		q.requeued--
	}
}

// Pop returns the item to start in a shared slot. No item of another tier is
// returned while an urgent one waits. Expired items are left to Expire.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	if it, ok := q.PopUrgent(now); ok {
		return it, true
	}
	return q.PopBelowUrgent(now)
}

// PopUrgent returns the next urgent item, for a slot reserved for urgent work.
func (q *Queue) PopUrgent(now time.Time) (Item, bool) {
	q.collect(now)
	if q.tiers[catalog.TierUrgent].len() == 0 {
		return Item{}, false
	}
	return q.start(now, catalog.TierUrgent), true
}

// PopBelowUrgent returns the next item of the standard and batch tiers, for a
// slot that urgent work does not use.
func (q *Queue) PopBelowUrgent(now time.Time) (Item, bool) {
	q.collect(now)
	standard, batch := q.tiers[catalog.TierStandard].len(), q.tiers[catalog.TierBatch].len()
	switch {
	case batch > 0 && (standard == 0 || q.batchPassed >= BatchStarts-1):
		q.batchPassed = 0
		return q.start(now, catalog.TierBatch), true
	case standard > 0:
		if batch > 0 {
			q.batchPassed++
		}
		return q.start(now, catalog.TierStandard), true
	default:
		return Item{}, false
	}
}

func (q *Queue) start(now time.Time, tier int) Item {
	t := q.tiers[tier]
	e := t.next(tier != catalog.TierUrgent)
	t.start(e)
	q.forget(e)
	q.pace.started(now, tier, q.Len() > 0)
	return e.Item
}

// Done reports how long a started item used the endpoint since its start, so
// that its account is charged for the time and not for the start alone.
func (q *Queue) Done(it Item, used time.Duration) {
	it = it.withDefaults(it.Arrived)
	q.tiers[it.Tier].done(it.Account, it.Weight, used)
}

// Remove takes a waiting item out, for example when its caller has gone.
func (q *Queue) Remove(id string) (Item, bool) {
	e, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	q.remove(e)
	return e.Item, true
}

// Expire returns the items whose wait limit has passed, earliest first. Push
// and Pop set such items aside; each is returned by exactly one Expire.
func (q *Queue) Expire(now time.Time) []Item {
	q.collect(now)
	out := q.expired
	q.expired = nil
	slices.SortStableFunc(out, func(a, b Item) int { return a.WaitUntil.Compare(b.WaitUntil) })
	return out
}

// collect moves the items whose wait limit has passed to the expired ones.
func (q *Queue) collect(now time.Time) {
	for _, t := range q.tiers {
		for t.len() > 0 && !t.expiry.first().WaitUntil.After(now) {
			e := t.expiry.first()
			q.remove(e)
			q.expired = append(q.expired, e.Item)
		}
	}
}

// NextExpiry returns when Expire next has something to return.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var next time.Time
	found := false
	consider := func(at time.Time) {
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	for _, it := range q.expired {
		consider(it.WaitUntil)
	}
	for _, t := range q.tiers {
		if t.len() > 0 {
			consider(t.expiry.first().WaitUntil)
		}
	}
	return next, found
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byID) }

// TierLen returns the number of waiting items of one tier.
func (q *Queue) TierLen(tier int) int { return q.tiers[tier].len() }

// ClassLen returns the number of waiting items of one class in one tier.
func (q *Queue) ClassLen(tier int, name string) int {
	c, ok := q.tiers[tier].classes[name]
	if !ok {
		return 0
	}
	return c.entries.Len()
}
