package dispatch

import (
	"bytes"
	"context"
	"maps"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/endless"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// frameAnswers returns streams of an agent that do not end and bring no answer.
func frameAnswers(t *testing.T) map[string]endless.Answer {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/vnd.pistachiowind.frames\r\n\r\n"
	encode := func(f *rpc.Frame) string {
		var b bytes.Buffer
		if err := rpc.WriteMessage(&b, f); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	return map[string]endless.Answer{
		"empty frames":    {Beginning: head, Piece: "\x00"},
		"heartbeats":      {Beginning: head, Piece: encode(&rpc.Frame{Kind: &rpc.Frame_Heartbeat{Heartbeat: &rpc.Heartbeat{Load: &rpc.Load{}}}})},
		"large refusals":  {Beginning: head, Piece: encode(&rpc.Frame{Kind: &rpc.Frame_Refused{Refused: &rpc.Refused{Message: string(make([]byte, 300<<10))}}})},
		"length":          {Beginning: head, Piece: "\xff"},
		"one large frame": {Beginning: head + "\x80\x80\x80\x80\x08", Piece: "x"},
	}
}

// Guards against an agent whose answer to a router does not end and that the router reads, or
// keeps, beyond the bounds of heads, frames and unary answers.
func TestEndlessAnswerOfAnAgentIsCut(t *testing.T) {
	streams := endless.Bodies()
	maps.Copy(streams, frameAnswers(t))
	calls := map[string]struct {
		call   func(context.Context, *Client, string) error
		bodies map[string]endless.Answer
		// bodyBytes is the stated bound on the body.
		bodyBytes int64
	}{
		"stream": {func(ctx context.Context, c *Client, url string) error {
			return c.exchange(ctx, url+rpc.RunPath, &rpc.RunRequest{}, new(atomic.Bool), func(*rpc.Frame) bool { return true })
		}, streams, rpc.MaxFrameBytes},
		"unary": {func(ctx context.Context, c *Client, url string) error {
			_, err := rpc.NewAgentProtobufClient(url, c.HTTPClient()).Renounce(ctx, &rpc.RenounceRequest{})
			return err
		}, endless.Bodies(), rpc.MaxUnaryBytes},
	}
	for name, c := range calls {
		check := func(t *testing.T, answer endless.Answer, bodyBytes int64) {
			server := endless.Serve(t, answer)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var read endless.Counter
			transport := NewTransport()
			read.Count(transport)
			client := NewClient(transport)
			if err := c.call(ctx, client, client.URL(server.Address)); err == nil || ctx.Err() != nil {
				t.Errorf("error %v, want one without waiting", err)
			}
			server.CheckClosed(t)
			read.CheckAtMost(t, maxHeadBytes+bodyBytes)
		}
		for part, answer := range endless.Heads() {
			t.Run(name+"/"+part, func(t *testing.T) { check(t, answer, 0) })
		}
		for part, answer := range c.bodies {
			t.Run(name+"/"+part, func(t *testing.T) { check(t, answer, c.bodyBytes) })
		}
		for _, status := range []string{"307 Temporary Redirect", "404 Not Found", "500 Internal Server Error", "503 Service Unavailable"} {
			t.Run(name+"/"+status, func(t *testing.T) { check(t, endless.WithStatus(status), c.bodyBytes) })
		}
	}
}
