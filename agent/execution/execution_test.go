package execution_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pistachiowind/pistachiowind/agent/execution"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

func chunk(index uint32, size int) *rpc.Frame {
	return &rpc.Frame{Kind: &rpc.Frame_Chunk{Chunk: &rpc.Chunk{Index: index, Data: make([]byte, size)}}}
}

// oracle records what has happened to one attempt and, unlike the table, never
// forgets it.
type oracle struct {
	accepted       bool
	started        bool
	reportedNotRun bool
	attempt        *execution.Attempt
}

// Guards against an attempt that runs after the agent reported not_run, and
// against one that is accepted twice, even after tombstones and ended attempts
// have been dropped at their bounds.
func TestNotRunIsNeverFalse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := execution.NewTable(execution.Options{
			MaxOpen: 4, MaxEnded: 2, MaxTombstones: 3, EndedRetention: time.Second,
		})
		now := time.Unix(0, 0)
		known := map[execution.ID]*oracle{}
		drawAttempt := func(t *rapid.T) (execution.ID, *oracle) {
			id := execution.ID{
				Router: fmt.Sprintf("router-%d", rapid.IntRange(0, 1).Draw(t, "router")),
				Ticket: uint64(rapid.IntRange(1, 8).Draw(t, "ticket")),
			}
			if known[id] == nil {
				known[id] = &oracle{}
			}
			return id, known[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				id, o := drawAttempt(t)
				a, err := table.Accept(now, id)
				if err != nil {
					return
				}
				if o.accepted {
					t.Fatalf("%v accepted twice", id)
				}
				if o.reportedNotRun {
					t.Fatalf("%v accepted after not_run", id)
				}
				o.accepted, o.attempt = true, a
			},
			"start": func(t *rapid.T) {
				id, o := drawAttempt(t)
				if o.attempt == nil || !o.attempt.Start(func() {}) {
					return
				}
				if o.reportedNotRun {
					t.Fatalf("%v started after not_run", id)
				}
				o.started = true
			},
			"renounce": func(t *rapid.T) {
				id, o := drawAttempt(t)
				knownExecution, _ := table.Renounce(now, id)
				if knownExecution != resultcode.NotRun {
					return
				}
				if o.started {
					t.Fatalf("%v is not_run but started", id)
				}
				o.reportedNotRun = true
			},
			"end": func(t *rapid.T) {
				_, o := drawAttempt(t)
				if o.started {
					table.End(now, o.attempt)
				}
			},
			"pass time": func(t *rapid.T) { now = now.Add(700 * time.Millisecond) },
		})
	})
}

// Guards against lost, repeated or reordered chunks when a router continues a
// stream on a new connection.
func TestAttachContinuesWithoutLossOrRepeat(t *testing.T) {
	table := execution.NewTable(execution.Options{})
	a, _ := table.Accept(time.Unix(0, 0), execution.ID{Router: "r", Ticket: 1})
	for i := range uint32(6) {
		if err := a.Append(t.Context(), chunk(i, 10)); err != nil {
			t.Fatal(err)
		}
	}
	first, _ := a.Attach(0)
	for range 3 {
		if _, err := first.Next(t.Context(), time.Second); err != nil {
			t.Fatal(err)
		}
	}
	// The router received only chunks 0 and 1.
	second, refusal := a.Attach(2)
	if refusal != nil {
		t.Fatal(refusal)
	}
	if _, err := first.Next(t.Context(), time.Second); !errors.Is(err, execution.ErrReplaced) {
		t.Errorf("old reader: %v, want ErrReplaced", err)
	}
	table.End(time.Unix(1, 0), a)
	for want := uint32(2); want < 6; want++ {
		f, err := second.Next(t.Context(), time.Second)
		if err != nil || f.GetChunk().GetIndex() != want {
			t.Fatalf("chunk %d: got %v, %v", want, f, err)
		}
	}
	if _, err := second.Next(t.Context(), time.Second); !errors.Is(err, io.EOF) {
		t.Errorf("after the last frame: %v, want EOF", err)
	}
}

// Guards against unbounded memory when a router does not read, and against an
// attach that succeeds although chunks it needs have been dropped.
func TestFullBufferStopsTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := execution.NewTable(execution.Options{BufferBytes: 1000})
		a, _ := table.Accept(time.Now(), execution.ID{Router: "r", Ticket: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var index uint32
		for a.Append(ctx, chunk(index, 100)) == nil {
			index++
		}
		if index > 10 {
			t.Errorf("%d chunks of 100 bytes fit into 1000 bytes", index)
		}
		reader, _ := a.Attach(0)
		for range index {
			if _, err := reader.Next(t.Context(), time.Second); err != nil {
				t.Fatal(err)
			}
		}
		for range 8 {
			if err := a.Append(t.Context(), chunk(index, 100)); err != nil {
				t.Fatalf("no room after the reader caught up: %v", err)
			}
			index++
			if _, err := reader.Next(t.Context(), time.Second); err != nil {
				t.Fatal(err)
			}
		}
		if _, refusal := a.Attach(0); refusal == nil {
			t.Error("attach at a dropped chunk was accepted")
		}
	})
}

// Guards against frames that are dropped because an earlier reader took them,
// although the reader that replaced it has not read them yet.
func TestNewReaderKeepsWhatItHasNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := execution.NewTable(execution.Options{BufferBytes: 2000})
		a, _ := table.Accept(time.Unix(0, 0), execution.ID{Router: "r", Ticket: 1})
		first, _ := a.Attach(0)
		for i := range uint32(8) {
			if err := a.Append(t.Context(), chunk(i, 100)); err != nil {
				t.Fatal(err)
			}
			if _, err := first.Next(t.Context(), time.Second); err != nil {
				t.Fatal(err)
			}
		}
		second, refusal := a.Attach(2)
		if refusal != nil {
			t.Fatal(refusal)
		}
		full, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		appended := uint32(8)
		for a.Append(full, chunk(appended, 100)) == nil {
			appended++
		}
		for want := uint32(2); want < appended; want++ {
			f, err := second.Next(t.Context(), time.Second)
			if err != nil || f.GetChunk().GetIndex() != want {
				t.Fatalf("chunk %d: got %v, %v", want, f, err)
			}
		}
	})
}

// Guards against an endpoint that answers each request with long headers and a long error, which
// fill the memory of its agent: ended attempts are kept for late readers.
func TestEndedAttemptsWithLongErrorsAreBounded(t *testing.T) {
	const messageBytes, maxBytes = 64 << 10, 1 << 20
	table := execution.NewTable(execution.Options{MaxEndedBytes: maxBytes})
	now := time.Unix(0, 0)
	frames := map[string]*rpc.Frame{
		"refusal": {Kind: &rpc.Frame_Refused{Refused: &rpc.Refused{Message: strings.Repeat("x", messageBytes)}}},
		"head": {Kind: &rpc.Frame_Head{Head: &rpc.ResponseHead{
			Headers: []*rpc.Header{{Name: "X", Value: strings.Repeat("x", messageBytes)}},
		}}},
	}
	for kind, frame := range frames {
		t.Run(kind, func(t *testing.T) {
			const attempts = 100
			for ticket := range uint64(attempts) {
				a, err := table.Accept(now, execution.ID{Router: kind, Ticket: ticket})
				if err != nil {
					t.Fatal(err)
				}
				a.AppendControl(proto.CloneOf(frame))
				table.End(now, a)
			}
			kept := 0
			for ticket := range uint64(attempts) {
				if _, ok := table.Get(execution.ID{Router: kind, Ticket: ticket}); ok {
					kept++
				}
			}
			if kept == 0 || kept*messageBytes > maxBytes {
				t.Errorf("%d ended attempts with %d bytes each are kept, want some but at most %d bytes", kept, messageBytes, maxBytes)
			}
		})
	}
}
