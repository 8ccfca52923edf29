package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// Table is the part of the table service that the ledger uses; platform.Table
// implements it.
type Table interface {
	Get(ctx context.Context, key string) (storage.Row, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
	List(ctx context.Context, prefix, after string, limit int) (rows []storage.Row, next string, err error)
	DeleteBatch(ctx context.Context, rows []storage.Row) error
}

// Objects is the part of the object store that the ledger uses; platform.ObjectStore
// implements it.
type Objects interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
	Delete(ctx context.Context, key string) error
}

// Owners asks other agents about the nonces of claims that they own.
type Owners interface {
	// ClaimStatus asks the agent at the address. An agent of another incarnation
	// answers StatusUnknown; an error means that no agent answered.
	ClaimStatus(ctx context.Context, address, agent, nonce string) (Status, *Outcome, error)
}

// Options configures a Ledger. All fields without a stated default are required.
type Options struct {
	Table   Table
	Objects Objects
	Owners  Owners
	// Agent is this process's incarnation; other agents reach it at Address.
	Agent   string
	Address string
	// Seed makes the random times and positions of the sweep differ between
	// processes.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

const (
	defaultClaimTimeout = 30 * time.Second
	ownerTimeout        = time.Second
)

// Ledger claims idempotency keys for this agent and records the outcomes of their
// requests. It is safe for concurrent use. Outcomes are saved while Serve runs.
type Ledger struct {
	opts Options
	// wake makes Serve look for due work.
	wake chan struct{}

	mu     sync.Mutex
	nonces *NonceRegistry
	// running holds the claim of each nonce whose decision was Run, until Finish.
	running   map[string]runningClaim
	outbox    *Outbox
	deletions *Deletions
	sweep     sweep
	// saveProgress is closed and replaced after each step of a save.
	saveProgress chan struct{}
	// lostOutcomes counts the outcomes whose saving was given up.
	lostOutcomes uint64
}

type runningClaim struct {
	record   Record
	revision storage.Revision
}

// New returns a Ledger that knows no nonces.
func New(opts Options) *Ledger {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Ledger{
		opts:         opts,
		wake:         make(chan struct{}, 1),
		nonces:       NewNonceRegistry(),
		running:      make(map[string]runningClaim),
		outbox:       NewOutbox(),
		deletions:    &Deletions{},
		sweep:        newSweep(opts.Seed, opts.Now()),
		saveProgress: make(chan struct{}),
	}
}

// Claim decides whether the attempt with this nonce may run the request. A nonce
// is used for one claim only. Claim returns when ctx ends at the latest; if ctx has
// no deadline, it starts no step after 30 s. After Run the caller calls Finish once.
func (l *Ledger) Claim(ctx context.Context, key Key, digest []byte, nonce string) Decision {
	if refusal := l.beginClaim(nonce); refusal != nil {
		return Decision{Kind: Refuse, Refusal: refusal}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = l.opts.Now().Add(defaultClaimTimeout)
	}
	record := Record{Key: key, Digest: digest, Agent: l.opts.Agent, Address: l.opts.Address, Nonce: nonce}
	claiming := NewClaiming(record, deadline)
	action := claiming.Next(l.opts.Now(), Event{})
	for action.Step != StepDecide {
		event := l.perform(ctx, key, action)
		event.Cancelled = ctx.Err() != nil
		action = claiming.Next(l.opts.Now(), event)
	}
	l.recordDecision(claiming.record, action.Decision)
	return action.Decision
}

// beginClaim registers the nonce, or returns the refusal of one that was used before
// or that exceeds the bounds of the agent.
func (l *Ledger) beginClaim(nonce string) *resultcode.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outbox.Bytes() < MaxUnsavedBytes && l.nonces.Begin(nonce) {
		return nil
	}
	if l.nonces.Known(nonce) {
		return resultcode.New(resultcode.DuplicateAttempt, "nonce used before").WithExecution(resultcode.Unknown)
	}
	return resultcode.New(resultcode.AttemptTableFull, "the agent has too many open claims or unsaved answers")
}

func (l *Ledger) recordDecision(record Record, d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Kind != Run {
		l.nonces.Refused(record.Nonce)
		return
	}
	l.running[record.Nonce] = runningClaim{record: record, revision: d.Revision}
}

// perform does the I/O of one step.
func (l *Ledger) perform(ctx context.Context, key Key, a Action) Event {
	switch a.Step {
	case StepCreate, StepTakeOver:
		row, err := l.opts.Table.Put(ctx, key.RowKey(), a.Value, a.Expected)
		return Event{Row: row, Err: err}
	case StepRead:
		row, err := l.opts.Table.Get(ctx, key.RowKey())
		return Event{Row: row, Err: err}
	case StepAskOwner:
		return l.askOwner(ctx, a.Owner)
	case StepFetchBody:
		body, err := l.opts.Objects.Get(ctx, a.Object)
		return Event{Body: body, Err: err}
	}
	timer := time.NewTimer(a.Pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return Event{}
}

func (l *Ledger) askOwner(ctx context.Context, owner Record) Event {
	if owner.Agent == l.opts.Agent {
		status, outcome := l.Status(owner.Nonce)
		return Event{Status: status, Outcome: outcome}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	status, outcome, err := l.opts.Owners.ClaimStatus(ctx, owner.Address, owner.Agent, owner.Nonce)
	return Event{Status: status, Outcome: outcome, Err: err}
}

// Finish records the outcome of a run and returns at once; Serve saves it. The
// caller must not change the body afterwards. A nonce that is not running is
// ignored.
func (l *Ledger) Finish(nonce string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.running[nonce]
	if !ok {
		return
	}
	delete(l.running, nonce)
	l.nonces.Finished(nonce, o)
	c.record.Outcome = &o
	l.outbox.Add(l.opts.Now(), c.record, c.revision)
	l.wakeServe()
}

// Status returns what this incarnation knows about a nonce.
func (l *Ledger) Status(nonce string) (Status, *Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nonces.Status(nonce)
}

// Unsaved returns the number of outcomes that are not saved yet.
func (l *Ledger) Unsaved() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outbox.Len()
}

// Lost returns the number of outcomes whose saving was given up.
func (l *Ledger) Lost() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lostOutcomes
}

// Flush waits until all outcomes are saved or ctx ends. It is called before the
// process ends, while Serve still runs: the outcome of a request that is not saved
// by then is unknown to later callers.
func (l *Ledger) Flush(ctx context.Context) error {
	for {
		l.mu.Lock()
		left, progress := l.outbox.Len(), l.saveProgress
		l.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return resultcode.Wrap(resultcode.StoreUnavailable, ctx.Err(), "%d outcomes are not saved", left).
				WithExecution(resultcode.Ran)
		}
	}
}

// wakeServe makes Serve look for due work now.
func (l *Ledger) wakeServe() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
