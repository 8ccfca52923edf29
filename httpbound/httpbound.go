// Package httpbound bounds what HTTP clients of generated code read: they read
// the body of an answer whole, whatever its size.
package httpbound

import "net/http"

// Transport fails the read of an answer's body beyond Limit bytes. The error is
// a *http.MaxBytesError.
type Transport struct {
	http.RoundTripper
	Limit int64
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, t.Limit)
	return resp, nil
}
