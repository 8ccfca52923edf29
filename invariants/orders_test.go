package invariants

import (
	"errors"
	"fmt"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/gate"
	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// router competes for the lease and sends orders and requests.
type router struct {
	process
	index  int
	member *member
	lease  *lease.Election
}

func newRouter(w *world, i int) *router {
	r := &router{process: process{w: w, skew: -time.Duration(i) * time.Hour}, index: i}
	r.start()
	return r
}

func (r *router) start() {
	r.incarnation++
	r.pausedUntil = time.Time{}
	r.lease = lease.NewElection(r.name())
	r.member = newMember(&r.process, fmt.Sprint("router", r.index))
	r.compete()
}

func (r *router) name() string { return fmt.Sprintf("router%d/%d", r.index, r.incarnation) }

// compete drives the lease as lease.Competitor does.
func (r *router) compete() {
	a, due := r.lease.Next(r.clock())
	if !due {
		r.deliver(max(100*time.Millisecond, r.lease.NextAt().Sub(r.clock())), r.compete)
		return
	}
	done := func(row storage.Row, err error) {
		r.lease.HandleResult(r.clock(), a, row, err)
		r.compete()
	}
	if a.Write {
		r.put(lease.RowKey("placement"), a.Value, a.Expected, done)
		return
	}
	r.get(lease.RowKey("placement"), done)
}

type orderOracle struct {
	holders map[uint64]string
	// seen is the highest number that reached an agent's incarnation.
	seen map[string]uint64
	// executed has the orders that an agent's incarnation executed.
	executed map[string]bool
	open     map[string]bool
	orders   int
}

func (o *orderOracle) init() {
	o.holders = map[uint64]string{}
	o.seen = map[string]uint64{}
	o.executed = map[string]bool{}
	o.open = map[string]bool{}
}

// check verifies that no two processes hold the lease and that no number has two
// holders.
func (o *orderOracle) check(w *world) {
	holder := ""
	for _, r := range w.routers {
		number, ok := r.lease.Held(r.clock())
		if !ok {
			continue
		}
		if holder != "" {
			w.t.Fatalf("%s and %s hold the lease", holder, r.name())
		}
		holder = r.name()
		if first := o.holders[number]; first != "" && first != holder {
			w.t.Fatalf("number %d was held by %s and %s", number, first, holder)
		}
		if number > 1 && o.holders[number] == "" {
			reached["lease taken over"]++
		}
		o.holders[number] = holder
	}
}

// order lets each holder send an order, which a pause may delay after the lease
// was checked. Some orders repeat an earlier id.
func (w *world) order() {
	for _, r := range w.routers {
		number, ok := r.lease.Held(r.clock())
		if !ok || r.pausedUntil.After(w.now) {
			continue
		}
		if w.draw(3, "repeat") != 2 {
			w.orders.orders++
		}
		o := gate.Order{ID: fmt.Sprint("o", w.orders.orders), FencingNumber: number}
		delay := latency + time.Duration(w.draw(4, "delay"))*8*time.Second
		a := w.agents[w.draw(len(w.agents), "agent")]
		w.after(delay, func() { a.deliver(0, func() { a.receive(o) }) })
	}
}

// receive drives the gate as gate.Keeper does.
func (a *agent) receive(o gate.Order) {
	seen := a.w.orders.seen
	if a.gate.Ready() {
		seen[a.name()] = max(seen[a.name()], o.FencingNumber)
		a.admit(o)
		return
	}
	a.get(lease.RowKey("placement"), func(row storage.Row, err error) {
		var record lease.Record
		if err == nil {
			record, err = lease.Decode(row.Value)
		}
		if err == nil || errors.Is(err, storage.ErrNotFound) {
			a.gate.SetLeaseNumber(record.Number)
			seen[a.name()] = max(seen[a.name()], record.Number)
		}
		if a.gate.Ready() {
			seen[a.name()] = max(seen[a.name()], o.FencingNumber)
		}
		a.admit(o)
	})
}

func (a *agent) admit(o gate.Order) {
	verdict, result := a.gate.Begin(o)
	switch {
	case verdict == gate.Repeat:
		reached["order repeated"]++
	case verdict == gate.Refuse && result.Err.Code == resultcode.FencingNumberOld:
		reached["order with an old number refused"]++
	}
	if verdict != gate.Execute {
		return
	}
	reached["order executed"]++
	oracle := &a.w.orders
	if o.FencingNumber < oracle.seen[a.name()] || oracle.seen[a.name()] == 0 {
		a.w.t.Fatalf("%s executed order %s with number %d, highest seen %d", a.name(), o.ID, o.FencingNumber, oracle.seen[a.name()])
	}
	id := a.name() + " " + o.ID
	if oracle.executed[id] {
		a.w.t.Fatalf("order executed twice: %s", id)
	}
	if oracle.open[a.name()] {
		a.w.t.Fatalf("%s executes two orders at a time", a.name())
	}
	oracle.executed[id] = true
	oracle.open[a.name()] = true
	name := a.name()
	a.deliver(time.Duration(a.w.draw(3000, "order ms"))*time.Millisecond, func() {
		oracle.open[name] = false
		a.gate.End(gate.Result{})
	})
}
