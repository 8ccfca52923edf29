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
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   chatUsage      `json:"usage"`
}

type answerChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type answerMessage struct {
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

// stream is the generation of one request as its handler sees it.
type stream struct {
	id uint64
	// produced counts generated tokens.
	produced     int
	cachedTokens int
	done         bool
	cut          bool
	silent       bool
	marked       bool
	// changed has room for one notice.
	changed chan struct{}
}

func (s *stream) notify() {
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
	p, err := newPlan(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.serves(p.request.Model) {
		writeError(w, http.StatusNotFound, fmt.Sprintf("the model %q does not exist", p.request.Model))
		return
	}
	a := &answer{engine: e, plan: p, w: w, created: time.Now().Unix()}
	if p.end > p.first {
		a.stream, err = e.begin(p.engineRequest(), func(marker string) bool {
			return bytes.Contains(body, []byte(marker))
		})
	} else {
		a.stream = &stream{done: true, changed: make(chan struct{}, 1)}
	}
	if err != nil {
		// The engine may have crashed while the body was read.
		if !e.serveDown(w) {
			writeError(w, http.StatusServiceUnavailable, err.Error())
		}
		return
	}
	a.id = "chatcmpl-" + strconv.FormatUint(a.stream.id, 10)
	if p.request.Stream {
		a.serveStream(r)
		return
	}
	a.serveWhole(r)
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.models, model)
}

func (p *plan) engineRequest() EngineRequest {
	return EngineRequest{
		Priority:     p.request.Priority,
		PromptTokens: p.promptTokens,
		Blocks:       p.blocks,
		First:        p.first,
		Tokens:       p.end - p.first,
	}
}

// answer is one chat response in progress.
type answer struct {
	engine  *Engine
	plan    *plan
	stream  *stream
	w       http.ResponseWriter
	id      string
	created int64
}

// wait returns the number of generated tokens when it is above have, or when
// generation is done. It returns false when the client has gone, and breaks the
// connection when the engine has crashed.
func (a *answer) wait(r *http.Request, have int) (produced int, ok bool) {
	for {
		state := a.engine.progress(a.stream)
		if state.cut {
			dropConnection()
		}
		if !state.silent && (state.produced > have || state.done) {
			return state.produced, true
		}
		select {
		case <-a.stream.changed:
		case <-r.Context().Done():
			a.engine.cancel(a.stream)
			return have, false
		}
	}
}

func (a *answer) serveWhole(r *http.Request) {
	total := a.plan.end - a.plan.first
	for have := 0; have < total; {
		var ok bool
		if have, ok = a.wait(r, have); !ok {
			return
		}
	}
	var text strings.Builder
	for i := a.plan.first; i < a.plan.end; i++ {
		text.WriteString(a.plan.token(i))
	}
	writeJSON(a.w, http.StatusOK, chatCompletion{
		ID:      a.id,
		Object:  "chat.completion",
		Created: a.created,
		Model:   a.plan.request.Model,
		Choices: []answerChoice{{
			Message:      answerMessage{Role: "assistant", Content: text.String()},
			FinishReason: a.plan.finish,
		}},
		Usage: a.usage(),
	})
}

func (a *answer) serveStream(r *http.Request) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(a.w).Flush
	if flush() != nil {
		a.engine.cancel(a.stream)
		return
	}
	total := a.plan.end - a.plan.first
	for sent := 0; sent < total; {
		have, ok := a.wait(r, sent)
		if !ok {
			return
		}
		for ; sent < have; sent++ {
			a.writeToken(sent)
		}
		if flush() != nil {
			a.engine.cancel(a.stream)
			return
		}
	}
	a.writeChunk([]chunkChoice{{FinishReason: &a.plan.finish}}, nil)
	if a.plan.request.StreamOptions.IncludeUsage {
		usage := a.usage()
		a.writeChunk([]chunkChoice{}, &usage)
	}
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
}

// writeToken writes one token's chunk. The first chunk carries the role as well.
func (a *answer) writeToken(n int) {
	delta := chunkDelta{Content: a.plan.token(a.plan.first + n)}
	if n == 0 {
		delta.Role = "assistant"
	}
	a.writeChunk([]chunkChoice{{Delta: delta}}, nil)
}

// writeChunk ignores a failed write; the next flush reports it.
func (a *answer) writeChunk(choices []chunkChoice, usage *chatUsage) {
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

func (a *answer) usage() chatUsage {
	generated := a.plan.end - a.plan.first
	return chatUsage{
		PromptTokens:     a.plan.promptTokens,
		CompletionTokens: generated,
		TotalTokens:      a.plan.promptTokens + generated,
		PromptDetails:    promptDetails{CachedTokens: a.engine.progress(a.stream).cachedTokens},
	}
}

// progress returns a copy of the stream's state.
func (e *Engine) progress(s *stream) stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *s
}
