package loadgen

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"github.com/pistachiowind/pistachiowind/standin"
)

// bytesPerToken is the number of prompt bytes that the stand-in engine counts as
// one token.
const bytesPerToken = 4

// Range is a range of integers with a log-uniform distribution, in which few values
// are much larger than the rest. The zero value draws zero.
type Range struct {
	Min, Max int
}

// Draw returns a random value between Min and Max.
func (g Range) Draw(r *rand.Rand) int {
	if g.Max <= g.Min || g.Min < 1 {
		return g.Min
	}
	ratio := float64(g.Max+1) / float64(g.Min)
	return min(int(float64(g.Min)*math.Pow(ratio, r.Float64())), g.Max)
}

// ChatShape describes the chat completion requests of a class.
type ChatShape struct {
	// Model is the model name; empty means standin.DefaultModel.
	Model string
	// SystemPrompts is the number of different system prompts, each shared by many
	// requests; zero means that requests have none.
	SystemPrompts int
	// SystemTokens is the length of each system prompt.
	SystemTokens int
	// PromptTokens is the length of the user's message, which is unique.
	PromptTokens Range
	// MaxTokens limits the answer; the zero value sets no limit.
	MaxTokens Range
	// ExactLength makes each answer exactly as long as the drawn MaxTokens, by
	// ignore_eos.
	ExactLength bool
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	IgnoreEOS bool          `json:"ignore_eos,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Body returns a random chat completion request. It can be used as Class.Body.
func (s ChatShape) Body(r *rand.Rand, streamed bool) []byte {
	body := chatBody{
		Model:     cmp.Or(s.Model, standin.DefaultModel),
		Stream:    streamed,
		MaxTokens: s.MaxTokens.Draw(r),
		IgnoreEOS: s.ExactLength,
	}
	if s.SystemPrompts > 0 {
		text := repeatToTokens(fmt.Sprintf("system prompt %d. ", r.IntN(s.SystemPrompts)), s.SystemTokens)
		body.Messages = append(body.Messages, chatMessage{"system", text})
	}
	text := repeatToTokens(fmt.Sprintf("question %016x. ", r.Uint64()), s.PromptTokens.Draw(r))
	body.Messages = append(body.Messages, chatMessage{"user", text})
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// repeatToTokens repeats text up to the length of the given number of tokens. It
// never shortens text.
func repeatToTokens(text string, tokens int) string {
	size := tokens * bytesPerToken
	if size <= len(text) {
		return text
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// ServiceBody returns a small JSON body with a unique reference for a service
// without a model. It can be used as Class.Body.
func ServiceBody(r *rand.Rand, _ bool) []byte {
	return fmt.Appendf(nil, `{"reference":"%016x","amount":%d}`, r.Uint64(), 1+r.IntN(1000))
}

// VerifyServiceCall checks that the answer of a stand-in ledger or booking service
// belongs to the request that was sent. It can be used as Class.Verify.
func VerifyServiceCall(sent Sent, answer []byte) error {
	var call standin.ServiceCall
	if err := json.Unmarshal(answer, &call); err != nil {
		return fmt.Errorf("loadgen: service answer: %w", err)
	}
	if string(call.Body) != string(sent.Body) || call.IdempotencyKey != sent.IdempotencyKey {
		return fmt.Errorf("loadgen: answer belongs to another request: its idempotency key is %q", call.IdempotencyKey)
	}
	return nil
}
