package agent

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/claim"
	"github.com/pistachiowind/pistachiowind/agent/intake"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// registerMetricCallbacks registers the callbacks of the metrics whose values are
// read at each scrape.
func (a *Agent) registerMetricCallbacks(m *telemetry.Agent) {
	none := telemetry.NoLabels{}
	m.ObserveCatalog(a.catalog.Version, a.catalog.holder.ConfirmedAt)
	m.Waiting.Observe(func(set func(float64, telemetry.TierLabels)) {
		setTiers(set, a.worker.Occupancy().Waiting)
	})
	m.Running.Observe(func(set func(float64, telemetry.TierLabels)) {
		setTiers(set, a.worker.Occupancy().Running)
	})
	m.ConcurrencyLimit.Observe(func(set func(float64, telemetry.NoLabels)) { set(float64(a.Load().GetLimit()), none) })
	m.ReplayFull.Observe(func(set func(int64, telemetry.NoLabels)) { set(int64(a.worker.BufferStalls()), none) })
	m.UnwrittenClaims.Observe(func(set func(float64, telemetry.NoLabels)) { set(float64(a.ledger.Unsaved()), none) })
	m.FencingNumber.Observe(func(set func(float64, telemetry.NoLabels)) { set(float64(a.orders.HighestFencingNumber()), none) })
	m.Quarantined.Observe(func(set func(float64, telemetry.NoLabels)) {
		set(float64(a.worker.Condemned(time.Now())), none)
	})
	m.EndpointUp.Observe(func(set func(float64, telemetry.NoLabels)) {
		if a.monitor.up.Load() {
			set(1, none)
			return
		}
		set(0, none)
	})
}

func setTiers(set func(float64, telemetry.TierLabels), counts [catalog.TierCount]int) {
	for tier, n := range counts {
		set(float64(n), telemetry.TierLabels{Tier: tier})
	}
}

// CertificateReloaded counts a reload of the TLS files; err is nil for a
// successful one.
func (a *Agent) CertificateReloaded(err error) { a.metrics.CertificateReloaded(err) }

// attemptMetrics records events of attempts. It implements worker.Observer.
type attemptMetrics struct {
	metrics *telemetry.Agent
}

// Ended counts an attempt by its result code.
func (m *attemptMetrics) Ended(req *rpc.RunRequest, result *resultcode.Error) {
	labels := telemetry.TierCodeLabels{Tier: int(req.GetTier())}
	if result != nil {
		labels.Code = result.Code
	}
	m.metrics.Attempts.Add(1, labels)
}

// Refused counts a refused attempt, and also as a late copy if it is one.
func (m *attemptMetrics) Refused(req *rpc.RunRequest, err *resultcode.Error) {
	m.Ended(req, err)
	if reason := lateCopyReason(err.Code); reason != "" {
		m.metrics.LateCopies.Add(1, telemetry.ReasonLabels{Reason: reason})
	}
}

// lateCopyReason returns why an attempt refused with this code is a late copy: it
// was renounced before, is older than the record of renounced attempts, is a
// duplicate, or was sent to an earlier incarnation of the agent. The reason is empty
// for other codes.
func lateCopyReason(c resultcode.Code) string {
	switch c {
	case resultcode.AttemptRenounced:
		return "renounced"
	case resultcode.TicketBelowFloor:
		return "ticket_floor"
	case resultcode.DuplicateAttempt:
		return "duplicate"
	case resultcode.WrongIncarnation:
		return "incarnation"
	}
	return ""
}

// Waited records the time in the queue.
func (m *attemptMetrics) Waited(req *rpc.RunRequest, wait time.Duration) {
	m.metrics.Queue.Record(wait, telemetry.ClassLabels{Class: req.GetClass()})
}

func modelOf(req *rpc.RunRequest) telemetry.ModelLabels {
	return telemetry.ModelLabels{Model: req.GetChat().GetModel()}
}

// FirstToken records the time to the first token at the endpoint.
func (m *attemptMetrics) FirstToken(req *rpc.RunRequest, d time.Duration) {
	m.metrics.EndpointFirstToken.Record(d, modelOf(req))
}

// NewInterTokenRecorder returns a recorder for the times between the tokens of one run.
func (m *attemptMetrics) NewInterTokenRecorder() worker.InterTokenRecorder {
	return &telemetry.InterTokenCounts{}
}

// Ran records the duration of a run at the endpoint, whatever its result, and the
// times between its tokens.
func (m *attemptMetrics) Ran(req *rpc.RunRequest, took time.Duration, interToken worker.InterTokenRecorder) {
	m.metrics.EndpointWhole.Record(took, modelOf(req))
	if g, ok := interToken.(*telemetry.InterTokenCounts); ok && req.GetChat() != nil {
		m.metrics.EndpointInterToken.Merge(g, modelOf(req))
	}
}

// Displaced counts a displaced attempt.
func (m *attemptMetrics) Displaced(tier int) {
	m.metrics.Displaced.Add(1, telemetry.TierLabels{Tier: tier})
}

// Preempted counts a preempted attempt.
func (m *attemptMetrics) Preempted(tier int) {
	m.metrics.Preempted.Add(1, telemetry.TierLabels{Tier: tier})
}

// Expired counts an attempt whose wait limit passed in the queue.
func (m *attemptMetrics) Expired(tier int) {
	m.metrics.Expired.Add(1, telemetry.TierLabels{Tier: tier})
}

// Renounced counts a renounce call by its answer.
func (m *attemptMetrics) Renounced(execution resultcode.Execution) {
	m.metrics.Renounced.Add(1, telemetry.ResultLabels{Outcome: string(execution)})
}

// Orphaned counts an attempt whose stream no router reads.
func (m *attemptMetrics) Orphaned(cancelled bool) {
	reason := "finished"
	if cancelled {
		reason = "cancelled"
	}
	m.metrics.OrphanedAttempts.Add(1, telemetry.ReasonLabels{Reason: reason})
}

// Crashed counts a crash of the endpoint.
func (m *attemptMetrics) Crashed() { m.metrics.EndpointCrashes.Add(1, telemetry.NoLabels{}) }

// SuspectDecided counts a suspected request that was cleared or condemned.
func (m *attemptMetrics) SuspectDecided(condemned bool) {
	outcome := "cleared"
	if condemned {
		outcome = "condemned"
	}
	m.metrics.Suspects.Add(1, telemetry.ResultLabels{Outcome: outcome})
}

// countedLedger is a ledger that counts its decisions by outcome.
type countedLedger struct {
	worker.Ledger
	outcomes *telemetry.Counter[telemetry.ResultLabels]
}

// Claim implements worker.Ledger.
func (l *countedLedger) Claim(ctx context.Context, key claim.Key, digest []byte, nonce string) claim.Decision {
	d := l.Ledger.Claim(ctx, key, digest, nonce)
	l.outcomes.Add(1, telemetry.ResultLabels{Outcome: claimOutcome(d)})
	return d
}

func claimOutcome(d claim.Decision) string {
	switch d.Kind {
	case claim.Run:
		return "run"
	case claim.Replay:
		return "replayed"
	}
	switch d.Refusal.Code {
	case resultcode.KeyInProgress:
		return "in_progress"
	case resultcode.IdempotencyKeyReused:
		return "conflict"
	case resultcode.OutcomeUnknown:
		return "unknown"
	case resultcode.StoreUnavailable:
		return "unavailable"
	}
	return "refused"
}

// countedOrders counts orders by outcome.
type countedOrders struct {
	orders   intake.Orders
	outcomes *telemetry.Counter[telemetry.ResultLabels]
}

// Order implements intake.Orders.
func (o *countedOrders) Order(ctx context.Context, req *rpc.OrderRequest) (*rpc.OrderResponse, error) {
	resp, err := o.orders.Order(ctx, req)
	o.outcomes.Add(1, telemetry.ResultLabels{Outcome: orderOutcome(resp)})
	return resp, err
}

func orderOutcome(resp *rpc.OrderResponse) string {
	if resp.GetDone() {
		return "done"
	}
	switch resultcode.Code(resp.GetCode()) {
	case resultcode.FencingNumberOld:
		return "old_fencing_number"
	case resultcode.FencingNumberNotSet:
		return "not_set"
	case resultcode.LeaseNotHeld:
		return "not_holder"
	}
	return "failed"
}
