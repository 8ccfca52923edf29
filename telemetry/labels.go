package telemetry

import (
	"strconv"

	"go.opentelemetry.io/otel/attribute"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Label values come from settings, the catalog or fixed sets, never from a request,
// so that a caller cannot create time series.

// NoLabels is the label set of instruments with a single series.
type NoLabels struct{}

func (NoLabels) pairs() []attribute.KeyValue { return nil }

// BuildLabels describe a process instance.
type BuildLabels struct {
	Role             string
	Name             string
	Region           string
	AvailabilityZone string
	Version          string
}

func (l BuildLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("role", l.Role),
		attribute.String("name", l.Name),
		attribute.String("region", l.Region),
		attribute.String("availability_zone", l.AvailabilityZone),
		attribute.String("version", l.Version),
	}
}

// RequestLabels describe a completed request at a router.
type RequestLabels struct {
	Class string
	Tier  int
	// Code is 0 for a request that succeeded.
	Code      resultcode.Code
	Execution resultcode.Execution
}

func (l RequestLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("class", l.Class),
		attribute.String("tier", strconv.Itoa(l.Tier)),
		attribute.String("code", strconv.Itoa(int(l.Code))),
		attribute.String("execution", string(l.Execution)),
	}
}

// ClassLabels name a class of profiles or, at a gateway, a route or a service.
type ClassLabels struct{ Class string }

func (l ClassLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("class", l.Class)}
}

// TierLabels name a service tier.
type TierLabels struct{ Tier int }

func (l TierLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("tier", strconv.Itoa(l.Tier))}
}

// ModelLabels name a model from the settings.
type ModelLabels struct{ Model string }

func (l ModelLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("model", l.Model)}
}

// AccountLabels name a client account of the catalog. They are used on counters
// only: on a histogram, 840 accounts would be multiplied by the number of buckets.
type AccountLabels struct{ Account string }

func (l AccountLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("account", l.Account)}
}

// AttemptLabels describe an attempt started by a router.
type AttemptLabels struct {
	// Kind is the reason for the attempt, such as first, retry or hedge.
	Kind string
	// Code is 0 for an attempt that succeeded.
	Code resultcode.Code
}

func (l AttemptLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("kind", l.Kind),
		attribute.String("code", strconv.Itoa(int(l.Code))),
	}
}

// ResultLabels hold the outcome of an operation out of a fixed set. The instrument
// implies the operation.
type ResultLabels struct{ Outcome string }

func (l ResultLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("outcome", l.Outcome)}
}

// OperationLabels hold the name and the outcome of one of several operations, each
// out of a fixed set.
type OperationLabels struct {
	Operation string
	Outcome   string
}

func (l OperationLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("operation", l.Operation),
		attribute.String("outcome", l.Outcome),
	}
}

// ZoneLabels name an availability zone.
type ZoneLabels struct{ Zone string }

func (l ZoneLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("zone", l.Zone)}
}

// StateLabels hold a state out of a fixed set.
type StateLabels struct{ State string }

func (l StateLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("state", l.State)}
}

// ReasonLabels hold a reason out of a fixed set.
type ReasonLabels struct{ Reason string }

func (l ReasonLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("reason", l.Reason)}
}

// TierCodeLabels describe an attempt that ended at an agent, by tier and result
// code.
type TierCodeLabels struct {
	Tier int
	// Code is 0 for an attempt that succeeded.
	Code resultcode.Code
}

func (l TierCodeLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("tier", strconv.Itoa(l.Tier)),
		attribute.String("code", strconv.Itoa(int(l.Code))),
	}
}

// RouteLabels hold a route of the configuration and the result of a request to it.
type RouteLabels struct{ Route, Result string }

func (l RouteLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("route", l.Route), attribute.String("result", l.Result)}
}
