package telemetry

import "errors"

// Limits on the number of series of one instrument.
const (
	maxClasses  = 64
	maxModels   = 64
	maxAccounts = 1024
	maxOutcomes = 64
	maxTiers    = 3
	maxZones    = 16
	maxCodes    = 256
	maxRequests = 1024
)

// Process holds the metric instruments shared by routers and agents. The zero value
// records nothing.
type Process struct {
	CatalogVersion     *Gauge[NoLabels]
	CatalogConfirmed   *Gauge[NoLabels]
	CatalogAdoptions   *Counter[ReasonLabels]
	PlatformCalls      *Counter[OperationLabels]
	PlatformLatency    *Duration[OperationLabels]
	PeerCalls          *Counter[OperationLabels]
	ServiceRestarts    *Counter[ReasonLabels]
	CertificateReloads *Counter[ResultLabels]
	StateChanges       *Counter[StateLabels]
}

func newProcess(p *Provider) Process {
	return Process{
		CatalogVersion:     newGauge[NoLabels](p, "catalog_version", "", 1, "Catalog version in effect; 0 before the first."),
		CatalogConfirmed:   newGauge[NoLabels](p, "catalog_confirmed_timestamp", "s", 1, "Unix time of the last confirmation of the version in effect."),
		CatalogAdoptions:   newCounter[ReasonLabels](p, "catalog_adoptions", maxOutcomes, "Catalog versions adopted, by source: store or peer."),
		PlatformCalls:      newCounter[OperationLabels](p, "platform_calls", maxOutcomes, "Calls of platform services. Outcomes: ok, conflict, not_found, unavailable, unknown, rejected."),
		PlatformLatency:    newDuration[OperationLabels](p, "platform_call", requestBounds, maxOutcomes, "Time of a call of a platform service."),
		PeerCalls:          newCounter[OperationLabels](p, "peer_calls", maxOutcomes, "Unary calls of other processes by method. Outcomes: ok, failed."),
		ServiceRestarts:    newCounter[ReasonLabels](p, "service_restarts", maxOutcomes, "Restarts by the supervisor, by service."),
		CertificateReloads: newCounter[ResultLabels](p, "certificate_reloads", maxOutcomes, "Reloads of the TLS files. Outcomes: ok, failed."),
		StateChanges:       newCounter[StateLabels](p, "state_changes", maxOutcomes, "Changes of state that the log shows (process, drain, endpoint, claims), by new state."),
	}
}

// Router holds the metric instruments of a router. The zero value records nothing.
type Router struct {
	Process
	Requests        *Counter[RequestLabels]
	OpenRequests    *Gauge[TierLabels]
	TargetMet       *Counter[ClassLabels]
	TargetMissed    *Counter[ClassLabels]
	Queue           *Duration[ClassLabels]
	FirstToken      *Duration[ClassLabels]
	InterToken      *InterTokenDuration[ClassLabels]
	Whole           *Duration[ClassLabels]
	Tokens          *Counter[ClassLabels]
	WastedTokens    *Counter[ClassLabels]
	AccountRequests *Counter[AccountLabels]
	AccountRefused  *Counter[AccountLabels]
	Attempts        *Counter[AttemptLabels]
	SilentStreams   *Counter[NoLabels]
	Attaches        *Counter[ResultLabels]
	Renounces       *Counter[ResultLabels]
	Probes          *Counter[ResultLabels]
	Endpoints       *Gauge[StateLabels]
	Ejections       *ObservedCounter[ReasonLabels]
	RetryBudget     *Gauge[NoLabels]
	LeaseHeld       *Gauge[NoLabels]
	PlacementOrders *Counter[ResultLabels]
}

// NewRouter registers the instruments of a router on p. Call it once per Provider.
func NewRouter(p *Provider) (*Router, error) {
	r := &Router{
		Process:         newProcess(p),
		Requests:        newCounter[RequestLabels](p, "router_requests", maxRequests, "Requests answered. Code 0 is success."),
		OpenRequests:    newGauge[TierLabels](p, "router_open_requests", "", maxTiers, "Requests open now."),
		TargetMet:       newCounter[ClassLabels](p, "router_target_met", maxClasses, "Requests that met the latency target of their profile."),
		TargetMissed:    newCounter[ClassLabels](p, "router_target_missed", maxClasses, "Requests with a target that did not meet it, refusals included."),
		Queue:           newDuration[ClassLabels](p, "router_queue", requestBounds, maxClasses, "Time in the queues of agents before the start at an endpoint."),
		FirstToken:      newDuration[ClassLabels](p, "router_first_token", requestBounds, maxClasses, "Time from receipt to the first token or the head of a service's response."),
		InterToken:      newInterTokenDuration[ClassLabels](p, "router_inter_token", maxClasses, "Time between two tokens, recorded when the request ends."),
		Whole:           newDuration[ClassLabels](p, "router_request", requestBounds, maxClasses, "Time from receipt to the end of the response."),
		Tokens:          newCounter[ClassLabels](p, "router_tokens", maxClasses, "Chunks forwarded to callers."),
		WastedTokens:    newCounter[ClassLabels](p, "router_wasted_tokens", maxClasses, "Chunks received whose text the caller did not get: of late or duplicate attempts, and of a buffered answer that was produced again."),
		AccountRequests: newCounter[AccountLabels](p, "router_account_requests", maxAccounts, "Requests by client account."),
		AccountRefused:  newCounter[AccountLabels](p, "router_account_refused", maxAccounts, "Requests refused with a capacity code (2000 to 2999), by client account."),
		Attempts:        newCounter[AttemptLabels](p, "router_attempts", maxCodes, "Attempts that ended, by kind: first, retry, redirect, hedge, resume. Code 0 is success; 4006 is an attempt that the router gave up."),
		SilentStreams:   newCounter[NoLabels](p, "router_silent_streams", 1, "Streams without a frame for the silence limit."),
		Attaches:        newCounter[ResultLabels](p, "router_attaches", maxOutcomes, "Attempts read again on a new connection. Outcomes: ok, failed."),
		Renounces:       newCounter[ResultLabels](p, "router_renounces", maxOutcomes, "Renounce calls. Outcomes: not_run, ran, unknown, failed."),
		Probes:          newCounter[ResultLabels](p, "router_probes", maxOutcomes, "Probes. Outcomes: ok, failed."),
		Endpoints:       newGauge[StateLabels](p, "router_endpoints", "", maxOutcomes, "Known endpoints by state: serving, starting, leaving, down, unknown, ejected. An ejected endpoint counts as ejected only."),
		Ejections:       newObservedCounter[ReasonLabels](p, "router_ejections", maxOutcomes, "Endpoints ejected, by reason: slow, failing. A failed trial afterwards is not counted again."),
		RetryBudget:     newGauge[NoLabels](p, "router_retry_budget_ratio", "", 1, "Share of the retry budget that is left in the tier with the least, 0 to 1."),
		LeaseHeld:       newGauge[NoLabels](p, "router_lease_held", "", 1, "1 while this router holds the lease for the placement of models, otherwise 0."),
		PlacementOrders: newCounter[ResultLabels](p, "router_placement_orders", maxOutcomes, "Orders to endpoints that ended. Outcomes: done, failed, unknown, not_held."),
	}
	return r, errors.Join(p.errs...)
}
