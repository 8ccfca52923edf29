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
	callLatency = 2 * time.Millisecond
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

// simulation holds the virtual time and the state on which a test sequence acts.
type simulation struct {
	t     *rapid.T
	now   time.Time
	queue eventQueue
	seq   int
	// faultsEnded turns off all faults.
	faultsEnded bool

	table   *table
	objects map[string][]byte
	agents  []*agent
	routers []*router

	claims  claimOracle
	orders  orderOracle
	changes catalogOracle
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_800_000_000, 0), objects: map[string][]byte{}}
	sim.table = &table{sim: sim, rows: map[string][]rowVersion{}}
	sim.claims.init()
	sim.orders.init()
	sim.changes.init(sim)
	for i := range 3 {
		sim.agents = append(sim.agents, newAgent(sim, i))
	}
	for i := range 2 {
		sim.routers = append(sim.routers, newRouter(sim, i))
	}
	return sim
}

// draw returns a number from 0 to n-1. rapid shrinks towards 0, which is therefore the
// simplest choice.
func (sim *simulation) draw(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(sim.t, label)
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, run: f})
}

func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// process is a process on a VM with its own clock. It can be paused and restarted.
type process struct {
	sim         *simulation
	incarnation int
	pausedUntil time.Time
	skew        time.Duration
}

func (p *process) clock() time.Time { return p.sim.now.Add(p.skew) }

// deliver runs f after d, or when a pause ends later. f does not run if the process
// has restarted by then.
func (p *process) deliver(d time.Duration, f func()) {
	p.inbox()(d, f)
}

// inbox returns a deliver function that can be called later and runs f only in the
// current incarnation.
func (p *process) inbox() func(d time.Duration, f func()) {
	incarnation := p.incarnation
	return func(d time.Duration, f func()) {
		var run func()
		run = func() {
			switch {
			case p.incarnation != incarnation:
			case p.pausedUntil.After(p.sim.now):
				p.sim.after(p.pausedUntil.Sub(p.sim.now), run)
			default:
				f()
			}
		}
		p.sim.after(d, run)
	}
}

// get reads a row of the table; the response is delivered to this incarnation only.
func (p *process) get(key string, answer func(storage.Row, error)) {
	inbox := p.inbox()
	p.sim.after(callLatency, func() {
		row, err := p.sim.table.get(key)
		inbox(callLatency, func() { answer(row, err) })
	})
}

// put writes a row of the table; the response is delivered to this incarnation only.
func (p *process) put(key string, value []byte, expected storage.Revision, answer func(storage.Row, error)) {
	inbox := p.inbox()
	p.sim.after(callLatency, func() {
		t := p.sim.table
		t.delay = callLatency
		row, err := t.put(key, value, expected)
		if err == storage.ErrOutcomeUnknown {
			t.delay = callTimeout
		}
		inbox(t.delay, func() { answer(row, err) })
	})
}

// Faults of one call to the table.
const (
	refused    = iota + 1 // the call has no effect
	answerLost            // a write takes effect and its response is lost
	writeLate             // a write takes effect later and its response is lost
	writeLost             // a write has no effect and its response is lost
	slow                  // a write takes effect and its response is late
	lagging               // a read returns an older state of the table
	faultCount = lagging
)

// rowVersion is the state of a row from one write until the next; an absent row has no
// revision.
type rowVersion struct {
	serial int
	row    storage.Row
}

type table struct {
	sim       *simulation
	rows      map[string][]rowVersion
	serial    int
	armed     []int
	downUntil time.Time
	// delay is the time until the response to the current write.
	delay time.Duration
}

// fault returns the fault of the current call, or 0.
func (t *table) fault(write bool) int {
	switch {
	case t.sim.faultsEnded:
		return 0
	case t.downUntil.After(t.sim.now):
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

// at returns the row as it was after the write with the serial number.
func (t *table) at(key string, serial int) storage.Row {
	states := t.rows[key]
	for i := len(states) - 1; i >= 0; i-- {
		if states[i].serial <= serial {
			return states[i].row
		}
	}
	return storage.Row{}
}

// visibleSerial returns the serial number of the last write that a read sees.
func (t *table) visibleSerial() (serial int, err error) {
	switch t.fault(false) {
	case refused:
		return 0, storage.ErrUnavailable
	case lagging:
		return t.serial - 1 - t.sim.draw(4, "lag"), nil
	}
	return t.serial, nil
}

func (t *table) get(key string) (storage.Row, error) {
	serial, err := t.visibleSerial()
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
	serial, err := t.visibleSerial()
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
	t.rows[key] = append(t.rows[key], rowVersion{serial: t.serial, row: row})
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
		t.sim.after(time.Duration(t.sim.draw(20_000, "late ms"))*time.Millisecond, func() { _, _ = t.apply(key, value, expected) })
		return storage.Row{}, storage.ErrOutcomeUnknown
	case writeLost:
		return storage.Row{}, storage.ErrOutcomeUnknown
	case slow:
		t.delay = time.Duration(1+t.sim.draw(int(callTimeout/time.Millisecond), "slow ms")) * time.Millisecond
	}
	return t.apply(key, value, expected)
}

// anyProcess returns a randomly drawn process.
func (sim *simulation) anyProcess() *process {
	i := sim.draw(len(sim.agents)+len(sim.routers), "process")
	if i < len(sim.agents) {
		return &sim.agents[i].process
	}
	return &sim.routers[i-len(sim.agents)].process
}

func (sim *simulation) pause() {
	p := sim.anyProcess()
	p.pausedUntil = sim.now.Add(time.Duration(1+sim.draw(30, "pause s")) * time.Second)
}

func (sim *simulation) restart() {
	i := sim.draw(len(sim.agents)+len(sim.routers), "process")
	if i < len(sim.agents) {
		if sim.agents[i].running > 0 {
			situationCounts["agent restarted with a run"]++
		}
		sim.agents[i].start()
		return
	}
	r := sim.routers[i-len(sim.agents)]
	if sim.draw(2, "leave") == 0 {
		r.start()
		return
	}
	r.election.Resign(r.clock())
	r.deliver(time.Second, r.start)
}

func (sim *simulation) outage() {
	sim.table.downUntil = sim.now.Add(time.Duration(1+sim.draw(20, "outage s")) * time.Second)
}

func (sim *simulation) armFaults() {
	for range 1 + sim.draw(3, "faults") {
		sim.table.armed = append(sim.table.armed, 1+sim.draw(faultCount, "fault"))
	}
}

func (sim *simulation) advanceRandomly() {
	sim.advance(time.Duration(1+sim.draw(4000, "pass ms")) * time.Millisecond)
}
