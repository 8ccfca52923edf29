package endpoint

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Guards against an engine stream that crashes the agent, yields a frame that
// cannot be encoded or skips an index, or counts as complete without a finish
// reason and end marker.
func FuzzEngineStream(f *testing.F) {
	for _, seed := range []string{
		"data: {\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"ba ț \"}}]}\n\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: {\"choices\":[],\"usage\":{\"total_tokens\":3}}\n\ndata: [DONE]\n\n",
		"data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0}]}}]}\n\ndata: [DONE]\n\n",
		"data: {\"error\":{\"message\":\"out of memory\"}}\n\n", ": comment\r\n\r\ndata:[DONE]\r\n",
		"data: {\"choices\":[{\"delta\":{\"content\":\"\xff\"},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n", "data: {", "",
		"data: {\"choices\":[{\r\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var next uint32
		done, finished := false, false
		s := engineStream{eventTimer: time.NewTimer(time.Hour), emit: func(frame *rpc.Frame) error {
			if done {
				t.Fatal("frame after Done")
			}
			if _, err := proto.Marshal(frame); err != nil {
				t.Fatalf("frame cannot be sent: %v", err)
			}
			done = frame.GetDone() != nil
			if c := frame.GetChunk(); c != nil {
				finished = finished || c.GetFinished()
				checkChunk(t, c, next)
				next++
			}
			return nil
		}}
		err := s.forward(bytes.NewReader(body))
		if whole := err == nil; whole != done || whole && !finished {
			t.Fatalf("result %v, done %v, finished %v", err, done, finished)
		}
		if err != nil && err.EffectiveExecution() != resultcode.Unknown {
			t.Fatalf("a broken stream is reported as %s", err.EffectiveExecution())
		}
	})
}

func checkChunk(t *testing.T, c *rpc.Chunk, want uint32) {
	if c.GetIndex() != want || !json.Valid(c.GetData()) {
		t.Fatalf("chunk %d: index %d, data %q", want, c.GetIndex(), c.GetData())
	}
	// The caller receives each chunk as one line of an event stream.
	if bytes.ContainsAny(c.GetData(), "\n\r") {
		t.Fatalf("chunk data %q holds a line break", c.GetData())
	}
}

// Guards against an error response of an engine that crashes the agent, yields a
// message that cannot be encoded, or is reported as not run although the engine
// may have started the request.
func FuzzEngineRefusal(f *testing.F) {
	f.Add(400, []byte(`{"error":{"message":"bad","type":"x","code":400}}`))
	f.Add(404, []byte(`{"error":{"message":"no model"}}`))
	f.Add(429, []byte("busy \xff"))
	f.Add(503, []byte(`{"error":"text"}`))
	f.Add(500, []byte(""))
	f.Add(302, []byte("<html>"))
	f.Add(204, []byte(nil))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		err := engineRefusal(&http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))})
		if !utf8.ValidString(err.Message) {
			t.Fatalf("message %q cannot be sent", err.Message)
		}
		if status >= 500 && status != http.StatusServiceUnavailable && err.EffectiveExecution() != resultcode.Unknown {
			t.Fatalf("status %d is reported as %s", status, err.EffectiveExecution())
		}
		if resultcode.Lookup(err.Code).Status == 0 {
			t.Fatalf("code %d is not numbered", err.Code)
		}
	})
}
