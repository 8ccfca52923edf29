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
	// MinAnswerTokens and MaxAnswerTokens limit the length at which an answer ends
	// by itself. The length is derived from a hash of the conversation and is
	// log-uniform: the mean is about 209 tokens, and one answer in ten has more
	// than 630.
	MinAnswerTokens = 8
	MaxAnswerTokens = 1024
	// maxRequestTokens limits the tokens of one answer, whatever the request asks for.
	maxRequestTokens = 1 << 17

	bytesPerToken = 4
	// blockBytes is the length of the prompt text in one prefix cache block.
	blockBytes = bytesPerToken * CacheBlockTokens
)

// ErrContinuedText means that the assistant message to continue is not a prefix
// of the conversation's answer, so that the caller would get a wrong text.
var ErrContinuedText = errors.New("standin: the continued message is not the start of the answer")

var errNoMessages = errors.New("standin: messages is empty")

// syllables are the building blocks of token text. Some need escaping in JSON or
// several bytes in UTF-8, so that tests detect a router that corrupts text.
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

// answerPlan is a decoded chat request with the parameters that determine its
// complete answer.
type answerPlan struct {
	request chatRequest
	hash    uint64
	// firstToken is the index of the first token to emit, and skipBytes is the
	// number of its bytes that the continued message already contains.
	firstToken, skipBytes int
	// endToken is the index after the last token.
	endToken     int
	finishReason string
	promptTokens int
	blocks       []uint64
}

// ExpectedAnswer returns the complete text that an engine generates for a chat
// request body. It is a pure function of the messages and the token limit. The
// text of a continued assistant message is not part of the result.
func ExpectedAnswer(body []byte) (text string, err error) {
	p, err := newAnswerPlan(body)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for i := p.firstToken; i < p.endToken; i++ {
		b.WriteString(p.token(i))
	}
	return b.String(), nil
}

// EngineRequestFor returns the EngineRequest that an engine schedules for a chat
// request body, for use with an EngineModel without HTTP. Its ID is zero.
func EngineRequestFor(body []byte) (EngineRequest, error) {
	p, err := newAnswerPlan(body)
	if err != nil {
		return EngineRequest{}, err
	}
	return p.engineRequest(), nil
}

// newAnswerPlan decodes a request body. The token limit counts generated tokens,
// as in the published protocol: a continued request must carry the remaining limit.
func newAnswerPlan(body []byte) (*answerPlan, error) {
	p := &answerPlan{}
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

// turn is one message of a conversation.
type turn struct {
	role, text string
}

// conversation returns the messages and, separately, the text of the assistant
// message to continue, if there is one.
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

// writeField hashes a string with its length in front, so that moving bytes from
// one field to the next changes the hash. Writing to a Digest never fails.
func writeField(d *xxhash.Digest, s string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(s)
}

// splitmix64 is the finalizer of SplitMix64.
func splitmix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// tokenText returns the text of one token.
func tokenText(conversation uint64, index int) string {
	x := splitmix64(conversation + uint64(index+1)*0x9e3779b97f4a7c15)
	n := uint64(len(syllables))
	return syllables[x%n] + syllables[x/n%n] + syllables[x/n/n%n] + " "
}

// token returns the text that the response emits for one token: for the first one,
// without the bytes that the continued message already contains.
func (p *answerPlan) token(index int) string {
	text := tokenText(p.hash, index)
	if index == p.firstToken {
		return text[p.skipBytes:]
	}
	return text
}

// skipText sets firstToken and skipBytes to the end of the continued text. It
// returns ErrContinuedText if that text is not a prefix of the answer.
func (p *answerPlan) skipText(continued string) error {
	for continued != "" {
		if p.firstToken >= maxRequestTokens {
			return ErrContinuedText
		}
		text := tokenText(p.hash, p.firstToken)
		if len(continued) < len(text) {
			if !strings.HasPrefix(text, continued) {
				return ErrContinuedText
			}
			p.skipBytes = len(continued)
			return nil
		}
		if !strings.HasPrefix(continued, text) {
			return ErrContinuedText
		}
		continued = continued[len(text):]
		p.firstToken++
	}
	return nil
}

// setLength sets endToken and the finish reason.
func (p *answerPlan) setLength() {
	ratio := float64(MaxAnswerTokens) / MinAnswerTokens
	fraction := float64(splitmix64(p.hash^0x5851f42d4c957f2d)>>11) / (1 << 53)
	p.endToken = int(MinAnswerTokens * math.Pow(ratio, fraction))
	p.finishReason = "stop"
	if p.request.IgnoreEOS {
		p.endToken = maxRequestTokens
	}
	limit := p.request.MaxCompletionTokens
	if limit == nil {
		limit = p.request.MaxTokens
	}
	if limit != nil && p.firstToken+max(*limit, 0) < p.endToken {
		p.endToken = p.firstToken + max(*limit, 0)
		p.finishReason = "length"
	}
	p.endToken = max(p.endToken, p.firstToken)
}

// setPrompt counts the prompt's tokens and hashes its complete blocks for the
// prefix cache. A block's hash covers the model, the preceding blocks and its text.
func (p *answerPlan) setPrompt(messages []turn, continued string) {
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
