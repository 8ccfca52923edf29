package site

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

// Class is the demand of one class of requests.
type Class struct {
	Name string
	Tier int
	// Share is the class's part of the offered work, in engine time.
	Share float64
	// Prompt and Output are mean lengths in tokens. The policies do not see the
	// output length, which is log-normal with Spread as the deviation of its log.
	Prompt int
	Output int
	Spread float64
	// FirstToken is the target from arrival to the first token.
	FirstToken time.Duration
	// InterToken is met when 95 in 100 tokens of a request come within it; zero
	// means no target.
	InterToken time.Duration
	// WaitLimit is the longest wait before the start at an endpoint, the
	// max_wait_ms of the profile.
	WaitLimit time.Duration
	// Once marks requests that must not run twice.
	Once bool
	// Short marks requests whose delay behind long ones is reported.
	Short bool
}

// Workload is the demand of one user of the system.
type Workload struct {
	Name    string
	Classes []Class
	// Burst is the index of the class that the burst scenario multiplies.
	Burst int
}

const (
	firstTokenTarget = 1500 * time.Millisecond
	interTokenTarget = 44 * time.Millisecond
	// startToFirst is the agent's target from the start to the first token. A
	// class's bound from arrival to the first token is its WaitLimit plus this.
	startToFirst = time.Second
	// clientAccounts, of which the first largeAccounts send two thirds.
	clientAccounts = 10
	largeAccounts  = 3
)

// Workloads returns the two users of section 1.3 of docs/design.md.
func Workloads() []Workload {
	question := Class{
		Name: "assistant", Tier: 0, Share: 0.7, Prompt: 800, Output: 150, Spread: 0.6, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: firstTokenTarget,
	}
	// Standard classes state no wait limit of their own.
	standardWait := catalog.Profile{
		Tier:   catalog.TierStandard,
		Target: catalog.Target{FirstTokenMS: int(firstTokenTarget.Milliseconds())},
	}.MaxWait()
	ledger := Class{
		Name: "ledger", Tier: 1, Share: 0.3, Prompt: 100, Output: 20, Spread: 0.2, Once: true, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: standardWait,
	}
	chat := question
	chat.Name, chat.Share = "chat", 0.25
	supply := Class{
		Name: "supply", Tier: 1, Share: 0.35, Prompt: 400, Output: 100, Spread: 0.6, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: standardWait,
	}
	history := Class{
		Name: "history", Tier: 2, Share: 0.4, Prompt: 4000, Output: 2500, Spread: 0.5,
		FirstToken: time.Minute, WaitLimit: 5 * time.Minute,
	}
	return []Workload{
		{Name: "rate", Classes: []Class{question, ledger}, Burst: 1},
		{Name: "charbon", Classes: []Class{chat, supply, history}, Burst: 1},
	}
}

// work is the engine time of a mean request, in generated tokens.
func (c *Class) work(e engineRate) float64 {
	return float64(c.Output) + e.tokensPerSecond*float64(c.Prompt)/e.promptRate
}

// arrival is one request.
type arrival struct {
	class   *Class
	at      time.Duration
	id      uint64
	output  int
	account int
	// crash marks a request that crashes each engine that runs it.
	crash bool
}

// demand draws all requests in order of time. Each class has its own source, so
// that a change of one class leaves the others as they are.
func (s *Scenario) demand(w *Workload, seed uint64, capacity float64, rate engineRate) []arrival {
	var all []arrival
	for i := range w.Classes {
		c := &w.Classes[i]
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		base := capacity * c.Share / c.work(rate)
		peak := s.peak(w, i)
		for at := 0.0; ; {
			at += r.ExpFloat64() / (base * peak)
			if at >= s.Length.Seconds() {
				break
			}
			if r.Float64()*peak >= s.load(w, i, at) {
				continue
			}
			shape := math.Exp(c.Spread*r.NormFloat64() - c.Spread*c.Spread/2)
			all = append(all, arrival{
				class: c, at: time.Duration(at * float64(time.Second)),
				output: max(1, int(float64(c.Output)*shape)), account: accountOf(r),
			})
		}
	}
	all = append(all, s.crashing(w)...)
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range all {
		all[i].id = uint64(i)
	}
	return all
}

func accountOf(r *rand.Rand) int {
	if r.IntN(3) < 2 {
		return r.IntN(largeAccounts)
	}
	return largeAccounts + r.IntN(clientAccounts-largeAccounts)
}

// crashing returns the same crash-causing request, sent every 5 s.
func (s *Scenario) crashing(w *Workload) []arrival {
	var all []arrival
	if !s.Poison {
		return nil
	}
	for at := 5 * time.Second; at < s.Length; at += 5 * time.Second {
		all = append(all, arrival{class: &w.Classes[0], at: at, output: 100, account: clientAccounts - 1, crash: true})
	}
	return all
}
