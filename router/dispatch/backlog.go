package dispatch

import (
	"context"

	"golang.org/x/sync/semaphore"

	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	// maxBacklogEvents and maxBacklogBytes bound the events of one request that wait to be
	// handled, for example while its caller does not read; a stream reader then blocks. As
	// many parts of a service's answer as events fit. A frame alone may be larger.
	maxBacklogEvents = 32
	maxBacklogBytes  = 2 << 20
)

// backlog holds the events that the stream readers of a request have delivered.
type backlog struct {
	events chan streamEvent
	bytes  *semaphore.Weighted
}

func newBacklog() *backlog {
	return &backlog{events: make(chan streamEvent, maxBacklogEvents), bytes: semaphore.NewWeighted(maxBacklogBytes)}
}

// put adds an event once there is room; false if ctx ended before.
func (b *backlog) put(ctx context.Context, e streamEvent) bool {
	if b.bytes.Acquire(ctx, e.heldBytes()) != nil {
		return false
	}
	select {
	case b.events <- e:
		return true
	case <-ctx.Done():
		b.release(e)
		return false
	}
}

// release frees the room of an event that was received from the events.
func (b *backlog) release(e streamEvent) { b.bytes.Release(e.heldBytes()) }

// heldBytes returns the part of maxBacklogBytes that the event takes.
func (e streamEvent) heldBytes() int64 {
	if e.frame == nil {
		return 0
	}
	return int64(min(rpc.FrameBytes(e.frame), maxBacklogBytes))
}
