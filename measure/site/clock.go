package site

import (
	"container/heap"
	"time"
)

// event is a function to run at a virtual time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at     time.Time
	serial uint64
	run    func()
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

// clock is the virtual clock and event queue of the simulation.
type clock struct {
	now        time.Time
	lastSerial uint64
	pending    events
}

func (c *clock) scheduleAt(t time.Time, run func()) {
	c.lastSerial++
	heap.Push(&c.pending, event{at: t, serial: c.lastSerial, run: run})
}

func (c *clock) scheduleAfter(d time.Duration, run func()) { c.scheduleAt(c.now.Add(d), run) }

// run runs events in order until done reports true or the next event is after
// end.
func (c *clock) run(end time.Time, done func() bool) {
	for len(c.pending) > 0 && !done() {
		e := heap.Pop(&c.pending).(event)
		if e.at.After(end) {
			return
		}
		c.now = e.at
		e.run()
	}
}
