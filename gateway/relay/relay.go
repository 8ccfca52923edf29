// Package relay serves callers: it matches a request to its route, asks where it
// should go, forwards it, and passes the answer back byte by byte or gives a
// failure of its own that is true. Decisions are made by the packages routing,
// placement and outcome.
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

	"github.com/pistachiowind/pistachiowind/gateway/crashes"
	"github.com/pistachiowind/pistachiowind/gateway/outcome"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

const (
	// defaultTimeLeft applies to callers that state no deadline on routes
	// without a timeout.
	defaultTimeLeft = 60 * time.Second
	// maxUnsent bounds the endpoints that could not be reached for one request.
	maxUnsent = 3
	// minTimeForAttempt is the time below which a further attempt cannot
	// succeed.
	minTimeForAttempt = 20 * time.Millisecond
	// maxPlainBytes is the size up to which a plain answer is read whole before
	// it is passed on, so that a truncated one can be repeated or reported.
	maxPlainBytes = 512 << 10
	// bodyTimeout bounds the time for reading a request body.
	bodyTimeout = 10 * time.Second
	// defaultMaxBody applies while the configuration states no bound.
	defaultMaxBody = 4 << 20
	// bodyMemoryRetryAfter is the advice when too many bodies are held; most are
	// passed on within a second.
	bodyMemoryRetryAfter = time.Second
	// unknownBodyPart divides the largest size for bodies without a length.
	unknownBodyPart = 8
	// freshForUnsafe is the age up to which an idle connection is used for a
	// request that must not be repeated: an endpoint may drop it without notice.
	freshForUnsafe = 1500 * time.Millisecond
	// retryAfterSplit: callers honour a Retry-After of up to a third of the time
	// they have left.
	retryAfterSplit = 3
	copyBufferBytes = 4 << 10
)

// Placer decides where requests go. Its implementation serialises the calls.
type Placer interface {
	// Admit returns the endpoint of an attempt, or a refusal.
	Admit(w *placement.Work, q Quest) (Ticket, *Refusal)
	// AllowRetry takes a token of the retry budget of a service.
	AllowRetry(service, account string) bool
	// FirstAttempt earns a fraction of a token.
	FirstAttempt(service, account string)
}

// Quest is what the placement needs to know beyond the work.
type Quest struct {
	Route string
	// Request identifies what the request runs, for the search of requests that
	// crash endpoints.
	Request  crashes.Fingerprint
	Priority routing.Priority
	Account  string
	TimeLeft time.Duration
	// Further is true for attempts after the first.
	Further bool
}

// Ticket is a placed attempt.
type Ticket interface {
	Choice() placement.Choice
	// Patience is the time after which a repeatable plain request is tried
	// elsewhere.
	Patience() time.Duration
	// Noticed takes what the endpoint says of itself; it is called for each answer,
	// also for a late one to another request.
	Noticed(Notice)
	// Started notes the first event or the head of a plain answer.
	Started()
	// Ended notes the result of the attempt.
	Ended(Result)
}

// Result is the outcome of an attempt for the judgement of the endpoint.
type Result int

// Results of an attempt.
const (
	// Whole answers were read to their end.
	Whole Result = iota
	// Neutral ends say nothing about the endpoint: the caller left, or time ran out.
	Neutral
	// Broken answers did not come, were spoiled or ended early.
	Broken
	// Erring endpoints answered with a failure of their own.
	Erring
	// Rejected requests were not run.
	Rejected
	// Unreachable endpoints did not accept a connection.
	Unreachable
	// Replaced endpoints are gone: another one answers at their address.
	Replaced
)

// Refusal is a decision not to forward a request.
type Refusal struct {
	// Reason is a short name for the log.
	Reason string
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
	// Choice is the endpoint that was considered; nil for none.
	Choice *placement.Choice
	// Share is the part of such requests that made room for more urgent ones.
	Share float64
}

// Options configure a Relay. Fields are required unless they say otherwise.
type Options struct {
	Protocol Protocol
	// Table returns the configuration in force, nil while none is known.
	Table    func() *routing.Table
	Placer   Placer
	Pool     *upstream.Pool
	Observer Observer
	// PickService draws a service of a split route.
	PickService func(*routing.Route) string
	// ConnClosed reports whether the connection of a request was closed before its
	// handler began; nil means never.
	ConnClosed func(context.Context) bool
	// BodyMemory bounds the request bodies held at a time, in bytes; a request
	// beyond it is refused before its body is read. Zero means no bound.
	BodyMemory int64
}

// Relay is an http.Handler.
type Relay struct {
	o Options
	// held is the number of bytes reserved for request bodies.
	held atomic.Int64
}

// New returns a Relay.
func New(o Options) *Relay { return &Relay{o: o} }

// exchange is one request of a caller.
type exchange struct {
	*Relay
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	table    *routing.Table
	route    *routing.Route
	account  string
	priority routing.Priority
	fields   Fields
	body     []byte
	// reserved is what the body takes of the relay's memory for bodies.
	reserved    int64
	work        placement.Work
	record      Record
	fingerprint crashes.Fingerprint
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	state    outcome.State
	// headSent states that the head of an answer has gone to the caller.
	headSent bool
	// lastEvent is when the last events went to the caller.
	lastEvent time.Time
	events    eventSplitter
}

// ServeHTTP implements http.Handler.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Relay: rl, w: w, r: r, arrived: time.Now(), table: rl.o.Table()}
	// net/http would add both; an answer has only the endpoint's own headers.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	if len(r.TransferEncoding) > 0 {
		// net/http ignores a Content-Length beside chunks without telling. What
		// follows such a request may be meant as part of it, so nothing more is
		// read from the connection (RFC 9112, section 6.1).
		w.Header().Set("Connection", "close")
	}
	defer x.finish()
	if rl.o.ConnClosed != nil && rl.o.ConnClosed(r.Context()) {
		x.abort("connection_closed")
	}
	if !x.resolve() || !x.reserveBody() {
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

// finish writes the record also when the connection is being aborted.
func (x *exchange) finish() {
	x.record.Total = time.Since(x.arrived)
	x.o.Observer.Finished(x.record)
}

// resolve finds the route and the client account, or answers the request.
func (x *exchange) resolve() bool {
	x.fields = x.o.Protocol.Request(x.r.Header)
	x.record.ID = x.fields.ID
	if x.table == nil {
		x.refuse(&Refusal{Reason: "no_config", RetryAfter: time.Second})
		return false
	}
	x.record.ConfigVersion = x.table.Version
	if limit := x.table.Limits.MaxHeaderBytes; limit > 0 && headBytes(x.r) > limit {
		// The body was not looked at and may follow.
		x.w.Header().Set("Connection", "close")
		x.fail(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", nil)
		return false
	}
	x.route = x.table.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		x.fail(http.StatusNotFound, "unknown_route", nil)
		return false
	}
	x.record.Route = x.route.Name
	x.priority = x.route.Priority(nil)
	if x.table.NeedsKey(x.route) {
		account := x.table.Account(x.fields.Key)
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
	left := time.Duration(math.MaxInt64)
	if x.fields.HasDeadline {
		left = x.fields.TimeLeft
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	if left == math.MaxInt64 {
		left = defaultTimeLeft
	}
	x.record.TimeLeft = left
	x.deadline = x.arrived.Add(left)
}

// reserveBody takes room for the body, or refuses the request. A body of unknown
// length takes a part of the largest size until it was read; few are that large.
func (x *exchange) reserveBody() bool {
	size := x.r.ContentLength
	if size < 0 {
		size = x.bodyLimit() / unknownBodyPart
	}
	if total := x.held.Add(size); x.o.BodyMemory > 0 && total > x.o.BodyMemory {
		x.held.Add(-size)
		x.refuse(&Refusal{Reason: "body_memory", RetryAfter: bodyMemoryRetryAfter})
		return false
	}
	x.reserved = size
	return true
}

func (x *exchange) releaseBody() { x.held.Add(-x.reserved) }

func (x *exchange) bodyLimit() int64 {
	if limit := x.table.Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBody
}

// readBody reads the whole body, so that the request can be framed anew and sent
// again.
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
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large", nil)
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
	x.held.Add(int64(len(body)) - x.reserved)
	x.reserved = int64(len(body))
	return true
}

// retrySoon is the advice after an endpoint did not run a request: others have
// room, so the caller may come back at once.
func (x *exchange) retrySoon() time.Duration { return 50 * time.Millisecond }

func (x *exchange) refuse(refusal *Refusal) {
	after := refusal.RetryAfter
	if x.fields.HasDeadline {
		left := x.fields.TimeLeft - time.Since(x.arrived)
		after = min(after, left/retryAfterSplit)
	}
	after = max(after, 0)
	x.record.RetryAfter, x.record.Refusal = after, refusal
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	x.fail(refusalStatus(codeOf(refusal.Reason)), refusal.Reason, nil)
}

// fail answers with a failure of the gateway's own.
func (x *exchange) fail(status int, result string, cause error) {
	x.record.Result, x.record.Status = result, status
	if cause != nil {
		x.record.Cause = cause.Error()
	}
	x.answerFailure(status, codeOf(result))
}

// abort cuts the caller's connection, so that an answer that ended early does
// not look complete.
func (x *exchange) abort(result string) {
	x.record.Result = result
	panic(http.ErrAbortHandler)
}

// deliver passes a whole answer of an endpoint on.
func (x *exchange) deliver(answer *http.Response, body []byte) {
	x.record.Result, x.record.Status = "delivered", answer.StatusCode
	x.copyHead(answer)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.StatusCode)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(body); err != nil {
		x.record.Result, x.record.Cause = "caller_left", err.Error()
	}
}

func (x *exchange) copyHead(answer *http.Response) {
	h := x.w.Header()
	for name, values := range endToEnd(answer.Header) {
		h[name] = values
	}
}
