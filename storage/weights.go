package storage

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// DefaultWeightsTimeout is the default timeout of one download of weights.
	DefaultWeightsTimeout = 10 * time.Minute
	// MaxWeightBytes is the largest size of the weights of one model version.
	MaxWeightBytes = 1 << 40

	defaultRetryAfter = time.Second
	maxRetryAfter     = 10 * time.Minute
)

// RateLimitedError means that the weight store refused a download because its
// rate limit was reached.
type RateLimitedError struct {
	// RetryAfter is the time to wait before the next try, between one second and ten
	// minutes.
	RetryAfter time.Duration
}

// Error returns a message with the time to wait.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("storage: weight store rate limit reached, retry after %v", e.RetryAfter)
}

// Unwrap returns ErrUnavailable.
func (e *RateLimitedError) Unwrap() error { return ErrUnavailable }

// WeightStore is a client of the rate-limited store of model weights. It is safe
// for concurrent use.
type WeightStore struct {
	client ServiceClient
}

// NewWeightStore returns a client. A zero timeout means DefaultWeightsTimeout.
func NewWeightStore(o Options) *WeightStore {
	if o.Timeout == 0 {
		o.Timeout = DefaultWeightsTimeout
	}
	return &WeightStore{client: NewServiceClient(o)}
}

// Fetch copies the weights of a model version to w and returns the number of
// bytes written. If it fails, w may have received a part of the weights. Errors:
// *RateLimitedError, ErrNotFound, ErrGone, ErrConflict, ErrUnavailable, ErrTooLarge,
// and ErrRejected, also if the model or version has an empty or dot segment.
func (s *WeightStore) Fetch(ctx context.Context, model, version string, w io.Writer) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.client.timeout)
	defer cancel()
	path, err := keyPath("/weights/", model+"/"+version)
	if err != nil {
		return 0, err
	}
	req := Request{Method: http.MethodGet, Path: path}
	resp, err := s.client.send(ctx, req)
	if err != nil {
		return 0, fmt.Errorf("fetch weights %s/%s: %w", model, version, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		return 0, &RateLimitedError{RetryAfter: retryAfter(resp.Header)}
	}
	if err := statusError(resp, req); err != nil {
		return 0, fmt.Errorf("fetch weights %s/%s: %w", model, version, err)
	}
	return copyBounded(w, resp.Body)
}

func copyBounded(w io.Writer, r io.Reader) (int64, error) {
	n, err := io.Copy(w, io.LimitReader(r, MaxWeightBytes+1))
	if err != nil {
		return n, fmt.Errorf("%w: copy weights: %v", ErrUnavailable, err)
	}
	if n > MaxWeightBytes {
		return n, fmt.Errorf("%w: more than %d bytes of weights", ErrTooLarge, int64(MaxWeightBytes))
	}
	return n, nil
}

// retryAfter returns the Retry-After header in seconds, limited to between one
// second and ten minutes. The date form is ignored, because it would compare the
// clocks of two machines.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 1 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// keyPath returns the URL path of a key with each segment escaped. Empty segments
// and dot segments are refused, because HTTP servers normalize such paths and
// would address a different resource.
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
