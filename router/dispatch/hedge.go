package dispatch

import (
	"strconv"
	"time"

	"github.com/pistachiowind/pistachiowind/router/recovery"
)

// latencyGroup returns the group of requests whose first-token times are comparable:
// those with the same model or service and the same tier.
func (f *inFlightRequest) latencyGroup() string {
	name := f.req.Service.GetService()
	if f.req.Chat != nil {
		name = f.req.Chat.GetModel()
	}
	return name + "/" + strconv.Itoa(f.req.Profile.Tier)
}

// startHedgeTimer records when the first attempt is sent and starts the timer for a
// hedge if the request is idempotent and the delay is known.
func (f *inFlightRequest) startHedgeTimer() {
	f.firstSent = time.Now()
	delay, known := f.opts.Budget.HedgeDelay(f.latencyGroup())
	if known && f.req.Profile.Idempotent {
		f.hedgeTimer = time.NewTimer(delay)
	}
}

// hedgeDue returns the channel of the hedge timer, or nil without one.
func (f *inFlightRequest) hedgeDue() <-chan time.Time {
	if f.hedgeTimer == nil {
		return nil
	}
	return f.hedgeTimer.C
}

// handleLateFirstToken handles a request whose first token has not arrived within the
// hedge delay: it reports the pending time to the fleet and sends a second attempt if
// the budget allows it.
func (f *inFlightRequest) handleLateFirstToken() recovery.Action {
	now := time.Now()
	f.hedgeTimer = nil
	for _, att := range f.attempts {
		if !att.firstTokenSeen && !att.ended && !att.startedAt.IsZero() {
			f.opts.Fleet.FirstTokenPending(now, att.target, now.Sub(att.startedAt))
		}
	}
	waited := now.Sub(f.firstSent)
	if !f.machine.MayHedge() || !f.opts.Budget.Hedge(f.req.Profile.Tier, f.req.Account.Name, f.latencyGroup(), waited) {
		return recovery.Action{}
	}
	return f.sendAttempt(recovery.Action{Kind: recovery.Send}, HedgeAttempt)
}

// setLeader makes an attempt the one whose chunks the caller gets and abandons the
// others.
func (f *inFlightRequest) setLeader(att *attempt) {
	if f.leader == att {
		return
	}
	f.leader = att
	for _, other := range f.attempts {
		if other != att {
			f.abandon(other)
		}
	}
}
