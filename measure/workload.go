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
	// PerSecond is the mean rate of arrivals, which are a Poisson process.
	PerSecond float64
	// Prompt and Output are mean lengths in tokens. Output varies by a
	// log-normal distribution with Spread as its standard deviation of the log.
	Prompt int
	Output int
	Spread float64
	// FirstToken is the target from arrival to the first token.
	FirstToken time.Duration
	// InterToken is the target between tokens, met by 95 in 100 of a request's
	// tokens; zero means none.
	InterToken time.Duration
	WaitLimit  time.Duration
	// Accounts is the number of client accounts; the first sends half of the
	// requests.
	Accounts int
	// Burst multiplies the rate during bursts; zero means 1.
	Burst float64
}

// Scenario is demand and endpoint speed over time.
type Scenario struct {
	Name    string
	Classes []Class
	// Length is how long requests arrive.
	Length time.Duration
	// BurstEvery and BurstLength place the bursts; the first starts at BurstEvery.
	BurstEvery  time.Duration
	BurstLength time.Duration
	// SlowFrom and SlowTo bound a phase in which the engine's steps take
	// SlowFactor times as long.
	SlowFrom   time.Duration
	SlowTo     time.Duration
	SlowFactor float64
	Seed       uint64
}

// request is one arrival.
type request struct {
	class  *Class
	at     time.Duration
	id     uint64
	prompt int
	output int
	// account is the index of the client account.
	account int
}

// inBurst reports whether offset lies in a burst.
func (s *Scenario) inBurst(offset time.Duration) bool {
	if s.BurstEvery == 0 || offset < s.BurstEvery {
		return false
	}
	return offset%s.BurstEvery < s.BurstLength
}

// arrivals draws the requests of one class, in order of time.
func (s *Scenario) arrivals(class *Class, r *rand.Rand) []request {
	peak := max(class.Burst, 1)
	var out []request
	for at := 0.0; ; {
		at += r.ExpFloat64() / (class.PerSecond * peak)
		offset := time.Duration(at * float64(time.Second))
		if offset >= s.Length {
			return out
		}
		if !s.inBurst(offset) && r.Float64() >= 1/peak {
			continue
		}
		out = append(out, request{
			class: class, at: offset, prompt: class.Prompt,
			output: outputTokens(class, r), account: pickAccount(class, r),
		})
	}
}

// outputTokens draws a length with the class's mean.
func outputTokens(class *Class, r *rand.Rand) int {
	shape := math.Exp(class.Spread*r.NormFloat64() - class.Spread*class.Spread/2)
	return max(1, int(float64(class.Output)*shape))
}

func pickAccount(class *Class, r *rand.Rand) int {
	if class.Accounts < 2 || r.IntN(2) == 0 {
		return 0
	}
	return 1 + r.IntN(class.Accounts-1)
}

// Classes returns the mixed demand of the scenarios: about three quarters
// of what the engine of EngineOptions generates within the targets.
func Classes() []Class {
	return []Class{
		{
			Name: "assistant", Tier: 0, PerSecond: 1, Prompt: 800, Output: 150, Spread: 0.6,
			FirstToken: 1500 * time.Millisecond, InterToken: 44 * time.Millisecond,
			WaitLimit: 1200 * time.Millisecond, Accounts: 10,
		},
		{
			Name: "supply", Tier: 1, PerSecond: 1.2, Prompt: 400, Output: 100, Spread: 0.6,
			FirstToken: 1500 * time.Millisecond, InterToken: 44 * time.Millisecond,
			WaitLimit: 10 * time.Second, Accounts: 10,
		},
		{
			Name: "history", Tier: 2, PerSecond: 0.06, Prompt: 4000, Output: 2500, Spread: 0.5,
			FirstToken: time.Minute, WaitLimit: 5 * time.Minute, Accounts: 4,
		},
	}
}

// Scenarios returns the situations that are compared, 5 min each.
func Scenarios() []Scenario {
	swing := func(name string, class int, factor float64) Scenario {
		classes := Classes()
		classes[class].Burst = factor
		return Scenario{Name: name, Classes: classes, BurstEvery: time.Minute, BurstLength: 15 * time.Second}
	}
	list := []Scenario{
		{Name: "steady", Classes: Classes()},
		swing("urgent burst x6", 0, 6),
		swing("standard burst x6", 1, 6),
		swing("history burst x10", 2, 10),
		{Name: "half speed 60 s", Classes: Classes(), SlowFrom: 2 * time.Minute, SlowTo: 3 * time.Minute, SlowFactor: 2},
		{Name: "urgent overload", Classes: Classes()},
	}
	list[5].Classes[0].PerSecond = 8
	for i := range list {
		list[i].Length = 5 * time.Minute
		list[i].Seed = 1
	}
	return list
}
