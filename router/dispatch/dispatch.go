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
	eventBacklog = 32

	// catalogWait bounds the wait for a catalog version that an agent has.
	catalogWait = 2 * time.Second
)

// Options configure a Dispatcher. Fields without a stated default are required.
type Options struct {
	// Router is this router's incarnation.
	Router string
	// RouterAddress is where agents fetch the catalog from this router.
	RouterAddress string
	Client        *Client
	Fleet         Fleet
	Budget        Budget
	Catalog       Catalog
	Quarantine    Quarantine
	// Observer is told of attempts; nil means nobody.
	Observer Observer
	// MaxAttempts bounds the attempts of one request; zero means 4.
	MaxAttempts int
}

const defaultMaxAttempts = 4

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	opts    Options
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

// call is one attempt as the router follows it.
type call struct {
	ticket uint64
	kind   AttemptKind
	target Target
	stream *stream
	head   *rpc.ResponseHead
	// startedAt is when the attempt left the agent's queue.
	startedAt time.Time
	first     bool
	ended     bool
	// reported is set when the observer was told of the attempt's end.
	reported bool
	pace     pace
}

// flight is one request on its way.
type flight struct {
	*Dispatcher
	ctx     context.Context
	req     *Request
	sink    Sink
	machine *recovery.Machine
	events  chan streamEvent
	answers chan recovery.Event
	calls   map[uint64]*call
	tried   []string
	// text is what the caller has, for continuing a stream elsewhere.
	text []byte
	// tokens counts the chunks with text in it.
	tokens uint32
	// finished is set when a chunk with a finish reason was forwarded.
	finished bool
	headSent bool
	// winner is the attempt that delivered the whole answer, usage its end.
	winner   *call
	usage    *rpc.Done
	deadline time.Time
	// awaitVersion is the catalog version that an agent asked for.
	awaitVersion uint64
	// redirect is set when the last attempt was refused without having run.
	redirect bool
	// firstSent is when the first attempt was sent.
	firstSent time.Time
	hedge     *time.Timer
	// leader is the attempt whose chunks the caller gets.
	leader *call
}

// Dispatch runs the request and writes its answer to the sink. A nil result
// means that the whole answer was written. The result's execution verdict is
// backed by evidence as package recovery requires it.
func (d *Dispatcher) Dispatch(ctx context.Context, req *Request, sink Sink) *resultcode.Error {
	if d.opts.Quarantine.Condemned(time.Now(), req.BodyDigest) {
		return condemned()
	}
	deadline, _ := ctx.Deadline()
	streams, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	f := &flight{
		Dispatcher: d,
		ctx:        streams,
		req:        req,
		sink:       sink,
		events:     make(chan streamEvent, eventBacklog),
		answers:    make(chan recovery.Event, eventBacklog),
		calls:      make(map[uint64]*call),
		deadline:   deadline,
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

func condemned() *resultcode.Error {
	return resultcode.New(resultcode.RequestCondemned, "the request crashed endpoints and is refused for a while").
		WithRetryAfter(quarantine.Lifetime)
}

// run handles events until the machine gives the final answer.
func (f *flight) run(caller context.Context) *resultcode.Error {
	action := f.send(caller, recovery.Action{Kind: recovery.Send})
	for {
		done, err := f.carryOut(caller, action)
		if done {
			return err
		}
		if len(f.events) == 0 {
			f.sink.Flush()
		}
		select {
		case e := <-f.events:
			action = f.handle(e)
		case e := <-f.answers:
			action = f.next(e)
		case <-f.hedgeDue():
			action = f.late()
		case <-caller.Done():
			action = f.next(callerEnd(caller))
		}
	}
}

func callerEnd(ctx context.Context) recovery.Event {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return recovery.Event{Kind: recovery.DeadlinePassed}
	}
	return recovery.Event{Kind: recovery.CallerCancelled}
}

func (f *flight) next(e recovery.Event) recovery.Action {
	return f.machine.Next(time.Now(), e)
}

// carryOut does what the machine decided. It reports whether the request has
// ended, and how.
func (f *flight) carryOut(caller context.Context, a recovery.Action) (bool, *resultcode.Error) {
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

// send starts an attempt at a selected endpoint and returns what follows.
func (f *flight) send(caller context.Context, a recovery.Action) recovery.Action {
	if a.Restart {
		f.restart()
	}
	if refused, action := f.mayNotSend(caller); refused {
		return action
	}
	return f.place(a, f.kind(a))
}

// place selects an endpoint and opens the stream of a new attempt there.
func (f *flight) place(a recovery.Action, kind AttemptKind) recovery.Action {
	target, err := f.choose(a)
	if err != nil {
		return f.next(recovery.Event{Kind: recovery.NoEndpoint, Error: err})
	}
	c := &call{ticket: f.tickets.Add(1), kind: kind, target: target}
	if action := f.next(recovery.Event{Kind: recovery.AttemptSent, Attempt: c.ticket}); action.Kind == recovery.Drop {
		f.opts.Fleet.Closed(time.Now(), target)
		return recovery.Action{}
	}
	f.calls[c.ticket] = c
	f.redirect = false
	f.req.Trace.Attempts++
	f.req.Trace.Endpoint = target.Endpoint
	f.tried = append(f.tried, target.Endpoint)
	c.stream = &stream{ticket: c.ticket, events: f.events}
	f.opts.Client.open(f.ctx, c.stream, target.Address, rpc.RunPath, f.message(c, a.From))
	return recovery.Action{}
}

// choose selects an endpoint that was not tried yet. After a failure, though not
// after a refusal, it falls back to one that was: the only endpoint of a service
// may be back.
func (f *flight) choose(a recovery.Action) (Target, *resultcode.Error) {
	if a.KeepEndpoint && len(f.tried) > 0 {
		f.tried = f.tried[:len(f.tried)-1]
	}
	now := time.Now()
	target, err := f.opts.Fleet.Select(now, f.query())
	if err == nil || len(f.tried) == 0 || f.redirect {
		return target, err
	}
	f.tried = nil
	return f.opts.Fleet.Select(now, f.query())
}

// mayNotSend applies the retry budget and waits for a newer catalog.
func (f *flight) mayNotSend(caller context.Context) (bool, recovery.Action) {
	tier, account := f.req.Profile.Tier, f.req.Account.Name
	if len(f.calls) == 0 {
		f.opts.Budget.First(tier, account)
		f.startHedgeTimer()
		return false, recovery.Action{}
	}
	spend := f.opts.Budget.Retry
	if f.redirect {
		spend = f.opts.Budget.Redirect
	}
	// A continued stream repeats no work but the reading of its prompt, and refusing
	// it would waste what was generated.
	if len(f.text) == 0 && !spend(tier, account) {
		return true, f.next(recovery.Event{Kind: recovery.BudgetRefused})
	}
	f.refreshCatalog(caller)
	return false, recovery.Action{}
}

// refreshCatalog resolves the request again by the catalog version that an agent
// has in force.
func (f *flight) refreshCatalog(caller context.Context) {
	if f.awaitVersion <= f.req.CatalogVersion {
		return
	}
	ctx, cancel := context.WithTimeout(caller, catalogWait)
	defer cancel()
	if f.opts.Catalog.Await(ctx, f.awaitVersion) != nil {
		return
	}
	index := f.opts.Catalog.Current()
	f.req.CatalogVersion = index.Version()
	if p, ok := index.Profile(f.req.Profile.Name); ok && p.Idempotent == f.req.Profile.Idempotent {
		f.req.Profile = p
	}
}

// attach continues reading an attempt's stream on a new connection.
func (f *flight) attach(a recovery.Action) {
	c := f.calls[a.Attempt]
	c.stream.close()
	c.stream = &stream{ticket: c.ticket, events: f.events, attached: true}
	f.opts.Client.open(f.ctx, c.stream, c.target.Address, rpc.AttachPath, &rpc.AttachRequest{
		Attempt:   &rpc.AttemptID{Router: f.opts.Router, Ticket: c.ticket},
		Agent:     c.target.Incarnation,
		FromIndex: a.From,
	})
}
