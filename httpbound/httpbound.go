// Package httpbound limits the size of HTTP response bodies. Generated clients need
// it, because they read the complete body whatever its size.
package httpbound

import "net/http"

// Transport is an http.RoundTripper whose response bodies return a
// *http.MaxBytesError when more than Limit bytes are read.
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
