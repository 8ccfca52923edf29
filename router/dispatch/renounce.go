package dispatch

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// renounce asks the agent to give an attempt up and reports its answer.
func (f *flight) renounce(ticket uint64) {
	c := f.calls[ticket]
	answers := f.answers
	go func() {
		e := f.askRenounce(context.WithoutCancel(f.ctx), c)
		select {
		case answers <- e:
		default:
		}
	}()
}

func (f *flight) askRenounce(ctx context.Context, c *call) recovery.Event {
	ctx, cancel := context.WithTimeout(ctx, recovery.RenounceTimeout)
	defer cancel()
	agent := rpc.NewAgentProtobufClient(f.opts.Client.URL(c.target.Address), f.opts.Client.HTTPClient())
	resp, err := agent.Renounce(ctx, &rpc.RenounceRequest{
		Attempt: &rpc.AttemptID{Router: f.opts.Router, Ticket: c.ticket},
		Agent:   c.target.Incarnation,
	})
	if err != nil {
		f.opts.Observer.Renounced(RenounceFailed)
		return recovery.Event{Kind: recovery.RenounceFailed, Attempt: c.ticket}
	}
	verdict := resp.GetExecution().Verdict()
	f.opts.Observer.Renounced(string(verdict))
	return recovery.Event{
		Kind:            recovery.RenounceAnswered,
		Attempt:         c.ticket,
		SameIncarnation: resp.GetAgent() == c.target.Incarnation,
		Execution:       verdict,
	}
}

// close frees what the request still holds: streams, and slots at endpoints of
// attempts that have not ended.
func (f *flight) close() {
	now := time.Now()
	if f.hedge != nil {
		f.hedge.Stop()
	}
	for _, c := range f.calls {
		f.opts.Fleet.Closed(now, c.target)
		f.giveUp(c)
	}
}

// giveUp closes an attempt's stream and frees its slot if it has not ended.
func (f *flight) giveUp(c *call) {
	c.stream.close()
	f.attemptEnded(c, resultcode.AttemptRenounced)
	if c.ended {
		return
	}
	c.ended = true
	go f.askRenounce(context.WithoutCancel(f.ctx), c)
}
