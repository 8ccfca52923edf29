package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/pistachiowind/pistachiowind/burn"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

const (
	// DefaultTimeout bounds one call of a Client.
	DefaultTimeout = 15 * time.Second
	dialTimeout    = 3 * time.Second
	// maxAnswerBytes bounds answers other than a burn snapshot.
	maxAnswerBytes = 4 << 20
)

// ClientOptions configure NewClient.
type ClientOptions struct {
	// URL is the base URL of the admin listener, such as http://10.0.0.7:8082.
	URL string
	// Key is the operator's key.
	Key string
	// Timeout bounds one call; zero means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the HTTP client; nil means one with connect timeouts.
	HTTP *http.Client
}

// Client calls the admin API of one process. Errors are *resultcode.Error: the
// server's own, EndpointDown when the process was not reached, or
// WriteOutcomeUnknown when a change was sent and its answer was lost. Such a
// change is repeated with the same change id.
type Client struct {
	base string
	key  string
	wait time.Duration
	http *http.Client
}

// NewClient returns a Client.
func NewClient(o ClientOptions) (*Client, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("admin URL is %q; allowed: an absolute http or https URL", o.URL)
	}
	c := &Client{base: strings.TrimSuffix(o.URL, "/"), key: o.Key, wait: o.Timeout, http: o.HTTP}
	if c.wait == 0 {
		c.wait = DefaultTimeout
	}
	if c.http == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		c.http = &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     time.Minute,
		}}
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns the state of the process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil, maxAnswerBytes)
}

// Ready returns nil when the process accepts work.
func (c *Client) Ready(ctx context.Context) error {
	_, err := call[Health](ctx, c, http.MethodGet, "/readyz", nil, maxAnswerBytes)
	return err
}

// Profiles returns all profiles.
func (c *Client) Profiles(ctx context.Context) (ProfileList, error) {
	return call[ProfileList](ctx, c, http.MethodGet, "/v1/profiles", nil, maxAnswerBytes)
}

// Profile returns one profile. It is taken from the list, because the path of
// a profile with the name "history" is that of the history.
func (c *Client) Profile(ctx context.Context, name string) (ProfileAt, error) {
	list, err := c.Profiles(ctx)
	if err != nil {
		return ProfileAt{}, err
	}
	for _, p := range list.Profiles {
		if p.Name == name {
			return ProfileAt{list.Version, list.Source, p}, nil
		}
	}
	return ProfileAt{}, resultcode.New(resultcode.UnknownProfile, "catalog version %d has no profile %q", list.Version, name)
}

// PutProfile adds or replaces a profile. An empty change id is replaced by a
// random one in p, so that the caller can repeat the same change.
func (c *Client) PutProfile(ctx context.Context, p *PutProfile) (Accepted, error) {
	ensureID(&p.ChangeID)
	return call[Accepted](ctx, c, http.MethodPut, "/v1/profiles/"+url.PathEscape(p.Profile.Name), p, maxAnswerBytes)
}

// Catalog returns the whole catalog.
func (c *Client) Catalog(ctx context.Context) (CatalogAt, error) {
	return call[CatalogAt](ctx, c, http.MethodGet, "/v1/catalog", nil, maxAnswerBytes)
}

// PutCatalog replaces the whole catalog. The change id is as for PutProfile.
func (c *Client) PutCatalog(ctx context.Context, p *PutCatalog) (Accepted, error) {
	ensureID(&p.ChangeID)
	return call[Accepted](ctx, c, http.MethodPut, "/v1/catalog", p, maxAnswerBytes)
}

// History returns up to limit accepted changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]catalog.HistoryEntry, error) {
	h, err := call[History](ctx, c, http.MethodGet, "/v1/profiles/history?limit="+strconv.Itoa(limit), nil, maxAnswerBytes)
	return h.Entries, err
}

// Burn returns the burn snapshot of one router.
func (c *Client) Burn(ctx context.Context) (*burn.Snapshot, error) {
	s, err := call[burn.Snapshot](ctx, c, http.MethodGet, "/v1/burn", nil, burn.MaxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	return &s, nil
}

// Drain starts a graceful shutdown and returns the state.
func (c *Client) Drain(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodPost, "/v1/drain", nil, maxAnswerBytes)
}

func ensureID(id *string) {
	if *id == "" {
		*id = uuid.NewString()
	}
}

// call sends one request and decodes its answer. Unknown fields are ignored,
// because the process may have a newer version than the client.
func call[T any](ctx context.Context, c *Client, method, path string, body any, maxBytes int64) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return answer, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, lost(method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return answer, lost(method, path, err)
	}
	if int64(len(data)) > maxBytes {
		return answer, resultcode.New(resultcode.AnswerTooLarge, "%s %s: above %d bytes", method, path, maxBytes)
	}
	if resp.StatusCode/100 != 2 {
		return answer, refusal(method, path, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, lost(method, path, err)
	}
	return answer, nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", path, err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// lost classifies a call without a usable answer. Only a connection that never
// opened proves that a change was not received.
func lost(method, path string, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || notSent {
		return resultcode.Wrap(resultcode.EndpointDown, err, "%s %s", method, path)
	}
	return resultcode.Wrap(resultcode.WriteOutcomeUnknown, err, "%s %s", method, path).WithExecution(resultcode.Unknown)
}

// refusal decodes an error answer. One without a numbered code does not come
// from the admin API, but from something between.
func refusal(method, path string, status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err == nil && body.Error.Code != 0 {
		return body.Error.err()
	}
	return lost(method, path, fmt.Errorf("status %d without a result code", status))
}
