package ingress

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

func (s *Server) service(c echo.Context) error {
	in, refusal := s.admit(c)
	if refusal != nil {
		return s.refuse(c, refusal)
	}
	defer s.open.end()
	if refusal := s.prepareService(c, in); refusal != nil {
		return s.refuse(c, refusal)
	}
	sink := &serviceSink{c: c}
	if err := s.run(c, in, sink); err != nil {
		return sink.fail(err)
	}
	return nil
}

func (s *Server) prepareService(c echo.Context, in *inbound) *resultcode.Error {
	r := c.Request()
	name := c.Param("service")
	service, ok := in.index.Service(name)
	if !ok {
		return resultcode.New(resultcode.UnknownService, "service %q does not exist", name)
	}
	if err := in.resolveProfile(r.Header, service.DefaultProfile); err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	in.Service = &rpc.ServiceWork{
		Service: name,
		Method:  r.Method,
		Path:    servicePath(r.URL.EscapedPath()),
		Query:   r.URL.RawQuery,
		Headers: forwardedHeaders(r.Header),
		Body:    body,
	}
	in.BodyDigest = serviceDigest(in.Service)
	return nil
}

// servicePath returns the escaped path after /services/NAME, with a leading
// slash.
func servicePath(escaped string) string {
	rest := strings.TrimPrefix(escaped, "/services/")
	_, below, ok := strings.Cut(rest, "/")
	if !ok {
		return "/"
	}
	return "/" + below
}

// serviceDigest covers everything that determines what the call does. A length
// before each part keeps different calls from having the same digest.
func serviceDigest(w *rpc.ServiceWork) []byte {
	h := sha256.New()
	for _, part := range []string{w.GetService(), w.GetMethod(), w.GetPath(), w.GetQuery(), string(w.GetBody())} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	return h.Sum(nil)
}

// ownHeaderPrefix is the prefix of the headers that the router itself sets. A
// caller's header with this prefix never reaches an agent or endpoint.
const ownHeaderPrefix = "X-Pistachiowind-"

// notForwarded lists the headers of a caller that are not passed on to a
// service: credentials, headers of the connection, and headers whose meaning is
// for the router and the agent only.
var notForwarded = map[string]bool{
	"Authorization": true, "Idempotency-Key": true, "X-Request-Id": true, "Host": true,
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Expect": true, "X-Fencing-Number": true,
}

func forwardedHeaders(h http.Header) []*rpc.Header {
	var out []*rpc.Header
	for _, name := range slices.Sorted(maps.Keys(h)) {
		if notForwarded[name] || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		for _, v := range h[name] {
			out = append(out, &rpc.Header{Name: name, Value: v})
		}
	}
	return out
}

// serviceSink passes the answer of a service on to the caller.
type serviceSink struct {
	c           echo.Context
	headWritten bool
	// unflushed is set while written parts may wait in the server's buffer.
	unflushed bool
}

// Head writes the status and headers.
func (s *serviceSink) Head(head *rpc.ResponseHead) error {
	h := s.c.Response().Header()
	for _, header := range head.GetHeaders() {
		h.Add(header.GetName(), header.GetValue())
	}
	h.Set(ExecutionHeader, string(resultcode.Ran))
	if head.GetReplayed() {
		h.Set("Idempotent-Replayed", "true")
	}
	s.headWritten = true
	s.c.Response().WriteHeader(int(head.GetStatus()))
	return nil
}

// Chunk writes one part of the body.
func (s *serviceSink) Chunk(chunk *rpc.Chunk) error {
	_, err := s.c.Response().Write(chunk.GetData())
	s.unflushed = true
	return err
}

// Flush sends what was written since the last flush.
func (s *serviceSink) Flush() {
	if !s.unflushed {
		return
	}
	s.unflushed = false
	_ = http.NewResponseController(s.c.Response().Writer).Flush()
}

// Done does nothing: the HTTP server ends the body.
func (s *serviceSink) Done(*rpc.Done) error { return nil }

// fail refuses the call, or breaks the connection when the head of the answer
// has been sent, so that the caller does not take a part for the whole answer.
func (s *serviceSink) fail(err *resultcode.Error) error {
	if !s.headWritten {
		return writeRefusal(s.c, err)
	}
	panic(http.ErrAbortHandler)
}

// Buffered is false: each chunk is passed on at once.
func (s *serviceSink) Buffered() bool { return false }

// Restart does nothing: what was passed on cannot be taken back.
func (s *serviceSink) Restart() {}
