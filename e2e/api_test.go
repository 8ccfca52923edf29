package e2e_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/standin"
)

// Guards against answers, streamed or not, that an unmodified OpenAI client cannot
// read or that differ from what the engine generated.
func TestStockClient(t *testing.T) {
	s := startSite(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c := openai.NewClient(
		option.WithBaseURL(s.routers[0].url("callers")+"/v1"),
		option.WithAPIKey(marketKey),
		option.WithMaxRetries(0),
	)
	params := openai.ChatCompletionNewParams{
		Model:     standin.DefaultModel,
		MaxTokens: openai.Int(40),
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("Answer questions about contracts."),
			openai.UserMessage("Ist die Rate „Nr. 7“ bezahlt?"),
		},
	}
	body, err := json.Marshal(params)
	if err != nil {
		t.Fatal(err)
	}
	want, err := standin.ExpectedAnswer(body)
	if err != nil {
		t.Fatal(err)
	}
	completion, err := c.Chat.Completions.New(ctx, params)
	if err != nil {
		t.Fatal(err)
	}
	if got := completion.Choices[0].Message.Content; got != want || completion.Usage.CompletionTokens == 0 {
		t.Errorf("answer %q with usage %+v, want %q", got, completion.Usage, want)
	}
	stream := c.Chat.Completions.NewStreaming(ctx, params)
	var collected openai.ChatCompletionAccumulator
	for stream.Next() {
		if !collected.AddChunk(stream.Current()) {
			t.Fatalf("chunk does not fit: %+v", stream.Current())
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got := collected.Choices[0].Message.Content; got != want || collected.Choices[0].FinishReason == "" {
		t.Errorf("stream %q, finish %q, want %q", got, collected.Choices[0].FinishReason, want)
	}
	models, err := c.Models.List(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if len(models.Data) != 1 || models.Data[0].ID != standin.DefaultModel {
		t.Errorf("models %+v", models.Data)
	}
}

// Guards against a charge that runs again when its idempotency key is sent again to
// the same router or another, and against a different request that runs under a key
// already used.
func TestChargeKeys(t *testing.T) {
	s := startSite(t)
	key := newKey()
	first := charge(s.routers[0], key, `{"amount":45}`)
	if !first.ran() || first.replayed {
		t.Fatalf("first charge: %v", first)
	}
	for _, r := range s.routers {
		if again := charge(r, key, `{"amount":45}`); !again.ran() || !again.replayed || again.body != first.body {
			t.Errorf("charge sent again at %s: %v, want %v", r.name, again, first)
		}
	}
	for _, r := range s.routers {
		other := charge(r, key, `{"amount":46}`)
		if other.status != http.StatusUnprocessableEntity || other.code != resultcode.IdempotencyKeyReused || !other.notRun() {
			t.Errorf("key used for another charge at %s: %v", r.name, other)
		}
	}
	if missing := charge(s.routers[0], "", `{"amount":45}`); missing.code != resultcode.IdempotencyKeyRequired || !missing.notRun() {
		t.Errorf("charge without a key: %v", missing)
	}
	if n := s.runsByKey()[key]; n != 1 {
		t.Errorf("the charge ran %d times", n)
	}
	if n := s.runsByKey()[""]; n != 0 {
		t.Errorf("%d charges without a key ran", n)
	}
}
