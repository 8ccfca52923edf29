package storage

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// ErrRejected means that the service understood the call and refused it for
// good, or that the client refused it before sending. It had no effect.
var ErrRejected = errors.New("storage: call rejected")

// ErrTooLarge means that an answer exceeded its bound and was not read whole.
var ErrTooLarge = errors.New("storage: answer too large")

// Options configures a client of one platform service.
type Options struct {
	// URL is the base URL of the service, without a trailing slash.
	URL string
	// Client sends the calls; nil means a client of its own. Its CheckRedirect
	// is replaced, because a redirected write could be sent twice.
	Client *http.Client
	// Timeout bounds one call; zero means DefaultCallTimeout.
	Timeout time.Duration
}

// caller sends bounded calls to one service and classifies their failures.
type caller struct {
	base    string
	client  http.Client
	timeout time.Duration
	// observer may be nil.
	observer Observer
}

func newCaller(o Options) caller {
	c := caller{base: strings.TrimSuffix(o.URL, "/"), timeout: o.Timeout}
	if o.Client != nil {
		c.client = *o.Client
	}
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	if c.timeout == 0 {
		c.timeout = DefaultCallTimeout
	}
	return c
}

// call is one request to a service.
type call struct {
	operation Operation
	method    string
	path      string
	query     url.Values
	header    http.Header
	body      []byte
	// write states that the call changes state, so that a lost answer leaves
	// its outcome unknown.
	write bool
	// limit bounds the answer's body in bytes.
	limit int64
}

// answer is a whole answer with a status below 300.
type answer struct {
	header http.Header
	body   []byte
}

// revision returns the ETag without its quotes.
func (a answer) revision() Revision {
	return Revision(strings.Trim(a.header.Get("ETag"), `"`))
}

// do sends a call and reports its end to the observer.
func (c *caller) do(ctx context.Context, k call) (answer, error) {
	began := time.Now()
	a, err := c.exchange(ctx, k)
	if c.observer != nil {
		c.observer.Called(string(k.operation), outcomeOf(err), time.Since(began))
	}
	return a, err
}

func (c *caller) exchange(ctx context.Context, k call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, k)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	if err := statusError(resp, k); err != nil {
		return answer{}, err
	}
	body, err := readBounded(resp.Body, k.limit)
	if err != nil && !k.write {
		return answer{}, err
	}
	// The status of a write states its outcome; its body carries nothing more.
	return answer{header: resp.Header, body: body}, nil
}

// send performs the exchange up to the answer's head. Without a connection
// nothing was sent, so the call certainly had no effect.
func (c *caller) send(ctx context.Context, k call) (*http.Response, error) {
	target := c.base + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrRejected, err)
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	resp, err := c.client.Do(req)
	if err == nil {
		return resp, nil
	}
	if k.write && connected.Load() {
		return nil, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// statusError maps the answer's status. 429 and 503 are sent before a write is
// started; any other server error may come from a gateway after the write.
func statusError(resp *http.Response, k call) error {
	status := resp.StatusCode
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed || status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case status >= 500 && k.write:
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	case status >= 500:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	return fmt.Errorf("%w: status %d", ErrRejected, status)
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: read answer: %v", ErrUnavailable, err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	return body, nil
}

func decodeAnswer(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: malformed answer: %v", ErrUnavailable, err)
	}
	return nil
}

// keyPath escapes each segment of a key. Empty segments and dot segments are
// refused, because HTTP servers rewrite such paths and would address another row.
func keyPath(prefix, key string) (string, error) {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		if s == "" || s == "." || s == ".." {
			return "", fmt.Errorf("%w: key %q has an empty or dot segment", ErrRejected, key)
		}
		segments[i] = url.PathEscape(s)
	}
	return prefix + strings.Join(segments, "/"), nil
}

func quoted(r Revision) string {
	return `"` + string(r) + `"`
}
