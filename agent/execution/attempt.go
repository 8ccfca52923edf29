package execution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// DefaultBufferBytes bounds the frames of one attempt that are kept for a
// reader. At 100 bytes a token and 25 tokens a second it covers 100 s.
const DefaultBufferBytes = 256 << 10

// frameOverheadBytes is the assumed memory of a frame besides its payload.
const frameOverheadBytes = 96

type state int

const (
	stateQueued state = iota
	stateStarted
	stateEnded
	stateRenounced
)

// Attempt is one accepted attempt with its replay buffer. The worker appends
// frames; at most one reader consumes them. It is safe for concurrent use.
type Attempt struct {
	id       ID
	maxBytes int

	mu        sync.Mutex
	state     state
	execution resultcode.Execution
	cancel    context.CancelFunc

	frames []*rpc.Frame
	// first is the position of frames[0] in the whole sequence of frames.
	first int
	// read is the position after the last frame that a reader has taken.
	read  int
	bytes int
	// complete is set when the last frame has been appended.
	complete bool

	reader     *Reader
	readerLeft time.Time
	space      chan struct{}
	// stalls counts the waits for room in all buffers of the table.
	stalls *atomic.Uint64
}

func newAttempt(id ID, maxBytes int, stalls *atomic.Uint64) *Attempt {
	return &Attempt{id: id, maxBytes: maxBytes, stalls: stalls, space: make(chan struct{}, 1), execution: resultcode.NotRun}
}

// ID returns the attempt's identity.
func (a *Attempt) ID() ID { return a.id }

// Start marks the attempt as handed to the endpoint; cancel stops it there. It
// returns false when the attempt was renounced before; it must then not run.
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

// Requeue marks a started attempt as waiting again after preemption. Its
// execution stays Unknown, because part of it ran.
func (a *Attempt) Requeue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = nil
}

// Resolve records what is known about the attempt's execution.
func (a *Attempt) Resolve(x resultcode.Execution) {
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
	return a.bytes
}

// Renounced reports whether the attempt was renounced.
func (a *Attempt) Renounced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state == stateRenounced
}

// Append adds a frame for the reader. When the buffer is full of frames that no
// reader has taken yet, it waits until there is room or ctx ends.
func (a *Attempt) Append(ctx context.Context, f *rpc.Frame) error {
	size := frameSize(f)
	for stalled := false; ; stalled = true {
		if a.tryAppend(f, size) {
			return nil
		}
		if !stalled {
			a.stalls.Add(1)
		}
		select {
		case <-a.space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// AppendControl adds a small frame without waiting, also above the bound. An
// attempt has only a handful of such frames.
func (a *Attempt) AppendControl(f *rpc.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(f, frameSize(f))
}

func (a *Attempt) tryAppend(f *rpc.Frame, size int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.bytes+size > a.maxBytes && a.first < a.read {
		a.dropFirst()
	}
	if a.bytes+size > a.maxBytes && len(a.frames) > 0 {
		return false
	}
	a.add(f, size)
	return true
}

func (a *Attempt) add(f *rpc.Frame, size int) {
	a.frames = append(a.frames, f)
	a.bytes += size
	a.wakeReader()
}

func (a *Attempt) dropFirst() {
	a.bytes -= frameSize(a.frames[0])
	a.frames[0] = nil
	a.frames = a.frames[1:]
	a.first++
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
	case a.space <- struct{}{}:
	default:
	}
}

// UnreadSince returns the time at which the last reader left, and false while a
// reader is attached or before the first one left.
func (a *Attempt) UnreadSince() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != nil || a.readerLeft.IsZero() {
		return time.Time{}, false
	}
	return a.readerLeft, true
}

func frameSize(f *rpc.Frame) int {
	size := frameOverheadBytes
	switch k := f.GetKind().(type) {
	case *rpc.Frame_Chunk:
		size += len(k.Chunk.GetData()) + len(k.Chunk.GetText())
	case *rpc.Frame_Done:
		size += len(k.Done.GetUsage())
	}
	return size
}
