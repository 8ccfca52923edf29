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

// ErrRejected means that the service refused the request permanently, or that
// the client refused it before sending. It had no effect.
var ErrRejected = errors.New("storage: call rejected")

// ErrTooLarge means that a response exceeded its size limit and was not read to
// the end.
var ErrTooLarge = errors.New("storage: answer too large")

// MaxResponseHeaderBytes bounds the headers of a response, interim responses included. The
// services send only a few lines. The default of net/http is 10 MB.
const MaxResponseHeaderBytes = 16 << 10

// defaultTransport is the transport of clients whose Options name no other.
var defaultTransport = newDefaultTransport()

func newDefaultTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = MaxResponseHeaderBytes
	t.DisableCompression = true
	return t
}

// Options configures a client of one platform service.
type Options struct {
	// URL is the base URL of the service, without a trailing slash.
	URL string
	// Client sends the requests; nil means a new http.Client with a transport that all
	// such clients share, like http.DefaultTransport but with MaxResponseHeaderBytes.
	// Redirects are not followed, whatever its CheckRedirect says, because a redirected
	// write could be sent twice.
	Client *http.Client
	// Timeout bounds one request including its response; zero means
	// DefaultCallTimeout.
	Timeout time.Duration
}

// ServiceClient sends HTTP requests to one platform service, bounds their time
// and response size, and maps failures to the errors of this package.
type ServiceClient struct {
	baseURL    string
	httpClient http.Client
	timeout    time.Duration
	// observer and headerHook may be nil.
	observer   Observer
	headerHook func(http.Header)
}

// NewServiceClient returns a client. It opens no connection until the first
// request.
func NewServiceClient(o Options) ServiceClient {
	c := ServiceClient{baseURL: strings.TrimSuffix(o.URL, "/"), timeout: o.Timeout}
	if o.Client != nil {
		c.httpClient = *o.Client
	}
	if c.httpClient.Transport == nil {
		c.httpClient.Transport = defaultTransport
	}
	c.httpClient.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	if c.timeout == 0 {
		c.timeout = DefaultCallTimeout
	}
	return c
}

// Request is one HTTP request to a platform service.
type Request struct {
	Operation Operation
	Method    string
	Path      string
	Query     url.Values
	Header    http.Header
	Body      []byte
	// Write marks a request that changes state. If its response is lost, the
	// error is ErrOutcomeUnknown instead of ErrUnavailable.
	Write bool
	// MaxResponseBytes bounds the body of the response; zero permits only an empty
	// one.
	MaxResponseBytes int64
}

// Response is a response with a 2xx status, read to the end. Body is nil if the
// body of the response to a write could not be read.
type Response struct {
	Header http.Header
	Body   []byte
}

// Do sends a request, reads the whole response and reports the outcome to the
// observer. Errors: ErrNotFound, ErrGone, ErrConflict, ErrUnavailable, ErrRejected;
// for a write also ErrOutcomeUnknown; for a read also ErrTooLarge.
func (c *ServiceClient) Do(ctx context.Context, r Request) (Response, error) {
	start := time.Now()
	resp, err := c.roundTrip(ctx, r)
	if c.observer != nil {
		c.observer.Called(string(r.Operation), outcomeOf(err), time.Since(start))
	}
	return resp, err
}

func (c *ServiceClient) roundTrip(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	if c.headerHook != nil {
		c.headerHook(resp.Header)
	}
	if err := statusError(resp, r); err != nil {
		return Response{}, err
	}
	body, err := readBounded(resp.Body, r.MaxResponseBytes)
	if err != nil && !r.Write {
		return Response{}, err
	}
	// The status alone states the outcome of a write, so an unreadable body does
	// not turn a successful write into a failure.
	return Response{Header: resp.Header, Body: body}, nil
}

// send sends the request and returns once the response headers have arrived.
// If no connection was established, nothing was sent and a write cannot have had
// an effect: the error is ErrUnavailable rather than ErrOutcomeUnknown.
func (c *ServiceClient) send(ctx context.Context, r Request) (*http.Response, error) {
	target := c.baseURL + r.Path
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrRejected, err)
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	resp, err := c.httpClient.Do(req)
	if err == nil {
		return resp, nil
	}
	if r.Write && connected.Load() {
		return nil, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// statusError maps a response status to an error of this package. The service
// sends 429 and 503 before it starts a write. Any other 5xx may come from a proxy
// in front of the service after the write took effect, so the outcome of the write
// is unknown.
func statusError(resp *http.Response, r Request) error {
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
	case status >= 500 && r.Write:
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

// DecodeJSON decodes the body of a JSON response. Malformed JSON yields
// ErrUnavailable.
func DecodeJSON(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: malformed answer: %v", ErrUnavailable, err)
	}
	return nil
}

// WithHeaderHook returns a copy of the client that passes the headers of every
// response to f, including those of error responses.
func (c ServiceClient) WithHeaderHook(f func(http.Header)) ServiceClient {
	c.headerHook = f
	return c
}

// WithObserver returns a copy of the client that reports its requests to o.
func (c ServiceClient) WithObserver(o Observer) ServiceClient {
	c.observer = o
	return c
}
