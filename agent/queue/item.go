package queue

import (
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

// Item is one unit of waiting work.
type Item struct {
	// ID identifies the item; it is unique among the waiting items.
	ID string
	// Tier is the priority, 0 being the most urgent.
	Tier int
	// Class is the workload class; its items are expected to be about equally long.
	// In tiers below urgent each waiting class is guaranteed starts.
	Class string
	// Account is the client account that fair queueing charges.
	Account string
	// Weight is the account's relative share inside its tier; zero means 1.
	Weight int
	// Arrived is the time of the first Push; Push sets it when it is zero. A
	// requeued item keeps it, and with it its position among equal deadlines.
	Arrived time.Time
	// Deadline orders the items of a tier; zero means WaitUntil.
	Deadline time.Time
	// WaitUntil is the time at which the item expires; zero means
	// catalog.DefaultMaxWait after the Push. For a requeued item the caller sets
	// the deadline of the whole answer, because part of it has been sent.
	WaitUntil time.Time
	// Used is the time that the item has run at the endpoint so far.
	Used time.Duration
	// Preemptions is how often the item has been preempted. An item with a
	// value above zero counts as requeued.
	Preemptions int
}

// Levels of the multi-level feedback queue. An item's level follows from the
// time it has run. Items of a tier are ordered by their deadline plus the delay
// of their level, so longer work yields to shorter work for a bounded time and
// does not starve.
const (
	// LongAfter is the run time from which work counts as long.
	LongAfter = 4 * time.Second
	// VeryLongAfter is the run time from which work has the lowest level.
	VeryLongAfter = 20 * time.Second

	longDelay     = 5 * time.Second
	veryLongDelay = 20 * time.Second
)

// levelDelay returns what is added to the deadline of work that has run for d.
func levelDelay(d time.Duration) time.Duration {
	switch {
	case d >= VeryLongAfter:
		return veryLongDelay
	case d >= LongAfter:
		return longDelay
	default:
		return 0
	}
}

// entry is a waiting Item with its positions in the queue's heaps.
type entry struct {
	Item
	// effectiveDeadline is the deadline plus the delay of the level.
	effectiveDeadline time.Time
	sequence          uint64
	// pushedAt is the time of the last Push; Arrived is that of the first.
	pushedAt time.Time
	account  *account
	class    *class

	accountIndex int
	classIndex   int
	expiryIndex  int
}

func newEntry(now time.Time, it Item, sequence uint64) *entry {
	return &entry{Item: it, effectiveDeadline: it.Deadline.Add(levelDelay(it.Used)), sequence: sequence, pushedAt: now}
}

// before orders the entries of one tier by effective deadline, then by arrival,
// then by the sequence of their pushes.
func (e *entry) before(o *entry) bool {
	if !e.effectiveDeadline.Equal(o.effectiveDeadline) {
		return e.effectiveDeadline.Before(o.effectiveDeadline)
	}
	if !e.Arrived.Equal(o.Arrived) {
		return e.Arrived.Before(o.Arrived)
	}
	return e.sequence < o.sequence
}

// requeued reports whether the item was preempted and pushed again.
func (it Item) requeued() bool { return it.Preemptions > 0 }

// withDefaults replaces zero fields by their defaults.
func (it Item) withDefaults(now time.Time) Item {
	if it.Weight <= 0 {
		it.Weight = 1
	}
	if it.Arrived.IsZero() {
		it.Arrived = now
	}
	if it.WaitUntil.IsZero() {
		it.WaitUntil = now.Add(catalog.DefaultMaxWait)
	}
	if it.Deadline.IsZero() {
		it.Deadline = it.WaitUntil
	}
	return it
}
