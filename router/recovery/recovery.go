// Package recovery follows the attempts of one request to the final answer. Its
// Machine decides whether to attach to an attempt again, to send another
// attempt, to collect evidence that no attempt ran, or to give the final answer,
// and whether that answer says that the request ran, did not run or may have
// run. It does no I/O: the caller reports events and carries out the returned
// actions.
package recovery

import (
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// RenounceTimeout is how long the caller waits for the answer to a Renounce
// before it reports RenounceFailed.
const RenounceTimeout = time.Second

// Options describe the request. Zero values take the defaults.
type Options struct {
	// Idempotent states that running the request twice does no harm.
	Idempotent bool
	// HasKey states that the request carries an idempotency key. The claim row
	// of the key then lets at most one of the attempts at different agents run.
	HasKey bool
	// Text states that the answer is a chat completion, which another engine can
	// continue with the text so far. A chunk with more than text, such as a tool
	// call, rules that out.
	Text bool
	// Buffered states that the caller receives nothing before the answer is
	// whole, so that it can be produced again from the start.
	Buffered bool
	// MaxAttempts limits the number of attempts that are sent; 3 by default.
	MaxAttempts int
	// MaxAttaches limits the number of consecutive attaches to one attempt
	// without a new chunk; 2 by default.
	MaxAttaches int
	// Deadline is the latest time for the final answer; none when zero.
	Deadline time.Time
	// MinTimeLeft is the time to the deadline below which no further attempt is
	// sent; 100 ms by default.
	MinTimeLeft time.Duration
	// RetryAfter is the Retry-After of a final failure that names no other time;
	// 1 s by default.
	RetryAfter time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = 3
	}
	if o.MaxAttaches <= 0 {
		o.MaxAttaches = 2
	}
	if o.MinTimeLeft <= 0 {
		o.MinTimeLeft = 100 * time.Millisecond
	}
	if o.RetryAfter <= 0 {
		o.RetryAfter = time.Second
	}
	return o
}

// EventKind tells what happened to an attempt or to the request.
type EventKind int

const (
	// AttemptSent is reported before the first byte of a Run is written. The
	// caller writes the Run only when the returned action is None.
	AttemptSent EventKind = iota + 1
	// NotOpened: the connection for the Run was never opened.
	NotOpened
	// Refused: a Refused frame answered the Run.
	Refused
	// Started: the attempt left the agent's queue for the endpoint.
	Started
	// Chunk: a chunk arrived. It is forwarded only when the action is Forward.
	Chunk
	// Silent: no frame arrived within the time limit for a silent stream.
	Silent
	// Broken: the stream ended without Done or Refused.
	Broken
	// AttachRefused: a Refused frame answered the Attach.
	AttachRefused
	// AttachFailed: the Attach could not be delivered.
	AttachFailed
	// RenounceAnswered: an agent answered a Renounce.
	RenounceAnswered
	// RenounceFailed: no answer to the Renounce within RenounceTimeout.
	RenounceFailed
	// Done: the stream ended with its Done frame.
	Done
	// CallerCancelled: the caller closed its connection.
	CallerCancelled
	// DeadlinePassed: the answer was not complete in time.
	DeadlinePassed
	// BudgetRefused: the retry budget does not allow the attempt of a Send action.
	BudgetRefused
	// NoEndpoint: no endpoint was found for the attempt of a Send action.
	NoEndpoint
)

// Event reports something to the machine. Fields that do not apply are ignored.
type Event struct {
	Kind EventKind
	// Attempt is the ticket of the attempt, the number that the router gave it.
	Attempt uint64
	// Index of a Chunk.
	Index uint32
	// Opaque states that a Chunk has parts that another engine cannot continue,
	// such as a tool call.
	Opaque bool
	// Unproven states that after a Chunk the model that wrote the text so far is not known.
	Unproven bool
	// SameIncarnation states that RenounceAnswered came from the incarnation that
	// the attempt was sent to.
	SameIncarnation bool
	// Error is the content of a Refused frame, or with NoEndpoint the error of
	// the selection.
	Error *resultcode.Error
	// Execution is what the agent states in Refused, AttachRefused and
	// RenounceAnswered. Any value but NotRun and Ran counts as Unknown.
	Execution resultcode.Execution
}

// ActionKind tells what the caller has to do.
type ActionKind int

const (
	// None: wait for the next event.
	None ActionKind = iota
	// Send a new attempt and report AttemptSent, BudgetRefused or NoEndpoint.
	Send
	// Attach to Attempt on a new connection, starting at From.
	Attach
	// Wait for the answers to the renounced attempts.
	Wait
	// Forward the chunk.
	Forward
	// Drop the chunk, or do not send the attempt.
	Drop
	// Finish the answer; it is complete.
	Finish
	// Fail with Error.
	Fail
)

// Action is what the caller has to do after an event.
type Action struct {
	Kind    ActionKind
	Attempt uint64
	// From is the index of the first chunk that an Attach or a Send asks for.
	From uint32
	// Restart tells that a Send produces the answer again from the start, so that
	// the caller discards the buffered chunks.
	Restart bool
	// KeepEndpoint tells that a Send may go to the endpoint of the last attempt.
	KeepEndpoint bool
	// Renounce lists attempts to renounce; it may be set with every kind. The
	// answer for each is reported, also after the final answer, where it has no
	// effect.
	Renounce []uint64
	// Error is the final answer of Fail.
	Error *resultcode.Error
}
