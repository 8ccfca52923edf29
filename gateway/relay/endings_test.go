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

// unhurriedAttempt lets no attempt end by its timeout on a busy machine.
const unhurriedAttempt = 10 * time.Second

// cutEndpoint answers each request with one response and ends the connection after as many
// of its bytes as the header Cut says, or after cut bytes, by closing or resetting it.
type cutEndpoint struct {
	listener net.Listener
	response string
	reset    bool
	// hold keeps the connection open after these bytes, until the peer closes it.
	hold bool
	// cut is negative if the header decides.
	cut int
	// continued returns the response to a request that resumes after an event; nil if that is
	// response.
	continued func(lastEventID string) string
}

func newCutEndpoint(t *testing.T, response string, reset bool) *cutEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &cutEndpoint{listener: listener, response: response, reset: reset, cut: -1}
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
	response, cut := e.response, e.cut
	if e.continued != nil {
		response = e.continued(r.Header.Get("Last"))
		cut = len(response)
	}
	if cut < 0 {
		if cut, err = strconv.Atoi(r.Header.Get("Cut")); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, response[:cut])
	if e.hold {
		_, _ = c.Read(make([]byte, 1))
	}
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
	return readAnswer(s.receive(raw))
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
						s.placer.attemptTimeout = unhurriedAttempt
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

// Guards against an answer that the gateway itself ends early, at a deadline or in a stop, and
// that looks complete to its caller, for each framing of the endpoint's answer.
func TestAnswerEndedByTheGatewayNeverLooksComplete(t *testing.T) {
	whole := eventsOf("a", 1, 2, 3)
	for _, caller := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, route := range []string{"read", "charge", "stream", "resume"} {
			for _, framing := range []string{"length", "chunks", "close"} {
				for _, by := range []string{"deadline", "stop"} {
					t.Run(strings.Join([]string{"to", caller, route, framing, by}, " "), func(t *testing.T) {
						t.Parallel()
						e := newCutEndpoint(t, framed("HTTP/1.1", framing, whole), false)
						e.hold = true
						s := newHarness(t, testTable())
						s.placer.targets = []string{e.listener.Addr().String()}
						raw := callerRequest(caller, "/"+route+"/x", strings.Index(e.response, "id: 3"))
						if by == "deadline" {
							raw = strings.Replace(raw, "Left: 10000", "Left: 300", 1)
						} else {
							stop := time.AfterFunc(200*time.Millisecond, func() { _ = s.server.Config.Close() })
							defer stop.Stop()
						}
						if got := s.ask(raw); got.complete && got.status == http.StatusOK {
							t.Errorf("looks complete: %+v", got)
						}
					})
				}
			}
		}
	}
}

// Guards against an answer of HTTP/1.0 in chunks, which that version lacks, whose framing
// reaches the caller as its body, and which looks complete wherever it breaks off.
func TestChunksOfHTTP10AreNoAnswer(t *testing.T) {
	for _, route := range []string{"read", "charge", "stream", "resume"} {
		e := newCutEndpoint(t, framed("HTTP/1.0", "chunks", eventsOf("a", 1, 2, 3)), false)
		s := newHarness(t, testTable())
		s.placer.targets = []string{e.listener.Addr().String()}
		if got := s.ask(callerRequest("HTTP/1.1", "/"+route+"/x", len(e.response))); got.status == http.StatusOK {
			t.Errorf("%s: %+v", route, got)
		}
	}
}

// newBrokenStream returns an endpoint whose stream ends inside its second event.
func newBrokenStream(t *testing.T) *cutEndpoint {
	e := newCutEndpoint(t, framed("HTTP/1.1", "chunks", eventsOf("a", 1, 2, 3)), false)
	e.cut = strings.Index(e.response, "a2")
	return e
}

// resumeAt asks for a stream that breaks after its first event and goes on at next.
func (s *harness) resumeAt(t *testing.T, caller string, next *cutEndpoint, cut int) received {
	s.placer.targets = []string{newBrokenStream(t).listener.Addr().String(), next.listener.Addr().String()}
	s.placer.retryBudget = 1
	got := s.ask(callerRequest(caller, "/resume/x", cut))
	<-s.records.done
	return got
}

// Guards against a stream that goes on at another endpoint and looks complete although that
// endpoint's answer broke off, and against one that is not passed on although it is whole.
func TestBrokenContinuationNeverLooksComplete(t *testing.T) {
	const begun = "id: 1\ndata: a1\n\n"
	rest := eventsOf("b", 2, 3)
	for _, caller := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, framing := range []string{"length", "chunks", "close"} {
			for _, end := range []string{"closed", "reset"} {
				t.Run(strings.Join([]string{"to", caller, framing, end}, " "), func(t *testing.T) {
					next := newCutEndpoint(t, framed("HTTP/1.1", framing, rest), end == "reset")
					s := newHarness(t, testTable())
					for _, cut := range cutsOf(next.response) {
						got := s.resumeAt(t, caller, next, cut)
						continued, ok := strings.CutPrefix(got.body, begun)
						if got.status != http.StatusOK || !ok {
							t.Fatalf("cut after %q: the events before the break are missing: %+v", next.response[:cut], got)
						}
						got.body = continued
						if problem := judgeSingleRun(got, rest, "resume", framing, end, cut == len(next.response)); problem != "" {
							t.Fatalf("cut after %q: %s: %+v", next.response[:cut], problem, got)
						}
					}
				})
			}
		}
	}
}

// Guards against an answer that breaks off at its first endpoint, goes on at a second one, and
// is neither the whole of one run nor what one run brought and its continuation, and against a
// retry that the caller does not get whole.
func TestRetriedAnswerIsWhole(t *testing.T) {
	const events = 3
	after := func(run, lastEventID string) string {
		last, _ := strconv.Atoi(lastEventID)
		var ids []int
		for id := last + 1; id <= events; id++ {
			ids = append(ids, id)
		}
		return eventsOf(run, ids...)
	}
	for _, caller := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, route := range []string{"read", "resume"} {
			for _, framing := range []string{"length", "chunks", "close"} {
				for _, end := range []string{"closed", "reset"} {
					// A caller takes a stream up itself after its first event, or asks anew.
					for _, taken := range []string{"", "1"} {
						if taken != "" && route != "resume" {
							continue
						}
						t.Run(strings.Join([]string{"to", caller, route, framing, end, "after", taken}, " "), func(t *testing.T) {
							first := newCutEndpoint(t, framed("HTTP/1.1", framing, after("a", taken)), end == "reset")
							second := newCutEndpoint(t, "", false)
							second.continued = func(lastEventID string) string {
								// The connection is not kept, as this endpoint closes it.
								return strings.Replace(framed("HTTP/1.1", framing, after("b", lastEventID)), "Signed: x", "Connection: close\r\nSigned: x", 1)
							}
							s := newHarness(t, testTable())
							s.placer.attemptTimeout = unhurriedAttempt
							for _, cut := range cutsOf(first.response) {
								s.placer.targets = []string{first.listener.Addr().String(), second.listener.Addr().String()}
								s.placer.retryBudget = 1
								raw := callerRequest(caller, "/"+route+"/x", cut)
								if taken != "" {
									raw = strings.Replace(raw, "Left:", "Last: "+taken+"\r\nLeft:", 1)
								}
								got := s.ask(raw)
								<-s.records.done
								if !isWholeAnswer(got, route, taken, after) && !endsByClose(got, route, framing, end, taken, after) {
									t.Fatalf("cut after %q: %+v", first.response[:cut], got)
								}
							}
						})
					}
				}
			}
		}
	}
}

// isWholeAnswer reports whether an answer is complete and holds a whole run, or for a stream
// the first events of run a and the others of run b.
func isWholeAnswer(got received, route, taken string, after func(run, lastEventID string) string) bool {
	if !got.complete || got.status != http.StatusOK {
		return false
	}
	if got.body == after("a", taken) || got.body == after("b", taken) {
		return true
	}
	for id := 1; route == "resume" && id < 3; id++ {
		last := strconv.Itoa(id)
		if begun, ok := strings.CutSuffix(got.body, after("b", last)); ok && begun+after("a", last) == after("a", taken) {
			return true
		}
	}
	return false
}

// endsByClose reports whether an answer ends as only one without a mark of its end may: its
// connection was closed in an orderly way, for a stream between two events, which looks
// complete; or all events came, the connection was reset, and the continuation has none, which
// can't be told from one that broke off and does not look complete.
func endsByClose(got received, route, framing, end, taken string, after func(run, lastEventID string) string) bool {
	if framing != "close" || !strings.HasPrefix(after("a", taken), got.body) {
		return false
	}
	if end == "reset" {
		return route == "resume" && got.body == after("a", taken) && !got.complete
	}
	return route == "read" || got.body != "" && strings.HasSuffix(got.body, "\n\n")
}

// Guards against an answer that does not continue a stream and is passed on in the middle of
// it: an error, another representation, or a run that begins anew.
func TestOnlyAContinuationIsJoinedToAStream(t *testing.T) {
	const begun = "id: 1\ndata: a1\n\n"
	statusLine := "HTTP/1.1 200 OK"
	stream := framed("HTTP/1.1", "chunks", eventsOf("b", 2, 3))
	responses := map[string]string{
		"a run that begins anew":        framed("HTTP/1.1", "chunks", eventsOf("b", 1, 2, 3)),
		"the last event once more":      framed("HTTP/1.1", "length", eventsOf("b", 1, 2)),
		"another representation":        strings.Replace(framed("HTTP/1.1", "length", "{}\n\n"), "text/event-stream", "application/json", 1),
		"a success without content":     strings.Replace(framed("HTTP/1.1", "length", ""), "200 OK", "204 No Content", 1),
		"a partial representation":      strings.Replace(stream, "200 OK", "206 Partial Content", 1),
		"an answer without a signature": strings.Replace(stream, "Signed: x\r\n", "", 1),
	}
	for _, status := range []string{"302 Found", "400 Bad Request", "404 Not Found", "408 Request Timeout", "409 Conflict", "410 Gone", "421 Misdirected Request", "429 Too Many Requests", "500 Error", "503 Service Unavailable", "504 Gateway Timeout"} {
		for _, statement := range []string{"", "Not-Run: 1\r\n"} {
			for _, framing := range []string{"length", "chunks", "close"} {
				for _, body := range []string{"", "failed", "data: failed\n\n", eventsOf("b", 2, 3)} {
					name := fmt.Sprintf("%s %s%s %q", status, statement, framing, body)
					responses[name] = strings.Replace(strings.Replace(framed("HTTP/1.1", framing, body), statusLine, "HTTP/1.1 "+status, 1), "Signed: x\r\n", "Signed: x\r\n"+statement, 1)
				}
			}
		}
	}
	for name, response := range responses {
		for _, caller := range []string{"HTTP/1.1", "HTTP/1.0"} {
			next := newCutEndpoint(t, response, false)
			got := newHarness(t, testTable()).resumeAt(t, caller, next, len(response))
			if got.complete || got.status != http.StatusOK || got.body != begun {
				t.Errorf("%s to %s: %+v, want the event before the break and no end", name, caller, got)
			}
		}
	}
}

// Guards against a copy of an earlier refusal that arrives on a kept connection and is taken
// for the refusal of the next request, which the endpoint runs: the caller would be told that
// it did not run, or it would run at a second endpoint as well.
func TestCopyOfARefusalIsNotTakenForTheNextRequest(t *testing.T) {
	refusal := func(status, headers, framing string) string {
		return strings.NewReplacer("200 OK", status, "Id: a1\r\n", headers, "Signed: x\r\n", "").Replace(framed("HTTP/1.1", framing, "full"))
	}
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request", "408 Request Timeout", "400 Bad Request"} {
		for _, headers := range []string{"Not-Run: 1\r\n", "Id: a0\r\nNot-Run: 1\r\n", "Id: a0\r\n", ""} {
			for _, framing := range []string{"length", "chunks", "close"} {
				for _, earlier := range []string{completeResponse, refusal("503 Service Unavailable", "Not-Run: 1\r\n", "length")} {
					copied := refusal(status, headers, framing)
					earlier = strings.Replace(earlier, "a1", "a0", 1)
					name := fmt.Sprintf("%s, headers %q, %s, after %.12s", status, headers, framing, earlier)
					runs, idle := newScriptedEndpoint(t, earlier, copied+completeResponse), newScriptedEndpoint(t, completeResponse, completeResponse)
					s := newHarness(t, testTable())
					s.placer.targets = []string{runs.listener.Addr().String()}
					s.call(strings.Replace(request("POST", "/charge/x", "pay"), "Id: a1", "Id: a0", 1))
					s.placer.targets = []string{runs.listener.Addr().String(), idle.listener.Addr().String()}
					got := s.ask(request("POST", "/charge/x", "pay"))
					if got.status != http.StatusOK && got.status != http.StatusBadGateway {
						t.Errorf("%s: the caller got status %d for a request that ran", name, got.status)
					}
					if n := len(idle.receivedRequests()); n != 0 {
						t.Errorf("%s: the request also reached a second endpoint", name)
					}
				}
			}
		}
	}
	fresh := newScriptedEndpoint(t, strings.Replace(completeResponse, "a1", "a0", 1)+refusal("503 Service Unavailable", "Not-Run: 1\r\n", "length")+completeResponse)
	s := newHarness(t, testTable(), fresh)
	if got := s.ask(request("POST", "/charge/x", "pay")); got.status != http.StatusBadGateway {
		t.Errorf("status %d after an answer to another request and a refusal without an id", got.status)
	}
}
