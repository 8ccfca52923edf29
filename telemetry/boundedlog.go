package telemetry

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// BoundedWriter buffers log lines for a slow writer and never blocks its caller.
// Lines beyond a rate, and lines for which the buffer has no room, are dropped and
// counted.
type BoundedWriter struct {
	lines         chan []byte
	maxPerSecond  int64
	dropped       atomic.Uint64
	currentSecond atomic.Int64
	linesInSecond atomic.Int64
	now           func() time.Time
}

// maxBufferedLines limits the lines that wait for the slow writer.
const maxBufferedLines = 512

// NewBoundedWriter returns a writer that accepts at most perSecond lines a second.
// The lines are written only while Serve runs.
func NewBoundedWriter(perSecond int, now func() time.Time) *BoundedWriter {
	return &BoundedWriter{lines: make(chan []byte, maxBufferedLines), maxPerSecond: int64(perSecond), now: now}
}

// Write buffers one line. It never returns an error; a dropped line is counted.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	second := b.now().Unix()
	if b.currentSecond.Swap(second) != second {
		b.linesInSecond.Store(0)
	}
	if b.linesInSecond.Add(1) > b.maxPerSecond {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines, including those that the slow
// writer failed to write.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// Serve writes lines to w until ctx ends, and then the lines still buffered.
func (b *BoundedWriter) Serve(ctx context.Context, w io.Writer) error {
	for {
		select {
		case line := <-b.lines:
			if _, err := w.Write(line); err != nil {
				b.dropped.Add(1)
			}
		case <-ctx.Done():
			b.drain(w)
			return ctx.Err()
		}
	}
}

func (b *BoundedWriter) drain(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			if _, err := w.Write(line); err != nil {
				b.dropped.Add(1)
			}
		default:
			return
		}
	}
}
