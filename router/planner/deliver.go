package planner

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/lease"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Outcome is the result of an order.
type Outcome string

// Outcomes of orders.
const (
	// OrderDone means that the endpoint executed the order.
	OrderDone Outcome = "done"
	// OrderFailed means that the agent or its endpoint refused the order, or that the
	// endpoint no longer exists.
	OrderFailed Outcome = "failed"
	// OrderUnknown means that no result was known in time: the agent did not answer,
	// was still executing this or another order, or could not read the lease row.
	OrderUnknown Outcome = "unknown"
	// OrderNotHeld means that the lease was lost before the order had ended.
	OrderNotHeld Outcome = "not_held"
)

// sendTimeout bounds one call. After a timeout the agent continues to execute the
// order, and the next send with the same ID returns its result.
const sendTimeout = 4 * time.Second

// delivery sends one order until its outcome is known.
type delivery struct {
	service       *Service
	elector       *lease.Elector
	fencingNumber uint64
	order         Order
}

func (d *delivery) run(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, d.service.options.OrderTimeout)
	defer cancel()
	outcome := d.deliver(bounded)
	s := d.service
	s.mu.Lock()
	s.planner.Ended(time.Now(), d.order, outcome == OrderDone)
	s.mu.Unlock()
	s.options.Observer.OrderEnded(outcome)
}

func (d *delivery) deliver(ctx context.Context) Outcome {
	ticker := time.NewTicker(d.service.options.Retry)
	defer ticker.Stop()
	for {
		if outcome := d.send(ctx); outcome != OrderUnknown {
			return outcome
		}
		select {
		case <-ctx.Done():
			return OrderUnknown
		case <-ticker.C:
		}
	}
}

// send sends the order once. OrderUnknown means that it must be sent again.
func (d *delivery) send(ctx context.Context) Outcome {
	address, ok := d.address()
	if !ok {
		return OrderFailed
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	req := d.request()
	// Held reads the clock directly before the send, so that a process that was paused
	// does not send an order under an expired lease.
	if number, held := d.elector.Held(); !held || number != d.fencingNumber {
		return OrderNotHeld
	}
	resp, err := d.service.options.Sender.Order(ctx, address, req)
	switch {
	case err != nil:
		return OrderUnknown
	case resp.GetDone():
		return OrderDone
	}
	switch resultcode.Code(resp.GetCode()) {
	case resultcode.KeyInProgress, resultcode.FencingNumberNotSet:
		// The agent is still executing this or another order, or could not read the
		// lease row.
		return OrderUnknown
	}
	return OrderFailed
}

// address returns the current address of the agent; false if the endpoint no longer
// exists.
func (d *delivery) address() (string, bool) {
	for _, m := range d.service.options.Fleet.Members(time.Now()) {
		if m.Name == d.order.Endpoint {
			return m.Address, true
		}
	}
	return "", false
}

func (d *delivery) request() *rpc.OrderRequest {
	req := &rpc.OrderRequest{
		Lease:         d.service.options.Lease,
		FencingNumber: d.fencingNumber,
		OrderId:       d.order.ID,
	}
	m := d.order.Model
	if d.order.Load {
		req.Order = &rpc.OrderRequest_LoadModel{LoadModel: &rpc.LoadModel{Model: m.Name, Version: m.Version}}
	} else {
		req.Order = &rpc.OrderRequest_UnloadModel{UnloadModel: &rpc.UnloadModel{Model: m.Name, Version: m.Version}}
	}
	return req
}
