package endpoint

import (
	"testing"

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
