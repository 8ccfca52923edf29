package relay

import (
	"strings"
	"testing"
)

// Guards against a success for the caller where the endpoint closed the connection in the
// middle of its answer's head.
func TestAnswerCutInItsHeadIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\nContent-Length: 2\r\n\r\n"
	for _, route := range []string{"charge", "stream", "resume"} {
		for cut := len("HTTP/1.1 2"); cut < len(head); cut++ {
			endpoint := newScriptedEndpoint(t, head[:cut]+"<cut>")
			s := newHarness(t, testTable(), endpoint)
			response := s.call("GET /" + route + "/1 HTTP/1.1\r\nHost: site.example\r\nId: r1\r\nKey: k1\r\nConnection: close\r\n\r\n")
			if !strings.HasPrefix(response, "HTTP/1.1 502") {
				t.Errorf("%s, cut after %q: %q", route, head[:cut], response)
			}
		}
	}
}
