// Package sessions tests complete exchanges of callers with real routers, agents and
// stand-ins that run in one process. Requests, responses and effects are recorded and
// compared with golden files; go test ./sessions -update rewrites them.
package sessions

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/demo"
	"github.com/pistachiowind/pistachiowind/standin"
)

// slowEngine leaves time between the tokens of a stream that is held.
var slowEngine = standin.EngineModelOptions{StepBase: 100 * time.Millisecond}

const streamFields = `"max_tokens":6,"stream":true,"stream_options":{"include_usage":true}`

func TestChat(t *testing.T) {
	s := startSession(t, "Guards against a chat answer that is damaged, incomplete or in another shape than OpenAI clients expect.",
		demo.SiteOptions{Engines: 1, Routers: 1})
	s.call(0, chat(streamFields))
	s.call(0, chat(`"max_tokens":6`, "X-Pistachiowind-Profile: chat"))
	s.call(0, request("GET /v1/models", ""))
	s.checkGolden()
}

func TestEngineCrash(t *testing.T) {
	s := startSession(t, "Guards against a token that is lost or sent twice when an engine crashes in mid-stream.",
		demo.SiteOptions{Engines: 2, Routers: 1, EngineModel: slowEngine})
	release := s.standIns.holdStreams(3)
	c := s.send(0, chat(`"max_tokens":8,"stream":true`))
	text := c.readEvents(3)
	crashed := s.enginesWithStarted(1)[0]
	if err := s.Engines[crashed].SetFaults(standin.EngineFaults{Down: standin.DownClose}); err != nil {
		t.Fatal(err)
	}
	release()
	text += c.readRest()
	s.checkText(text, "hello", `"max_tokens":8`)
	s.await("report of the crash", func() bool { return s.states.has(engineName(crashed), "endpoint", "down") })
	s.awaitWrites("quarantine", 1)
	s.checkGolden()
}

// Guards against an error of the engine at which a broken stream goes on that callers find in
// the middle of their text, and against such a stream that ends as if it were complete.
func TestErrorOfTheNextEngineStaysOutOfTheStream(t *testing.T) {
	const text = "no such thing"
	for _, status := range []int{200, 204, 400, 404, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := startSession(t, "", demo.SiteOptions{Engines: 2, Routers: 1, EngineModel: slowEngine})
			s.standIns.continued = func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = io.WriteString(w, text)
			}
			release := s.standIns.holdStreams(3)
			c := s.send(0, chat(`"max_tokens":8,"stream":true`))
			c.readEvents(3)
			if err := s.Engines[s.enginesWithStarted(1)[0]].SetFaults(standin.EngineFaults{Down: standin.DownClose}); err != nil {
				t.Fatal(err)
			}
			release()
			rest, err := io.ReadAll(c.body)
			if err == nil || bytes.Contains(rest, []byte("[DONE]")) {
				t.Errorf("the stream looks complete: %q, ended with %v", rest, err)
			}
			events, failure, _ := strings.Cut(string(rest), "event: error\n")
			if strings.Contains(events, text) || !strings.HasPrefix(failure, "data: {") || strings.Count(failure, "\n") > 2 {
				t.Errorf("the stream went on as %q", rest)
			}
		})
	}
}

func TestCallerLeaves(t *testing.T) {
	s := startSession(t, "Guards against an engine that goes on generating for a caller that went away.",
		demo.SiteOptions{Engines: 1, Routers: 1})
	release := s.standIns.holdStreams(3)
	defer release()
	c := s.send(0, chat(`"max_tokens":1000,"ignore_eos":true,"stream":true`))
	c.readEvents(3)
	_ = c.conn.Close()
	left := time.Now()
	c.appendLines("> ", "the caller closes the connection\n")
	s.await("cancelled request", func() bool { return s.Engines[0].Stats().Cancelled == 1 })
	// Without a message from the router, the agent cancels only after 10 s without a
	// reader.
	if took := time.Since(left); took > 5*time.Second {
		t.Errorf("the engine was cancelled after %s, want at most 5 s", took)
	}
	s.await("free agent", func() bool { return s.Agents[0].Load().GetRunning() == 0 })
	s.addNote("requests running at the agent: %d", s.Agents[0].Load().GetRunning())
	s.checkGolden()
}

// enginesWithStarted returns the engines that have started n requests.
func (s *session) enginesWithStarted(n int) []int {
	s.t.Helper()
	var serving []int
	for i, e := range s.Engines {
		if e.Stats().Started == n {
			serving = append(serving, i)
		}
	}
	if len(serving) == 0 {
		s.t.Fatalf("no engine started %d requests", n)
	}
	return serving
}

// checkText compares the text with the output of one engine without faults.
func (s *session) checkText(text, prompt, fields string) {
	s.t.Helper()
	want, err := standin.ExpectedAnswer([]byte(chatBody(prompt, fields)))
	if err != nil {
		s.t.Fatal(err)
	}
	if text != want {
		s.t.Errorf("answer %q, want %q", text, want)
	}
}

func TestRequestCrashesEngines(t *testing.T) {
	const marker = "crash marker"
	s := startSession(t, "Guards against a request that crashes one engine after the other, and against other requests in flight that lose or repeat tokens meanwhile.",
		demo.SiteOptions{Engines: 3, Routers: 2, EngineModel: slowEngine})
	s.standIns.marker = marker
	release := s.standIns.holdStreams(2)
	prompts := []string{"a", "b", "c"}
	fields := `"max_tokens":30,"ignore_eos":true,"stream":true`
	var inFlight []*caller
	var texts []string
	for _, prompt := range prompts {
		c := s.unrecorded(func() *caller { return s.send(0, request(chatLine, chatBody(prompt, fields))) })
		inFlight = append(inFlight, c)
		texts = append(texts, c.readEvents(2))
	}
	s.crashOn(marker)
	s.call(0, request(chatLine, chatBody(marker, `"max_tokens":5`)))
	release()
	for i, c := range inFlight {
		s.checkText(texts[i]+c.readRest(), prompts[i], fields)
	}
	s.addNote("requests in flight that got each token once: %d", len(inFlight))
	s.awaitWrites("quarantine", 2)
	// Each router reads the crash evidence every 2.5 s to 7.5 s. At least one of four
	// reads is by router-2, because router-1 performs at most three within 7.5 s.
	reads := s.Table.Counts()["quarantine"].Reads
	s.await("reads of the evidence", func() bool { return s.Table.Counts()["quarantine"].Reads >= reads+4 })
	s.call(1, request(chatLine, chatBody(marker, `"max_tokens":5`)))
	for i, e := range s.Engines {
		s.await("report of the crash", func() bool {
			return e.Stats().Crashes == 0 || s.states.has(engineName(i), "endpoint", "down")
		})
	}
	s.checkGolden()
}

// unrecorded sends a request and leaves its connection out of the golden file.
func (s *session) unrecorded(send func() *caller) *caller {
	c := send()
	s.callers = s.callers[:len(s.callers)-1]
	return c
}

// crashOn makes every engine crash on requests that contain the marker.
func (s *session) crashOn(marker string) {
	s.t.Helper()
	for _, e := range s.Engines {
		if err := e.SetFaults(standin.EngineFaults{CrashMarker: marker}); err != nil {
			s.t.Fatal(err)
		}
	}
}

// Guards against more than two engines crashed by a request that its caller resends
// to another router at once, before that router has read the shared crash evidence.
func TestCrashingRequestSentAtOnce(t *testing.T) {
	s := startSession(t, "", demo.SiteOptions{Engines: 5, Routers: 2})
	s.crashOn("hello")
	s.call(0, chat(`"max_tokens":5`))
	s.call(1, chat(`"max_tokens":5`))
	crashes := 0
	for _, e := range s.Engines {
		crashes += e.Stats().Crashes
	}
	if crashes > 2 {
		t.Errorf("%d engines crashed, want at most 2", crashes)
	}
}
