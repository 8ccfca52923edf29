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
	// maxAttempts and intervalsPerReport equal defaultMaxAttempts and
	// intervalsPerReport of package dispatch.
	maxAttempts        = 4
	intervalsPerReport = 8
)

// frameKind is the kind of a frame, a message from an agent about an attempt.
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

// request is one request with its state at its router.
type request struct {
	arrival
	router          *siteRouter
	machine         *recovery.Machine
	fingerprint     quarantine.Fingerprint
	arrived         time.Time
	model           int
	attempts        map[uint64]*attempt
	triedEndpoints  []string
	nextIsRedirect  bool
	ended           bool
	firstTokenAt    time.Time
	lastTokenAt     time.Time
	forwardedTokens int
	lateTokens      int
}

// attempt is one Run call of a request.
type attempt struct {
	request       *request
	ticket        uint64
	endpoint      int
	firstIndex    int
	sentAt        time.Time
	startedAt     time.Time
	gotFirstToken bool
	ended         bool
	intervalStart time.Time
	intervalCount int
	evidence      []quarantine.Record
}

// deliver hands a frame to the router after the network delay.
func (a *attempt) deliver(e *endpoint, m frame) {
	s := e.sim
	s.scheduleAfter(s.networkDelay(e.zone, a.request.router.zone), func() { a.request.handleFrame(a, m) })
}

// submit starts a request at the router.
func (r *siteRouter) submit(req *request) {
	req.router = r
	req.machine = recovery.New(recovery.Options{
		Idempotent: !req.class.NonIdempotent, HasKey: req.class.NonIdempotent, Text: !req.class.NonIdempotent,
		Buffered: req.class.NonIdempotent, MaxAttempts: maxAttempts,
	})
	if r.sim.policy.choose == nil && r.quarantine.Status(r.sim.now, req.fingerprint) == quarantine.Condemned {
		req.finish(resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints"))
		return
	}
	r.budgets[req.class.Tier].RecordFirst(req.account())
	req.perform(recovery.Action{Kind: recovery.Send})
	if delay, known := r.hedger.Delay(hedgeGroup(req)); known && !req.class.NonIdempotent && r.sim.policy.choose == nil {
		r.sim.scheduleAfter(delay, req.handleLateFirstToken)
	}
}

func (req *request) account() string { return "account-" + strconv.Itoa(req.arrival.account) }

func (req *request) nextAction(e recovery.Event) recovery.Action {
	return req.machine.Next(req.router.sim.now, e)
}

func (req *request) perform(a recovery.Action) {
	for {
		for _, ticket := range a.Renounce {
			req.renounce(req.attempts[ticket])
		}
		switch a.Kind {
		case recovery.Send:
			if a.Restart {
				req.forwardedTokens = 0
			}
			a = req.sendWithinBudget(a)
			continue
		case recovery.Attach:
			a = req.nextAction(recovery.Event{Kind: recovery.AttachFailed, Attempt: a.Attempt})
			continue
		case recovery.Finish:
			req.finish(nil)
		case recovery.Fail:
			req.finish(a.Error)
		}
		return
	}
}

// sendWithinBudget starts an attempt if it is the first or the retry budget
// allows another one.
func (req *request) sendWithinBudget(a recovery.Action) recovery.Action {
	if len(req.attempts) > 0 {
		use := budget.Retry
		if req.nextIsRedirect {
			use = budget.Redirect
		}
		if !req.router.budgets[req.class.Tier].Spend(req.account(), use) {
			return req.nextAction(recovery.Event{Kind: recovery.BudgetRefused})
		}
	}
	return req.sendAttempt(a)
}

func (req *request) sendAttempt(a recovery.Action) recovery.Action {
	r := req.router
	s := r.sim
	if a.KeepEndpoint && len(req.triedEndpoints) > 0 {
		req.triedEndpoints = req.triedEndpoints[:len(req.triedEndpoints)-1]
	}
	index, err := r.choose(req)
	if err != nil {
		return req.nextAction(recovery.Event{Kind: recovery.NoEndpoint, Error: err})
	}
	s.lastTicket++
	at := &attempt{request: req, ticket: s.lastTicket, endpoint: index, firstIndex: int(a.From), sentAt: s.now}
	if action := req.nextAction(recovery.Event{Kind: recovery.AttemptSent, Attempt: at.ticket}); action.Kind == recovery.Drop {
		return recovery.Action{}
	}
	if req.attempts == nil {
		req.attempts = make(map[uint64]*attempt)
	}
	req.attempts[at.ticket] = at
	req.nextIsRedirect = false
	req.triedEndpoints = append(req.triedEndpoints, r.endpoints[index].ID)
	r.endpoints[index].Unreported++
	r.openAttempts[index]++
	if rec, ok := r.quarantine.Lookup(s.now, req.fingerprint); ok {
		at.evidence = []quarantine.Record{rec}
	}
	e := s.endpoints[index]
	s.scheduleAfter(s.networkDelay(r.zone, e.zone), func() { e.submit(at) })
	return recovery.Action{}
}

// closeAttempt takes an attempt out of the counts of open and unreported
// attempts.
func (req *request) closeAttempt(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	r := req.router
	r.openAttempts[a.endpoint]--
	c := &r.endpoints[a.endpoint]
	if a.sentAt.After(c.Load.At) {
		c.Unreported = max(c.Unreported-1, 0)
	}
}

// handleFrame handles a frame of an attempt.
func (req *request) handleFrame(a *attempt, m frame) {
	r := req.router
	r.applyReport(a.endpoint, m.report)
	if a.ended {
		return
	}
	switch m.kind {
	case frameStarted:
		a.startedAt = r.sim.now
		req.perform(req.nextAction(recovery.Event{Kind: recovery.Started, Attempt: a.ticket}))
	case frameChunk:
		req.handleChunk(a, m)
	case frameDone:
		req.closeAttempt(a)
		r.recordHealth(a, health.Success, 0)
		req.perform(req.nextAction(recovery.Event{Kind: recovery.Done, Attempt: a.ticket}))
	case frameRefused:
		req.handleRefusal(a, m)
	}
}

func (req *request) handleRefusal(a *attempt, m frame) {
	r := req.router
	req.closeAttempt(a)
	req.nextIsRedirect = m.err.EffectiveExecution() == resultcode.NotRun
	r.quarantine.Merge(r.sim.now, m.evidence)
	switch {
	case m.err.Code/1000 == 2:
		r.recordHealth(a, health.Refusal, 0)
	case m.err.Code == resultcode.EndpointFailed:
		r.recordHealth(a, health.Failure, 0)
	}
	if r.sim.policy.choose == nil && r.quarantine.Status(r.sim.now, req.fingerprint) == quarantine.Condemned {
		m.err = resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints").WithExecution(m.err.EffectiveExecution())
	}
	req.perform(req.nextAction(recovery.Event{
		Kind: recovery.Refused, Attempt: a.ticket, Error: m.err, Execution: m.err.EffectiveExecution(),
	}))
}

func (req *request) handleChunk(a *attempt, m frame) {
	r := req.router
	now := r.sim.now
	if !a.gotFirstToken {
		a.gotFirstToken = true
		r.recordHealth(a, health.FirstToken, now.Sub(a.startedAt))
	}
	req.recordInterTokenTime(a, now)
	action := req.nextAction(recovery.Event{Kind: recovery.Chunk, Attempt: a.ticket, Index: uint32(m.index)})
	if action.Kind == recovery.Forward {
		req.forwardToken(now)
	}
	req.perform(action)
}

func (req *request) recordInterTokenTime(a *attempt, now time.Time) {
	if a.intervalStart.IsZero() {
		a.intervalStart = now
		return
	}
	a.intervalCount++
	if a.intervalCount == intervalsPerReport {
		req.router.recordHealth(a, health.InterToken, now.Sub(a.intervalStart)/intervalsPerReport)
		a.intervalStart, a.intervalCount = now, 0
	}
}

func (req *request) forwardToken(now time.Time) {
	req.forwardedTokens++
	if req.firstTokenAt.IsZero() {
		req.firstTokenAt = now
		req.router.hedger.Observe(hedgeGroup(req), now.Sub(req.arrived))
	} else if req.class.InterToken > 0 && now.Sub(req.lastTokenAt) > req.class.InterToken {
		req.lateTokens++
	}
	req.lastTokenAt = now
}

// handleLateFirstToken reports endpoints that are late with the first token of a
// request and hedges the request if the budget allows it. It is called after the
// hedger's delay.
func (req *request) handleLateFirstToken() {
	r := req.router
	now := r.sim.now
	if req.ended || !req.firstTokenAt.IsZero() {
		return
	}
	for _, ticket := range slices.Sorted(maps.Keys(req.attempts)) {
		a := req.attempts[ticket]
		if !a.gotFirstToken && !a.ended && !a.startedAt.IsZero() {
			r.recordHealth(a, health.FirstTokenPending, now.Sub(a.startedAt))
		}
	}
	if req.machine.MayHedge() && r.hedger.Allow(r.budgets[req.class.Tier], req.account(), hedgeGroup(req), true, now.Sub(req.arrived)) {
		r.sim.result.Hedges++
		req.perform(req.sendAttempt(recovery.Action{Kind: recovery.Send}))
	}
}

func (req *request) renounce(a *attempt) {
	req.closeAttempt(a)
	s := req.router.sim
	e := s.endpoints[a.endpoint]
	delay := s.networkDelay(req.router.zone, e.zone)
	s.scheduleAfter(delay, func() {
		execution := e.renounce(a, jobID(a.ticket))
		s.scheduleAfter(delay, func() {
			req.perform(req.nextAction(recovery.Event{
				Kind: recovery.RenounceAnswered, Attempt: a.ticket, SameIncarnation: true, Execution: execution,
			}))
		})
	})
}

func (req *request) finish(err *resultcode.Error) {
	if req.ended {
		return
	}
	req.ended = true
	req.router.sim.recordEnd(req, err)
}
