package telemetry

import (
	"errors"
	"time"
)

// Gateway holds the metric instruments of a gateway. The zero value records
// nothing.
type Gateway struct {
	Requests        *Counter[RouteLabels]
	FirstByte       *Duration[ClassLabels]
	Whole           *Duration[ClassLabels]
	Attempts        *Counter[ResultLabels]
	ShareRefusals   *Counter[ResultLabels]
	Connections     *Counter[ResultLabels]
	Processes       *Counter[ResultLabels]
	Proofs          *Counter[ResultLabels]
	ConfigVersion   *Gauge[NoLabels]
	Endpoints       *Gauge[StateLabels]
	Peers           *Gauge[NoLabels]
	Condemned       *Gauge[ClassLabels]
	PrefillRate     *Gauge[ClassLabels]
	ZoneShare       *Gauge[ClassLabels]
	ZoneRequests    *Counter[ZoneLabels]
	ZoneBytes       *Counter[ZoneLabels]
	StoreUp         *Gauge[ReasonLabels]
	StoreEra        *Gauge[NoLabels]
	UsageRequests   *Counter[NoLabels]
	UsageIncomplete *Gauge[NoLabels]
	PlatformCalls   *Counter[OperationLabels]
	DroppedLogLines *ObservedCounter[NoLabels]
	PlatformLatency *Duration[OperationLabels]
	// DutyLeaseHeld to OldestUnsentReport concern the calls that one gateway makes for all.
	DutyLeaseHeld      *Gauge[NoLabels]
	UsageReports       *Counter[ResultLabels]
	OldestUnsentReport *Gauge[NoLabels]
}

// NewGateway registers the instruments of a gateway on p. Call it once per
// Provider.
func NewGateway(p *Provider) (*Gateway, error) {
	g := &Gateway{
		Requests:        newCounter[RouteLabels](p, "gateway_requests", maxRequests, "Requests that ended, by route and result as in the log."),
		FirstByte:       newDuration[ClassLabels](p, "gateway_first_byte", requestBounds, maxClasses, "Time from receipt to the first byte of an endpoint's answer, by route."),
		Whole:           newDuration[ClassLabels](p, "gateway_request", requestBounds, maxClasses, "Time from receipt to the end, by route."),
		Attempts:        newCounter[ResultLabels](p, "gateway_attempts", maxOutcomes, "Attempts at endpoints that ended, by result as in the log."),
		ShareRefusals:   newCounter[ResultLabels](p, "gateway_share_refusals", maxOutcomes, "Streams refused while their class was short of capacity, by the share of their client account. Outcomes: within_share, above_share."),
		Connections:     newCounter[ResultLabels](p, "gateway_connections", maxOutcomes, "New connections to endpoints. Outcomes: ok, failed."),
		Processes:       newCounter[ResultLabels](p, "gateway_process_questions", maxOutcomes, "Questions for the process behind a connection, before the first stream that may be resumed. Outcomes: stated, silent, no_answer, refused, other_endpoint."),
		Proofs:          newCounter[ResultLabels](p, "gateway_process_proofs", maxOutcomes, "Processes of endpoints without a statement in time that became proven. Outcomes: stated, heartbeat, listed, connection."),
		ConfigVersion:   newGauge[NoLabels](p, "gateway_config_version", "", 1, "Version of the configuration in force; 0 before the first."),
		Endpoints:       newGauge[StateLabels](p, "gateway_endpoints", "", maxOutcomes, "Known endpoints by state: ready, draining; paused ones, which are full and want no requests, and limited ones, which name a rate of requests, count again."),
		Peers:           newGauge[NoLabels](p, "gateway_peers", "", 1, "Other gateways heard within 5 s."),
		Condemned:       newGauge[ClassLabels](p, "gateway_condemned", "", maxOutcomes, "Suspects that are condemned for crashing endpoints, by class: request, part."),
		PrefillRate:     newGauge[ClassLabels](p, "gateway_prefill_rate", "", maxClasses, "Prompt tokens per millisecond that an engine is assumed to read, by service, as all gateways observed it."),
		ZoneShare:       newGauge[ClassLabels](p, "gateway_zone_share", "", maxClasses, "Share of the requests that may leave the availability zone, by service; none without features.zone_spill."),
		ZoneRequests:    newCounter[ZoneLabels](p, "gateway_zone_requests", maxZones, "Attempts at endpoints in other availability zones, by zone."),
		ZoneBytes:       newCounter[ZoneLabels](p, "gateway_zone_bytes", maxZones, "Bytes of request bodies sent to other availability zones, by zone."),
		StoreUp:         newGauge[ReasonLabels](p, "gateway_store_up", "", maxOutcomes, "1 while the table of the store answers, otherwise 0."),
		StoreEra:        newGauge[NoLabels](p, "gateway_store_era", "", 1, "Number of times that the store came back from an older copy, as it states; 0 if it states none."),
		UsageRequests:   newCounter[NoLabels](p, "gateway_usage_requests", 1, "Requests of client accounts that this gateway counted as begun by endpoints; 0 without the duty to report usage."),
		UsageIncomplete: newGauge[NoLabels](p, "gateway_usage_incomplete_windows", "", 1, "Usage windows of the last 8 that have ended and lack final counts of a gateway."),
		PlatformCalls:   newCounter[OperationLabels](p, "gateway_platform_calls", maxOutcomes, "Calls of the platform's store. Outcomes: ok, conflict, not_found, unavailable, unknown, rejected."),
		DroppedLogLines: newObservedCounter[NoLabels](p, "gateway_log_lines_dropped", 1, "Log lines beyond the rate of the settings."),
		PlatformLatency: newDuration[OperationLabels](p, "gateway_platform_call", requestBounds, maxOutcomes, "Time of a call of the platform's store; a feed waits for changes."),

		DutyLeaseHeld:      newGauge[NoLabels](p, "gateway_duty_lease_held", "", 1, "1 while this gateway holds the lease on the duties, otherwise 0."),
		UsageReports:       newCounter[ResultLabels](p, "gateway_usage_reports", maxOutcomes, "Calls with a usage report, repetitions included. Outcomes: ok, unavailable, unknown, rejected."),
		OldestUnsentReport: newGauge[NoLabels](p, "gateway_usage_oldest_unsent", "s", 1, "Time since the end of the oldest window that is due or recorded and was not reported; 0 at gateways that do not hold the lease."),
	}
	return g, errors.Join(p.errs...)
}

// Called implements storage.Observer: it counts and times one call of the store.
func (g *Gateway) Called(operation, outcome string, took time.Duration) {
	labels := OperationLabels{Operation: operation, Outcome: outcome}
	g.PlatformCalls.Add(1, labels)
	g.PlatformLatency.Record(took, labels)
}
