package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"testing"
	"time"
)

// cutEndpoint answers each request with one response and ends the connection after as many
// of its bytes as the header Cut says, by closing or resetting it.
type cutEndpoint struct {
	listener net.Listener
	response string
	reset    bool
}

func newCutEndpoint(t *testing.T, response string, reset bool) *cutEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &cutEndpoint{listener: listener, response: response, reset: reset}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serveConn(c.(*net.TCPConn))
		}
	}()
	return e
}

func (e *cutEndpoint) serveConn(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	cut, err := strconv.Atoi(r.Header.Get("Cut"))
	if err != nil {
		cut = len(e.response)
	}
	_, _ = io.WriteString(c, e.response[:cut])
	if e.reset {
		_ = c.SetLinger(0)
	}
}

// received is an answer as its caller sees it, with nothing known but the bytes and how the
// connection ended.
type received struct {
	status int
	body   string
	// complete states that the framing says that nothing is missing.
	complete bool
}

// readAnswer interprets what a caller received by the rules of HTTP (RFC 9112, section 6.3).
func readAnswer(raw string, connErr error) received {
	head, body, ok := strings.Cut(raw, "\r\n\r\n")
	if !ok {
		return received{}
	}
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n\r\n")), nil)
	if err != nil {
		return received{}
	}
	a := received{status: response.StatusCode, body: body}
	switch {
	case len(response.TransferEncoding) > 0:
		decoded, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(body)))
		a.body, a.complete = string(decoded), err == nil && strings.HasSuffix(body, "0\r\n\r\n")
	case response.ContentLength >= 0:
		a.complete = int64(len(body)) == response.ContentLength
	default:
		a.complete = connErr == nil
	}
	return a
}

// ask sends a request on a new connection, and returns the answer.
func (s *harness) ask(raw string) received {
	s.t.Helper()
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, raw); err != nil {
		s.t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	return readAnswer(string(b), err)
}

// framed returns a signed response with the body in one of the framings length, chunks and
// close.
func framed(version, framing, body string) string {
	head := version + " 200 OK\r\nId: a1\r\nSigned: x\r\nContent-Type: text/event-stream\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "chunks":
		half := len(body) / 2
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body[:half]) + chunk(body[half:]) + lastChunk
	}
	return head + "Connection: close\r\n\r\n" + body
}

// cutsOf returns the numbers of bytes after which a response is cut: within the head only a
// few, within the body all, and the whole response last.
func cutsOf(response string) []int {
	body := strings.Index(response, "\r\n\r\n") + len("\r\n\r\n")
	cuts := []int{0, 1, body / 2, body - 2}
	for cut := body; cut <= len(response); cut++ {
		cuts = append(cuts, cut)
	}
	return cuts
}

// eventsOf are the events of a run; the runs of two endpoints have other texts.
func eventsOf(run string, ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: %s%d\n\n", id, run, id)
	}
	return b.String()
}

// callerRequest is a request of a caller that speaks a version of HTTP, with the headers of
// the harness.
func callerRequest(version, path string, cut int) string {
	return fmt.Sprintf("POST %s %s\r\nHost: site.example\r\nId: a1\r\nKey: k1\r\nLeft: 10000\r\nConnection: close\r\nCut: %d\r\nContent-Length: 3\r\n\r\nask", path, version, cut)
}

// Guards against an answer that its endpoint broke off and that looks complete to the caller.
// Every end of an endpoint's answer is played, for each framing, at each byte, by closing and
// by resetting the connection. What looks complete is the whole of one run, or what one run
// brought and its continuation.
func TestBrokenAnswerNeverLooksComplete(t *testing.T) {
	whole := eventsOf("a", 1, 2, 3)
	for _, caller := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, route := range []string{"read", "charge", "stream", "resume"} {
			for _, framing := range []string{"HTTP/1.1 length", "HTTP/1.1 chunks", "HTTP/1.1 close", "HTTP/1.0 length", "HTTP/1.0 close"} {
				for _, end := range []string{"closed", "reset"} {
					t.Run(strings.Join([]string{"to", caller, route, framing, end}, " "), func(t *testing.T) {
						version, framing, _ := strings.Cut(framing, " ")
						first := newCutEndpoint(t, framed(version, framing, whole), end == "reset")
						s := newHarness(t, testTable())
						for _, cut := range cutsOf(first.response) {
							s.placer.targets = []string{first.listener.Addr().String()}
							got := s.ask(callerRequest(caller, "/"+route+"/x", cut))
							<-s.records.done
							if problem := judgeSingleRun(got, whole, route, framing, end, cut == len(first.response)); problem != "" {
								t.Fatalf("cut after %q: %s: %+v", first.response[:cut], problem, got)
							}
						}
					})
				}
			}
		}
	}
}

// judgeSingleRun returns what is wrong with an answer to a request that ran once; empty if
// nothing is.
func judgeSingleRun(got received, whole, route, framing, end string, sentWhole bool) string {
	streaming := route == "stream" || route == "resume"
	success := got.complete && got.status == http.StatusOK
	sound := sentWhole && (end == "closed" || framing != "close")
	switch {
	case sound && (!success || got.body != whole):
		return "a sound answer did not reach its caller"
	case !success || got.body == whole && sentWhole:
		return ""
	case framing == "close" && end == "closed" && !streaming:
		// The end of the connection is the only mark of the end of such an answer.
		return ""
	case framing == "close" && end == "closed" && got.body != "" && strings.HasPrefix(whole, got.body) && strings.HasSuffix(got.body, "\n\n"):
		// The bytes of a stream that ends between events do not tell whether more were to come.
		return ""
	}
	return "looks complete"
}
