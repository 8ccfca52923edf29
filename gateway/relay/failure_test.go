package relay

import (
	"net/http"
	"testing"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Guards against a refusal whose status does not state that the request did not
// run: a caller could not safely retry a non-idempotent request.
func TestRefusalsHaveAStatusThatSaysNotRun(t *testing.T) {
	for _, info := range resultcode.All() {
		if status := refusalStatus(info.Code); status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			t.Errorf("%s is refused with %d", info.Name, status)
		}
	}
}

// Guards against a failure of an endpoint that gets the result code of an internal
// error of the gateway.
func TestResultsHaveCodes(t *testing.T) {
	for result, want := range map[string]resultcode.Code{
		"endpoint_rejected_503": resultcode.EndpointRefused,
		"endpoint_failed_500":   resultcode.EndpointFailed,
		"more_urgent_refused":   resultcode.MoreUrgentWork,
		"something_else":        resultcode.Internal,
	} {
		if code := codeOf(result); code != want {
			t.Errorf("%s has the code %v, want %v", result, code, want)
		}
	}
}
