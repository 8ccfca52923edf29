// Package rpc holds the protobuf messages between the processes of the system, the
// generated Twirp clients and servers for unary calls, and the framing of attempt
// streams: protobuf messages, each preceded by its length as a varint.
package rpc

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxFrameBytes limits the size of one framed message. It leaves room for the
	// largest request body of a caller (4 MiB) and the fields around it.
	MaxFrameBytes = 5 << 20

	// MaxTextSoFarBytes limits the text with which a stream is continued at another engine,
	// or after a preemption. A Run message with it and the largest body fits into a frame. A
	// longer text is not kept, since an engine may generate without end.
	MaxTextSoFarBytes = 512 << 10

	// MaxUnaryBytes limits the request and response bodies of a unary call. The
	// largest one holds a catalog, which is smaller than the largest request body of a
	// caller.
	MaxUnaryBytes = MaxFrameBytes

	// RunPath is the HTTP path that starts an attempt and streams its frames.
	RunPath = "/stream/run"

	// AttachPath is the HTTP path that resumes the stream of an attempt.
	AttachPath = "/stream/attach"

	readBufferBytes = 4 << 10
)

// WriteMessage writes one length-prefixed message to w.
func WriteMessage(w io.Writer, m proto.Message) error {
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// Reader reads length-prefixed messages from a stream. It is not safe for concurrent
// use.
type Reader struct {
	src *bufio.Reader
}

// NewReader returns a buffered Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{src: bufio.NewReaderSize(r, readBufferBytes)}
}

// Read decodes the next message into m. It returns io.EOF only at a message
// boundary; a stream that ends inside a message yields io.ErrUnexpectedEOF.
// A message above MaxFrameBytes yields an error.
func (r *Reader) Read(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	err := opts.UnmarshalFrom(r.src, m)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	if err != nil {
		return fmt.Errorf("read frame: %w", err)
	}
	return nil
}

// frameOverheadBytes is the assumed memory of a frame in addition to its payload.
const frameOverheadBytes = 96

// FrameBytes returns about how much memory a frame takes.
func FrameBytes(f *Frame) int {
	if c := f.GetChunk(); c != nil {
		return frameOverheadBytes + len(c.GetData()) + len(c.GetText())
	}
	// A stream has few other frames, but the headers of an answer and the message of a
	// refusal may be large.
	return frameOverheadBytes + proto.Size(f)
}
