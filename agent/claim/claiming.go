package claim

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// Step is the I/O operation that a Claiming needs next.
type Step int

// Steps of a Claiming.
const (
	// StepCreate writes Action.Value to a row that must not exist.
	StepCreate Step = iota + 1
	// StepRead reads the row.
	StepRead
	// StepAskOwner asks the agent that owns the row about the row's nonce.
	StepAskOwner
	// StepTakeOver replaces the row of revision Action.Expected by Action.Value.
	StepTakeOver
	// StepPause waits for Action.Pause.
	StepPause
	// StepFetchBody reads the body of a kept answer from the object store.
	StepFetchBody
	// StepDecide ends the claim with Action.Decision.
	StepDecide
)

// Action is a step with its arguments.
type Action struct {
	Step     Step
	Value    []byte
	Expected storage.Revision
	// Owner is the record whose owner is asked.
	Owner Record
	Pause time.Duration
	// Object is the key of the body to read.
	Object   string
	Decision Decision
}

// Event is the result of a step; the zero Event starts the claim.
type Event struct {
	Err error
	// Cancelled reports that the context of the request has ended.
	Cancelled bool
	// Row is the result of a create, a read or a takeover.
	Row storage.Row
	// Status and Outcome are the owner's answer.
	Status  Status
	Outcome *Outcome
	// Body is the result of StepFetchBody.
	Body []byte
}

// DecisionKind is what to do with a request.
type DecisionKind int

// Kinds of decisions.
const (
	// Run means that this attempt, and no other, may run the request.
	Run DecisionKind = iota + 1
	// Replay means that the request ran before; Decision.Outcome is its answer.
	Replay
	// Refuse means that this attempt does not run; Decision.Refusal says why.
	Refuse
)

// Decision is the result of a claim.
type Decision struct {
	Kind DecisionKind
	// Revision is the row's revision; it is set with Run.
	Revision storage.Revision
	Outcome  *Outcome
	Refusal  *resultcode.Error
}

const (
	// maxClaimTries bounds the writes of one claim and the unanswered calls to an
	// owner.
	maxClaimTries = 3

	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Claiming is the state machine of one claim. It does no I/O: the caller performs
// each step and passes the result to Next. Any decision other than Run means that
// the nonce never runs.
type Claiming struct {
	record   Record
	deadline time.Time

	step  Step
	tries int
	// unanswered counts the calls that an owner did not answer.
	unanswered int
	pause      time.Duration
	// otherRecord and otherRow are the row of another nonce as last read.
	otherRecord Record
	otherRow    storage.Row
	// heldByOther means that another nonce certainly had a row at some time.
	heldByOther bool
}

// NewClaiming returns a Claiming by which the record's nonce claims the record's
// key. After the deadline no further step is started.
func NewClaiming(record Record, deadline time.Time) *Claiming {
	record.State = RecordStarted
	return &Claiming{record: record, deadline: deadline, pause: firstPause}
}

// Next takes the result of the last step and returns the next one.
func (c *Claiming) Next(now time.Time, e Event) Action {
	a := c.next(now, e)
	if a.Step != StepDecide && (e.Cancelled || !now.Before(c.deadline)) {
		a = c.refuseExpired()
	}
	c.step = a.Step
	return a
}

func (c *Claiming) next(now time.Time, e Event) Action {
	switch c.step {
	case StepCreate, StepTakeOver:
		return c.onWritten(now, e)
	case StepRead:
		return c.onRead(now, e)
	case StepAskOwner:
		return c.onOwnerAnswer(now, e)
	case StepPause:
		return Action{Step: StepRead}
	case StepFetchBody:
		return c.onBodyFetched(e)
	}
	return c.write(now, StepCreate, "")
}

// write returns the step that conditionally writes this claim's record. Repeating
// it is safe: all writes of a claim are conditional, so a delayed one cannot
// replace another claim.
func (c *Claiming) write(now time.Time, step Step, expected storage.Revision) Action {
	if c.tries == maxClaimTries {
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

func (c *Claiming) onWritten(now time.Time, e Event) Action {
	switch {
	case e.Err == nil:
		return decideRun(e.Row.Revision)
	case errors.Is(e.Err, storage.ErrConflict):
		c.heldByOther = true
		return Action{Step: StepRead}
	case errors.Is(e.Err, storage.ErrOutcomeUnknown):
		return Action{Step: StepRead}
	}
	return c.refuse(resultcode.StoreUnavailable, "claim not written")
}

func (c *Claiming) onRead(now time.Time, e Event) Action {
	if errors.Is(e.Err, storage.ErrNotFound) {
		return c.write(now, StepCreate, "")
	}
	if e.Err != nil {
		return c.refuse(resultcode.StoreUnavailable, "claim not readable")
	}
	r, err := DecodeRecord(e.Row.Value)
	if err != nil {
		c.heldByOther = true
		return c.refuse(resultcode.OutcomeUnknown, "claim row cannot be judged")
	}
	if r.Nonce == c.record.Nonce && r.State == RecordStarted {
		return decideRun(e.Row.Revision)
	}
	c.heldByOther, c.otherRecord, c.otherRow = true, r, e.Row
	return c.handleOtherRecord(now)
}

// handleOtherRecord returns the next step for the row of another nonce.
func (c *Claiming) handleOtherRecord(now time.Time) Action {
	if !bytes.Equal(c.otherRecord.Digest, c.record.Digest) {
		return refuseWith(resultcode.NotRun, resultcode.IdempotencyKeyReused, "the key belongs to another request")
	}
	switch c.otherRecord.State {
	case RecordDone:
		return c.replay(c.otherRecord.Outcome)
	case RecordReleased:
		return c.write(now, StepTakeOver, c.otherRow.Revision)
	case RecordUnknown:
		return c.refuse(resultcode.OutcomeUnknown, "an earlier attempt may have run")
	}
	return Action{Step: StepAskOwner, Owner: c.otherRecord}
}

func (c *Claiming) onOwnerAnswer(now time.Time, e Event) Action {
	if e.Err != nil {
		c.unanswered++
		if c.unanswered == maxClaimTries {
			return c.refuse(resultcode.OutcomeUnknown, "the agent that holds the claim does not answer")
		}
		return c.wait()
	}
	switch e.Status {
	case StatusRunning:
		return c.wait()
	case StatusNeverRun:
		return c.write(now, StepTakeOver, c.otherRow.Revision)
	case StatusDone:
		if e.Outcome != nil && e.Outcome.Execution == resultcode.Ran {
			return c.replay(e.Outcome)
		}
		// The owner has saved the answer after the row was read; read it again.
		return c.wait()
	}
	return c.refuse(resultcode.OutcomeUnknown, "the agent that held the claim cannot say whether it ran")
}

// wait returns a pause, which doubles up to maxPause.
func (c *Claiming) wait() Action {
	pause := c.pause
	c.pause = min(2*c.pause, maxPause)
	return Action{Step: StepPause, Pause: pause}
}

func (c *Claiming) replay(o *Outcome) Action {
	if o.Object != "" && o.Body == nil {
		c.otherRecord.Outcome = o
		return Action{Step: StepFetchBody, Object: o.Object}
	}
	return Action{Step: StepDecide, Decision: Decision{Kind: Replay, Outcome: o}}
}

func (c *Claiming) onBodyFetched(e Event) Action {
	if errors.Is(e.Err, storage.ErrNotFound) {
		return refuseWith(resultcode.Ran, resultcode.AnswerNotRetained, "the request ran; its answer is no longer kept")
	}
	if e.Err != nil {
		return refuseWith(resultcode.Ran, resultcode.StoreUnavailable, "the request ran; its answer is not readable now")
	}
	o := *c.otherRecord.Outcome
	if o.ObjectBytes > 0 && len(e.Body) != o.ObjectBytes {
		return refuseWith(resultcode.Ran, resultcode.StoreUnavailable, fmt.Sprintf("the request ran; %d of %d bytes of its answer were read", len(e.Body), o.ObjectBytes))
	}
	o.Body = e.Body
	return c.replay(&o)
}

// refuseExpired ends a claim whose request is cancelled or past its deadline.
func (c *Claiming) refuseExpired() Action {
	if c.heldByOther {
		return c.refuse(resultcode.KeyInProgress, "another attempt holds the key")
	}
	return c.refuse(resultcode.DeadlineExceeded, "no time left to claim the key")
}

// refuse ends the claim without a run. If another nonce has had a row, an earlier
// attempt of the same request may have run, and the refusal says so.
func (c *Claiming) refuse(code resultcode.Code, message string) Action {
	if c.heldByOther {
		return refuseWith(resultcode.Unknown, code, message)
	}
	return refuseWith(resultcode.NotRun, code, message)
}

func refuseWith(x resultcode.Execution, code resultcode.Code, message string) Action {
	refusal := resultcode.New(code, "%s", message).WithExecution(x)
	return Action{Step: StepDecide, Decision: Decision{Kind: Refuse, Refusal: refusal}}
}

func decideRun(revision storage.Revision) Action {
	return Action{Step: StepDecide, Decision: Decision{Kind: Run, Revision: revision}}
}
