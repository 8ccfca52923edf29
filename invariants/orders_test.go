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

// router competes for the lease, sends orders while it holds the lease, and forwards
// the callers' requests.
type router struct {
	process
	index    int
	member   *catalogMember
	election *lease.Election
}

func newRouter(sim *simulation, i int) *router {
	r := &router{process: process{sim: sim, skew: -time.Duration(i) * time.Hour}, index: i}
	r.start()
	return r
}

func (r *router) start() {
	r.incarnation++
	r.pausedUntil = time.Time{}
	r.election = lease.NewElection(r.name())
	r.member = newCatalogMember(&r.process, fmt.Sprint("router", r.index))
	r.compete()
}

func (r *router) name() string { return fmt.Sprintf("router%d/%d", r.index, r.incarnation) }

// compete runs the lease in the same way as lease.Elector.
func (r *router) compete() {
	a, due := r.election.Next(r.clock())
	if !due {
		r.deliver(max(100*time.Millisecond, r.election.NextAt().Sub(r.clock())), r.compete)
		return
	}
	done := func(row storage.Row, err error) {
		r.election.HandleResult(r.clock(), a, row, err)
		r.compete()
	}
	if a.Write {
		r.put(lease.RowKey("placement"), a.Value, a.Expected, done)
		return
	}
	r.get(lease.RowKey("placement"), done)
}

// orderOracle checks that the lease has one holder at a time and that agents execute
// orders only with a current fencing number.
type orderOracle struct {
	holders map[uint64]string
	// seen is the highest fencing number that reached each incarnation of an agent.
	seen map[string]uint64
	// executed is the set of orders that each incarnation of an agent executed.
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

// check verifies that no two processes hold the lease at the same time and that no
// fencing number has had two holders.
func (o *orderOracle) check(sim *simulation) {
	holder := ""
	for _, r := range sim.routers {
		number, ok := r.election.Held(r.clock())
		if !ok {
			continue
		}
		if holder != "" {
			sim.t.Fatalf("%s and %s hold the lease at the same time", holder, r.name())
		}
		holder = r.name()
		if first := o.holders[number]; first != "" && first != holder {
			sim.t.Fatalf("fencing number %d was held by %s and %s", number, first, holder)
		}
		if number > 1 && o.holders[number] == "" {
			situationCounts["lease taken over"]++
		}
		o.holders[number] = holder
	}
}

// sendOrders lets the lease holder send an order, which may arrive up to 24 s after
// the lease was checked, as if the sender had been paused. Some orders reuse an
// earlier ID.
func (sim *simulation) sendOrders() {
	for _, r := range sim.routers {
		number, ok := r.election.Held(r.clock())
		if !ok || r.pausedUntil.After(sim.now) {
			continue
		}
		if sim.draw(3, "repeat") != 2 {
			sim.orders.orders++
		}
		o := gate.Order{ID: fmt.Sprint("o", sim.orders.orders), FencingNumber: number}
		delay := callLatency + time.Duration(sim.draw(4, "delay"))*8*time.Second
		a := sim.agents[sim.draw(len(sim.agents), "agent")]
		sim.after(delay, func() { a.deliver(0, func() { a.receive(o) }) })
	}
}

// receive passes an order to the gate in the same way as gate.OrderServer.
func (a *agent) receive(o gate.Order) {
	seen := a.sim.orders.seen
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
	decision, result := a.gate.Begin(o)
	switch {
	case decision == gate.Repeat:
		situationCounts["order repeated"]++
	case decision == gate.Refuse && result.Err.Code == resultcode.FencingNumberOld:
		situationCounts["order with an old number refused"]++
	}
	if decision != gate.Execute {
		return
	}
	situationCounts["order executed"]++
	oracle := &a.sim.orders
	if o.FencingNumber < oracle.seen[a.name()] || oracle.seen[a.name()] == 0 {
		a.sim.t.Fatalf("%s executed order %s with fencing number %d, highest seen %d", a.name(), o.ID, o.FencingNumber, oracle.seen[a.name()])
	}
	id := a.name() + " " + o.ID
	if oracle.executed[id] {
		a.sim.t.Fatalf("order executed twice: %s", id)
	}
	if oracle.open[a.name()] {
		a.sim.t.Fatalf("%s executes two orders at the same time", a.name())
	}
	oracle.executed[id] = true
	oracle.open[a.name()] = true
	name := a.name()
	a.deliver(time.Duration(a.sim.draw(3000, "order ms"))*time.Millisecond, func() {
		oracle.open[name] = false
		a.gate.End(gate.Result{})
	})
}
