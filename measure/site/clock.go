package site

import (
	"container/heap"
	"time"
)

// event is something that happens at a time; events at the same time happen in
// the order in which they were scheduled.
type event struct {
	at     time.Time
	serial uint64
	do     func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// clock is virtual time.
type clock struct {
	now     time.Time
	serial  uint64
	pending events
}

func (c *clock) at(t time.Time, do func()) {
	c.serial++
	heap.Push(&c.pending, event{at: t, serial: c.serial, do: do})
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

// run handles events until done reports true or the end is reached.
func (c *clock) run(end time.Time, done func() bool) {
	for len(c.pending) > 0 && !done() {
		e := heap.Pop(&c.pending).(event)
		if e.at.After(end) {
			return
		}
		c.now = e.at
		e.do()
	}
}
