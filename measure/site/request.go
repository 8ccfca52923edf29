package site

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/budget"
	"github.com/pistachiowind/pistachiowind/router/health"
	"github.com/pistachiowind/pistachiowind/router/recovery"
)

const (
	// maxAttempts and paceTokens are those of package dispatch.
	maxAttempts = 4
	paceTokens  = 8
)

// frameKind names a message from an agent about an attempt.
type frameKind int

const (
	frameAccepted frameKind = iota
	frameStarted
	frameChunk
	frameDone
	frameRefused
)

type frame struct {
	kind     frameKind
	index    int
	err      *resultcode.Error
	report   report
	evidence []quarantine.Record
}

// flight is one request at its router.
type flight struct {
	arrival
	router      *siteRouter
	machine     *recovery.Machine
	fingerprint quarantine.Fingerprint
	arrived     time.Time
	model       int
	attempts    map[uint64]*attempt
	tried       []string
	redirect    bool
	over        bool
	first       time.Time
	last        time.Time
	forwarded   int
	late        int
}

// attempt is one Run of a flight.
type attempt struct {
	flight    *flight
	ticket    uint64
	endpoint  int
	from      int
	sentAt    time.Time
	startedAt time.Time
	first     bool
	ended     bool
	paceFrom  time.Time
	paceCount int
	evidence  []quarantine.Record
}

// send delivers a frame to the router after the delay of the network.
func (a *attempt) send(e *endpoint, m frame) {
	s := e.site
	s.after(s.delay(e.zone, a.flight.router.zone), func() { a.flight.receive(a, m) })
}

// submit starts a request at its router.
func (r *siteRouter) submit(f *flight) {
	f.router = r
	f.machine = recovery.New(recovery.Options{
		Idempotent: !f.class.Once, HasKey: f.class.Once, Text: !f.class.Once,
		Buffered: f.class.Once, MaxAttempts: maxAttempts,
	})
	if r.site.policy.place == nil && r.quarantine.Verdict(r.site.now, f.fingerprint) == quarantine.Condemned {
		f.end(resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints"))
		return
	}
	r.budgets[f.class.Tier].First(f.account())
	f.carryOut(recovery.Action{Kind: recovery.Send})
	if delay, known := r.hedger.Delay(group(f)); known && !f.class.Once && r.site.policy.place == nil {
		r.site.after(delay, f.lateFirst)
	}
}

func (f *flight) account() string { return "account-" + strconv.Itoa(f.arrival.account) }

func (f *flight) next(e recovery.Event) recovery.Action {
	return f.machine.Next(f.router.site.now, e)
}

func (f *flight) carryOut(a recovery.Action) {
	for {
		for _, ticket := range a.Renounce {
			f.renounce(f.attempts[ticket])
		}
		switch a.Kind {
		case recovery.Send:
			if a.Restart {
				f.forwarded = 0
			}
			a = f.send(a)
			continue
		case recovery.Attach:
			a = f.next(recovery.Event{Kind: recovery.AttachFailed, Attempt: a.Attempt})
			continue
		case recovery.Finish:
			f.end(nil)
		case recovery.Fail:
			f.end(a.Error)
		}
		return
	}
}

// send applies the budget and starts an attempt.
func (f *flight) send(a recovery.Action) recovery.Action {
	if len(f.attempts) > 0 {
		use := budget.Retry
		if f.redirect {
			use = budget.Redirect
		}
		if !f.router.budgets[f.class.Tier].Spend(f.account(), use) {
			return f.next(recovery.Event{Kind: recovery.BudgetRefused})
		}
	}
	return f.place(a)
}

func (f *flight) place(a recovery.Action) recovery.Action {
	r := f.router
	s := r.site
	if a.KeepEndpoint && len(f.tried) > 0 {
		f.tried = f.tried[:len(f.tried)-1]
	}
	index, err := r.choose(f)
	if err != nil {
		return f.next(recovery.Event{Kind: recovery.NoEndpoint, Error: err})
	}
	s.tickets++
	at := &attempt{flight: f, ticket: s.tickets, endpoint: index, from: int(a.From), sentAt: s.now}
	if action := f.next(recovery.Event{Kind: recovery.AttemptSent, Attempt: at.ticket}); action.Kind == recovery.Drop {
		return recovery.Action{}
	}
	if f.attempts == nil {
		f.attempts = make(map[uint64]*attempt)
	}
	f.attempts[at.ticket] = at
	f.redirect = false
	f.tried = append(f.tried, r.endpoints[index].ID)
	r.endpoints[index].Unreported++
	r.open[index]++
	if rec, ok := r.quarantine.Lookup(s.now, f.fingerprint); ok {
		at.evidence = []quarantine.Record{rec}
	}
	e := s.endpoints[index]
	s.after(s.delay(r.zone, e.zone), func() { e.submit(at) })
	return recovery.Action{}
}

// close ends the count of an open attempt.
func (f *flight) close(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	r := f.router
	r.open[a.endpoint]--
	c := &r.endpoints[a.endpoint]
	if a.sentAt.After(c.Load.At) {
		c.Unreported = max(c.Unreported-1, 0)
	}
}

// receive handles a frame of an attempt.
func (f *flight) receive(a *attempt, m frame) {
	r := f.router
	r.heard(a.endpoint, m.report)
	if a.ended {
		return
	}
	switch m.kind {
	case frameStarted:
		a.startedAt = r.site.now
		f.carryOut(f.next(recovery.Event{Kind: recovery.Started, Attempt: a.ticket}))
	case frameChunk:
		f.chunk(a, m)
	case frameDone:
		f.close(a)
		r.observe(a, health.Success, 0)
		f.carryOut(f.next(recovery.Event{Kind: recovery.Done, Attempt: a.ticket}))
	case frameRefused:
		f.refused(a, m)
	}
}

func (f *flight) refused(a *attempt, m frame) {
	r := f.router
	f.close(a)
	f.redirect = m.err.Verdict() == resultcode.NotRun
	r.quarantine.Merge(r.site.now, m.evidence)
	switch {
	case m.err.Code/1000 == 2:
		r.observe(a, health.Refusal, 0)
	case m.err.Code == resultcode.EndpointFailed:
		r.observe(a, health.Failure, 0)
	}
	if r.site.policy.place == nil && r.quarantine.Verdict(r.site.now, f.fingerprint) == quarantine.Condemned {
		m.err = resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints").WithExecution(m.err.Verdict())
	}
	f.carryOut(f.next(recovery.Event{
		Kind: recovery.Refused, Attempt: a.ticket, Error: m.err, Execution: m.err.Verdict(),
	}))
}

func (f *flight) chunk(a *attempt, m frame) {
	r := f.router
	now := r.site.now
	if !a.first {
		a.first = true
		r.observe(a, health.FirstToken, now.Sub(a.startedAt))
	}
	f.pace(a, now)
	action := f.next(recovery.Event{Kind: recovery.Chunk, Attempt: a.ticket, Index: uint32(m.index)})
	if action.Kind == recovery.Forward {
		f.forward(now)
	}
	f.carryOut(action)
}

func (f *flight) pace(a *attempt, now time.Time) {
	if a.paceFrom.IsZero() {
		a.paceFrom = now
		return
	}
	a.paceCount++
	if a.paceCount == paceTokens {
		f.router.observe(a, health.InterToken, now.Sub(a.paceFrom)/paceTokens)
		a.paceFrom, a.paceCount = now, 0
	}
}

func (f *flight) forward(now time.Time) {
	f.forwarded++
	if f.first.IsZero() {
		f.first = now
		f.router.hedger.Observe(group(f), now.Sub(f.arrived))
	} else if f.class.InterToken > 0 && now.Sub(f.last) > f.class.InterToken {
		f.late++
	}
	f.last = now
}

// lateFirst handles a request whose first token has not arrived in the usual time.
func (f *flight) lateFirst() {
	r := f.router
	now := r.site.now
	if f.over || !f.first.IsZero() {
		return
	}
	for _, ticket := range slices.Sorted(maps.Keys(f.attempts)) {
		a := f.attempts[ticket]
		if !a.first && !a.ended && !a.startedAt.IsZero() {
			r.observe(a, health.FirstTokenPending, now.Sub(a.startedAt))
		}
	}
	if f.machine.MayHedge() && r.hedger.Allow(r.budgets[f.class.Tier], f.account(), group(f), true, now.Sub(f.arrived)) {
		r.site.result.Hedges++
		f.carryOut(f.place(recovery.Action{Kind: recovery.Send}))
	}
}

func (f *flight) renounce(a *attempt) {
	f.close(a)
	s := f.router.site
	e := s.endpoints[a.endpoint]
	delay := s.delay(f.router.zone, e.zone)
	s.after(delay, func() {
		word := e.renounce(a, jobID(a.ticket))
		s.after(delay, func() {
			f.carryOut(f.next(recovery.Event{
				Kind: recovery.RenounceAnswered, Attempt: a.ticket, SameIncarnation: true, Execution: word,
			}))
		})
	})
}

func (f *flight) end(err *resultcode.Error) {
	if f.over {
		return
	}
	f.over = true
	f.router.site.ended(f, err)
}
