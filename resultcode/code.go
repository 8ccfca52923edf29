// Package resultcode defines the numbered result codes of pistachiowind and an error
// type that carries one. The numbers are part of the public API: a number is never
// reused with another meaning. docs/errors.md lists all of them.
package resultcode

import "net/http"

// Code is the number of a result. Its thousands digit gives the category, described
// at the constants.
type Code uint32

// Codes 1000 to 1999: the request is invalid or not allowed. It did not run.
const (
	MalformedBody          Code = 1001
	BodyTooLarge           Code = 1002
	BodyTimeout            Code = 1003
	UnknownModel           Code = 1004
	UnknownProfile         Code = 1005
	Unauthenticated        Code = 1006
	ProfileNotAllowed      Code = 1007
	DuplicateHeader        Code = 1008
	InvalidUTF8            Code = 1009
	IdempotencyKeyRequired Code = 1010
	IdempotencyKeyReused   Code = 1011
	UnknownService         Code = 1012
	UnsupportedParameter   Code = 1013
	UnknownRoute           Code = 1014
	HeaderTooLarge         Code = 1015
)

// Codes 2000 to 2999: lack of capacity. The request did not run; a later one may
// succeed.
const (
	QueueFull            Code = 2001
	TargetOutOfReach     Code = 2002
	Displaced            Code = 2003
	AccountLimit         Code = 2004
	NoEndpoint           Code = 2005
	RetryBudgetSpent     Code = 2006
	DeadlineInQueue      Code = 2007
	RouterSaturated      Code = 2008
	QueueDelayTooHigh    Code = 2009
	AttemptTableFull     Code = 2010
	ConcurrencyLimitHeld Code = 2011
	TimeTooShort         Code = 2012
	MoreUrgentWork       Code = 2013
	VersionUnknown       Code = 2014
)

// Codes 3000 to 3999: the endpoint or the connection to it failed.
const (
	EndpointFailed     Code = 3001
	StreamInterrupted  Code = 3002
	OutcomeUnknown     Code = 3003
	RequestCondemned   Code = 3004
	EndpointRefused    Code = 3005
	KeyInProgress      Code = 3006
	DeadlineExceeded   Code = 3007
	EndpointDown       Code = 3008
	AnswerNotRetained  Code = 3009
	CallerCancelled    Code = 3010
	ConnectionSilent   Code = 3011
	AnswerTooLarge     Code = 3012
	EndpointOverloaded Code = 3013
)

// Codes 4000 to 4999: control state, which is that of processes, attempts, the
// catalog, leases and the store.
const (
	Leaving             Code = 4001
	StaleCatalog        Code = 4002
	StoreUnavailable    Code = 4003
	VersionConflict     Code = 4004
	WrongIncarnation    Code = 4005
	AttemptRenounced    Code = 4006
	FencingNumberOld    Code = 4007
	NotReady            Code = 4008
	InvalidCatalog      Code = 4009
	LeaseNotHeld        Code = 4010
	TicketBelowFloor    Code = 4011
	DuplicateAttempt    Code = 4012
	AttemptNotFound     Code = 4013
	InvalidSettings     Code = 4014
	FencingNumberNotSet Code = 4015
	WriteOutcomeUnknown Code = 4016
)

// Internal is an internal error of the process.
const Internal Code = 9001

// Info describes a code for the documentation and for HTTP responses.
type Info struct {
	Code Code
	Name string
	// Status is the HTTP status of a response with this code.
	Status int
	// Meaning describes what happened and, if anything helps, what the caller can
	// do.
	Meaning string
}

var infos = []Info{
	{MalformedBody, "malformed_body", http.StatusBadRequest, "The body is not valid JSON or lacks a required field; correct the request."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body is larger than the limit, 4 MiB by default."},
	{BodyTimeout, "body_timeout", http.StatusRequestTimeout, "The body did not arrive within 10 s."},
	{UnknownModel, "unknown_model", http.StatusNotFound, "No endpoint serves the model."},
	{UnknownProfile, "unknown_profile", http.StatusBadRequest, "The catalog has no profile of this name."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, "The API key is missing or unknown."},
	{ProfileNotAllowed, "profile_not_allowed", http.StatusForbidden, "The client account may not use the profile."},
	{DuplicateHeader, "duplicate_header", http.StatusBadRequest, "A header that must occur once occurs more than once."},
	{InvalidUTF8, "invalid_utf8", http.StatusBadRequest, "The JSON body or a header is not valid UTF-8."},
	{IdempotencyKeyRequired, "idempotency_key_required", http.StatusBadRequest, "The profile is not idempotent; send an Idempotency-Key."},
	{IdempotencyKeyReused, "idempotency_key_reused", http.StatusUnprocessableEntity, "The Idempotency-Key was used before with another request."},
	{UnknownService, "unknown_service", http.StatusNotFound, "The catalog has no service of this name."},
	{UnsupportedParameter, "unsupported_parameter", http.StatusBadRequest, "The request uses a parameter that the router does not support."},
	{UnknownRoute, "unknown_route", http.StatusNotFound, "The path or method does not exist."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, "The head of the request is larger than the operators allow."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, "Every queue that could take the request is full."},
	{TargetOutOfReach, "target_out_of_reach", http.StatusTooManyRequests, "The expected wait exceeds what the profile's target allows."},
	{Displaced, "displaced", http.StatusTooManyRequests, "A more urgent request took the place of the waiting request."},
	{AccountLimit, "account_limit", http.StatusTooManyRequests, "The client account has reached its own limit."},
	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, "No endpoint currently accepts the request."},
	{RetryBudgetSpent, "retry_budget_spent", http.StatusServiceUnavailable, "Attempts failed and the retry budget is used up."},
	{DeadlineInQueue, "deadline_in_queue", http.StatusTooManyRequests, "The request waited as long as its profile allows and did not start."},
	{RouterSaturated, "router_saturated", http.StatusTooManyRequests, "The router has reached its bound on open requests."},
	{QueueDelayTooHigh, "queue_delay_too_high", http.StatusTooManyRequests, "The queue delay is above its target and the request's tier is refused."},
	{AttemptTableFull, "attempt_table_full", http.StatusTooManyRequests, "The agent has reached its bound on attempts."},
	{ConcurrencyLimitHeld, "concurrency_limit_held", http.StatusTooManyRequests, "The endpoint's concurrency limit is reached for this class."},
	{TimeTooShort, "time_too_short", http.StatusTooManyRequests, "The expected wait exceeds the time that the request has left."},
	{MoreUrgentWork, "more_urgent_work", http.StatusTooManyRequests, "More urgent work of the service would be late; the room goes to it first."},
	{VersionUnknown, "version_unknown", http.StatusServiceUnavailable, "It is not known at which version of the endpoints' software the stream may go on; send the request anew, without the events that came."},
	{EndpointFailed, "endpoint_failed", http.StatusBadGateway, "The endpoint failed before a whole answer existed."},
	{StreamInterrupted, "stream_interrupted", http.StatusBadGateway, "The stream broke and could not be continued; the answer is incomplete."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, "The request may have run. Where Idempotency-Key is supported, send it again with the same key to learn the outcome."},
	{RequestCondemned, "request_condemned", http.StatusUnprocessableEntity, "The request crashed endpoints and is refused for a while."},
	{EndpointRefused, "endpoint_refused", http.StatusBadGateway, "The endpoint refused the request before running it."},
	{KeyInProgress, "key_in_progress", http.StatusConflict, "An earlier request with the same Idempotency-Key is still running."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, "The answer was not complete within the profile's limit."},
	{EndpointDown, "endpoint_down", http.StatusServiceUnavailable, "The endpoint does not answer; the request was not passed on."},
	{AnswerNotRetained, "answer_not_retained", http.StatusConflict, "The key ran before, but its answer was too large to keep."},
	{CallerCancelled, "caller_cancelled", 499, "The caller closed the connection."},
	{ConnectionSilent, "connection_silent", http.StatusBadGateway, "The connection to the agent went silent."},
	{AnswerTooLarge, "answer_too_large", http.StatusBadGateway, "The answer exceeds the bound of a buffered answer."},
	{EndpointOverloaded, "endpoint_overloaded", http.StatusTooManyRequests, "The endpoint refused the request because of its own load."},
	{Leaving, "leaving", http.StatusServiceUnavailable, "The process is leaving and takes no new work."},
	{StaleCatalog, "stale_catalog", http.StatusServiceUnavailable, "The sender's catalog version is older than the receiver's."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, "The table service cannot be reached, and the request needs a record in it."},
	{VersionConflict, "version_conflict", http.StatusConflict, "The catalog changed since the version that the change is based on."},
	{WrongIncarnation, "wrong_incarnation", http.StatusServiceUnavailable, "The agent has restarted since the router chose it."},
	{AttemptRenounced, "attempt_renounced", http.StatusConflict, "The attempt was given up before; a late copy is refused."},
	{FencingNumberOld, "fencing_number_old", http.StatusConflict, "The order carries an older fencing number than one already seen."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, "The process has no confirmed catalog yet."},
	{InvalidCatalog, "invalid_catalog", http.StatusUnprocessableEntity, "The catalog change does not pass validation."},
	{LeaseNotHeld, "lease_not_held", http.StatusConflict, "The process does not hold the lease."},
	{TicketBelowFloor, "ticket_below_floor", http.StatusConflict, "The attempt is older than the agent's record of renounced attempts."},
	{DuplicateAttempt, "duplicate_attempt", http.StatusConflict, "The attempt was received before."},
	{AttemptNotFound, "attempt_not_found", http.StatusNotFound, "The agent does not know the attempt."},
	{InvalidSettings, "invalid_settings", http.StatusUnprocessableEntity, "The settings file does not pass its checks."},
	{FencingNumberNotSet, "fencing_number_not_set", http.StatusServiceUnavailable, "The agent has not learned the lease's fencing number yet."},
	{WriteOutcomeUnknown, "write_outcome_unknown", http.StatusServiceUnavailable, "The answer to a write was lost; read the state to learn whether it took effect."},
	{Internal, "internal", http.StatusInternalServerError, "A fault of the process itself; see its log."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, info := range infos {
		m[info.Code] = info
	}
	return m
}()

// All returns the descriptions of all codes in ascending order of their numbers.
func All() []Info {
	return append([]Info(nil), infos...)
}

// Lookup returns the description of c. An unlisted code gets the description of
// Internal with its own number.
func Lookup(c Code) Info {
	info, ok := byCode[c]
	if !ok {
		info = byCode[Internal]
		info.Code = c
	}
	return info
}

// String returns the code's name.
func (c Code) String() string {
	return Lookup(c).Name
}
