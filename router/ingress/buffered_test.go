package ingress

import (
	"encoding/json"
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// Guards against an answer without end that a router collects for its caller.
func TestCollectedAnswerIsBounded(t *testing.T) {
	const pieceBytes = 64 << 10
	piece, err := json.Marshal(strings.Repeat("x", pieceBytes))
	if err != nil {
		t.Fatal(err)
	}
	for part, data := range map[string]string{
		"content":          `{"delta":{"content":` + string(piece) + `}}`,
		"refusal":          `{"delta":{"refusal":` + string(piece) + `}}`,
		"tool call":        `{"delta":{"tool_calls":[{"index":1,"function":{"arguments":` + string(piece) + `}}]}}`,
		"tool calls":       `{"delta":{"tool_calls":[` + strings.Repeat(`{"index":255,"id":"x"},`, 200) + `{"index":1000000000}]}}`,
		"nothing for it":   `{"delta":{"audio":` + string(piece) + `}}`,
		"only white space": `{` + strings.Repeat(" ", pieceBytes) + `}`,
	} {
		t.Run(part, func(t *testing.T) {
			s := newBufferedSink(&dispatch.Request{}, &chatParameters{})
			collected := 0
			for {
				err := s.Chunk(&rpc.Chunk{Data: []byte(data)})
				if err == nil {
					if collected += len(data); collected > maxBufferedBytes {
						t.Fatalf("%d bytes were collected, want at most %d", collected, maxBufferedBytes)
					}
					continue
				}
				var code *resultcode.Error
				if !errors.As(err, &code) || code.Code != resultcode.AnswerTooLarge {
					t.Errorf("error %v after %d bytes", err, collected)
				}
				break
			}
			if held := s.content.Len() + s.refusal.Len(); held > maxBufferedBytes || len(s.toolCalls) > maxToolCalls {
				t.Errorf("%d bytes and %d tool calls are held", held, len(s.toolCalls))
			}
		})
	}
}

// Guards against a tool call whose many small deltas are copied anew with each further one, which
// takes the processor of the router.
func TestDeltasOfAToolCallAreCopiedOnce(t *testing.T) {
	const deltas, argumentBytes = 4000, 100
	data := []byte(`{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"` + strings.Repeat("x", argumentBytes) + `"}}]}}`)
	s := newBufferedSink(&dispatch.Request{}, &chatParameters{})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range deltas {
		if err := s.Chunk(&rpc.Chunk{Data: data}); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	// Decoding takes a few KB for each delta; all arguments together are 400 KB.
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > deltas*argumentBytes*100 {
		t.Errorf("%d bytes were allocated for %d deltas of %d bytes", allocated, deltas, argumentBytes)
	}
	calls := s.wholeToolCalls()
	if len(calls) != 1 || len(calls[0].Function.Arguments) != deltas*argumentBytes {
		t.Errorf("%d tool calls", len(calls))
	}
}
