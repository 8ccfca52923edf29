package rpc_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// Guards against bytes of a peer that crash the reader, make it accept a frame above
// the size limit, or are read as a message that cannot be written again.
func FuzzReader(f *testing.F) {
	var frames bytes.Buffer
	for _, m := range []*rpc.Frame{
		{Kind: &rpc.Frame_Chunk{Chunk: &rpc.Chunk{Index: 3, Data: []byte(`{"index":0}`), Text: "ț"}}},
		{Kind: &rpc.Frame_Done{Done: &rpc.Done{Usage: []byte("{}")}}},
		{Kind: &rpc.Frame_Refused{Refused: &rpc.Refused{Code: 2005, Message: "no"}}},
	} {
		if err := rpc.WriteMessage(&frames, m); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(frames.Bytes())
	f.Add(frames.Bytes()[:frames.Len()-2])
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Add(bytes.Repeat([]byte{0xff}, 11))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := rpc.NewReader(bytes.NewReader(data))
		for rest := data; ; {
			var frame rpc.Frame
			err := r.Read(&frame)
			if err != nil {
				checkEnd(t, rest, err)
				return
			}
			checkWrite(t, &frame)
			size, n := binary.Uvarint(rest)
			rest = rest[n+int(size):]
		}
	})
}

// checkEnd verifies that the error matches the bytes left after the last complete
// frame: io.EOF if there are none, and a size error for an oversized frame.
func checkEnd(t *testing.T, rest []byte, err error) {
	if clean := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF); clean != (len(rest) == 0) {
		t.Fatalf("%v with %d bytes left", err, len(rest))
	}
	var tooLarge *protodelim.SizeTooLargeError
	if size, n := binary.Uvarint(rest); n > 0 && size > rpc.MaxFrameBytes && !errors.As(err, &tooLarge) {
		t.Fatalf("frame of %d bytes: %v", size, err)
	}
}

// checkWrite verifies that writing and reading the frame again yields an equal one.
func checkWrite(t *testing.T, frame *rpc.Frame) {
	var out bytes.Buffer
	if err := rpc.WriteMessage(&out, frame); err != nil {
		t.Fatalf("write what was read: %v", err)
	}
	var again rpc.Frame
	if err := rpc.NewReader(&out).Read(&again); err != nil {
		t.Fatalf("read what was written: %v", err)
	}
	if !proto.Equal(frame, &again) {
		// NaN fields are never equal to themselves, so such messages are compared by
		// their encodings.
		a, _ := proto.MarshalOptions{Deterministic: true}.Marshal(frame)
		b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(&again)
		if !bytes.Equal(a, b) {
			t.Fatalf("%v became %v", frame, &again)
		}
	}
}
