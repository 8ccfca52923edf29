// Package gate decides which orders of the lease holder the agent passes on to its
// endpoint. Not every endpoint checks who sends an order, and some ignore fencing
// numbers, so the agent refuses orders of former lease holders and executes each
// order once.
package gate

import (
	"bytes"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// MaxEndedOrders bounds the ended orders that are remembered. An order that is
// repeated after 1,024 others is executed again.
const MaxEndedOrders = 1024

// Order is the part of an order by which the gate decides.
type Order struct {
	ID string
	// FencingNumber is the sender's fencing number.
	FencingNumber uint64
	// Digest is the hash of the order's content.
	Digest []byte
}

// Result is the result of an order; a nil Err means that it was executed.
type Result struct {
	Err *resultcode.Error
}

// Decision is what to do with an order.
type Decision int

// Decisions of the gate.
const (
	// Execute means that the caller executes the order now and then calls End.
	Execute Decision = iota + 1
	// Repeat means that the order ended before with the returned Result, which the
	// caller sends again.
	Repeat
	// Refuse means that the order is not executed; Result.Err says why.
	Refuse
)

// endedOrder is what is remembered of an order after its execution.
type endedOrder struct {
	digest []byte
	result Result
}

// Gate decides on the orders of one lease. It is not safe for concurrent use.
type Gate struct {
	leaseRead     bool
	highestNumber uint64
	// executing is the order in execution; orders are executed one at a time, so
	// that an order of a former holder cannot take effect after a newer one.
	executing   *Order
	endedOrders *simplelru.LRU[string, endedOrder]
}

// New returns a Gate that refuses all orders until it knows the number in the lease's
// row.
func New() *Gate {
	lru, err := simplelru.NewLRU[string, endedOrder](MaxEndedOrders, nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &Gate{endedOrders: lru}
}

// SetLeaseNumber records the fencing number in the lease's row, which is 0 if there is
// no row. From then on the gate admits orders.
func (g *Gate) SetLeaseNumber(number uint64) {
	g.leaseRead = true
	g.highestNumber = max(g.highestNumber, number)
}

// Ready reports whether the lease's row has been read.
func (g *Gate) Ready() bool { return g.leaseRead }

// HighestFencingNumber returns the highest fencing number seen.
func (g *Gate) HighestFencingNumber() uint64 { return g.highestNumber }

// Begin decides on an order. Its fencing number counts as seen unless the number
// itself is the reason for a refusal or the lease's row has not been read.
func (g *Gate) Begin(o Order) (Decision, Result) {
	switch {
	case !g.leaseRead:
		return refuse(resultcode.FencingNumberNotSet, "the lease row has not been read")
	case o.FencingNumber < g.highestNumber || o.FencingNumber == 0:
		return refuse(resultcode.FencingNumberOld, "order has number %d, the highest seen is %d", o.FencingNumber, g.highestNumber)
	}
	g.highestNumber = o.FencingNumber
	if e, ok := g.endedOrders.Peek(o.ID); ok {
		if !bytes.Equal(e.digest, o.Digest) {
			return refuse(resultcode.IdempotencyKeyReused, "order id %s belongs to another order", o.ID)
		}
		return Repeat, e.result
	}
	if g.executing != nil {
		return refuse(resultcode.KeyInProgress, "order %s is in execution", g.executing.ID)
	}
	g.executing = &o
	return Execute, Result{}
}

// End records the result of the order in execution; without one it does nothing.
func (g *Gate) End(r Result) {
	if g.executing == nil {
		return
	}
	g.endedOrders.Add(g.executing.ID, endedOrder{digest: g.executing.Digest, result: r})
	g.executing = nil
}

func refuse(code resultcode.Code, format string, args ...any) (Decision, Result) {
	return Refuse, Result{Err: resultcode.New(code, format, args...)}
}
