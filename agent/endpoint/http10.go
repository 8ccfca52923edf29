package endpoint

import (
	"bytes"
	"errors"
	"net"
	"strings"
)

// errChunksOfHTTP10 fails a response whose end cannot be told: HTTP/1.0 has no chunks.
var errChunksOfHTTP10 = errors.New("response of HTTP/1.0 with a Transfer-Encoding")

// http10 begins the status line of a response of HTTP/1.0.
const http10 = "HTTP/1.0"

// http10Conn is a connection for one request that refuses a response of HTTP/1.0 with a
// Transfer-Encoding (RFC 9112, section 6.1): net/http drops that header, and would take the
// framing for the body.
type http10Conn struct {
	net.Conn
	// head holds the bytes of the head so far; nil once it has been checked.
	head []byte
	// refused is set for good, as readers above may pass over a single error.
	refused bool
}

func newHTTP10Conn(c net.Conn) *http10Conn { return &http10Conn{Conn: c, head: []byte{}} }

// Read implements net.Conn.
func (c *http10Conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errChunksOfHTTP10
	}
	n, err := c.Conn.Read(p)
	if c.head == nil {
		return n, err
	}
	c.head = append(c.head, p[:n]...)
	if known := min(len(c.head), len(http10)); string(c.head[:known]) != http10[:known] || len(c.head) > maxResponseHeaderBytes {
		c.head = nil
		return n, err
	}
	head, _, ended := bytes.Cut(bytes.ReplaceAll(c.head, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
	if !ended {
		return n, err
	}
	c.head = nil
	for line := range bytes.Lines(head) {
		if name, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(name), "Transfer-Encoding") {
			c.refused = true
			return 0, errChunksOfHTTP10
		}
	}
	return n, err
}
