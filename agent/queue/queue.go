// Package queue decides which of the work waiting at one endpoint starts next,
// which is displaced when the queue is full, and which running stream is
// preempted. It is single-threaded: the caller serialises the calls and passes
// the current time.
//
// Order of starts: an urgent item always starts before any other. Below urgent,
// the batch tier receives one in BatchStartPeriod starts while it waits, and a
// class at least about one in ClassStartPeriod starts of its tier. Inside a tier,
// the entry with the earliest deadline among the accounts that are not above
// their weighted share is next. PopBelowUrgent fills the slots that the
// concurrency limit reserves for lower tiers, so that these progress while urgent
// work takes every shared slot.
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
	// DefaultMaxPerAccount bounds the waiting items of one client account in one
	// tier that are not requeued.
	DefaultMaxPerAccount = 64
	// DefaultBatchReserved is the part of the capacity that standard work leaves
	// to batch work, so that batch work can enter a busy queue.
	DefaultBatchReserved = 32
	// DefaultMaxRequeued bounds the waiting requeued items, which are held on top
	// of the capacity because their text so far would otherwise be lost.
	DefaultMaxRequeued = 64

	// BatchStartPeriod bounds the wait of the batch tier: while it waits, one in
	// BatchStartPeriod starts below urgent is of the batch tier.
	BatchStartPeriod = 8

	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Options bound the number of waiting items. Zero values take the defaults above.
type Options struct {
	Capacity      int
	MaxPerAccount int
	BatchReserved int
	MaxRequeued   int
}

// Queue is the waiting work of one endpoint.
type Queue struct {
	opts    Options
	tiers   [catalog.TierCount]*tierQueue
	byID    map[string]*entry
	expired []Item
	// lastSequence numbers the pushes.
	lastSequence uint64
	requeued     int
	// standardStartsSinceBatch counts the standard starts since a batch item last
	// started or the batch tier began to wait.
	standardStartsSinceBatch int
	startInterval            startIntervalEstimator
}

// New returns an empty Queue.
func New(opts Options) *Queue {
	opts.Capacity = cmp.Or(opts.Capacity, DefaultCapacity)
	opts.MaxPerAccount = cmp.Or(opts.MaxPerAccount, DefaultMaxPerAccount)
	opts.BatchReserved = cmp.Or(opts.BatchReserved, DefaultBatchReserved)
	opts.MaxRequeued = cmp.Or(opts.MaxRequeued, DefaultMaxRequeued)
	q := &Queue{opts: opts, byID: map[string]*entry{}}
	for i := range q.tiers {
		q.tiers[i] = newTierQueue()
	}
	return q
}

// Push adds the item to the queue. Items displaced to make room are returned;
// they are of a less urgent tier. A refusal is a *resultcode.Error: AccountLimit,
// QueueFull, DeadlineInQueue, DuplicateAttempt, or Internal for an invalid
// tier. A requeued item keeps its position by age, does not count towards the
// capacity, and its refusal states an unknown execution.
func (q *Queue) Push(now time.Time, it Item) ([]Item, error) {
	q.setExpiredAside(now)
	it = it.withDefaults(now)
	if err := q.validate(now, it); err != nil {
		return nil, err
	}
	displaced, err := q.makeRoom(now, it)
	if err != nil {
		return nil, err
	}
	q.insert(now, it)
	return displaced, nil
}

// validate returns a refusal for a reason other than the number of waiting items
// in the whole queue, which makeRoom checks.
func (q *Queue) validate(now time.Time, it Item) error {
	if it.Tier < 0 || it.Tier >= catalog.TierCount {
		return resultcode.New(resultcode.Internal, "tier %d does not exist", it.Tier)
	}
	if _, ok := q.byID[it.ID]; ok {
		return resultcode.New(resultcode.DuplicateAttempt, "item %s waits already", it.ID)
	}
	if len(q.expired) >= q.opts.Capacity+q.opts.MaxRequeued {
		return q.refusal(now, it, resultcode.QueueFull, "%d expired items are not collected", len(q.expired))
	}
	if !it.WaitUntil.After(now) {
		return resultcode.New(resultcode.DeadlineInQueue, "the wait limit has passed").
			WithExecution(it.execution())
	}
	if it.requeued() {
		return nil
	}
	if a, ok := q.tiers[it.Tier].accounts[it.Account]; ok && a.notRequeued >= q.opts.MaxPerAccount {
		return q.refusal(now, it, resultcode.AccountLimit, "the client account has %d items waiting in tier %d", a.notRequeued, it.Tier)
	}
	return nil
}

// makeRoom displaces an item of the lowest tier if the queue has no room for it.
func (q *Queue) makeRoom(now time.Time, it Item) ([]Item, error) {
	if it.requeued() {
		if q.requeued >= q.opts.MaxRequeued {
			return nil, q.refusal(now, it, resultcode.QueueFull, "%d requeued items wait", q.requeued)
		}
		return nil, nil
	}
	if q.hasRoom(it.Tier) {
		return nil, nil
	}
	for tier := catalog.TierBatch; tier > it.Tier; tier-- {
		t := q.tiers[tier]
		if t.notRequeued == 0 {
			continue
		}
		if it.Tier != catalog.TierUrgent && t.notRequeued <= q.opts.BatchReserved {
			break
		}
		victim := t.displacementVictim()
		q.remove(victim)
		return []Item{victim.Item}, nil
	}
	return nil, q.refusal(now, it, resultcode.QueueFull, "%d items wait", q.lenNotRequeued())
}

// hasRoom reports whether an item of tier that is not requeued fits without a
// displacement.
func (q *Queue) hasRoom(tier int) bool {
	if q.lenNotRequeued() >= q.opts.Capacity {
		return false
	}
	reserved := max(0, q.opts.BatchReserved-q.tiers[catalog.TierBatch].notRequeued)
	return tier != catalog.TierStandard || q.lenNotRequeued()+reserved < q.opts.Capacity
}

// lenNotRequeued returns the number of waiting items that count towards the
// capacity.
func (q *Queue) lenNotRequeued() int {
	n := 0
	for _, t := range q.tiers {
		n += t.notRequeued
	}
	return n
}

// refusal returns an error whose Retry-After is the item's expected delay, between
// minRetryAfter and maxRetryAfter.
func (q *Queue) refusal(now time.Time, it Item, code resultcode.Code, format string, args ...any) error {
	after := min(max(q.ExpectedDelay(now, it.Tier), minRetryAfter), maxRetryAfter)
	return resultcode.New(code, format, args...).
		WithExecution(it.execution()).
		WithRetryAfter(after)
}

// execution returns what a refusal states about the item: a requeued one has
// run in part.
func (it Item) execution() resultcode.Execution {
	if it.requeued() {
		return resultcode.Unknown
	}
	return resultcode.NotRun
}

func (q *Queue) insert(now time.Time, it Item) {
	q.lastSequence++
	e := newEntry(now, it, q.lastSequence)
	if q.Len() == 0 {
		q.startInterval.wasWaiting = false
	}
	if it.Tier == catalog.TierBatch && q.tiers[it.Tier].len() == 0 {
		q.standardStartsSinceBatch = 0
	}
	q.tiers[it.Tier].add(e)
	q.byID[it.ID] = e
	if it.requeued() {
		q.requeued++
	}
}

func (q *Queue) remove(e *entry) {
	q.tiers[e.Tier].remove(e)
	q.removeFromIndex(e)
}

// removeFromIndex removes e from byID and from the count of requeued items.
func (q *Queue) removeFromIndex(e *entry) {
	delete(q.byID, e.ID)
	if e.requeued() {
		q.requeued--
	}
}

// Pop takes the next item to start in a slot that all tiers share. No item of
// another tier is returned while an urgent one waits. Expired items are returned
// by Expire only.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	if it, ok := q.PopUrgent(now); ok {
		return it, true
	}
	return q.PopBelowUrgent(now)
}

// PopUrgent takes the next urgent item, for a slot reserved for urgent work.
func (q *Queue) PopUrgent(now time.Time) (Item, bool) {
	q.setExpiredAside(now)
	if q.tiers[catalog.TierUrgent].len() == 0 {
		return Item{}, false
	}
	return q.popTier(now, catalog.TierUrgent), true
}

// PopBelowUrgent takes the next item of the standard and batch tiers, for a slot
// that urgent work does not use.
func (q *Queue) PopBelowUrgent(now time.Time) (Item, bool) {
	q.setExpiredAside(now)
	standard, batch := q.tiers[catalog.TierStandard].len(), q.tiers[catalog.TierBatch].len()
	switch {
	case batch > 0 && (standard == 0 || q.standardStartsSinceBatch >= BatchStartPeriod-1):
		q.standardStartsSinceBatch = 0
		return q.popTier(now, catalog.TierBatch), true
	case standard > 0:
		if batch > 0 {
			q.standardStartsSinceBatch++
		}
		return q.popTier(now, catalog.TierStandard), true
	default:
		return Item{}, false
	}
}

// popTier takes the next item out of a tier that is not empty.
func (q *Queue) popTier(now time.Time, tier int) Item {
	t := q.tiers[tier]
	e := t.next(tier != catalog.TierUrgent)
	t.start(e)
	q.removeFromIndex(e)
	q.startInterval.observeStart(now, tier, q.Len() > 0)
	return e.Item
}

// Done records how long a started item ran at the endpoint since its start, so
// that its account is charged for the run time and not for the start alone.
func (q *Queue) Done(it Item, used time.Duration) {
	it = it.withDefaults(it.Arrived)
	q.tiers[it.Tier].done(it.Account, it.Weight, used)
}

// Remove takes out a waiting item, for example when its caller has disconnected.
func (q *Queue) Remove(id string) (Item, bool) {
	e, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	q.remove(e)
	return e.Item, true
}

// Expire returns the items whose wait limit has passed, earliest first. Push and
// the Pop methods set such items aside; each is returned by exactly one Expire.
func (q *Queue) Expire(now time.Time) []Item {
	q.setExpiredAside(now)
	out := q.expired
	q.expired = nil
	slices.SortStableFunc(out, func(a, b Item) int { return a.WaitUntil.Compare(b.WaitUntil) })
	return out
}

// setExpiredAside moves the items whose wait limit has passed to q.expired.
func (q *Queue) setExpiredAside(now time.Time) {
	for _, t := range q.tiers {
		for t.len() > 0 && !t.expiry.first().WaitUntil.After(now) {
			e := t.expiry.first()
			q.remove(e)
			q.expired = append(q.expired, e.Item)
		}
	}
}

// NextExpiry returns the time from which Expire has an item to return; false if
// no item waits or is expired.
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
