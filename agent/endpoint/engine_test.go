package endpoint

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Guards against a continued stream that starts a new answer, exceeds the
// caller's token limits, or drops fields of the caller's request.
func TestEngineBody(t *testing.T) {
	cases := []struct {
		name, body, text string
		tokens           uint32
		want             string
	}{
		{
			"first run", `{"model":"m","messages":[{"role":"user","content":"q"}],"temperature":0.5,"stream":false}`, "", 0,
			`{"messages":[{"role":"user","content":"q"}],"model":"m","priority":2,"stream":true,"stream_options":{"include_usage":true},"temperature":0.5}`,
		},
		{
			"continued", `{"max_tokens":10,"messages":[{"role":"user","content":"q"}]}`, "so far", 4,
			`{"add_generation_prompt":false,"continue_final_message":true,"max_tokens":6,"messages":[{"role":"user","content":"q"},{"content":"so far","role":"assistant"}],"priority":2,"stream":true,"stream_options":{"include_usage":true}}`,
		},
		{
			"continued, caller's own prefix", `{"continue_final_message":true,"messages":[{"role":"assistant","content":"A: ","name":"n"}]}`, "so far", 4,
			`{"add_generation_prompt":false,"continue_final_message":true,"messages":[{"content":"A: so far","name":"n","role":"assistant"}],"priority":2,"stream":true,"stream_options":{"include_usage":true}}`,
		},
	}
	for _, c := range cases {
		got, err := engineBody(&rpc.RunRequest{Tier: 2, Work: &rpc.RunRequest_Chat{Chat: &rpc.ChatWork{
			Body: []byte(c.body), TextSoFar: c.text, FirstIndex: c.tokens + 1, TokensSoFar: c.tokens,
		}}})
		if err != nil || string(got) != c.want {
			t.Errorf("%s:\n got %s %v\nwant %s", c.name, got, err, c.want)
		}
	}
}

// Guards against an engine that says for how long it wants no requests and gets them all
// the same, and against a pause that is read from anything but a valid Retry-After of a
// refusal for load.
func TestEngineStatesHowLongItIsFull(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header string
		want   time.Duration
	}{
		"seconds":      {503, "2", 2 * time.Second},
		"fraction":     {429, " 0.25 ", 250 * time.Millisecond},
		"absurd":       {503, "1e300", maxPause},
		"negative":     {503, "-1", 0},
		"text":         {503, "soon", 0},
		"not a number": {503, "NaN", 0},
		"absent":       {503, "", 0},
		"other status": {400, "2", 0},
	} {
		resp := &http.Response{StatusCode: c.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
		if c.header != "" {
			resp.Header.Set("Retry-After", c.header)
		}
		err := engineRefusal(resp)
		if err.RetryAfter != c.want {
			t.Errorf("%s: Retry-After %s, want %s", name, err.RetryAfter, c.want)
		}
		if c.status >= 429 && err.Code != resultcode.EndpointOverloaded {
			t.Errorf("%s: code %d", name, err.Code)
		}
	}
}

// Guards against an engine whose restart between two checks is not seen, because each check opens
// a connection anyway: the answers to checks have a body.
func TestProbeConnectionIsKeptUntilTheEngineClosesIt(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"data":[{"id":"m:1"}]}`+"\n")
	}))
	defer server.Close()
	e := NewEngine(server.URL)
	probe := func(want uint64) {
		t.Helper()
		for range 3 {
			if err := e.Check(t.Context()); err != nil {
				t.Fatal(err)
			}
			if models, err := e.Models(t.Context()); err != nil || len(models) != 1 {
				t.Fatal(models, err)
			}
		}
		if got := e.ProbeConnections(); got != want {
			t.Errorf("%d connections, want %d", got, want)
		}
	}
	probe(1)
	server.CloseClientConnections()
	probe(2)
}
