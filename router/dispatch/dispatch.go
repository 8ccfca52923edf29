package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/quarantine"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/recovery"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	// renounceBuffer is the number of answers to Renounce that wait to be handled.
	renounceBuffer = 32

	// catalogWaitTimeout bounds the wait for a newer catalog version that an agent has.
	catalogWaitTimeout = 2 * time.Second
)

// Options configure a Dispatcher. Fields without a stated default are required.
type Options struct {
	// Router is the incarnation of this router process.
	Router string
	// RouterAddress is the address at which agents fetch the catalog from this router.
	RouterAddress string
	Client        *Client
	Fleet         Fleet
	Budget        Budget
	Catalog       Catalog
	Quarantine    Quarantine
	// Observer is notified of attempts; nil discards the notifications.
	Observer Observer
	// MaxAttempts bounds the attempts of one request; 4 if zero.
	MaxAttempts int
}

const defaultMaxAttempts = 4

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	opts Options
	// tickets is the last ticket. A ticket identifies an attempt of this router
	// process.
	tickets atomic.Uint64
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	if opts.MaxAttempts == 0 {
		opts.MaxAttempts = defaultMaxAttempts
	}
	if opts.Observer == nil {
		opts.Observer = noObserver{}
	}
	return &Dispatcher{opts: opts}
}

// attempt is the state of one attempt at an endpoint.
type attempt struct {
	ticket uint64
	kind   AttemptKind
	target Target
	stream *stream
	head   *rpc.ResponseHead
	// model is what the agent stated to have written the attempt's text; empty if it stated none.
	model string
	// changedModel is set when the agent stated another model later.
	changedModel bool
	// startedAt is when the attempt left the agent's queue.
	startedAt      time.Time
	firstTokenSeen bool
	ended          bool
	// reported is set when the observer was notified of the attempt's end.
	reported   bool
	interToken interTokenMeter
}

// inFlightRequest is the state of one request while it runs. A single goroutine, that
// of Dispatch, uses it; stream readers and renounce calls send to its channels.
type inFlightRequest struct {
	*Dispatcher
	ctx             context.Context
	req             *Request
	sink            Sink
	machine         *recovery.Machine
	backlog         *backlog
	renounceResults chan recovery.Event
	attempts        map[uint64]*attempt
	triedEndpoints  []string
	// text is the text sent to the caller, needed to continue the stream at another
	// endpoint. It is nil once textTooLong is set.
	text []byte
	// textTooLong is set when the text exceeded rpc.MaxTextSoFarBytes, after which the
	// stream cannot be continued.
	textTooLong bool
	// textTokens counts the chunks that text consists of.
	textTokens uint32
	// textFrom is the attempt that began the text, and textModel the model that its agent
	// stated to have written it. What another version writes does not go on with it, so that
	// a text without a statement is not continued.
	textFrom  *attempt
	textModel string
	// finished is set when a chunk with a finish reason was forwarded.
	finished bool
	headSent bool
	// winner is the attempt that delivered the complete answer, usage its final frame.
	winner   *attempt
	usage    *rpc.Done
	deadline time.Time
	// wantedVersion is the highest catalog version of an agent that refused an attempt
	// because of a stale catalog.
	wantedVersion uint64
	// lastNotRun is set when the last attempt was refused without having run; the
	// next one is a redirect.
	lastNotRun bool
	// firstSent is when the first attempt was sent.
	firstSent  time.Time
	hedgeTimer *time.Timer
	// leader is the attempt whose chunks are forwarded to the caller.
	leader *attempt
}

// Dispatch runs the request and writes its answer to the sink. A nil error means
// that the complete answer was written. The error's execution (whether the request
// has run) rests on the evidence that package recovery requires.
func (d *Dispatcher) Dispatch(ctx context.Context, req *Request, sink Sink) *resultcode.Error {
	if d.opts.Quarantine.Condemned(time.Now(), req.BodyDigest) {
		return condemnedError()
	}
	deadline, _ := ctx.Deadline()
	streams, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	f := &inFlightRequest{
		Dispatcher:      d,
		ctx:             streams,
		req:             req,
		sink:            sink,
		backlog:         newBacklog(),
		renounceResults: make(chan recovery.Event, renounceBuffer),
		attempts:        make(map[uint64]*attempt),
		deadline:        deadline,
		machine: recovery.New(recovery.Options{
			Idempotent:  req.Profile.Idempotent,
			HasKey:      req.IdempotencyKey != "",
			Text:        req.Chat != nil,
			Buffered:    sink.Buffered(),
			MaxAttempts: d.opts.MaxAttempts,
			Deadline:    deadline,
		}),
	}
	defer f.close()
	return f.run(ctx)
}

func condemnedError() *resultcode.Error {
	return resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints and is refused for a while").
		WithRetryAfter(quarantine.RecordTTL)
}

// run handles events until the state machine ends the request.
func (f *inFlightRequest) run(caller context.Context) *resultcode.Error {
	action := f.send(caller, recovery.Action{Kind: recovery.Send})
	for {
		done, err := f.execute(caller, action)
		if done {
			return err
		}
		if len(f.backlog.events) == 0 {
			f.sink.Flush()
		}
		select {
		case e := <-f.backlog.events:
			f.backlog.release(e)
			action = f.handle(e)
		case e := <-f.renounceResults:
			action = f.advance(e)
		case <-f.hedgeDue():
			action = f.handleLateFirstToken()
		case <-caller.Done():
			action = f.advance(callerEndEvent(caller))
		}
	}
}

// callerEndEvent returns the event for the end of the caller's context: the deadline
// has passed or the caller has disconnected.
func callerEndEvent(ctx context.Context) recovery.Event {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return recovery.Event{Kind: recovery.DeadlinePassed}
	}
	return recovery.Event{Kind: recovery.CallerCancelled}
}

// advance passes an event to the state machine and returns the next action.
func (f *inFlightRequest) advance(e recovery.Event) recovery.Action {
	return f.machine.Next(time.Now(), e)
}

// execute performs an action of the state machine. It reports whether the request
// has ended, and with which error.
func (f *inFlightRequest) execute(caller context.Context, a recovery.Action) (bool, *resultcode.Error) {
	for {
		for _, ticket := range a.Renounce {
			f.renounce(ticket)
		}
		switch a.Kind {
		case recovery.Send:
			a = f.send(caller, a)
			continue
		case recovery.Attach:
			f.attach(a)
		case recovery.Finish:
			return true, f.finish()
		case recovery.Fail:
			return true, a.Error
		}
		return false, nil
	}
}

// send starts the next attempt if the retry budget allows it, and returns the next
// action.
func (f *inFlightRequest) send(caller context.Context, a recovery.Action) recovery.Action {
	if a.Restart {
		f.discardAnswer()
	}
	if refused, action := f.prepareSend(caller); refused {
		return action
	}
	return f.sendAttempt(a, f.attemptKind(a))
}

// sendAttempt selects an endpoint and opens the stream of a new attempt at it.
func (f *inFlightRequest) sendAttempt(a recovery.Action, kind AttemptKind) recovery.Action {
	target, err := f.selectTarget(a)
	if err != nil {
		return f.advance(recovery.Event{Kind: recovery.NoEndpoint, Error: err})
	}
	att := &attempt{ticket: f.tickets.Add(1), kind: kind, target: target}
	if action := f.advance(recovery.Event{Kind: recovery.AttemptSent, Attempt: att.ticket}); action.Kind == recovery.Drop {
		f.opts.Fleet.Closed(time.Now(), target)
		return recovery.Action{}
	}
	f.attempts[att.ticket] = att
	f.lastNotRun = false
	f.req.Trace.Attempts++
	f.req.Trace.Endpoint = target.Endpoint
	f.triedEndpoints = append(f.triedEndpoints, target.Endpoint)
	att.stream = &stream{ticket: att.ticket, backlog: f.backlog}
	f.opts.Client.open(f.ctx, att.stream, target.Address, rpc.RunPath, f.runRequest(att, a.From))
	return recovery.Action{}
}

// selectTarget selects an endpoint that was not tried yet. If there is none, then
// after a failure (but not after a refusal) it tries all endpoints again: the only
// endpoint of a service may have recovered.
func (f *inFlightRequest) selectTarget(a recovery.Action) (Target, *resultcode.Error) {
	if a.KeepEndpoint && len(f.triedEndpoints) > 0 {
		f.triedEndpoints = f.triedEndpoints[:len(f.triedEndpoints)-1]
	}
	now := time.Now()
	target, err := f.opts.Fleet.Select(now, f.query())
	if err == nil || len(f.triedEndpoints) == 0 || f.lastNotRun {
		return target, err
	}
	f.triedEndpoints = nil
	return f.opts.Fleet.Select(now, f.query())
}

// prepareSend records the first attempt, or charges the retry budget for a later one
// and waits for a newer catalog if an agent requires one. It reports whether the
// budget refused the attempt, with the action that follows.
func (f *inFlightRequest) prepareSend(caller context.Context) (bool, recovery.Action) {
	tier, account := f.req.Profile.Tier, f.req.Account.Name
	if len(f.attempts) == 0 {
		f.opts.Budget.First(tier, account)
		f.startHedgeTimer()
		return false, recovery.Action{}
	}
	spend := f.opts.Budget.Retry
	if f.lastNotRun {
		spend = f.opts.Budget.Redirect
	}
	// A continued stream is free: it repeats only the prefill of its prompt, and
	// refusing it would waste the tokens generated so far.
	if len(f.text) == 0 && !spend(tier, account) {
		return true, f.advance(recovery.Event{Kind: recovery.BudgetRefused})
	}
	f.refreshCatalog(caller)
	return false, recovery.Action{}
}

// refreshCatalog waits for the catalog version that an agent requires and looks the
// request's profile up in it. A profile whose idempotency has changed is not adopted:
// the state machine was created for the former one.
func (f *inFlightRequest) refreshCatalog(caller context.Context) {
	if f.wantedVersion <= f.req.CatalogVersion {
		return
	}
	ctx, cancel := context.WithTimeout(caller, catalogWaitTimeout)
	defer cancel()
	if f.opts.Catalog.Await(ctx, f.wantedVersion) != nil {
		return
	}
	index := f.opts.Catalog.Current()
	f.req.CatalogVersion = index.Version()
	if p, ok := index.Profile(f.req.Profile.Name); ok && p.Idempotent == f.req.Profile.Idempotent {
		f.req.Profile = p
	}
}

// attach continues reading an attempt's stream on a new connection, from chunk a.From.
func (f *inFlightRequest) attach(a recovery.Action) {
	att := f.attempts[a.Attempt]
	att.stream.close()
	att.stream = &stream{ticket: att.ticket, backlog: f.backlog, attached: true}
	f.opts.Client.open(f.ctx, att.stream, att.target.Address, rpc.AttachPath, &rpc.AttachRequest{
		Attempt:   &rpc.AttemptID{Router: f.opts.Router, Ticket: att.ticket},
		Agent:     att.target.Incarnation,
		FromIndex: a.From,
	})
}
