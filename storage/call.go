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

// Caller sends bounded calls to one service and classifies their failures.
type Caller struct {
	base    string
	client  http.Client
	timeout time.Duration
	// observer and heads may be nil.
	observer Observer
	heads    func(http.Header)
}

// NewCaller returns a Caller; it opens no connection yet.
func NewCaller(o Options) Caller {
	c := Caller{base: strings.TrimSuffix(o.URL, "/"), timeout: o.Timeout}
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

// Call is one request to a service.
type Call struct {
	Operation Operation
	Method    string
	Path      string
	Query     url.Values
	Header    http.Header
	Body      []byte
	// Write states that the call changes state, so that a lost answer leaves
	// its outcome unknown.
	Write bool
	// Limit bounds the answer's body in bytes.
	Limit int64
}

// Answer is a whole answer with a status below 300.
type Answer struct {
	Header http.Header
	Body   []byte
}

// Do sends a call and reports its end to the observer.
func (c *Caller) Do(ctx context.Context, k Call) (Answer, error) {
	began := time.Now()
	a, err := c.exchange(ctx, k)
	if c.observer != nil {
		c.observer.Called(string(k.Operation), outcomeOf(err), time.Since(began))
	}
	return a, err
}

func (c *Caller) exchange(ctx context.Context, k Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, k)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	if c.heads != nil {
		c.heads(resp.Header)
	}
	if err := statusError(resp, k); err != nil {
		return Answer{}, err
	}
	body, err := readBounded(resp.Body, k.Limit)
	if err != nil && !k.Write {
		return Answer{}, err
	}
	// The status of a write states its outcome; its body carries nothing more.
	return Answer{Header: resp.Header, Body: body}, nil
}

// send performs the exchange up to the answer's head. Without a connection
// nothing was sent, so the call certainly had no effect.
func (c *Caller) send(ctx context.Context, k Call) (*http.Response, error) {
	target := c.base + k.Path
	if len(k.Query) > 0 {
		target += "?" + k.Query.Encode()
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, k.Method, target, bytes.NewReader(k.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrRejected, err)
	}
	for name, values := range k.Header {
		req.Header[name] = values
	}
	resp, err := c.client.Do(req)
	if err == nil {
		return resp, nil
	}
	if k.Write && connected.Load() {
		return nil, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// statusError maps the answer's status. 429 and 503 are sent before a write is
// started; any other server error may come from a gateway after the write.
func statusError(resp *http.Response, k Call) error {
	status := resp.StatusCode
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusGone:
		return ErrGone
	case status == http.StatusPreconditionFailed || status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case status >= 500 && k.Write:
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

// Decode decodes an answer in JSON. The error is ErrUnavailable.
func Decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: malformed answer: %v", ErrUnavailable, err)
	}
	return nil
}

// WithHeads returns a Caller that hands the header of each answer, also of a
// refusal, to f.
func (c Caller) WithHeads(f func(http.Header)) Caller {
	c.heads = f
	return c
}

// Observed returns a Caller that reports its calls to o.
func (c Caller) Observed(o Observer) Caller {
	c.observer = o
	return c
}
