package execution

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// ErrReplaced means that a newer reader has attached to the attempt.
var ErrReplaced = errors.New("execution: reader replaced by a newer one")

// ErrIdle means that no frame became available within the time given to Next.
var ErrIdle = errors.New("execution: no frame in time")

// Reader consumes the frames of one attempt.
type Reader struct {
	attempt *Attempt
	nextPos int
	wake    chan struct{}
	// skipBelow is the index of the first chunk that the router lacks; chunks
	// below it are skipped.
	skipBelow uint32
}

// Attach returns a new reader, which replaces an earlier one. Chunks with an
// index below fromChunk are skipped. If chunks from fromChunk on have already been
// dropped from the buffer, the stream cannot be continued and Attach returns an
// error.
func (a *Attempt) Attach(fromChunk uint32) (*Reader, *resultcode.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstPos > 0 && !a.coversChunk(fromChunk) {
		return nil, resultcode.New(resultcode.AttemptNotFound, "chunk %d is no longer buffered", fromChunk).
			WithExecution(resultcode.Unknown)
	}
	r := &Reader{attempt: a, nextPos: a.firstPos, wake: make(chan struct{}, 1), skipBelow: fromChunk}
	old := a.reader
	a.reader = r
	// Frames that an earlier reader took may not have reached the router, so only
	// this reader's progress allows frames to be dropped.
	a.readPos = r.nextPos
	a.detachedAt = time.Time{}
	if old != nil {
		close(old.wake)
	}
	return r, nil
}

// coversChunk reports whether no chunk from index on has been dropped, that is,
// whether the index of the first buffered chunk is at most index.
func (a *Attempt) coversChunk(index uint32) bool {
	for _, f := range a.frames {
		if c := f.GetChunk(); c != nil {
			return c.GetIndex() <= index
		}
	}
	return true
}

// Next returns the next frame. It returns io.EOF after the last frame of an
// ended attempt, ErrIdle if no frame became available within idle,
// ErrReplaced if a newer reader has attached, or the error of ctx.
func (r *Reader) Next(ctx context.Context, idle time.Duration) (*rpc.Frame, error) {
	if f, err := r.take(); f != nil || err != nil {
		return f, err
	}
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		f, err := r.take()
		if f != nil || err != nil {
			return f, err
		}
		select {
		case <-r.wake:
		case <-timer.C:
			return nil, ErrIdle
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Ready reports whether Next would return a frame without blocking.
func (r *Reader) Ready() bool {
	a := r.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != r {
		return false
	}
	for _, f := range a.frames[r.nextPos-a.firstPos:] {
		if !r.skips(f) {
			return true
		}
	}
	return false
}

// skips reports whether the router already has a frame.
func (r *Reader) skips(f *rpc.Frame) bool {
	c := f.GetChunk()
	return c != nil && c.GetIndex() < r.skipBelow
}

// take returns the next frame that the router lacks, or nil if there is none yet.
func (r *Reader) take() (*rpc.Frame, error) {
	a := r.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != r {
		return nil, ErrReplaced
	}
	for r.nextPos < a.firstPos+len(a.frames) {
		f := a.frames[r.nextPos-a.firstPos]
		r.nextPos++
		a.readPos = max(a.readPos, r.nextPos)
		a.signalSpace()
		if r.skips(f) {
			continue
		}
		return f, nil
	}
	if a.complete {
		return nil, io.EOF
	}
	return nil, nil
}

// Close detaches the reader. Unless a newer reader has attached, the attempt
// counts as unread from now on.
func (r *Reader) Close(now time.Time) {
	a := r.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != r {
		return
	}
	a.reader = nil
	a.detachedAt = now
}
