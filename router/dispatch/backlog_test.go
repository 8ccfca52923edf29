package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// Guards against an agent whose frames are large and come without end, and fill the memory of
// the router while a caller does not read: only their number had a bound.
func TestBacklogIsBoundedInBytes(t *testing.T) {
	for name, frame := range map[string]*rpc.Frame{
		"chunks":   {Kind: &rpc.Frame_Chunk{Chunk: &rpc.Chunk{Data: make([]byte, 300<<10), Text: string(make([]byte, 200<<10))}}},
		"refusals": {Kind: &rpc.Frame_Refused{Refused: &rpc.Refused{Message: string(make([]byte, 500<<10))}}},
		"small":    {Kind: &rpc.Frame_Heartbeat{}},
		"largest":  {Kind: &rpc.Frame_Chunk{Chunk: &rpc.Chunk{Data: make([]byte, rpc.MaxFrameBytes-1<<10)}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newBacklog()
				delivered := 0
				go func() {
					for b.put(ctx, streamEvent{frame: frame}) {
						delivered++
					}
				}()
				synctest.Wait()
				if bytes := delivered * rpc.FrameBytes(frame); delivered == 0 || delivered > maxBacklogEvents || delivered > 1 && bytes > maxBacklogBytes {
					t.Errorf("%d frames with %d bytes wait, want at most %d with %d", delivered, bytes, maxBacklogEvents, maxBacklogBytes)
				}
				waiting := delivered
				for range waiting {
					b.release(<-b.events)
					synctest.Wait()
				}
				if delivered < 2*waiting {
					t.Errorf("%d frames were delivered, want %d after %d were taken", delivered, 2*waiting, waiting)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
