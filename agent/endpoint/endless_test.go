package endpoint

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/endless"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// readAhead is what a client may read beyond the bounds on a head and an event: two read buffers.
const readAhead = 8 << 10

// events returns streams of an engine that do not end and bring nothing for the caller.
func events() map[string]endless.Answer {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	return map[string]endless.Answer{
		"one event":               {Beginning: head + `data: {"choices":[{"delta":{"content":"`, Piece: "x"},
		"comments":                {Beginning: head, Piece: ": ping\n\n"},
		"other lines":             {Beginning: head, Piece: "event: x\nid: 1\n"},
		"events without a choice": {Beginning: head, Piece: "data: {}\n\n"},
		"usage":                   {Beginning: head, Piece: `data: {"choices":[],"usage":{"total_tokens":1}}` + "\n\n"},
	}
}

// engineCalls are the calls of an engine whose answers do not end in a test.
var engineCalls = map[string]struct {
	call func(context.Context, *Engine) error
	// bodyBytes is the stated bound on the body, and errorBytes that on the body of an error.
	bodyBytes, errorBytes int64
	statusOnly            bool
}{
	"run": {bodyBytes: maxEventBytes, errorBytes: maxErrorBodyBytes, call: func(ctx context.Context, e *Engine) error {
		request := &rpc.RunRequest{RequestId: "r1", Work: &rpc.RunRequest_Chat{Chat: &rpc.ChatWork{Body: []byte(`{"messages":[]}`)}}}
		if err := e.Run(ctx, request, func(*rpc.Frame) error { return nil }); err != nil {
			return err
		}
		return nil
	}},
	"models": {bodyBytes: maxModelsBodyBytes, call: func(ctx context.Context, e *Engine) error {
		_, err := e.Models(ctx)
		return err
	}},
	"check": {statusOnly: true, call: func(ctx context.Context, e *Engine) error { return e.Check(ctx) }},
	"order": {statusOnly: true, errorBytes: maxErrorBodyBytes, call: func(ctx context.Context, e *Engine) error {
		return e.Execute(ctx, &rpc.OrderRequest{Order: &rpc.OrderRequest_ChangeRole{ChangeRole: &rpc.ChangeRole{Role: "prefill"}}})
	}},
}

// Guards against an answer of an engine that does not end and that its agent reads, or keeps,
// beyond the bounds of heads, events, lists and errors.
func TestEndlessAnswerOfAnEngineIsCut(t *testing.T) {
	for name, c := range engineCalls {
		check := func(t *testing.T, answer endless.Answer, bodyBytes int64, wantError bool) {
			server := endless.Serve(t, answer)
			engine := NewEngine("http://" + server.Address)
			var read endless.Counter
			read.Count(engine.runs.Transport.(*http.Transport))
			read.Count(engine.probes.Transport.(*http.Transport))
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			err := c.call(ctx, engine)
			if wantError && err == nil || ctx.Err() != nil {
				t.Errorf("error %v, want one without waiting", err)
			}
			server.CheckClosed(t)
			read.CheckAtMost(t, maxResponseHeaderBytes+bodyBytes+readAhead)
		}
		for part, answer := range endless.Heads() {
			t.Run(name+"/"+part, func(t *testing.T) { check(t, answer, 0, true) })
		}
		bodies := endless.Bodies()
		maps.Copy(bodies, events())
		for part, answer := range bodies {
			// A list that is whole before its trailer may be taken.
			mayEnd := c.statusOnly || name == "models" && strings.HasPrefix(part, "trailer")
			t.Run(name+"/"+part, func(t *testing.T) { check(t, answer, c.bodyBytes, !mayEnd) })
		}
		for _, status := range []string{"307 Temporary Redirect", "400 Bad Request", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error"} {
			t.Run(name+"/"+status, func(t *testing.T) { check(t, endless.WithStatus(status), c.errorBytes, true) })
		}
	}
}

// Guards against an answer of a service that does not end and that its agent keeps, or reads on
// after the attempt was stopped: its body is passed on in pieces.
func TestEndlessAnswerOfAServiceIsPassedOn(t *testing.T) {
	const stopAfter = 8 << 20
	check := func(t *testing.T, answer endless.Answer, wantHead bool) {
		server := endless.Serve(t, answer)
		service := NewService("http://" + server.Address)
		var read endless.Counter
		read.Count(service.runs.Transport.(*http.Transport))
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		emitted, heads := int64(0), 0
		request := &rpc.RunRequest{RequestId: "r1", Work: &rpc.RunRequest_Service{Service: &rpc.ServiceWork{Method: "POST", Path: "/"}}}
		err := service.Run(ctx, request, func(f *rpc.Frame) error {
			if f.GetHead() != nil {
				heads++
			}
			data := f.GetChunk().GetData()
			if len(data) > serviceChunkBytes {
				t.Errorf("a piece has %d bytes, want at most %d", len(data), serviceChunkBytes)
			}
			if emitted += int64(len(data)); emitted > stopAfter {
				return errors.New("stopped")
			}
			return nil
		})
		if err == nil || ctx.Err() != nil || (heads == 1) != wantHead {
			t.Errorf("error %v with %d heads, want an error without waiting", err, heads)
		}
		server.CheckClosed(t)
		read.CheckAtMost(t, maxResponseHeaderBytes+emitted+readAhead)
	}
	for part, answer := range endless.Heads() {
		t.Run(part, func(t *testing.T) { check(t, answer, false) })
	}
	for part, answer := range endless.Bodies() {
		t.Run(part, func(t *testing.T) { check(t, answer, true) })
	}
	for _, status := range []string{"307 Temporary Redirect", "404 Not Found", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) { check(t, endless.WithStatus(status), true) })
	}
}
