package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pistachiowind/pistachiowind/standin"
)

const (
	profileHeader   = "X-Pistachiowind-Profile"
	executionHeader = "X-Pistachiowind-Execution"
	// idempotencyHeader is in lower case because net/http silently retries a
	// request with the canonical Idempotency-Key header when its connection breaks.
	// Header names are case-insensitive for the receiver.
	idempotencyHeader = "idempotency-key"

	// maxAnswerBytes limits the body of an answer that is not streamed.
	maxAnswerBytes = 16 << 20
)

// Outcome classifies how a request ended.
type Outcome string

const (
	// Whole is a complete answer that passed its check, if it has one.
	Whole Outcome = "whole"
	// Refused is a status of 300 or above.
	Refused Outcome = "refused"
	// Incomplete is a broken connection, a timeout, a stream that ended with an
	// error event or without [DONE], or no answer at all.
	Incomplete Outcome = "incomplete"
	// Wrong is an answer whose content differs from the expected one, or a stream
	// that violates the protocol.
	Wrong Outcome = "wrong"
)

// Result describes one request after its end.
type Result struct {
	Sent    Sent
	Outcome Outcome
	// Status is the HTTP status, zero without an answer.
	Status int
	// Code and Execution are those of a refusal or an error event; zero and empty
	// if the answer carries none.
	Code      int
	Execution string
	// RetryAfter states whether a refusal has the header Retry-After.
	RetryAfter bool
	// Reason describes an outcome other than Whole.
	Reason string
	// SendDelay is the time from the scheduled to the actual sending.
	SendDelay time.Duration
	// FirstToken is the time from the scheduled time to the first token, or to the
	// headers of an answer that is not streamed; zero if there was none.
	FirstToken time.Duration
	// Gaps are the times between successive text chunks of a stream.
	Gaps []time.Duration
	// TextChunks is the number of chunks of a stream that carry text.
	TextChunks int
	// TotalTime is the time from the scheduled time to the end, for every outcome.
	TotalTime time.Duration
}

// request is one request to send.
type request struct {
	class     *Class
	sent      Sent
	address   string
	scheduled time.Time
}

// newRequest draws the next request of the class.
func (s *classSource) newRequest(opts *Options) *request {
	s.drawn++
	q := &request{class: s.class}
	q.sent = Sent{Class: s.class.Name, APIKey: drawAPIKey(s.rng, s.class.APIKeys)}
	q.sent.Body = s.class.Body(s.rng, s.class.Streamed)
	q.address = opts.Addresses[s.rng.IntN(len(opts.Addresses))]
	if s.class.IdempotencyKey {
		q.sent.IdempotencyKey = fmt.Sprintf("%s-%d-%d", s.class.Name, opts.Seed, s.drawn)
	}
	return q
}

func drawAPIKey(r *rand.Rand, keys []APIKey) string {
	total := 0
	for _, k := range keys {
		total += max(k.Weight, 1)
	}
	if total == 0 {
		return ""
	}
	n := r.IntN(total)
	for _, k := range keys {
		if n -= max(k.Weight, 1); n < 0 {
			return k.Value
		}
	}
	return ""
}

func (q *request) path() string {
	if q.class.Path == "" {
		return defaultPath
	}
	return q.class.Path
}

func (q *request) httpRequest(ctx context.Context) (*http.Request, error) {
	method := q.class.Method
	if method == "" {
		method = http.MethodPost
	}
	url := strings.TrimSuffix(q.address, "/") + q.path()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(q.sent.Body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	if q.sent.APIKey != "" {
		r.Header.Set("Authorization", "Bearer "+q.sent.APIKey)
	}
	if q.class.Profile != "" {
		r.Header.Set(profileHeader, q.class.Profile)
	}
	if q.sent.IdempotencyKey != "" {
		r.Header[idempotencyHeader] = []string{q.sent.IdempotencyKey}
	}
	return r, nil
}

// do sends the request, then reads and verifies its answer.
func (q *request) do(ctx context.Context, client *http.Client) Result {
	result := Result{Sent: q.sent, SendDelay: time.Since(q.scheduled)}
	r, err := q.httpRequest(ctx)
	if err != nil {
		return q.withOutcome(result, Incomplete, err.Error())
	}
	response, err := client.Do(r)
	if err != nil {
		return q.withOutcome(result, Incomplete, connectionFailureReason(err))
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	if response.StatusCode >= http.StatusMultipleChoices {
		return q.readRefusal(result, response)
	}
	if q.class.Streamed {
		return q.readStream(result, response)
	}
	return q.readWhole(result, response)
}

func (q *request) withOutcome(result Result, outcome Outcome, reason string) Result {
	result.Outcome = outcome
	result.Reason = reason
	result.TotalTime = time.Since(q.scheduled)
	return result
}

// connectionFailureReason maps the common connection errors to one text each, so
// that they are counted together.
func connectionFailureReason(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	}
	return err.Error()
}

func (q *request) readRefusal(result Result, response *http.Response) Result {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return q.withOutcome(result, Incomplete, connectionFailureReason(err))
	}
	result.RetryAfter = response.Header.Get("Retry-After") != ""
	result.Execution = response.Header.Get(executionHeader)
	apiErr, ok := parseAPIError(data)
	if !ok {
		return q.withOutcome(result, Refused, "no error object")
	}
	result.Code = apiErr.Code
	if result.Execution == "" {
		result.Execution = apiErr.Execution
	}
	return q.withOutcome(result, Refused, apiErr.Message)
}

func (q *request) readWhole(result Result, response *http.Response) Result {
	result.FirstToken = time.Since(q.scheduled)
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return q.withOutcome(result, Incomplete, connectionFailureReason(err))
	}
	verify := q.class.Verify
	if verify == nil && q.path() == defaultPath {
		verify = verifyCompletion
	}
	if verify != nil {
		if err := verify(q.sent, data); err != nil {
			return q.withOutcome(result, Wrong, err.Error())
		}
	}
	return q.withOutcome(result, Whole, "")
}

// verifyCompletion checks a chat completion that is not streamed.
func verifyCompletion(sent Sent, answer []byte) error {
	want, err := standin.ExpectedAnswer(sent.Body)
	if err != nil {
		return err
	}
	var completion struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(answer, &completion); err != nil {
		return err
	}
	if len(completion.Choices) != 1 {
		return fmt.Errorf("%d choices", len(completion.Choices))
	}
	return compareText(completion.Choices[0].Message.Content, want)
}

// compareText returns an error that names the first byte that differs.
func compareText(got, want string) error {
	if got == want {
		return nil
	}
	same := 0
	for same < min(len(got), len(want)) && got[same] == want[same] {
		same++
	}
	return fmt.Errorf("%d bytes, want %d; they differ from byte %d on", len(got), len(want), same)
}

// readStream reads a streamed chat completion. A stream that breaks off is Wrong
// and not Incomplete if its text is not a prefix of the expected one.
func (q *request) readStream(result Result, response *http.Response) Result {
	want, err := standin.ExpectedAnswer(q.sent.Body)
	if err != nil {
		return q.withOutcome(result, Wrong, err.Error())
	}
	var text strings.Builder
	var last time.Time
	err = readStream(response.Body, func(piece string) {
		now := time.Now()
		if last.IsZero() {
			result.FirstToken = now.Sub(q.scheduled)
		} else {
			result.Gaps = append(result.Gaps, now.Sub(last))
		}
		last = now
		result.TextChunks++
		text.WriteString(piece)
	})
	return q.endStream(result, err, text.String(), want)
}

func (q *request) endStream(result Result, err error, text, want string) Result {
	if err != nil && strings.HasPrefix(want, text) {
		var apiErr *apiError
		if errors.As(err, &apiErr) {
			result.Code, result.Execution = apiErr.Code, apiErr.Execution
			return q.withOutcome(result, Incomplete, "error event")
		}
		var protocol protocolError
		if errors.As(err, &protocol) {
			return q.withOutcome(result, Wrong, err.Error())
		}
		return q.withOutcome(result, Incomplete, connectionFailureReason(err))
	}
	if err := compareText(text, want); err != nil {
		return q.withOutcome(result, Wrong, err.Error())
	}
	return q.withOutcome(result, Whole, "")
}
