package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/claim"
	"github.com/pistachiowind/pistachiowind/agent/endpoint"
	"github.com/pistachiowind/pistachiowind/agent/execution"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// MaxRecordedBytes bounds the answer that is kept for callers that send a key
// again. A larger answer reaches its first caller and is not kept.
const MaxRecordedBytes = 4 << 20

// modelService stands for chat completions in the key of a claim. Names of
// plain services have no slash.
const modelService = "v1/chat/completions"

// Ledger is the at-most-once record; claim.Ledger is one.
type Ledger interface {
	Claim(ctx context.Context, key claim.Key, digest []byte, nonce string) claim.Decision
	Finish(nonce string, o claim.Outcome)
}

// LedgerGuard runs non-idempotent requests under the record of a Ledger.
type LedgerGuard struct {
	Ledger Ledger
}

// Run claims the request's key. Only the holder of the claim runs the request;
// every other attempt gets the stored answer or a refusal.
func (g *LedgerGuard) Run(ctx context.Context, req *rpc.RunRequest, emit endpoint.Emit, run endpoint.RunFunc) *resultcode.Error {
	if req.GetIdempotencyKey() == "" {
		return resultcode.New(resultcode.IdempotencyKeyRequired, "the profile is not idempotent and the request has no key")
	}
	nonce := itemID(execution.ID{Router: req.GetAttempt().GetRouter(), Ticket: req.GetAttempt().GetTicket()})
	decision := g.Ledger.Claim(ctx, claimKey(req), req.GetBodyDigest(), nonce)
	switch decision.Verdict {
	case claim.Run:
		return g.runClaimed(ctx, req, nonce, emit, run)
	case claim.Replay:
		return replay(req, decision.Outcome, emit)
	}
	return decision.Refusal
}

func claimKey(req *rpc.RunRequest) claim.Key {
	key := claim.Key{
		ClientAccount:  req.GetClientAccount(),
		Service:        modelService,
		IdempotencyKey: req.GetIdempotencyKey(),
	}
	if s := req.GetService(); s != nil {
		key.Service = s.GetService()
	}
	return key
}

// runClaimed runs the request and records its end.
func (g *LedgerGuard) runClaimed(ctx context.Context, req *rpc.RunRequest, nonce string, emit endpoint.Emit, run endpoint.RunFunc) *resultcode.Error {
	if err := lapsed(ctx); err != nil {
		g.Ledger.Finish(nonce, claim.Outcome{Execution: resultcode.NotRun})
		return err
	}
	rec := &recording{emit: emit}
	err := run(ctx, req, rec.frame)
	g.Ledger.Finish(nonce, rec.outcome(err))
	return err
}

// lapsed reports whether the time of the request passed while the claim was
// made. The clock is read because the timer of a context may fire late after the
// process was paused.
func lapsed(ctx context.Context) *resultcode.Error {
	deadline, ok := ctx.Deadline()
	if ctx.Err() == nil && (!ok || time.Now().Before(deadline)) {
		return nil
	}
	return resultcode.New(resultcode.DeadlineExceeded, "the time for the request passed before it could run")
}

// recording passes frames on and keeps the answer.
type recording struct {
	emit   endpoint.Emit
	status int
	head   []claim.Header
	body   bytes.Buffer
	large  bool
}

func (r *recording) frame(f *rpc.Frame) error {
	switch k := f.GetKind().(type) {
	case *rpc.Frame_Head:
		r.keepHead(k.Head)
	case *rpc.Frame_Chunk:
		r.keepChunk(k.Chunk)
	}
	return r.emit(f)
}

func (r *recording) keepHead(head *rpc.ResponseHead) {
	r.status = int(head.GetStatus())
	for _, h := range head.GetHeaders() {
		r.head = append(r.head, claim.Header{Name: h.GetName(), Value: h.GetValue()})
	}
}

// keepChunk keeps body bytes of a service, or one line for each choice of a chat.
func (r *recording) keepChunk(c *rpc.Chunk) {
	r.large = r.large || r.body.Len()+len(c.GetData()) > MaxRecordedBytes
	if r.large {
		return
	}
	r.body.Write(c.GetData())
	if r.status == 0 {
		r.body.WriteByte('\n')
	}
}

func (r *recording) outcome(err *resultcode.Error) claim.Outcome {
	if err != nil {
		return claim.Outcome{Execution: err.Verdict()}
	}
	o := claim.Outcome{Execution: resultcode.Ran, Status: r.status, Headers: r.head, Body: r.body.Bytes()}
	if r.large {
		o.Omitted, o.Headers, o.Body = true, nil, nil
	}
	return o
}

// replay emits the stored answer of an earlier run of the key.
func replay(req *rpc.RunRequest, o *claim.Outcome, emit endpoint.Emit) *resultcode.Error {
	if o.Omitted {
		return resultcode.New(resultcode.AnswerNotRetained, "the request ran before and its answer was too large to keep").
			WithExecution(resultcode.Ran)
	}
	frames := replayFrames(req, o)
	for _, f := range frames {
		if err := emit(f); err != nil {
			return resultcode.Wrap(resultcode.EndpointFailed, err, "the stored answer was not read").WithExecution(resultcode.Ran)
		}
	}
	return nil
}

func replayFrames(req *rpc.RunRequest, o *claim.Outcome) []*rpc.Frame {
	done := &rpc.Frame{Kind: &rpc.Frame_Done{Done: &rpc.Done{}}}
	if req.GetService() == nil {
		return append(chatFrames(o.Body), done)
	}
	head := &rpc.ResponseHead{Status: uint32(o.Status), Replayed: true}
	for _, h := range o.Headers {
		head.Headers = append(head.Headers, &rpc.Header{Name: h.Name, Value: h.Value})
	}
	body := &rpc.Chunk{Data: o.Body}
	return []*rpc.Frame{
		{Kind: &rpc.Frame_Head{Head: head}},
		{Kind: &rpc.Frame_Chunk{Chunk: body}},
		done,
	}
}

func chatFrames(body []byte) []*rpc.Frame {
	var frames []*rpc.Frame
	for line := range bytes.Lines(body) {
		var choice struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		}
		line = bytes.TrimSuffix(line, []byte("\n"))
		if json.Unmarshal(line, &choice) != nil {
			continue
		}
		chunk := &rpc.Chunk{
			Index:    uint32(len(frames)),
			Data:     line,
			Text:     choice.Delta.Content,
			Finished: choice.FinishReason != nil,
		}
		frames = append(frames, &rpc.Frame{Kind: &rpc.Frame_Chunk{Chunk: chunk}})
	}
	return frames
}
