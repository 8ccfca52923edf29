package ingress

import (
	"encoding/json"
	"errors"
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
		"tool calls":       `{"delta":{"tool_calls":[` + strings.Repeat(`{"index":255,"id":"x"},`, 2000) + `{"index":1000000000}]}}`,
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
