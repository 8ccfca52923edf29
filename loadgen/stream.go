package loadgen

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 4 << 20

// errNoDone means that the connection ended in order, but too early.
var errNoDone = errors.New("the stream ended without [DONE]")

// protocolError is a stream that no correct router sends.
type protocolError string

func (e protocolError) Error() string { return string(e) }

// refusalError is an error object in the OpenAI format.
type refusalError struct {
	Code      int
	Execution string
	Message   string
}

func (e *refusalError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Execution, e.Message)
}

type refusalBody struct {
	Error *struct {
		// Code is a number, or a number in a string.
		Code      json.RawMessage `json:"code"`
		Message   string          `json:"message"`
		Execution string          `json:"execution"`
	} `json:"error"`
}

// parseRefusal decodes an error object; false when data holds none.
func parseRefusal(data []byte) (*refusalError, bool) {
	var body refusalBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return nil, false
	}
	e := &refusalError{Execution: body.Error.Execution, Message: body.Error.Message}
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

// readStream reads an event stream of chat chunks and calls onText for each
// text that is not empty. It returns nil only for a stream with a finish reason
// and [DONE] as its last data, and a *refusalError for an error event.
func readStream(body io.Reader, onText func(text string)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(scanWholeLines)
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
		return errNoDone
	}
	if !finished {
		return protocolError("the stream has no finish reason")
	}
	return nil
}

// scanWholeLines drops a last line without its end, which is what a connection
// that breaks inside an event leaves.
func scanWholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	advance, token, err = bufio.ScanLines(data, false)
	if advance == 0 && atEOF {
		return len(data), nil, err
	}
	return advance, token, err
}

// readChunk returns whether the chunk carries a finish reason.
func readChunk(data []byte, onText func(text string)) (finished bool, err error) {
	if refusal, ok := parseRefusal(data); ok {
		return false, refusal
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
