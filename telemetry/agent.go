package telemetry

import "errors"

// Agent holds the metric instruments of an agent. The zero value records nothing.
type Agent struct {
	Process
	Attempts           *Counter[TierCodeLabels]
	Waiting            *Gauge[TierLabels]
	Running            *Gauge[TierLabels]
	Queue              *Duration[ClassLabels]
	EndpointFirstToken *Duration[ModelLabels]
	EndpointInterToken *InterTokenDuration[ModelLabels]
	EndpointWhole      *Duration[ModelLabels]
	ConcurrencyLimit   *Gauge[NoLabels]
	Displaced          *Counter[TierLabels]
	Preempted          *Counter[TierLabels]
	Expired            *Counter[TierLabels]
	Renounced          *Counter[ResultLabels]
	LateCopies         *Counter[ReasonLabels]
	ReplayFull         *ObservedCounter[NoLabels]
	OrphanedAttempts   *Counter[ReasonLabels]
	Claims             *Counter[ResultLabels]
	UnwrittenClaims    *Gauge[NoLabels]
	Orders             *Counter[ResultLabels]
	FencingNumber      *Gauge[NoLabels]
	Quarantined        *Gauge[NoLabels]
	Suspects           *Counter[ResultLabels]
	EndpointUp         *Gauge[NoLabels]
	EndpointCrashes    *Counter[NoLabels]
}

// NewAgent registers the instruments of an agent on p. Call it once per Provider.
func NewAgent(p *Provider) (*Agent, error) {
	a := &Agent{
		Process:            newProcess(p),
		Attempts:           newCounter[TierCodeLabels](p, "agent_attempts", maxCodes, "Attempts that ended, refusals included. Code 0 is success."),
		Waiting:            newGauge[TierLabels](p, "agent_waiting", "", maxTiers, "Requests waiting now."),
		Running:            newGauge[TierLabels](p, "agent_running", "", maxTiers, "Requests at the endpoint now."),
		Queue:              newDuration[ClassLabels](p, "agent_queue", requestBounds, maxClasses, "Time from acceptance to the start at the endpoint."),
		EndpointFirstToken: newDuration[ModelLabels](p, "agent_endpoint_first_token", requestBounds, maxModels, "Time from the start at the endpoint to the first token; model is empty for services."),
		EndpointInterToken: newInterTokenDuration[ModelLabels](p, "agent_endpoint_inter_token", maxModels, "Time between two tokens of the endpoint, recorded when the run ends."),
		EndpointWhole:      newDuration[ModelLabels](p, "agent_endpoint_request", requestBounds, maxModels, "Time from the start at the endpoint to its end."),
		ConcurrencyLimit:   newGauge[NoLabels](p, "agent_concurrency_limit", "", 1, "Learned concurrency limit in requests."),
		Displaced:          newCounter[TierLabels](p, "agent_displaced", maxTiers, "Waiting requests displaced by more urgent ones."),
		Preempted:          newCounter[TierLabels](p, "agent_preempted", maxTiers, "Running requests stopped for more urgent ones."),
		Expired:            newCounter[TierLabels](p, "agent_expired", maxTiers, "Waiting requests whose wait limit passed."),
		Renounced:          newCounter[ResultLabels](p, "agent_renounced", maxOutcomes, "Renounce calls received. Outcomes: not_run, ran, unknown."),
		LateCopies:         newCounter[ReasonLabels](p, "agent_late_copies", maxOutcomes, "Late copies refused, by reason: renounced, ticket_floor, duplicate, incarnation."),
		ReplayFull:         newObservedCounter[NoLabels](p, "agent_replay_full", 1, "Times that a full replay buffer stopped reading from the endpoint."),
		OrphanedAttempts:   newCounter[ReasonLabels](p, "agent_orphaned_attempts", maxOutcomes, "Attempts without a reader for 10 s, by what was done: cancelled, finished."),
		Claims:             newCounter[ResultLabels](p, "agent_claims", maxOutcomes, "Claims of idempotency keys. Outcomes: run, replayed, in_progress, conflict, unknown, unavailable, refused."),
		UnwrittenClaims:    newGauge[NoLabels](p, "agent_unwritten_claims", "", 1, "Finished non-idempotent requests whose result is not yet in the table service."),
		Orders:             newCounter[ResultLabels](p, "agent_orders", maxOutcomes, "Orders received. Outcomes: done, old_fencing_number, not_set, not_holder, failed."),
		FencingNumber:      newGauge[NoLabels](p, "agent_fencing_number", "", 1, "Highest fencing number seen."),
		Quarantined:        newGauge[NoLabels](p, "agent_quarantined", "", 1, "Requests refused now because they crashed endpoints, by fingerprint."),
		Suspects:           newCounter[ResultLabels](p, "agent_suspects", maxOutcomes, "Suspected requests that were decided here. Outcomes: cleared, condemned."),
		EndpointUp:         newGauge[NoLabels](p, "agent_endpoint_up", "", 1, "1 while the endpoint answers its health check, otherwise 0."),
		EndpointCrashes:    newCounter[NoLabels](p, "agent_endpoint_crashes", 1, "Changes of the endpoint from serving to down."),
	}
	return a, errors.Join(p.errs...)
}
