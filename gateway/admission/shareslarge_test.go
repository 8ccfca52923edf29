package admission

import (
	"testing"
	"time"
)

// Guards against shares that hold only at small sites. Load pattern: 410 gateways and 840
// accounts, each at five gateways; one account at six times its usual requests, capacity for
// 0.6 of the demand, a tenth of the gateways restarted on the way.
func TestSharesHoldAtALargeSiteWithRestarts(t *testing.T) {
	const d = 10 * time.Second
	const gateways, perAccount = 410, 5
	rates := usualRates(840, 8)
	rates[420] *= 6
	var sites [2]*sharesSite
	for i := range sites {
		s := newSharesSite(i == 0, 7, gateways, len(rates))
		s.spread = func(account int) int { return (account*131 + 17*s.rng.IntN(perAccount)) % gateways }
		s.capacity = 0.6 * total(rates)
		s.run(3*time.Second, 500*time.Millisecond, rates)
		s.measure()
		s.run(d/2, 500*time.Millisecond, rates)
		for j := 0; j < gateways; j += 10 {
			s.gates[j] = s.newGate(j)
		}
		s.run(d/2, 500*time.Millisecond, rates)
		sites[i] = s
	}
	checkRefusals(t, []float64{checkShares(t, sites[0], sites[1], rates, d)})
}
