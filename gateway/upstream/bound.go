package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// maxHeadBytes bounds the heads that are read for one request, interim and
	// skipped ones included. Common servers limit a head to 8 to 64 KiB; parsing
	// takes a few times that in memory.
	maxHeadBytes = 64 << 10
	// maxInterim is the number of interim (1xx) answers to one request that are
	// read; net/http's client allows the same.
	maxInterim = 5
	// maxDrainBytes and drainTime bound what is read of a body that nobody needs,
	// to keep its connection. A new connection costs about a millisecond.
	maxDrainBytes = 16 << 10
	drainTime     = 20 * time.Millisecond
)

// Errors of endpoints that send bytes without end.
var (
	// ErrHeadTooLarge is a *Failure's cause for an answer whose head is too large.
	ErrHeadTooLarge = fmt.Errorf("head of the answer exceeds %d bytes", maxHeadBytes)
	// ErrInterimLimit is a *Failure's cause for too many interim answers.
	ErrInterimLimit = fmt.Errorf("more than %d interim answers", maxInterim)
)

// boundedReader reads from a connection and fails with ErrHeadTooLarge once
// more than the allowed bytes were read while a limit is set.
type boundedReader struct {
	net.Conn
	limited bool
	left    int
}

// limit allows n more bytes.
func (r *boundedReader) limit(n int) { r.limited, r.left = true, n }

// unlimit lifts the limit and returns what was left of it.
func (r *boundedReader) unlimit() int {
	r.limited = false
	return r.left
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.Conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// readAnswer reads the head of the next final answer.
func (c *conn) readAnswer(method *http.Request) (*http.Response, error) {
	for range maxInterim + 1 {
		answer, err := http.ReadResponse(c.reader, method)
		// The parser may call a head that was cut malformed.
		if err != nil && c.bounded.left <= 0 {
			return nil, ErrHeadTooLarge
		}
		if err != nil {
			return nil, fmt.Errorf("parse answer: %w", err)
		}
		if answer.StatusCode < http.StatusContinue {
			return nil, fmt.Errorf("parse answer: status %d does not exist", answer.StatusCode)
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
	return nil, ErrInterimLimit
}

// Endless reports whether an exchange failed because the endpoint sent more
// bytes than an answer's head can have.
func Endless(err error) bool {
	return errors.Is(err, ErrHeadTooLarge) || errors.Is(err, ErrInterimLimit)
}

// Discard ends an answer whose body nobody needs. The connection is kept if the
// rest of the body is short and arrives at once.
func (resp *Response) Discard() {
	if err := resp.conn.SetReadDeadline(time.Now().Add(drainTime)); err != nil {
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
