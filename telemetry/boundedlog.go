package telemetry

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// BoundedWriter passes log lines to a slow writer without ever blocking the
// caller. Lines beyond a rate, and lines for which the buffer has no room, are
// counted and dropped.
type BoundedWriter struct {
	lines   chan []byte
	perS    int64
	dropped atomic.Uint64
	window  atomic.Int64
	used    atomic.Int64
	now     func() time.Time
}

// boundedLogBuffer is the number of lines that wait for the slow writer.
const boundedLogBuffer = 512

// NewBoundedWriter returns a writer for at most perSecond lines a second. Serve
// must run for the lines to be written.
func NewBoundedWriter(perSecond int, now func() time.Time) *BoundedWriter {
	return &BoundedWriter{lines: make(chan []byte, boundedLogBuffer), perS: int64(perSecond), now: now}
}

// Write takes one line. It never fails: a dropped line is counted.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	second := b.now().Unix()
	if b.window.Swap(second) != second {
		b.used.Store(0)
	}
	if b.used.Add(1) > b.perS {
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

// Dropped returns the number of dropped lines.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// Serve writes lines to w until ctx ends, then those that wait.
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
