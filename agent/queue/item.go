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
	Tier    int
	Class   string
	Account string
	// Weight is the account's share inside its tier; zero means 1.
	Weight int
	// Arrived is the time of the first Push; Push sets it when it is zero. A
	// requeued item keeps it, and so keeps its place.
	Arrived time.Time
	// Deadline orders the items of a tier; zero means WaitUntil.
	Deadline time.Time
	// WaitUntil is the time at which the item expires; zero means
	// catalog.DefaultMaxWait after the Push. For a requeued item the caller sets
	// the limit of the whole answer here, because part of it has been sent.
	WaitUntil time.Time
	// Used is the time spent at the endpoint so far.
	Used time.Duration
	// Preemptions is how often the item has been preempted. An item with a
	// value above zero counts as requeued.
	Preemptions int
}

// Levels of multi-level feedback. Work is judged by the time it has used. The
// order inside a tier is the deadline plus the delay of the level, so longer
// work yields to shorter work for a bounded time and does not starve.
const (
	// LongAfter is the use from which work counts as long.
	LongAfter = 4 * time.Second
	// VeryLongAfter is the use from which work has the lowest level.
	VeryLongAfter = 20 * time.Second

	longDelay     = 5 * time.Second
	veryLongDelay = 20 * time.Second
)

// levelDelay returns what is added to the deadline of work that has used d.
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

// entry is an Item inside the queue's structures.
type entry struct {
	Item
	// order is the deadline plus the delay of the level.
	order  time.Time
	serial uint64
	// since is the time of the Push.
	since   time.Time
	account *account
	class   *class

	inAccount int
	inClass   int
	inExpiry  int
}

func newEntry(now time.Time, it Item, serial uint64) *entry {
	return &entry{Item: it, order: it.Deadline.Add(levelDelay(it.Used)), serial: serial, since: now}
}

// before orders the entries of one tier: by order, then by age.
func (e *entry) before(o *entry) bool {
	if !e.order.Equal(o.order) {
		return e.order.Before(o.order)
	}
	if !e.Arrived.Equal(o.Arrived) {
		return e.Arrived.Before(o.Arrived)
	}
	return e.serial < o.serial
}

func (it Item) requeued() bool { return it.Preemptions > 0 }

// withDefaults fills the fields that may be zero.
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
