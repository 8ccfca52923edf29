package claim

import (
	"bytes"
	"errors"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// Step is what a Claiming wants done next.
type Step int

// Steps of a Claiming.
const (
	// StepCreate writes Action.Value to a row that must not exist.
	StepCreate Step = iota + 1
	// StepRead reads the row.
	StepRead
	// StepAskOwner asks the owner about its nonce.
	StepAskOwner
	// StepTakeOver writes Action.Value over Action.Expected.
	StepTakeOver
	// StepPause waits for Action.Pause.
	StepPause
	// StepFetchBody reads the body of a kept answer from the object store.
	StepFetchBody
	// StepDecide ends the claim with Action.Decision.
	StepDecide
)

// Action is one step.
type Action struct {
	Step     Step
	Value    []byte
	Expected storage.Revision
	// Owner is the record whose owner is asked.
	Owner    Record
	Pause    time.Duration
	Object   string
	Decision Decision
}

// Event is the end of a step; the zero Event starts the claim.
type Event struct {
	Err error
	// Cancelled states that the request has been abandoned.
	Cancelled bool
	// Row is the result of a create, a read or a takeover.
	Row storage.Row
	// Status and Outcome are the owner's answer.
	Status  Status
	Outcome *Outcome
	// Body is the result of StepFetchBody.
	Body []byte
}

// Verdict is what to do with a request.
type Verdict int

// Verdicts of a claim.
const (
	// Run means that this attempt, and no other, may run the request.
	Run Verdict = iota + 1
	// Replay means that the request ran before; Outcome is its answer.
	Replay
	// Refuse means that this attempt does not run; Refusal says why.
	Refuse
)

// Decision is the end of a claim.
type Decision struct {
	Verdict Verdict
	// Revision is the row's revision with Run.
	Revision storage.Revision
	Outcome  *Outcome
	Refusal  *resultcode.Error
}

const (
	// claimTries bounds the writes of one claim and the questions to an owner
	// that does not answer.
	claimTries = 3

	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Claiming decides one claim. It is a state machine without I/O. Whatever it
// decides other than Run means that the nonce never runs.
type Claiming struct {
	record   Record
	deadline time.Time

	step  Step
	tries int
	// silent counts questions that an owner left unanswered.
	silent int
	pause  time.Duration
	// seen is the row of another nonce as last read.
	seen    Record
	seenRow storage.Row
	// held states that another nonce certainly had a row at some time.
	held bool
}

// NewClaiming returns a claim for the record's key by its nonce. After the
// deadline no further step is started.
func NewClaiming(record Record, deadline time.Time) *Claiming {
	record.State = RecordStarted
	return &Claiming{record: record, deadline: deadline, pause: firstPause}
}

// Next takes the end of the last step and returns the next one.
func (c *Claiming) Next(now time.Time, e Event) Action {
	a := c.next(now, e)
	if a.Step != StepDecide && (e.Cancelled || !now.Before(c.deadline)) {
		a = c.expired()
	}
	c.step = a.Step
	return a
}

func (c *Claiming) next(now time.Time, e Event) Action {
	switch c.step {
	case StepCreate, StepTakeOver:
		return c.written(now, e)
	case StepRead:
		return c.read(now, e)
	case StepAskOwner:
		return c.ownerAnswered(now, e)
	case StepPause:
		return Action{Step: StepRead}
	case StepFetchBody:
		return c.bodyFetched(e)
	}
	return c.write(now, StepCreate, "")
}

// write conditionally writes the own record. Repeating it is safe: all writes of
// a claim are conditional, so a late one of them cannot replace another claim.
func (c *Claiming) write(now time.Time, step Step, expected storage.Revision) Action {
	if c.tries == claimTries {
		return c.refuse(resultcode.StoreUnavailable, "claim not settled after repeated writes")
	}
	c.tries++
	c.record.ClaimedAt = now.UTC()
	value, err := c.record.Encode()
	if err != nil {
		return c.refuse(resultcode.Internal, "claim cannot be encoded")
	}
	return Action{Step: step, Value: value, Expected: expected}
}

func (c *Claiming) written(now time.Time, e Event) Action {
	switch {
	case e.Err == nil:
		return run(e.Row.Revision)
	case errors.Is(e.Err, storage.ErrConflict):
		c.held = true
		return Action{Step: StepRead}
	case errors.Is(e.Err, storage.ErrOutcomeUnknown):
		return Action{Step: StepRead}
	}
	return c.refuse(resultcode.StoreUnavailable, "claim not written")
}

func (c *Claiming) read(now time.Time, e Event) Action {
	if errors.Is(e.Err, storage.ErrNotFound) {
		return c.write(now, StepCreate, "")
	}
	if e.Err != nil {
		return c.refuse(resultcode.StoreUnavailable, "claim not readable")
	}
	r, err := DecodeRecord(e.Row.Value)
	if err != nil {
		c.held = true
		return c.refuse(resultcode.OutcomeUnknown, "claim row cannot be judged")
	}
	if r.Nonce == c.record.Nonce && r.State == RecordStarted {
		return run(e.Row.Revision)
	}
	c.held, c.seen, c.seenRow = true, r, e.Row
	return c.judge(now)
}

// judge acts on the row of another nonce.
func (c *Claiming) judge(now time.Time) Action {
	if !bytes.Equal(c.seen.Digest, c.record.Digest) {
		return refuseAs(resultcode.NotRun, resultcode.IdempotencyKeyReused, "the key belongs to another request")
	}
	switch c.seen.State {
	case RecordDone:
		return c.replay(c.seen.Outcome)
	case RecordReleased:
		return c.write(now, StepTakeOver, c.seenRow.Revision)
	case RecordUnknown:
		return c.refuse(resultcode.OutcomeUnknown, "an earlier attempt may have run")
	}
	return Action{Step: StepAskOwner, Owner: c.seen}
}

func (c *Claiming) ownerAnswered(now time.Time, e Event) Action {
	if e.Err != nil {
		c.silent++
		if c.silent == claimTries {
			return c.refuse(resultcode.OutcomeUnknown, "the agent that holds the claim does not answer")
		}
		return c.wait()
	}
	switch e.Status {
	case StatusRunning:
		return c.wait()
	case StatusNeverRun:
		return c.write(now, StepTakeOver, c.seenRow.Revision)
	case StatusDone:
		if e.Outcome != nil && e.Outcome.Execution == resultcode.Ran {
			return c.replay(e.Outcome)
		}
		// The owner has saved the answer; the row that was read was older.
		return c.wait()
	}
	return c.refuse(resultcode.OutcomeUnknown, "the agent that held the claim cannot say whether it ran")
}

func (c *Claiming) wait() Action {
	pause := c.pause
	c.pause = min(2*c.pause, maxPause)
	return Action{Step: StepPause, Pause: pause}
}

func (c *Claiming) replay(o *Outcome) Action {
	if o.Object != "" && o.Body == nil {
		c.seen.Outcome = o
		return Action{Step: StepFetchBody, Object: o.Object}
	}
	return Action{Step: StepDecide, Decision: Decision{Verdict: Replay, Outcome: o}}
}

func (c *Claiming) bodyFetched(e Event) Action {
	if errors.Is(e.Err, storage.ErrNotFound) {
		return refuseAs(resultcode.Ran, resultcode.AnswerNotRetained, "the request ran; its answer is no longer kept")
	}
	if e.Err != nil {
		return refuseAs(resultcode.Ran, resultcode.StoreUnavailable, "the request ran; its answer is not readable now")
	}
	o := *c.seen.Outcome
	o.Body = e.Body
	return c.replay(&o)
}

func (c *Claiming) expired() Action {
	if c.held {
		return c.refuse(resultcode.KeyInProgress, "another attempt holds the key")
	}
	return c.refuse(resultcode.DeadlineExceeded, "no time left to claim the key")
}

// refuse ends the claim without a run. Where another nonce has had a row, an
// earlier attempt of the same request may have run.
func (c *Claiming) refuse(code resultcode.Code, message string) Action {
	if c.held {
		return refuseAs(resultcode.Unknown, code, message)
	}
	return refuseAs(resultcode.NotRun, code, message)
}

func refuseAs(x resultcode.Execution, code resultcode.Code, message string) Action {
	refusal := resultcode.New(code, "%s", message).WithExecution(x)
	return Action{Step: StepDecide, Decision: Decision{Verdict: Refuse, Refusal: refusal}}
}

func run(revision storage.Revision) Action {
	return Action{Step: StepDecide, Decision: Decision{Verdict: Run, Revision: revision}}
}
