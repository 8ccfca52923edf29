package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/outcome"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

var (
	errUnsigned = errors.New("success without the endpoint's signature")
	errEncoded  = errors.New("answer has a content encoding that was not asked for")
	errTooLarge = fmt.Errorf("plain answer exceeds %d bytes", maxPlainBytes)
)

// send forwards the request to the placed endpoint and, for a success, the
// answer to the caller. The attempt's context may end before that of the request.
func (x *exchange) send(ctx, attempt context.Context, t Ticket) ending {
	answer, err := x.o.Pool.RoundTrip(attempt, t.Choice().Endpoint.Address, x.outgoing(t))
	if err != nil {
		return x.exchangeFailed(ctx, t, err)
	}
	fields := x.o.Protocol.Answer(answer.StatusCode, answer.Header)
	if fields.NotRun || answer.StatusCode == http.StatusMisdirectedRequest {
		return x.notRun(t, answer)
	}
	if err := credible(answer, fields); err != nil {
		answer.Abort()
		t.Ended(Broken)
		return ending{kind: outcome.Unknown, name: "answer_spoiled", err: err}
	}
	if x.route.Kind == routing.Streaming && success(answer.StatusCode) {
		return x.stream(ctx, t, answer)
	}
	return x.plain(ctx, t, answer)
}

func success(status int) bool { return status >= 200 && status < 300 }

// credible checks that an answer can be passed on as the endpoint's own. A
// status that promises "not run" is only true together with that statement.
func credible(answer *upstream.Response, fields AnswerFields) error {
	switch {
	case success(answer.StatusCode) && !fields.Signed:
		return errUnsigned
	case answer.Header.Get("Content-Encoding") != "":
		return errEncoded
	case outcome.ImpliesNotRun(answer.StatusCode):
		return fmt.Errorf("status %d without a statement that the request did not run", answer.StatusCode)
	}
	return nil
}

func (x *exchange) outgoing(t Ticket) *upstream.Request {
	h := endToEnd(x.r.Header)
	o := Outgoing{
		TimeLeft:   time.Until(x.deadline),
		EndpointID: t.Choice().Endpoint.ID,
		Account:    x.account,
		Streaming:  x.route.Kind == routing.Streaming,
		Priority:   x.priority,
		FetchFrom:  t.Choice().FetchFrom,
	}
	if x.headSent {
		o.LastEventID = x.events.lastID
	}
	x.o.Protocol.Outgoing(h, o)
	req := &upstream.Request{
		Method:  x.r.Method,
		Target:  x.r.RequestURI,
		Host:    x.r.Host,
		Header:  h,
		Body:    x.body,
		HasBody: x.r.ContentLength != 0 || x.r.Header.Get("Content-Length") != "",
		Correlate: func(status int, h http.Header) upstream.Correlation {
			fields := x.o.Protocol.Answer(status, h)
			if !fields.Notice.empty() {
				t.Noticed(fields.Notice)
			}
			return x.named(fields)
		},
	}
	if !x.state.Repeatable {
		req.MaxIdleTime = freshForUnsafe
	}
	return req
}

// named tells which request an answer belongs to. Statements that a request was
// not run may lack the id.
func (x *exchange) named(fields AnswerFields) upstream.Correlation {
	switch fields.ID {
	case x.fields.ID:
		return upstream.ThisRequest
	case "":
		return upstream.NoRequest
	}
	return upstream.AnotherRequest
}

func (x *exchange) exchangeFailed(ctx context.Context, t Ticket, err error) ending {
	var failure *upstream.Failure
	end := ending{kind: outcome.Unknown, name: "unanswered", err: err}
	result := Broken
	if errors.As(err, &failure) {
		switch failure.Stage {
		case upstream.NotSent:
			end.kind, end.name, result = outcome.NotSent, "unreachable", Unreachable
		case upstream.InvalidResponse:
			end.name = "answer_spoiled"
			if upstream.IsHeadLimitError(err) {
				end.name = "answer_endless"
			}
		}
	}
	if ctx.Err() != nil {
		result = Neutral
	}
	t.Ended(result)
	return end
}

func (x *exchange) notRun(t Ticket, answer *upstream.Response) ending {
	status := answer.StatusCode
	answer.Discard()
	result := Rejected
	if status == http.StatusMisdirectedRequest {
		result = Replaced
	}
	t.Ended(result)
	return ending{kind: outcome.NotRun, name: rejectedPrefix + strconv.Itoa(status)}
}

// plain reads the whole answer and delivers it.
func (x *exchange) plain(ctx context.Context, t Ticket, answer *upstream.Response) ending {
	t.Started()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxPlainBytes+1))
	if err == nil && len(body) > maxPlainBytes {
		err = errTooLarge
	}
	if err != nil {
		answer.Abort()
		result := Broken
		if ctx.Err() != nil {
			result = Neutral
		}
		t.Ended(result)
		return ending{kind: outcome.Unknown, name: "answer_truncated", err: err}
	}
	answer.Finish()
	if answer.StatusCode >= http.StatusInternalServerError {
		t.Ended(Erring)
		return ending{kind: outcome.Failed, name: failedPrefix + strconv.Itoa(answer.StatusCode), answer: answer, body: body}
	}
	t.Ended(Whole)
	x.record.FirstEvent = time.Since(x.arrived)
	x.deliver(answer.Response, body)
	return ending{name: "delivered", done: true}
}

// stream passes events on as they arrive.
func (x *exchange) stream(ctx context.Context, t Ticket, answer *upstream.Response) ending {
	x.events.drop()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			t.Started()
			if failed := x.forward(answer, x.events.push(buffer[:n])); failed != nil {
				answer.Abort()
				t.Ended(Neutral)
				x.record.Cause = failed.Error()
				x.abort("caller_left")
			}
		}
		if x.events.endless() {
			return x.streamBroke(ctx, t, answer, errEndlessEvent)
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			return x.streamBroke(ctx, t, answer, err)
		}
		return x.streamEnded(t, answer)
	}
}

func (x *exchange) streamEnded(t Ticket, answer *upstream.Response) ending {
	if failed := x.forward(answer, x.events.flush()); failed != nil {
		answer.Abort()
		t.Ended(Neutral)
		x.record.Cause = failed.Error()
		x.abort("caller_left")
	}
	if !x.headSent {
		x.sendHead(answer)
	}
	answer.Finish()
	t.Ended(Whole)
	x.record.Result = "delivered"
	return ending{name: "delivered", done: true}
}

func (x *exchange) streamBroke(ctx context.Context, t Ticket, answer *upstream.Response, err error) ending {
	answer.Abort()
	result := Broken
	if ctx.Err() != nil {
		result = Neutral
	}
	t.Ended(result)
	if x.events.oversize {
		x.record.Cause = err.Error()
		x.abort("stream_broken")
	}
	return ending{kind: outcome.Unknown, name: "stream_broken", err: err}
}

func (x *exchange) sendHead(answer *upstream.Response) {
	x.headSent = true
	x.record.FirstEvent = time.Since(x.arrived)
	x.record.Status = answer.StatusCode
	x.copyHead(answer.Response)
	x.w.WriteHeader(answer.StatusCode)
}

func (x *exchange) noteEvent(now time.Time) {
	if x.record.Events > 0 {
		x.record.MaxPause = max(x.record.MaxPause, now.Sub(x.lastEvent))
	}
	x.record.Events++
	x.lastEvent = now
}

func (x *exchange) forward(answer *upstream.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if !x.headSent {
		x.sendHead(answer)
	}
	x.noteEvent(time.Now())
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}
