package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pistachiowind/pistachiowind/connend"
)

const (
	// maxHeadBytes bounds the total size of the response heads that are read for one
	// request, those of interim and skipped responses included. Common servers limit
	// a head to 8 to 64 KiB; parsing takes a few times that in memory.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim (1xx) responses that are read before one
	// final response; net/http's client has the same limit.
	maxInterimResponses = 5
	// maxDrainBytes and drainTimeout bound what is read of an unneeded body so that
	// its connection can be reused. A new connection costs about a millisecond.
	maxDrainBytes = 16 << 10
	drainTimeout  = 20 * time.Millisecond
)

// Errors of responses that exceed the limits on heads.
var (
	// ErrHeadTooLarge is the cause of a *Failure if the heads exceed maxHeadBytes.
	ErrHeadTooLarge = fmt.Errorf("response head exceeds %d bytes", maxHeadBytes)
	// ErrInterimLimit is the cause of a *Failure if there are too many interim
	// responses.
	ErrInterimLimit = fmt.Errorf("more than %d interim answers", maxInterimResponses)
)

// boundedReader reads from a connection. While a limit is set, reads beyond it
// fail with ErrHeadTooLarge.
type boundedReader struct {
	net.Conn
	limited   bool
	remaining int
}

// setLimit allows n more bytes to be read.
func (r *boundedReader) setLimit(n int) { r.limited, r.remaining = true, n }

// clearLimit removes the limit and returns the number of bytes that were still
// allowed.
func (r *boundedReader) clearLimit() int {
	r.limited = false
	return r.remaining
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.Conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// readResponse reads the head of the next final response and skips the interim
// ones before it.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := c.parseResponse(request)
		// The parser may report a head that was cut at the limit as malformed.
		if err != nil && c.bounded.remaining <= 0 {
			return nil, ErrHeadTooLarge
		}
		if err != nil {
			return nil, fmt.Errorf("parse answer: %w", err)
		}
		if response.StatusCode < http.StatusContinue {
			return nil, fmt.Errorf("parse answer: status %d does not exist", response.StatusCode)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, ErrInterimLimit
}

// parseResponse parses the head of the next response. One of HTTP/1.0 is read beforehand, for
// connend.CheckHTTP10Head, and its connection is not reused.
func (c *conn) parseResponse(request *http.Request) (*http.Response, error) {
	if version, err := c.reader.Peek(len(connend.HTTP10)); err != nil || string(version) != connend.HTTP10 {
		return http.ReadResponse(c.reader, request)
	}
	head, err := c.readRawHead()
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), c.reader)), request)
	if err != nil {
		return nil, err
	}
	response.Close = true
	return response, connend.CheckHTTP10Head(head)
}

// readRawHead reads to the end of a head, without interpreting it.
func (c *conn) readRawHead() ([]byte, error) {
	var head []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err != nil:
			return nil, err
		case len(bytes.TrimSpace(line)) == 0:
			return head, nil
		}
	}
}

// IsHeadLimitError reports whether an exchange failed because the endpoint sent too
// large a head or too many interim responses.
func IsHeadLimitError(err error) bool {
	return errors.Is(err, ErrHeadTooLarge) || errors.Is(err, ErrInterimLimit)
}

// Discard ends a response whose body is not needed. The connection returns to the
// pool if the rest of the body is shorter than maxDrainBytes and arrives within
// drainTimeout.
func (resp *Response) Discard() {
	if err := resp.conn.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		resp.Abort()
		return
	}
	if _, err := io.CopyN(io.Discard, resp.Body, maxDrainBytes); err != io.EOF {
		resp.Abort()
		return
	}
	if err := resp.conn.SetReadDeadline(time.Time{}); err != nil {
		resp.Abort()
		return
	}
	resp.Finish()
}
