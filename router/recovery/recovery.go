// Package recovery interprets how the attempts of one request end. The machine
// decides whether to attach to the attempt again, to send another attempt, to
// collect evidence that nothing ran, or to give the final answer, and with which
// execution verdict. It does no work itself: the caller reports events and
// carries out the returned actions.
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
	// of the key then decides between attempts at different agents.
	HasKey bool
	// Text states that the answer is a chat completion, which another engine can
	// continue with the text so far. Chunks with tool calls end that.
	Text bool
	// Buffered states that the caller receives nothing before the answer is
	// whole, so that it can be produced again from the start.
	Buffered bool
	// MaxAttempts bounds the attempts that are sent; 3 by default.
	MaxAttempts int
	// MaxAttaches bounds the attaches to one attempt without a new chunk; 2 by
	// default.
	MaxAttaches int
	// Deadline is the time of the final answer; none when zero.
	Deadline time.Time
	// MinTimeLeft is the time to the deadline below which no further attempt is
	// sent; 100 ms by default.
	MinTimeLeft time.Duration
	// RetryAfter is sent with a final failure that names no other time; 1 s by
	// default.
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

// EventKind names what happened.
type EventKind int

const (
	// AttemptSent is reported before the first byte of a Run is written. The
	// caller writes it only when the action is None.
	AttemptSent EventKind = iota + 1
	// NotOpened: the connection for the Run was never opened.
	NotOpened
	// Refused: a Refused frame answered the Run.
	Refused
	// Started: the attempt left the agent's queue for the endpoint.
	Started
	// Chunk arrived; it is passed on only when the action is Forward.
	Chunk
	// Silent: no frame for the limit of a silent stream.
	Silent
	// Broken: the stream ended without Done or Refused.
	Broken
	// AttachRefused: a Refused frame answered the Attach.
	AttachRefused
	// AttachFailed: the Attach could not be delivered.
	AttachFailed
	// RenounceAnswered carries the answer of an agent to a Renounce.
	RenounceAnswered
	// RenounceFailed: no answer to the Renounce within RenounceTimeout.
	RenounceFailed
	// Done: the stream ended with its Done frame.
	Done
	// CallerCancelled: the caller closed its connection.
	CallerCancelled
	// DeadlinePassed: the time for the whole answer is over.
	DeadlinePassed
	// BudgetRefused: the retry budget does not allow the attempt of a Send action.
	BudgetRefused
	// NoEndpoint: no endpoint was found for the attempt of a Send action.
	NoEndpoint
)

// Event reports something to the machine. Fields that do not apply are ignored.
type Event struct {
	Kind EventKind
	// Attempt is the ticket of the attempt.
	Attempt uint64
	// Index of a Chunk.
	Index uint32
	// ToolCall states that a Chunk has parts that another engine cannot continue.
	ToolCall bool
	// SameIncarnation states that RenounceAnswered came from the incarnation that
	// the attempt was sent to.
	SameIncarnation bool
	// Error is the content of a Refused frame or the error of the selection.
	Error *resultcode.Error
	// Execution is the agent's word in Refused, AttachRefused and
	// RenounceAnswered. Anything but NotRun and Ran counts as Unknown.
	Execution resultcode.Execution
}

// ActionKind names what the caller has to do.
type ActionKind int

const (
	// None: go on waiting.
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
	// Finish the answer as whole.
	Finish
	// Fail with Error.
	Fail
)

// Action is what the caller has to do.
type Action struct {
	Kind    ActionKind
	Attempt uint64
	// From is the index of the first chunk that an Attach or a Send asks for.
	From uint32
	// Restart tells that a Send begins again: buffered chunks are discarded.
	Restart bool
	// KeepEndpoint tells that a Send may go to the endpoint of the last attempt.
	KeepEndpoint bool
	// Renounce lists attempts to renounce whatever the kind is. The answer of
	// each is reported, also after the final answer, where it has no effect.
	Renounce []uint64
	// Error is the final answer of Fail.
	Error *resultcode.Error
}
