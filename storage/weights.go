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
	// DefaultWeightsTimeout bounds one fetch of weights.
	DefaultWeightsTimeout = 10 * time.Minute
	// MaxWeightBytes bounds the weights of one version.
	MaxWeightBytes = 1 << 40

	defaultRetryAfter = time.Second
	maxRetryAfter     = 10 * time.Minute
)

// RateLimitedError means that the weight store refused a fetch for now.
type RateLimitedError struct {
	// RetryAfter is the time to wait, at least one second.
	RetryAfter time.Duration
}

// Error states the time to wait.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("storage: weight store rate limit reached, retry after %v", e.RetryAfter)
}

// Unwrap returns ErrUnavailable.
func (e *RateLimitedError) Unwrap() error { return ErrUnavailable }

// Weights is a client of the rate-limited weight store. It is safe for
// concurrent use.
type Weights struct {
	caller Caller
}

// NewWeights returns a client. A zero timeout means DefaultWeightsTimeout.
func NewWeights(o Options) *Weights {
	if o.Timeout == 0 {
		o.Timeout = DefaultWeightsTimeout
	}
	return &Weights{caller: NewCaller(o)}
}

// Fetch copies the weights of a model version to w and returns their size. On
// an error w may have received a part. Errors: *RateLimitedError, ErrNotFound,
// ErrUnavailable, ErrTooLarge.
func (s *Weights) Fetch(ctx context.Context, model, version string, w io.Writer) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.caller.timeout)
	defer cancel()
	path, err := keyPath("/weights/", model+"/"+version)
	if err != nil {
		return 0, err
	}
	k := Call{Method: http.MethodGet, Path: path}
	resp, err := s.caller.send(ctx, k)
	if err != nil {
		return 0, fmt.Errorf("fetch weights %s/%s: %w", model, version, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		return 0, &RateLimitedError{RetryAfter: retryAfter(resp.Header)}
	}
	if err := statusError(resp, k); err != nil {
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

// retryAfter reads the header in its form of seconds, between one second and
// ten minutes; the form with a date would compare clocks of two machines.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 1 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
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
