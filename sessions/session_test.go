package sessions

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/settings"
)

const (
	awaitTimeout  = 20 * time.Second
	awaitInterval = 10 * time.Millisecond
	callTimeout   = 30 * time.Second
)

// session is one site and the callers that use it. Its transcripts and effects are
// compared with a golden file.
type session struct {
	*demo.Site
	t             *testing.T
	guardsAgainst string
	standIns      *recorder
	states        *stateLog
	callers       []*caller
	notes         []string
}

// startSession starts a site for a test that runs in parallel with others. The
// sentence guardsAgainst heads the golden file.
func startSession(t *testing.T, guardsAgainst string, opts demo.SiteOptions) *session {
	t.Helper()
	t.Parallel()
	return startSerialSession(t, guardsAgainst, opts)
}

// startSerialSession starts a site for a test that does not run in parallel with
// others.
func startSerialSession(t *testing.T, guardsAgainst string, opts demo.SiteOptions) *session {
	t.Helper()
	s := &session{t: t, guardsAgainst: guardsAgainst, standIns: newRecorder(), states: &stateLog{}}
	opts.WrapEndpoint = s.standIns.wrap
	opts.Log = settings.Log{Level: "info", Format: "json"}
	site, err := demo.StartSite(t.Context(), s.states, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = site.Close() })
	s.Site = site
	return s
}

// await polls until done returns true. Sessions use real sockets and therefore real
// time.
func (s *session) await(what string, done func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !done(); time.Sleep(awaitInterval) {
		if time.Now().After(deadline) {
			s.t.Fatalf("no %s within %s\n%s", what, awaitTimeout, s.record())
		}
	}
}

// writes returns the number of writes to the table service under a key prefix.
func (s *session) writes(prefix string) int { return s.Table.Counts()[prefix].Writes }

func (s *session) awaitWrites(prefix string, n int) {
	s.t.Helper()
	s.await(fmt.Sprintf("%d writes to %s", n, prefix), func() bool { return s.writes(prefix) >= n })
}

func (s *session) addNote(format string, args ...any) {
	s.notes = append(s.notes, fmt.Sprintf(format, args...))
}

// checkGolden compares the record with the golden file.
func (s *session) checkGolden() {
	s.t.Helper()
	name := strings.ToLower(strings.TrimPrefix(s.t.Name(), "Test"))
	goldie.New(s.t).Assert(s.t, name, []byte(s.record()))
}

func (s *session) record() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", s.guardsAgainst)
	for i, c := range s.callers {
		fmt.Fprintf(&b, "\n== caller %d at %s\n%s", i+1, c.target, c.transcript())
	}
	b.WriteString("\n== calls that reached the stand-ins\n" + s.standIns.String())
	for i, e := range s.Engines {
		stats := e.Stats()
		if s.standIns.marker != "" {
			fmt.Fprintf(&b, "%s: %d crashes\n", engineName(i), stats.Crashes)
			continue
		}
		fmt.Fprintf(&b, "%s: %d started, %d completed, %d cancelled, %d cut, %d crashes\n", engineName(i),
			stats.Started, stats.Completed, stats.Cancelled, stats.Cut, stats.Crashes)
	}
	counts := s.Table.Counts()
	for _, prefix := range sortedKeys(counts) {
		if n := counts[prefix].Writes; n > 0 {
			fmt.Fprintf(&b, "table writes under %s/: %d\n", prefix, n)
		}
	}
	for _, note := range s.notes {
		b.WriteString(note + "\n")
	}
	b.WriteString("\n== state changes\n" + s.states.String())
	return s.standIns.normalizeEngines(maskVariableText(b.String()))
}

// caller is one connection of a caller and its transcript.
type caller struct {
	t      *testing.T
	target string
	conn   net.Conn
	resp   *http.Response
	body   *bufio.Reader
	buf    bytes.Buffer
}

func (s *session) dial(target, address string) *caller {
	s.t.Helper()
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	s.t.Cleanup(func() { _ = conn.Close() })
	c := &caller{t: s.t, target: target, conn: conn}
	s.callers = append(s.callers, c)
	return c
}

// send sends a request to a router and reads the header of the response.
func (s *session) send(router int, request string) *caller {
	s.t.Helper()
	c := s.dial(fmt.Sprintf("router-%d", router+1), s.Routers[router].CallersAddress())
	c.write(request)
	c.readHead()
	return c
}

// call sends a request to a router and reads the whole response.
func (s *session) call(router int, request string) *caller {
	s.t.Helper()
	c := s.send(router, request)
	c.readRest()
	return c
}

func (c *caller) write(request string) {
	c.t.Helper()
	c.appendLines("> ", request)
	if _, err := io.WriteString(c.conn, request); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) readHead() {
	c.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		c.t.Fatalf("%s: %v", c.transcript(), err)
	}
	c.resp, c.body = resp, bufio.NewReader(resp.Body)
	c.appendLines("< ", resp.Status+"\n")
	for _, name := range sortedKeys(resp.Header) {
		for _, v := range resp.Header[name] {
			c.appendLines("< ", name+": "+v+"\n")
		}
	}
}

// readEvents reads n server-sent events and returns the text of their choices.
func (c *caller) readEvents(n int) string {
	c.t.Helper()
	var text strings.Builder
	for range n {
		line, err := c.body.ReadString('\n')
		if err == nil {
			_, err = c.body.Discard(1)
		}
		if err != nil {
			c.t.Fatalf("%s: %v", c.transcript(), err)
		}
		c.appendLines("< ", line)
		text.WriteString(deltaContent(line))
	}
	return text.String()
}

// readRest reads the response to its end and returns the text of its choices.
func (c *caller) readRest() string {
	c.t.Helper()
	rest, err := io.ReadAll(c.body)
	c.appendLines("< ", strings.ReplaceAll(string(rest), "\n\n", "\n"))
	if err != nil {
		c.appendLines("< ", "the connection broke\n")
	}
	var text strings.Builder
	for line := range strings.Lines(string(rest)) {
		text.WriteString(deltaContent(line))
	}
	return text.String()
}

func deltaContent(line string) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok || json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

func (c *caller) appendLines(prefix, text string) {
	for line := range strings.Lines(text) {
		c.buf.WriteString(prefix + printable(strings.TrimRight(line, "\r\n")) + "\n")
	}
}

func (c *caller) transcript() string { return c.buf.String() }

func chat(fields string, headers ...string) string {
	return request(chatLine, chatBody("hello", fields), headers...)
}

const chatLine = "POST /v1/chat/completions"

func chatBody(prompt, fields string) string {
	return fmt.Sprintf(`{"model":"chat","messages":[{"role":"user","content":%q}],%s}`, prompt, fields)
}

const chargeBody = `{"contract":"c-1","cents":1200}`

func charge(key, body string) string {
	return request("POST /services/ledger/charges", body, "Idempotency-Key: "+key)
}

func request(line, body string, headers ...string) string {
	return requestWith(demo.InsuranceKey, line, body, headers...)
}

func requestWith(key, line, body string, headers ...string) string {
	head := []string{line + " HTTP/1.1", "Host: router", "Authorization: Bearer " + key}
	head = append(head, headers...)
	head = append(head, fmt.Sprintf("Content-Length: %d", len(body)))
	return strings.Join(head, "\r\n") + "\r\n\r\n" + body
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
