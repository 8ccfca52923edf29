package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

// Class is the demand of one class of requests.
type Class struct {
	Name string
	Tier int
	// RequestsPerSecond is the mean rate outside bursts. Arrivals are a Poisson
	// process.
	RequestsPerSecond float64
	// Prompt and Output are mean lengths in tokens. Every prompt has the mean
	// length. Output lengths are log-normal; OutputLogSigma is the standard
	// deviation of their logarithm.
	Prompt         int
	Output         int
	OutputLogSigma float64
	// FirstToken is the target for the time from arrival to the first token.
	FirstToken time.Duration
	// InterToken is the target for the time between tokens, which 95 in 100 tokens
	// of a request must meet; zero means none.
	InterToken time.Duration
	WaitLimit  time.Duration
	// Accounts is the number of client accounts; the first one sends half of the
	// requests.
	Accounts int
	// BurstFactor multiplies the rate during bursts; below 1 means 1.
	BurstFactor float64
}

// Scenario describes the demand and the endpoint's speed over time.
type Scenario struct {
	Name    string
	Classes []Class
	// Length is the time during which requests arrive.
	Length time.Duration
	// BurstEvery and BurstLength are the period and length of the bursts; the first
	// starts at BurstEvery.
	BurstEvery  time.Duration
	BurstLength time.Duration
	// SlowFrom and SlowTo are the start and end of a phase in which the engine's
	// steps take SlowFactor times as long.
	SlowFrom   time.Duration
	SlowTo     time.Duration
	SlowFactor float64
	Seed       uint64
}

// request is one request that arrives at the agent.
type request struct {
	class  *Class
	at     time.Duration
	id     uint64
	prompt int
	output int
	// account is the index of the client account.
	account int
}

// inBurst reports whether offset, the time since the start, lies in a burst.
func (s *Scenario) inBurst(offset time.Duration) bool {
	if s.BurstEvery == 0 || offset < s.BurstEvery {
		return false
	}
	return offset%s.BurstEvery < s.BurstLength
}

// drawClass draws the requests of one class in order of arrival, by thinning a
// Poisson process with the peak rate.
func (s *Scenario) drawClass(class *Class, r *rand.Rand) []request {
	peak := max(class.BurstFactor, 1)
	var out []request
	for at := 0.0; ; {
		at += r.ExpFloat64() / (class.RequestsPerSecond * peak)
		offset := time.Duration(at * float64(time.Second))
		if offset >= s.Length {
			return out
		}
		if !s.inBurst(offset) && r.Float64() >= 1/peak {
			continue
		}
		out = append(out, request{
			class: class, at: offset, prompt: class.Prompt,
			output: drawOutputTokens(class, r), account: drawAccount(class, r),
		})
	}
}

// drawOutputTokens draws an answer length; the mean of the distribution is
// class.Output.
func drawOutputTokens(class *Class, r *rand.Rand) int {
	factor := math.Exp(class.OutputLogSigma*r.NormFloat64() - class.OutputLogSigma*class.OutputLogSigma/2)
	return max(1, int(float64(class.Output)*factor))
}

func drawAccount(class *Class, r *rand.Rand) int {
	if class.Accounts < 2 || r.IntN(2) == 0 {
		return 0
	}
	return 1 + r.IntN(class.Accounts-1)
}

// Classes returns the mixed demand of the scenarios, about three quarters of what
// the engine of EngineOptions generates within the targets.
func Classes() []Class {
	return []Class{
		{
			Name: "assistant", Tier: 0, RequestsPerSecond: 1, Prompt: 800, Output: 150, OutputLogSigma: 0.6,
			FirstToken: 1500 * time.Millisecond, InterToken: 44 * time.Millisecond,
			WaitLimit: 1200 * time.Millisecond, Accounts: 10,
		},
		{
			Name: "supply", Tier: 1, RequestsPerSecond: 1.2, Prompt: 400, Output: 100, OutputLogSigma: 0.6,
			FirstToken: 1500 * time.Millisecond, InterToken: 44 * time.Millisecond,
			WaitLimit: 10 * time.Second, Accounts: 10,
		},
		{
			Name: "history", Tier: 2, RequestsPerSecond: 0.06, Prompt: 4000, Output: 2500, OutputLogSigma: 0.5,
			FirstToken: time.Minute, WaitLimit: 5 * time.Minute, Accounts: 4,
		},
	}
}

// Scenarios returns the scenarios under which the policies are compared, 5 min
// each.
func Scenarios() []Scenario {
	burst := func(name string, class int, factor float64) Scenario {
		classes := Classes()
		classes[class].BurstFactor = factor
		return Scenario{Name: name, Classes: classes, BurstEvery: time.Minute, BurstLength: 15 * time.Second}
	}
	list := []Scenario{
		{Name: "steady", Classes: Classes()},
		burst("urgent burst x6", 0, 6),
		burst("standard burst x6", 1, 6),
		burst("history burst x10", 2, 10),
		{Name: "half speed 60 s", Classes: Classes(), SlowFrom: 2 * time.Minute, SlowTo: 3 * time.Minute, SlowFactor: 2},
		{Name: "urgent overload", Classes: Classes()},
	}
	list[5].Classes[0].RequestsPerSecond = 8
	for i := range list {
		list[i].Length = 5 * time.Minute
		list[i].Seed = 1
	}
	return list
}
