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

// run makes attempts until the request has its answer.
func (x *exchange) run(ctx context.Context) {
	service := x.o.PickService(x.route)
	x.record.Service = service
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
		MaxUnsentAttempts: maxUnsent,
	}
	x.events.lastID = x.fields.LastEventID
	x.fingerprint = x.identify()
	for x.attempt(ctx, service) {
	}
}

// identify hashes what the request runs: the same request of the same account has
// the same fingerprint at every gateway.
func (x *exchange) identify() crashes.Fingerprint {
	h := xxhash.New()
	for _, s := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.account} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body)
	return crashes.Fingerprint(h.Sum64())
}

// limited returns a context for one attempt. A plain request that may be repeated
// does not wait for its whole time at an endpoint that hangs.
func (x *exchange) limited(ctx context.Context, t Ticket) (context.Context, context.CancelFunc) {
	last := x.state.SentAttempts+1 >= x.state.MaxAttempts
	if x.route.Kind != routing.Idempotent || last {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, t.Patience())
}

// attempt makes one attempt and reports whether another should follow.
func (x *exchange) attempt(ctx context.Context, service string) bool {
	further := len(x.record.Attempts) > 0
	quest := Quest{Route: x.route.Name, Priority: x.priority, Request: x.fingerprint, Account: x.account, TimeLeft: time.Until(x.deadline), Further: further}
	ticket, refusal := x.o.Placer.Admit(&x.work, quest)
	if refusal != nil {
		x.noEndpoint(refusal)
		return false
	}
	if !further {
		x.o.Placer.FirstAttempt(service, x.account)
	}
	choice := ticket.Choice()
	x.work.Excluded = append(x.work.Excluded, choice.Endpoint.ID)
	x.record.Attempts = append(x.record.Attempts, Attempt{
		Endpoint: choice.Endpoint.ID,
		Expected: choice.Expected,
		Uncached: choice.Uncached,
		Fetched:  choice.Fetched,
		Load:     choice.Load,
		LoadAge:  choice.LoadAge,
	})
	began := time.Now()
	attemptCtx, cancel := x.limited(ctx, ticket)
	end := x.send(ctx, attemptCtx, ticket)
	if end.err != nil && attemptCtx.Err() != nil {
		// The connection was closed for this reason; its own error hides it.
		end.err = attemptCtx.Err()
	}
	cancel()
	last := &x.record.Attempts[len(x.record.Attempts)-1]
	last.Took, last.Result = time.Since(began), end.name
	if end.err != nil {
		x.record.Cause = end.err.Error()
	}
	return x.proceed(ctx, end)
}

// noEndpoint ends the request when no endpoint takes an attempt.
func (x *exchange) noEndpoint(refusal *Refusal) {
	switch {
	case x.headSent:
		x.abort("stream_broken")
	case x.state.MayHaveRun:
		x.fail(http.StatusBadGateway, "outcome_unknown", nil)
	default:
		x.refuse(refusal)
	}
}

// ending is the outcome of one attempt.
type ending struct {
	kind outcome.Kind
	name string
	err  error
	// answer is kept for a failure of the endpoint that may be delivered.
	answer *upstream.Response
	body   []byte
	// done states that the answer was delivered.
	done bool
}

// proceed applies the decision about what follows an attempt.
func (x *exchange) proceed(ctx context.Context, end ending) bool {
	if end.done {
		return false
	}
	if x.r.Context().Err() != nil {
		x.record.Result = "caller_left"
		panic(http.ErrAbortHandler)
	}
	if end.kind == outcome.NotSent {
		x.state.UnsentAttempts++
	} else {
		x.state.SentAttempts++
	}
	if end.kind == outcome.Unknown || end.kind == outcome.Failed {
		x.state.MayHaveRun = true
	}
	x.state.RetryAllowed = ctx.Err() == nil && time.Until(x.deadline) > minTimeForAttempt
	action := outcome.Decide(end.kind, x.state)
	if action == outcome.Retry && end.kind != outcome.NotSent && !x.o.Placer.AllowRetry(x.work.Service, x.account) {
		x.state.RetryAllowed = false
		action = outcome.Decide(end.kind, x.state)
		x.record.Cause = "retry budget spent"
	}
	return x.apply(ctx, action, end)
}

func (x *exchange) apply(ctx context.Context, action outcome.Action, end ending) bool {
	switch {
	case action == outcome.Retry:
		return true
	case x.headSent:
		x.abort("stream_broken")
	case action == outcome.Deliver:
		x.deliver(end.answer.Response, end.body)
	case action == outcome.Refuse:
		x.refuse(&Refusal{Reason: end.name, RetryAfter: x.retrySoon()})
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, "timeout", end.err)
	default:
		x.fail(http.StatusBadGateway, end.name, end.err)
	}
	return false
}
