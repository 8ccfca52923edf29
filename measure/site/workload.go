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
	// Prompt and Output are mean lengths in tokens. Every prompt has the mean
	// length. Output lengths are log-normal and unknown to the policies;
	// OutputLogSigma is the standard deviation of their logarithm.
	Prompt         int
	Output         int
	OutputLogSigma float64
	// FirstToken is the target for the time from arrival to the first token.
	FirstToken time.Duration
	// InterToken is the target for the time between tokens. A request meets it when
	// 95 in 100 of its tokens do; zero means no target.
	InterToken time.Duration
	// WaitLimit is the longest wait before the start at an endpoint, max_wait_ms
	// of the profile.
	WaitLimit time.Duration
	// NonIdempotent marks requests that must not run twice.
	NonIdempotent bool
	// Short marks short requests, whose wait behind long ones is reported.
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
	// startToFirstTokenTarget is the agent's target from the start to the first
	// token. A class's bound from arrival to the first token is its WaitLimit plus
	// this.
	startToFirstTokenTarget = time.Second
	// clientAccounts is the number of client accounts, of which the first
	// largeAccounts send two thirds of the requests.
	clientAccounts = 10
	largeAccounts  = 3
)

// Workloads returns the demand of the two users of section 1.3 of docs/design.md.
func Workloads() []Workload {
	assistant := Class{
		Name: "assistant", Tier: 0, Share: 0.7, Prompt: 800, Output: 150, OutputLogSigma: 0.6, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: firstTokenTarget,
	}
	// Standard classes state no wait limit of their own.
	standardWait := catalog.Profile{
		Tier:   catalog.TierStandard,
		Target: catalog.Target{FirstTokenMS: int(firstTokenTarget.Milliseconds())},
	}.MaxWait()
	ledger := Class{
		Name: "ledger", Tier: 1, Share: 0.3, Prompt: 100, Output: 20, OutputLogSigma: 0.2, NonIdempotent: true, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: standardWait,
	}
	chat := assistant
	chat.Name, chat.Share = "chat", 0.25
	supply := Class{
		Name: "supply", Tier: 1, Share: 0.35, Prompt: 400, Output: 100, OutputLogSigma: 0.6, Short: true,
		FirstToken: firstTokenTarget, InterToken: interTokenTarget, WaitLimit: standardWait,
	}
	history := Class{
		Name: "history", Tier: 2, Share: 0.4, Prompt: 4000, Output: 2500, OutputLogSigma: 0.5,
		FirstToken: time.Minute, WaitLimit: 5 * time.Minute,
	}
	return []Workload{
		{Name: "rate", Classes: []Class{assistant, ledger}, Burst: 1},
		{Name: "charbon", Classes: []Class{chat, supply, history}, Burst: 1},
	}
}

// meanWork returns the engine time of a request with mean lengths, in generated
// tokens.
func (c *Class) meanWork(e engineRate) float64 {
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

// drawArrivals draws all requests in order of arrival. Each class has its own
// random source, so that a change of one class does not change the requests of the
// others. Capacity is the tokens per second of all engines.
func (s *Scenario) drawArrivals(w *Workload, seed uint64, capacity float64, rate engineRate) []arrival {
	var all []arrival
	for i := range w.Classes {
		c := &w.Classes[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		base := capacity * c.Share / c.meanWork(rate)
		peak := s.peakLoad(w, i)
		for at := 0.0; ; {
			at += rng.ExpFloat64() / (base * peak)
			if at >= s.Length.Seconds() {
				break
			}
			if rng.Float64()*peak >= s.offeredLoad(w, i, at) {
				continue
			}
			factor := math.Exp(c.OutputLogSigma*rng.NormFloat64() - c.OutputLogSigma*c.OutputLogSigma/2)
			all = append(all, arrival{
				class: c, at: time.Duration(at * float64(time.Second)),
				output: max(1, int(float64(c.Output)*factor)), account: drawAccount(rng),
			})
		}
	}
	all = append(all, s.crashingArrivals(w)...)
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range all {
		all[i].id = uint64(i)
	}
	return all
}

func drawAccount(rng *rand.Rand) int {
	if rng.IntN(3) < 2 {
		return rng.IntN(largeAccounts)
	}
	return largeAccounts + rng.IntN(clientAccounts-largeAccounts)
}

// crashingArrivals returns the same request, which crashes engines, every 5 s.
func (s *Scenario) crashingArrivals(w *Workload) []arrival {
	var all []arrival
	if !s.CrashingRequests {
		return nil
	}
	for at := 5 * time.Second; at < s.Length; at += 5 * time.Second {
		all = append(all, arrival{class: &w.Classes[0], at: at, output: 100, account: clientAccounts - 1, crash: true})
	}
	return all
}
