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
	// DefaultTimeout is the default time limit of one call of a Client.
	DefaultTimeout = 15 * time.Second
	dialTimeout    = 3 * time.Second
	// maxResponseBytes limits responses other than a burn snapshot.
	maxResponseBytes = 4 << 20
)

// ClientOptions configure NewClient.
type ClientOptions struct {
	// URL is the base URL of the admin listener, such as http://10.0.0.7:8082.
	URL string
	// Key is the operator's key.
	Key string
	// Timeout limits one call; zero means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the HTTP client; nil means a new one with connect timeouts.
	HTTP *http.Client
}

// Client calls the admin API of one process. Errors of a request that was built are
// *resultcode.Error: the error returned by the server, EndpointDown when the process
// was not reached or a read got no usable response, AnswerTooLarge for a response
// above the size limit, or WriteOutcomeUnknown when a change was sent and got no
// usable response. Such a change should be retried with the same change ID.
type Client struct {
	base    string
	key     string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a Client. It returns an error if the URL is not an absolute
// http or https URL.
func NewClient(o ClientOptions) (*Client, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("admin URL is %q; allowed: an absolute http or https URL", o.URL)
	}
	c := &Client{base: strings.TrimSuffix(o.URL, "/"), key: o.Key, timeout: o.Timeout, http: o.HTTP}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
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

// Status returns the status of the process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil, maxResponseBytes)
}

// Ready returns nil when the process accepts work.
func (c *Client) Ready(ctx context.Context) error {
	_, err := call[HealthResponse](ctx, c, http.MethodGet, "/readyz", nil, maxResponseBytes)
	return err
}

// Profiles returns all profiles.
func (c *Client) Profiles(ctx context.Context) (ProfilesResponse, error) {
	return call[ProfilesResponse](ctx, c, http.MethodGet, "/v1/profiles", nil, maxResponseBytes)
}

// Profile returns one profile, or an UnknownProfile error. The profile is taken from
// the list of all profiles, because the path of a profile named "history" is the
// route of the change history.
func (c *Client) Profile(ctx context.Context, name string) (ProfileResponse, error) {
	list, err := c.Profiles(ctx)
	if err != nil {
		return ProfileResponse{}, err
	}
	for _, p := range list.Profiles {
		if p.Name == name {
			return ProfileResponse{list.Version, list.Source, p}, nil
		}
	}
	return ProfileResponse{}, resultcode.New(resultcode.UnknownProfile, "catalog version %d has no profile %q", list.Version, name)
}

// PutProfile adds or replaces a profile. If p has no change ID, a random one is set
// in p, so that the caller can retry the same change.
func (c *Client) PutProfile(ctx context.Context, p *PutProfileRequest) (AcceptedChange, error) {
	setChangeID(&p.ChangeID)
	return call[AcceptedChange](ctx, c, http.MethodPut, "/v1/profiles/"+url.PathEscape(p.Profile.Name), p, maxResponseBytes)
}

// Catalog returns the complete catalog.
func (c *Client) Catalog(ctx context.Context) (CatalogResponse, error) {
	return call[CatalogResponse](ctx, c, http.MethodGet, "/v1/catalog", nil, maxResponseBytes)
}

// PutCatalog replaces the complete catalog. The change ID is handled as by PutProfile.
func (c *Client) PutCatalog(ctx context.Context, p *PutCatalogRequest) (AcceptedChange, error) {
	setChangeID(&p.ChangeID)
	return call[AcceptedChange](ctx, c, http.MethodPut, "/v1/catalog", p, maxResponseBytes)
}

// History returns up to limit accepted changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]catalog.HistoryEntry, error) {
	h, err := call[HistoryResponse](ctx, c, http.MethodGet, "/v1/profiles/history?limit="+strconv.Itoa(limit), nil, maxResponseBytes)
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

// Drain starts a graceful shutdown and returns the status of the process.
func (c *Client) Drain(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodPost, "/v1/drain", nil, maxResponseBytes)
}

// setChangeID sets a random ID if id is empty.
func setChangeID(id *string) {
	if *id == "" {
		*id = uuid.NewString()
	}
}

// call sends one request and decodes its response. Unknown fields are ignored,
// because the process may run a newer version than the client.
func call[T any](ctx context.Context, c *Client, method, path string, body any, maxBytes int64) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return answer, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, unusableResponseError(method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return answer, unusableResponseError(method, path, err)
	}
	if int64(len(data)) > maxBytes {
		return answer, resultcode.New(resultcode.AnswerTooLarge, "%s %s: above %d bytes", method, path, maxBytes)
	}
	if resp.StatusCode/100 != 2 {
		return answer, errorFromResponse(method, path, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, unusableResponseError(method, path, err)
	}
	return answer, nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode the body of %s %s: %w", method, path, err)
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

// unusableResponseError returns the error of a call without a usable response. Only
// a connection that could not be opened proves that a change was not received; any
// other failed write has an unknown outcome.
func unusableResponseError(method, path string, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || notSent {
		return resultcode.Wrap(resultcode.EndpointDown, err, "%s %s", method, path)
	}
	return resultcode.Wrap(resultcode.WriteOutcomeUnknown, err, "%s %s", method, path).WithExecution(resultcode.Unknown)
}

// errorFromResponse decodes an error response. One without a numbered code does not
// come from the admin API but from an intermediary, such as a proxy.
func errorFromResponse(method, path string, status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err == nil && body.Error.Code != 0 {
		return body.Error.toError()
	}
	return unusableResponseError(method, path, fmt.Errorf("status %d without a result code", status))
}
