package site

import (
	"cmp"
	"time"

	"github.com/pistachiowind/pistachiowind/standin"
)

// Scenario is the demand and the faults over time.
type Scenario struct {
	Name   string
	Length time.Duration
	// Endpoints and Routers are the size of the site; Models is the number of
	// models, each served by an equal part of the endpoints.
	Endpoints, Routers, Models int
	// Engine is the modelled engine of every endpoint.
	Engine standin.EngineModelOptions
	// BurstFrom and BurstTo bound the burst of one class; none when equal.
	BurstFrom, BurstTo float64
	// SwingFrom starts the swing of all demand, in seconds; zero means none.
	SwingFrom float64
	// SlowFrom and SlowTo bound the phase with slow endpoints; none when equal.
	SlowFrom, SlowTo time.Duration
	// ReportLag is the age of the load values that agents send in that phase.
	ReportLag time.Duration
	// CrashAt is when endpoint 0 crashes; zero means never.
	CrashAt time.Duration
	// NoDrain ends the run with the last arrival; what has no final answer by then
	// counts as unfinished and in no other measure.
	NoDrain bool
	// Steady is the offered work outside bursts and swings as a part of capacity;
	// zero means 0.7.
	Steady float64
	// Poison sends a request that crashes engines every 5 s.
	Poison bool
}

const (
	steadyLoad  = 0.7
	burstLoad   = 3.0
	swingLow    = 0.3
	swingHigh   = 2.5
	swingRise   = 2.0
	swingHold   = 4.0
	swingLead   = 8.0
	slowFactor  = 5
	slowedCount = 2
	// latencyZone is one way between availability zones.
	latencyZone = 1500 * time.Microsecond
	// restartTime is how long a crashed endpoint is down.
	restartTime = 5 * time.Second
	// crashAfter is how long a crash-causing request runs before the crash.
	crashAfter = 50 * time.Millisecond
)

// todaysEngine reaches 44 ms between tokens with 32 streams, and with 19 while a
// prompt is processed.
var todaysEngine = standin.EngineModelOptions{
	Slots: 64, StepBase: 12 * time.Millisecond, StepPerSequence: time.Millisecond,
	PrefillRate: 20_000, PrefillChunk: 256,
}

// engineRate is what an engine gives at full use within the 44 ms target: the
// largest batch whose steps with a full prompt chunk still meet it.
type engineRate struct {
	tokensPerSecond float64
	promptRate      float64
}

func rateOf(o standin.EngineModelOptions) engineRate {
	prompt := time.Duration(o.PrefillChunk) * time.Second / time.Duration(o.PrefillRate)
	batch := min(float64(interTokenTarget-o.StepBase-prompt)/float64(o.StepPerSequence), float64(o.Slots))
	step := o.StepBase.Seconds() + float64(int(batch))*o.StepPerSequence.Seconds()
	return engineRate{tokensPerSecond: float64(int(batch)) / step, promptRate: float64(o.PrefillRate)}
}

// Scenarios returns the compared situations at today's size, 60 s each.
func Scenarios() []Scenario {
	list := []Scenario{
		{Name: "steady"},
		{Name: "burst", BurstFrom: 20, BurstTo: 30},
		{Name: "swing", SwingFrom: 20},
		{Name: "slowed", SlowFrom: 20 * time.Second, SlowTo: 40 * time.Second, ReportLag: 5 * time.Second},
		{Name: "crash", CrashAt: 30 * time.Second},
		{Name: "poison", Poison: true},
		{
			Name: "together", BurstFrom: 10, BurstTo: 15, SwingFrom: 25, SlowFrom: 15 * time.Second,
			SlowTo: 35 * time.Second, ReportLag: 5 * time.Second, CrashAt: 45 * time.Second, Poison: true,
		},
	}
	for i := range list {
		list[i].Length = time.Minute
		list[i].Endpoints, list[i].Routers, list[i].Models = 12, 3, 1
		list[i].Engine = todaysEngine
	}
	return list
}

// plannedLength is the arrivals' time at the planned size.
const plannedLength = 40 * time.Second

// Planned returns the planned size of section 1.7 of docs/design.md and its
// demand: 5,500 requests and 2.5 million tokens per second.
func Planned() (Workload, Scenario) {
	assistant := Class{
		Name: "assistant", Tier: 0, Share: 0.352, Prompt: 800, Output: 300, Spread: 0.6, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: firstTokenTarget,
	}
	supply := Class{
		Name: "supply", Tier: 1, Share: 0.397, Prompt: 400, Output: 400, Spread: 0.6, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: 10 * time.Second,
	}
	history := Class{
		Name: "history", Tier: 2, Share: 0.251, Prompt: 4000, Output: 2500, Spread: 0.5,
		FirstToken: time.Minute, WaitLimit: 5 * time.Minute,
	}
	sc := Scenario{
		Name: "planned", Length: plannedLength, Endpoints: 600, Routers: 410, Models: 20, NoDrain: true, Steady: 0.722,
	}
	sc.Engine = standin.EngineModelOptions{
		Slots: standin.DefaultSlots, StepBase: standin.DefaultStepBase, StepPerSequence: standin.DefaultStepPerSequence,
		PrefillRate: standin.DefaultPrefillRate, PrefillChunk: standin.DefaultPrefillChunk,
	}
	return Workload{Name: "planned", Classes: []Class{assistant, supply, history}}, sc
}

// load returns the offered work of a class relative to its share of capacity, at
// a time in seconds.
func (s *Scenario) load(w *Workload, class int, at float64) float64 {
	if class == w.Burst && at >= s.BurstFrom && at < s.BurstTo {
		return burstLoad / w.Classes[class].Share
	}
	from := s.SwingFrom
	end := from + 2*swingRise + swingHold
	switch {
	case from == 0 || at < from-swingLead || at >= end+swingLead:
		return s.steady()
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

func (s *Scenario) steady() float64 { return cmp.Or(s.Steady, steadyLoad) }

// peak bounds load from above.
func (s *Scenario) peak(w *Workload, class int) float64 {
	peak := s.steady()
	if s.SwingFrom > 0 {
		peak = swingHigh
	}
	if class == w.Burst && s.BurstTo > s.BurstFrom {
		peak = max(peak, burstLoad/w.Classes[class].Share)
	}
	return peak
}

// urgentWithin reports whether urgent work alone stays within the capacity that
// the faults leave at every time.
func (s *Scenario) urgentWithin(w *Workload) bool {
	left := float64(s.Endpoints)
	if s.SlowTo > s.SlowFrom {
		left -= slowedCount * (1 - 1.0/slowFactor)
	}
	if s.CrashAt > 0 || s.Poison {
		left--
	}
	urgent := 0.0
	for i := range w.Classes {
		if w.Classes[i].Tier == 0 {
			urgent += s.peak(w, i) * w.Classes[i].Share
		}
	}
	return urgent <= left/float64(s.Endpoints)
}
