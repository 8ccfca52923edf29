package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// codes are the numbered codes of the results that end a request without an
// endpoint's answer.
var codes = map[string]resultcode.Code{
	"no_config":                 resultcode.NotReady,
	"unknown_route":             resultcode.UnknownRoute,
	"unknown_key":               resultcode.Unauthenticated,
	"header_too_large":          resultcode.HeaderTooLarge,
	"body_too_large":            resultcode.BodyTooLarge,
	"body_timeout":              resultcode.BodyTimeout,
	"body_memory":               resultcode.RouterSaturated,
	"condemned":                 resultcode.RequestCondemned,
	"no_endpoint":               resultcode.NoEndpoint,
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
	rejectedPrefix = "endpoint_rejected_"
	failedPrefix   = "endpoint_failed_"
)

func codeOf(result string) resultcode.Code {
	if code, ok := codes[result]; ok {
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

// refusalStatus is the status of a request that did not run. Only 429 and 503 say
// so to callers.
func refusalStatus(code resultcode.Code) int {
	if status := resultcode.Lookup(code).Status; status == http.StatusTooManyRequests {
		return status
	}
	return http.StatusServiceUnavailable
}

// answerFailure answers with a status and the description of a code.
func (x *exchange) answerFailure(status int, code resultcode.Code) {
	x.record.Code = code
	failure := resultcode.New(code, "%s", resultcode.Lookup(code).Meaning).WithRetryAfter(x.record.RetryAfter)
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		failure = failure.WithExecution(resultcode.Unknown)
	}
	body, err := json.Marshal(failure.Body(x.fields.ID))
	if err != nil {
		// The status says the essential part.
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
