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

// MaxRecordedBytes bounds the response body that is stored for callers that repeat
// an idempotency key. A larger response is sent to its first caller but not
// stored.
const MaxRecordedBytes = 4 << 20

// chatServiceName is the service name of chat completions in the key of a claim.
// It cannot collide with a plain service, because their names have no slash.
const chatServiceName = "v1/chat/completions"

// Ledger records which idempotency keys have been claimed and the outcome of their
// runs, so that a request runs at most once. claim.Ledger implements it.
type Ledger interface {
	Claim(ctx context.Context, key claim.Key, digest []byte, nonce string) claim.Decision
	Finish(nonce string, o claim.Outcome)
}

// LedgerGuard is a Guard that claims the idempotency key of each request in a
// Ledger.
type LedgerGuard struct {
	Ledger Ledger
}

// Run claims the request's idempotency key. Only the holder of the claim runs the
// request; every other attempt gets the stored response or a refusal.
func (g *LedgerGuard) Run(ctx context.Context, req *rpc.RunRequest, emit endpoint.Emit, run endpoint.RunFunc) *resultcode.Error {
	if req.GetIdempotencyKey() == "" {
		return resultcode.New(resultcode.IdempotencyKeyRequired, "the profile is not idempotent and the request has no key")
	}
	nonce := itemID(execution.ID{Router: req.GetAttempt().GetRouter(), Ticket: req.GetAttempt().GetTicket()})
	decision := g.Ledger.Claim(ctx, claimKey(req), req.GetBodyDigest(), nonce)
	switch decision.Kind {
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
		Service:        chatServiceName,
		IdempotencyKey: req.GetIdempotencyKey(),
	}
	if s := req.GetService(); s != nil {
		key.Service = s.GetService()
	}
	return key
}

// runClaimed runs a request whose key has been claimed and records its outcome.
func (g *LedgerGuard) runClaimed(ctx context.Context, req *rpc.RunRequest, nonce string, emit endpoint.Emit, run endpoint.RunFunc) *resultcode.Error {
	if err := checkDeadline(ctx); err != nil {
		g.Ledger.Finish(nonce, claim.Outcome{Execution: resultcode.NotRun})
		return err
	}
	recorder := &responseRecorder{emit: emit}
	err := run(ctx, req, recorder.record)
	g.Ledger.Finish(nonce, recorder.outcome(err))
	return err
}

// checkDeadline returns an error if the request's deadline passed while the key was
// being claimed. It reads the clock, because a context's timer may fire late
// after the process was paused.
func checkDeadline(ctx context.Context) *resultcode.Error {
	deadline, ok := ctx.Deadline()
	if ctx.Err() == nil && (!ok || time.Now().Before(deadline)) {
		return nil
	}
	return resultcode.New(resultcode.DeadlineExceeded, "the time for the request passed before it could run")
}

// responseRecorder forwards the frames of a run and keeps the response for the
// ledger.
type responseRecorder struct {
	emit endpoint.Emit
	// status is the HTTP status of a plain service, zero for a chat.
	status  int
	headers []claim.Header
	body    bytes.Buffer
	// tooLarge is set when the body exceeds MaxRecordedBytes.
	tooLarge bool
}

func (r *responseRecorder) record(f *rpc.Frame) error {
	switch k := f.GetKind().(type) {
	case *rpc.Frame_Head:
		r.recordHead(k.Head)
	case *rpc.Frame_Chunk:
		r.recordChunk(k.Chunk)
	}
	return r.emit(f)
}

func (r *responseRecorder) recordHead(head *rpc.ResponseHead) {
	r.status = int(head.GetStatus())
	for _, h := range head.GetHeaders() {
		r.headers = append(r.headers, claim.Header{Name: h.GetName(), Value: h.GetValue()})
	}
}

// recordChunk stores the body bytes of a service, or one line of JSON for each
// choice of a chat.
func (r *responseRecorder) recordChunk(c *rpc.Chunk) {
	r.tooLarge = r.tooLarge || r.body.Len()+len(c.GetData()) > MaxRecordedBytes
	if r.tooLarge {
		return
	}
	r.body.Write(c.GetData())
	if r.status == 0 {
		r.body.WriteByte('\n')
	}
}

func (r *responseRecorder) outcome(err *resultcode.Error) claim.Outcome {
	if err != nil {
		return claim.Outcome{Execution: err.EffectiveExecution()}
	}
	o := claim.Outcome{Execution: resultcode.Ran, Status: r.status, Headers: r.headers, Body: r.body.Bytes()}
	if r.tooLarge {
		o.Omitted, o.Headers, o.Body = true, nil, nil
	}
	return o
}

// replay emits the stored response of the run that used this idempotency key.
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

// chatFrames returns the chunks of a stored chat response, whose body has one
// choice as JSON per line.
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
