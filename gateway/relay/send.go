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
	errUnsigned            = errors.New("success response without the endpoint's signature")
	errUnrequestedEncoding = errors.New("response has a Content-Encoding that was not requested")
	errEndsInsideEvent     = errors.New("stream ends inside an event")
	errEndsWithoutEvent    = errors.New("stream without a length or chunks ends before its first event")
	errStatusMidStream     = errors.New("response of another status in the middle of a stream")
	errTypeMidStream       = errors.New("response of another Content-Type in the middle of a stream")
	errRepeatsEvents       = errors.New("stream was to go on after an event and sends an earlier one")
	errResponseTooLarge    = fmt.Errorf("non-streaming response exceeds %d bytes", maxBufferedResponseBytes)
)

// send forwards the request to the placed endpoint and passes on its response,
// unless it is invalid, a rejection or a 5xx. ctx is the context of the request;
// attempt is that of this attempt and may end earlier.
func (x *exchange) send(ctx, attempt context.Context, placed PlacedAttempt) attemptEnd {
	response, err := x.options.Pool.RoundTrip(attempt, placed.Choice().Endpoint.Address, x.upstreamRequest(placed))
	if err != nil {
		return x.roundTripFailed(ctx, placed, err)
	}
	last := x.currentAttempt()
	last.Framing, last.ConnAge, last.Process = response.Framing, response.ConnAge, response.Process.Born
	fields := x.options.Protocol.DecodeResponse(response.StatusCode, response.Header)
	if fields.NotRun || response.StatusCode == http.StatusMisdirectedRequest {
		return x.rejected(placed, response)
	}
	if err := x.checkResponse(response, fields); err != nil {
		response.Abort()
		placed.Ended(ResultBroken)
		return attemptEnd{kind: outcome.Unknown, resultName: "answer_spoiled", err: err, headReceived: true, broken: true}
	}
	if x.headSent && response.StatusCode != x.record.Status {
		return x.statusMidStream(placed, response)
	}
	if x.route.Kind == routing.Streaming && isSuccess(response.StatusCode) {
		return x.forwardStream(ctx, placed, response)
	}
	return x.forwardPlain(ctx, placed, response)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// checkResponse returns an error if a response must not be passed on as the
// endpoint's own, or does not go on with the stream that the caller has begun to
// receive. A status that tells callers that the request did not run is only true if
// the endpoint states that in its headers, too.
func (x *exchange) checkResponse(response *upstream.Response, fields ResponseFields) error {
	switch {
	case isSuccess(response.StatusCode) && !fields.Signed:
		return errUnsigned
	case response.Header.Get("Content-Encoding") != "":
		return errUnrequestedEncoding
	case outcome.ImpliesNotRun(response.StatusCode):
		return fmt.Errorf("status %d without a statement that the request did not run", response.StatusCode)
	case x.headSent && response.StatusCode == x.record.Status && response.Header.Get("Content-Type") != x.w.Header().Get("Content-Type"):
		return errTypeMidStream
	}
	return nil
}

// statusMidStream ends an attempt that was to go on with a stream and got a valid
// response of another status, which must not become a part of the stream.
func (x *exchange) statusMidStream(placed PlacedAttempt, response *upstream.Response) attemptEnd {
	status := response.StatusCode
	response.Discard()
	result := ResultComplete
	if status >= http.StatusInternalServerError {
		result = ResultServerError
	}
	placed.Ended(result)
	return attemptEnd{kind: outcome.Unknown, resultName: failedPrefix + strconv.Itoa(status), err: errStatusMidStream, headReceived: true}
}

// upstreamRequest builds the request to the endpoint of an attempt.
func (x *exchange) upstreamRequest(placed PlacedAttempt) *upstream.Request {
	h := endToEndHeaders(x.r.Header)
	o := OutgoingFields{
		TimeLeft:   time.Until(x.deadline),
		EndpointID: placed.Choice().Endpoint.ID,
		Account:    x.account,
		Streaming:  x.route.Kind == routing.Streaming,
		Priority:   x.priority,
		FetchFrom:  placed.Choice().FetchFrom,
	}
	if x.headSent {
		o.LastEventID = x.events.lastID
	}
	x.options.Protocol.SetRequestHeaders(h, o)
	req := &upstream.Request{
		Method:  x.r.Method,
		Target:  x.r.RequestURI,
		Host:    x.r.Host,
		Header:  h,
		Body:    x.body,
		HasBody: x.r.ContentLength != 0 || x.r.Header.Get("Content-Length") != "",
		Correlate: func(status int, h http.Header) upstream.Correlation {
			fields := x.options.Protocol.DecodeResponse(status, h)
			correlation := x.correlate(fields)
			fields.Notice.ToThisRequest = correlation == upstream.ThisRequest
			placed.HandleNotice(fields.Notice)
			return correlation
		},
	}
	if x.route.Resumable {
		req.Identification = x.identification(placed)
	}
	if !x.state.Repeatable {
		req.MaxIdleTime = maxIdleNonRepeatable
	}
	return req
}

// identification returns the question for the endpoint's process, without which the version of
// a stream would be that of an entry which may be outdated.
func (x *exchange) identification(placed PlacedAttempt) *upstream.Identification {
	target, header := x.options.Protocol.ProcessQuery(placed.Choice().Endpoint.ID)
	timeout, asks := placed.AsksProcess()
	return &upstream.Identification{
		Target:   target,
		Header:   header,
		Timeout:  timeout,
		Ask:      asks,
		Expected: placed.ExpectedProcess,
		Decode: func(status int, h http.Header, body []byte) upstream.Process {
			notice := x.options.Protocol.DecodeResponse(status, h).Notice
			process := x.options.Protocol.DecodeProcess(status, h, body)
			if process.State != upstream.ProcessStated {
				placed.HandleNotice(notice)
			}
			return process
		},
		Accept: func(p upstream.Process) bool {
			last := x.currentAttempt()
			last.Process, last.ProcessState = p.Born, p.State
			return placed.AcceptProcess(p)
		},
	}
}

// correlate returns which request a response belongs to. Responses that state that
// a request was not run may lack the id.
func (x *exchange) correlate(fields ResponseFields) upstream.Correlation {
	switch fields.ID {
	case x.fields.ID:
		return upstream.ThisRequest
	case "":
		return upstream.NoRequest
	}
	return upstream.AnotherRequest
}

// roundTripFailed ends an attempt that got no valid head of a response.
func (x *exchange) roundTripFailed(ctx context.Context, placed PlacedAttempt, err error) attemptEnd {
	var failure *upstream.Failure
	end := attemptEnd{kind: outcome.Unknown, resultName: "unanswered", err: err}
	result := ResultBroken
	if errors.As(err, &failure) {
		switch failure.Stage {
		case upstream.NotSent:
			end.kind, end.resultName, result = outcome.NotSent, "unreachable", ResultUnreachable
			switch {
			case errors.Is(err, upstream.ErrOtherProcess):
				end.resultName, result = "other_process", ResultOtherProcess
			case errors.Is(err, upstream.ErrOtherEndpoint):
				end.resultName, result = "other_endpoint", ResultReplaced
			case errors.Is(err, upstream.ErrStatementRefused):
				end.resultName, result = "statement_refused", ResultRejected
			case errors.Is(err, upstream.ErrUnproven):
				end.resultName, result = unproven, ResultUnproven
			}
		case upstream.InvalidResponse:
			end.resultName = "answer_spoiled"
			if upstream.IsHeadLimitError(err) {
				end.resultName = "answer_endless"
			}
		}
	}
	switch {
	case ctx.Err() == nil || result == ResultUnproven:
	case end.kind == outcome.NotSent:
		result = ResultUnsent
	default:
		result = ResultInconclusive
	}
	placed.Ended(result)
	end.broken = result == ResultBroken
	return end
}

// rejected ends an attempt whose request was not run: the endpoint stated that, or
// another endpoint responds at its address (421).
func (x *exchange) rejected(placed PlacedAttempt, response *upstream.Response) attemptEnd {
	status := response.StatusCode
	response.Discard()
	result := ResultRejected
	if status == http.StatusMisdirectedRequest {
		result = ResultReplaced
	}
	placed.Ended(result)
	return attemptEnd{kind: outcome.NotRun, resultName: rejectedPrefix + strconv.Itoa(status)}
}

// forwardPlain reads the whole response and delivers it, unless it is a 5xx, which
// may be retried.
func (x *exchange) forwardPlain(ctx context.Context, placed PlacedAttempt, response *upstream.Response) attemptEnd {
	placed.Started()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes+1))
	if err == nil && len(body) > maxBufferedResponseBytes {
		err = errResponseTooLarge
	}
	if err != nil {
		response.Abort()
		result := ResultBroken
		if ctx.Err() != nil {
			result = ResultInconclusive
		}
		placed.Ended(result)
		return attemptEnd{kind: outcome.Unknown, resultName: "answer_truncated", err: err, headReceived: true, broken: result == ResultBroken}
	}
	response.Finish()
	if response.StatusCode >= http.StatusInternalServerError {
		placed.Ended(ResultServerError)
		return attemptEnd{
			kind:       outcome.Failed,
			resultName: failedPrefix + strconv.Itoa(response.StatusCode),
			response:   response,
			body:       body,
		}
	}
	placed.Ended(ResultComplete)
	x.record.TimeToFirstByte = time.Since(x.arrived)
	x.deliver(response.Response, body)
	return attemptEnd{resultName: "delivered", delivered: true}
}

// forwardStream passes events on to the caller as they arrive.
func (x *exchange) forwardStream(ctx context.Context, placed PlacedAttempt, response *upstream.Response) attemptEnd {
	x.events.beginAttempt()
	eventsBefore := x.record.Events
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			placed.Started()
			events := x.events.push(buffer[:n])
			if x.events.repeats {
				return x.breakStream(ctx, placed, response, errRepeatsEvents)
			}
			if writeErr := x.forwardEvents(response, events); writeErr != nil {
				response.Abort()
				placed.Ended(ResultInconclusive)
				x.record.Cause = writeErr.Error()
				x.abort("caller_left")
			}
		}
		if x.events.tooLarge() {
			return x.breakStream(ctx, placed, response, errEventTooLarge)
		}
		if err == nil {
			continue
		}
		switch {
		case err != io.EOF:
		case x.events.insideEvent():
			err = errEndsInsideEvent
		case response.Framing == upstream.FramedByClose && x.record.Events == eventsBefore:
			err = errEndsWithoutEvent
		default:
			return x.finishStream(placed, response)
		}
		x.currentAttempt().PartialEventBytes = x.events.pendingBytes()
		return x.breakStream(ctx, placed, response, err)
	}
}

// finishStream ends an attempt whose stream was read to its end.
func (x *exchange) finishStream(placed PlacedAttempt, response *upstream.Response) attemptEnd {
	if !x.headSent {
		x.sendHead(response)
	}
	response.Finish()
	placed.Ended(ResultComplete)
	x.record.Result = "delivered"
	return attemptEnd{resultName: "delivered", delivered: true}
}

// breakStream ends an attempt whose stream broke. Once a part of an event was
// passed on, the stream cannot be resumed and the caller's connection is closed.
func (x *exchange) breakStream(ctx context.Context, placed PlacedAttempt, response *upstream.Response, err error) attemptEnd {
	response.Abort()
	result := ResultBroken
	if ctx.Err() != nil {
		result = ResultInconclusive
	}
	placed.Ended(result)
	if x.events.sentPartial {
		x.record.Cause = err.Error()
		x.abort("stream_broken")
	}
	return attemptEnd{kind: outcome.Unknown, resultName: "stream_broken", err: err, headReceived: true, broken: result == ResultBroken}
}

// sendHead sends the head of a streaming response to the caller.
func (x *exchange) sendHead(response *upstream.Response) {
	x.headSent = true
	x.record.TimeToFirstByte = time.Since(x.arrived)
	x.record.Status = response.StatusCode
	x.copyHead(response.Response)
	x.w.WriteHeader(response.StatusCode)
}

// recordEvent updates the event count and the longest pause of the record.
func (x *exchange) recordEvent(now time.Time) {
	if x.record.Events > 0 {
		x.record.MaxPause = max(x.record.MaxPause, now.Sub(x.lastEvent))
	}
	x.record.Events++
	x.lastEvent = now
}

// forwardEvents writes events to the caller and flushes them, after the head if it
// was not sent yet.
func (x *exchange) forwardEvents(response *upstream.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if !x.headSent {
		x.sendHead(response)
	}
	x.recordEvent(time.Now())
	x.recordVersion()
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}
