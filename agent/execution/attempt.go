package execution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// DefaultBufferBytes bounds the replay buffer of one attempt. At 100 bytes per
// token and 25 tokens per second it holds 100 s of a stream.
const DefaultBufferBytes = 256 << 10

type state int

const (
	stateQueued state = iota
	stateStarted
	stateEnded
	stateRenounced
)

// Attempt is one accepted attempt and its replay buffer. The worker appends
// frames and at most one reader consumes them. It is safe for concurrent use.
type Attempt struct {
	id       ID
	maxBytes int

	mu        sync.Mutex
	state     state
	execution resultcode.Execution
	cancel    context.CancelFunc

	frames []*rpc.Frame
	// firstPos is the position of frames[0] among all frames ever appended.
	firstPos int
	// readPos is the position after the last frame that the latest reader has
	// taken. Frames before it may be dropped.
	readPos       int
	bufferedBytes int
	// complete is set when no further frame will be appended.
	complete bool

	reader *Reader
	// detachedAt is when the latest reader detached; zero while one is attached
	// and before the first one.
	detachedAt time.Time
	// spaceFreed wakes Append when a reader has taken a frame.
	spaceFreed chan struct{}
	// stalls is the table's counter of appends that had to wait for space.
	stalls *atomic.Uint64
}

func newAttempt(id ID, maxBytes int, stalls *atomic.Uint64) *Attempt {
	return &Attempt{id: id, maxBytes: maxBytes, stalls: stalls, spaceFreed: make(chan struct{}, 1), execution: resultcode.NotRun}
}

// ID returns the attempt's identity.
func (a *Attempt) ID() ID { return a.id }

// Start marks the attempt as started at the endpoint; cancel stops it there. It
// returns false if the attempt has been renounced; the attempt must then not run.
func (a *Attempt) Start(cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == stateRenounced {
		return false
	}
	a.state = stateStarted
	a.execution = resultcode.Unknown
	a.cancel = cancel
	return true
}

// Requeue records that a preempted attempt no longer runs at the endpoint. It still
// counts as started and its execution stays Unknown, because it has run in part.
func (a *Attempt) Requeue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = nil
}

// SetExecution records what is known about the attempt's execution.
func (a *Attempt) SetExecution(x resultcode.Execution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.execution = x
}

// Execution returns what is known about the attempt's execution.
func (a *Attempt) Execution() resultcode.Execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.execution
}

// Cancel stops a started attempt at the endpoint.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	cancel := a.cancel
	a.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (a *Attempt) renounce() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != stateQueued {
		return false
	}
	a.state = stateRenounced
	a.complete = true
	a.wakeReader()
	return true
}

func (a *Attempt) end() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == stateEnded || a.state == stateRenounced {
		return false
	}
	a.state = stateEnded
	a.complete = true
	a.wakeReader()
	return true
}

// size returns the bytes of the buffered frames.
func (a *Attempt) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bufferedBytes
}

// Renounced reports whether the attempt was renounced.
func (a *Attempt) Renounced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state == stateRenounced
}

// Append adds a frame for the reader. While the buffer is full of frames that the
// reader has not taken, it blocks until there is space or ctx ends.
func (a *Attempt) Append(ctx context.Context, f *rpc.Frame) error {
	size := rpc.FrameBytes(f)
	for stalled := false; ; stalled = true {
		if a.tryAppend(f, size) {
			return nil
		}
		if !stalled {
			a.stalls.Add(1)
		}
		select {
		case <-a.spaceFreed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// AppendControl adds a small frame without blocking, even if the buffer exceeds
// its bound. An attempt has only a handful of such frames.
func (a *Attempt) AppendControl(f *rpc.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(f, rpc.FrameBytes(f))
}

func (a *Attempt) tryAppend(f *rpc.Frame, size int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.bufferedBytes+size > a.maxBytes && a.firstPos < a.readPos {
		a.dropFirst()
	}
	if a.bufferedBytes+size > a.maxBytes && len(a.frames) > 0 {
		return false
	}
	a.add(f, size)
	return true
}

func (a *Attempt) add(f *rpc.Frame, size int) {
	a.frames = append(a.frames, f)
	a.bufferedBytes += size
	a.wakeReader()
}

func (a *Attempt) dropFirst() {
	a.bufferedBytes -= rpc.FrameBytes(a.frames[0])
	a.frames[0] = nil
	a.frames = a.frames[1:]
	a.firstPos++
}

func (a *Attempt) wakeReader() {
	if a.reader == nil {
		return
	}
	select {
	case a.reader.wake <- struct{}{}:
	default:
	}
}

func (a *Attempt) signalSpace() {
	select {
	case a.spaceFreed <- struct{}{}:
	default:
	}
}

// UnreadSince returns the time at which the last reader detached. It returns false
// while a reader is attached or before the first one has detached.
func (a *Attempt) UnreadSince() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != nil || a.detachedAt.IsZero() {
		return time.Time{}, false
	}
	return a.detachedAt, true
}
