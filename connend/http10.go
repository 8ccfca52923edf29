package connend

import (
	"bytes"
	"errors"
	"net"
	"strings"
)

// ErrChunksOfHTTP10 fails a response of HTTP/1.0 with a Transfer-Encoding: that version has no
// chunks, so that its end cannot be told (RFC 9112, section 6.1). net/http drops the header
// and would take the framing for the body.
var ErrChunksOfHTTP10 = errors.New("response of HTTP/1.0 with a Transfer-Encoding")

// HTTP10 begins the status line of a response of HTTP/1.0.
const HTTP10 = "HTTP/1.0"

// maxHTTP10HeadBytes bounds the head that RefuseChunksOfHTTP10 keeps; common servers limit one
// to 8 to 64 KiB.
const maxHTTP10HeadBytes = 64 << 10

// CheckHTTP10Head returns ErrChunksOfHTTP10 if the head of a response of HTTP/1.0 has a
// Transfer-Encoding.
func CheckHTTP10Head(head []byte) error {
	for line := range bytes.Lines(head) {
		if name, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(bytes.TrimSpace(name)), "Transfer-Encoding") {
			return ErrChunksOfHTTP10
		}
	}
	return nil
}

// http10Conn is a connection for one request that checks the head of a response of HTTP/1.0.
type http10Conn struct {
	net.Conn
	// head holds the bytes of the head so far; nil once it has been checked.
	head []byte
	// refused is set for good, as readers above may pass over a single error.
	refused bool
}

// RefuseChunksOfHTTP10 returns a connection for one request whose Read fails with
// ErrChunksOfHTTP10 at the end of such a head.
func RefuseChunksOfHTTP10(c net.Conn) net.Conn { return &http10Conn{Conn: c, head: []byte{}} }

// Read implements net.Conn.
func (c *http10Conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, ErrChunksOfHTTP10
	}
	n, err := c.Conn.Read(p)
	if c.head == nil {
		return n, err
	}
	c.head = append(c.head, p[:n]...)
	known := min(len(c.head), len(HTTP10))
	if string(c.head[:known]) != HTTP10[:known] || len(c.head) > maxHTTP10HeadBytes {
		c.head = nil
		return n, err
	}
	head, _, ended := bytes.Cut(bytes.ReplaceAll(c.head, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
	if !ended {
		return n, err
	}
	c.head = nil
	if CheckHTTP10Head(head) != nil {
		c.refused = true
		return 0, ErrChunksOfHTTP10
	}
	return n, err
}
