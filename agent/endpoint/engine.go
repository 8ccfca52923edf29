package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/retryafter"
	"github.com/pistachiowind/pistachiowind/rpc"
)

const (
	// maxEventBytes bounds one line, and so one server-sent event, of an
	// engine's stream, and all lines between two choices of the answer.
	maxEventBytes = 1 << 20

	// firstEventTimeout bounds the time until the first server-sent event and
	// eventTimeout the time between two events. A longer pause counts as a
	// broken stream: engines produce a token in a fraction of a second, and a
	// connection can stop delivering data without being closed.
	firstEventTimeout = time.Minute
	eventTimeout      = 10 * time.Second

	maxErrorBodyBytes  = 64 << 10
	maxModelsBodyBytes = 1 << 20
)

// Engine is the Backend for a model engine with the OpenAI-compatible HTTP API.
type Engine struct {
	url string
	// runs opens a connection for each run, like that of a Service; probes keeps them.
	runs, probes *http.Client
	// dial opens the connections of a run whose process states its model, to address.
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	address string
	// configured replaces the list of models that the engine reports, unless it is empty.
	configured []string
	// probeConnections is the number of connections that probes opened.
	probeConnections atomic.Uint64
}

// NewEngine returns the Backend for the engine at a base URL, given without a
// trailing slash.
func NewEngine(url string) *Engine {
	runs := newTransport(false)
	e := &Engine{url: url, runs: &http.Client{Transport: runs}, dial: runs.DialContext, address: dialAddress(url)}
	probes := newTransport(true)
	dial := probes.DialContext
	probes.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil {
			e.probeConnections.Add(1)
		}
		return c, err
	}
	e.probes = &http.Client{Transport: probes}
	return e
}

// Configure sets the models that are offered instead of those that the engine lists. It must be
// called before the first Run.
func (e *Engine) Configure(models []string) { e.configured = models }

// ProbeConnections returns the number of connections that were opened for health checks and
// lists of models. They are kept, so that a further one shows that the engine, or its process,
// has closed the one before.
func (e *Engine) ProbeConnections() uint64 { return e.probeConnections.Load() }

// Check queries the engine's health route.
func (e *Engine) Check(ctx context.Context) error {
	return checkHealth(ctx, e.probes, e.url+"/health")
}

// Models lists the ids of the models that the engine serves.
func (e *Engine) Models(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return listModels(ctx, e.probes, e.url)
}

// Run executes a chat completion. It always requests a stream, even for a caller
// that wants a buffered response, so that the agent sees tokens as they are
// generated. A text goes on only where the process that runs it states the model that wrote it.
func (e *Engine) Run(ctx context.Context, req *rpc.RunRequest, emit Emit) *resultcode.Error {
	body, err := engineBody(req)
	if err != nil {
		return resultcode.Wrap(resultcode.MalformedBody, err, "the body cannot be passed on")
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	eventTimer := time.AfterFunc(firstEventTimeout, func() { stop(errEventTimeout) })
	defer eventTimer.Stop()
	client, stated, release, err := e.openRun(ctx, req)
	if err != nil {
		return resultcode.Wrap(resultcode.EndpointDown, err, "the endpoint cannot be reached")
	}
	defer release()
	if err := checkTextModel(req.GetChat(), stated, emit); err != nil {
		return err
	}
	var tracker connTracker
	httpReq, err := http.NewRequestWithContext(tracker.withTrace(ctx), http.MethodPost, e.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return resultcode.Wrap(resultcode.Internal, err, "build the engine request")
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set("X-Request-Id", req.GetRequestId())
	resp, err := client.Do(httpReq)
	if err != nil {
		return tracker.transportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return engineRefusal(resp)
	}
	s := engineStream{emit: emit, nextIndex: req.GetChat().GetFirstIndex(), eventTimer: eventTimer, stated: stated}
	return s.forward(resp.Body)
}

// checkTextModel refuses to continue a text unless the engine's process states the model that wrote
// it.
func checkTextModel(chat *rpc.ChatWork, stated *statement, emit Emit) *resultcode.Error {
	if chat.GetTextSoFar() == "" {
		return nil
	}
	model := stated.wait()
	if model != "" && model == chat.GetTextModel() {
		return nil
	}
	if err := emitStated(model, emit); err != nil {
		return resultcode.Wrap(resultcode.AttemptRenounced, err, "the run was stopped")
	}
	return resultcode.New(resultcode.UnknownModel, "model %q wrote the text, the engine states %q", chat.GetTextModel(), model)
}

// emitStated emits the model that the process of a run states, if any.
func emitStated(model string, emit Emit) error {
	if model == "" {
		return nil
	}
	return emit(&rpc.Frame{Kind: &rpc.Frame_Stated{Stated: &rpc.Stated{Model: model}}})
}

// openRun returns the client of a run, the statement of its process and a function that closes
// what the run leaves open. A request that may run only once is not continued, so that its process
// is not asked.
func (e *Engine) openRun(ctx context.Context, req *rpc.RunRequest) (*http.Client, *statement, func(), error) {
	if !req.GetIdempotent() {
		return e.runs, nil, func() {}, nil
	}
	question, run, err := e.processConnections(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	return clientOver(run), e.ask(ctx, question, req.GetChat().GetModel()), func() { run.Close() }, nil
}

var errEventTimeout = errors.New("endpoint: the engine sent nothing for too long")

// engineBody returns the caller's body with the fields set that the router
// controls: streaming, priority and, for a continued stream, the text so far.
func engineBody(req *rpc.RunRequest) ([]byte, error) {
	chat := req.GetChat()
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(chat.GetBody(), &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(fmt.Sprint(req.GetTier()))
	if chat.GetTextSoFar() == "" {
		return json.Marshal(fields)
	}
	if err := continueFrom(fields, chat.GetTextSoFar()); err != nil {
		return nil, err
	}
	reduceTokenLimits(fields, int(chat.GetTokensSoFar()))
	return json.Marshal(fields)
}

// tokenLimitFields bound the newly generated tokens, so a continued request gets
// only the remainder. The tokens so far are counted as chunks, because engines
// send one token per chunk.
var tokenLimitFields = []string{"max_tokens", "max_completion_tokens", "min_tokens"}

func reduceTokenLimits(fields map[string]json.RawMessage, generated int) {
	for _, name := range tokenLimitFields {
		var limit int
		if json.Unmarshal(fields[name], &limit) != nil || limit == 0 {
			continue
		}
		fields[name] = json.RawMessage(strconv.Itoa(max(limit-generated, 1)))
	}
}

// continueFrom makes the engine continue the text that the caller already has.
// The text is appended as a new assistant message or, if the caller's request
// itself continues its last message, to that message.
func continueFrom(fields map[string]json.RawMessage, text string) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return err
	}
	extendLast := string(bytes.TrimSpace(fields["continue_final_message"])) == "true"
	last, err := continuedMessage(messages, text, extendLast)
	if err != nil {
		return err
	}
	if extendLast {
		messages = messages[:len(messages)-1]
	}
	fields["messages"], err = json.Marshal(append(messages, last))
	fields["continue_final_message"] = json.RawMessage(`true`)
	fields["add_generation_prompt"] = json.RawMessage(`false`)
	return err
}

// continuedMessage returns the assistant message that ends with the text so far:
// the last of messages extended by text, or a new one.
func continuedMessage(messages []json.RawMessage, text string, extendLast bool) (json.RawMessage, error) {
	message := map[string]json.RawMessage{"role": json.RawMessage(`"assistant"`)}
	if extendLast {
		if len(messages) == 0 {
			return nil, errors.New("no message to continue")
		}
		var content string
		err := json.Unmarshal(messages[len(messages)-1], &message)
		if err == nil {
			err = json.Unmarshal(message["content"], &content)
		}
		if err != nil {
			return nil, fmt.Errorf("the message to continue is not text: %w", err)
		}
		text = content + text
	}
	content, err := json.Marshal(text)
	if err != nil {
		return nil, err
	}
	message["content"] = content
	return json.Marshal(message)
}

// maxPause is the longest time for which an engine gets no requests. A longer Retry-After
// is a mistake: the engine would be out of use although its health checks pass.
const maxPause = time.Minute

// engineRefusal converts a response with a status other than 200. Engines
// validate a request before they run it, so a 4xx status proves that it did not
// run.
func engineRefusal(resp *http.Response) *resultcode.Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	message := errorMessage(text)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return resultcode.New(resultcode.EndpointOverloaded, "the engine answered %d: %s", resp.StatusCode, message).
			WithRetryAfter(retryafter.Parse(resp.Header, maxPause))
	case resp.StatusCode == http.StatusNotFound:
		return resultcode.New(resultcode.UnknownModel, "the engine answered 404: %s", message)
	case resp.StatusCode < http.StatusInternalServerError:
		return resultcode.New(resultcode.EndpointRefused, "the engine answered %d: %s", resp.StatusCode, message)
	}
	return resultcode.New(resultcode.EndpointFailed, "the engine answered %d: %s", resp.StatusCode, message).
		WithExecution(resultcode.Unknown)
}

func errorMessage(body []byte) string {
	var e struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil && e.Error.Message != "" {
		return e.Error.Message
	}
	return string(bytes.ToValidUTF8(body, []byte("?")))
}

// engineStream converts the engine's server-sent events to frames.
type engineStream struct {
	emit      Emit
	nextIndex uint32
	usage     []byte
	// eventTimer cancels the run when it fires; each event resets it.
	eventTimer *time.Timer
	// finished is set once a choice carried a finish reason.
	finished bool
	// stated is the model of the process of the run, statedSent whether it was emitted.
	stated     *statement
	statedSent bool
}

type engineChunk struct {
	Choices []json.RawMessage `json:"choices"`
	Usage   json.RawMessage   `json:"usage"`
	Error   *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type engineChoice struct {
	Delta struct {
		Content          string          `json:"content"`
		ToolCalls        json.RawMessage `json:"tool_calls"`
		FunctionCall     json.RawMessage `json:"function_call"`
		Refusal          json.RawMessage `json:"refusal"`
		ReasoningContent json.RawMessage `json:"reasoning_content"`
		Audio            json.RawMessage `json:"audio"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// opaque reports whether the delta holds more than text, such as a tool call.
func (c *engineChoice) opaque() bool {
	d := &c.Delta
	for _, part := range []json.RawMessage{d.ToolCalls, d.FunctionCall, d.Refusal, d.ReasoningContent, d.Audio} {
		if len(part) > 0 && !bytes.Equal(part, jsonNull) {
			return true
		}
	}
	return false
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	jsonNull   = []byte("null")
)

func (s *engineStream) forward(body io.Reader) *resultcode.Error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	withoutChoice := 0
	for scanner.Scan() {
		before := s.nextIndex
		done, err := s.handleLine(scanner.Bytes())
		if done || err != nil {
			return err
		}
		withoutChoice += len(scanner.Bytes()) + 1
		if s.nextIndex != before {
			withoutChoice = 0
		}
		if withoutChoice > maxEventBytes {
			return endpointFailed(nil, "the engine sent too much that is no answer")
		}
	}
	return endpointFailed(scanner.Err(), "the engine's stream ended before its end marker")
}

// handleLine handles a line of the stream; done is set after its end marker.
func (s *engineStream) handleLine(line []byte) (done bool, _ *resultcode.Error) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return false, nil
	}
	data = bytes.TrimSpace(data)
	s.eventTimer.Reset(eventTimeout)
	if bytes.Equal(data, doneMarker) {
		return true, s.finish()
	}
	return false, s.handleEvent(data)
}

func (s *engineStream) handleEvent(data []byte) *resultcode.Error {
	var chunk engineChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return endpointFailed(err, "the engine sent an event that is not valid JSON")
	}
	if chunk.Error != nil {
		return endpointFailed(errors.New(chunk.Error.Message), "the engine reported an error in its stream")
	}
	if len(chunk.Usage) > 0 && !bytes.Equal(chunk.Usage, jsonNull) {
		s.usage = compactJSON(chunk.Usage)
	}
	for _, raw := range chunk.Choices {
		if err := s.handleChoice(raw); err != nil {
			return err
		}
	}
	return nil
}

func (s *engineStream) handleChoice(raw json.RawMessage) *resultcode.Error {
	var choice engineChoice
	if err := json.Unmarshal(raw, &choice); err != nil {
		return endpointFailed(err, "the engine sent a choice that is not valid JSON")
	}
	s.finished = s.finished || choice.FinishReason != nil
	chunk := &rpc.Chunk{
		Index:    s.nextIndex,
		Data:     compactJSON(raw),
		Text:     choice.Delta.Content,
		Opaque:   choice.opaque(),
		Finished: choice.FinishReason != nil,
	}
	s.nextIndex++
	if err := s.emitStated(chunk); err != nil {
		return endpointFailed(err, "the stream was stopped")
	}
	if err := s.emit(&rpc.Frame{Kind: &rpc.Frame_Chunk{Chunk: chunk}}); err != nil {
		return endpointFailed(err, "the stream was stopped")
	}
	return nil
}

// emitStated emits the model of the run's process before a chunk with text, once it is known.
func (s *engineStream) emitStated(c *rpc.Chunk) error {
	if c.GetText() == "" || s.statedSent {
		return nil
	}
	model := s.stated.known()
	s.statedSent = model != ""
	return emitStated(model, s.emit)
}

// compactJSON copies valid JSON without insignificant white space. A carriage
// return there would end the event sent to the caller, because server-sent events
// treat it as a line break.
func compactJSON(raw json.RawMessage) []byte {
	var out bytes.Buffer
	out.Grow(len(raw))
	// Compact fails only on invalid JSON, and raw has been decoded before.
	_ = json.Compact(&out, raw)
	return out.Bytes()
}

func (s *engineStream) finish() *resultcode.Error {
	if !s.finished {
		return endpointFailed(nil, "the engine's stream ended without a finish reason")
	}
	if err := s.emit(&rpc.Frame{Kind: &rpc.Frame_Done{Done: &rpc.Done{Usage: s.usage}}}); err != nil {
		return endpointFailed(err, "the stream was stopped")
	}
	return nil
}

// endpointFailed returns an EndpointFailed error with unknown execution: the
// endpoint had received the request and may have run it.
func endpointFailed(err error, message string) *resultcode.Error {
	return resultcode.Wrap(resultcode.EndpointFailed, err, "%s", message).WithExecution(resultcode.Unknown)
}
