package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	serviceChunkBytes = 32 << 10
	// maxHealthBodyBytes bounds what is read of the response to a health check.
	maxHealthBodyBytes = 4 << 10
)

// Service is the Backend for a plain HTTP service.
type Service struct {
	url string
	// probes keeps its connections between health checks.
	probes *http.Client
	// runs opens a connection for each call. On a kept one, a copy of an earlier answer
	// that arrives late would be taken for the answer to the call, and net/http retries
	// a request on its own when such a connection breaks and the request carries an
	// Idempotency-Key header.
	runs *http.Client
}

// NewService returns the Backend for the service at a base URL, given without a
// trailing slash.
func NewService(url string) *Service {
	return &Service{
		url:    url,
		probes: serviceClient(newTransport(true)),
		runs:   serviceClient(newTransport(false)),
	}
}

func serviceClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: returnRedirect}
}

// returnRedirect makes the client return a redirect, which goes to the caller.
// Following it would send the request a second time.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Check queries the service's health route.
func (s *Service) Check(ctx context.Context) error {
	return checkHealth(ctx, s.probes, s.url+"/health")
}

// Models returns an empty list: a plain service has no models.
func (s *Service) Models(context.Context) ([]string, error) {
	return nil, nil
}

// Run forwards a call. Every HTTP response of the service counts as success and
// is returned to the caller, whatever its status.
func (s *Service) Run(ctx context.Context, req *rpc.RunRequest, emit Emit) *resultcode.Error {
	var tracker connTracker
	httpReq, err := s.newRequest(tracker.withTrace(ctx), req)
	if err != nil {
		return resultcode.Wrap(resultcode.MalformedBody, err, "the call cannot be passed on")
	}
	resp, err := s.runs.Do(httpReq)
	if err != nil {
		return tracker.transportError(err)
	}
	defer resp.Body.Close()
	if err := emit(headFrame(resp)); err != nil {
		return endpointFailed(err, "the answer was stopped")
	}
	return copyBody(resp.Body, emit)
}

func (s *Service) newRequest(ctx context.Context, req *rpc.RunRequest) (*http.Request, error) {
	work := req.GetService()
	target := s.url + work.GetPath()
	if work.GetQuery() != "" {
		target += "?" + work.GetQuery()
	}
	httpReq, err := http.NewRequestWithContext(ctx, work.GetMethod(), target, bytes.NewReader(work.GetBody()))
	if err != nil {
		return nil, err
	}
	for _, h := range work.GetHeaders() {
		httpReq.Header.Add(h.GetName(), h.GetValue())
	}
	httpReq.Header.Set("X-Request-Id", req.GetRequestId())
	if req.GetIdempotencyKey() != "" {
		httpReq.Header.Set("Idempotency-Key", req.GetIdempotencyKey())
	}
	return httpReq, nil
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func headFrame(resp *http.Response) *rpc.Frame {
	head := &rpc.ResponseHead{Status: uint32(resp.StatusCode)}
	for name, values := range resp.Header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			head.Headers = append(head.Headers, &rpc.Header{Name: name, Value: v})
		}
	}
	return &rpc.Frame{Kind: &rpc.Frame_Head{Head: head}}
}

func copyBody(body io.Reader, emit Emit) *resultcode.Error {
	buf := make([]byte, serviceChunkBytes)
	for index := uint32(0); ; {
		n, err := body.Read(buf)
		if n > 0 {
			chunk := &rpc.Chunk{Index: index, Data: bytes.Clone(buf[:n])}
			index++
			if err := emit(&rpc.Frame{Kind: &rpc.Frame_Chunk{Chunk: chunk}}); err != nil {
				return endpointFailed(err, "the answer was stopped")
			}
		}
		if errors.Is(err, io.EOF) {
			return emitDone(emit)
		}
		if err != nil {
			return endpointFailed(err, "the service's answer broke off")
		}
	}
}

func emitDone(emit Emit) *resultcode.Error {
	if err := emit(&rpc.Frame{Kind: &rpc.Frame_Done{Done: &rpc.Done{}}}); err != nil {
		return endpointFailed(err, "the answer was stopped")
	}
	return nil
}

func checkHealth(ctx context.Context, client *http.Client, url string) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	resp, err := get(ctx, client, url)
	if err != nil {
		return err
	}
	// A connection whose response was not read to its end is not kept. The status alone decides
	// on the check, so that an error is of no interest.
	_, _ = io.CopyN(io.Discard, resp.Body, maxHealthBodyBytes)
	return resp.Body.Close()
}

func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("the endpoint answered %d", resp.StatusCode)
	}
	return resp, nil
}
