package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

type chatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chatUsage    `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   chatUsage          `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// stream is the progress of one request's generation, which the engine updates
// and the request's handler reads. Engine.mu guards its state.
type stream struct {
	id uint64
	// generated is the number of generated tokens.
	generated      int
	cachedTokens   int
	done           bool
	cut            bool
	silent         bool
	hasCrashMarker bool
	// changed signals new state to the handler; its buffer of one merges signals.
	changed chan struct{}
}

func (s *stream) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	p, err := newAnswerPlan(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.serves(p.request.Model) {
		writeError(w, http.StatusNotFound, fmt.Sprintf("the model %q does not exist", p.request.Model))
		return
	}
	a := &chatResponse{engine: e, plan: p, w: w, created: time.Now().Unix()}
	if p.endToken > p.firstToken {
		a.stream, err = e.startRequest(p.engineRequest(), func(marker string) bool {
			return bytes.Contains(body, []byte(marker))
		})
	} else {
		a.stream = &stream{done: true, changed: make(chan struct{}, 1)}
	}
	if err != nil {
		// The engine may have crashed while the body was read.
		if !e.respondIfDown(w) {
			writeError(w, http.StatusServiceUnavailable, err.Error())
		}
		return
	}
	a.id = "chatcmpl-" + strconv.FormatUint(a.stream.id, 10)
	if p.request.Stream {
		a.serveStream(r)
		return
	}
	a.serveNonStreaming(r)
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.models, model)
}

func (p *answerPlan) engineRequest() EngineRequest {
	return EngineRequest{
		Priority:     p.request.Priority,
		PromptTokens: p.promptTokens,
		Blocks:       p.blocks,
		First:        p.firstToken,
		Tokens:       p.endToken - p.firstToken,
	}
}

// chatResponse is one chat response in progress.
type chatResponse struct {
	engine  *Engine
	plan    *answerPlan
	stream  *stream
	w       http.ResponseWriter
	id      string
	created int64
}

// waitForTokens waits until more than known tokens are generated or generation is
// done, and returns the number of generated tokens. It returns false when the
// client has disconnected, and breaks the connection when the engine has crashed.
func (a *chatResponse) waitForTokens(r *http.Request, known int) (generated int, ok bool) {
	for {
		state := a.engine.progress(a.stream)
		if state.cut {
			dropConnection()
		}
		if !state.silent && (state.generated > known || state.done) {
			return state.generated, true
		}
		select {
		case <-a.stream.changed:
		case <-r.Context().Done():
			a.engine.cancelRequest(a.stream)
			return known, false
		}
	}
}

func (a *chatResponse) serveNonStreaming(r *http.Request) {
	total := a.plan.endToken - a.plan.firstToken
	for have := 0; have < total; {
		var ok bool
		if have, ok = a.waitForTokens(r, have); !ok {
			return
		}
	}
	var text strings.Builder
	for i := a.plan.firstToken; i < a.plan.endToken; i++ {
		text.WriteString(a.plan.token(i))
	}
	writeJSON(a.w, http.StatusOK, chatCompletion{
		ID:      a.id,
		Object:  "chat.completion",
		Created: a.created,
		Model:   a.plan.request.Model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: text.String()},
			FinishReason: a.plan.finishReason,
		}},
		Usage: a.usage(),
	})
}

func (a *chatResponse) serveStream(r *http.Request) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(a.w).Flush
	if flush() != nil {
		a.engine.cancelRequest(a.stream)
		return
	}
	total := a.plan.endToken - a.plan.firstToken
	for sent := 0; sent < total; {
		have, ok := a.waitForTokens(r, sent)
		if !ok {
			return
		}
		for ; sent < have; sent++ {
			a.writeToken(sent)
		}
		if flush() != nil {
			a.engine.cancelRequest(a.stream)
			return
		}
	}
	a.writeChunk([]chunkChoice{{FinishReason: &a.plan.finishReason}}, nil)
	if a.plan.request.StreamOptions.IncludeUsage {
		usage := a.usage()
		a.writeChunk([]chunkChoice{}, &usage)
	}
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
}

// writeToken writes the chunk of one token. The first chunk also carries the role.
func (a *chatResponse) writeToken(n int) {
	delta := chunkDelta{Content: a.plan.token(a.plan.firstToken + n)}
	if n == 0 {
		delta.Role = "assistant"
	}
	a.writeChunk([]chunkChoice{{Delta: delta}}, nil)
}

// writeChunk writes one server-sent event. It ignores a failed write, which the
// next flush reports.
func (a *chatResponse) writeChunk(choices []chunkChoice, usage *chatUsage) {
	data, err := json.Marshal(chatChunk{
		ID:      a.id,
		Object:  "chat.completion.chunk",
		Created: a.created,
		Model:   a.plan.request.Model,
		Choices: choices,
		Usage:   usage,
	})
	if err != nil {
		dropConnection()
	}
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", data)
}

func (a *chatResponse) usage() chatUsage {
	generated := a.plan.endToken - a.plan.firstToken
	return chatUsage{
		PromptTokens:     a.plan.promptTokens,
		CompletionTokens: generated,
		TotalTokens:      a.plan.promptTokens + generated,
		PromptDetails:    promptDetails{CachedTokens: a.engine.progress(a.stream).cachedTokens},
	}
}

// progress returns a snapshot of the stream's state.
func (e *Engine) progress(s *stream) stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *s
}
