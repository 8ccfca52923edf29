package admission

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// Guards against a change of decisions with all features off. The golden file was recorded
// with the gate of commit a341ddc, before account shares existed; do not update it from
// later code. Load pattern: random requests of six classes, a fifth of them plain, with a
// wait that rises and falls, and pressures that three peers state.
func TestGateWithoutFeaturesDecidesAsRecorded(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 11))
	g := newGate()
	now := start
	var out bytes.Buffer
	var retryAfter time.Duration
	for i := range 6000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		// Phases of 1,000 requests: idle, late, busy.
		wait := time.Duration(rng.IntN([]int{40, 1500, 500}[i/1000%3])) * time.Millisecond
		// In the last third only one class, which is refused for its target.
		r := []Request{chat(2), plan(2), chat(0), chat(1), plan(0), plan(1)}[rng.IntN([]int{6, 2, 1}[i/2000])]
		r.Account = fmt.Sprint(rng.IntN(24))
		r.Streaming, r.IsRetry = rng.IntN(5) > 0, rng.IntN(20) == 0
		r.Prompt = int(float64(r.Prompt) * (0.7 + 0.6*rng.Float64()))
		r.TimeLeft = time.Duration(500+rng.IntN(3000)) * time.Millisecond
		if i%10 == 0 {
			other := []Request{chat(0), chat(1), plan(1)}[rng.IntN(3)]
			k := RequestClass{Service: other.Service, Route: other.Route, Priority: other.Priority}
			p := Pressure{Size: float64(other.Prompt), Offered: 5 * rng.Float64(), LastAdmitted: now}
			p.Late = p.Offered * rng.Float64() * float64(i/1000%3) / 3
			g.SetPeerPressure(now, fmt.Sprint(rng.IntN(3)), k, p)
		}
		d := g.Decide(now, r, waiting(wait))
		retryAfter += d.RetryAfter
		out.WriteByte(map[string]byte{"": '+', OutOfTime: 't', OutOfReach: 'r', MoreUrgentRefused: 'm'}[d.Reason])
		if i%100 == 99 {
			fmt.Fprintf(&out, " %d\n", retryAfter.Microseconds())
		}
	}
	goldie.New(t).Assert(t, "decisions_a341ddc", out.Bytes())
}
