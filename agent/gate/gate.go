// Package gate admits orders to an endpoint. Not every endpoint checks who sends
// an order, and some ignore fencing numbers, so the agent refuses orders of
// former lease holders and executes each order once.
package gate

import (
	"bytes"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// MaxEnded bounds the ended orders that are remembered. An order that is repeated
// after 1,024 others is executed again.
const MaxEnded = 1024

// Order is an order as the gate sees it.
type Order struct {
	ID string
	// Number is the sender's fencing number.
	Number uint64
	// Digest is of the order's content.
	Digest []byte
}

// Result is the end of an order; a nil error means that it was executed.
type Result struct {
	Err *resultcode.Error
}

// Verdict is what to do with an order.
type Verdict int

// Verdicts of the gate.
const (
	// Execute means that the order is to be executed now, followed by End.
	Execute Verdict = iota + 1
	// Repeat means that the order was executed before, with the given Result.
	Repeat
	// Refuse means that the order is not executed; Result.Err says why.
	Refuse
)

type ended struct {
	digest []byte
	result Result
}

// Gate decides on orders of one lease. It is not safe for concurrent use.
type Gate struct {
	ready   bool
	highest uint64
	// current is the order in execution; orders are executed one at a time, so
	// that an order of a former holder cannot take effect after a newer one.
	current *Order
	ended   *simplelru.LRU[string, ended]
}

// New returns a Gate that refuses orders until LeaseRead is called.
func New() *Gate {
	lru, err := simplelru.NewLRU[string, ended](MaxEnded, nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &Gate{ended: lru}
}

// LeaseRead records the fencing number in the lease's row, 0 without a row.
func (g *Gate) LeaseRead(number uint64) {
	g.ready = true
	g.highest = max(g.highest, number)
}

// Ready reports whether the lease's row has been read.
func (g *Gate) Ready() bool { return g.ready }

// Highest returns the highest fencing number seen.
func (g *Gate) Highest() uint64 { return g.highest }

// Begin decides on an order. The order's number counts as seen, also when the
// order is refused for another reason.
func (g *Gate) Begin(o Order) (Verdict, Result) {
	switch {
	case !g.ready:
		return refuse(resultcode.FencingNumberNotSet, "the lease row has not been read")
	case o.Number < g.highest || o.Number == 0:
		return refuse(resultcode.FencingNumberOld, "order has number %d, the highest seen is %d", o.Number, g.highest)
	}
	g.highest = o.Number
	if e, ok := g.ended.Peek(o.ID); ok {
		if !bytes.Equal(e.digest, o.Digest) {
			return refuse(resultcode.IdempotencyKeyReused, "order id %s belongs to another order", o.ID)
		}
		return Repeat, e.result
	}
	if g.current != nil {
		return refuse(resultcode.KeyInProgress, "order %s is in execution", g.current.ID)
	}
	g.current = &o
	return Execute, Result{}
}

// End records the result of the order in execution.
func (g *Gate) End(r Result) {
	if g.current == nil {
		return
	}
	g.ended.Add(g.current.ID, ended{digest: g.current.Digest, result: r})
	g.current = nil
}

func refuse(code resultcode.Code, format string, args ...any) (Verdict, Result) {
	return Refuse, Result{Err: resultcode.New(code, format, args...)}
}
