package dispatch

import (
	"strconv"
	"time"

	"github.com/pistachiowind/pistachiowind/router/recovery"
)

// group names the requests whose first-token times are comparable.
func (f *flight) group() string {
	name := f.req.Service.GetService()
	if f.req.Chat != nil {
		name = f.req.Chat.GetModel()
	}
	return name + "/" + strconv.Itoa(f.req.Profile.Tier)
}

func (f *flight) startHedgeTimer() {
	f.firstSent = time.Now()
	delay, known := f.opts.Budget.HedgeDelay(f.group())
	if known && f.req.Profile.Idempotent {
		f.hedge = time.NewTimer(delay)
	}
}

// hedgeDue returns the channel of the hedge timer, or nil without one.
func (f *flight) hedgeDue() <-chan time.Time {
	if f.hedge == nil {
		return nil
	}
	return f.hedge.C
}

// late handles a request whose first token has not arrived in the usual time: the
// endpoint is reported, and a second attempt is sent if the budget allows it.
func (f *flight) late() recovery.Action {
	now := time.Now()
	f.hedge = nil
	for _, c := range f.calls {
		if !c.first && !c.ended && !c.startedAt.IsZero() {
			f.opts.Fleet.FirstTokenPending(now, c.target, now.Sub(c.startedAt))
		}
	}
	waited := now.Sub(f.firstSent)
	if !f.machine.MayHedge() || !f.opts.Budget.Hedge(f.req.Profile.Tier, f.req.Account.Name, f.group(), waited) {
		return recovery.Action{}
	}
	return f.place(recovery.Action{Kind: recovery.Send}, HedgeAttempt)
}

// lead makes an attempt the one that the caller reads and gives the others up.
func (f *flight) lead(c *call) {
	if f.leader == c {
		return
	}
	f.leader = c
	for _, other := range f.calls {
		if other != c {
			f.giveUp(other)
		}
	}
}
