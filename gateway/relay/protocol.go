package relay

import (
	"net/http"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/ratelimit"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

// RequestFields holds what the headers of a caller's request state.
type RequestFields struct {
	// ID identifies the caller's attempt; each of its attempts has its own.
	ID string
	// APIKey is the caller's API key; empty if it sent none.
	APIKey string
	// TimeLeft is the time until the caller gives up; valid if HasDeadline.
	TimeLeft    time.Duration
	HasDeadline bool
	// LastEventID is set if the caller resumes a stream, and Resumes to the ID of its attempt
	// that brought the first event.
	LastEventID, Resumes string
	// PromptTokens and OutputTokens are the token counts that the caller states.
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt that other requests may share.
	Parts []placement.Part
}

// OutgoingFields holds what the gateway states in the headers to an endpoint.
type OutgoingFields struct {
	TimeLeft   time.Duration
	EndpointID string
	Account    string
	Streaming  bool
	Priority   routing.Priority
	// FetchFrom is the address of an endpoint that has more of the prompt in its
	// cache; empty if there is none.
	FetchFrom string
	// LastEventID replaces the caller's if the gateway resumes a stream; empty
	// otherwise.
	LastEventID string
}

// ResponseFields holds what the headers of an endpoint's response state.
type ResponseFields struct {
	// ID identifies the attempt that the response belongs to.
	ID string
	// Signed states that the response has the signature of an endpoint that ran the
	// request.
	Signed bool
	// NotRun states that the endpoint did not run the request.
	NotRun bool
	// Notice is what the endpoint states about itself.
	Notice Notice
}

// Notice is what an endpoint states about itself. Any response can have one.
type Notice struct {
	// Leaving states that the endpoint accepts no more new requests.
	Leaving bool
	// Pause is how long a full endpoint wants no requests from this gateway; zero
	// if it states none.
	Pause time.Duration
	// OtherEndpoint states that another endpoint than the expected one responds at its
	// address.
	OtherEndpoint bool
	// Limit is the rate of requests that the endpoint accepts from all gateways
	// together.
	Limit ratelimit.Report
	// ToThisRequest states that the response answers the request of the attempt, so that
	// the endpoint made it after the request was sent. The Relay sets it.
	ToThisRequest bool
}

// Protocol converts between HTTP headers and the fields that a Relay uses.
type Protocol interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(http.Header) RequestFields
	// SetRequestHeaders replaces the system's own headers of a caller's request, in place, by
	// those for the endpoint.
	SetRequestHeaders(http.Header, OutgoingFields)
	// DecodeResponse decodes the status and the headers of an endpoint's response.
	DecodeResponse(status int, h http.Header) ResponseFields
	// ProcessQuery returns the target and the headers of the GET request that asks an endpoint
	// for its process, and DecodeProcess what an answer to it states.
	ProcessQuery(endpointID string) (target string, h http.Header)
	DecodeProcess(status int, h http.Header, body []byte) upstream.Process
}

// hopByHopHeaders apply to one connection only. Content-Length, Expect and Host are
// among them because the gateway frames each request and response itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers and those
// that Connection names.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range splitCommaList(line) {
			out.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// headBytes returns the size in bytes of the request line and the headers in their
// usual HTTP/1.1 form; net/http does not keep the received bytes.
func headBytes(r *http.Request) int {
	const lineEnd, separator, spaces = 2, 2, 2
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + spaces + lineEnd
	size += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + separator + len(v) + lineEnd
		}
	}
	return size + lineEnd
}
