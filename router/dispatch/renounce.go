package dispatch

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// renounce asks the agent to give an attempt up. The answer becomes an event of the
// request.
func (f *inFlightRequest) renounce(ticket uint64) {
	att := f.attempts[ticket]
	answers := f.renounceResults
	go func() {
		e := f.askRenounce(context.WithoutCancel(f.ctx), att)
		select {
		case answers <- e:
		default:
		}
	}()
}

// askRenounce calls Renounce at the attempt's agent and returns the resulting event.
func (f *inFlightRequest) askRenounce(ctx context.Context, att *attempt) recovery.Event {
	ctx, cancel := context.WithTimeout(ctx, recovery.RenounceTimeout)
	defer cancel()
	agent := rpc.NewAgentProtobufClient(f.opts.Client.URL(att.target.Address), f.opts.Client.HTTPClient())
	resp, err := agent.Renounce(ctx, &rpc.RenounceRequest{
		Attempt: &rpc.AttemptID{Router: f.opts.Router, Ticket: att.ticket},
		Agent:   att.target.Incarnation,
	})
	if err != nil {
		f.opts.Observer.Renounced(RenounceFailed)
		return recovery.Event{Kind: recovery.RenounceFailed, Attempt: att.ticket}
	}
	execution := resp.GetExecution().ToResultcode()
	f.opts.Observer.Renounced(string(execution))
	return recovery.Event{
		Kind:            recovery.RenounceAnswered,
		Attempt:         att.ticket,
		SameIncarnation: resp.GetAgent() == att.target.Incarnation,
		Execution:       execution,
	}
}

// close releases what the request still holds: streams, and the slots at endpoints of
// attempts that have not ended.
func (f *inFlightRequest) close() {
	now := time.Now()
	if f.hedgeTimer != nil {
		f.hedgeTimer.Stop()
	}
	for _, att := range f.attempts {
		f.opts.Fleet.Closed(now, att.target)
		f.abandon(att)
	}
}

// abandon closes an attempt's stream and, if the attempt has not ended, renounces it
// to free its slot at the endpoint.
func (f *inFlightRequest) abandon(att *attempt) {
	att.stream.close()
	f.reportAttemptEnd(att, resultcode.AttemptRenounced)
	if att.ended {
		return
	}
	att.ended = true
	go f.askRenounce(context.WithoutCancel(f.ctx), att)
}
