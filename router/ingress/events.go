package ingress

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// eventSink writes a streamed chat completion as server-sent events.
type eventSink struct {
	c            echo.Context
	requestID    string
	includeUsage bool
	// prefix is the envelope of each chunk up to its choices.
	prefix []byte
	// buf is reused for the bytes of each write.
	buf         []byte
	headWritten bool
	// unflushed is set while written chunks may wait in the server's buffer.
	unflushed bool
}

func newEventSink(c echo.Context, req *dispatch.Request, p *chatParameters) *eventSink {
	return &eventSink{
		c:            c,
		requestID:    req.ID,
		includeUsage: p.StreamOptions.IncludeUsage,
		prefix:       chunkPrefix(req, p.Model),
	}
}

// chunkPrefix builds the start of the JSON envelope, which is the same for all
// chunks of an answer. The router writes the envelope itself, so that it stays
// the same when another engine continues the stream.
func chunkPrefix(req *dispatch.Request, model string) []byte {
	name, _ := json.Marshal(model)
	return fmt.Appendf(nil, `data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":%d,"model":%s,"choices":[`,
		req.ID, req.Received.Unix(), name)
}

// Head does nothing: the head of a stream is written with its first chunk, so
// that a refusal before it is still a plain HTTP answer.
func (s *eventSink) Head(*rpc.ResponseHead) error { return nil }

func (s *eventSink) writeHead() {
	if s.headWritten {
		return
	}
	s.headWritten = true
	h := s.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream; charset=utf-8")
	h.Set(echo.HeaderCacheControl, "no-cache")
	s.c.Response().WriteHeader(http.StatusOK)
}

// Chunk writes one chunk.
func (s *eventSink) Chunk(chunk *rpc.Chunk) error {
	s.writeHead()
	s.buf = append(s.buf[:0], s.prefix...)
	s.buf = append(s.buf, chunk.GetData()...)
	s.buf = append(s.buf, "]}\n\n"...)
	return s.send()
}

// Done writes the token usage, if the caller asked for it, and the end marker.
func (s *eventSink) Done(done *rpc.Done) error {
	s.writeHead()
	s.buf = s.buf[:0]
	if s.includeUsage && len(done.GetUsage()) > 0 {
		s.buf = append(s.buf, s.prefix...)
		s.buf = append(s.buf, `],"usage":`...)
		s.buf = append(s.buf, done.GetUsage()...)
		s.buf = append(s.buf, "}\n\n"...)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	return s.send()
}

func (s *eventSink) send() error {
	_, err := s.c.Response().Write(s.buf)
	s.unflushed = true
	return err
}

// Flush sends the chunks written since the last flush.
func (s *eventSink) Flush() {
	if !s.unflushed {
		return
	}
	s.unflushed = false
	_ = http.NewResponseController(s.c.Response().Writer).Flush()
}

// fail ends the answer with an error: as a plain HTTP response before the first
// chunk. After it, an error event without an end marker follows, and the connection
// breaks, so that no caller takes a part for the whole answer.
func (s *eventSink) fail(err *resultcode.Error) error {
	if !s.headWritten {
		return writeRefusal(s.c, err)
	}
	body, encodeErr := json.Marshal(err.Body(s.requestID))
	if encodeErr != nil {
		return encodeErr
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, body...)
	s.buf = append(s.buf, "\n\n"...)
	_ = s.send()
	s.Flush()
	panic(http.ErrAbortHandler)
}

// Buffered is false: each chunk is passed on at once.
func (s *eventSink) Buffered() bool { return false }

// Restart does nothing: what was passed on cannot be taken back.
func (s *eventSink) Restart() {}
