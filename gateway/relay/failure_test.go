package relay

import (
	"net/http"
	"testing"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Guards against a refusal with a status that promises nothing, so that the
// caller does not dare to come back.
func TestRefusalsHaveAStatusThatSaysNotRun(t *testing.T) {
	for _, info := range resultcode.All() {
		if status := refusalStatus(info.Code); status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			t.Errorf("%s is refused with %d", info.Name, status)
		}
	}
}

// Guards against a failure that is reported as a fault of the gateway itself.
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
