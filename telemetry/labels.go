package telemetry

import (
	"strconv"

	"go.opentelemetry.io/otel/attribute"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Label values come from settings, the catalog or fixed sets, never from a
// request, so that a caller cannot create series.

// NoLabels is for instruments with one series.
type NoLabels struct{}

func (NoLabels) pairs() []attribute.KeyValue { return nil }

// BuildLabels describe the process instance.
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

// RequestLabels describe an answered request.
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

// ClassLabels name a class of profiles.
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

// AccountLabels name a client account of the catalog. They occur on counters
// only: with histograms 840 accounts would multiply with the buckets.
type AccountLabels struct{ Account string }

func (l AccountLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("account", l.Account)}
}

// AttemptLabels describe an attempt at the router.
type AttemptLabels struct {
	// Kind is why the attempt was sent.
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

// ResultLabels describe how something ended by a fixed word.
type ResultLabels struct{ Outcome string }

func (l ResultLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("outcome", l.Outcome)}
}

// OutcomeLabels describe the result of one of several operations by fixed words.
type OutcomeLabels struct {
	Operation string
	Outcome   string
}

func (l OutcomeLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("operation", l.Operation),
		attribute.String("outcome", l.Outcome),
	}
}

// StateLabels name a state out of a fixed set.
type StateLabels struct{ State string }

func (l StateLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("state", l.State)}
}

// ReasonLabels name a reason out of a fixed set.
type ReasonLabels struct{ Reason string }

func (l ReasonLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("reason", l.Reason)}
}

// TierCodeLabels describe an attempt that ended at an agent.
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

// RouteLabels name a route of the configuration and a result of its requests.
type RouteLabels struct{ Route, Result string }

func (l RouteLabels) pairs() []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("route", l.Route), attribute.String("result", l.Result)}
}
