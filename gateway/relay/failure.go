package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// resultCodes maps the results of requests that end without an endpoint's response
// to their result codes.
var resultCodes = map[string]resultcode.Code{
	"no_config":                 resultcode.NotReady,
	"unknown_route":             resultcode.UnknownRoute,
	"unknown_key":               resultcode.Unauthenticated,
	"header_too_large":          resultcode.HeaderTooLarge,
	"body_too_large":            resultcode.BodyTooLarge,
	"body_timeout":              resultcode.BodyTimeout,
	"body_memory":               resultcode.RouterSaturated,
	Condemned:                   resultcode.RequestCondemned,
	CrashSuspect:                resultcode.TimeTooShort,
	Leaving:                     resultcode.Leaving,
	VersionUnknown:              resultcode.VersionUnknown,
	unproven:                    resultcode.VersionUnknown,
	"no_endpoint":               resultcode.NoEndpoint,
	"endpoint_limit":            resultcode.NoEndpoint,
	admission.OutOfTime:         resultcode.TimeTooShort,
	admission.OutOfReach:        resultcode.TargetOutOfReach,
	admission.MoreUrgentRefused: resultcode.MoreUrgentWork,
	"unreachable":               resultcode.EndpointDown,
	"unanswered":                resultcode.OutcomeUnknown,
	"outcome_unknown":           resultcode.OutcomeUnknown,
	"answer_spoiled":            resultcode.EndpointFailed,
	"answer_endless":            resultcode.EndpointFailed,
	"answer_truncated":          resultcode.EndpointFailed,
	"stream_broken":             resultcode.StreamInterrupted,
	"timeout":                   resultcode.DeadlineExceeded,
}

const (
	// unproven is the result of an attempt at an endpoint whose process is not proven.
	unproven       = "unproven"
	rejectedPrefix = "endpoint_rejected_"
	failedPrefix   = "endpoint_failed_"
)

// codeOf returns the result code of a result; Internal if it has none.
func codeOf(result string) resultcode.Code {
	if code, ok := resultCodes[result]; ok {
		return code
	}
	switch {
	case strings.HasPrefix(result, rejectedPrefix):
		return resultcode.EndpointRefused
	case strings.HasPrefix(result, failedPrefix):
		return resultcode.EndpointFailed
	}
	return resultcode.Internal
}

// refusalStatus returns the status of a response to a request that did not run: 429
// if that is the status of the result code, 503 otherwise. Both state to callers that
// the request did not run; a code's own status may not, such as 502.
func refusalStatus(code resultcode.Code) int {
	if status := resultcode.Lookup(code).Status; status == http.StatusTooManyRequests {
		return status
	}
	return http.StatusServiceUnavailable
}

// writeFailure sends an error response with the status and the description of the
// result code.
func (x *exchange) writeFailure(status int, code resultcode.Code) {
	x.record.Code = code
	failure := resultcode.New(code, "%s", resultcode.Lookup(code).Meaning).WithRetryAfter(x.record.RetryAfter)
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		failure = failure.WithExecution(resultcode.Unknown)
	}
	body, err := json.Marshal(failure.Body(x.fields.ID))
	if err != nil {
		// The status alone still tells the caller whether the request may have run.
		x.record.Cause = err.Error()
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if x.r.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(body); err != nil {
		x.record.Cause = err.Error()
	}
}
