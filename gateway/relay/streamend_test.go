package relay

import (
	"strings"
	"testing"
)

// unframedResponse is a stream that ends with its connection.
func unframedResponse(events string) string {
	return "HTTP/1.1 200 OK\r\nId: a1\r\nSigned: x\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" + events + "<cut>"
}

// Guards against a stream that broke off but looks complete to the caller: its response has
// neither a length nor chunks, so that the end of the connection is all that marks its end.
// Such a stream counts as a broken attempt, and one that may be resumed goes on elsewhere.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	const first, second, third = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	rest := chunkedResponse(second, third) + lastChunk
	for _, c := range []struct {
		name, route, response string
		complete              bool
		// events are those of an answer that is delivered as complete.
		events string
	}{
		{"whole", "stream", unframedResponse(first + second), true, first + second},
		{"whole, with carriage returns", "stream", unframedResponse(strings.ReplaceAll(first+second, "\n", "\r\n")), true, strings.ReplaceAll(first+second, "\n", "\r\n")},
		{"inside an event", "stream", unframedResponse(first + "id: 2\nda"), false, ""},
		{"inside an event, resumable", "resume", unframedResponse(first + "id: 2\nda"), true, first + second + third},
		{"before the first event", "stream", unframedResponse(""), false, ""},
		{"inside an event of a framed response", "stream", chunkedResponse(first, "id: 2\nda") + lastChunk, false, ""},
		{"no event in a framed response", "stream", chunkedResponse() + lastChunk, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, testTable(), newScriptedEndpoint(t, c.response), newScriptedEndpoint(t, rest))
			response := decodeChunks(s.call(request("POST", "/"+c.route+"/x", "ask")))
			<-s.records.done
			head, body, _ := strings.Cut(response, "\n\n")
			body, complete := strings.CutSuffix(body, "(end of body: <nil>)")
			if strings.Contains(head, "Content-Length: 0") {
				body, complete = "", true
			}
			complete = complete && strings.HasPrefix(head, "HTTP/1.1 200")
			if complete != c.complete || complete && body != c.events {
				t.Errorf("the caller got %q, complete: %v; want the events %q, complete: %v", response, complete, c.events, c.complete)
			}
			broken := s.placer.results[0] == ResultBroken
			if broken != (!c.complete || c.route == "resume") {
				t.Errorf("the first attempt ended as %v", s.placer.results[0])
			}
		})
	}
}
