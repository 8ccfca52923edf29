package execution

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// ErrDisplaced means that a newer reader has attached to the attempt.
var ErrDisplaced = errors.New("execution: reader displaced by a newer one")

// ErrIdle means that no frame arrived within the time given to Next.
var ErrIdle = errors.New("execution: no frame in time")

// Reader consumes the frames of one attempt.
type Reader struct {
	attempt *Attempt
	next    int
	wake    chan struct{}
	// skipBelow drops chunks that the router already has.
	skipBelow uint32
}

// Attach makes a new reader, which displaces an earlier one. Chunks with an
// index below fromChunk are skipped; when frames above it have already been
// dropped from the buffer, the stream cannot be continued and Attach refuses.
func (a *Attempt) Attach(fromChunk uint32) (*Reader, *resultcode.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first > 0 && !a.coversChunk(fromChunk) {
		return nil, resultcode.New(resultcode.AttemptNotFound, "chunk %d is no longer buffered", fromChunk).
			WithExecution(resultcode.Unknown)
	}
	r := &Reader{attempt: a, next: a.first, wake: make(chan struct{}, 1), skipBelow: fromChunk}
	old := a.reader
	a.reader = r
	// What an earlier reader took may not have arrived, so only this reader's
	// progress allows frames to be dropped.
	a.read = r.next
	a.readerLeft = time.Time{}
	if old != nil {
		close(old.wake)
	}
	return r, nil
}

// coversChunk reports whether the first buffered chunk is not above index.
func (a *Attempt) coversChunk(index uint32) bool {
	for _, f := range a.frames {
		if c := f.GetChunk(); c != nil {
			return c.GetIndex() <= index
		}
	}
	return true
}

// Next returns the next frame. It returns io.EOF after the last frame of an
// ended attempt, ErrIdle when no frame arrived within idle, ErrDisplaced when a
// newer reader took over, or the error of ctx.
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

// Ready reports whether Next has a frame to return without waiting.
func (r *Reader) Ready() bool {
	a := r.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != r {
		return false
	}
	for _, f := range a.frames[r.next-a.first:] {
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

// take returns the next frame that the reader needs, or nil when there is none yet.
func (r *Reader) take() (*rpc.Frame, error) {
	a := r.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != r {
		return nil, ErrDisplaced
	}
	for r.next < a.first+len(a.frames) {
		f := a.frames[r.next-a.first]
		r.next++
		a.read = max(a.read, r.next)
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

// Close detaches the reader. The attempt counts as unread from now on, unless a
// newer reader has taken over.
func (r *Reader) Close(now time.Time) {
	a := r.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != r {
		return
	}
	a.reader = nil
	a.readerLeft = now
}
