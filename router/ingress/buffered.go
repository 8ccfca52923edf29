package ingress

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/router/dispatch"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// maxBufferedBytes limits the total size of the chunks of an answer that is
// collected before it is sent.
const maxBufferedBytes = 16 << 20

// bufferedSink collects a chat completion for a caller that did not ask for a
// stream.
type bufferedSink struct {
	req          *dispatch.Request
	model        string
	role         string
	content      strings.Builder
	refusal      strings.Builder
	toolCalls    []*collectedCall
	finishReason string
	usage        json.RawMessage
	bytes        int
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// collectedCall collects the deltas of a tool call. Joining strings would copy all that was
// collected with each of them.
type collectedCall struct {
	id              string
	name, arguments strings.Builder
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type deltaChoice struct {
	Delta struct {
		Role      string          `json:"role"`
		Content   string          `json:"content"`
		Refusal   string          `json:"refusal"`
		ToolCalls []toolCallDelta `json:"tool_calls"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type toolCallDelta struct {
	Index int `json:"index"`
	toolCall
}

func newBufferedSink(req *dispatch.Request, p *chatParameters) *bufferedSink {
	return &bufferedSink{req: req, model: p.Model, role: "assistant"}
}

// Head does nothing: a chat answer has no head of its own to pass on.
func (s *bufferedSink) Head(*rpc.ResponseHead) error { return nil }

// Chunk adds one chunk. It fails when the answer exceeds maxBufferedBytes.
func (s *bufferedSink) Chunk(chunk *rpc.Chunk) error {
	s.bytes += len(chunk.GetData())
	if s.bytes > maxBufferedBytes {
		return resultcode.New(resultcode.AnswerTooLarge, "the answer exceeds %d bytes", maxBufferedBytes).
			WithExecution(resultcode.Ran)
	}
	var choice deltaChoice
	if err := json.Unmarshal(chunk.GetData(), &choice); err != nil {
		return err
	}
	s.content.WriteString(choice.Delta.Content)
	s.refusal.WriteString(choice.Delta.Refusal)
	if choice.Delta.Role != "" {
		s.role = choice.Delta.Role
	}
	if choice.FinishReason != nil {
		s.finishReason = *choice.FinishReason
	}
	for _, delta := range choice.Delta.ToolCalls {
		s.mergeToolCall(delta)
	}
	return nil
}

// maxToolCalls limits the index of a tool call in one answer; deltas with
// another index are ignored.
const maxToolCalls = 256

// mergeToolCall appends a delta of a streamed tool call to the call at its index.
func (s *bufferedSink) mergeToolCall(delta toolCallDelta) {
	if delta.Index < 0 || delta.Index >= maxToolCalls {
		return
	}
	for len(s.toolCalls) <= delta.Index {
		s.toolCalls = append(s.toolCalls, &collectedCall{})
	}
	call := s.toolCalls[delta.Index]
	if delta.ID != "" {
		call.id = delta.ID
	}
	call.name.WriteString(delta.Function.Name)
	call.arguments.WriteString(delta.Function.Arguments)
}

// wholeToolCalls returns the tool calls as collected.
func (s *bufferedSink) wholeToolCalls() []toolCall {
	var calls []toolCall
	for _, c := range s.toolCalls {
		function := toolFunction{Name: c.name.String(), Arguments: c.arguments.String()}
		calls = append(calls, toolCall{ID: c.id, Type: "function", Function: function})
	}
	return calls
}

// Done keeps the token usage.
func (s *bufferedSink) Done(done *rpc.Done) error {
	s.usage = done.GetUsage()
	return nil
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

func (s *bufferedSink) writeAnswer(c echo.Context) error {
	message := completionMessage{Role: s.role, ToolCalls: s.wholeToolCalls()}
	if content := s.content.String(); content != "" || len(s.toolCalls) == 0 {
		message.Content = &content
	}
	if refusal := s.refusal.String(); refusal != "" {
		message.Refusal = &refusal
	}
	c.Response().Header().Set(ExecutionHeader, string(resultcode.Ran))
	return c.JSON(http.StatusOK, completion{
		ID:      "chatcmpl-" + s.req.ID,
		Object:  "chat.completion",
		Created: s.req.Received.Unix(),
		Model:   s.model,
		Choices: []completionChoice{{Message: message, FinishReason: s.finishReason}},
		Usage:   s.usage,
	})
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelListing struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func modelList(names []string) modelListing {
	list := modelListing{Object: "list", Data: []modelEntry{}}
	for _, name := range names {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "site"})
	}
	return list
}

// Flush does nothing: the answer is sent as a whole.
func (s *bufferedSink) Flush() {}

// Buffered is true: the caller receives nothing before the answer is whole.
func (s *bufferedSink) Buffered() bool { return true }

// Restart discards what has been collected.
func (s *bufferedSink) Restart() {
	*s = bufferedSink{req: s.req, model: s.model, role: "assistant"}
}
