package telemetry

import (
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

// Values of the outcome label for operations that only succeed or fail.
const (
	OutcomeOK     = "ok"
	OutcomeFailed = "failed"
)

func outcomeOf(ok bool) string {
	if ok {
		return OutcomeOK
	}
	return OutcomeFailed
}

// OKLabels returns the outcome labels of an operation that succeeded or failed.
func OKLabels(ok bool) ResultLabels { return ResultLabels{Outcome: outcomeOf(ok)} }

// Called implements platform.Observer: it counts and times one call of a platform
// service.
func (p *Process) Called(operation, outcome string, took time.Duration) {
	labels := OperationLabels{Operation: operation, Outcome: outcome}
	p.PlatformCalls.Add(1, labels)
	p.PlatformLatency.Record(took, labels)
}

// ObserveCatalog exports the catalog version and the time of its last confirmation,
// which are read at each scrape. confirmed returns the zero time before the first
// confirmation.
func (p *Process) ObserveCatalog(version func() uint64, confirmed func() time.Time) {
	p.CatalogVersion.Observe(func(set func(float64, NoLabels)) { set(float64(version()), NoLabels{}) })
	p.CatalogConfirmed.Observe(func(set func(float64, NoLabels)) {
		if at := confirmed(); !at.IsZero() {
			set(float64(at.UnixMilli())/1000, NoLabels{})
		}
	})
}

// CertificateReloaded counts a reload of the TLS files; err is nil if it succeeded.
func (p *Process) CertificateReloaded(err error) {
	p.CertificateReloads.Add(1, OKLabels(err == nil))
}

// StateChanged counts a state change that a StateLog has logged.
func (p *Process) StateChanged(c StateChange) {
	p.StateChanges.Add(1, StateLabels{State: c.State})
}

// SupervisorHook returns a hook that logs each event of a supervisor and counts the
// restarts of its services.
func (p *Process) SupervisorHook(log zerolog.Logger) suture.EventHook {
	return func(e suture.Event) {
		log.Warn().Str("event", e.String()).Msg("supervised service ended")
		switch e := e.(type) {
		case suture.EventServicePanic:
			if e.Restarting {
				p.ServiceRestarts.Add(1, ReasonLabels{Reason: e.ServiceName})
			}
		case suture.EventServiceTerminate:
			if e.Restarting {
				p.ServiceRestarts.Add(1, ReasonLabels{Reason: e.ServiceName})
			}
		}
	}
}

// unaryPrefix is the path prefix of Twirp calls.
const unaryPrefix = "/twirp/"

// CountPeerCalls returns a transport that counts unary calls to other processes by
// method and outcome. Attempt streams are not counted.
func (p *Process) CountPeerCalls(base http.RoundTripper) http.RoundTripper {
	return peerTransport{base: base, calls: p.PeerCalls}
}

type peerTransport struct {
	base  http.RoundTripper
	calls *Counter[OperationLabels]
}

// RoundTrip implements http.RoundTripper.
func (t peerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if strings.HasPrefix(req.URL.Path, unaryPrefix) {
		ok := err == nil && resp.StatusCode == http.StatusOK
		t.calls.Add(1, OperationLabels{Operation: path.Base(req.URL.Path), Outcome: outcomeOf(ok)})
	}
	return resp, err
}
