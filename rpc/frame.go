// Package rpc holds the messages between the system's own processes, the
// generated twirp clients and servers for unary calls, and the framing of
// attempt streams: protobuf messages, each behind its length as a varint.
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
	// MaxFrameBytes bounds one framed message. It leaves room for the largest
	// caller body (4 MiB) and the fields around it.
	MaxFrameBytes = 5 << 20

	// MaxUnaryBytes bounds the body of a unary call and of its answer. The largest
	// holds a catalog, whose document is below a caller's largest body.
	MaxUnaryBytes = MaxFrameBytes

	// RunPath is the HTTP route that starts an attempt and streams its frames.
	RunPath = "/stream/run"

	// AttachPath is the HTTP route that continues the stream of an attempt.
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

// Reader reads length-prefixed messages from a stream.
type Reader struct {
	src *bufio.Reader
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{src: bufio.NewReaderSize(r, readBufferBytes)}
}

// Read decodes the next message into m. It returns io.EOF only at a message
// boundary; a stream that ends inside a message yields io.ErrUnexpectedEOF.
// Messages above MaxFrameBytes are refused.
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
