package loadgen

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes limits one line of an event stream.
const maxEventBytes = 4 << 20

// errNoDoneEvent reports a response body that ended normally, but before [DONE].
var errNoDoneEvent = errors.New("the stream ended without [DONE]")

// protocolError describes a violation of the streaming protocol that a correct
// router never sends.
type protocolError string

func (e protocolError) Error() string { return string(e) }

// apiError is an error object in the OpenAI format.
type apiError struct {
	Code      int
	Execution string
	Message   string
}

func (e *apiError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Execution, e.Message)
}

type apiErrorBody struct {
	Error *struct {
		// Code is a number, or a string that holds one.
		Code      json.RawMessage `json:"code"`
		Message   string          `json:"message"`
		Execution string          `json:"execution"`
	} `json:"error"`
}

// parseAPIError decodes an error object; it returns false if data holds none.
func parseAPIError(data []byte) (*apiError, bool) {
	var body apiErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return nil, false
	}
	e := &apiError{Execution: body.Error.Execution, Message: body.Error.Message}
	code := strings.Trim(string(body.Error.Code), `"`)
	if json.Unmarshal([]byte(code), &e.Code) != nil {
		e.Code = 0
	}
	return e, true
}

type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// readStream reads an event stream of chat completion chunks and calls onText for
// each text that is not empty. It returns nil only for a stream with a finish
// reason and [DONE] as its last data, and an *apiError for an error event.
func readStream(body io.Reader, onText func(text string)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(scanCompleteLines)
	finished, done := false, false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		if done {
			return protocolError("the stream has data after [DONE]")
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			done = true
			continue
		}
		last, err := readChunk([]byte(data), onText)
		if err != nil {
			return err
		}
		finished = finished || last
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !done {
		return errNoDoneEvent
	}
	if !finished {
		return protocolError("the stream has no finish reason")
	}
	return nil
}

// scanCompleteLines is a bufio.SplitFunc that drops a last line without a newline,
// which is left when the connection breaks inside an event.
func scanCompleteLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	advance, token, err = bufio.ScanLines(data, false)
	if advance == 0 && atEOF {
		return len(data), nil, err
	}
	return advance, token, err
}

// readChunk passes the texts of a chunk to onText and returns whether the chunk
// carries a finish reason.
func readChunk(data []byte, onText func(text string)) (finished bool, err error) {
	if apiErr, ok := parseAPIError(data); ok {
		return false, apiErr
	}
	var chunk streamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, protocolError("chunk: " + err.Error())
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			onText(choice.Delta.Content)
		}
		finished = finished || choice.FinishReason != ""
	}
	return finished, nil
}
