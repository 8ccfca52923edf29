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
	seed    uint64
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

func newSharesSite(shares bool, seed uint64, gateways, accounts int) *sharesSite {
	s := &sharesSite{
		rng: rand.New(rand.NewPCG(7, seed)), shares: shares, seed: seed, now: start,
		offered: make([]float64, accounts), admitted: make([]float64, accounts),
	}
	s.spread = func(int) int { return s.rng.IntN(gateways) }
	for i := range gateways {
		s.gates = append(s.gates, s.newGate(i))
	}
	return s
}

func (s *sharesSite) newGate(i int) *Gate {
	g := NewGate(rand.New(rand.NewPCG(uint64(i), s.seed)))
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
// It returns by how much the refused fraction is above that of the present gate.
func checkShares(t *testing.T, s *sharesSite, present *sharesSite, rates []float64, d time.Duration) float64 {
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
	return refused - refusedBefore
}

// checkRefusals fails if the refused fraction rose. Offered requests are the same in both runs
// of a seed. Decisions are drawn separately, so that the mean over seeds may be above zero by
// two of its standard errors.
func checkRefusals(t *testing.T, rises []float64) {
	t.Helper()
	n := float64(len(rises))
	mean, squares := total(rises)/n, 0.0
	for _, x := range rises {
		squares += (x - mean) * (x - mean)
	}
	allowed := 0.0
	if n > 1 {
		allowed = 2 * math.Sqrt(squares/(n-1)/n)
	}
	t.Logf("refused fraction rose by %.5f, allowed %.5f", mean, allowed)
	if mean > allowed {
		t.Errorf("refused fraction rose by %.5f, allowed %.5f", mean, allowed)
	}
}

// burst offers the load of one seed to a site with shares and to one without: a burst of 20 s
// in which one of 24 accounts sends six times its usual requests at 29 gateways, with capacity
// for 0.6 of the demand. It returns the rise of the refused fraction.
func burst(t *testing.T, seed uint64) float64 {
	const d = 20 * time.Second
	rates := usualRates(24, 40)
	usual := append([]float64(nil), rates...)
	rates[12] *= 6
	var sites [2]*sharesSite
	for i := range sites {
		s := newSharesSite(i == 0, seed, 29, len(rates))
		s.capacity = 0.6 * total(rates)
		s.run(3*time.Second, 60*time.Millisecond, usual)
		s.measure()
		s.run(d, 350*time.Millisecond, rates)
		sites[i] = s
	}
	return checkShares(t, sites[0], sites[1], rates, d)
}

// Guards against one account that takes the room of all others.
func TestBurstOfOneAccountLeavesTheSharesOfOthers(t *testing.T) {
	for seed := range uint64(4) {
		burst(t, seed)
	}
}

// Guards against shares that refuse more requests of a class than the gate without them.
func TestSharesDoNotRaiseRefusals(t *testing.T) {
	var rises []float64
	for seed := range uint64(32) {
		rises = append(rises, burst(t, seed))
	}
	checkRefusals(t, rises)
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
	// A class of a service with other classes before, and one that nothing was admitted of yet.
	unknown := chat(1)
	unknown.Service = "alone"
	for _, alone := range []Request{chat(1), unknown} {
		// The first request after others is late.
		now = now.Add(2 * recentWindow)
		with.ExpireDemands(now, time.Second)
		compare(alone, waiting(600*time.Millisecond), now)
		for i := range 5000 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			if i%25 == 0 {
				with.ExpireDemands(now, time.Second)
			}
			compare(alone, waiting(time.Duration(rng.IntN(600))*time.Millisecond), now)
		}
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
