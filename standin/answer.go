package standin

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinAnswerTokens and MaxAnswerTokens bound an answer's own length, which is
	// drawn log-uniformly from a hash of the conversation: the mean is about 209
	// tokens, and one answer in ten has more than 630.
	MinAnswerTokens = 8
	MaxAnswerTokens = 1024
	// maxRequestTokens bounds the tokens of one request, whatever it asks for.
	maxRequestTokens = 1 << 17

	bytesPerToken = 4
	// blockBytes is the prompt text of one block of the prefix cache.
	blockBytes = bytesPerToken * CacheBlockTokens
)

// ErrContinuedText means that a continued assistant message is not the start
// of the conversation's answer, so that the caller would get a wrong text.
var ErrContinuedText = errors.New("standin: the continued message is not the start of the answer")

var errNoMessages = errors.New("standin: messages is empty")

// syllables make up the tokens' text. Some need escaping in JSON or several
// bytes in UTF-8, so that a router that damages text is found.
var syllables = [...]string{
	"ba", "co", "di", "fu", "ga", "he", "io", "ju", "ka", "lo", "mi", "nu", "pa", "que", "ri", "so",
	"tu", "va", "wen", "xi", "yo", "za", "ă", "ș", "ț", "é", "ô", "煤", "🪨", "\"", "\\", "\n",
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatRequest struct {
	Model                string        `json:"model"`
	Messages             []chatMessage `json:"messages"`
	Stream               bool          `json:"stream"`
	StreamOptions        streamOptions `json:"stream_options"`
	MaxTokens            *int          `json:"max_tokens"`
	MaxCompletionTokens  *int          `json:"max_completion_tokens"`
	IgnoreEOS            bool          `json:"ignore_eos"`
	Priority             int           `json:"priority"`
	ContinueFinalMessage bool          `json:"continue_final_message"`
	N                    *int          `json:"n"`
}

// plan is a decoded chat request with its whole answer fixed.
type plan struct {
	request chatRequest
	hash    uint64
	// first is the index of the first token to emit, and skip is how many bytes
	// of it the continued message already holds.
	first, skip int
	// end is the index after the last token.
	end          int
	finish       string
	promptTokens int
	blocks       []uint64
}

// ExpectedAnswer returns the whole text that an engine generates for a chat
// request body. It is a pure function of the messages and the token limit. The
// text of a continued assistant message is not part of the result.
func ExpectedAnswer(body []byte) (text string, err error) {
	p, err := newPlan(body)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for i := p.first; i < p.end; i++ {
		b.WriteString(p.token(i))
	}
	return b.String(), nil
}

// EngineRequestFor returns what an engine schedules for a chat request body,
// for driving an EngineModel without the protocol. The ID is zero.
func EngineRequestFor(body []byte) (EngineRequest, error) {
	p, err := newPlan(body)
	if err != nil {
		return EngineRequest{}, err
	}
	return p.engineRequest(), nil
}

// newPlan decodes a request body. The token limit counts generated tokens, as
// in the published protocol: a continued request must carry what is left of it.
func newPlan(body []byte) (*plan, error) {
	p := &plan{}
	if err := json.Unmarshal(body, &p.request); err != nil {
		return nil, fmt.Errorf("standin: request body: %w", err)
	}
	messages, continued, err := p.request.conversation()
	if err != nil {
		return nil, err
	}
	p.hash = conversationHash(messages)
	if err := p.skipText(continued); err != nil {
		return nil, err
	}
	p.setLength()
	p.setPrompt(messages, continued)
	return p, nil
}

type turn struct {
	role, text string
}

// conversation splits off the continued message, if there is one.
func (r *chatRequest) conversation() (messages []turn, continued string, err error) {
	if len(r.Messages) == 0 {
		return nil, "", errNoMessages
	}
	if r.N != nil && *r.N != 1 {
		return nil, "", errors.New("standin: n other than 1 is not supported")
	}
	for _, m := range r.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return nil, "", err
		}
		messages = append(messages, turn{m.Role, text})
	}
	if !r.ContinueFinalMessage {
		return messages, "", nil
	}
	last := messages[len(messages)-1]
	if last.role != "assistant" || len(messages) == 1 {
		return nil, "", errors.New("standin: continue_final_message needs a last assistant message after another one")
	}
	return messages[:len(messages)-1], last.text, nil
}

// contentText returns a message's text: a string, or the text parts of an array.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", fmt.Errorf("standin: content is neither a string nor parts: %w", err)
	}
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(part.Text)
	}
	return b.String(), nil
}

func conversationHash(messages []turn) uint64 {
	d := xxhash.New()
	for _, m := range messages {
		writeField(d, m.role)
		writeField(d, m.text)
	}
	return d.Sum64()
}

// writeField hashes a string behind its length, so that moving bytes from one
// field to the next changes the hash. Writing to a Digest never fails.
func writeField(d *xxhash.Digest, s string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(s)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// tokenText returns the text of one token.
func tokenText(conversation uint64, index int) string {
	x := mix(conversation + uint64(index+1)*0x9e3779b97f4a7c15)
	n := uint64(len(syllables))
	return syllables[x%n] + syllables[x/n%n] + syllables[x/n/n%n] + " "
}

// token returns what the request emits for one token.
func (p *plan) token(index int) string {
	text := tokenText(p.hash, index)
	if index == p.first {
		return text[p.skip:]
	}
	return text
}

// skipText finds the first token that the continued text does not hold whole.
func (p *plan) skipText(continued string) error {
	for continued != "" {
		if p.first >= maxRequestTokens {
			return ErrContinuedText
		}
		text := tokenText(p.hash, p.first)
		if len(continued) < len(text) {
			if !strings.HasPrefix(text, continued) {
				return ErrContinuedText
			}
			p.skip = len(continued)
			return nil
		}
		if !strings.HasPrefix(continued, text) {
			return ErrContinuedText
		}
		continued = continued[len(text):]
		p.first++
	}
	return nil
}

// setLength sets the end and the finish reason.
func (p *plan) setLength() {
	ratio := float64(MaxAnswerTokens) / MinAnswerTokens
	share := float64(mix(p.hash^0x5851f42d4c957f2d)>>11) / (1 << 53)
	p.end = int(MinAnswerTokens * math.Pow(ratio, share))
	p.finish = "stop"
	if p.request.IgnoreEOS {
		p.end = maxRequestTokens
	}
	limit := p.request.MaxCompletionTokens
	if limit == nil {
		limit = p.request.MaxTokens
	}
	if limit != nil && p.first+max(*limit, 0) < p.end {
		p.end = p.first + max(*limit, 0)
		p.finish = "length"
	}
	p.end = max(p.end, p.first)
}

// setPrompt counts the prompt's tokens and hashes its blocks for the prefix
// cache. A block's hash covers everything before it and the model.
func (p *plan) setPrompt(messages []turn, continued string) {
	d := xxhash.New()
	writeField(d, p.request.Model)
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.role + "\n" + m.text + "\n")
	}
	b.WriteString(continued)
	prompt := b.String()
	p.promptTokens = (len(prompt) + bytesPerToken - 1) / bytesPerToken
	for len(prompt) >= blockBytes {
		_, _ = d.WriteString(prompt[:blockBytes])
		p.blocks = append(p.blocks, d.Sum64())
		prompt = prompt[blockBytes:]
	}
}
