package site

import (
	"cmp"
	"time"

	"github.com/pistachiowind/pistachiowind/standin"
)

// Scenario describes a site, its demand and its faults over time.
type Scenario struct {
	Name   string
	Length time.Duration
	// Endpoints and Routers are the size of the site; Models is the number of
	// models, each served by an equal part of the endpoints.
	Endpoints, Routers, Models int
	// Engine is the modelled engine of every endpoint.
	Engine standin.EngineModelOptions
	// BurstFrom and BurstTo are the start and end of the burst of the workload's
	// Burst class, in seconds; equal values mean no burst.
	BurstFrom, BurstTo float64
	// SwingFrom is the start of the rise in a swing of the demand of all classes, in
	// seconds; zero means none. In a swing, demand falls to swingLow for swingLead,
	// rises to swingHigh within swingRise, stays there for swingHold, falls again
	// and stays at swingLow for swingLead.
	SwingFrom float64
	// SlowFrom and SlowTo are the start and end of the phase with slow endpoints;
	// equal values mean none.
	SlowFrom, SlowTo time.Duration
	// ReportLag is the age of the load values that the slow agents report in that
	// phase.
	ReportLag time.Duration
	// CrashAt is when endpoint 0 crashes; zero means never.
	CrashAt time.Duration
	// NoDrain ends the run with the arrivals. A request without a final answer by
	// then counts as unfinished and in no other measure.
	NoDrain bool
	// SteadyLoad is the offered work outside bursts and swings as a fraction of
	// capacity; zero means defaultSteadyLoad.
	SteadyLoad float64
	// CrashingRequests sends every 5 s the same request, which crashes each engine
	// that runs it.
	CrashingRequests bool
}

const (
	defaultSteadyLoad = 0.7
	burstLoad         = 3.0
	swingLow          = 0.3
	swingHigh         = 2.5
	swingRise         = 2.0
	swingHold         = 4.0
	swingLead         = 8.0
	slowFactor        = 5
	slowedCount       = 2
	// zoneLatency is the one-way latency between availability zones.
	zoneLatency = 1500 * time.Microsecond
	// endpointRestartTime is how long a crashed endpoint is down.
	endpointRestartTime = 5 * time.Second
	// crashDelay is how long a request that crashes engines runs before the crash.
	crashDelay = 50 * time.Millisecond
)

// presentEngine is the engine of the present size. It reaches 44 ms between tokens
// with 32 streams, and with 19 while it processes a prompt.
var presentEngine = standin.EngineModelOptions{
	Slots: 64, StepBase: 12 * time.Millisecond, StepPerSequence: time.Millisecond,
	PrefillRate: 20_000, PrefillChunk: 256,
}

// engineRate is the output of an engine at full use within the 44 ms target
// between tokens, with the largest batch whose steps still meet the target while
// they process a full prompt chunk.
type engineRate struct {
	tokensPerSecond float64
	promptRate      float64
}

func engineRateOf(o standin.EngineModelOptions) engineRate {
	prompt := time.Duration(o.PrefillChunk) * time.Second / time.Duration(o.PrefillRate)
	batch := min(float64(interTokenTarget-o.StepBase-prompt)/float64(o.StepPerSequence), float64(o.Slots))
	step := o.StepBase.Seconds() + float64(int(batch))*o.StepPerSequence.Seconds()
	return engineRate{tokensPerSecond: float64(int(batch)) / step, promptRate: float64(o.PrefillRate)}
}

// Scenarios returns the scenarios under which the policies are compared, at the
// present size and 60 s each.
func Scenarios() []Scenario {
	list := []Scenario{
		{Name: "steady"},
		{Name: "burst", BurstFrom: 20, BurstTo: 30},
		{Name: "swing", SwingFrom: 20},
		{Name: "slowed", SlowFrom: 20 * time.Second, SlowTo: 40 * time.Second, ReportLag: 5 * time.Second},
		{Name: "crash", CrashAt: 30 * time.Second},
		{Name: "poison", CrashingRequests: true},
		{
			Name: "together", BurstFrom: 10, BurstTo: 15, SwingFrom: 25, SlowFrom: 15 * time.Second,
			SlowTo: 35 * time.Second, ReportLag: 5 * time.Second, CrashAt: 45 * time.Second, CrashingRequests: true,
		},
	}
	for i := range list {
		list[i].Length = time.Minute
		list[i].Endpoints, list[i].Routers, list[i].Models = 12, 3, 1
		list[i].Engine = presentEngine
	}
	return list
}

// plannedLength is the time during which requests arrive at the planned size.
const plannedLength = 40 * time.Second

// Planned returns the planned size of section 1.7 of docs/design.md and its
// demand: 5,500 requests and 2.5 million tokens per second.
func Planned() (Workload, Scenario) {
	assistant := Class{
		Name: "assistant", Tier: 0, Share: 0.352, Prompt: 800, Output: 300, OutputLogSigma: 0.6, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: firstTokenTarget,
	}
	supply := Class{
		Name: "supply", Tier: 1, Share: 0.397, Prompt: 400, Output: 400, OutputLogSigma: 0.6, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: 10 * time.Second,
	}
	history := Class{
		Name: "history", Tier: 2, Share: 0.251, Prompt: 4000, Output: 2500, OutputLogSigma: 0.5,
		FirstToken: time.Minute, WaitLimit: 5 * time.Minute,
	}
	sc := Scenario{
		Name: "planned", Length: plannedLength, Endpoints: 600, Routers: 410, Models: 20, NoDrain: true, SteadyLoad: 0.722,
	}
	sc.Engine = standin.EngineModelOptions{
		Slots: standin.DefaultSlots, StepBase: standin.DefaultStepBase, StepPerSequence: standin.DefaultStepPerSequence,
		PrefillRate: standin.DefaultPrefillRate, PrefillChunk: standin.DefaultPrefillChunk,
	}
	return Workload{Name: "planned", Classes: []Class{assistant, supply, history}}, sc
}

// offeredLoad returns the offered work of a class, as a fraction of its share of
// capacity, at a time in seconds.
func (s *Scenario) offeredLoad(w *Workload, class int, at float64) float64 {
	if class == w.Burst && at >= s.BurstFrom && at < s.BurstTo {
		return burstLoad / w.Classes[class].Share
	}
	from := s.SwingFrom
	end := from + 2*swingRise + swingHold
	switch {
	case from == 0 || at < from-swingLead || at >= end+swingLead:
		return s.steadyLoad()
	case at < from || at >= end:
		return swingLow
	case at < from+swingRise:
		return swingLow + (swingHigh-swingLow)*(at-from)/swingRise
	case at < from+swingRise+swingHold:
		return swingHigh
	default:
		return swingLow + (swingHigh-swingLow)*(end-at)/swingRise
	}
}

func (s *Scenario) steadyLoad() float64 { return cmp.Or(s.SteadyLoad, defaultSteadyLoad) }

// peakLoad returns an upper bound of offeredLoad.
func (s *Scenario) peakLoad(w *Workload, class int) float64 {
	peak := s.steadyLoad()
	if s.SwingFrom > 0 {
		peak = swingHigh
	}
	if class == w.Burst && s.BurstTo > s.BurstFrom {
		peak = max(peak, burstLoad/w.Classes[class].Share)
	}
	return peak
}

// urgentWithinCapacity reports whether urgent work alone always stays within the
// capacity that the faults leave.
func (s *Scenario) urgentWithinCapacity(w *Workload) bool {
	endpoints := float64(s.Endpoints)
	if s.SlowTo > s.SlowFrom {
		endpoints -= slowedCount * (1 - 1.0/slowFactor)
	}
	if s.CrashAt > 0 || s.CrashingRequests {
		endpoints--
	}
	urgent := 0.0
	for i := range w.Classes {
		if w.Classes[i].Tier == 0 {
			urgent += s.peakLoad(w, i) * w.Classes[i].Share
		}
	}
	return urgent <= endpoints/float64(s.Endpoints)
}
