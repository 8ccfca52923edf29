package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// sharesSite is a site of gates at one pool of engines, which serves work at a fixed rate in
// the order of its admission. Gates know the wait of the pool and the demands and pressures
// of their peers with the delay of statements.
type sharesSite struct {
	rng     *rand.Rand
	shares  bool
	gates   []*Gate
	now     time.Time
	backlog float64
	waits   []time.Duration
	// capacity is the work in requests that the engines do in a second.
	capacity float64
	// spread returns the gate of an account's next request.
	spread func(account int) int
	served float64
	// offered and admitted count the requests by account.
	offered, admitted []float64
}

const (
	siteStep    = 10 * time.Millisecond
	siteWorkers = 4
)

func newSharesSite(shares bool, gateways, accounts int) *sharesSite {
	s := &sharesSite{
		rng: rand.New(rand.NewPCG(7, 7)), shares: shares, now: start,
		offered: make([]float64, accounts), admitted: make([]float64, accounts),
	}
	s.spread = func(int) int { return s.rng.IntN(gateways) }
	for i := range gateways {
		s.gates = append(s.gates, s.newGate(i))
	}
	return s
}

func (s *sharesSite) newGate(i int) *Gate {
	g := NewGate(rand.New(rand.NewPCG(uint64(i), 3)))
	g.SetAccountShares(s.shares)
	return g
}

// exchange passes what gate i states to all others.
func (s *sharesSite) exchange(i int, interval time.Duration) {
	g := s.gates[i]
	peer := fmt.Sprint(i)
	demands := g.ReportDemands(s.now)
	pressures := make(map[RequestClass]Pressure)
	g.ReportOwn(s.now, func(k RequestClass, p Pressure) { pressures[k] = p })
	// Receivers are independent of each other, so that workers change no result.
	var wg sync.WaitGroup
	for w := range siteWorkers {
		wg.Go(func() {
			for j := w; j < len(s.gates); j += siteWorkers {
				if j == i {
					continue
				}
				s.gates[j].SetPeerDemands(s.now, peer, demands)
				for k, p := range pressures {
					s.gates[j].SetPeerPressure(s.now, peer, k, p)
				}
			}
		})
	}
	wg.Wait()
	g.ExpireDemands(s.now, 2*interval)
}

// run offers rates[i] requests a second of each account for d.
func (s *sharesSite) run(d, interval time.Duration, rates []float64) {
	every := int(interval / siteStep)
	for step := range int(d / siteStep) {
		s.now = s.now.Add(siteStep)
		done := min(s.backlog, s.capacity*siteStep.Seconds())
		s.backlog -= done
		s.served += done
		s.waits = append(s.waits, time.Duration(s.backlog/s.capacity*float64(time.Second)))
		known := waiting(s.waits[max(len(s.waits)-1-int(100*time.Millisecond/siteStep), 0)])
		for account, rate := range rates {
			mean := rate * siteStep.Seconds()
			for range int(mean + s.rng.Float64()) {
				s.offer(account, known)
			}
		}
		for i := step % every; i < len(s.gates); i += every {
			s.exchange(i, interval)
		}
	}
}

func (s *sharesSite) offer(account int, c Choice) {
	r := chat(1)
	r.Account = fmt.Sprint(account)
	s.offered[account]++
	if s.gates[s.spread(account)].Decide(s.now, r, c).Admitted {
		s.admitted[account]++
		s.backlog++
	}
}

// measure forgets what was counted so far.
func (s *sharesSite) measure() {
	s.served = 0
	clear(s.offered)
	clear(s.admitted)
}

// usualRates returns rates of accounts from 0.3 to 1.7 times the mean.
func usualRates(accounts int, mean float64) []float64 {
	rates := make([]float64, accounts)
	for i := range rates {
		rates[i] = mean * (0.3 + 1.4*float64(i)/float64(max(accounts-1, 1)))
	}
	return rates
}

func total(xs []float64) (sum float64) {
	for _, x := range xs {
		sum += x
	}
	return sum
}

// checkShares compares what accounts got with the targets of docs/hard-load.md, section 4.
func checkShares(t *testing.T, s *sharesSite, present *sharesSite, rates []float64, d time.Duration) {
	t.Helper()
	level := fairLevel(append([]float64(nil), rates...), s.capacity) * d.Seconds()
	least, sum, squares := 1.0, 0.0, 0.0
	for i, offered := range s.offered {
		x := s.admitted[i] / min(offered, level)
		sum, squares = sum+x, squares+x*x
		if rates[i]*d.Seconds() <= level {
			least = min(least, s.admitted[i]/offered)
		}
	}
	jain := sum * sum / float64(len(s.offered)) / squares
	used, usedBefore := s.served/(s.capacity*d.Seconds()), present.served/(s.capacity*d.Seconds())
	refused := 1 - total(s.admitted)/total(s.offered)
	refusedBefore := 1 - total(present.admitted)/total(present.offered)
	t.Logf("least %.3f, Jain %.3f, used %.3f (before %.3f), refused %.3f (before %.3f)", least, jain, used, usedBefore, refused, refusedBefore)
	if least < 0.95 {
		t.Errorf("an account within its share had %.3f of its requests admitted, want 0.95", least)
	}
	if jain < 0.95 {
		t.Errorf("Jain's index %.3f, want 0.95", jain)
	}
	if used < usedBefore-0.02 {
		t.Errorf("used capacity %.3f, want %.3f", used, usedBefore-0.02)
	}
	if refused > refusedBefore+0.02 {
		t.Errorf("%.3f refused, before %.3f", refused, refusedBefore)
	}
}

// Guards against one account that takes the room of all others. Load pattern: a burst of
// 20 s in which one of 24 accounts sends six times its usual requests at 29 gateways, with
// capacity for 0.6 of the demand.
func TestBurstOfOneAccountLeavesTheSharesOfOthers(t *testing.T) {
	const d = 20 * time.Second
	rates := usualRates(24, 40)
	var sites [2]*sharesSite
	usual := append([]float64(nil), rates...)
	rates[12] *= 6
	for i := range sites {
		s := newSharesSite(i == 0, 29, len(rates))
		s.capacity = 0.6 * total(rates)
		s.run(3*time.Second, 60*time.Millisecond, usual)
		s.measure()
		s.run(d, 350*time.Millisecond, rates)
		sites[i] = s
	}
	checkShares(t, sites[0], sites[1], rates, d)
}

// Guards against shares that change a decision without contention or with one account.
// Load pattern: a random sequence of three classes without lateness, then one of a single
// account in one class that is late at random.
func TestSharesChangeNothingWithoutContentionOrForOneAccount(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	before, with := newGate(), newGate()
	with.SetAccountShares(true)
	// Both continue with the same draws.
	before.rng.Uint64()
	before.rng.Uint64()
	compare := func(r Request, c Choice, now time.Time) {
		t.Helper()
		a, b := before.Decide(now, r, c), with.Decide(now, r, c)
		if a.Admitted != b.Admitted || a.Reason != b.Reason {
			t.Fatalf("%+v, without shares %+v", b, a)
		}
	}
	now := start
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		r := []Request{chat(0), chat(1), plan(2)}[rng.IntN(3)]
		r.Account = fmt.Sprint(rng.IntN(24))
		compare(r, waiting(time.Duration(rng.IntN(300))*time.Millisecond), now)
	}
	// A service of its own: the floor of a class with few admitted tokens changes decisions.
	alone := chat(1)
	alone.Service = "alone"
	compare(alone, waiting(0), now)
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		compare(alone, waiting(time.Duration(rng.IntN(600))*time.Millisecond), now)
	}
}

// Guards against a level that leaves capacity unused or gives out more than there is.
func TestFairLevelGivesOutTheCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	for range 1000 {
		demands := usualRates(1+rng.IntN(50), 10*rng.Float64())
		capacity := rng.Float64() * total(demands)
		level := fairLevel(demands, capacity)
		given := 0.0
		for _, d := range demands {
			given += min(d, level)
		}
		if math.Abs(given-capacity) > 1e-6 {
			t.Fatalf("level %v gives out %v of %v", level, given, capacity)
		}
	}
}
