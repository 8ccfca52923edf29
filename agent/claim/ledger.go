package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// Table is what the ledger needs of the table service; platform.Rows is one.
type Table interface {
	Get(ctx context.Context, key string) (storage.Row, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
	List(ctx context.Context, prefix, after string, limit int) (rows []storage.Row, next string, err error)
	DeleteBatch(ctx context.Context, rows []storage.Row) error
}

// Objects is what the ledger needs of the object store; platform.Objects is one.
type Objects interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
	Delete(ctx context.Context, key string) error
}

// Owners asks other agents about their nonces.
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
	// Agent is this process's incarnation, reachable by other agents at Address.
	Agent   string
	Address string
	// Seed varies the sweep between processes.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

const (
	defaultClaimTime = 30 * time.Second
	ownerTimeout     = time.Second
)

// Ledger claims keys for this agent and records their outcomes. It is safe for
// concurrent use. Outcomes are saved while Serve runs.
type Ledger struct {
	o    Options
	wake chan struct{}

	mu     sync.Mutex
	memory *Memory
	// running has the claim of each nonce that was told to run.
	running   map[string]runningClaim
	outbox    *Outbox
	deletions *Deletions
	sweep     sweep
	progress  chan struct{}
	lost      uint64
}

type runningClaim struct {
	record   Record
	revision storage.Revision
}

// New returns a Ledger with an empty memory.
func New(o Options) *Ledger {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Ledger{
		o:         o,
		wake:      make(chan struct{}, 1),
		memory:    NewMemory(),
		running:   make(map[string]runningClaim),
		outbox:    NewOutbox(),
		deletions: &Deletions{},
		sweep:     newSweep(o.Seed, o.Now()),
		progress:  make(chan struct{}),
	}
}

// Claim decides whether the attempt with this nonce may run the request. A nonce
// is used for one claim only. Claim returns when ctx ends at the latest, without
// a deadline after 30 s. After Run the caller calls Finish once.
func (l *Ledger) Claim(ctx context.Context, key Key, digest []byte, nonce string) Decision {
	if refusal := l.begin(nonce); refusal != nil {
		return Decision{Verdict: Refuse, Refusal: refusal}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = l.o.Now().Add(defaultClaimTime)
	}
	record := Record{Key: key, Digest: digest, Agent: l.o.Agent, Address: l.o.Address, Nonce: nonce}
	claiming := NewClaiming(record, deadline)
	action := claiming.Next(l.o.Now(), Event{})
	for action.Step != StepDecide {
		event := l.perform(ctx, key, action)
		event.Cancelled = ctx.Err() != nil
		action = claiming.Next(l.o.Now(), event)
	}
	l.decided(claiming.record, action.Decision)
	return action.Decision
}

func (l *Ledger) begin(nonce string) *resultcode.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outbox.Bytes() < MaxUnsavedBytes && l.memory.Begin(nonce) {
		return nil
	}
	if l.memory.Known(nonce) {
		return resultcode.New(resultcode.DuplicateAttempt, "nonce used before").WithExecution(resultcode.Unknown)
	}
	return resultcode.New(resultcode.AttemptTableFull, "the agent has too many open claims or unsaved answers")
}

func (l *Ledger) decided(record Record, d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Verdict != Run {
		l.memory.Refused(record.Nonce)
		return
	}
	l.running[record.Nonce] = runningClaim{record: record, revision: d.Revision}
}

func (l *Ledger) perform(ctx context.Context, key Key, a Action) Event {
	switch a.Step {
	case StepCreate, StepTakeOver:
		row, err := l.o.Table.Put(ctx, key.RowKey(), a.Value, a.Expected)
		return Event{Row: row, Err: err}
	case StepRead:
		row, err := l.o.Table.Get(ctx, key.RowKey())
		return Event{Row: row, Err: err}
	case StepAskOwner:
		return l.askOwner(ctx, a.Owner)
	case StepFetchBody:
		body, err := l.o.Objects.Get(ctx, a.Object)
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
	if owner.Agent == l.o.Agent {
		status, outcome := l.Status(owner.Nonce)
		return Event{Status: status, Outcome: outcome}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	status, outcome, err := l.o.Owners.ClaimStatus(ctx, owner.Address, owner.Agent, owner.Nonce)
	return Event{Status: status, Outcome: outcome, Err: err}
}

// Finish records the end of a run and returns at once; Serve saves the outcome.
// The body must not change afterwards. A nonce that is not running is ignored.
func (l *Ledger) Finish(nonce string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.running[nonce]
	if !ok {
		return
	}
	delete(l.running, nonce)
	l.memory.Finished(nonce, o)
	c.record.Outcome = &o
	l.outbox.Add(l.o.Now(), c.record, c.revision)
	l.signal()
}

// Status returns what this incarnation knows about a nonce.
func (l *Ledger) Status(nonce string) (Status, *Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.memory.Status(nonce)
}

// Unsaved returns the number of outcomes that wait for the store.
func (l *Ledger) Unsaved() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outbox.Len()
}

// Lost returns the number of outcomes whose saving was given up.
func (l *Ledger) Lost() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// Flush waits until all outcomes are saved. It is called before the process ends
// while Serve still runs; an outcome that is not saved becomes unknown.
func (l *Ledger) Flush(ctx context.Context) error {
	for {
		l.mu.Lock()
		left, progress := l.outbox.Len(), l.progress
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

func (l *Ledger) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
