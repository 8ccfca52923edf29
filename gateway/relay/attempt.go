package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/outcome"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

// run makes attempts until the caller has a response.
func (x *exchange) run(ctx context.Context) {
	if !x.resolveStream(ctx) {
		x.refuse(&Refusal{Reason: VersionUnknown, RetryAfter: versionRetryAfter})
		return
	}
	service := x.record.Service
	x.work = placement.Work{
		Service:      service,
		Streaming:    x.route.Kind == routing.Streaming,
		PromptTokens: x.fields.PromptTokens,
		OutputTokens: x.fields.OutputTokens,
		BodyBytes:    len(x.body),
		Parts:        x.fields.Parts,
		Target:       x.route.Target,
		MaxPause:     x.route.MaxPause,
	}
	x.state = outcome.State{
		Repeatable:        x.route.Repeatable() || x.route.Resumable,
		MaxAttempts:       x.route.MaxAttempts,
		MaxUnsentAttempts: maxUnsentAttempts,
	}
	x.events.lastID = x.fields.LastEventID
	x.fingerprint = x.requestFingerprint()
	x.record.Fingerprint, x.record.Parts, x.record.BodyBytes = x.fingerprint, x.fields.Parts, len(x.body)
	for x.attempt(ctx, service) {
	}
}

// requestFingerprint hashes method, host, target, client account and body, so that
// the same request of the same account has the same fingerprint at every gateway.
func (x *exchange) requestFingerprint() crashes.Fingerprint {
	h := xxhash.New()
	for _, s := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.account} {
		// Writes to a hash do not fail.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body)
	return crashes.Fingerprint(h.Sum64())
}

// attemptContext returns the context of one attempt. An idempotent plain request
// gets a timeout for each attempt but the last, so that an endpoint that hangs
// does not use up all its time.
func (x *exchange) attemptContext(ctx context.Context, placed PlacedAttempt) (context.Context, context.CancelFunc) {
	last := x.state.SentAttempts+1 >= x.state.MaxAttempts
	if x.route.Kind != routing.Idempotent || last {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, placed.AttemptTimeout())
}

// attempt makes one attempt and reports whether another must follow.
func (x *exchange) attempt(ctx context.Context, service string) bool {
	if x.stopsTooSoon() {
		x.handleRefusal(&Refusal{Reason: Leaving})
		return false
	}
	isRetry := len(x.record.Attempts) > 0
	request := AdmissionRequest{
		ID:          x.fields.ID,
		Route:       x.route.Name,
		Priority:    x.priority,
		Fingerprint: x.fingerprint,
		Account:     x.account,
		IsRetry:     isRetry,
		Resumable:   x.route.Resumable,
		Continues:   x.continues,
		CallerTime:  x.fields.TimeLeft,
	}
	placed, refusal := x.admit(ctx, request)
	if refusal != nil {
		x.handleRefusal(refusal)
		return false
	}
	if !isRetry {
		x.options.Placer.FirstAttempt(service, x.account)
	}
	choice := placed.Choice()
	x.attemptVersion = choice.Endpoint.Version
	x.work.Excluded = append(x.work.Excluded, choice.Endpoint.ID)
	x.record.Attempts = append(x.record.Attempts, AttemptRecord{
		Endpoint:       choice.Endpoint.ID,
		Version:        choice.Endpoint.Version,
		Born:           choice.Endpoint.Born,
		Expected:       choice.Expected,
		UncachedTokens: choice.Uncached,
		FetchedTokens:  choice.Fetched,
		FetchedFrom:    choice.FetchFrom,
		Load:           choice.Load,
		LoadAge:        choice.LoadAge,
	})
	if choice.LeavesZone {
		x.currentAttempt().OtherZone = choice.Endpoint.Zone
	}
	start, eventsBefore := time.Now(), x.record.Events
	attemptCtx, cancel := x.attemptContext(ctx, placed)
	end := x.send(ctx, attemptCtx, placed)
	if end.err != nil && attemptCtx.Err() != nil {
		// The context closed the connection, whose error does not show this cause.
		end.err = attemptCtx.Err()
	}
	cancel()
	last := x.currentAttempt()
	last.Duration, last.Result = time.Since(start), end.resultName
	last.HeadReceived, last.Broken = end.headReceived, end.broken
	last.Events = x.record.Events - eventsBefore
	if end.err != nil {
		x.record.Cause = end.err.Error()
	}
	return x.decideNext(ctx, end)
}

// stopsTooSoon reports whether the process may end before a request that no endpoint has
// received yet: its caller would get no answer, and could not send it again if that is unsafe.
func (x *exchange) stopsTooSoon() bool {
	if x.options.StopsAt == nil || x.state.SentAttempts > 0 {
		return false
	}
	stopsAt := x.options.StopsAt()
	return !stopsAt.IsZero() && x.deadline.Add(stopMargin).After(stopsAt)
}

// admit asks the Placer for an attempt, and again after each pause that it asks for, while the
// deadline allows that.
func (x *exchange) admit(ctx context.Context, request AdmissionRequest) (PlacedAttempt, *Refusal) {
	for {
		request.TimeLeft = time.Until(x.deadline)
		placed, refusal := x.options.Placer.Admit(&x.work, request)
		if refusal == nil || refusal.Pause == 0 || refusal.Pause+minTimeForAttempt > request.TimeLeft {
			return placed, refusal
		}
		x.record.Paused += refusal.Pause
		request.Paused += refusal.Pause
		select {
		case <-ctx.Done():
			x.abortIfCallerLeft()
			return nil, refusal
		case <-time.After(refusal.Pause):
		}
	}
}

// abortIfCallerLeft ends the request if its caller has closed the connection.
func (x *exchange) abortIfCallerLeft() {
	if x.r.Context().Err() != nil {
		x.record.Result = "caller_left"
		panic(http.ErrAbortHandler)
	}
}

// currentAttempt returns the record of the latest attempt.
func (x *exchange) currentAttempt() *AttemptRecord {
	return &x.record.Attempts[len(x.record.Attempts)-1]
}

// handleRefusal ends the request if admission refused an attempt. If an earlier
// attempt may have run, the response must not state that the request did not run.
func (x *exchange) handleRefusal(refusal *Refusal) {
	switch {
	case x.headSent:
		x.abort("stream_broken")
	case x.state.MayHaveRun:
		x.fail(http.StatusBadGateway, "outcome_unknown", nil)
	default:
		x.refuse(refusal)
	}
}

// attemptEnd is how one attempt ended.
type attemptEnd struct {
	kind       outcome.Kind
	resultName string
	err        error
	// response and body are those of an endpoint's error response; they are kept
	// because they may be delivered.
	response *upstream.Response
	body     []byte
	// delivered states that the response was passed on, so that nothing follows.
	delivered bool
	// headReceived states that a valid head of a response arrived, and broken that the
	// attempt was reported as ResultBroken.
	headReceived, broken bool
}

// decideNext updates the state of the request after an attempt, decides what
// follows and does it. It reports whether another attempt must follow.
func (x *exchange) decideNext(ctx context.Context, end attemptEnd) bool {
	if end.delivered {
		return false
	}
	x.abortIfCallerLeft()
	switch {
	case end.resultName == unproven && x.unprovenAttempts < maxUnprovenAttempts:
		// Placement leaves the endpoint out only until its process is proven.
		x.unprovenAttempts++
		x.work.Excluded = x.work.Excluded[:len(x.work.Excluded)-1]
	case end.kind == outcome.NotSent:
		x.state.UnsentAttempts++
	default:
		x.state.SentAttempts++
	}
	if end.kind == outcome.Unknown || end.kind == outcome.Failed {
		x.state.MayHaveRun = true
	}
	x.state.RetryAllowed = ctx.Err() == nil && time.Until(x.deadline) > minTimeForAttempt
	action := outcome.Decide(end.kind, x.state)
	if action == outcome.Retry && end.kind != outcome.NotSent && !x.options.Placer.AllowRetry(x.work.Service, x.account) {
		x.state.RetryAllowed = false
		action = outcome.Decide(end.kind, x.state)
		x.record.Cause = "retry budget spent"
	}
	return x.applyAction(ctx, action, end)
}

// applyAction sends the caller the response that the action calls for, and
// reports whether another attempt must follow instead.
func (x *exchange) applyAction(ctx context.Context, action outcome.Action, end attemptEnd) bool {
	switch {
	case action == outcome.Retry:
		return true
	case x.headSent:
		x.abort("stream_broken")
	case action == outcome.Deliver:
		x.deliver(end.response.Response, end.body)
	case action == outcome.Refuse:
		x.refuse(&Refusal{Reason: end.resultName, RetryAfter: x.notRunRetryAfter()})
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, "timeout", end.err)
	default:
		x.fail(http.StatusBadGateway, end.resultName, end.err)
	}
	return false
}
