package relay

import (
	"net/http"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

// Fields is what a caller states of its request.
type Fields struct {
	// ID of the caller's attempt; each attempt has its own.
	ID  string
	Key string
	// TimeLeft until the caller gives up, if HasDeadline.
	TimeLeft    time.Duration
	HasDeadline bool
	// LastEventID is set when the caller resumes a stream.
	LastEventID                string
	PromptTokens, OutputTokens int
	Parts                      []placement.Part
}

// Outgoing is what the gateway states to an endpoint.
type Outgoing struct {
	TimeLeft   time.Duration
	EndpointID string
	Account    string
	Streaming  bool
	Priority   routing.Priority
	// FetchFrom is the address of an endpoint that holds more of the prompt in
	// its cache; empty for none.
	FetchFrom string
	// LastEventID replaces the caller's when the gateway resumes a stream.
	LastEventID string
}

// AnswerFields is what an endpoint states of its answer.
type AnswerFields struct {
	// ID of the attempt that the answer belongs to.
	ID string
	// Signed answers come from an endpoint that ran the request.
	Signed bool
	// NotRun states that the endpoint did not run the request.
	NotRun bool
	// Notice is what the endpoint says of itself.
	Notice Notice
}

// Notice is what an endpoint says of itself in any answer.
type Notice struct {
	// Leaving endpoints take no new requests any more.
	Leaving bool
	// Pause is how long a full endpoint wants no request of this gateway; zero for
	// none.
	Pause time.Duration
	// Other states that another endpoint answers at the address of the expected one.
	Other bool
}

// empty reports whether the endpoint says nothing of itself.
func (n Notice) empty() bool { return !n.Leaving && n.Pause <= 0 }

// Protocol translates headers.
type Protocol interface {
	Request(http.Header) Fields
	// Outgoing sets the system's own headers in place.
	Outgoing(http.Header, Outgoing)
	// Answer decodes the head of an answer with a status.
	Answer(status int, h http.Header) AnswerFields
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// endToEnd returns a copy of h without the headers that concern one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range splitList(line) {
			out.Del(name)
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// headBytes returns the size of a request's head as the caller would usually
// write it.
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
