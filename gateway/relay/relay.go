// Package relay is the gateway's reverse proxy. It matches a request to its
// route, asks the Placer for an endpoint, forwards the request, and passes the
// response back unchanged. Without a response to pass on, it responds with an error
// of its own that states correctly whether the request may have run. Decisions are
// made by the packages routing, placement and outcome.
package relay

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/outcome"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

const (
	// defaultTimeout applies if neither the caller states a deadline nor the
	// route has a timeout.
	defaultTimeout = 60 * time.Second
	// maxUnprovenAttempts bounds, for one request, the attempts at endpoints whose process is not
	// proven. Each leaves its endpoint out, so that further ones are rare.
	maxUnprovenAttempts = 6
	// maxUnsentAttempts bounds, for one request, the attempts at endpoints that
	// could not be reached.
	maxUnsentAttempts = 3
	// stopMargin is the time that the last answer takes to its caller before the process closes
	// the connections.
	stopMargin = 50 * time.Millisecond
	// minTimeForAttempt is the remaining time below which another attempt cannot
	// succeed.
	minTimeForAttempt = 20 * time.Millisecond
	// maxBufferedResponseBytes bounds a plain (non-streaming) response. It is read
	// completely before it is passed on, so that a truncated one can be retried or
	// reported as an error.
	maxBufferedResponseBytes = 512 << 10
	// bodyTimeout bounds the time from the arrival of a request to the end of its
	// body.
	bodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyMemoryRetryAfter is the Retry-After of a request that is refused because
	// the buffered bodies use all body memory; most bodies are passed on within a
	// second.
	bodyMemoryRetryAfter = time.Second
	// unknownLengthDivisor gives the memory that is reserved for a body without a
	// Content-Length: the largest allowed size divided by this number.
	unknownLengthDivisor = 8
	// maxIdleNonRepeatable is how long a connection may have been idle to be used
	// for a request that must not be repeated: an endpoint may drop an idle
	// connection without notice.
	maxIdleNonRepeatable = 1500 * time.Millisecond
	// retryAfterDivisor limits Retry-After to a third of the caller's remaining
	// time; callers honour no longer one.
	retryAfterDivisor = 3
	copyBufferBytes   = 4 << 10
)

// Placer chooses the endpoint of each attempt and keeps the retry budget.
// The relay calls it concurrently; implementations must serialise the calls.
type Placer interface {
	// Admit returns an attempt placed at an endpoint, or a refusal.
	Admit(w *placement.Work, r AdmissionRequest) (PlacedAttempt, *Refusal)
	// AllowRetry takes a token from the service's retry budget; false if there is
	// none.
	AllowRetry(service, account string) bool
	// FirstAttempt adds a fraction of a token to the service's retry budget.
	FirstAttempt(service, account string)
	// TakeUp returns where a stream may go on that an attempt of a caller takes up, and
	// records the attempt. The route is nil while no configuration is known.
	TakeUp(route *routing.Route, t TakeUp) TakenUp
	// TakeUpKept reports whether other gateways can tell what an attempt took up, as far as
	// that can be done soon.
	TakeUpKept(attempt string) bool
	// StreamBegan reports the version of the endpoint that brought the first event of a
	// stream that may be resumed, or went on with it, by the caller's attempt.
	StreamBegan(attempt, service, version string)
	// StreamBroke reports that such a stream ended before its end, so that the caller may
	// take it up at another gateway.
	StreamBroke(attempt string)
}

// AdmissionRequest holds what admission and placement need to know of a request besides
// its placement.Work.
type AdmissionRequest struct {
	// ID identifies the caller's attempt, for the log.
	ID    string
	Route string
	// Fingerprint is the hash by which requests that crash endpoints are recognised.
	Fingerprint crashes.Fingerprint
	Priority    routing.Priority
	Account     string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// IsRetry is true for each attempt of the request after the first.
	IsRetry bool
	// Resumable is true for a stream that may be resumed. Continues is the version of the
	// endpoint that began it, at which alone it may go on; nil for one without an event.
	Resumable bool
	Continues *string
	// CallerTime is the time that the caller allows; zero if it states none.
	CallerTime time.Duration
	// Paused is how long this attempt has waited as Refusal.Pause asked.
	Paused time.Duration
}

// PlacedAttempt is an attempt for which an endpoint was chosen. The relay reports to it
// what it observes of the attempt.
type PlacedAttempt interface {
	Choice() placement.Choice
	// AttemptTimeout returns the time after which an idempotent plain request is tried at
	// another endpoint.
	AttemptTimeout() time.Duration
	// AsksProcess reports whether the endpoint may be asked for its process before a stream that
	// may be resumed is sent to it, and how long a question may take. ExpectedProcess returns the
	// process that other connections may prove, zero for none. AcceptProcess reports whether
	// the stream may be sent to a process: it is of the version at which the attempt was placed.
	AsksProcess() (timeout time.Duration, asks bool)
	ExpectedProcess() upstream.Identity
	AcceptProcess(upstream.Process) bool
	// HandleNotice handles what the endpoint states about itself. It is called for each
	// response that has such a notice, also for a late one to another request.
	HandleNotice(Notice)
	// Started reports that the first bytes of a stream or the head of a plain
	// response arrived. It is called for each further piece of a stream, too.
	Started()
	// Ended reports the result of the attempt.
	Ended(AttemptResult)
}

// AttemptResult is what an attempt says about the health of its endpoint.
type AttemptResult int

// Results of an attempt.
const (
	// ResultComplete means that the response was read to its end.
	ResultComplete AttemptResult = iota
	// ResultInconclusive means that the attempt says nothing about the endpoint: the caller
	// closed the connection, or time ran out.
	ResultInconclusive
	// ResultBroken means that no response came, or that it was invalid or ended early.
	ResultBroken
	// ResultServerError means that the endpoint responded with a 5xx status of its own.
	ResultServerError
	// ResultRejected means that the endpoint stated that it did not run the request.
	ResultRejected
	// ResultUnreachable means that the endpoint did not accept a connection.
	ResultUnreachable
	// ResultReplaced means that the endpoint is gone: another one responds at its
	// address.
	ResultReplaced
	// ResultOtherProcess means that another process of the endpoint than the expected one
	// responds, so that the request was not sent.
	ResultOtherProcess
	// ResultUnsent means that the caller closed the connection, or time ran out, before the
	// request was sent. It says nothing about the endpoint.
	ResultUnsent
	// ResultUnproven means that nothing shows which process is behind the endpoint's address, so
	// that the request was not sent.
	ResultUnproven
)

// Reasons of refusals that are no lack of capacity.
const (
	// Condemned requests crash endpoints.
	Condemned = "condemned"
	// Leaving requests came so late while the process stops that it might end before they do.
	Leaving = "leaving"
	// CrashSuspect requests stood in crashes of endpoints lately, and must wait longer than
	// their time allows.
	CrashSuspect = "crash_suspect"
	// VersionUnknown streams began at a version that is not known, or would begin at one that
	// may be outdated.
	VersionUnknown = "version_unknown"
)

// Refusal is a decision not to forward a request.
type Refusal struct {
	// Reason is the result in the log, which also selects the result code.
	Reason string
	// RetryAfter is the time after which there should be capacity.
	RetryAfter time.Duration
	// Pause, if not zero, is the time after which the relay should ask again by itself.
	Pause time.Duration
	// Choice is the endpoint that was considered; nil if there was none.
	Choice *placement.Choice
	// Suspect is what a condemned request is refused for, and CrashRounds the number of
	// rounds of crashes in which it stood.
	Suspect     crashes.Suspect
	CrashRounds int
	// RefusedShare is the fraction of such requests that is refused in favour of more
	// urgent ones.
	RefusedShare float64
	// AccountShare holds the inputs of a refusal by shares of client accounts.
	AccountShare admission.Share
}

// Options configure a Relay. All fields are required unless their comments say
// otherwise.
type Options struct {
	Protocol Protocol
	// Table returns the configuration in force, nil while none is known.
	Table    func() *routing.Table
	Placer   Placer
	Pool     *upstream.Pool
	Observer Observer
	// PickService draws one of the services that a route splits its traffic among. A stream
	// that may be resumed gets the one that follows from the id of its caller's attempt; stream
	// is empty for other requests.
	PickService func(r *routing.Route, stream string) string
	// StopsAt returns when the process closes the connections that remain; zero as long as new
	// requests may take all their time. Nil means never.
	StopsAt func() time.Time
	// ConnClosed reports whether the connection of a request was closed before its
	// handler began; nil means never.
	ConnClosed func(context.Context) bool
	// MaxBodyMemory bounds the request bodies that are buffered at the same time, in
	// bytes. A request that would exceed it is refused before its body is read.
	// Zero means no limit.
	MaxBodyMemory int64
}

// Relay is an http.Handler that forwards requests to endpoints.
type Relay struct {
	options Options
	// heldBodyBytes is the memory reserved for request bodies now.
	heldBodyBytes atomic.Int64
}

// New returns a Relay with the options o.
func New(o Options) *Relay { return &Relay{options: o} }

// exchange is one request of a caller, with its attempts and its response.
type exchange struct {
	*Relay
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	table    *routing.Table
	route    *routing.Route
	account  string
	priority routing.Priority
	fields   RequestFields
	body     []byte
	// reservedBytes is the part of heldBodyBytes that is this request's.
	reservedBytes int64
	work          placement.Work
	record        Record
	fingerprint   crashes.Fingerprint
	// deadline is the earlier of the caller's deadline and the end of the route's
	// timeout.
	deadline time.Time
	state    outcome.State
	// headSent states that the head of a streaming response was sent to the caller.
	headSent bool
	// lastEvent is when events were last sent to the caller.
	lastEvent time.Time
	events    eventSplitter
	// continues is the version at which alone a stream with events may go on; nil if it has
	// none. attemptVersion is that of the endpoint of the latest attempt.
	continues      *string
	attemptVersion string
	// unprovenAttempts is the number of attempts at endpoints whose process is not proven.
	unprovenAttempts int
	// streamBegan states that the version of the stream was reported.
	streamBegan bool
	// takeUpRecorded states that the Placer knows which stream the request takes up.
	takeUpRecorded bool
}

// ServeHTTP implements http.Handler.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Relay: rl, w: w, r: r, arrived: time.Now(), table: rl.options.Table()}
	// net/http would add both; a response has only the endpoint's own headers.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	if len(r.TransferEncoding) > 0 {
		// net/http silently ignores a Content-Length next to Transfer-Encoding. What
		// follows such a request may have been meant as part of it (request
		// smuggling), so nothing more is read from the connection (RFC 9112,
		// section 6.1).
		w.Header().Set("Connection", "close")
	}
	defer x.finish()
	if rl.options.ConnClosed != nil && rl.options.ConnClosed(r.Context()) {
		x.abort("connection_closed")
	}
	if !x.resolve() {
		return
	}
	if x.takesUp() {
		x.takeUp()
	}
	if !x.reserveBody() {
		return
	}
	defer x.releaseBody()
	if !x.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// finish passes the record to the observer. It is deferred, so that it also runs
// while a panic aborts the connection.
func (x *exchange) finish() {
	x.record.Total = time.Since(x.arrived)
	if x.streamBegan && x.record.Result != "delivered" {
		x.options.Placer.StreamBroke(x.attemptName())
	}
	x.options.Observer.Finished(x.record)
}

// resolve determines the route, the client account, the priority and the
// deadline. If it cannot, it responds with an error and returns false.
func (x *exchange) resolve() bool {
	x.fields = x.options.Protocol.DecodeRequest(x.r.Header)
	x.record.CallerProtocol = x.r.Proto
	x.record.ID, x.record.Resumes, x.record.LastEventID = x.fields.ID, x.fields.Resumes, x.fields.LastEventID
	if x.table == nil {
		if x.fields.LastEventID != "" {
			x.takeUp()
		}
		x.refuse(&Refusal{Reason: "no_config", RetryAfter: time.Second})
		return false
	}
	x.record.ConfigVersion = x.table.Version
	if limit := x.table.Limits.MaxHeaderBytes; limit > 0 && headBytes(x.r) > limit {
		// The body was not read and may follow.
		x.w.Header().Set("Connection", "close")
		x.fail(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", nil)
		return false
	}
	x.route = x.table.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		x.fail(http.StatusNotFound, "unknown_route", nil)
		return false
	}
	x.record.Route, x.record.Resumable = x.route.Name, x.route.Resumable
	x.priority = x.route.Priority(nil)
	if x.table.NeedsKey(x.route) {
		account := x.table.Account(x.fields.APIKey)
		if account == nil {
			x.fail(http.StatusUnauthorized, "unknown_key", nil)
			return false
		}
		x.account = account.Name
		x.priority = x.route.Priority(account)
	}
	x.record.Account, x.record.Priority = x.account, x.priority
	x.setDeadline()
	return true
}

func (x *exchange) setDeadline() {
	timeLeft := time.Duration(math.MaxInt64)
	if x.fields.HasDeadline {
		timeLeft = x.fields.TimeLeft
	}
	if x.route.Timeout > 0 {
		timeLeft = min(timeLeft, x.route.Timeout)
	}
	if timeLeft == math.MaxInt64 {
		timeLeft = defaultTimeout
	}
	x.record.TimeLeft = timeLeft
	x.deadline = x.arrived.Add(timeLeft)
}

// reserveBody reserves memory for the body, or refuses the request and returns
// false. A body of unknown length reserves a fraction of the largest allowed size
// until it has been read; few bodies are that large.
func (x *exchange) reserveBody() bool {
	size := x.r.ContentLength
	if size < 0 {
		size = x.bodyLimit() / unknownLengthDivisor
	}
	if !x.reserve(size) {
		x.refuseForMemory()
		return false
	}
	return true
}

// reserve reserves n further bytes for the body; false if all bodies would exceed
// MaxBodyMemory.
func (x *exchange) reserve(n int64) bool {
	if total := x.heldBodyBytes.Add(n); x.options.MaxBodyMemory > 0 && total > x.options.MaxBodyMemory {
		x.heldBodyBytes.Add(-n)
		return false
	}
	x.reservedBytes += n
	return true
}

func (x *exchange) refuseForMemory() {
	x.refuse(&Refusal{Reason: "body_memory", RetryAfter: bodyMemoryRetryAfter})
}

// errBodyMemory ends the reading of a body for which no memory can be reserved.
var errBodyMemory = errors.New("request bodies exceed their memory")

// reservingReader reads a body and reserves memory for what exceeds the reservation.
type reservingReader struct {
	io.Reader
	exchange *exchange
	read     int64
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += int64(n)
	if further := r.read - r.exchange.reservedBytes; further > 0 && !r.exchange.reserve(further) {
		return n, errBodyMemory
	}
	return n, err
}

func (x *exchange) releaseBody() { x.heldBodyBytes.Add(-x.reservedBytes) }

func (x *exchange) bodyLimit() int64 {
	if limit := x.table.Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// readBody reads the whole body, so that the request can be sent with a
// Content-Length and sent again. If it cannot, it responds with an error and
// returns false, or aborts the connection.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	limit := x.bodyLimit()
	if x.r.ContentLength > limit {
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large", nil)
		return false
	}
	until := x.arrived.Add(bodyTimeout)
	if x.deadline.Before(until) {
		until = x.deadline
	}
	control := http.NewResponseController(x.w)
	if err := control.SetReadDeadline(until); err != nil {
		x.record.Cause = err.Error()
	}
	body, err := io.ReadAll(&reservingReader{Reader: http.MaxBytesReader(x.w, x.r.Body, limit), exchange: x})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large", nil)
		return false
	case errors.Is(err, errBodyMemory):
		x.refuseForMemory()
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.fail(http.StatusRequestTimeout, "body_timeout", err)
		return false
	case err != nil:
		x.record.Result, x.record.Cause = "body_unreadable", err.Error()
		panic(http.ErrAbortHandler)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		x.record.Cause = err.Error()
	}
	x.body = body
	x.heldBodyBytes.Add(int64(len(body)) - x.reservedBytes)
	x.reservedBytes = int64(len(body))
	return true
}

// notRunRetryAfter is the Retry-After for a request that an endpoint did not run.
// It is short because other endpoints have free capacity.
func (x *exchange) notRunRetryAfter() time.Duration { return 50 * time.Millisecond }

// refuse responds that the request did not run, with a Retry-After that fits the
// caller's remaining time.
func (x *exchange) refuse(refusal *Refusal) {
	after := refusal.RetryAfter
	if x.fields.HasDeadline {
		left := x.fields.TimeLeft - time.Since(x.arrived)
		after = min(after, left/retryAfterDivisor)
	}
	after = max(after, 0)
	x.record.RetryAfter, x.record.Refusal = after, refusal
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	x.fail(refusalStatus(codeOf(refusal.Reason)), refusal.Reason, nil)
}

// fail responds with an error of the gateway's own.
func (x *exchange) fail(status int, result string, cause error) {
	x.record.Result, x.record.Status = result, status
	if cause != nil {
		x.record.Cause = cause.Error()
	}
	x.awaitKept()
	x.writeFailure(status, codeOf(result))
}

// abort closes the caller's connection, so that a response that ended early does
// not look complete. It panics with http.ErrAbortHandler.
func (x *exchange) abort(result string) {
	x.record.Result = result
	panic(http.ErrAbortHandler)
}

// deliver sends a complete response of an endpoint to the caller.
func (x *exchange) deliver(response *http.Response, body []byte) {
	x.record.Result, x.record.Status = "delivered", response.StatusCode
	x.awaitKept()
	x.copyHead(response)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(response.StatusCode)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(body); err != nil {
		x.record.Result, x.record.Cause = "caller_left", err.Error()
	}
}

func (x *exchange) copyHead(response *http.Response) {
	h := x.w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		h[name] = values
	}
}
