package invariants

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	latency     = 2 * time.Millisecond
	callTimeout = 2 * time.Second
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world has the virtual time and everything that a sequence acts on.
type world struct {
	t     *rapid.T
	now   time.Time
	queue eventQueue
	seq   int
	// healed ends all faults.
	healed bool

	table   *table
	objects map[string][]byte
	agents  []*agent
	routers []*router

	claims claimOracle
	orders orderOracle
	site   catalogOracle
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_800_000_000, 0), objects: map[string][]byte{}}
	w.table = &table{w: w, rows: map[string][]state{}}
	w.claims.init()
	w.orders.init()
	w.site.init(w)
	for i := range 3 {
		w.agents = append(w.agents, newAgent(w, i))
	}
	for i := range 2 {
		w.routers = append(w.routers, newRouter(w, i))
	}
	return w
}

// draw returns a number below n; 0 is the simplest choice.
func (w *world) draw(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(w.t, label)
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: f})
}

func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// process is a VM with a clock of its own. It can be paused and restarted.
type process struct {
	w           *world
	incarnation int
	pausedUntil time.Time
	skew        time.Duration
}

func (p *process) clock() time.Time { return p.w.now.Add(p.skew) }

// deliver runs f in the present incarnation after d, not before a pause ends.
func (p *process) deliver(d time.Duration, f func()) {
	p.inbox()(d, f)
}

// inbox returns deliver for the present incarnation, to be used at a later time.
func (p *process) inbox() func(d time.Duration, f func()) {
	incarnation := p.incarnation
	return func(d time.Duration, f func()) {
		var run func()
		run = func() {
			switch {
			case p.incarnation != incarnation:
			case p.pausedUntil.After(p.w.now):
				p.w.after(p.pausedUntil.Sub(p.w.now), run)
			default:
				f()
			}
		}
		p.w.after(d, run)
	}
}

// get and put call the table; the answer is delivered to this incarnation.
func (p *process) get(key string, answer func(storage.Row, error)) {
	inbox := p.inbox()
	p.w.after(latency, func() {
		row, err := p.w.table.get(key)
		inbox(latency, func() { answer(row, err) })
	})
}

func (p *process) put(key string, value []byte, expected storage.Revision, answer func(storage.Row, error)) {
	inbox := p.inbox()
	p.w.after(latency, func() {
		t := p.w.table
		t.delay = latency
		row, err := t.put(key, value, expected)
		if err == storage.ErrOutcomeUnknown {
			t.delay = callTimeout
		}
		inbox(t.delay, func() { answer(row, err) })
	})
}

// Faults of one call of the table.
const (
	refused    = iota + 1 // the call has no effect
	answerLost            // a write takes effect and its answer is lost
	writeLate             // a write takes effect later and its answer is lost
	writeLost             // a write has no effect and its answer is lost
	slow                  // a write takes effect and is answered late
	lagging               // a read returns an older state of the table
	faultCount = lagging
)

// state is a row from one write on; an absent row has no revision.
type state struct {
	serial int
	row    storage.Row
}

type table struct {
	w         *world
	rows      map[string][]state
	serial    int
	armed     []int
	downUntil time.Time
	// delay is the time to the answer of the present write.
	delay time.Duration
}

// fault returns the fault of the present call.
func (t *table) fault(write bool) int {
	switch {
	case t.w.healed:
		return 0
	case t.downUntil.After(t.w.now):
		return refused
	case len(t.armed) == 0:
		return 0
	}
	f := t.armed[0]
	if f != refused && write == (f == lagging) {
		return 0
	}
	t.armed = t.armed[1:]
	return f
}

// at returns the row as of a write's number.
func (t *table) at(key string, serial int) storage.Row {
	states := t.rows[key]
	for i := len(states) - 1; i >= 0; i-- {
		if states[i].serial <= serial {
			return states[i].row
		}
	}
	return storage.Row{}
}

// view returns the number of the write up to which a read sees the table.
func (t *table) view() (serial int, err error) {
	switch t.fault(false) {
	case refused:
		return 0, storage.ErrUnavailable
	case lagging:
		return t.serial - 1 - t.w.draw(4, "lag"), nil
	}
	return t.serial, nil
}

func (t *table) get(key string) (storage.Row, error) {
	serial, err := t.view()
	if err != nil {
		return storage.Row{}, err
	}
	row := t.at(key, serial)
	if row.Revision == "" {
		return row, storage.ErrNotFound
	}
	return row, nil
}

func (t *table) list(prefix, after string, limit int) ([]storage.Row, string, error) {
	serial, err := t.view()
	if err != nil {
		return nil, "", err
	}
	var rows []storage.Row
	for key := range t.rows {
		if row := t.at(key, serial); row.Revision != "" && strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(rows) <= limit {
		return rows, "", nil
	}
	return rows[:limit], rows[limit-1].Key, nil
}

func (t *table) apply(key string, value []byte, expected storage.Revision) (storage.Row, error) {
	if t.at(key, t.serial).Revision != expected {
		return storage.Row{}, storage.ErrConflict
	}
	t.serial++
	row := storage.Row{Key: key, Value: value, Revision: storage.Revision(fmt.Sprint(t.serial))}
	t.rows[key] = append(t.rows[key], state{serial: t.serial, row: row})
	return row, nil
}

func (t *table) put(key string, value []byte, expected storage.Revision) (storage.Row, error) {
	switch t.fault(true) {
	case refused:
		return storage.Row{}, storage.ErrUnavailable
	case answerLost:
		_, _ = t.apply(key, value, expected)
		return storage.Row{}, storage.ErrOutcomeUnknown
	case writeLate:
		t.w.after(time.Duration(t.w.draw(20_000, "late ms"))*time.Millisecond, func() { _, _ = t.apply(key, value, expected) })
		return storage.Row{}, storage.ErrOutcomeUnknown
	case writeLost:
		return storage.Row{}, storage.ErrOutcomeUnknown
	case slow:
		t.delay = time.Duration(1+t.w.draw(int(callTimeout/time.Millisecond), "slow ms")) * time.Millisecond
	}
	return t.apply(key, value, expected)
}

// any picks one of the processes.
func (w *world) any() *process {
	i := w.draw(len(w.agents)+len(w.routers), "process")
	if i < len(w.agents) {
		return &w.agents[i].process
	}
	return &w.routers[i-len(w.agents)].process
}

func (w *world) pause() {
	p := w.any()
	p.pausedUntil = w.now.Add(time.Duration(1+w.draw(30, "pause s")) * time.Second)
}

func (w *world) restart() {
	i := w.draw(len(w.agents)+len(w.routers), "process")
	if i < len(w.agents) {
		if w.agents[i].runs > 0 {
			reached["agent restarted with a run"]++
		}
		w.agents[i].start()
		return
	}
	r := w.routers[i-len(w.agents)]
	if w.draw(2, "leave") == 0 {
		r.start()
		return
	}
	r.lease.Leave(r.clock())
	r.deliver(time.Second, r.start)
}

func (w *world) outage() {
	w.table.downUntil = w.now.Add(time.Duration(1+w.draw(20, "outage s")) * time.Second)
}

func (w *world) arm() {
	for range 1 + w.draw(3, "faults") {
		w.table.armed = append(w.table.armed, 1+w.draw(faultCount, "fault"))
	}
}

func (w *world) pass() {
	w.advance(time.Duration(1+w.draw(4000, "pass ms")) * time.Millisecond)
}
